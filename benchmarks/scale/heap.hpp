// What the program's own heap holds, counted where blocks are handed out: of use in one thread only.
#pragma once

#include <cstddef>

namespace bellstair::scale {

struct Heap {
  std::size_t blocks = 0, bytes = 0;  // in use; bytes as the allocator gave them
};
[[nodiscard]] Heap heap();

}  // namespace bellstair::scale
