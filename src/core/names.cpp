#include "core/names.hpp"

#include <array>

#include "core/counters.hpp"
#include "core/guard_decision.hpp"

namespace bellstair::core {
namespace {
constexpr std::array<const char*, kGuardDecisions> kGuardDecisionNames{
    "allowed",     "stopping",         "too_many_open", "no_memory",        "ticket_in_use",   "answered",
    "client_gone", "engine_not_ready", "too_late",      "repeat_forbidden", "another_running", "key_in_use"};
constexpr std::array<const char*, kAnswerKinds> kAnswerKindNames{"served", "refused", "failed", "timed_out"};
constexpr std::array<const char*, kAttemptEnds> kAttemptEndNames{
    "served", "error", "turned_away", "expired", "not_connected", "reset", "withdrawn"};
constexpr std::array<const char*, kUnservedReasons> kUnservedReasonNames{
    "unknown_class", "over_share",    "no_time",         "too_big", "overdue_on_arrival",
    "deadline",      "held_too_long", "no_attempt_left", "at_fault"};
constexpr std::array<const char*, kViolations> kViolationNames{
    "second_answer", "late_answer", "unsafe_refusal", "unsafe_send", "lost_at_exit"};

template <class Kind, std::size_t size>
const char* name_in(const std::array<const char*, size>& names, Kind kind) {
  const auto index = static_cast<std::size_t>(kind);
  return index < size ? names[index] : "?";
}
}  // namespace

const char* name(GuardDecision decision) { return name_in(kGuardDecisionNames, decision); }
const char* name(AnswerKind kind) { return name_in(kAnswerKindNames, kind); }
const char* name(AttemptEnd end) { return name_in(kAttemptEndNames, end); }
const char* name(policy::UnservedReason reason) { return name_in(kUnservedReasonNames, reason); }
const char* name(Violation violation) { return name_in(kViolationNames, violation); }

}  // namespace bellstair::core
