// Why something may or may not be done.
#pragma once

#include <cstddef>
#include <cstdint>

#include "core/events.hpp"

namespace bellstair::core {

enum class Verdict : std::uint8_t {
  allowed,
  stopping,          // the program ends
  too_many_open,     // requests, by the settings
  no_memory,         // for what the request holds
  ticket_in_use,     // engines would take it for another request
  answered,          // the request has its answer
  client_gone,       // it has closed its side, or all of it
  engine_not_ready,  // it drains, has gone, or was never told of
  too_late,          // the attempt's time is over
  repeat_forbidden,  // an earlier attempt may have had its effect
  another_running,   // of the same request, where second copies are not allowed
  key_in_use,        // a request of the same key runs, or may still
};
inline constexpr std::size_t kVerdicts = 12;
inline constexpr std::size_t kAnswerKinds = 4, kAttemptEnds = 7, kReasons = 9;

[[nodiscard]] const char* name(Verdict verdict);
[[nodiscard]] const char* name(AnswerKind kind);
[[nodiscard]] const char* name(AttemptEnd end);
[[nodiscard]] const char* name(policy::UnservedReason reason);

}  // namespace bellstair::core
