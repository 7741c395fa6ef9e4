// The events that the policy module handles.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "bellstair/policy/settings.hpp"
#include "bellstair/policy/types.hpp"

namespace bellstair::policy {

/// The state of an engine in the endpoint list.
enum class EngineState { draining, ready, gone };
/// The content of a list: changes only, all endpoints, all endpoints from a stored list, or none after a
/// failed poll.
enum class EndpointListKind { delta, full, cached, failed };
/// The result of an attempt or a health check.
enum class AttemptResult {
  served,
  error,
  rejected,
  timed_out,
  connect_failed,
  reset,
  cancelled,
  not_started
};
/// The kind of a progress event that an engine sends for a running attempt.
enum class ProgressKind { progress, spill, waiting };

/// An engine in the endpoint list.
struct Endpoint {
  EngineId engine = 0;
  std::uint16_t zone = 0;
  std::uint16_t kind = 0;
  std::uint16_t cell = 0;
  EngineState state = EngineState::ready;
  double weight = 1;
  Time started_at{};  // 0: long ago
};

/// The endpoint list, or changes to it.
struct EndpointList {
  EndpointListKind kind = EndpointListKind::full;
  std::vector<Endpoint> endpoints;
};

/// A request that a client has sent.
struct RequestArrival {
  RequestId request = 0;
  ClassIndex cls = 0;
  std::uint32_t tenant = 0;
  std::uint64_t ordering_key = 0;      // 0: none
  Time time_left{};                    // until its deadline
  std::optional<Time> estimated_work;  // of all its threads
  double estimated_memory_mb = 0;      // 0: no estimate
  std::int64_t data_group = 0;
  bool is_client_retry = false;
};

/// A running attempt has made progress, lacks memory, or waits.
struct AttemptProgress {
  RequestId request = 0;
  AttemptIndex attempt = 0;
  EngineId engine = 0;
  ProgressKind kind = ProgressKind::progress;
  // progress: fraction done; spill: MB missing; waiting: 1 for memory, 2 for its data group.
  double amount = 0;
};

/// An attempt has ended.
struct AttemptOutcome {
  RequestId request = 0;
  AttemptIndex attempt = 0;
  EngineId engine = 0;
  AttemptResult result = AttemptResult::served;
  Time latency{};
  bool request_closed = false;
  std::optional<Time> work;         // of all its threads, if the answer reports it
  double memory_mb = 0;             // needed, if the answer reports it
  std::vector<double> load_report;  // with the fields Settings::load_report_fields
  Time may_run_for{};  // it may still run at the engine; its ordering key is blocked for this time
};

/// An attempt that ended with `may_run_for` above 0 is proven to have ended at its engine.
struct AttemptStopped {
  RequestId request = 0;
  std::uint64_t ordering_key = 0;  // of the request; 0: none
  Time may_run_for{};              // how long other ended attempts of the request may still run
};

/// The client has cancelled its request.
struct RequestCancelled {
  RequestId request = 0;
};
/// The timer of ScheduleTimer has fired.
struct TimerFired {};
/// A health check has ended.
struct HealthCheckResult {
  EngineId engine = 0;
  AttemptResult result = AttemptResult::served;
  Time latency{};
  std::vector<double> load;  // with the fields Settings::load_report_fields
};
/// A message from another broker.
struct GossipMessage {
  std::uint32_t from = 0;  // broker index
  std::string bytes;
};

/// An event that Scheduler::handle() processes.
using Event = std::variant<EndpointList, RequestArrival, AttemptProgress, AttemptOutcome, AttemptStopped,
                           RequestCancelled, TimerFired, HealthCheckResult, GossipMessage>;

}  // namespace bellstair::policy
