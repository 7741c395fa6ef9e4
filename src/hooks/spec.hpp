// What hooks are, as plain values: their settings, what they are shown and what they may say.
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
using HookId = std::uint32_t;  // never used again, also over reloads; 0: none
using JobId = std::uint64_t;   // one call of one hook

enum class Phase : std::uint8_t { request, answer, timer };
inline constexpr std::size_t kPhases = 3;
inline constexpr std::array<const char*, kPhases> kPhaseNames{"request", "answer", "timer"};

inline constexpr std::size_t kMaxTags = 8, kMaxTag = 64;              // bytes for each
inline constexpr std::size_t kMaxStatement = std::size_t{32} * 1024;  // bytes that a hook is shown
inline constexpr std::size_t kMaxHooks = 64;

// Which requests a hook is called for; what is empty fits all.
struct Match {
  std::vector<std::uint16_t> classes;
  std::vector<std::uint32_t> tenants;
  std::optional<std::uint8_t> front;
  std::string contains;  // in the statement
};

struct Spec {
  HookId id = 0;
  std::string name;
  std::string path, source, digest;  // the script's file, its text and the text's SHA-256
  std::array<bool, kPhases> phases{};
  std::int64_t order = 0;  // lower ones are called first; equal ones as they stand in the file
  Time cpu_limit = std::chrono::milliseconds(2);      // CPU time of one call
  Time wait_timeout = std::chrono::milliseconds(50);  // from the begin of a call's waiting to its end
  Time slice = std::chrono::microseconds(100);        // of the loop's time at once
  Time timer_interval = std::chrono::seconds(1);      // phase timer
  std::uint64_t instruction_limit = 1'000'000;        // of one call; counted by the hundred
  std::size_t memory_limit = std::size_t{1} << 20;    // bytes, of all its calls together
  std::size_t store_limit = std::size_t{64} << 10;    // bytes, of its state between calls
  std::size_t max_concurrent_calls = 8;               // that have begun and not ended
  bool reject_on_failure = false;                     // else the request goes on without the hook
  Time retry_after = std::chrono::milliseconds(500);  // of that rejection
  Match match;
};

// Limits of all hooks together, and the settings of their circuit breakers.
struct Limits {
  double cpu_share = 0.2;                              // of the loop's time, of all hooks together
  Time max_burst = std::chrono::milliseconds(4);       // CPU time that may be saved up
  Time max_turn_cpu = std::chrono::microseconds(300);  // within one turn of the loop
  // The circuit breaker opens after this number of failures in a row, or if half of the last 32 calls failed.
  unsigned failure_threshold = 5;
  Time open_duration = std::chrono::seconds(1);  // before the first trial; doubles
  Time max_open_duration = std::chrono::seconds(60);
  unsigned success_threshold = 3;  // trials that must succeed before the breaker closes
  std::size_t max_queued = 4096;   // calls of one hook that wait; requests beyond are failures of the hook
  std::size_t max_answer_calls = 256;  // calls of phase answer that wait; more are dropped
};

struct Set {
  Limits limits;
  std::vector<Spec> hooks;  // in the order of their calls
};

// The request as a hook sees it, or its end (phase answer).
struct RequestView {
  std::uint16_t cls = 0;
  std::uint32_t tenant = 0;
  std::uint8_t front = 0;
  std::shared_ptr<const std::string> statement;  // at most kMaxStatement of it
  std::size_t statement_size = 0;                // of the whole, in bytes
  Time limit{};
  std::optional<Time> cpu;
  double ram = 0;  // MB
  std::int64_t group = 0;
  bool second = false;
  std::vector<std::string> tags;
  // Phase answer.
  const char* kind = "";
  Time duration{}, later{};
  std::size_t attempts = 0;
};

struct HookDecision {
  std::optional<Time> cpu;
  std::optional<double> ram;
  std::optional<bool> second;
  std::optional<Time> refuse;  // for how long to stay away
  std::vector<std::string> tags;
};

enum class HookFailureKind : std::uint8_t {
  none,
  error,
  memory,
  verdict,
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
    case HookFailureKind::verdict:
      return "it returned what can't be used";
    case HookFailureKind::time:
      return "it took too long";
    case HookFailureKind::instructions:
      return "it took too many instructions";
    case HookFailureKind::queue_timeout:
      return "its turn did not come in time";
    case HookFailureKind::circuit_open:
      return "it is taken out";
  }
  return "?";
}
// Whether the hook is to blame: one that merely did not get its turn is not.
[[nodiscard]] constexpr bool counts_against_hook(HookFailureKind failure) {
  return failure != HookFailureKind::none && failure != HookFailureKind::queue_timeout &&
         failure != HookFailureKind::circuit_open;
}

// What the machine is asked to do, and what it says. Runs at once; the answer is the next event.
struct RunSlice {
  JobId job = 0;
  HookId hook = 0;
  Phase phase = Phase::request;
  Time slice{}, now{};
  bool first = false;
  RequestView subject;  // of the first slice; the call keeps its own copy
};
struct AbortCall {  // the call is not gone on with
  JobId job = 0;
  HookId hook = 0;
};
struct RenewMachine {  // a machine made anew from the same script, in place of the old one
  HookId hook = 0;
};
struct RetireMachine {  // no call of it comes any more
  HookId hook = 0;
};

struct SliceResult {
  JobId job = 0;
  HookId hook = 0;
  enum class Outcome : std::uint8_t { yielded, done, failed } outcome = Outcome::done;
  HookFailureKind failure = HookFailureKind::none;
  std::string text;  // of the failure
  HookDecision verdict;
  Time cpu{};  // of this slice
  std::uint64_t instructions = 0;
  std::size_t memory = 0;              // bytes that the hook's machine holds
  std::vector<std::string> log_lines;  // by log()
};
struct MachineRenewed {
  HookId hook = 0;
  std::string problem;
};

}  // namespace bellstair::hooks
