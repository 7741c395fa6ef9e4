// What the broker counts about requests, for its log.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

#include "core/verdict.hpp"

namespace bellstair::core {

// What must never happen. Each is checked where it would show; a count above 0 is a fault of the program's.
enum class Violation : std::uint8_t {
  second_answer,   // a request was to be answered once more
  late_answer,     // later than the protocol's slack after its deadline
  unsafe_refusal,  // the module asked for a refusal that would not be true
  unsafe_send,     // the module asked for an attempt that the rules forbid
  lost_at_exit,    // the program ends while a request has no answer
};
inline constexpr std::size_t kViolations = 5;
[[nodiscard]] const char* name(Violation violation);

struct Counters {
  std::uint64_t taken = 0, cancelled = 0, half_closed = 0;
  std::uint64_t stalls = 0;                            // the process did not run for a while
  std::array<std::uint64_t, kAnswerKinds> answered{};  // by AnswerKind
  std::array<std::uint64_t, kVerdicts> turned_down{};  // requests that were not taken, by Verdict
  std::array<std::uint64_t, kVerdicts> withheld{};     // attempts, by Verdict
  std::array<std::uint64_t, kAttemptEnds> attempts{};  // by AttemptEnd
  std::array<std::uint64_t, kReasons> unserved{};      // refused or failed by the module, by Reason
  std::array<std::uint64_t, kViolations> violations{};

  [[nodiscard]] std::uint64_t all_violations() const;
  // "counters: taken=12 served=9 ..."; what is 0 is left out, but for violations.
  [[nodiscard]] std::string text() const;
  bool operator==(const Counters&) const = default;
};

}  // namespace bellstair::core
