// Records stalls of the process (SIGSTOP, a paused machine), which explain late answers.
#pragma once

#include <algorithm>

#include "core/events.hpp"

namespace bellstair::core {

class StallTracker {
 public:
  // Work that became due during a stall is done within this time after it.
  static constexpr Time kCatchUp = std::chrono::milliseconds(50);

  // A stall that begins within kCatchUp after the last one extends it: work that became due in the first may
  // not have been done yet.
  void record(const ProcessStalled& stall) {
    const Time begin = stall.since;
    const Time end = stall.since + stall.length;
    const bool continues = begin <= end_ + kCatchUp;
    begin_ = continues ? std::min(begin_, begin) : begin;
    end_ = continues ? std::max(end_, end) : end;
  }

  // Whether the last stall explains that work due at `due` is done only at `now`.
  [[nodiscard]] bool explains_delay(Time due, Time now) const {
    return end_ > begin_ && due >= begin_ && now <= end_ + kCatchUp;
  }

 private:
  Time begin_{};
  Time end_{};
};

}  // namespace bellstair::core
