// The actions that the policy module returns. The caller carries them out in order.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "bellstair/policy/types.hpp"

namespace bellstair::policy {

/// Sends a request to an engine, as its next attempt.
struct SendAttempt {
  RequestId request = 0;
  EngineId engine = 0;
  Time give_up_at{};  // clock time at which the attempt must be aborted
};
/// Cancels an attempt. Its AttemptOutcome event still follows.
struct CancelAttempt {
  RequestId request = 0;
  AttemptIndex attempt = 0;
};
/// Why a request is not served.
enum class UnservedReason : std::uint8_t {
  unknown_class,
  over_quota,          // its tenant has used up its quota, and requests are queued or the fleet is overloaded
  no_time,             // the expected latency exceeds the time left until its deadline
  too_big,             // its work is too large for the present load
  overdue_on_arrival,  // the broker was stalled while it waited
  deadline,
  queued_too_long,   // an answer would come after its latency objective
  no_attempt_left,   // the retry rules, max_attempts or the available engines allow no further attempt
  request_at_fault,  // two healthy engines have answered it with an error
};

/// Ends a request that its client may safely retry.
struct Reject {
  RequestId request = 0;
  Time retry_after{};
  UnservedReason reason = UnservedReason::deadline;
};
/// Ends a request that may have run and may be unsafe to retry.
struct Fail {
  RequestId request = 0;
  UnservedReason reason = UnservedReason::deadline;
};
/// Sets the terms of the request's next attempts. The priority also applies to its attempts in flight.
struct AttemptTerms {
  RequestId request = 0;
  double memory_mb = 0;       // granted; 0: the engine chooses
  std::uint8_t priority = 1;  // 0 to 3, the highest
};
/// Requests a TimerFired event after the delay.
struct ScheduleTimer {
  Time delay{};
};
/// Sends a health check to an engine. A HealthCheckResult event follows.
struct SendHealthCheck {
  EngineId engine = 0;
};
/// Sends a message to other brokers.
struct SendGossip {
  std::optional<std::uint32_t> to;  // broker index; none: all others
  std::string bytes;                // at most 256
};
/// Starts or stops polling the endpoint list.
struct PollEndpointList {
  bool on = true;
};
/// Writes a line to the log.
struct LogMessage {
  std::string text;
};

/// An action returned by Scheduler::handle().
using Action = std::variant<SendAttempt, CancelAttempt, Reject, Fail, AttemptTerms, ScheduleTimer,
                            SendHealthCheck, SendGossip, PollEndpointList, LogMessage>;

}  // namespace bellstair::policy
