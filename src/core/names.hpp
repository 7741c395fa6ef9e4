// Names of the core's enumerations, as they stand in log lines and counters. Operators' tools read them: a
// renamed enumerator keeps its old name here.
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
