// The basic types of the policy module.
#pragma once

#include <chrono>
#include <cstdint>

namespace bellstair::policy {

using Time = std::chrono::nanoseconds;  // a time on the caller's clock, or a duration
using RequestId = std::uint32_t;
using EngineId = std::uint32_t;
using ClassIndex = std::uint16_t;    // into Settings::classes
using AttemptIndex = std::uint16_t;  // of one request, from 0

}  // namespace bellstair::policy
