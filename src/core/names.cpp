#include "core/names.hpp"

#include <array>

#include "core/counters.hpp"
#include "core/guard_decision.hpp"

namespace bellstair::core {
namespace {
template <class Kind, std::size_t size>
const char* name_in(const std::array<const char*, size>& names, Kind kind) {
  const auto index = static_cast<std::size_t>(kind);
  return index < size ? names[index] : "?";
}
}  // namespace

const char* name(GuardDecision decision) {
  static constexpr std::array<const char*, kGuardDecisions> kNames{
      "allowed",       "stopping",         "too_many_open",   "no_memory",
      "ticket_in_use", "answered",         "client_gone",     "engine_not_ready",
      "too_late",      "repeat_forbidden", "another_running", "key_in_use"};
  return name_in(kNames, decision);
}

const char* name(AnswerKind kind) {
  static constexpr std::array<const char*, kAnswerKinds> kNames{"served", "refused", "failed", "timed_out"};
  return name_in(kNames, kind);
}

const char* name(AttemptEnd end) {
  static constexpr std::array<const char*, kAttemptEnds> kNames{
      "served", "error", "turned_away", "expired", "not_connected", "reset", "withdrawn"};
  return name_in(kNames, end);
}

const char* name(policy::UnservedReason reason) {
  static constexpr std::array<const char*, kUnservedReasons> kNames{
      "unknown_class", "over_share",    "no_time",         "too_big", "overdue_on_arrival",
      "deadline",      "held_too_long", "no_attempt_left", "at_fault"};
  return name_in(kNames, reason);
}

const char* name(Violation violation) {
  static constexpr std::array<const char*, kViolations> kNames{
      "second_answer", "late_answer", "unsafe_refusal", "unsafe_send", "lost_at_exit"};
  return name_in(kNames, violation);
}

}  // namespace bellstair::core
