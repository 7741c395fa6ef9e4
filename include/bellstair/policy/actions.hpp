// What the policy module decides: actions that the caller carries out in their order.
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
  Time give_up_at{};  // clock time at which the attempt is given up
};
/// Cancels an attempt; its outcome still comes.
struct CancelAttempt {
  RequestId request = 0;
  AttemptIndex attempt = 0;
};
/// Why a request ends without having been served.
enum class UnservedReason : std::uint8_t {
  unknown_class,
  over_quota,          // its tenant has used up its quota, and others wait
  no_time,             // an answer takes longer than its client waits
  too_big,             // for the present load
  overdue_on_arrival,  // the broker was stalled while it waited
  deadline,
  queued_too_long,   // an answer would come after its latency objective
  no_attempt_left,   // by the rules on retries, their number, or the engines that are left
  request_at_fault,  // two healthy engines have answered it with an error
};

/// Ends a request that its client may safely send again.
struct Reject {
  RequestId request = 0;
  Time retry_after{};
  UnservedReason reason = UnservedReason::deadline;
};
/// Ends a request that may have run and may be unsafe to send again.
struct Fail {
  RequestId request = 0;
  UnservedReason reason = UnservedReason::deadline;
};
/// Terms of the request's next attempts; the priority also of those in flight.
struct AttemptTerms {
  RequestId request = 0;
  double memory_mb = 0;       // granted; 0: the engine's own choice
  std::uint8_t priority = 1;  // 0 to 3, the highest
};
/// Sends TimerFired after the delay.
struct ScheduleTimer {
  Time delay{};
};
/// Checks an engine's health; HealthCheckResult comes.
struct SendHealthCheck {
  EngineId engine = 0;
};
/// Sends a message to other brokers.
struct SendGossip {
  std::optional<std::uint32_t> to;  // broker index; none: all others
  std::string bytes;                // at most 256
};
/// Starts or ends polls of the endpoint list.
struct PollEndpointList {
  bool on = true;
};
/// Writes a line to the log.
struct LogMessage {
  std::string text;
};

/// What Scheduler::handle() decides.
using Action = std::variant<SendAttempt, CancelAttempt, Reject, Fail, AttemptTerms, ScheduleTimer,
                            SendHealthCheck, SendGossip, PollEndpointList, LogMessage>;

}  // namespace bellstair::policy
