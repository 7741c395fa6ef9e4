// How long turns of the event loop take, and how much of it hooks do.
#pragma once

#include <algorithm>

#include "core/events.hpp"

namespace bellstair::app {

class LoopStatistics {
 public:
  using Time = core::Time;

  void begin_turn(Time now) {
    turn_began_ = now;
    hooks_in_turn_ = {};
  }
  void add_hook(Time duration) { hooks_in_turn_ += duration; }
  // May be called several times in a turn. No-op before the first begin_turn().
  void end_turn(Time now) {
    if (turn_began_ == Time::zero()) return;
    longest_turn_ = std::max(longest_turn_, now - turn_began_);
    most_hooks_ = std::max(most_hooks_, hooks_in_turn_);
  }

  [[nodiscard]] Time longest_turn() const { return longest_turn_; }
  [[nodiscard]] Time most_hooks_in_turn() const { return most_hooks_; }

 private:
  Time turn_began_{};
  Time hooks_in_turn_{};
  Time longest_turn_{};
  Time most_hooks_{};
};

}  // namespace bellstair::app
