// Measures how long iterations of the event loop take, how many events they handle, and how much of the time
// hooks use.
#pragma once

#include <algorithm>
#include <cstddef>

#include "core/events.hpp"

namespace bellstair::app {

class LoopStatistics {
 public:
  using Time = core::Time;

  void begin_iteration(Time now) {
    iteration_began_ = now;
    hook_time_in_iteration_ = {};
    events_in_iteration_ = 0;
  }
  void add_event() { most_events_ = std::max(most_events_, ++events_in_iteration_); }
  void add_hook_time(Time duration) { hook_time_in_iteration_ += duration; }
  // May be called several times in an iteration. No-op before the first begin_iteration().
  void end_iteration(Time now) {
    if (iteration_began_ == Time::zero()) return;
    longest_iteration_ = std::max(longest_iteration_, now - iteration_began_);
    max_hook_time_ = std::max(max_hook_time_, hook_time_in_iteration_);
  }

  [[nodiscard]] Time longest_iteration() const { return longest_iteration_; }
  [[nodiscard]] std::size_t most_events_per_iteration() const { return most_events_; }
  [[nodiscard]] Time max_hook_time_per_iteration() const { return max_hook_time_; }

 private:
  Time iteration_began_{};
  std::size_t events_in_iteration_ = 0;
  std::size_t most_events_ = 0;
  Time hook_time_in_iteration_{};
  Time longest_iteration_{};
  Time max_hook_time_{};
};

}  // namespace bellstair::app
