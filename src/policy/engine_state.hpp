// The state that this broker keeps for an engine.
#pragma once

#include <chrono>
#include <cstdint>
#include <set>

#include "bellstair/policy/events.hpp"
#include "bellstair/policy/settings.hpp"
#include "policy/request.hpp"
#include "policy/slow_start_budget.hpp"
#include "policy/start_tracker.hpp"

namespace bellstair::policy {

enum class Health { healthy, ejected, on_trial };

/// An engine of the endpoint list, or one that has left the list while attempts are in flight.
struct Engine {
  /// Minimum time that a restart of the process takes.
  static constexpr Time kMinRestartTime = std::chrono::milliseconds(500);

  Endpoint endpoint;
  bool ready = false;  // the endpoint list allows sending it queries

  // This broker's attempts in flight.
  unsigned threads = 0;
  unsigned queries = 0;
  std::set<AttemptKey> in_flight;
  std::set<std::int64_t> locked_data_groups;

  // Outlier detection.
  Health health = Health::healthy;
  Time ejected_until{};
  Time ejection_duration{};  // of the last ejection; 0: none since it was healthy
  double error_rate = 0;     // moving average, 0 to 1
  Time last_seen_at{};
  Time last_reset_at{};  // of a connection; 0: none, or a response has arrived since

  // Latency over the expected latency.
  double latency_ratio = 1;  // moving average
  double last_latency_ratio = 1;

  // Slow start.
  StartTracker start;
  SlowStartBudget slow_start_budget;

  // Load reports.
  double other_brokers_threads = 0;  // at the last report
  Time reported_at{};
  Time health_checked_at{};

  std::uint64_t last_comparison = 0;  // number of the last selection that compared it

  /// Records that a response to a message sent at `sent_at` arrived at `at`.
  void record_alive(Time at, Time sent_at) {
    start.record_alive(at, sent_at, kMinRestartTime);
    if (at > last_reset_at) last_reset_at = Time::zero();
  }
};

/// Whether the engine has left the endpoint list and has no attempt in flight.
inline bool is_removable(const Engine& engine) { return !engine.ready && engine.in_flight.empty(); }

inline double cores_of(const Settings& settings, const Engine& engine) {
  return settings.kinds[engine.endpoint.kind].cores;
}

}  // namespace bellstair::policy
