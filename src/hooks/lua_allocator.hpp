// The allocator of one Lua machine. It limits the total memory of a script and the size of each block.
#pragma once

#include <cstddef>

#include "hooks/slice_timer.hpp"

namespace bellstair::hooks {

class LuaAllocator {
 public:
  // `limit` is in bytes. The allocator notifies the timer of allocations; the timer must outlive the
  // allocator.
  LuaAllocator(std::size_t limit, SliceTimer& slice_timer) : limit_(limit), slice_timer_(slice_timer) {}
  LuaAllocator(const LuaAllocator&) = delete;
  LuaAllocator& operator=(const LuaAllocator&) = delete;

  // A lua_Alloc function; its context is the allocator.
  static void* reallocate(void* context, void* block, std::size_t old_size, std::size_t new_size);

  [[nodiscard]] std::size_t used() const { return used_; }  // bytes
  [[nodiscard]] std::size_t peak() const { return peak_; }  // bytes, since the last reset
  void reset_peak() { peak_ = used_; }

 private:
  [[nodiscard]] bool may_resize(std::size_t old_bytes, std::size_t new_size);

  std::size_t limit_, used_ = 0, peak_ = 0;
  SliceTimer& slice_timer_;
};

}  // namespace bellstair::hooks
