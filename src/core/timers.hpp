// Defines the timers of the core.
#pragma once

#include <cstdint>

#include "core/events.hpp"
#include "core/timer_wheel.hpp"

namespace bellstair::core {

struct Timer {
  enum class Kind : std::uint8_t {
    scheduler,         // the scheduler requested a call
    attempt_expiry,    // the attempt `id` expires
    request_deadline,  // the deadline of `id.request` is near
  };
  Kind kind = Kind::scheduler;
  AttemptId id;
};

// Timers can't be cancelled: the handler checks whether the attempt or request is still open.
using Timers = TimerWheel<Timer>;

}  // namespace bellstair::core
