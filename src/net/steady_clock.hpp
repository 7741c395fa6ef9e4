// The clock for spans of time within the program: the system's own may be set at any moment.
#pragma once

#include <chrono>

#include "core/events.hpp"

namespace bellstair::net {

using core::Time;

[[nodiscard]] inline Time steady_now() { return std::chrono::steady_clock::now().time_since_epoch(); }

}  // namespace bellstair::net
