// Tests of hedging, and of decisions by estimates of work and memory.
#include <gtest/gtest.h>

#include "bench.hpp"

namespace bellstair::policy::test {
namespace {

Settings hedging_settings() {
  Settings s = basic_settings();
  s.hedging = true;
  return s;
}

// Serves enough requests to fill the hedging budget. No attempt is in flight afterwards.
void fill_hedging_budget(SchedulerHarness& harness, ClassIndex cls = 0) {
  for (RequestId id = 1; id <= 20; ++id) {
    harness.submit(id, cls);
    harness.complete_attempt(id, 0, harness.sent.back().engine, AttemptResult::served);
  }
}

EngineId engine_of(const SchedulerHarness& harness, RequestId id, int attempt) {
  for (const auto& send : harness.sent) {
    if (send.request == id && attempt-- == 0) return send.engine;
  }
  return 0;
}

TEST(HedgingPolicy, HedgesOverdueAttemptAtOtherEngineIfAllowed) {
  for (const bool allowed : {true, false}) {
    Settings s = hedging_settings();
    s.hedging = allowed;
    SchedulerHarness harness(s);
    harness.set_endpoints({engine(7), engine(8)});
    fill_hedging_budget(harness);
    harness.submit(50, 0);
    harness.run_until(harness.now + 500ms);
    ASSERT_EQ(harness.attempts_of(50), allowed ? 2 : 1);
    if (allowed) {
      EXPECT_NE(engine_of(harness, 50, 0), engine_of(harness, 50, 1));
    }
  }
}

TEST(HedgingPolicy, FirstAnswerClosesRequestAndCancelsOtherAttempt) {
  for (const AttemptIndex first : {AttemptIndex{0}, AttemptIndex{1}}) {
    SchedulerHarness harness(hedging_settings());
    harness.set_endpoints({engine(7), engine(8)});
    fill_hedging_budget(harness);
    harness.submit(50, 0);
    harness.run_until(harness.now + 500ms);
    ASSERT_EQ(harness.attempts_of(50), 2);
    harness.complete_attempt(50, first, engine_of(harness, 50, first), AttemptResult::served);
    const std::vector<std::pair<RequestId, AttemptIndex>> other{{50, static_cast<AttemptIndex>(1 - first)}};
    EXPECT_EQ(harness.cancelled, other);
    harness.complete_attempt(50, other[0].second, engine_of(harness, 50, other[0].second),
                             AttemptResult::cancelled);
    harness.run_until(harness.now + 6s);
    EXPECT_EQ(harness.attempts_of(50), 2);
    EXPECT_EQ(harness.unserved_count(50), 0) << "the client has its answer";
  }
}

TEST(HedgingPolicy, FailedAttemptDoesNotEndRequestWhileOtherRuns) {
  for (const auto result :
       {AttemptResult::error, AttemptResult::reset, AttemptResult::rejected, AttemptResult::cancelled}) {
    Settings s = hedging_settings();
    s.max_attempts = 2;
    SchedulerHarness harness(s);
    harness.set_endpoints({engine(7), engine(8)});
    fill_hedging_budget(harness);
    harness.submit(50, 0);
    harness.run_until(harness.now + 500ms);
    ASSERT_EQ(harness.attempts_of(50), 2);
    harness.complete_attempt(50, 1, engine_of(harness, 50, 1), result);
    EXPECT_EQ(harness.unserved_count(50), 0);
    EXPECT_EQ(harness.scheduler.class_status(0).queued, 0U);
    EXPECT_EQ(harness.scheduler.class_status(0).running, 1U);
    harness.complete_attempt(50, 0, engine_of(harness, 50, 0), AttemptResult::error);
    EXPECT_EQ(harness.unserved_count(50), 1) << "no attempt is left";
  }
}

TEST(HedgingPolicy, HedgesCountAsAttemptsAndAgainstRetryBudget) {
  Settings s = hedging_settings();
  s.max_attempts = 2;
  s.retry_budget = RetryBudget{60s, 1, 0};
  SchedulerHarness harness(s);
  harness.set_endpoints({engine(7), engine(8), engine(9)});
  fill_hedging_budget(harness);
  harness.submit(50, 0);
  harness.submit(51, 0);
  harness.run_until(harness.now + 4s);
  EXPECT_EQ(harness.attempts_of(50) + harness.attempts_of(51), 3) << "one additional attempt in total";
  for (const RequestId id : {50U, 51U}) EXPECT_LE(harness.attempts_of(id), 2);
}

TEST(HedgingPolicy, FollowsIdempotencyAndDeduplicationScope) {
  SchedulerHarness harness(hedging_settings());
  harness.set_endpoints({engine(7, 0), engine(8, 1)});
  fill_hedging_budget(harness, 1);
  for (RequestId id = 21; id <= 40; ++id) {
    harness.submit(id, 2);
    harness.complete_attempt(id, 0, harness.sent.back().engine, AttemptResult::served);
  }
  harness.submit(50, 1);
  harness.submit(51, 2);
  harness.run_until(harness.now + 4900ms);
  EXPECT_EQ(harness.attempts_of(50), 1);
  EXPECT_EQ(harness.attempts_of(51), 1) << "the only engine of its zone runs it already";
}

TEST(HedgingPolicy, SendsThirdAttemptAfterTwoAreLost) {
  SchedulerHarness harness(hedging_settings());
  harness.set_endpoints({engine(7), engine(8), engine(9)});
  fill_hedging_budget(harness);
  harness.submit(50, 0);
  harness.run_until(harness.now + 4s);
  ASSERT_EQ(harness.attempts_of(50), 3);
  EXPECT_EQ(harness.cancelled.front(), (std::pair<RequestId, AttemptIndex>{50, 0}))
      << "at most two attempts are awaited";
}

// Hedging every slow attempt would double the load when the fleet is already overloaded.
TEST(HedgingPolicy, BudgetIsFractionOfRequestedWork) {
  SchedulerHarness harness(hedging_settings());
  harness.set_endpoints({engine(7), engine(8), engine(9), engine(10)});
  for (RequestId id = 1; id <= 8; ++id) harness.submit(id, 0);
  harness.run_until(harness.now + 4s);
  std::size_t hedges = 0;
  for (RequestId id = 1; id <= 8; ++id) hedges += static_cast<std::size_t>(harness.attempts_of(id) - 1);
  EXPECT_EQ(hedges, 1U) << "a fifth of eight queries' work";
}

RequestArrival arrival_with_estimate(RequestId id, Time work, double memory_mb = 0) {
  RequestArrival arrival;
  arrival.request = id;
  arrival.time_left = 5s;
  arrival.estimated_work = work;
  arrival.estimated_memory_mb = memory_mb;
  return arrival;
}

// A query with many times the usual work used the capacity of several others, and half of all reports were
// rejected.
TEST(LoadShedder, RejectsLargestRequestsFirstUnderOverload) {
  Settings s = basic_settings();
  s.classes.resize(1);
  s.load_report_fields = {LoadReportField::inflight};
  SchedulerHarness harness(s);
  harness.set_endpoints({engine(7), engine(8)});
  const auto run_queries = [&harness](RequestId from, double inflight) {
    for (RequestId id = from; id < from + 60; ++id) {
      harness.handle(harness.now, {arrival_with_estimate(id, 100ms)});
      if (harness.attempts_of(id) == 1) {
        AttemptOutcome outcome;
        outcome.request = id;
        outcome.engine = engine_of(harness, id, 0);
        outcome.latency = 100ms;
        outcome.request_closed = true;
        outcome.load_report = {inflight};
        harness.handle(harness.now, {outcome});
      }
      harness.run_until(harness.now + 100ms);
    }
  };
  run_queries(1, 1);
  harness.handle(harness.now, {arrival_with_estimate(500, 400ms)});
  EXPECT_EQ(harness.unserved_count(500), 0) << "no overload";
  harness.complete_attempt(500, 0, engine_of(harness, 500, 0), AttemptResult::served);
  run_queries(101, 5.5);
  harness.handle(harness.now, {arrival_with_estimate(501, 400ms), arrival_with_estimate(502, 100ms)});
  EXPECT_EQ(harness.unserved_count(501), 1);
  EXPECT_EQ(harness.unserved_count(502), 0);
}

TEST(LoadShedder, RejectsRequestThatTakesLongerThanItsTimeout) {
  SchedulerHarness harness(basic_settings());
  harness.set_endpoints({engine(7), engine(8)});
  for (RequestId id = 1; id <= 40; ++id) {
    harness.handle(harness.now, {arrival_with_estimate(id, 100ms)});
    harness.complete_attempt(id, 0, engine_of(harness, id, 0), AttemptResult::served, 400ms);
  }
  harness.handle(harness.now, {arrival_with_estimate(50, 3s)});
  EXPECT_EQ(harness.rejected[50], 1);
}

// Whether an engine that is warming up is overloaded depends on the work sent to it, not on the number of
// queries: one query may have many times the usual work.
TEST(SlowStart, ChargesLargeQueryItsOwnWork) {
  for (const Time work : {100ms, 2000ms}) {
    Settings s = basic_settings();
    s.classes.resize(1);
    s.classes[0].client_timeout = 60s;
    SchedulerHarness harness(s);
    harness.set_endpoints({engine(7)});
    for (RequestId id = 1; id <= 40; ++id) {
      harness.handle(harness.now, {arrival_with_estimate(id, 100ms)});
      harness.complete_attempt(id, 0, engine_of(harness, id, 0), AttemptResult::served);
    }
    // In its first window, a broker sends nothing to an engine that is warming up.
    harness.run_until(harness.now + s.slow_start_overload_window);
    auto warming_up = engine(8);
    warming_up.started_at = harness.now;
    harness.set_endpoints({warming_up});
    harness.run_until(harness.now + 1s);
    auto arrival = arrival_with_estimate(50, work);
    arrival.time_left = 60s;
    harness.handle(harness.now, {arrival});
    harness.run_until(harness.now + 300ms);
    EXPECT_EQ(harness.attempts_of(50), work == 2s ? 0 : 1);
  }
}

// Small queries were charged only their own work, and the class's mean work came from served queries while
// large ones were rejected: an engine that was warming up received 4.5 times what it could run.
TEST(SlowStart, ChargesSmallQueryItsClassMeanWork) {
  Settings s = basic_settings();
  s.classes.resize(1);
  s.brokers = 20;
  SchedulerHarness harness(s);
  harness.set_endpoints({engine(7)});
  const auto submit = [&harness](RequestId id) {  // one in five is large and never served; the mean is 100 ms
    const Time work = id % 5 == 0 ? 400ms : 25ms;
    harness.handle(harness.now, {arrival_with_estimate(id, work)});
    if (harness.attempts_of(id) == 0) return harness.handle(harness.now, {RequestCancelled{id}});
    if (id % 5 != 0) harness.complete_attempt(id, 0, engine_of(harness, id, 0), AttemptResult::served, work);
    if (id % 5 == 0) harness.handle(harness.now, {RequestCancelled{id}});
    if (id % 5 == 0) harness.complete_attempt(id, 0, engine_of(harness, id, 0), AttemptResult::cancelled);
    return std::vector<Action>{};
  };
  for (RequestId id = 1; id <= 200; ++id) submit(id);
  auto warming_up = engine(8);
  warming_up.started_at = harness.now;
  harness.set_endpoints({warming_up});
  for (RequestId id = 1000; id < 3000; ++id) {
    harness.run_until(harness.now + 5ms);
    submit(id);
  }
  // The broker's share for ten seconds is a twentieth of 0.8 x 2.5 x (0.4 to 1) x 0.85 x 4 core-seconds a
  // second: 2.4 core-seconds. The limit is half more, since permits are random.
  EXPECT_LE(harness.attempts_to(8) * 0.1, 3.6);
  EXPECT_GT(harness.attempts_to(8), 0);
}

TEST(LoadShedder, ShedsQueuedQueryWhoseAnswerWouldBeLate) {
  for (const Time work : {100ms, 30ms}) {  // the usual size; a small query, which may wait longer
    Settings s = basic_settings();
    s.classes.resize(1);
    SchedulerHarness harness(s);
    harness.set_endpoints({engine(7)});
    for (RequestId id = 1; id <= 60; ++id) {
      harness.handle(harness.now, {arrival_with_estimate(id, 100ms)});
      harness.complete_attempt(id, 0, engine_of(harness, id, 0), AttemptResult::served, 250ms);
    }
    harness.set_endpoints({});
    harness.handle(harness.now, {arrival_with_estimate(70, work)});
    harness.run_until(harness.now + 700ms);
    EXPECT_EQ(harness.unserved_count(70), work == 100ms ? 1 : 0);
  }
}

// If engines report no load and gossip is not allowed, overload was never detected.
TEST(OverloadDetector, DetectsOverloadByLatencyWithoutLoadReports) {
  for (const bool slow : {false, true}) {
    Settings s = basic_settings();
    s.classes.resize(1);
    s.over_quota_weight = 0.1;
    s.tenants = {{"calm", 0.5, 5}, {"flood", 0.5, 5}};
    SchedulerHarness harness(s);
    harness.set_endpoints({engine(7), engine(8)});
    RequestId id = 0;
    const auto run_query = [&](std::uint32_t tenant, Time latency) {
      RequestArrival arrival;
      arrival.request = ++id;
      arrival.tenant = tenant;
      arrival.time_left = 5s;
      harness.handle(harness.now, {arrival});
      if (harness.attempts_of(id) == 1)
        harness.complete_attempt(id, 0, engine_of(harness, id, 0), AttemptResult::served, latency);
    };
    for (int n = 0; n < 60; ++n) {
      run_query(0, 100ms);
      harness.run_until(harness.now + 200ms);
    }
    for (int n = 0; n < 20; ++n) run_query(1, slow ? 400ms : 100ms);
    EXPECT_EQ(harness.unserved_count(id), slow ? 1 : 0);
  }
}

TEST(OutlierDetector, EjectsFullEngineWithoutLoadReports) {
  SchedulerHarness harness(basic_settings());
  harness.set_endpoints({engine(7)});
  harness.submit(1, 0);
  harness.submit(2, 0);
  harness.set_endpoints({engine(7), engine(8)});
  harness.complete_attempt(2, 0, 7, AttemptResult::rejected);
  EXPECT_EQ(harness.cancelled, (std::vector<std::pair<RequestId, AttemptIndex>>{{1, 0}}));
  EXPECT_DOUBLE_EQ(harness.scheduler.thread_pool(), 8) << "only engine 8 counts";
}

// Queries whose answers were lost counted as running until their deadlines. The load level rose at all
// brokers, and hedging stopped when it was needed.
TEST(HedgingPolicy, RetriesAttemptWithoutProgressInsteadOfHedgingUnderOverload) {
  for (const bool has_progress : {false, true}) {  // an attempt with progress events is running
    Settings s = hedging_settings();
    s.progress_interval = 10s;
    s.load_report_fields = {LoadReportField::inflight};
    SchedulerHarness harness(s);
    harness.set_endpoints({engine(7), engine(8)});
    for (RequestId id = 1; id <= 40; ++id) {
      harness.submit(id, 0);
      AttemptOutcome outcome;
      outcome.request = id;
      outcome.engine = harness.sent.back().engine;
      outcome.latency = 100ms;
      outcome.request_closed = true;
      outcome.load_report = {7};
      harness.handle(harness.now, {outcome});
    }
    harness.submit(50, 0);
    ASSERT_EQ(harness.attempts_of(50), 1);
    harness.run_until(harness.now + 100ms);
    if (has_progress)
      harness.handle(harness.now,
                     {AttemptProgress{50, 0, harness.sent.back().engine, ProgressKind::progress, 0.5}});
    harness.run_until(harness.now + 380ms);
    EXPECT_TRUE(harness.cancelled.empty());
    harness.run_until(harness.now + 250ms);
    EXPECT_EQ(harness.attempts_of(50), 1) << "no hedge";
    EXPECT_EQ(harness.cancelled.size(), has_progress ? 0U : 1U);
    if (has_progress) continue;
    harness.complete_attempt(50, 0, engine_of(harness, 50, 0), AttemptResult::cancelled);
    EXPECT_EQ(harness.attempts_of(50) + static_cast<int>(harness.scheduler.class_status(0).queued), 2)
        << "retried, or queued until there is capacity";
  }
}

TEST(AttemptTerms, SmallerQueriesOfLowerRanksGetHigherPriority) {
  Settings s = basic_settings();
  s.priorities = true;
  s.classes[1].idempotency = Idempotency::idempotent;
  SchedulerHarness harness(s);
  harness.set_endpoints({engine(7), engine(8)});
  std::vector<int> priorities;
  const auto run_query = [&](RequestId id, Time work) {
    auto arrival = arrival_with_estimate(id, work);
    arrival.cls = 1;
    for (const auto& action : harness.handle(harness.now, {arrival}))
      if (const auto* terms = std::get_if<AttemptTerms>(&action)) priorities.push_back(terms->priority);
    harness.complete_attempt(id, 0, engine_of(harness, id, 0), AttemptResult::served);
  };
  for (RequestId id = 1; id <= 30; ++id) run_query(id, 100ms);
  priorities.clear();
  run_query(40, 20ms);
  run_query(41, 100ms);
  run_query(42, 280ms);
  EXPECT_EQ(priorities, (std::vector<int>{2, 1, 0}));
}

TEST(AttemptTerms, AnswersCorrectMemoryEstimates) {
  Settings s = basic_settings();
  s.memory_grants = true;
  s.memory_shortage = MemoryShortage::overcommit;
  SchedulerHarness harness(s);
  harness.set_endpoints({engine(7), engine(8)});
  double granted = 0;
  for (RequestId id = 1; id <= 100; ++id) {
    for (const auto& action : harness.handle(harness.now, {arrival_with_estimate(id, 100ms, 50)}))
      if (const auto* terms = std::get_if<AttemptTerms>(&action)) granted = terms->memory_mb;
    if (id == 1) {
      EXPECT_NEAR(granted, 100, 1) << "no need reported yet: twice the estimate";
    }
    AttemptOutcome outcome;
    outcome.request = id;
    outcome.engine = engine_of(harness, id, 0);
    outcome.latency = 100ms;
    outcome.request_closed = true;
    outcome.work = 100ms;
    outcome.memory_mb = 150;
    harness.handle(harness.now, {outcome});
  }
  EXPECT_NEAR(granted, 300, 3) << "needs are three times the class's estimates";
}

// The need of queries without an estimate was divided by an estimate of 0, which gave an unlimited grant.
TEST(AttemptTerms, QueriesWithoutMemoryEstimateDoNotCorrectEstimates) {
  Settings s = basic_settings();
  s.memory_grants = true;
  s.memory_shortage = MemoryShortage::overcommit;
  SchedulerHarness harness(s);
  harness.set_endpoints({engine(7), engine(8)});
  harness.submit(1, 0);
  AttemptOutcome outcome;
  outcome.request = 1;
  outcome.engine = harness.sent.back().engine;
  outcome.latency = 100ms;
  outcome.request_closed = true;
  outcome.work = 100ms;
  outcome.memory_mb = 150;
  harness.handle(harness.now, {outcome});
  double granted = 0;
  for (const auto& action : harness.handle(harness.now, {arrival_with_estimate(2, 100ms, 50)}))
    if (const auto* terms = std::get_if<AttemptTerms>(&action)) granted = terms->memory_mb;
  EXPECT_NEAR(granted, 100, 1);
}

// An engine was ejected as silent although its queued queries sent progress events all the time.
TEST(AttemptMonitor, ProgressEventsShowThatEngineIsNotSilent) {
  Settings s = basic_settings();
  s.progress_interval = 1s;
  s.classes[0].client_timeout = 30s;
  SchedulerHarness harness(s);
  harness.set_endpoints({engine(7)});
  for (RequestId id = 1; id <= 4; ++id) harness.submit(id, 0, 30s);
  harness.set_endpoints({engine(7), engine(8)});
  for (int second = 1; second <= 4; ++second) {
    harness.run_until(harness.now + 1s);
    std::vector<Event> events;
    for (RequestId id = 1; id <= 3; ++id)
      events.push_back(AttemptProgress{id, 0, 7, ProgressKind::waiting, 1});
    harness.handle(harness.now, events);
  }
  EXPECT_EQ(harness.cancelled, (std::vector<std::pair<RequestId, AttemptIndex>>{{4, 0}}));
  EXPECT_DOUBLE_EQ(harness.scheduler.thread_pool(), 16) << "the engine is not ejected";
}

}  // namespace
}  // namespace bellstair::policy::test
