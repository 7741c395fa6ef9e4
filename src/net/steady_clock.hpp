// The monotonic clock for intervals within the program: the system clock may be set at any time.
#pragma once

#include <chrono>

#include "core/events.hpp"

namespace bellstair::net {

using core::Time;

[[nodiscard]] inline Time steady_now() { return std::chrono::steady_clock::now().time_since_epoch(); }

}  // namespace bellstair::net
