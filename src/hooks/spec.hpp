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
struct Subject {
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

struct Verdict {
  std::optional<Time> cpu;
  std::optional<double> ram;
  std::optional<bool> second;
  std::optional<Time> refuse;  // for how long to stay away
  std::vector<std::string> tags;
};

enum class Failure : std::uint8_t { none, error, memory, verdict, time, instructions, crowded, out };
[[nodiscard]] constexpr const char* name(Failure failure) {
  switch (failure) {
    case Failure::none:
      return "none";
    case Failure::error:
      return "it failed";
    case Failure::memory:
      return "it took too much memory";
    case Failure::verdict:
      return "it returned what can't be used";
    case Failure::time:
      return "it took too long";
    case Failure::instructions:
      return "it took too many instructions";
    case Failure::crowded:
      return "its turn did not come in time";
    case Failure::out:
      return "it is taken out";
  }
  return "?";
}
// Whether the hook is to blame: one that merely did not get its turn is not.
[[nodiscard]] constexpr bool blames(Failure failure) {
  return failure != Failure::none && failure != Failure::crowded && failure != Failure::out;
}

// What the machine is asked to do, and what it says. Runs at once; the answer is the next event.
struct Run {
  JobId job = 0;
  HookId hook = 0;
  Phase phase = Phase::request;
  Time slice{}, now{};
  bool first = false;
  Subject subject;  // of the first slice; the call keeps its own copy
};
struct Drop {  // the call is not gone on with
  JobId job = 0;
  HookId hook = 0;
};
struct Renew {  // a machine made anew from the same script, in place of the old one
  HookId hook = 0;
};
struct Retire {  // no call of it comes any more
  HookId hook = 0;
};

struct Ran {
  JobId job = 0;
  HookId hook = 0;
  enum class How : std::uint8_t { yielded, done, failed } how = How::done;
  Failure failure = Failure::none;
  std::string text;  // of the failure
  Verdict verdict;
  Time cpu{};  // of this slice
  std::uint64_t instructions = 0;
  std::size_t memory = 0;         // bytes that the hook's machine holds
  std::vector<std::string> said;  // by log()
};
struct Renewed {
  HookId hook = 0;
  std::string problem;
};

}  // namespace bellstair::hooks
