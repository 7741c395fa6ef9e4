#include "heap.hpp"

#include <malloc.h>

#include <cstdlib>
#include <new>

namespace bellstair::scale {
namespace {
thread_local Heap in_use;

void* take(std::size_t size) {
  void* const block = std::malloc(size == 0 ? 1 : size);
  if (block == nullptr) return nullptr;
  ++in_use.blocks;
  in_use.bytes += ::malloc_usable_size(block);
  return block;
}

void give_back(void* block) {
  if (block == nullptr) return;
  --in_use.blocks;
  in_use.bytes -= ::malloc_usable_size(block);
  std::free(block);
}
}  // namespace

Heap heap() { return in_use; }

}  // namespace bellstair::scale

void* operator new(std::size_t size) {
  void* const block = bellstair::scale::take(size);
  if (block == nullptr) throw std::bad_alloc();
  return block;
}
void* operator new[](std::size_t size) { return operator new(size); }
void* operator new(std::size_t size, const std::nothrow_t&) noexcept { return bellstair::scale::take(size); }
void* operator new[](std::size_t size, const std::nothrow_t&) noexcept {
  return bellstair::scale::take(size);
}
void operator delete(void* block) noexcept { bellstair::scale::give_back(block); }
void operator delete[](void* block) noexcept { bellstair::scale::give_back(block); }
void operator delete(void* block, std::size_t) noexcept { bellstair::scale::give_back(block); }
void operator delete[](void* block, std::size_t) noexcept { bellstair::scale::give_back(block); }
