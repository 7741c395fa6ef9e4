// The records of a request and of its attempts.
#pragma once

#include <algorithm>
#include <utility>
#include <vector>

#include "bellstair/policy/events.hpp"

namespace bellstair::policy {

/// Identifies an attempt by its request and its index in Request::attempts.
using AttemptKey = std::pair<RequestId, AttemptIndex>;

/// One send of a request to an engine.
struct Attempt {
  EngineId engine = 0;
  std::uint16_t zone = 0;  // of the engine, whose record may have been removed
  std::uint16_t cell = 0;
  Time sent_at{};
  Time last_seen_at{};  // when it was sent, or its last progress event arrived
  bool in_flight = true;
  bool cancelled = false;  // a cancellation was sent
  AttemptResult result = AttemptResult::not_started;

  [[nodiscard]] bool awaited() const { return in_flight && !cancelled; }

  /// Whether its result proves that it had no effect.
  [[nodiscard]] bool proven_not_run() const {
    return !in_flight && (result == AttemptResult::rejected || result == AttemptResult::connect_failed ||
                          result == AttemptResult::not_started);
  }
};

/// A request that is open, or that still has an attempt in flight.
struct Request {
  RequestArrival arrival;
  Time queued_at{};
  Time answer_by{};  // the final answer is sent by this time
  bool open = true;
  bool queued = false;                 // it is in the queue of its class
  Time health_checks_awaited_until{};  // 0: none were sent for it
  std::vector<Attempt> attempts;
  Time may_run_until{};      // an attempt that has ended may still run at its engine until then
  double relative_size = 1;  // its estimated work relative to the mean of its class

  [[nodiscard]] bool in_flight() const { return std::ranges::any_of(attempts, &Attempt::in_flight); }
  [[nodiscard]] auto awaited() const { return std::ranges::count_if(attempts, &Attempt::awaited); }

  /// Whether any attempt was sent to this engine.
  [[nodiscard]] bool was_sent_to(EngineId engine) const {
    return std::ranges::any_of(attempts, [engine](const Attempt& a) { return a.engine == engine; });
  }
  /// Whether an attempt at this engine is awaited.
  [[nodiscard]] bool awaited_from(EngineId engine) const {
    return std::ranges::any_of(attempts,
                               [engine](const Attempt& a) { return a.awaited() && a.engine == engine; });
  }
};

/// The settings of the request's class. Its class index must be valid.
inline const ClassSettings& class_settings(const Settings& settings, const Request& request) {
  return settings.classes[request.arrival.cls];
}

/// Whether the request is ordered by its ordering key.
inline bool is_ordered(const Settings& settings, const Request& request) {
  return request.arrival.ordering_key != 0 && request.arrival.cls < settings.classes.size() &&
         class_settings(settings, request).ordered_by_key;
}

}  // namespace bellstair::policy
