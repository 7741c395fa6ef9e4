// Conversions between Time and seconds.
#pragma once

#include <chrono>
#include <cstdint>

#include "bellstair/policy/types.hpp"

namespace bellstair::policy {

/// Converts a duration to seconds.
inline double to_seconds(Time duration) { return std::chrono::duration<double>(duration).count(); }

/// Converts seconds to a duration, rounded towards zero to whole nanoseconds.
inline Time from_seconds(double seconds) { return Time(static_cast<std::int64_t>(seconds * 1e9)); }

}  // namespace bellstair::policy
