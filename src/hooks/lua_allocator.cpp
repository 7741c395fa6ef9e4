#include "hooks/lua_allocator.hpp"

#include <algorithm>
#include <cstdlib>

namespace bellstair::hooks {
namespace {

// Bounds the time of each copy, comparison and rehash, which cannot be preempted.
constexpr std::size_t kMaxBlockBytes = std::size_t{128} * 1024;

}  // namespace

bool LuaAllocator::admits(std::size_t held, std::size_t new_size) {
  if (new_size <= held) return true;
  const auto growth = new_size - held;
  if (new_size > kMaxBlockBytes || used_ + growth > limit_) {
    slice_timer_.check_soon();
    return false;
  }
  slice_timer_.on_allocation(growth);
  return true;
}

void* LuaAllocator::reallocate(void* context, void* block, std::size_t old_size, std::size_t new_size) {
  auto& self = *static_cast<LuaAllocator*>(context);
  const auto held = block == nullptr ? 0 : old_size;  // for new blocks Lua passes a type as the old size
  if (new_size == 0) {
    self.used_ -= held;
    std::free(block);
    return nullptr;
  }
  if (!self.admits(held, new_size)) return nullptr;
  void* moved = std::realloc(block, new_size);
  if (moved == nullptr) return nullptr;
  self.used_ = self.used_ - held + new_size;
  self.peak_ = std::max(self.peak_, self.used_);
  return moved;
}

}  // namespace bellstair::hooks
