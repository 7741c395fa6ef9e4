// Regression tests of the policy module: each one fails without the rule that prevents the failure.
#include <gtest/gtest.h>

#include <map>
#include <set>
#include <tuple>

#include "bench.hpp"
#include "policy/gossip_codec.hpp"
#include "policy/start_tracker.hpp"

namespace bellstair::policy::test {
namespace {

TEST(OutlierDetector, EjectsEngineThatFailsFastThoughItLooksIdle) {
  SchedulerHarness harness(basic_settings());
  harness.set_endpoints({engine(7), engine(8), engine(9)});
  int sent_to_failing = 0;
  for (RequestId id = 1; id <= 60; ++id) {
    const auto first_new = harness.sent.size();
    harness.submit(id, 0, 5s, 0, id);  // of many data groups
    for (auto i = first_new; i < harness.sent.size(); ++i) {
      const auto sent = harness.sent[i];
      sent_to_failing += sent.engine == 8 ? 1 : 0;
      const auto n = static_cast<AttemptIndex>(harness.attempts_of(sent.request) - 1);
      harness.complete_attempt(sent.request, n, sent.engine,
                               sent.engine == 8 ? AttemptResult::error : AttemptResult::served);
    }
    harness.run_until(harness.now + 20ms);
  }
  EXPECT_LE(sent_to_failing, 4) << "two errors in a row eject it, then it gets one trial at a time";
  EXPECT_GE(sent_to_failing, 2);
}

// Clients sent statements that no engine accepts. Each was retried at one engine after another, and all
// engines were ejected for the errors, 159 times in 20 s.
TEST(OutlierDetector, EjectsNoEngineForStatementThatTwoEnginesFail) {
  SchedulerHarness harness(basic_settings());
  harness.set_endpoints({engine(7), engine(8), engine(9)});
  for (RequestId id = 1; id <= 20; ++id) {
    harness.submit(id, 0, 5s, 0, id);
    for (int n = 0; n < harness.attempts_of(id); ++n)
      harness.complete_attempt(id, static_cast<AttemptIndex>(n), harness.sent.back().engine,
                               AttemptResult::error);
    EXPECT_EQ(harness.attempts_of(id), 2);
    EXPECT_EQ(harness.unserved_count(id), 1);
    harness.run_until(harness.now + 20ms);
  }
  for (RequestId id = 101; id <= 103; ++id) harness.submit(id, 0, 5s, 0, id);
  EXPECT_EQ(harness.attempts_to(7) + harness.attempts_to(8) + harness.attempts_to(9), 43);
  EXPECT_EQ(harness.attempts_of(101) + harness.attempts_of(102) + harness.attempts_of(103), 3)
      << "no request waits for an engine";
}

TEST(OutlierDetector, ReadmitsRecoveredEngine) {
  SchedulerHarness harness(basic_settings());
  harness.set_endpoints({engine(7), engine(8)});
  const auto run_queries = [&harness](RequestId from, RequestId to, bool fails) {
    for (RequestId id = from; id <= to; ++id) {
      const auto first_new = harness.sent.size();
      harness.submit(id, 0, 5s, 0, id);  // of many data groups
      for (auto i = first_new; i < harness.sent.size(); ++i) {
        const auto sent = harness.sent[i];
        const auto n = static_cast<AttemptIndex>(harness.attempts_of(sent.request) - 1);
        harness.complete_attempt(sent.request, n, sent.engine,
                                 fails && sent.engine == 8 ? AttemptResult::error : AttemptResult::served);
      }
      harness.run_until(harness.now + 50ms);
    }
  };
  run_queries(1, 20, true);
  const int before = harness.attempts_to(8);
  run_queries(21, 120, false);
  EXPECT_GT(harness.attempts_to(8) - before, 20);
}

TEST(AttemptMonitor, CancelsAttemptsAtSilentEngineAndAvoidsIt) {
  Settings s = basic_settings();
  s.progress_interval = 500ms;
  SchedulerHarness harness(s);
  harness.set_endpoints({engine(7)});
  harness.submit(1, 0);
  harness.set_endpoints({engine(7), engine(8), engine(9)});
  harness.run_until(harness.now + 1700ms);
  ASSERT_EQ(harness.cancelled.size(), 1U);
  harness.complete_attempt(1, 0, 7, AttemptResult::cancelled);
  ASSERT_EQ(harness.attempts_of(1), 2);
  EXPECT_NE(harness.sent.back().engine, 7U);
}

TEST(AttemptMonitor, AvoidsSilentEngineWhereCancelIsNotAllowed) {
  Settings s = basic_settings();
  s.may_cancel = false;
  SchedulerHarness harness(s);
  harness.set_endpoints({engine(7)});
  for (RequestId id = 1; id <= 4; ++id) harness.submit(id, 0);
  ASSERT_EQ(harness.attempts_to(7), 4);
  harness.set_endpoints({engine(7), engine(8), engine(9)});
  harness.run_until(harness.now + 1s);
  const int before = harness.attempts_to(7);
  for (RequestId id = 10; id <= 14; ++id) harness.submit(id, 0);
  EXPECT_EQ(harness.attempts_to(7), before);
  EXPECT_TRUE(harness.cancelled.empty());
}

// Timeouts before the client's deadline left work running on engines that ignore cancels, and aborted
// legitimate long queries: 4% on a quiet day.
TEST(Dispatcher, GivesHealthyEngineTheWholeTimeLeft) {
  SchedulerHarness harness(basic_settings());
  harness.set_endpoints({engine(7)});
  harness.submit(1, 0, 5s);
  EXPECT_GT(harness.sent[0].give_up_at, harness.now + 4900ms);
  EXPECT_LT(harness.sent[0].give_up_at, harness.now + 5s);
}

// Counts the attempts of a query whose only engine has just sent this load report. Each broker without a
// query at a full engine sent it one anyway; with many brokers, this overloaded the whole fleet.
int attempts_after_report(std::vector<LoadReportField> fields, std::vector<double> load) {
  Settings s = basic_settings();
  s.brokers = 8;
  s.load_report_fields = std::move(fields);
  SchedulerHarness harness(s);
  harness.set_endpoints({engine(7)});
  harness.submit(1, 0);
  AttemptOutcome outcome;
  outcome.request = 1;
  outcome.engine = 7;
  outcome.request_closed = true;
  outcome.load_report = std::move(load);
  harness.handle(harness.now, {outcome});
  harness.submit(2, 0);
  return harness.attempts_of(2);
}

TEST(EndpointScorer, SendsNothingToEngineReportedAsFull) {
  EXPECT_EQ(attempts_after_report({LoadReportField::inflight}, {60}), 0);
}

// A single query much longer than usual counted as silence: 153 times on a day without any failure.
TEST(AttemptMonitor, KeepsEngineWithSingleLongQuery) {
  Settings s = basic_settings();
  s.classes[0].client_timeout = 60s;
  SchedulerHarness harness(s);
  harness.set_endpoints({engine(7), engine(8), engine(9)});
  harness.submit(1, 0, 60s);
  const auto used = harness.sent[0].engine;
  harness.run_until(harness.now + 10s);
  EXPECT_TRUE(harness.cancelled.empty());
  EXPECT_DOUBLE_EQ(harness.scheduler.thread_pool(), 24) << "engine " << used << " still counts";
}

// Reports arrive late and are the same at all brokers: going by them alone, all brokers sent their queries to
// one engine at the same time.
TEST(EndpointScorer, SendsOnlyPartOfQueriesToEngineReportedAsIdle) {
  Settings s = basic_settings();
  s.brokers = 4;
  s.load_report_fields = {LoadReportField::inflight};
  s.kinds = {{"one", 16, 0}};
  SchedulerHarness harness(s);
  harness.set_endpoints({engine(7), engine(8), engine(9)});
  for (const EngineId id : {7U, 8U, 9U}) {
    HealthCheckResult check;
    check.engine = id;
    check.load = {id == 8 ? 0.0 : 8.0};
    harness.handle(harness.now, {check});
  }
  for (RequestId id = 1; id <= 8; ++id) harness.submit(id, 0);
  EXPECT_LT(harness.attempts_to(8), 8);
  EXPECT_GE(harness.attempts_to(8), 2) << "an idle engine still receives some of them";
}

// With queries spread evenly, no engine had a group's data cached; and of two engines with equal load, all
// brokers chose the same one.
TEST(DataGroupAffinity, PrefersSameTwoEnginesForGroupAtEqualLoad) {
  Settings s = basic_settings();
  s.kinds = {{"one", 32, 0}};
  std::map<EngineId, int> used;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SchedulerHarness harness(s, seed);
    harness.set_endpoints({engine(3), engine(4), engine(5), engine(6), engine(7)});
    harness.submit(1, 0, 5s, 0, 12);
    ++used[harness.sent[0].engine];
  }
  EXPECT_EQ(used.size(), 2U);
}

// With grants chosen by the engines, queries with a heavy-tailed memory need spilled to disk and took several
// times their work.
TEST(AttemptTerms, MemoryGrantsFollowNeedsReportedInAnswers) {
  Settings s = basic_settings();
  s.memory_grants = true;
  SchedulerHarness harness(s);
  harness.set_endpoints({engine(7)});
  const auto granted = [&harness](RequestId id) {
    RequestArrival arrival;
    arrival.request = id;
    arrival.time_left = 5s;
    for (const auto& action : harness.handle(harness.now, {arrival}))
      if (const auto* terms = std::get_if<AttemptTerms>(&action)) return terms->memory_mb;
    return -1.0;
  };
  EXPECT_EQ(granted(1), 0) << "no need reported yet: the engine chooses";
  AttemptOutcome outcome;
  outcome.request = 1;
  outcome.engine = 7;
  outcome.request_closed = true;
  outcome.work = 100ms;
  outcome.memory_mb = 100;
  harness.handle(harness.now, {outcome});
  EXPECT_GT(granted(2), 200);
}

// If engines reserve the whole grant, a grant far above the estimate makes other queries wait for memory. If
// they count only memory in use, it has no cost.
TEST(AttemptTerms, GrantsLessMemoryWhereEnginesReserveIt) {
  for (const auto shortage : {MemoryShortage::overcommit, MemoryShortage::wait, MemoryShortage::shrink}) {
    Settings s = basic_settings();
    s.memory_grants = true;
    s.memory_shortage = shortage;
    SchedulerHarness harness(s);
    harness.set_endpoints({engine(7)});
    RequestArrival arrival;
    arrival.request = 1;
    arrival.time_left = 5s;
    arrival.estimated_memory_mb = 100;
    double granted = 0;
    for (const auto& action : harness.handle(harness.now, {arrival}))
      if (const auto* terms = std::get_if<AttemptTerms>(&action)) granted = terms->memory_mb;
    EXPECT_NEAR(granted, shortage == MemoryShortage::overcommit ? 200 : 160, 1);
  }
}

// Queries that wait for memory at an engine use no core, but were counted as running, so that engines seemed
// overloaded.
TEST(LoadEstimator, DoesNotCountQueriesWaitingForMemoryAsRunning) {
  for (const double waiting : {0.0, 55.0})
    EXPECT_EQ(attempts_after_report({LoadReportField::queue, LoadReportField::inflight}, {waiting, 60}),
              waiting > 0 ? 1 : 0);
}

// Every engine got three health checks a second for reports that its answers contain anyway.
TEST(HealthChecker, SendsNoChecksWhereAnswersReportLoad) {
  for (const bool in_answers : {false, true}) {
    Settings s = basic_settings();
    s.may_health_check = true;
    s.answers_report_load = in_answers;
    s.load_report_fields = {LoadReportField::inflight};
    SchedulerHarness harness(s);
    harness.set_endpoints({engine(7), engine(8), engine(9)});
    std::size_t checks = 0;
    for (RequestId id = 1; id <= 20; ++id) {
      harness.submit(id, 0);
      for (const auto& action : harness.handle(harness.next_timer_at, {TimerFired{}}))
        checks += std::holds_alternative<SendHealthCheck>(action) ? 1 : 0;
      for (int i = 0; i < 20; ++i) harness.handle(harness.next_timer_at, {TimerFired{}});
    }
    EXPECT_EQ(checks == 0, in_answers);
  }
}

// Where answers don't report their work, an engine seemed slow after a long query and fast after a short one.
TEST(LatencyMonitor, UsesEstimatedWorkWhereAnswersReportNone) {
  Settings s = basic_settings();
  s.brokers = 20;
  s.may_gossip = true;
  SchedulerHarness harness(s);
  harness.set_endpoints({engine(7)});
  unsigned min_value = 255, max_value = 0;
  for (RequestId id = 1; id <= 200; ++id) {
    RequestArrival arrival;
    arrival.request = id;
    arrival.time_left = 5s;
    arrival.estimated_work = id % 2 == 0 ? 600ms : 200ms;
    harness.handle(harness.now, {arrival});
    harness.run_until(harness.now + 20ms);
    if (harness.attempts_of(id) == 0) continue;
    harness.complete_attempt(id, 0, 7, AttemptResult::served, *arrival.estimated_work);
    for (int tick = 0; tick < 12; ++tick) {
      for (const auto& action : harness.handle(harness.next_timer_at, {TimerFired{}})) {
        const auto* gossip = std::get_if<SendGossip>(&action);
        const auto payload = gossip == nullptr ? std::nullopt : decode_gossip(gossip->bytes);
        if (!payload || payload->entries.empty() || id < 100) continue;
        min_value = std::min(min_value, payload->entries[0].value);
        max_value = std::max(max_value, payload->entries[0].value);
      }
    }
  }
  ASSERT_GT(max_value, 0U);
  EXPECT_LT(max_value, min_value * 3 / 2);
}

// Queries of long classes were rejected although their latency objective, which grows with their work, left
// time.
TEST(LoadShedder, QueuesClassLongerIfObjectiveGrowsWithWork) {
  Settings s = basic_settings();
  s.classes[2].idempotency = Idempotency::idempotent;
  s.classes[2].latency_objective = s.classes[0].latency_objective;
  s.classes[2].objective_stretch = 8;
  SchedulerHarness harness(s);
  harness.set_endpoints({});
  harness.submit(1, 0);
  harness.submit(2, 2);
  harness.run_until(harness.now + 1s);
  EXPECT_EQ(harness.rejected[1], 1);
  EXPECT_EQ(harness.rejected[2], 0);
  harness.run_until(harness.now + 1s);
  EXPECT_EQ(harness.rejected[2], 1);
}

// Loads were sent to engines that ran another load of their group. They waited for its lock longer than they
// ran themselves, and their threads overloaded the fleet: a tenth of all loads was rejected.
TEST(EndpointSelector, LoadWaitsForEngineWithoutLockOfItsGroup) {
  Settings s = basic_settings();
  s.classes[1].locks_data_group = true;
  s.classes[0].waits_for_data_group = true;
  SchedulerHarness harness(s);
  harness.set_endpoints({engine(3), engine(4), engine(5)});
  for (RequestId id = 1; id <= 4; ++id) harness.submit(id, 1, 5s, 0, 12);
  std::map<EngineId, int> sent;
  for (const auto& to : harness.sent) ++sent[to.engine];
  EXPECT_EQ(sent, (std::map<EngineId, int>{{3, 1}, {4, 1}, {5, 1}}));
  EXPECT_EQ(harness.attempts_of(4), 0);
  harness.submit(5, 1, 5s, 0, 13);
  EXPECT_EQ(harness.attempts_of(5), 1) << "a load of another group does not wait";
  const auto before = harness.sent.size();
  for (RequestId id = 6; id <= 9; ++id) harness.submit(id, 1, 5s, 0, 0);
  EXPECT_EQ(harness.sent.size() - before, 4U) << "a load without a group has no known conflict";
  const auto first = harness.sent.front();
  harness.complete_attempt(first.request, 0, first.engine, AttemptResult::served);
  ASSERT_EQ(harness.attempts_of(4), 1);
  EXPECT_EQ(harness.sent.back().engine, first.engine);
}

// Popular groups were locked at nearly every engine, and most short queries waited for loads.
TEST(EndpointSelector, ReadersAvoidEnginesThatLockTheirGroup) {
  Settings s = basic_settings();
  s.classes[1].locks_data_group = true;
  s.classes[0].waits_for_data_group = true;
  SchedulerHarness harness(s);
  harness.set_endpoints({engine(3), engine(4), engine(5), engine(6), engine(7)});
  for (RequestId id = 1; id <= 2; ++id) harness.submit(id, 1, 5s, 0, 12);
  const std::set<EngineId> locked{harness.sent.at(0).engine, harness.sent.at(1).engine};
  for (RequestId id = 11; id <= 16; ++id) {
    harness.submit(id, 0, 5s, 0, 12);
    ASSERT_EQ(harness.attempts_of(id), 1);
    EXPECT_FALSE(locked.contains(harness.sent.back().engine));
  }
}

// The penalty for an engine of another zone follows the cross-zone cost in the settings.
TEST(EndpointScorer, UsesOtherZoneOnceLoadDifferenceExceedsCost) {
  struct Case {
    double cost = 0;
    // Queries sent within the zone before the first one that leaves it.
    std::size_t min_near = 0, max_near = 0;
  };
  // Queries have one thread and engines four cores: each query adds a quarter of a thread a core to its
  // engine, and a cost of 0.02 adds 0.4 threads a core. Without a cost, the choice between both
  // engines is random.
  for (const auto& [cost, min_near, max_near] : {Case{0, 0, 1}, Case{0.02, 2, 2}, Case{0.1, 7, 8}}) {
    Settings s = basic_settings();
    s.cross_zone_cost = cost;
    SchedulerHarness harness(s);
    harness.set_endpoints({engine(7, 0), engine(8, 1)});
    for (RequestId id = 1; id <= 8; ++id) harness.submit(id, 0, 5s, 0, static_cast<std::int64_t>(id));
    const auto first_far = std::ranges::find(harness.sent, EngineId{8}, &SendAttempt::engine);
    const auto near = static_cast<std::size_t>(first_far - harness.sent.begin());
    EXPECT_GE(near, min_near) << cost;
    EXPECT_LE(near, max_near) << cost;
  }
}

// Another program used most of one engine of five. The engine was 5 times slower, but was sent as much as the
// others.
TEST(LatencyMonitor, SlowEngineGetsFewerQueriesAndLoads) {
  Settings s = basic_settings();
  s.kinds = {{"one", 16, 8192}};
  s.classes[0].waits_for_data_group = s.classes[2].locks_data_group = true;
  s.classes[2].deduplication_scope = DeduplicationScope::all;
  s.answers_report_cost = true;
  SchedulerHarness harness(s);
  harness.set_endpoints({engine(7), engine(8), engine(9), engine(10), engine(11)});
  std::vector<std::tuple<Time, RequestId, EngineId>> running;
  std::map<EngineId, int> sent, loads;
  RequestId id = 0;
  std::map<EngineId, int> sent_after_recovery;
  for (int step = 0; step < 4000; ++step) {
    const auto first_new = harness.sent.size();
    const auto latency_at = [&](EngineId to) { return to == 8 && step < 2000 ? 500ms : 100ms; };
    const bool load = step % 3 == 0;
    harness.submit(++id, load ? 2 : 0, 5s, 0, step % 40);
    for (auto i = first_new; i < harness.sent.size(); ++i) {
      const auto to = harness.sent[i].engine;
      running.emplace_back(harness.now + latency_at(to), harness.sent[i].request, to);
      if (step >= 1000 && step < 2000) ++(load ? loads : sent)[to];
      if (step >= 3000) ++sent_after_recovery[to];
    }
    harness.run_until(harness.now + 10ms);
    for (auto it = running.begin(); it != running.end();) {
      const auto [end, request, to] = *it;
      if (end > harness.now) {
        ++it;
        continue;
      }
      it = running.erase(it);
      AttemptOutcome outcome;
      outcome.request = request;
      outcome.attempt = static_cast<AttemptIndex>(harness.attempts_of(request) - 1);
      outcome.engine = to;
      outcome.latency = latency_at(to);
      outcome.work = 100ms;
      outcome.request_closed = true;
      harness.handle(harness.now, {outcome});
    }
  }
  EXPECT_LT(sent[8] * 10, sent[7]);
  // An engine that is sent nothing has no new latencies: it stayed excluded after it had recovered.
  EXPECT_GT(sent_after_recovery[8] * 3, sent_after_recovery[7]);
  EXPECT_LT(loads[8] * 10, loads[7]);  // a load locks its group while it runs
}

TEST(AttemptMonitor, RestartsMuchTooSlowAttemptOnce) {
  Settings s = basic_settings();
  s.progress_interval = 500ms;
  SchedulerHarness harness(s);
  harness.set_endpoints({engine(7), engine(8)});
  harness.submit(1, 0);
  harness.run_until(harness.now + 1s);
  harness.handle(harness.now, {AttemptProgress{1, 0, harness.sent[0].engine, ProgressKind::progress, 0.02}});
  ASSERT_EQ(harness.cancelled.size(), 1U);
  harness.complete_attempt(1, 0, harness.sent[0].engine, AttemptResult::cancelled);
  ASSERT_EQ(harness.attempts_of(1), 2);
  harness.run_until(harness.now + 500ms);
  harness.handle(harness.now, {AttemptProgress{1, 1, harness.sent[1].engine, ProgressKind::progress, 0.01}});
  harness.run_until(harness.now + 500ms);
  harness.handle(harness.now, {AttemptProgress{1, 1, harness.sent[1].engine, ProgressKind::progress, 0.02}});
  EXPECT_EQ(harness.cancelled.size(), 1U) << "slow for the second time: the query itself is long";
}

TEST(AttemptMonitor, DoesNotRestartNonIdempotentAttempt) {
  Settings s = basic_settings();
  s.progress_interval = 500ms;
  SchedulerHarness harness(s);
  harness.set_endpoints({engine(7), engine(8)});
  harness.submit(1, 1);
  harness.run_until(harness.now + 1s);
  harness.handle(harness.now, {AttemptProgress{1, 0, harness.sent[0].engine, ProgressKind::progress, 0.001}});
  EXPECT_TRUE(harness.cancelled.empty());
}

Settings settings_with_reports_and_gossip() {
  Settings s = basic_settings();
  s.brokers = 40;
  s.may_gossip = s.may_health_check = true;
  s.load_report_fields = {LoadReportField::inflight};
  return s;
}

// Sets up one engine and sends it a query.
void send_first(SchedulerHarness& harness) {
  harness.set_endpoints({engine(7)});
  harness.submit(1, 0);
  harness.run_until(harness.now + 60ms);
  ASSERT_EQ(harness.attempts_of(1), 1);
}

// Answers were lost in the whole fleet, each with a connection reset: every engine seemed to have restarted,
// and got work only within the limits of slow start.
TEST(StartTracker, ResponseSoonAfterResetRulesOutRestart) {
  for (const Time answer_after : {5ms, 900ms}) {  // within 900 ms the process may have restarted
    SchedulerHarness harness(settings_with_reports_and_gossip());
    ASSERT_NO_FATAL_FAILURE(send_first(harness));
    AttemptOutcome outcome;
    outcome.request = 1;
    outcome.engine = 7;
    outcome.result = AttemptResult::reset;
    const auto actions = harness.handle(harness.now, {outcome});
    const auto is_health_check = [](const Action& a) { return std::holds_alternative<SendHealthCheck>(a); };
    EXPECT_TRUE(std::ranges::any_of(actions, is_health_check)) << "a health check is sent at once";
    harness.run_until(harness.now + answer_after);
    HealthCheckResult check;
    check.engine = 7;
    check.result = AttemptResult::served;
    check.load = {1.0};
    harness.handle(harness.now, {check});
    for (RequestId id = 2; id < 10; ++id) harness.submit(id, 0);
    harness.run_until(harness.now + 60ms);
    EXPECT_EQ(harness.sent.size() > 3, answer_after < 500ms);
  }
}

// The health check's answer and the peer's report were sent before the process ended, but received after a
// connection to it broke.
TEST(StartTracker, LateMessagesOfEndedProcessDoNotRuleOutRestart) {
  for (const bool by_health_check : {true, false}) {
    SchedulerHarness harness(settings_with_reports_and_gossip());
    ASSERT_NO_FATAL_FAILURE(send_first(harness));
    harness.complete_attempt(1, 0, 7, AttemptResult::reset);
    harness.run_until(harness.now + 5ms);
    if (by_health_check) {
      harness.handle(harness.now, {HealthCheckResult{7, AttemptResult::served, 20ms, {}}});
    } else {
      GossipPayload payload;
      payload.has_reports = true;
      payload.entries = {{7, 0, 0}};
      harness.handle(harness.now, {GossipMessage{3, encode_gossip(payload)}});
    }
    for (RequestId id = 2; id < 10; ++id) harness.submit(id, 0);
    harness.run_until(harness.now + 60ms);
    EXPECT_LE(harness.sent.size(), 3U) << (by_health_check ? "a health check's answer" : "a peer's report");
  }
}

// Connections were reset in the whole fleet, on a busy day more often than answers arrived: engines that kept
// running counted as warming up for 15 s each time, and half of all requests were rejected.
TEST(StartTracker, AnswerToQueryFromBeforeBreakRulesOutRestart) {
  // The answer is to a query sent before the break, or to one sent after it.
  for (const bool sent_before_break : {true, false}) {
    Settings s = basic_settings();
    s.brokers = 40;
    s.may_health_check = true;
    s.load_report_fields = {LoadReportField::inflight};
    SchedulerHarness harness(s);
    harness.set_endpoints({engine(7)});
    const auto send = [&](RequestId id) {
      harness.submit(id, 0);
      harness.run_until(harness.now + 60ms);
    };
    send(1);
    if (sent_before_break) send(2);
    harness.complete_attempt(1, 0, 7, AttemptResult::reset);
    const auto count_at_break = harness.sent.size();
    // Sends until slow start permits a query at the engine.
    for (RequestId id = 3; !sent_before_break && harness.sent.size() == count_at_break && id < 900; ++id)
      send(id);
    ASSERT_EQ(harness.sent.size() > count_at_break, !sent_before_break);
    const auto sent = sent_before_break ? RequestId{2} : harness.sent[count_at_break].request;
    const auto attempt = static_cast<AttemptIndex>(sent == 1 ? 1 : 0);
    harness.run_until(harness.now + 900ms);
    harness.complete_attempt(sent, attempt, 7, AttemptResult::served);
    const auto count_at_answer = harness.sent.size();
    for (RequestId id = 1000; id < 1010; ++id) harness.submit(id, 0);
    harness.run_until(harness.now + 60ms);
    EXPECT_EQ(harness.sent.size() > count_at_answer + 3, sent_before_break);
  }
}

TEST(StartTracker, SuspectedRestartHoldsUntilResponseRulesItOut) {
  constexpr Time kMinRestartTime = 500ms;
  StartTracker tracker;
  tracker.confirm(1s);
  tracker.suspect_restart(10s, false);
  tracker.suspect_restart(20s, true);
  tracker.suspect_restart(30s, false);
  EXPECT_EQ(tracker.started_at(), 30s);
  // A response received when the connection breaks or a little later may be the old process's last message.
  for (const Time at : {Time(30s), Time(30s) + 5ms, Time(30s) + 50ms})
    tracker.record_alive(at, 29s, kMinRestartTime);
  EXPECT_EQ(tracker.started_at(), 30s);
  // The process has run since 25 s: the last break was due to the network.
  tracker.record_alive(33s, 25s, kMinRestartTime);
  EXPECT_EQ(tracker.started_at(), 20s);
  // After a refused connection, a new process may answer this soon.
  tracker.record_alive(Time(20s) + 400ms, Time(20s) + 100ms, kMinRestartTime);
  EXPECT_EQ(tracker.started_at(), 20s);
  tracker.record_alive(35s, 5s, kMinRestartTime);
  EXPECT_EQ(tracker.started_at(), 1s);
  tracker.suspect_restart(40s, false);
  // No process restarts in so short a time.
  tracker.record_alive(Time(40s) + 400ms, Time(40s) + 300ms, kMinRestartTime);
  EXPECT_EQ(tracker.started_at(), 1s);
  tracker.suspect_restart(45s, false);
  // The answered message was sent after the break, so this is no last message of an old process.
  tracker.record_alive(Time(45s) + 1ms, 45s, kMinRestartTime);
  EXPECT_EQ(tracker.started_at(), 1s);
  for (int i = 0; i < 100; ++i) tracker.suspect_restart(Time(50s) + i * 1s, false);
  tracker.record_alive(200s, 2s, kMinRestartTime);
  EXPECT_EQ(tracker.started_at(), Time(50s) + 83s) << "the oldest are confirmed once there are too many";
}

TEST(StartTracker, AllBrokersUseSlowStartAfterConnectionFailure) {
  for (const auto result : {AttemptResult::connect_failed, AttemptResult::reset}) {
    int brokers_that_retried = 0, early = 0;
    for (unsigned i = 0; i < 40; ++i) {
      Settings s = basic_settings();
      s.brokers = 40;
      s.broker_index = i;
      SchedulerHarness harness(s, 1 + i);
      harness.set_endpoints({engine(7)});
      // In its first window, a broker sends nothing to an engine that is warming up.
      harness.run_until(harness.now + s.slow_start_overload_window);
      harness.submit(1, 0);
      harness.complete_attempt(1, 0, 7, result);
      const auto failed_at = harness.now;
      for (RequestId id = 2; id < 30; ++id) {
        harness.submit(id, 0);
        harness.run_until(harness.now + 100ms);
      }
      brokers_that_retried += harness.sent.size() > 1 ? 1 : 0;
      for (std::size_t n = 1; n < harness.sent.size(); ++n) early += harness.now < failed_at + 3s ? 1 : 0;
    }
    EXPECT_LT(brokers_that_retried, 20) << "forty trials at once would overload a new process";
    EXPECT_GT(brokers_that_retried, 0);
    EXPECT_LT(early, 20);
  }
}

TEST(LoadEstimator, DoesNotAssumeEngineWithoutReportIsIdle) {
  Settings s = basic_settings();
  s.brokers = 100;
  s.may_health_check = true;
  s.load_report_fields = {LoadReportField::inflight};
  SchedulerHarness harness(s);
  std::vector<Endpoint> engines;
  for (EngineId id = 1; id <= 40; ++id) engines.push_back(engine(id));
  harness.set_endpoints(engines);
  for (EngineId id = 1; id <= 40; ++id) {  // 12 engines report: 11 are overloaded, one is idle
    HealthCheckResult check;
    check.engine = id;
    check.load = {id == 5 ? 0.0 : 20.0};
    if (id <= 4 || id == 5 || id > 33) harness.handle(harness.now, {check});
  }
  harness.submit(1, 0);
  harness.run_until(harness.now + 60ms);
  ASSERT_EQ(harness.attempts_of(1), 1);
  EXPECT_EQ(harness.sent.back().engine, 5U);
}

TEST(Gossip, ChecksAndBytesPerQueryDoNotGrowWithFleet) {
  for (const unsigned size : {20U, 200U}) {
    Settings s = basic_settings();
    s.brokers = 4 * size;
    s.may_health_check = s.may_gossip = true;
    s.load_report_fields = {LoadReportField::inflight};
    SchedulerHarness harness(s);
    std::vector<Endpoint> engines;
    for (EngineId id = 1; id <= size; ++id) engines.push_back(engine(id));
    harness.set_endpoints(engines);
    std::size_t checks = 0, bytes = 0;
    for (RequestId id = 1; id <= 50; ++id) {
      RequestArrival arrival;
      arrival.request = id;
      arrival.time_left = 5s;
      std::vector<Action> actions = harness.handle(harness.now, {arrival});
      for (int tick = 0; tick < 10; ++tick) {
        const auto more = harness.handle(harness.next_timer_at, {TimerFired{}});
        actions.insert(actions.end(), more.begin(), more.end());
      }
      for (const auto& action : actions) {
        checks += std::holds_alternative<SendHealthCheck>(action) ? 1 : 0;
        const auto* gossip = std::get_if<SendGossip>(&action);
        if (gossip == nullptr) continue;
        EXPECT_TRUE(gossip->to.has_value()) << "no broadcast to hundreds of brokers";
        bytes += gossip->bytes.size();
      }
    }
    EXPECT_LE(checks, 50U);
    EXPECT_LE(bytes, 50U * 150U);
    EXPECT_GT(checks, 0U);
    EXPECT_GT(bytes, 0U);
  }
}

TEST(Gossip, IgnoresMalformedMessageCompletely) {
  Settings s = basic_settings();
  s.brokers = 3;
  s.may_gossip = true;
  const auto chosen_engine = [&s](const std::string& bytes) {
    SchedulerHarness harness(s);
    harness.set_endpoints({engine(7), engine(8)});
    harness.handle(harness.now, {GossipMessage{1, bytes}});
    harness.submit(1, 0);
    return harness.sent.empty() ? 0U : harness.sent.back().engine;
  };
  const std::string load_on_seven("o\x07\0\0\0\x06", 6), load_on_eight("o\x08\0\0\0\x06", 6);
  EXPECT_EQ(chosen_engine(load_on_seven), 8U);
  EXPECT_EQ(chosen_engine(load_on_eight), 7U);
  const auto without_gossip = chosen_engine("");
  EXPECT_EQ(chosen_engine(load_on_seven.substr(0, 5)), without_gossip);
  EXPECT_EQ(chosen_engine(load_on_eight + "x"), without_gossip);
  EXPECT_EQ(chosen_engine("?" + load_on_seven.substr(1)), without_gossip);
}

// One of many brokers, with repeated reports of twenty engines of 16 cores.
SchedulerHarness harness_with_reports(bool uneven, double queries, int rounds) {
  Settings s = basic_settings();
  s.brokers = 200;
  s.kinds = {{"one", 16, 0}};
  s.load_report_fields = {LoadReportField::inflight};
  SchedulerHarness harness(s);
  std::vector<Endpoint> engines;
  for (EngineId id = 1; id <= 20; ++id) engines.push_back(engine(id));
  harness.set_endpoints(engines);
  for (int round = 0; round < rounds; ++round) {
    harness.run_until(harness.now + 500ms);
    for (EngineId id = 1; id <= 20; ++id) {
      HealthCheckResult check;
      check.engine = id;
      check.load = {uneven ? (id % 2 == 0 ? 0.0 : 2 * queries) : (id == 20 ? queries / 2 : queries)};
      harness.handle(harness.now, {check});
    }
  }
  return harness;
}

// Reports arrived seconds late: again and again, all brokers filled the engines that had been idle.
TEST(LoadEstimator, GivesUnevenReportsLowerWeight) {
  SchedulerHarness even = harness_with_reports(false, 20, 5), uneven = harness_with_reports(true, 20, 5);
  int to_emptiest = 0, to_full = 0;
  for (RequestId id = 1; id <= 100; ++id) {
    for (auto* harness : {&even, &uneven}) {
      harness->submit(id, 0, 5s, 0, id);
      ASSERT_EQ(harness->attempts_of(id), 1);
      harness->complete_attempt(id, 0, harness->sent.back().engine, AttemptResult::served);
    }
    to_emptiest += even.sent.back().engine == 20 ? 1 : 0;
    to_full += uneven.sent.back().engine % 2 == 1 ? 1 : 0;
  }
  EXPECT_GT(to_emptiest, 90) << "consistent reports show which engine has capacity";
  EXPECT_GE(to_full, 5) << "an engine that was full a while ago may be idle now";
  EXPECT_LT(to_full, 50);
}

TEST(LoadEstimator, OwnThreadsLimitOvershootWithUnevenReports) {
  for (const bool uneven : {false, true}) {
    SchedulerHarness harness = harness_with_reports(uneven, 28, 10);
    const auto before = harness.sent.size();
    for (RequestId id = 1; id <= 6; ++id)
      harness.submit(id, 0, 5s, 0, id);  // far more than it has run recently
    EXPECT_EQ(harness.sent.size() - before, uneven ? 2U : 6U);
  }
}

// A quarter of the fleet restarted: the queries there had ended, but the level stayed high and all requests
// were rejected.
TEST(LoadEstimator, LevelFromPeersFollowsWithinSeconds) {
  Settings s = basic_settings();
  s.brokers = 40;
  s.may_gossip = true;
  s.load_report_fields = {LoadReportField::util};
  SchedulerHarness other(s), harness(s, 2);
  std::vector<Endpoint> engines;
  for (EngineId id = 1; id <= 5; ++id) engines.push_back(engine(id));
  for (auto* each : {&other, &harness}) each->set_endpoints(engines);
  const auto next_gossip = [&other] {  // the other broker's next message
    for (RequestId id = 100; id < 110; ++id)
      other.submit(id, 5);  // of an unknown class: rejected, but added to the gossip budget
    for (int tick = 0; tick < 50; ++tick) {
      for (const auto& action : other.handle(other.next_timer_at, {TimerFired{}}))
        if (const auto* gossip = std::get_if<SendGossip>(&action)) return gossip->bytes;
    }
    return std::string();
  };
  for (RequestId id = 1; id <= 3; ++id) other.submit(id, 0);
  ASSERT_EQ(other.sent.size(), 3U);
  const auto busy = next_gossip();
  const auto sent = other.sent;
  for (const auto& send : sent) other.complete_attempt(send.request, 0, send.engine, AttemptResult::served);
  const auto idle = next_gossip();
  ASSERT_NE(busy, idle);
  const auto receive = [&harness](const std::string& bytes) {
    GossipMessage m;
    m.from = 1;
    m.bytes = bytes;
    harness.handle(harness.now + 100ms, {m});
  };
  for (int i = 0; i < 30; ++i) receive(busy);
  harness.submit(1, 0);
  EXPECT_EQ(harness.sent.size(), 0U) << "six threads a core according to peers";
  for (int i = 0; i < 20; ++i) receive(idle);
  harness.submit(2, 0);
  EXPECT_GT(harness.sent.size(), 0U);
}

TEST(EndpointScorer, LowerRanksLeaveCapacityForHighestRank) {
  // The traffic has shifted to a heavy class: the fleet's load lies between the limits of both classes.
  Settings s = basic_settings();
  s.brokers = 100;
  s.may_health_check = true;
  s.load_report_fields = {LoadReportField::inflight};
  SchedulerHarness harness(s);
  harness.set_endpoints({engine(7), engine(8)});
  for (EngineId id : {7U, 8U}) {
    HealthCheckResult check;
    check.engine = id;
    check.load = {7.0};  // 1.75 threads a core
    harness.handle(harness.now, {check});
  }
  harness.submit(1, 1);
  harness.submit(2, 0);
  harness.run_until(harness.now + 60ms);
  EXPECT_EQ(harness.attempts_of(1), 0);
  EXPECT_EQ(harness.attempts_of(2), 1);
}

TEST(AttemptMonitor, KeepsEngineThatAnswersOthersAndFinishesLostRequests) {
  Settings s = basic_settings();
  s.max_attempts = 1;
  SchedulerHarness harness(s);
  harness.set_endpoints({engine(7)});
  const auto start = harness.now;
  for (RequestId id = 1; id <= 40; ++id) {
    harness.submit(id, 0);
    ASSERT_EQ(harness.attempts_of(id), 1) << "not ejected at " << id;
    if (id % 10 != 0) harness.complete_attempt(id, 0, 7, AttemptResult::served);
    if (id % 10 == 0)
      harness.submit(100 + id, 0), harness.complete_attempt(100 + id, 0, 7, AttemptResult::served);
    harness.run_until(harness.now + 100ms);
  }
  harness.run_until(start + 10s);
  for (RequestId id = 10; id <= 40; id += 10) EXPECT_EQ(harness.unserved_count(id), 1);
}

TEST(AttemptMonitor, IgnoresOwnStallButFinishesOverdueRequest) {
  Settings s = basic_settings();
  s.progress_interval = 500ms;
  SchedulerHarness harness(s);
  harness.set_endpoints({engine(7), engine(8)});
  harness.submit(1, 0);
  harness.submit(2, 0);
  harness.now += 2s;  // the broker stalls; a request that waited meanwhile has little time left
  RequestArrival late;
  late.request = 3;
  late.time_left = 30ms;
  harness.handle(harness.now, {TimerFired{}, late});
  EXPECT_TRUE(harness.cancelled.empty());
  harness.run_until(harness.now + 40ms);
  EXPECT_EQ(harness.unserved_count(3), 1);
  harness.run_until(harness.now + 2s);
  EXPECT_EQ(harness.cancelled.size(), 2U) << "silence without a stall is still detected";
}

TEST(LoadShedder, RejectsRequestOverdueAfterStallAtOnce) {
  SchedulerHarness harness(basic_settings());
  harness.set_endpoints({engine(7), engine(8)});
  harness.submit(1, 0);  // arrives with 5 s left, the usual time
  harness.complete_attempt(1, 0, harness.sent.back().engine, AttemptResult::served);
  harness.now += 2s;
  RequestArrival overdue, recent;
  overdue.request = 2;
  overdue.time_left = 3200ms;
  recent.request = 3;
  recent.time_left = 4900ms;
  harness.handle(harness.now, {overdue, recent});
  EXPECT_EQ(harness.unserved_count(2), 1);
  EXPECT_EQ(harness.attempts_of(2), 0);
  EXPECT_EQ(harness.attempts_of(3), 1);
  harness.run_until(harness.now + 100ms);
  harness.submit(4, 0, 3200ms);  // without a stall, the client has chosen a short timeout
  EXPECT_EQ(harness.attempts_of(4), 1);
}

TEST(TenantQuotas, FloodDoesNotRaiseItsOwnQuota) {
  Settings s = basic_settings();
  s.over_quota_weight = 0.05;
  s.may_health_check = true;
  s.load_report_fields = {LoadReportField::inflight};
  s.tenants = {{"a", 0.5, 5}, {"b", 0.5, 5}};
  SchedulerHarness harness(s);
  harness.set_endpoints({engine(7), engine(8)});
  RequestId id = 0;
  const auto run_second = [&](int first_tenant_requests) {
    std::vector<int> served(2);
    for (int n = 0; n < first_tenant_requests + 5; ++n) {
      RequestArrival arrival;
      arrival.request = ++id;
      arrival.tenant = n < first_tenant_requests ? 0 : 1;
      arrival.time_left = 5s;
      HealthCheckResult check;
      check.engine = 7 + id % 2;
      // A flood comes with overload by other brokers, above 1.5 threads a core.
      check.load = {first_tenant_requests > 5 ? 7.0 : 0.0};
      harness.handle(harness.now, {check, arrival});
      if (harness.attempts_of(id) > 0) {
        ++served[arrival.tenant];
        harness.complete_attempt(id, 0, harness.sent.back().engine, AttemptResult::served, 50ms);
      }
      harness.run_until(harness.now + 1000ms / (first_tenant_requests + 5));
    }
    return served;
  };
  for (int n = 0; n < 12; ++n) run_second(5);
  int flooding = 0, other = 0;
  for (int n = 0; n < 10; ++n) {
    const auto served = run_second(100);
    flooding += served[0];
    other += served[1];
  }
  EXPECT_LE(flooding, 90) << "its quota of 5 a second, and its saved tokens";
  EXPECT_GE(other, 45);
}

TEST(Fleet, EngineThatReturnsToListStartsWithFreshState) {
  SchedulerHarness harness(basic_settings());
  harness.set_endpoints({engine(7), engine(8)});
  for (int n = 0; n < 2; ++n) {
    harness.submit(1 + n, 0);
    harness.complete_attempt(1 + n, 0, harness.sent.back().engine, AttemptResult::reset);
  }
  harness.set_endpoints({engine(9)});
  harness.submit(10, 0);
  EXPECT_EQ(harness.sent.back().engine, 9U);
  harness.complete_attempt(10, 0, 9, AttemptResult::served);
  harness.set_endpoints({engine(7)});
  harness.submit(11, 0);
  EXPECT_EQ(harness.attempts_of(11), 1) << "errors from before it left the list no longer count";
}

// Hundreds of requests that were cancelled at once used up the quota of the tenant's usual clients.
TEST(TenantQuotas, RequestCancelledBeforeItWasSentUsesNoQuota) {
  Settings s = basic_settings();
  s.over_quota_weight = 0.1;
  s.tenants = {{"a", 0.5, 10}, {"b", 0.5, 10}};
  SchedulerHarness harness(s);
  harness.set_endpoints({engine(7)});
  for (RequestId id = 1; id <= 40; ++id) harness.submit(id, 0, 20s, 0, 1);  // enough that queries wait
  const auto queue_length = [&] { return harness.scheduler.class_status(0).queued; };
  ASSERT_GT(queue_length(), 0U);
  for (RequestId id = 1000; id < 1400; ++id) {
    RequestArrival arrival;
    arrival.request = id;
    arrival.tenant = 1;
    arrival.time_left = 5s;
    harness.handle(harness.now, {arrival, RequestCancelled{id}});
  }
  RequestArrival usual;
  usual.request = 5000;
  usual.tenant = 1;
  usual.time_left = 5s;
  harness.handle(harness.now, {usual});
  EXPECT_EQ(harness.unserved_count(5000), 0);
}

TEST(TenantQuotas, RejectsOnlyFloodingTenantOnceQueriesWait) {
  Settings s = basic_settings();
  s.over_quota_weight = 0.05;
  s.tenants = {{"calm", 0.5, 20}, {"flood", 0.5, 20}};
  SchedulerHarness harness(s);
  harness.set_endpoints({});
  RequestId id = 0;
  const auto submit = [&](std::uint32_t tenant) {
    RequestArrival arrival;
    arrival.request = ++id;
    arrival.tenant = tenant;
    arrival.time_left = 5s;
    harness.handle(harness.now, {arrival});
    return id;
  };
  for (int i = 0; i < 60; ++i) submit(1);
  EXPECT_EQ(harness.rejected[id], 1);
  const auto calm = submit(0);
  EXPECT_EQ(harness.rejected[calm], 0);
}

}  // namespace
}  // namespace bellstair::policy::test
