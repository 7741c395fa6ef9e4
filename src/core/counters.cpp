#include "core/counters.hpp"

#include <numeric>

namespace bellstair::core {
namespace {
void append(std::string& text, const std::string& counter, std::uint64_t count) {
  if (count > 0) text += " " + counter + "=" + std::to_string(count);
}

template <class Kind, std::size_t size>
void append_group(std::string& text, const char* group, const std::array<std::uint64_t, size>& counts) {
  for (std::size_t i = 0; i < size; ++i)
    append(text, std::string(group) + "." + name(static_cast<Kind>(i)), counts[i]);
}
}  // namespace

std::uint64_t Counters::total_violations() const {
  return std::accumulate(violations.begin(), violations.end(), std::uint64_t{0});
}

std::string Counters::text() const {
  std::string out = "counters: violations=" + std::to_string(total_violations());
  append_group<Violation>(out, "violation", violations);
  append(out, "taken", admitted);
  append_group<AnswerKind>(out, "answered", answered);
  append(out, "cancelled", cancelled);
  append(out, "half_closed", half_closed);
  append_group<policy::UnservedReason>(out, "unserved", unserved);
  append_group<GuardDecision>(out, "turned_down", admissions_denied);
  append_group<AttemptEnd>(out, "attempt", attempts);
  append_group<GuardDecision>(out, "withheld", attempts_denied);
  append(out, "stalls", stalls);
  return out;
}

}  // namespace bellstair::core
