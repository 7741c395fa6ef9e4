// Preempts a Lua thread when its time slice ends, and measures the CPU time used.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <lua.hpp>

#include "hooks/spec.hpp"

namespace bellstair::hooks {

class SliceTimer {
 public:
  // Starts a slice: `thread` yields at the first check after `slice`, or raises an error where it cannot
  // yield.
  void begin(lua_State* thread, Time slice);
  // Stops the checks and returns the CPU time of the slice; for a slice that ended before its first check,
  // the wall time.
  [[nodiscard]] Time end();

  // Records an allocation of `bytes`, which may have caused a copy or a full garbage collection. After enough
  // allocated bytes the next check is made early.
  void on_allocation(std::size_t bytes);
  // Makes the next check at the next instruction.
  void check_soon();

  // Returns the number of instructions executed in this slice, counted in steps of kCheckInterval.
  [[nodiscard]] std::uint64_t instructions() const;

 private:
  using Clock = std::chrono::steady_clock;
  static constexpr int kCheckInterval = 100;  // instructions
  static constexpr std::size_t kAllocationCheckBytes = std::size_t{64} * 1024;

  static void on_count_hook(lua_State* lua, lua_Debug* activation);
  void count_check(lua_State* lua);
  void start_cpu_clock();

  lua_State* running_ = nullptr;  // null between slices
  Clock::time_point started_at_, deadline_;
  Time cpu_at_start_{};
  std::size_t unchecked_bytes_ = 0;  // allocated since the last check
  std::uint64_t checks_ = 0;
  bool cpu_clock_started_ = false, check_pending_ = false;
};

}  // namespace bellstair::hooks
