// A request and its attempts, as the core holds them. Plain state without behaviour of its own.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/events.hpp"

namespace bellstair::core {

enum class AttemptStage {
  connecting,  // nothing has been written
  in_flight,   // its first byte may have left
  cancelling,  // until its AttemptEnded comes
  ended,
};

struct Attempt {
  EngineId engine = 0;
  AttemptStage stage = AttemptStage::connecting;
  Time started_at{};
  Time expires_at{};
  std::optional<Time> transmitted_at;  // none: not transmitted, or its end proves that it never ran
  Time may_run_until{};                // at its engine, though it has ended here
  std::uint16_t zone = 0;              // of the engine
  std::uint16_t cell = 0;              // of the engine
  bool timed_out = false;              // cancelled because it expired
  std::uint8_t priority = 1;
};

// Where an unanswered request waits.
enum class RequestStage {
  hooks,           // its hooks have not ended
  ordering_queue,  // its hooks have ended, those of an earlier request of its ordering key have not
  scheduler,       // the scheduler has been told of it
};

struct Request {
  Submission submission;
  RequestStage stage = RequestStage::scheduler;
  std::vector<std::string> tags;  // set by hooks
  Time received_at{};
  Time deadline{};
  bool answered = false;     // or cancelled: no answer is owed
  bool half_closed = false;  // by its client: it gets no further attempt
  double memory_mb = 0;      // to be reserved at the engine
  std::uint8_t priority = 1;
  std::vector<Attempt> attempts;  // by AttemptIndex
  std::string engine_error;       // what an engine said last about a failed attempt
};

[[nodiscard]] inline bool has_attempt_in_flight(const Request& request) {
  const auto in_flight = [](const Attempt& attempt) { return attempt.stage == AttemptStage::in_flight; };
  return std::ranges::any_of(request.attempts, in_flight);
}

// Answered, and no engine has still to confirm the end of an attempt.
[[nodiscard]] inline bool is_complete(const Request& request) {
  const auto ended = [](const Attempt& attempt) { return attempt.stage == AttemptStage::ended; };
  return request.answered && std::ranges::all_of(request.attempts, ended);
}

[[nodiscard]] inline bool may_have_run(const Request& request) {
  const auto transmitted = [](const Attempt& attempt) { return attempt.transmitted_at.has_value(); };
  return std::ranges::any_of(request.attempts, transmitted);
}

}  // namespace bellstair::core
