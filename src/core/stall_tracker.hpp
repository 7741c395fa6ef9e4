// Times in which the process did not run (SIGSTOP, a paused machine).
#pragma once

#include <algorithm>

#include "core/events.hpp"

namespace bellstair::core {

class StallTracker {
 public:
  // After a stall, what fell due in it is handled within this time.
  static constexpr Time kCatchUp = std::chrono::milliseconds(50);

  // A stall that follows the last one at once extends it: what fell due in the first was not handled yet.
  void record(const ProcessStalled& stall) {
    const Time begin = stall.since;
    const Time end = stall.since + stall.length;
    const bool continues = begin <= end_ + kCatchUp;
    begin_ = continues ? std::min(begin_, begin) : begin;
    end_ = continues ? std::max(end_, end) : end;
  }

  // Whether what fell due at `due` could not be done before `now`, because the process did not run.
  [[nodiscard]] bool excuses(Time due, Time now) const {
    return end_ > begin_ && due >= begin_ && now <= end_ + kCatchUp;
  }

 private:
  Time begin_{};
  Time end_{};
};

}  // namespace bellstair::core
