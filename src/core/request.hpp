// Defines the core's state of a request and its attempts.
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
  in_flight,   // the first byte may have been sent
  cancelling,  // waits for its AttemptEnded
  ended,
};

struct Attempt {
  EngineId engine = 0;
  AttemptStage stage = AttemptStage::connecting;
  Time started_at{};
  Time expires_at{};
  std::optional<Time> transmitted_at;  // none: not transmitted, or proven never to have run
  Time may_run_until{};                // the engine may run it until then, although it has ended here
  std::uint16_t zone = 0;              // of the engine
  std::uint16_t cell = 0;              // of the engine
  bool timed_out = false;              // it was cancelled because it expired
  std::uint8_t priority = 1;
};

// The stage in which an unanswered request waits.
enum class RequestStage {
  hooks,           // its hooks are running or waiting to run
  ordering_queue,  // waits until the hooks of earlier requests of its ordering key have ended
  scheduler,       // the scheduler has been notified of it
};

struct Request {
  Submission submission;
  RequestStage stage = RequestStage::scheduler;
  std::vector<std::string> tags;  // set by its hooks
  Time received_at{};
  Time deadline{};
  bool answered = false;     // answered, or cancelled by its client
  bool abandoned = false;    // its client has cancelled it, or closed the connection
  bool half_closed = false;  // its client half-closed the connection: no further attempt starts
  double memory_mb = 0;      // memory that the engine reserves
  std::uint8_t priority = 1;
  std::vector<Attempt> attempts;  // indexed by AttemptIndex
  std::string engine_error;       // the last error message of an engine on a failed attempt
};

[[nodiscard]] inline bool has_attempt_in_flight(const Request& request) {
  const auto in_flight = [](const Attempt& attempt) { return attempt.stage == AttemptStage::in_flight; };
  return std::ranges::any_of(request.attempts, in_flight);
}

// Whether the request is answered and all of its attempts have ended.
[[nodiscard]] inline bool is_complete(const Request& request) {
  const auto ended = [](const Attempt& attempt) { return attempt.stage == AttemptStage::ended; };
  return request.answered && std::ranges::all_of(request.attempts, ended);
}

[[nodiscard]] inline bool may_have_run(const Request& request) {
  const auto transmitted = [](const Attempt& attempt) { return attempt.transmitted_at.has_value(); };
  return std::ranges::any_of(request.attempts, transmitted);
}

}  // namespace bellstair::core
