// The data types of hooks: their settings, the requests that they see, their decisions, the commands to their
// Lua machines, and the results of these commands.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bellstair::hooks {

using Time = std::chrono::nanoseconds;
using HookId = std::uint32_t;  // never reused, even across reloads; 0: none
using JobId = std::uint64_t;   // one call of one hook

enum class Phase : std::uint8_t { request, answer, timer };
inline constexpr std::size_t kPhases = 3;
inline constexpr std::array<const char*, kPhases> kPhaseNames{"request", "answer", "timer"};

inline constexpr std::size_t kMaxTags = 8, kMaxTagBytes = 64;              // tags per request, bytes per tag
inline constexpr std::size_t kMaxStatementBytes = std::size_t{32} * 1024;  // the part that hooks see
inline constexpr std::size_t kMaxHooks = 64;

// Selects the requests that a hook is called for. An empty member matches all requests.
struct Match {
  std::vector<std::uint16_t> classes;
  std::vector<std::uint32_t> tenants;
  std::optional<std::uint8_t> front;
  std::string contains;  // a text that the statement contains
};

struct Spec {
  HookId id = 0;
  std::string name;
  std::string path, source, digest;  // the script's file, its text and the text's SHA-256
  std::array<bool, kPhases> phases{};
  std::int64_t order = 0;  // hooks with a lower number are called first; equal ones in the order of the file
  Time cpu_limit = std::chrono::milliseconds(2);      // CPU time of one call
  Time wait_timeout = std::chrono::milliseconds(50);  // from the time a call is queued to its end
  Time slice = std::chrono::microseconds(100);        // longest run without a return to the event loop
  Time timer_interval = std::chrono::seconds(1);      // between calls of phase timer
  std::uint64_t instruction_limit = 1'000'000;        // of one call; counted in steps of 100
  std::size_t memory_limit = std::size_t{1} << 20;    // bytes, for all calls of the hook together
  std::size_t store_limit = std::size_t{64} << 10;    // bytes, for the state between calls
  std::size_t max_concurrent_calls = 8;               // calls that have started and not ended
  bool reject_on_failure = false;                     // otherwise the request continues without the hook
  Time retry_after = std::chrono::milliseconds(500);  // sent with a rejection on failure
  Match match;
};

// Limits for all hooks together, and the settings of their circuit breakers.
struct Limits {
  double cpu_share = 0.2;                         // share of the event loop's time for all hooks together
  Time max_burst = std::chrono::milliseconds(4);  // CPU time that may accumulate while unused
  Time max_turn_cpu = std::chrono::microseconds(300);  // within one turn of the event loop
  // The circuit breaker opens after this number of failures in a row, or if half of the last 32 calls failed.
  unsigned failure_threshold = 5;
  Time open_duration = std::chrono::seconds(1);  // before the first trial; doubles after each failed trial
  Time max_open_duration = std::chrono::seconds(60);
  unsigned success_threshold = 3;      // trials that must succeed before the breaker closes
  std::size_t max_queued = 4096;       // waiting calls of one hook; beyond it, on_failure applies
  std::size_t max_answer_calls = 256;  // waiting calls of phase answer of one hook; more are dropped
};

struct Set {
  Limits limits;
  std::vector<Spec> hooks;  // in the order of their calls
};

// The request as a hook sees it, or its outcome (phase answer).
struct RequestView {
  std::uint16_t cls = 0;
  std::uint32_t tenant = 0;
  std::uint8_t front = 0;
  std::shared_ptr<const std::string> statement;  // at most kMaxStatementBytes of it
  std::size_t statement_size = 0;                // bytes of the whole statement
  Time limit{};
  std::optional<Time> cpu;
  double ram = 0;  // MB
  std::int64_t group = 0;
  bool second = false;
  std::vector<std::string> tags;
  // The members below are for phase answer only.
  const char* kind = "";
  Time duration{}, later{};
  std::size_t attempts = 0;
};

struct HookDecision {
  std::optional<Time> cpu;
  std::optional<double> ram;
  std::optional<bool> second;
  std::optional<Time> refuse;  // rejects the request; the client may retry after this time
  std::vector<std::string> tags;
};

enum class HookFailureKind : std::uint8_t {
  none,
  error,
  memory,
  invalid_decision,
  time,
  instructions,
  queue_timeout,
  circuit_open
};
[[nodiscard]] constexpr const char* name(HookFailureKind failure) {
  switch (failure) {
    case HookFailureKind::none:
      return "none";
    case HookFailureKind::error:
      return "it failed";
    case HookFailureKind::memory:
      return "it took too much memory";
    case HookFailureKind::invalid_decision:
      return "it returned an invalid decision";
    case HookFailureKind::time:
      return "it took too long";
    case HookFailureKind::instructions:
      return "it took too many instructions";
    case HookFailureKind::queue_timeout:
      return "its wait timeout expired";
    case HookFailureKind::circuit_open:
      return "its circuit breaker is open";
  }
  return "?";
}
// Returns whether the failure counts as a failure of the hook. A queue timeout or an open breaker does not.
[[nodiscard]] constexpr bool counts_against_hook(HookFailureKind failure) {
  return failure != HookFailureKind::none && failure != HookFailureKind::queue_timeout &&
         failure != HookFailureKind::circuit_open;
}

// The commands to a machine and their results. A RunSlice is executed at once, and its SliceResult is the
// next event.
struct RunSlice {
  JobId job = 0;
  HookId hook = 0;
  Phase phase = Phase::request;
  Time slice{}, now{};
  bool first = false;
  RequestView subject;  // in the first slice only; the call stores a copy
};
struct AbortCall {  // the call is never resumed
  JobId job = 0;
  HookId hook = 0;
};
struct RenewMachine {  // replaces the machine by a new one with the same script
  HookId hook = 0;
};
struct RetireMachine {  // no further calls of the hook follow
  HookId hook = 0;
};

struct SliceResult {
  JobId job = 0;
  HookId hook = 0;
  enum class Outcome : std::uint8_t { yielded, done, failed } outcome = Outcome::done;
  HookFailureKind failure = HookFailureKind::none;
  std::string text;  // of the failure
  HookDecision decision;
  Time cpu{};  // of this slice
  std::uint64_t instructions = 0;
  std::size_t memory = 0;              // bytes that the hook's machine has allocated
  std::vector<std::string> log_lines;  // written by log()
};
struct MachineRenewed {
  HookId hook = 0;
  std::string problem;
};

}  // namespace bellstair::hooks
