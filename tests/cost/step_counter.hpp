// Counts the steps of code that is compiled with -fsanitize-coverage=trace-pc: its basic blocks, and the
// bytes that it has the C library copy or search. The count doesn't depend on how busy the machine is.
#pragma once

#include <cstdint>

namespace bellstair::cost {

[[nodiscard]] std::uint64_t steps();  // since the program started

}  // namespace bellstair::cost
