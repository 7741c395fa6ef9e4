// Second copies, and what estimates of work and memory decide.
#include <gtest/gtest.h>

#include "bench.hpp"

namespace bellstair::policy::test {
namespace {

Settings copying() {
  Settings s = basic_settings();
  s.hedging = true;
  return s;
}

// Enough was asked and answered to pay for copies; nothing is out.
void warm_up(SchedulerHarness& harness, ClassIndex cls = 0) {
  for (RequestId id = 1; id <= 20; ++id) {
    harness.submit(id, cls);
    harness.complete_attempt(id, 0, harness.sent.back().engine, AttemptResult::served);
  }
}

EngineId engine_of(const SchedulerHarness& harness, RequestId id, int n) {
  for (const auto& send : harness.sent) {
    if (send.request == id && n-- == 0) return send.engine;
  }
  return 0;
}

TEST(Hedging, AnAttemptFarOverdueGetsOneElsewhereOnlyWhereAllowed) {
  for (const bool allowed : {true, false}) {
    Settings s = copying();
    s.hedging = allowed;
    SchedulerHarness harness(s);
    harness.set_endpoints({engine(7), engine(8)});
    warm_up(harness);
    harness.submit(50, 0);
    harness.run_until(harness.now + 500ms);
    ASSERT_EQ(harness.attempts_of(50), allowed ? 2 : 1);
    if (allowed) {
      EXPECT_NE(engine_of(harness, 50, 0), engine_of(harness, 50, 1));
    }
  }
}

TEST(Hedging, TheFirstAnswerClosesAndTheOtherIsCancelled) {
  for (const AttemptIndex first : {AttemptIndex{0}, AttemptIndex{1}}) {
    SchedulerHarness harness(copying());
    harness.set_endpoints({engine(7), engine(8)});
    warm_up(harness);
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
    EXPECT_EQ(harness.answer_count(50), 0) << "the client has its answer";
  }
}

TEST(Hedging, OneThatFailsNeitherEndsNorHoldsTheRequestWhileTheOtherRuns) {
  for (const auto result :
       {AttemptResult::error, AttemptResult::reset, AttemptResult::rejected, AttemptResult::cancelled}) {
    Settings s = copying();
    s.max_attempts = 2;
    SchedulerHarness harness(s);
    harness.set_endpoints({engine(7), engine(8)});
    warm_up(harness);
    harness.submit(50, 0);
    harness.run_until(harness.now + 500ms);
    ASSERT_EQ(harness.attempts_of(50), 2);
    harness.complete_attempt(50, 1, engine_of(harness, 50, 1), result);
    EXPECT_EQ(harness.answer_count(50), 0);
    EXPECT_EQ(harness.scheduler.class_status(0).queued, 0U);
    EXPECT_EQ(harness.scheduler.class_status(0).running, 1U);
    harness.complete_attempt(50, 0, engine_of(harness, 50, 0), AttemptResult::error);
    EXPECT_EQ(harness.answer_count(50), 1) << "no attempt is left";
  }
}

TEST(Hedging, AttemptsAndTheirBudgetCountBoth) {
  Settings s = copying();
  s.max_attempts = 2;
  s.retry_budget = RetryBudget{60s, 1, 0};
  SchedulerHarness harness(s);
  harness.set_endpoints({engine(7), engine(8), engine(9)});
  warm_up(harness);
  harness.submit(50, 0);
  harness.submit(51, 0);
  harness.run_until(harness.now + 4s);
  EXPECT_EQ(harness.attempts_of(50) + harness.attempts_of(51), 3) << "one further attempt in all";
  for (const RequestId id : {50U, 51U}) EXPECT_LE(harness.attempts_of(id), 2);
}

TEST(Hedging, NoneForNonIdempotentClassesAndKeyedOnesStayInTheirGroup) {
  SchedulerHarness harness(copying());
  harness.set_endpoints({engine(7, 0), engine(8, 1)});
  warm_up(harness, 1);
  for (RequestId id = 21; id <= 40; ++id) {
    harness.submit(id, 2);
    harness.complete_attempt(id, 0, harness.sent.back().engine, AttemptResult::served);
  }
  harness.submit(50, 1);
  harness.submit(51, 2);
  harness.run_until(harness.now + 4900ms);
  EXPECT_EQ(harness.attempts_of(50), 1);
  EXPECT_EQ(harness.attempts_of(51), 1) << "the only engine of its zone has it already";
}

TEST(Hedging, WhatIsLostTwiceIsSentAThirdTime) {
  SchedulerHarness harness(copying());
  harness.set_endpoints({engine(7), engine(8), engine(9)});
  warm_up(harness);
  harness.submit(50, 0);
  harness.run_until(harness.now + 4s);
  ASSERT_EQ(harness.attempts_of(50), 3);
  EXPECT_EQ(harness.cancelled.front(), (std::pair<RequestId, AttemptIndex>{50, 0}))
      << "two are awaited at most";
}

// Copies for all that is slow would double the load just when the fleet can't bear it.
TEST(Hedging, TheyAreRationedByTheWorkThatWasAskedFor) {
  SchedulerHarness harness(copying());
  harness.set_endpoints({engine(7), engine(8), engine(9), engine(10)});
  for (RequestId id = 1; id <= 8; ++id) harness.submit(id, 0);
  harness.run_until(harness.now + 4s);
  std::size_t further = 0;
  for (RequestId id = 1; id <= 8; ++id) further += static_cast<std::size_t>(harness.attempts_of(id) - 1);
  EXPECT_EQ(further, 1U) << "a fifth of eight queries' work";
}

RequestArrival estimated(RequestId id, Time cost, double memory_mb = 0) {
  RequestArrival arrival;
  arrival.request = id;
  arrival.time_left = 5s;
  arrival.estimated_work = cost;
  arrival.estimated_memory_mb = memory_mb;
  return arrival;
}

// One query of many times the usual work took the place of several, and half of all reports were refused.
TEST(RequestSizes, UnderOverloadTheLargestAreRejectedFirst) {
  Settings s = basic_settings();
  s.classes.resize(1);
  s.load_report_fields = {LoadReportField::inflight};
  SchedulerHarness harness(s);
  harness.set_endpoints({engine(7), engine(8)});
  const auto play = [&harness](RequestId from, double inflight) {
    for (RequestId id = from; id < from + 60; ++id) {
      harness.handle(harness.now, {estimated(id, 100ms)});
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
  play(1, 1);
  harness.handle(harness.now, {estimated(500, 400ms)});
  EXPECT_EQ(harness.answer_count(500), 0) << "no crowd";
  harness.complete_attempt(500, 0, engine_of(harness, 500, 0), AttemptResult::served);
  play(101, 5.5);
  harness.handle(harness.now, {estimated(501, 400ms), estimated(502, 100ms)});
  EXPECT_EQ(harness.answer_count(501), 1);
  EXPECT_EQ(harness.answer_count(502), 0);
}

TEST(RequestSizes, WhatTakesLongerThanItsClientWaitsIsRejectedAtOnce) {
  SchedulerHarness harness(basic_settings());
  harness.set_endpoints({engine(7), engine(8)});
  for (RequestId id = 1; id <= 40; ++id) {
    harness.handle(harness.now, {estimated(id, 100ms)});
    harness.complete_attempt(id, 0, engine_of(harness, id, 0), AttemptResult::served, 400ms);
  }
  harness.handle(harness.now, {estimated(50, 3s)});
  EXPECT_EQ(harness.rejected[50], 1);
}

// What tips a cold engine over is work, and one query may be many times the usual.
TEST(RequestSizes, AWarmingUpEngineIsChargedAQuerysOwnWork) {
  for (const Time cost : {100ms, 2000ms}) {
    Settings s = basic_settings();
    s.classes.resize(1);
    s.classes[0].client_timeout = 60s;
    SchedulerHarness harness(s);
    harness.set_endpoints({engine(7)});
    for (RequestId id = 1; id <= 40; ++id) {
      harness.handle(harness.now, {estimated(id, 100ms)});
      harness.complete_attempt(id, 0, engine_of(harness, id, 0), AttemptResult::served);
    }
    harness.run_until(
        harness.now +
        s.slow_start_overload_window);  // in its first one a process sends nothing to a cold engine
    auto cold = engine(8);
    cold.started_at = harness.now;
    harness.set_endpoints({cold});
    harness.run_until(harness.now + 1s);
    auto asked = estimated(50, cost);
    asked.time_left = 60s;
    harness.handle(harness.now, {asked});
    harness.run_until(harness.now + 300ms);
    EXPECT_EQ(harness.attempts_of(50), cost == 2s ? 0 : 1);
  }
}

// Small queries were charged less than the rule counts, and the class's work was learned from what was served
// while large ones were refused: a cold engine was sent 4.5 times what it could do.
TEST(RequestSizes, SmallQueriesAreChargedTheirClasssUsualWorkOnWarmingUpEngines) {
  Settings s = basic_settings();
  s.classes.resize(1);
  s.brokers = 20;
  SchedulerHarness harness(s);
  harness.set_endpoints({engine(7)});
  const auto ask = [&harness](RequestId id) {  // one in five is large, and is never served; 100 ms on average
    const Time work = id % 5 == 0 ? 400ms : 25ms;
    harness.handle(harness.now, {estimated(id, work)});
    if (harness.attempts_of(id) == 0) return harness.handle(harness.now, {RequestCancelled{id}});
    if (id % 5 != 0) harness.complete_attempt(id, 0, engine_of(harness, id, 0), AttemptResult::served, work);
    if (id % 5 == 0) harness.handle(harness.now, {RequestCancelled{id}});
    if (id % 5 == 0) harness.complete_attempt(id, 0, engine_of(harness, id, 0), AttemptResult::cancelled);
    return std::vector<Action>{};
  };
  for (RequestId id = 1; id <= 200; ++id) ask(id);
  auto cold = engine(8);
  cold.started_at = harness.now;
  harness.set_endpoints({cold});
  for (RequestId id = 1000; id < 3000; ++id) {
    harness.run_until(harness.now + 5ms);
    ask(id);
  }
  // A twentieth of 0.8 x 2.5 x 0.4 to 1 x 0.85 x 4 core-seconds a second, for ten seconds, is 2.4; half more
  // by chance.
  EXPECT_LE(harness.attempts_to(8) * 0.1, 3.6);
  EXPECT_GT(harness.attempts_to(8), 0);
}

TEST(RequestSizes, AQueuedQueryIsShedWhenItsAnswerWouldComeTooLate) {
  for (const Time cost : {100ms, 30ms}) {  // of the usual size; small, with more time left to wait
    Settings s = basic_settings();
    s.classes.resize(1);
    SchedulerHarness harness(s);
    harness.set_endpoints({engine(7)});
    for (RequestId id = 1; id <= 60; ++id) {
      harness.handle(harness.now, {estimated(id, 100ms)});
      harness.complete_attempt(id, 0, engine_of(harness, id, 0), AttemptResult::served, 250ms);
    }
    harness.set_endpoints({});
    harness.handle(harness.now, {estimated(70, cost)});
    harness.run_until(harness.now + 700ms);
    EXPECT_EQ(harness.answer_count(70), cost == 100ms ? 1 : 0);
  }
}

// Where engines report nothing and messages are not allowed, a crowd was never seen.
TEST(WithoutLoadReports, SlowAnswersTellAnOverloadAndAFloodPastItsQuotaIsRejected) {
  for (const bool slow : {false, true}) {
    Settings s = basic_settings();
    s.classes.resize(1);
    s.over_quota_weight = 0.1;
    s.tenants = {{"calm", 0.5, 5}, {"flood", 0.5, 5}};
    SchedulerHarness harness(s);
    harness.set_endpoints({engine(7), engine(8)});
    RequestId id = 0;
    const auto ask = [&](std::uint32_t tenant, Time took) {
      RequestArrival arrival;
      arrival.request = ++id;
      arrival.tenant = tenant;
      arrival.time_left = 5s;
      harness.handle(harness.now, {arrival});
      if (harness.attempts_of(id) == 1)
        harness.complete_attempt(id, 0, engine_of(harness, id, 0), AttemptResult::served, took);
    };
    for (int n = 0; n < 60; ++n) {
      ask(0, 100ms);
      harness.run_until(harness.now + 200ms);
    }
    for (int n = 0; n < 20; ++n) ask(1, slow ? 400ms : 100ms);
    EXPECT_EQ(harness.answer_count(id), slow ? 1 : 0);
  }
}

TEST(WithoutLoadReports, AFullEngineRestsAndItsQueriesAreWithdrawnWhereNothingTellsItsLoad) {
  SchedulerHarness harness(basic_settings());
  harness.set_endpoints({engine(7)});
  harness.submit(1, 0);
  harness.submit(2, 0);
  harness.set_endpoints({engine(7), engine(8)});
  harness.complete_attempt(2, 0, 7, AttemptResult::rejected);
  EXPECT_EQ(harness.cancelled, (std::vector<std::pair<RequestId, AttemptIndex>>{{1, 0}}));
  EXPECT_DOUBLE_EQ(harness.scheduler.thread_pool(), 8) << "of the other engine";
}

// Lost answers passed for running queries until their deadlines; the level that all gateways go by rose, and
// copies stopped just when they were needed.
TEST(Hedging, UnderOverloadAnOverdueAttemptIsMovedThoughNoHedgeIsSent) {
  for (const bool noted : {false, true}) {  // an attempt that gave notes runs
    Settings s = copying();
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
    if (noted)
      harness.handle(harness.now,
                     {AttemptProgress{50, 0, harness.sent.back().engine, ProgressKind::progress, 0.5}});
    harness.run_until(harness.now + 380ms);
    EXPECT_TRUE(harness.cancelled.empty());
    harness.run_until(harness.now + 250ms);
    EXPECT_EQ(harness.attempts_of(50), 1) << "no copy";
    EXPECT_EQ(harness.cancelled.size(), noted ? 0U : 1U);
    if (noted) continue;
    harness.complete_attempt(50, 0, engine_of(harness, 50, 0), AttemptResult::cancelled);
    EXPECT_EQ(harness.attempts_of(50) + static_cast<int>(harness.scheduler.class_status(0).queued), 2)
        << "sent again, or held for room";
  }
}

TEST(RequestSizes, OfLaterClassesSmallerQueriesGetPriority) {
  Settings s = basic_settings();
  s.priorities = true;
  s.classes[1].idempotency = Idempotency::idempotent;
  SchedulerHarness harness(s);
  harness.set_endpoints({engine(7), engine(8)});
  std::vector<int> priorities;
  const auto ask = [&](RequestId id, Time cost) {
    auto asked = estimated(id, cost);
    asked.cls = 1;
    for (const auto& action : harness.handle(harness.now, {asked}))
      if (const auto* terms = std::get_if<AttemptTerms>(&action)) priorities.push_back(terms->priority);
    harness.complete_attempt(id, 0, engine_of(harness, id, 0), AttemptResult::served);
  };
  for (RequestId id = 1; id <= 30; ++id) ask(id, 100ms);
  priorities.clear();
  ask(40, 20ms);
  ask(41, 100ms);
  ask(42, 280ms);
  EXPECT_EQ(priorities, (std::vector<int>{2, 1, 0}));
}

TEST(MemoryGrants, EstimatesAreSetRightByWhatAnswersTell) {
  Settings s = basic_settings();
  s.memory_grants = true;
  s.memory_shortage = MemoryShortage::overcommit;
  SchedulerHarness harness(s);
  harness.set_endpoints({engine(7), engine(8)});
  double granted = 0;
  for (RequestId id = 1; id <= 100; ++id) {
    for (const auto& action : harness.handle(harness.now, {estimated(id, 100ms, 50)}))
      if (const auto* terms = std::get_if<AttemptTerms>(&action)) granted = terms->memory_mb;
    if (id == 1) {
      EXPECT_NEAR(granted, 100, 1) << "nothing told yet: twice the estimate";
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
  EXPECT_NEAR(granted, 300, 3) << "needs are three times what the class's estimates say";
}

// The need of queries without an estimate was set against an estimate of nothing: a grant without end.
TEST(MemoryGrants, AnEstimateAfterAnswersToQueriesWithoutOneIsTakenAsItIs) {
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
  for (const auto& action : harness.handle(harness.now, {estimated(2, 100ms, 50)}))
    if (const auto* terms = std::get_if<AttemptTerms>(&action)) granted = terms->memory_mb;
  EXPECT_NEAR(granted, 100, 1);
}

// Queries that stood in an engine's line gave notes all the time, and the engine was rested as silent.
TEST(ProgressEvents, WhoGivesThemIsNotSilentAndAnAttemptWithoutThemIsLost) {
  Settings s = basic_settings();
  s.progress_interval = 1s;
  s.classes[0].client_timeout = 30s;
  SchedulerHarness harness(s);
  harness.set_endpoints({engine(7)});
  for (RequestId id = 1; id <= 4; ++id) harness.submit(id, 0, 30s);
  harness.set_endpoints({engine(7), engine(8)});
  for (int second = 1; second <= 4; ++second) {
    harness.run_until(harness.now + 1s);
    std::vector<Event> notes;
    for (RequestId id = 1; id <= 3; ++id)
      notes.push_back(AttemptProgress{id, 0, 7, ProgressKind::waiting, 1});
    harness.handle(harness.now, notes);
  }
  EXPECT_EQ(harness.cancelled, (std::vector<std::pair<RequestId, AttemptIndex>>{{4, 0}}));
  EXPECT_DOUBLE_EQ(harness.scheduler.thread_pool(), 16) << "the engine is well";
}

}  // namespace
}  // namespace bellstair::policy::test
