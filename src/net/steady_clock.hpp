// The monotonic clock for intervals within the program, since the system clock may be set at any time, and
// the processor time of the calling thread.
#pragma once

#include <chrono>
#include <ctime>

#include "core/events.hpp"

namespace bellstair::net {

using core::Time;

[[nodiscard]] inline Time steady_now() { return std::chrono::steady_clock::now().time_since_epoch(); }

// Zero if the system does not report it.
[[nodiscard]] inline Time thread_cpu_time() {
  timespec used{};
  if (::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used) != 0) return {};
  return std::chrono::seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec);
}

}  // namespace bellstair::net
