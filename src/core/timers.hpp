// Timers of the core.
#pragma once

#include <cstdint>

#include "core/events.hpp"
#include "core/timer_wheel.hpp"

namespace bellstair::core {

struct Timer {
  enum class Kind : std::uint8_t {
    scheduler,         // the scheduler asked to be called
    attempt_expiry,    // of `id`
    request_deadline,  // of `id.request`
  };
  Kind kind = Kind::scheduler;
  AttemptId id;
};

// Timers are not cancelled: whoever handles one checks whether it still matters.
using Timers = TimerWheel<Timer>;

}  // namespace bellstair::core
