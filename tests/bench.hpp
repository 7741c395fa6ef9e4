// Drives a Scheduler on a manually advanced clock and records the actions that it returns.
#pragma once

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "bellstair/policy/scheduler.hpp"

namespace bellstair::policy::test {

using namespace std::chrono_literals;

inline Settings basic_settings() {
  Settings s;
  s.brokers = 1;
  s.max_attempts = 3;
  s.sends_retry_after = true;
  s.max_retry_after = 500ms;
  s.may_cancel = true;
  s.kinds = {{"one", 4, 8192}, {"two", 4, 8192}};
  ClassSettings quick;
  quick.name = "quick";
  quick.latency_objective = 1s;
  quick.client_timeout = 5s;
  ClassSettings once = quick;
  once.name = "once";
  once.latency_objective = 2s;
  once.idempotency = Idempotency::not_idempotent;
  ClassSettings keyed = quick;
  keyed.name = "keyed";
  keyed.latency_objective = 3s;
  keyed.idempotency = Idempotency::keyed;
  keyed.deduplication_scope = DeduplicationScope::zone;
  keyed.deduplication_window = 2s;
  s.classes = {quick, once, keyed};
  s.slow_start_capacity = 0.4;
  s.slow_start_duration = 10s;
  s.slow_start_overload_factor = 2.5;
  s.slow_start_overload_window = 2s;
  s.drain_grace = 500ms;
  return s;
}

class SchedulerHarness {
 public:
  explicit SchedulerHarness(Settings settings, std::uint64_t seed = 1)
      : scheduler(std::move(settings), seed) {}

  std::vector<Action> handle(Time time, std::vector<Event> events) {
    now = time;
    std::vector<Action> out;
    scheduler.handle(now, events, out);
    for (const auto& action : out) {
      if (const auto* send = std::get_if<SendAttempt>(&action)) sent.push_back(*send);
      if (std::holds_alternative<ScheduleTimer>(action))
        next_timer_at = now + std::get<ScheduleTimer>(action).delay;
      if (const auto* reject = std::get_if<Reject>(&action)) ++rejected[reject->request];
      if (const auto* fail = std::get_if<Fail>(&action)) ++failed[fail->request];
      if (const auto* cancel = std::get_if<CancelAttempt>(&action))
        cancelled.emplace_back(cancel->request, cancel->attempt);
    }
    return out;
  }
  // Advances the clock to `time`; each timer fires at the time that the scheduler requested.
  void run_until(Time time) {
    while (next_timer_at <= time) handle(next_timer_at, {TimerFired{}});
    handle(time, {});
  }
  void set_endpoints(std::vector<Endpoint> engines, EndpointListKind kind = EndpointListKind::full) {
    handle(now, {EndpointList{kind, std::move(engines)}});
  }
  void submit(RequestId id, ClassIndex cls, Time time_left = 5s, std::uint64_t ordering_key = 0,
              std::int64_t data_group = 1) {
    RequestArrival arrival;
    arrival.request = id;
    arrival.cls = cls;
    arrival.time_left = time_left;
    arrival.ordering_key = ordering_key;
    arrival.data_group = data_group;
    handle(now, {arrival});
  }
  void complete_attempt(RequestId id, AttemptIndex attempt, EngineId engine, AttemptResult result,
                        Time latency = 100ms) {
    AttemptOutcome outcome;
    outcome.request = id;
    outcome.attempt = attempt;
    outcome.engine = engine;
    outcome.result = result;
    outcome.latency = latency;
    outcome.request_closed = result == AttemptResult::served;
    handle(now, {outcome});
  }
  [[nodiscard]] int attempts_of(RequestId id) const {
    return static_cast<int>(
        std::count_if(sent.begin(), sent.end(), [id](auto& s) { return s.request == id; }));
  }
  [[nodiscard]] int attempts_to(EngineId engine) const {
    return static_cast<int>(
        std::count_if(sent.begin(), sent.end(), [engine](auto& s) { return s.engine == engine; }));
  }
  // Counts Reject and Fail actions; a request that an engine has served has none.
  [[nodiscard]] int unserved_count(RequestId id) { return rejected[id] + failed[id]; }

  Scheduler scheduler;
  Time now{100s};
  Time next_timer_at{1000000s};
  std::vector<SendAttempt> sent;
  std::map<RequestId, int> rejected, failed;
  std::vector<std::pair<RequestId, AttemptIndex>> cancelled;
};

inline Endpoint engine(EngineId id, std::uint16_t zone = 0, std::uint16_t kind = 0) {
  Endpoint e;
  e.engine = id;
  e.zone = zone;
  e.kind = kind;
  e.cell = zone;
  return e;
}

inline Endpoint with_state(Endpoint e, EngineState state) {
  e.state = state;
  return e;
}

}  // namespace bellstair::policy::test
