// Conversions between Time and seconds.
#pragma once

#include <chrono>
#include <cstdint>

#include "bellstair/policy/types.hpp"

namespace bellstair::policy {

/// A span in seconds.
inline double to_seconds(Time span) { return std::chrono::duration<double>(span).count(); }

/// A span of so many seconds, rounded towards zero to whole nanoseconds.
inline Time from_seconds(double seconds) { return Time(static_cast<std::int64_t>(seconds * 1e9)); }

}  // namespace bellstair::policy
