// Names of the core's enumerators in log lines and counters. Operators' tools match them, so a renamed
// enumerator keeps its old name here.
#pragma once

#include <cstddef>

#include "core/events.hpp"

namespace bellstair::core {

inline constexpr std::size_t kAnswerKinds = 4;
inline constexpr std::size_t kAttemptEnds = 7;
inline constexpr std::size_t kUnservedReasons = 9;

[[nodiscard]] const char* name(AnswerKind kind);
[[nodiscard]] const char* name(AttemptEnd end);
[[nodiscard]] const char* name(policy::UnservedReason reason);

}  // namespace bellstair::core
