// Tests of many brokers in one process: behaviour that is harmless in one broker must be harmless in all at
// once.
#include <gtest/gtest.h>

#include <cmath>
#include <deque>
#include <memory>
#include <random>

#include "bench.hpp"

namespace bellstair::policy::test {
namespace {

constexpr unsigned kBrokers = 100;
constexpr EngineId kEngines = 30;

// The platform's settings for a hundred brokers: engines of 8 cores; classes lookup, report and load.
Settings fleet_settings() {
  Settings s = basic_settings();
  s.brokers = kBrokers;
  s.min_call_interval = 1ms;
  s.max_attempts = 4;
  s.kinds = {{"std-8", 8, 16384}};
  s.may_health_check = s.may_gossip = s.hedging = true;
  ClassSettings lookup;
  lookup.name = "lookup";
  lookup.latency_objective = 170ms;
  lookup.objective_stretch = 1.5;
  lookup.client_timeout = 840ms;
  lookup.waits_for_data_group = true;
  ClassSettings report = lookup;
  report.name = "report";
  report.latency_objective = 840ms;
  report.objective_stretch = 2.5;
  report.client_timeout = 8380ms;
  report.priority_weight = 15;
  report.threads = 4;
  report.waits_for_data_group = false;
  ClassSettings load = report;
  load.name = "load";
  load.latency_objective = 1260ms;
  load.objective_stretch = 3;
  load.client_timeout = 10470ms;
  load.priority_weight = 20;
  load.idempotency = Idempotency::keyed;
  load.deduplication_window = 15s;
  load.ordered_by_key = true;
  load.threads = 2;
  load.locks_data_group = true;
  s.classes = {lookup, report, load};
  return s;
}

// All brokers, with the same endpoint list and clock.
struct Fleet {
  explicit Fleet(Settings settings) {
    for (unsigned i = 0; i < settings.brokers; ++i) {
      settings.broker_index = i;
      all.push_back(std::make_unique<SchedulerHarness>(settings, 1000 + i));
      std::vector<Endpoint> engines;
      for (EngineId id = 1; id <= kEngines; ++id) engines.push_back(engine(id));
      all.back()->set_endpoints(engines);
    }
  }
  std::vector<std::unique_ptr<SchedulerHarness>> all;
};

// On a calm day, three in ten queries waited for memory at their engines and were counted as
// running. The fleet seemed overloaded, and 13% of all requests were rejected as too big while cores were
// idle.
TEST(Fleet, QueriesWaitingForMemoryDoNotRaiseLoadLevel) {
  for (const double util : {0.5, 1.0}) {
    Settings s = basic_settings();
    s.load_report_fields = {LoadReportField::inflight, LoadReportField::util};
    SchedulerHarness harness(s);
    harness.set_endpoints({engine(7)});
    HealthCheckResult check;
    check.engine = 7;
    check.result = AttemptResult::served;
    check.load = {12, util};  // on 4 cores
    harness.handle(harness.now, {check});
    EXPECT_NEAR(harness.scheduler.load_level(), util < 1 ? 0.8 : 3, 0.01) << "threads a core";
  }
}

// Every broker sent health checks for reports that contain only memory and disk use, which it does not use,
// and held its queries until the results arrived. The checks had a cost, and lookups lost a quarter of their
// latency objective.
TEST(Fleet, SendsNoHealthChecksForUnusedReportFields) {
  Settings s = fleet_settings();
  s.load_report_fields = {LoadReportField::queue, LoadReportField::disk_share, LoadReportField::memory_share};
  Fleet fleet(s);
  std::size_t checks = 0, sent_at_once = 0;
  for (auto& harness : fleet.all) {
    for (RequestId id = 1; id <= 6; ++id) {
      RequestArrival arrival;
      arrival.request = id;
      arrival.time_left = 840ms;
      for (const auto& action : harness->handle(harness->now + 100ms, {arrival}))
        checks += std::holds_alternative<SendHealthCheck>(action) ? 1 : 0;
      sent_at_once += harness->sent.size() == id ? 1 : 0;
    }
  }
  EXPECT_EQ(checks, 0U);
  EXPECT_EQ(sent_at_once, 6U * kBrokers) << "each query is sent at once";
}

// Simulates a fleet that runs queries, and delivers the gossip between its brokers.
struct LoadSimulation {
  explicit LoadSimulation(Fleet& simulated_fleet) : fleet(simulated_fleet) {}
  // Simulates 20 ms. Each broker receives a query with its own probability; each query runs for `duration`.
  void step(const std::vector<double>& arrival_chance, Time duration) {
    std::vector<std::vector<Event>> inboxes(fleet.all.size());
    now += 20ms;
    for (std::size_t i = 0; i < fleet.all.size(); ++i) {
      auto events = std::exchange(outcomes_due[i][now], {});
      outcomes_due[i].erase(now);
      events.emplace_back(TimerFired{});
      if (std::generate_canonical<double, 32>(random) < arrival_chance[i]) {
        RequestArrival arrival;
        arrival.request = ++last_request;
        arrival.time_left = 8s;
        arrival.cls = cls;
        arrival.tenant = std::generate_canonical<double, 32>(random) < 0.59 ? 0 : 1;
        events.emplace_back(arrival);
        ++queries;
      }
      running_queries[i] -= static_cast<int>(std::ranges::count_if(
          events, [](const Event& e) { return std::holds_alternative<AttemptOutcome>(e); }));
      for (const auto& action : fleet.all[i]->handle(now, std::move(events))) {
        if (const auto* gossip = std::get_if<SendGossip>(&action)) {
          ++datagrams;
          inboxes[*gossip->to].emplace_back(GossipMessage{static_cast<std::uint32_t>(i), gossip->bytes});
        }
        if (const auto* send = std::get_if<SendAttempt>(&action)) {
          AttemptOutcome outcome;
          outcome.request = send->request;
          outcome.engine = send->engine;
          outcome.latency = send->engine == slow_engine ? 5 * duration : duration;
          outcome.work = 4 * duration;  // as for four threads, at every engine
          outcome.request_closed = true;
          outcomes_due[i][now + outcome.latency].emplace_back(outcome);
          ++running_queries[i];
          ++attempts[send->engine];
        }
        rejected += std::holds_alternative<Reject>(action) ? 1 : 0;
      }
    }
    for (std::size_t i = 0; i < inboxes.size() && !gossip_blocked; ++i)
      fleet.all[i]->handle(now, std::move(inboxes[i]));
  }
  bool gossip_blocked = false;  // gossip is not delivered
  Fleet& fleet;
  Time now{200s};
  RequestId last_request = 0;
  std::mt19937_64 random{7};
  ClassIndex cls = 1;
  EngineId slow_engine = 0;
  std::map<EngineId, std::size_t> attempts;
  std::map<std::size_t, std::map<Time, std::vector<Event>>> outcomes_due;
  std::map<std::size_t, int> running_queries;
  std::size_t queries = 0, datagrams = 0, rejected = 0;
};

// Each broker sent thirty messages of five bytes for a query, and sent and received 165 messages a second.
// The level computed from ten of them was anywhere between a sixth and three times the true one.
TEST(Fleet, FewDatagramsGiveAccurateLoadLevel) {
  Settings s = fleet_settings();
  Fleet fleet(s);
  LoadSimulation simulation(fleet);
  std::vector<double> arrival_chances;
  for (unsigned i = 0; i < kBrokers; ++i)
    arrival_chances.push_back(i % 10 == 0 ? 0.2 : 0.04);  // some have more load
  // 5.6 queries a broker in two seconds, each of 4 threads for 200 ms: 0.9 threads a core.
  for (int n = 0; n < 400; ++n) simulation.step(arrival_chances, 200ms);
  EXPECT_LT(static_cast<double>(simulation.datagrams), 8.0 * static_cast<double>(simulation.queries));
  double sum = 0, squares = 0, true_sum = 0;
  for (int n = 0; n < 100; ++n) {
    simulation.step(arrival_chances, 200ms);
    for (unsigned i = 0; i < kBrokers; ++i) {
      true_sum += 4.0 * simulation.running_queries[i] / (8.0 * kEngines);
      const double level = fleet.all[i]->scheduler.load_level();
      sum += level;
      squares += level * level;
    }
  }
  const double mean = sum / 100 / kBrokers, sd = std::sqrt(squares / 100 / kBrokers - mean * mean);
  EXPECT_NEAR(mean, true_sum / 100, 0.15 * mean);
  EXPECT_LT(sd, 0.25 * mean) << "spread of the level between brokers";
}

// Three hundred brokers that received no gossip used the old level for 5 s, while their engines filled up to
// ten threads a core and made no progress for the next ten seconds. After the 5 s, the brokers had no level
// at all.
TEST(Fleet, OwnThreadsShowOverloadWithoutGossip) {
  Settings s = fleet_settings();
  Fleet fleet(s);
  LoadSimulation simulation(fleet);
  std::vector<double> arrival_chances;
  for (unsigned i = 0; i < kBrokers; ++i) arrival_chances.push_back(i % 10 == 0 ? 0.2 : 0.04);
  for (int n = 0; n < 300; ++n) simulation.step(arrival_chances, 200ms);
  const auto mean_levels = [&] {
    double sum = 0, truth = 0;
    for (int n = 0; n < 50; ++n) {
      simulation.step(arrival_chances, 2s);
      for (unsigned i = 0; i < kBrokers; ++i) {
        truth += 4.0 * simulation.running_queries[i] / (8.0 * kEngines);
        sum += fleet.all[i]->scheduler.load_level();
      }
    }
    return std::pair(sum / 50 / kBrokers, truth / 50);
  };
  simulation.gossip_blocked = true;
  for (int n = 0; n < 100; ++n) simulation.step(arrival_chances, 2s);  // engines slow down
  const auto [estimated, truth] = mean_levels();
  EXPECT_GT(truth, 1.5) << "the fleet is overloaded";
  EXPECT_GT(estimated, 0.3 * truth) << "the estimate may lag while the load rises";
  EXPECT_LT(estimated, 2 * truth);
  for (int n = 0; n < 300; ++n) simulation.step(arrival_chances, 2s);
  const auto [later_estimate, later_truth] = mean_levels();
  EXPECT_GT(later_estimate, 0.5 * later_truth) << "a level is estimated however long gossip is missing";
  EXPECT_LT(later_truth, 4) << "the brokers limit their load by it";
}

// A broker sends each of thirty engines one query in five seconds. By its own answers alone, it detects a
// slow engine long after all brokers have overloaded it. Gossip therefore contains latency ratios of other
// brokers too.
TEST(Fleet, AllBrokersDetectSlowEngineWithinSeconds) {
  Settings s = fleet_settings();
  s.hedging = false;
  s.load_report_fields = {LoadReportField::queue, LoadReportField::disk_share, LoadReportField::memory_share};
  Fleet fleet(s);
  LoadSimulation simulation(fleet);
  simulation.slow_engine = 5;
  const std::vector<double> arrival_chances(kBrokers, 0.08);
  for (int n = 0; n < 250; ++n) simulation.step(arrival_chances, 200ms);
  simulation.attempts.clear();
  simulation.queries = 0;
  for (int n = 0; n < 250; ++n) simulation.step(arrival_chances, 200ms);
  const double even = static_cast<double>(simulation.queries) / kEngines;
  EXPECT_LT(static_cast<double>(simulation.attempts[5]), 0.3 * even);
  EXPECT_GT(simulation.attempts[5], 0U) << "without a query, no broker would detect its recovery";
}

// A broker of a large fleet receives a few queries a second, in bursts. A quota of those, refilled only as
// fast as it is used, ran out again and again, and half of all rejections hit tenants within their quota.
TEST(Fleet, DoesNotRejectBurstsOfTenantsWithinQuota) {
  Settings s = fleet_settings();
  s.tenants = {{"a", 0.59, 300}, {"b", 0.41, 210}};
  s.over_quota_weight = 0.1;
  s.hedging = false;
  Fleet fleet(s);
  LoadSimulation simulation(fleet);
  // Each broker receives 5 queries a second, and its share of all quotas is 5.1 a second. The fleet runs 1.67
  // threads a core and thus counts as overloaded.
  simulation.cls = 0;
  const std::vector<double> arrival_chances(kBrokers, 0.1);
  for (int n = 0; n < 600; ++n) simulation.step(arrival_chances, 800ms);
  EXPECT_LT(static_cast<double>(simulation.rejected), 0.02 * static_cast<double>(simulation.queries));
}

// Six in ten engines restart within seconds. The work that all brokers together send must not overload an
// engine that is warming up, not even at a peak of load, but such engines must be used. With 1.5 times the
// permits, an engine received 3.2 times its capacity here.
TEST(Fleet, UsesEnginesInSlowStartWithoutOverloadingThem) {
  Settings s = fleet_settings();
  s.hedging = false;
  s.slow_start_capacity = 0.33;
  s.slow_start_duration = 15s;
  s.slow_start_overload_factor = 2.5;
  s.slow_start_overload_window = 1s;
  Fleet fleet(s);
  LoadSimulation simulation(fleet);
  simulation.step(std::vector<double>(kBrokers, 0), 200ms);
  const Time restarted_at = simulation.now;
  std::vector<Endpoint> restarted;
  for (EngineId id = 13; id <= kEngines; ++id) {
    restarted.push_back(engine(id));
    restarted.back().started_at = restarted_at;
  }
  for (auto& harness : fleet.all) harness->set_endpoints(restarted, EndpointListKind::delta);
  const double work = 0.8;  // core-seconds of a query, four threads for 200 ms
  std::map<EngineId, std::deque<Time>> recent_sends;
  double worst_load = 0, slow_start_work = 0, warm_work = 0;
  for (int n = 0; n < 500; ++n) {
    simulation.attempts.clear();
    // The load rises between steps 250 and 350.
    simulation.step(std::vector<double>(kBrokers, n > 250 && n < 350 ? 0.2 : 0.05), 200ms);
    for (const auto& [id, count] : simulation.attempts) {
      (id < 13 ? warm_work : slow_start_work) += work * static_cast<double>(count);
      if (id < 13) continue;
      auto& times = recent_sends[id];
      times.insert(times.end(), count, simulation.now);
      while (times.front() <= simulation.now - 1s) times.pop_front();
      const double capacity_fraction =
          0.33 + 0.67 * std::chrono::duration<double>(simulation.now - restarted_at).count() / 15;
      worst_load = std::max(worst_load, work * static_cast<double>(times.size()) / (8 * capacity_fraction));
    }
  }
  EXPECT_LT(worst_load, 2.5);
  EXPECT_GT(slow_start_work / 18, 0.2 * warm_work / 12)
      << "core-seconds for each engine in slow start against each warm one";
}

}  // namespace
}  // namespace bellstair::policy::test
