// Preempts a Lua thread when its time slice is over, and measures the CPU time that it took.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <lua.hpp>

#include "hooks/spec.hpp"

namespace bellstair::hooks {

class SliceTimer {
 public:
  // From now on `thread` yields at the first check after `slice`, or raises an error where it can't yield.
  void begin(lua_State* thread, Time slice);
  // Stops the checks. The CPU time of the slice; of short slices, which are never checked, the wall time.
  [[nodiscard]] Time end();

  // An allocation of `bytes`: it may have cost a copy or a full garbage collection, so that after enough of
  // them the next check comes early.
  void on_allocation(std::size_t bytes);
  // Makes the next check come with the next instruction.
  void check_soon();

  // Executed in this slice; counted in steps of kCheckInterval.
  [[nodiscard]] std::uint64_t instructions() const;

 private:
  using Clock = std::chrono::steady_clock;
  static constexpr int kCheckInterval = 100;  // instructions
  static constexpr std::size_t kAllocationCheckBytes = std::size_t{64} * 1024;

  static void on_count_hook(lua_State* lua, lua_Debug* activation);
  void count_check(lua_State* lua);
  void start_cpu_clock();

  lua_State* running_ = nullptr;  // null between slices
  Clock::time_point begun_, deadline_;
  Time cpu_at_begin_{};
  std::size_t unchecked_bytes_ = 0;  // allocated since the last check
  std::uint64_t checks_ = 0;
  bool cpu_clock_started_ = false, check_pending_ = false;
};

}  // namespace bellstair::hooks
