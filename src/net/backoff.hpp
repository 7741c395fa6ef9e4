// When to try again after failures in a row: exponential back-off with "equal jitter"
// (Brooker, "Exponential Backoff And Jitter"), so that brokers whom one event has hit do not come back
// in step.
#pragma once

#include <algorithm>
#include <cstdint>
#include <random>

#include "core/events.hpp"

namespace bellstair::net {

class Backoff {
 public:
  // Spans from `least`, doubled at each failure up to `most`; a wait is drawn between half of its span and
  // the whole.
  Backoff(core::Time least, core::Time most, std::uint64_t seed)
      : least_(least), most_(most), span_(least), random_(seed) {}

  [[nodiscard]] core::Time next_delay() {
    const auto half = span_ / 2;
    span_ = std::min(2 * span_, most_);
    return half + core::Time(static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(half.count())));
  }
  void reset() { span_ = least_; }

 private:
  core::Time least_, most_, span_;
  std::mt19937_64 random_;
};

}  // namespace bellstair::net
