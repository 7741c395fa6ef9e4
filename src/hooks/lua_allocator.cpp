#include "hooks/lua_allocator.hpp"

#include <algorithm>
#include <cstdlib>

namespace bellstair::hooks {
namespace {

// Bounds the time of each copy, comparison and rehash, which cannot be preempted.
constexpr std::size_t kMaxBlockBytes = std::size_t{128} * 1024;

}  // namespace

bool LuaAllocator::may_resize(std::size_t old_bytes, std::size_t new_size) {
  if (new_size <= old_bytes) return true;
  const auto growth = new_size - old_bytes;
  if (new_size > kMaxBlockBytes || used_ + growth > limit_) {
    slice_timer_.check_soon();
    return false;
  }
  slice_timer_.on_allocation(growth);
  return true;
}

void* LuaAllocator::reallocate(void* context, void* block, std::size_t old_size, std::size_t new_size) {
  auto& self = *static_cast<LuaAllocator*>(context);
  const auto old_bytes = block == nullptr ? 0 : old_size;  // for new blocks Lua passes a type as the old size
  if (new_size == 0) {
    self.used_ -= old_bytes;
    std::free(block);
    return nullptr;
  }
  if (!self.may_resize(old_bytes, new_size)) return nullptr;
  void* moved = std::realloc(block, new_size);
  if (moved == nullptr) return nullptr;
  self.used_ = self.used_ - old_bytes + new_size;
  self.peak_ = std::max(self.peak_, self.used_);
  return moved;
}

}  // namespace bellstair::hooks
