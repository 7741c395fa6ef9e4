// Counts requests and attempts since the start of the program, for the log.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

#include "core/guard_decision.hpp"
#include "core/names.hpp"

namespace bellstair::core {

// A broken invariant of the broker, checked at run time. Any count above 0 is a bug.
enum class Violation : std::uint8_t {
  duplicate_answer,    // a request was about to be answered again
  late_answer,         // a request was answered after its deadline and the protocol's slack
  unsafe_rejection,    // the scheduler rejected a request that may have run
  unsafe_attempt,      // the scheduler requested an attempt that the guard's rules forbid
  unanswered_at_exit,  // the program exited while a request was unanswered
};
inline constexpr std::size_t kViolations = 5;
// The violation's name in log lines and counters.
[[nodiscard]] const char* name(Violation violation);

// Operators' tools match the printed names, which differ from those of some fields.
struct Counters {
  std::uint64_t admitted = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t half_closed = 0;
  std::uint64_t stalls = 0;                            // number of ProcessStalled events
  std::array<std::uint64_t, kAnswerKinds> answered{};  // by AnswerKind
  std::array<std::uint64_t, kGuardDecisions>
      admissions_denied{};  // requests not admitted by the guard; rejections by hooks count only in
                            // `answered`
  std::array<std::uint64_t, kGuardDecisions>
      attempts_denied{};  // attempts that the guard kept from starting or transmitting
  std::array<std::uint64_t, kAttemptEnds> attempts{};      // by AttemptEnd
  std::array<std::uint64_t, kUnservedReasons> unserved{};  // requests rejected or failed by the scheduler
  std::array<std::uint64_t, kViolations> violations{};

  [[nodiscard]] std::uint64_t total_violations() const;
  // "counters: violations=0 taken=12 answered.served=9 ..."; counts of 0 are omitted, except for violations.
  [[nodiscard]] std::string text() const;
  bool operator==(const Counters&) const = default;
};

}  // namespace bellstair::core
