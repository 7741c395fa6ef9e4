// Delays between retries after consecutive failures: exponential back-off with "equal jitter"
// (Brooker, "Exponential Backoff And Jitter"), so that brokers which failed at the same time do not retry at
// the same time.
#pragma once

#include <algorithm>
#include <cstdint>
#include <random>

#include "core/events.hpp"

namespace bellstair::net {

class Backoff {
 public:
  // The nominal delay starts at `initial_delay` and doubles with each failure, up to `max_delay`. Each delay
  // is drawn at random between half of the nominal delay and all of it.
  Backoff(core::Time initial_delay, core::Time max_delay, std::uint64_t seed)
      : initial_delay_(initial_delay), max_delay_(max_delay), nominal_delay_(initial_delay), random_(seed) {}

  [[nodiscard]] core::Time next_delay() {
    const auto half = nominal_delay_ / 2;
    nominal_delay_ = std::min(2 * nominal_delay_, max_delay_);
    return half + core::Time(static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(half.count())));
  }
  void reset() { nominal_delay_ = initial_delay_; }

 private:
  core::Time initial_delay_, max_delay_, nominal_delay_;
  std::mt19937_64 random_;
};

}  // namespace bellstair::net
