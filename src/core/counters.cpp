#include "core/counters.hpp"

#include <numeric>

namespace bellstair::core {
namespace {
template <std::size_t size>
const char* pick(const std::array<const char*, size>& names, std::size_t at) {
  return at < size ? names[at] : "?";
}

void add(std::string& text, const std::string& what, std::uint64_t count) {
  if (count > 0) text += " " + what + "=" + std::to_string(count);
}

template <class Kind, std::size_t size>
void add_all(std::string& text, const char* group, const std::array<std::uint64_t, size>& counts) {
  for (std::size_t i = 0; i < size; ++i) add(text, std::string(group) + "." + name(Kind(i)), counts[i]);
}
}  // namespace

const char* name(Verdict verdict) {
  static constexpr std::array<const char*, kVerdicts> kNames{
      "allowed",       "stopping",         "too_many_open",   "no_memory",
      "ticket_in_use", "answered",         "client_gone",     "engine_not_ready",
      "too_late",      "repeat_forbidden", "another_running", "key_in_use"};
  return pick(kNames, static_cast<std::size_t>(verdict));
}

const char* name(AnswerKind kind) {
  static constexpr std::array<const char*, kAnswerKinds> kNames{"served", "refused", "failed", "timed_out"};
  return pick(kNames, static_cast<std::size_t>(kind));
}

const char* name(AttemptEnd end) {
  static constexpr std::array<const char*, kAttemptEnds> kNames{
      "served", "error", "turned_away", "expired", "not_connected", "reset", "withdrawn"};
  return pick(kNames, static_cast<std::size_t>(end));
}

const char* name(policy::UnservedReason reason) {
  static constexpr std::array<const char*, kReasons> kNames{
      "unknown_class", "over_share",    "no_time",         "too_big", "overdue_on_arrival",
      "deadline",      "held_too_long", "no_attempt_left", "at_fault"};
  return pick(kNames, static_cast<std::size_t>(reason));
}

const char* name(Violation violation) {
  static constexpr std::array<const char*, kViolations> kNames{
      "second_answer", "late_answer", "unsafe_refusal", "unsafe_send", "lost_at_exit"};
  return pick(kNames, static_cast<std::size_t>(violation));
}

std::uint64_t Counters::all_violations() const {
  return std::accumulate(violations.begin(), violations.end(), std::uint64_t{0});
}

std::string Counters::text() const {
  std::string out = "counters: violations=" + std::to_string(all_violations());
  add_all<Violation>(out, "violation", violations);
  add(out, "taken", taken);
  add_all<AnswerKind>(out, "answered", answered);
  add(out, "cancelled", cancelled);
  add(out, "half_closed", half_closed);
  add_all<policy::UnservedReason>(out, "unserved", unserved);
  add_all<Verdict>(out, "turned_down", turned_down);
  add_all<AttemptEnd>(out, "attempt", attempts);
  add_all<Verdict>(out, "withheld", withheld);
  add(out, "stalls", stalls);
  return out;
}

}  // namespace bellstair::core
