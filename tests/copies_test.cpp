// Second copies, and what estimates of work and memory decide.
#include <gtest/gtest.h>

#include "bench.hpp"

namespace bellstair::policy::test {
namespace {

Settings copying() {
  Settings s = plain_settings();
  s.hedging = true;
  return s;
}

// Enough was asked and answered to pay for copies; nothing is out.
void warm_up(Drive& d, ClassIndex cls = 0) {
  for (RequestId id = 1; id <= 20; ++id) {
    d.ask(id, cls);
    d.ends(id, 0, d.sends.back().engine, AttemptResult::served);
  }
}

EngineId engine_of(const Drive& d, RequestId id, int n) {
  for (const auto& send : d.sends) {
    if (send.request == id && n-- == 0) return send.engine;
  }
  return 0;
}

TEST(Hedging, AnAttemptFarOverdueGetsOneElsewhereOnlyWhereAllowed) {
  for (const bool allowed : {true, false}) {
    Settings s = copying();
    s.hedging = allowed;
    Drive d(s);
    d.list({engine(7), engine(8)});
    warm_up(d);
    d.ask(50, 0);
    d.until(d.now + 500ms);
    ASSERT_EQ(d.sends_of(50), allowed ? 2 : 1);
    if (allowed) {
      EXPECT_NE(engine_of(d, 50, 0), engine_of(d, 50, 1));
    }
  }
}

TEST(Hedging, TheFirstAnswerClosesAndTheOtherIsCancelled) {
  for (const AttemptIndex first : {AttemptIndex{0}, AttemptIndex{1}}) {
    Drive d(copying());
    d.list({engine(7), engine(8)});
    warm_up(d);
    d.ask(50, 0);
    d.until(d.now + 500ms);
    ASSERT_EQ(d.sends_of(50), 2);
    d.ends(50, first, engine_of(d, 50, first), AttemptResult::served);
    const std::vector<std::pair<RequestId, AttemptIndex>> other{{50, static_cast<AttemptIndex>(1 - first)}};
    EXPECT_EQ(d.called_off, other);
    d.ends(50, other[0].second, engine_of(d, 50, other[0].second), AttemptResult::cancelled);
    d.until(d.now + 6s);
    EXPECT_EQ(d.sends_of(50), 2);
    EXPECT_EQ(d.answers(50), 0) << "the client has its answer";
  }
}

TEST(Hedging, OneThatFailsNeitherEndsNorHoldsTheRequestWhileTheOtherRuns) {
  for (const auto result :
       {AttemptResult::error, AttemptResult::reset, AttemptResult::rejected, AttemptResult::cancelled}) {
    Settings s = copying();
    s.max_attempts = 2;
    Drive d(s);
    d.list({engine(7), engine(8)});
    warm_up(d);
    d.ask(50, 0);
    d.until(d.now + 500ms);
    ASSERT_EQ(d.sends_of(50), 2);
    d.ends(50, 1, engine_of(d, 50, 1), result);
    EXPECT_EQ(d.answers(50), 0);
    EXPECT_EQ(d.gateway.class_status(0).queued, 0U);
    EXPECT_EQ(d.gateway.class_status(0).running, 1U);
    d.ends(50, 0, engine_of(d, 50, 0), AttemptResult::error);
    EXPECT_EQ(d.answers(50), 1) << "no attempt is left";
  }
}

TEST(Hedging, AttemptsAndTheirBudgetCountBoth) {
  Settings s = copying();
  s.max_attempts = 2;
  s.retry_budget = RetryBudget{60s, 1, 0};
  Drive d(s);
  d.list({engine(7), engine(8), engine(9)});
  warm_up(d);
  d.ask(50, 0);
  d.ask(51, 0);
  d.until(d.now + 4s);
  EXPECT_EQ(d.sends_of(50) + d.sends_of(51), 3) << "one further attempt in all";
  for (const RequestId id : {50U, 51U}) EXPECT_LE(d.sends_of(id), 2);
}

TEST(Hedging, NoneForNonIdempotentClassesAndKeyedOnesStayInTheirGroup) {
  Drive d(copying());
  d.list({engine(7, 0), engine(8, 1)});
  warm_up(d, 1);
  for (RequestId id = 21; id <= 40; ++id) {
    d.ask(id, 2);
    d.ends(id, 0, d.sends.back().engine, AttemptResult::served);
  }
  d.ask(50, 1);
  d.ask(51, 2);
  d.until(d.now + 4900ms);
  EXPECT_EQ(d.sends_of(50), 1);
  EXPECT_EQ(d.sends_of(51), 1) << "the only engine of its zone has it already";
}

TEST(Hedging, WhatIsLostTwiceIsSentAThirdTime) {
  Drive d(copying());
  d.list({engine(7), engine(8), engine(9)});
  warm_up(d);
  d.ask(50, 0);
  d.until(d.now + 4s);
  ASSERT_EQ(d.sends_of(50), 3);
  EXPECT_EQ(d.called_off.front(), (std::pair<RequestId, AttemptIndex>{50, 0})) << "two are awaited at most";
}

// Copies for all that is slow would double the load just when the fleet can't bear it.
TEST(Hedging, TheyAreRationedByTheWorkThatWasAskedFor) {
  Drive d(copying());
  d.list({engine(7), engine(8), engine(9), engine(10)});
  for (RequestId id = 1; id <= 8; ++id) d.ask(id, 0);
  d.until(d.now + 4s);
  std::size_t further = 0;
  for (RequestId id = 1; id <= 8; ++id) further += static_cast<std::size_t>(d.sends_of(id) - 1);
  EXPECT_EQ(further, 1U) << "a fifth of eight queries' work";
}

RequestArrival estimated(RequestId id, Time cost, double memory_mb = 0) {
  RequestArrival a;
  a.request = id;
  a.time_left = 5s;
  a.estimated_work = cost;
  a.estimated_memory_mb = memory_mb;
  return a;
}

// One query of many times the usual work took the place of several, and half of all reports were refused.
TEST(RequestSizes, UnderOverloadTheLargestAreRejectedFirst) {
  Settings s = plain_settings();
  s.classes.resize(1);
  s.load_report_fields = {LoadReportField::inflight};
  Drive d(s);
  d.list({engine(7), engine(8)});
  const auto play = [&d](RequestId from, double inflight) {
    for (RequestId id = from; id < from + 60; ++id) {
      d.at(d.now, {estimated(id, 100ms)});
      if (d.sends_of(id) == 1) {
        AttemptOutcome o;
        o.request = id;
        o.engine = engine_of(d, id, 0);
        o.latency = 100ms;
        o.request_closed = true;
        o.load_report = {inflight};
        d.at(d.now, {o});
      }
      d.until(d.now + 100ms);
    }
  };
  play(1, 1);
  d.at(d.now, {estimated(500, 400ms)});
  EXPECT_EQ(d.answers(500), 0) << "no crowd";
  d.ends(500, 0, engine_of(d, 500, 0), AttemptResult::served);
  play(101, 5.5);
  d.at(d.now, {estimated(501, 400ms), estimated(502, 100ms)});
  EXPECT_EQ(d.answers(501), 1);
  EXPECT_EQ(d.answers(502), 0);
}

TEST(RequestSizes, WhatTakesLongerThanItsClientWaitsIsRejectedAtOnce) {
  Drive d(plain_settings());
  d.list({engine(7), engine(8)});
  for (RequestId id = 1; id <= 40; ++id) {
    d.at(d.now, {estimated(id, 100ms)});
    d.ends(id, 0, engine_of(d, id, 0), AttemptResult::served, 400ms);
  }
  d.at(d.now, {estimated(50, 3s)});
  EXPECT_EQ(d.refused[50], 1);
}

// What tips a cold engine over is work, and one query may be many times the usual.
TEST(RequestSizes, AWarmingUpEngineIsChargedAQuerysOwnWork) {
  for (const Time cost : {100ms, 2000ms}) {
    Settings s = plain_settings();
    s.classes.resize(1);
    s.classes[0].client_timeout = 60s;
    Drive d(s);
    d.list({engine(7)});
    for (RequestId id = 1; id <= 40; ++id) {
      d.at(d.now, {estimated(id, 100ms)});
      d.ends(id, 0, engine_of(d, id, 0), AttemptResult::served);
    }
    d.until(d.now +
            s.slow_start_overload_window);  // in its first one a process sends nothing to a cold engine
    auto cold = engine(8);
    cold.started_at = d.now;
    d.list({cold});
    d.until(d.now + 1s);
    auto asked = estimated(50, cost);
    asked.time_left = 60s;
    d.at(d.now, {asked});
    d.until(d.now + 300ms);
    EXPECT_EQ(d.sends_of(50), cost == 2s ? 0 : 1);
  }
}

// Small queries were charged less than the rule counts, and the class's work was learned from what was served
// while large ones were refused: a cold engine was sent 4.5 times what it could do.
TEST(RequestSizes, SmallQueriesAreChargedTheirClasssUsualWorkOnWarmingUpEngines) {
  Settings s = plain_settings();
  s.classes.resize(1);
  s.brokers = 20;
  Drive d(s);
  d.list({engine(7)});
  const auto ask = [&d](RequestId id) {  // one in five is large, and is never served; 100 ms on average
    const Time work = id % 5 == 0 ? 400ms : 25ms;
    d.at(d.now, {estimated(id, work)});
    if (d.sends_of(id) == 0) return d.at(d.now, {RequestCancelled{id}});
    if (id % 5 != 0) d.ends(id, 0, engine_of(d, id, 0), AttemptResult::served, work);
    if (id % 5 == 0) d.at(d.now, {RequestCancelled{id}});
    if (id % 5 == 0) d.ends(id, 0, engine_of(d, id, 0), AttemptResult::cancelled);
    return std::vector<Action>{};
  };
  for (RequestId id = 1; id <= 200; ++id) ask(id);
  auto cold = engine(8);
  cold.started_at = d.now;
  d.list({cold});
  for (RequestId id = 1000; id < 3000; ++id) {
    d.until(d.now + 5ms);
    ask(id);
  }
  // A twentieth of 0.8 x 2.5 x 0.4 to 1 x 0.85 x 4 core-seconds a second, for ten seconds, is 2.4; half more
  // by chance.
  EXPECT_LE(d.sends_to(8) * 0.1, 3.6);
  EXPECT_GT(d.sends_to(8), 0);
}

TEST(RequestSizes, AQueuedQueryIsShedWhenItsAnswerWouldComeTooLate) {
  for (const Time cost : {100ms, 30ms}) {  // of the usual size; small, with more time left to wait
    Settings s = plain_settings();
    s.classes.resize(1);
    Drive d(s);
    d.list({engine(7)});
    for (RequestId id = 1; id <= 60; ++id) {
      d.at(d.now, {estimated(id, 100ms)});
      d.ends(id, 0, engine_of(d, id, 0), AttemptResult::served, 250ms);
    }
    d.list({});
    d.at(d.now, {estimated(70, cost)});
    d.until(d.now + 700ms);
    EXPECT_EQ(d.answers(70), cost == 100ms ? 1 : 0);
  }
}

// Where engines report nothing and messages are not allowed, a crowd was never seen.
TEST(WithoutLoadReports, SlowAnswersTellAnOverloadAndAFloodPastItsQuotaIsRejected) {
  for (const bool slow : {false, true}) {
    Settings s = plain_settings();
    s.classes.resize(1);
    s.over_quota_weight = 0.1;
    s.tenants = {{"calm", 0.5, 5}, {"flood", 0.5, 5}};
    Drive d(s);
    d.list({engine(7), engine(8)});
    RequestId id = 0;
    const auto ask = [&](std::uint32_t tenant, Time took) {
      RequestArrival a;
      a.request = ++id;
      a.tenant = tenant;
      a.time_left = 5s;
      d.at(d.now, {a});
      if (d.sends_of(id) == 1) d.ends(id, 0, engine_of(d, id, 0), AttemptResult::served, took);
    };
    for (int n = 0; n < 60; ++n) {
      ask(0, 100ms);
      d.until(d.now + 200ms);
    }
    for (int n = 0; n < 20; ++n) ask(1, slow ? 400ms : 100ms);
    EXPECT_EQ(d.answers(id), slow ? 1 : 0);
  }
}

TEST(WithoutLoadReports, AFullEngineRestsAndItsQueriesAreWithdrawnWhereNothingTellsItsLoad) {
  Drive d(plain_settings());
  d.list({engine(7)});
  d.ask(1, 0);
  d.ask(2, 0);
  d.list({engine(7), engine(8)});
  d.ends(2, 0, 7, AttemptResult::rejected);
  EXPECT_EQ(d.called_off, (std::vector<std::pair<RequestId, AttemptIndex>>{{1, 0}}));
  EXPECT_DOUBLE_EQ(d.gateway.thread_pool(), 8) << "of the other engine";
}

// Lost answers passed for running queries until their deadlines; the level that all gateways go by rose, and
// copies stopped just when they were needed.
TEST(Hedging, UnderOverloadAnOverdueAttemptIsMovedThoughNoHedgeIsSent) {
  for (const bool noted : {false, true}) {  // an attempt that gave notes runs
    Settings s = copying();
    s.progress_interval = 10s;
    s.load_report_fields = {LoadReportField::inflight};
    Drive d(s);
    d.list({engine(7), engine(8)});
    for (RequestId id = 1; id <= 40; ++id) {
      d.ask(id, 0);
      AttemptOutcome o;
      o.request = id;
      o.engine = d.sends.back().engine;
      o.latency = 100ms;
      o.request_closed = true;
      o.load_report = {7};
      d.at(d.now, {o});
    }
    d.ask(50, 0);
    ASSERT_EQ(d.sends_of(50), 1);
    d.until(d.now + 100ms);
    if (noted) d.at(d.now, {AttemptProgress{50, 0, d.sends.back().engine, ProgressKind::progress, 0.5}});
    d.until(d.now + 380ms);
    EXPECT_TRUE(d.called_off.empty());
    d.until(d.now + 250ms);
    EXPECT_EQ(d.sends_of(50), 1) << "no copy";
    EXPECT_EQ(d.called_off.size(), noted ? 0U : 1U);
    if (noted) continue;
    d.ends(50, 0, engine_of(d, 50, 0), AttemptResult::cancelled);
    EXPECT_EQ(d.sends_of(50) + static_cast<int>(d.gateway.class_status(0).queued), 2)
        << "sent again, or held for room";
  }
}

TEST(RequestSizes, OfLaterClassesSmallerQueriesGetPriority) {
  Settings s = plain_settings();
  s.priorities = true;
  s.classes[1].idempotency = Idempotency::idempotent;
  Drive d(s);
  d.list({engine(7), engine(8)});
  std::vector<int> priorities;
  const auto ask = [&](RequestId id, Time cost) {
    auto asked = estimated(id, cost);
    asked.cls = 1;
    for (const auto& action : d.at(d.now, {asked}))
      if (const auto* terms = std::get_if<AttemptTerms>(&action)) priorities.push_back(terms->priority);
    d.ends(id, 0, engine_of(d, id, 0), AttemptResult::served);
  };
  for (RequestId id = 1; id <= 30; ++id) ask(id, 100ms);
  priorities.clear();
  ask(40, 20ms);
  ask(41, 100ms);
  ask(42, 280ms);
  EXPECT_EQ(priorities, (std::vector<int>{2, 1, 0}));
}

TEST(MemoryGrants, EstimatesAreSetRightByWhatAnswersTell) {
  Settings s = plain_settings();
  s.memory_grants = true;
  s.memory_shortage = MemoryShortage::overcommit;
  Drive d(s);
  d.list({engine(7), engine(8)});
  double granted = 0;
  for (RequestId id = 1; id <= 100; ++id) {
    for (const auto& action : d.at(d.now, {estimated(id, 100ms, 50)}))
      if (const auto* terms = std::get_if<AttemptTerms>(&action)) granted = terms->memory_mb;
    if (id == 1) {
      EXPECT_NEAR(granted, 100, 1) << "nothing told yet: twice the estimate";
    }
    AttemptOutcome o;
    o.request = id;
    o.engine = engine_of(d, id, 0);
    o.latency = 100ms;
    o.request_closed = true;
    o.work = 100ms;
    o.memory_mb = 150;
    d.at(d.now, {o});
  }
  EXPECT_NEAR(granted, 300, 3) << "needs are three times what the class's estimates say";
}

// The need of queries without an estimate was set against an estimate of nothing: a grant without end.
TEST(MemoryGrants, AnEstimateAfterAnswersToQueriesWithoutOneIsTakenAsItIs) {
  Settings s = plain_settings();
  s.memory_grants = true;
  s.memory_shortage = MemoryShortage::overcommit;
  Drive d(s);
  d.list({engine(7), engine(8)});
  d.ask(1, 0);
  AttemptOutcome o;
  o.request = 1;
  o.engine = d.sends.back().engine;
  o.latency = 100ms;
  o.request_closed = true;
  o.work = 100ms;
  o.memory_mb = 150;
  d.at(d.now, {o});
  double granted = 0;
  for (const auto& action : d.at(d.now, {estimated(2, 100ms, 50)}))
    if (const auto* terms = std::get_if<AttemptTerms>(&action)) granted = terms->memory_mb;
  EXPECT_NEAR(granted, 100, 1);
}

// Queries that stood in an engine's line gave notes all the time, and the engine was rested as silent.
TEST(ProgressEvents, WhoGivesThemIsNotSilentAndAnAttemptWithoutThemIsLost) {
  Settings s = plain_settings();
  s.progress_interval = 1s;
  s.classes[0].client_timeout = 30s;
  Drive d(s);
  d.list({engine(7)});
  for (RequestId id = 1; id <= 4; ++id) d.ask(id, 0, 30s);
  d.list({engine(7), engine(8)});
  for (int second = 1; second <= 4; ++second) {
    d.until(d.now + 1s);
    std::vector<Event> notes;
    for (RequestId id = 1; id <= 3; ++id)
      notes.push_back(AttemptProgress{id, 0, 7, ProgressKind::waiting, 1});
    d.at(d.now, notes);
  }
  EXPECT_EQ(d.called_off, (std::vector<std::pair<RequestId, AttemptIndex>>{{4, 0}}));
  EXPECT_DOUBLE_EQ(d.gateway.thread_pool(), 16) << "the engine is well";
}

}  // namespace
}  // namespace bellstair::policy::test
