// A time limit for calls to one peer. A limit that never changes gives up a slow peer for ever, and loads it
// with calls whose answers nobody waits for.
#pragma once

#include <algorithm>
#include <chrono>

namespace bellstair {

class Patience {
 public:
  using Time = std::chrono::nanoseconds;

  // The limit is `usual` at first; it doubles with each call that passes it, up to `longest`.
  constexpr Patience(Time usual, Time longest) : usual_(usual), longest_(longest), limit_(usual) {}

  [[nodiscard]] constexpr Time limit() const { return limit_; }
  constexpr void timed_out() { limit_ = std::min(2 * limit_, longest_); }
  constexpr void answered() { limit_ = usual_; }

 private:
  Time usual_, longest_, limit_;
};

}  // namespace bellstair
