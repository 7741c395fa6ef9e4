// One test for each failure found: it fails without the defence.
#include <gtest/gtest.h>

#include <map>
#include <set>
#include <tuple>

#include "bench.hpp"
#include "policy/gossip_codec.hpp"
#include "policy/start_tracker.hpp"

namespace bellstair::policy::test {
namespace {

TEST(FastErrors, AnEngineThatFailsAtOnceIsEjectedThoughItLooksIdle) {
  SchedulerHarness harness(basic_settings());
  harness.set_endpoints({engine(7), engine(8), engine(9)});
  int to_bad = 0;
  for (RequestId id = 1; id <= 60; ++id) {
    const auto from = harness.sent.size();
    harness.submit(id, 0, 5s, 0, id);  // of many data groups
    for (auto i = from; i < harness.sent.size(); ++i) {
      const auto sent = harness.sent[i];
      to_bad += sent.engine == 8 ? 1 : 0;
      const auto n = static_cast<AttemptIndex>(harness.attempts_of(sent.request) - 1);
      harness.complete_attempt(sent.request, n, sent.engine,
                               sent.engine == 8 ? AttemptResult::error : AttemptResult::served);
    }
    harness.run_until(harness.now + 20ms);
  }
  EXPECT_LE(to_bad, 4) << "two errors in a row, then one trial at a time";
  EXPECT_GE(to_bad, 2);
}

// Clients sent what no engine takes, and it went from engine to engine: all were rested for it, 159 times in
// 20 s.
TEST(FastErrors, WhatTwoEnginesCannotUseIsShedAndNoEngineIsEjected) {
  SchedulerHarness harness(basic_settings());
  harness.set_endpoints({engine(7), engine(8), engine(9)});
  for (RequestId id = 1; id <= 20; ++id) {
    harness.submit(id, 0, 5s, 0, id);
    for (int n = 0; n < harness.attempts_of(id); ++n)
      harness.complete_attempt(id, static_cast<AttemptIndex>(n), harness.sent.back().engine,
                               AttemptResult::error);
    EXPECT_EQ(harness.attempts_of(id), 2);
    EXPECT_EQ(harness.answer_count(id), 1);
    harness.run_until(harness.now + 20ms);
  }
  for (RequestId id = 101; id <= 103; ++id) harness.submit(id, 0, 5s, 0, id);
  EXPECT_EQ(harness.attempts_to(7) + harness.attempts_to(8) + harness.attempts_to(9), 43);
  EXPECT_EQ(harness.attempts_of(101) + harness.attempts_of(102) + harness.attempts_of(103), 3)
      << "none waits for an engine";
}

TEST(FastErrors, AnEngineThatRecoversGetsWorkAgain) {
  SchedulerHarness harness(basic_settings());
  harness.set_endpoints({engine(7), engine(8)});
  const auto play = [&harness](RequestId from, RequestId to, bool bad) {
    for (RequestId id = from; id <= to; ++id) {
      const auto at = harness.sent.size();
      harness.submit(id, 0, 5s, 0, id);  // of many data groups
      for (auto i = at; i < harness.sent.size(); ++i) {
        const auto sent = harness.sent[i];
        const auto n = static_cast<AttemptIndex>(harness.attempts_of(sent.request) - 1);
        harness.complete_attempt(sent.request, n, sent.engine,
                                 bad && sent.engine == 8 ? AttemptResult::error : AttemptResult::served);
      }
      harness.run_until(harness.now + 50ms);
    }
  };
  play(1, 20, true);
  const int before = harness.attempts_to(8);
  play(21, 120, false);
  EXPECT_GT(harness.attempts_to(8) - before, 20);
}

TEST(Silence, QueriesOnASilentEngineAreWithdrawnAndItGetsNoMore) {
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

TEST(Silence, WithoutCancelTheEngineIsStillLeftAlone) {
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

// Time-outs left work behind on engines that heed no cancel, and cut honest long queries: 4% on a quiet day.
TEST(TimeOuts, AHealthyEngineIsGivenTheWholeTime) {
  SchedulerHarness harness(basic_settings());
  harness.set_endpoints({engine(7)});
  harness.submit(1, 0, 5s);
  EXPECT_GT(harness.sent[0].give_up_at, harness.now + 4900ms);
  EXPECT_LT(harness.sent[0].give_up_at, harness.now + 5s);
}

// Every gateway without a query on a full engine still sent one; with many gateways the fleet jammed.
// How often a query is sent whose only engine has just told such a report.
int sends_after_report(std::vector<LoadReportField> fields, std::vector<double> load) {
  Settings s = basic_settings();
  s.brokers = 8;
  s.load_report_fields = std::move(fields);
  SchedulerHarness harness(s);
  harness.set_endpoints({engine(7)});
  harness.submit(1, 0);
  AttemptOutcome o;
  o.request = 1;
  o.engine = 7;
  o.request_closed = true;
  o.load_report = std::move(load);
  harness.handle(harness.now, {o});
  harness.submit(2, 0);
  return harness.attempts_of(2);
}

TEST(Overload, AnEngineReportedFullGetsNothing) {
  EXPECT_EQ(sends_after_report({LoadReportField::inflight}, {60}), 0);
}

// One long query, far past the usual, was taken for silence: 153 times on a day without any trouble.
TEST(Silence, OneLongQueryIsNoSilence) {
  Settings s = basic_settings();
  s.classes[0].client_timeout = 60s;
  SchedulerHarness harness(s);
  harness.set_endpoints({engine(7), engine(8), engine(9)});
  harness.submit(1, 0, 60s);
  const auto at = harness.sent[0].engine;
  harness.run_until(harness.now + 10s);
  EXPECT_TRUE(harness.cancelled.empty());
  EXPECT_DOUBLE_EQ(harness.scheduler.thread_pool(), 24) << "engine " << at << " still counts";
}

// Reports are late and the same for all: by them alone every gateway ran to one engine at once.
TEST(Overload, AnEngineReportedEmptyDoesNotGetEverything) {
  Settings s = basic_settings();
  s.brokers = 4;
  s.load_report_fields = {LoadReportField::inflight};
  s.kinds = {{"one", 16, 0}};
  SchedulerHarness harness(s);
  harness.set_endpoints({engine(7), engine(8), engine(9)});
  for (const EngineId id : {7U, 8U, 9U}) {
    HealthCheckResult p;
    p.engine = id;
    p.load = {id == 8 ? 0.0 : 8.0};
    harness.handle(harness.now, {p});
  }
  for (RequestId id = 1; id <= 8; ++id) harness.submit(id, 0);
  EXPECT_LT(harness.attempts_to(8), 8);
  EXPECT_GE(harness.attempts_to(8), 2) << "but more than the others";
}

// Spread evenly, a group's data was warm nowhere; and two engines of equal load drew all gateways alike.
TEST(DataGroupAffinity, QueriesOfAGroupPreferTheSameTwoEnginesWhileTheyAreAsEmpty) {
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

// With the engines' own choice of grants, heavy-tailed queries spilled to disk and took several times their
// work.
TEST(MemoryGrants, FollowTheNeedsThatAnswersTell) {
  Settings s = basic_settings();
  s.memory_grants = true;
  SchedulerHarness harness(s);
  harness.set_endpoints({engine(7)});
  const auto granted = [&harness](RequestId id) {
    RequestArrival a;
    a.request = id;
    a.time_left = 5s;
    for (const auto& action : harness.handle(harness.now, {a}))
      if (const auto* terms = std::get_if<AttemptTerms>(&action)) return terms->memory_mb;
    return -1.0;
  };
  EXPECT_EQ(granted(1), 0) << "nothing told yet: the engine chooses";
  AttemptOutcome o;
  o.request = 1;
  o.engine = 7;
  o.request_closed = true;
  o.work = 100ms;
  o.memory_mb = 100;
  harness.handle(harness.now, {o});
  EXPECT_GT(granted(2), 200);
}

// Where engines keep what is granted, used or not, a grant far over the estimate leaves others in line for
// memory; where they count what is in use, it costs nobody anything.
TEST(MemoryGrants, AreSmallerWhereEnginesKeepThem) {
  for (const auto shortage : {MemoryShortage::overcommit, MemoryShortage::wait, MemoryShortage::shrink}) {
    Settings s = basic_settings();
    s.memory_grants = true;
    s.memory_shortage = shortage;
    SchedulerHarness harness(s);
    harness.set_endpoints({engine(7)});
    RequestArrival a;
    a.request = 1;
    a.time_left = 5s;
    a.estimated_memory_mb = 100;
    double granted = 0;
    for (const auto& action : harness.handle(harness.now, {a}))
      if (const auto* terms = std::get_if<AttemptTerms>(&action)) granted = terms->memory_mb;
    EXPECT_NEAR(granted, shortage == MemoryShortage::overcommit ? 200 : 160, 1);
  }
}

// What waits in an engine's own line for memory holds no core: it counted as running, and engines as crowded.
TEST(Overload, QueriesInAnEnginesLineForMemoryAreNotTakenToRun) {
  for (const double waiting : {0.0, 55.0})
    EXPECT_EQ(sends_after_report({LoadReportField::queue, LoadReportField::inflight}, {waiting, 60}),
              waiting > 0 ? 1 : 0);
}

// Every engine was probed three times a second for reports that its answers bring anyway.
TEST(HealthChecks, AreNotSentForReportsThatComeWithAnswers) {
  for (const bool in_answers : {false, true}) {
    Settings s = basic_settings();
    s.may_health_check = true;
    s.answers_report_load = in_answers;
    s.load_report_fields = {LoadReportField::inflight};
    SchedulerHarness harness(s);
    harness.set_endpoints({engine(7), engine(8), engine(9)});
    std::size_t probes = 0;
    for (RequestId id = 1; id <= 20; ++id) {
      harness.submit(id, 0);
      for (const auto& action : harness.handle(harness.next_timer_at, {TimerFired{}}))
        probes += std::holds_alternative<SendHealthCheck>(action) ? 1 : 0;
      for (int i = 0; i < 20; ++i) harness.handle(harness.next_timer_at, {TimerFired{}});
    }
    EXPECT_EQ(probes == 0, in_answers);
  }
}

// Where answers do not tell their work, a long query's engine passed for slow, and a short one's for swift.
TEST(LatencyRatio, AQuerysEstimateIsTakenOutOfItWhereAnswersTellNoWork) {
  Settings s = basic_settings();
  s.brokers = 20;
  s.may_gossip = true;
  SchedulerHarness harness(s);
  harness.set_endpoints({engine(7)});
  unsigned least = 255, most = 0;
  for (RequestId id = 1; id <= 200; ++id) {
    RequestArrival a;
    a.request = id;
    a.time_left = 5s;
    a.estimated_work = id % 2 == 0 ? 600ms : 200ms;
    harness.handle(harness.now, {a});
    harness.run_until(harness.now + 20ms);
    if (harness.attempts_of(id) == 0) continue;
    harness.complete_attempt(id, 0, 7, AttemptResult::served, *a.estimated_work);
    for (int tick = 0; tick < 12; ++tick) {
      for (const auto& action : harness.handle(harness.next_timer_at, {TimerFired{}})) {
        const auto* tell = std::get_if<SendGossip>(&action);
        const auto text = tell == nullptr ? std::nullopt : decode_gossip(tell->bytes);
        if (!text || text->entries.empty() || id < 100) continue;
        least = std::min(least, text->entries[0].value);
        most = std::max(most, text->entries[0].value);
      }
    }
  }
  ASSERT_GT(most, 0U);
  EXPECT_LT(most, least * 3 / 2);
}

// Long classes were refused though their aim, which grows with their work, had room.
TEST(QueueTime, AClassWhoseObjectiveGrowsWithItsWorkIsQueuedLonger) {
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

// Loads were sent where others of their group were out, and stood behind them for longer than they ran, as
// threads that crowd the fleet: Lakeshore's churn refused a tenth of its loads.
TEST(DataGroupLocks, WaitForAnEngineWhereNoneOfTheirGroupIsOutAndHoldUpNoOtherGroup) {
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
  EXPECT_EQ(harness.attempts_of(5), 1) << "another group's load passes by";
  const auto before = harness.sent.size();
  for (RequestId id = 6; id <= 9; ++id) harness.submit(id, 1, 5s, 0, 0);
  EXPECT_EQ(harness.sent.size() - before, 4U) << "where no group is named, nothing is known to be in the way";
  const auto first = harness.sent.front();
  harness.complete_attempt(first.request, 0, first.engine, AttemptResult::served);
  ASSERT_EQ(harness.attempts_of(4), 1);
  EXPECT_EQ(harness.sent.back().engine, first.engine);
}

// Hot groups were held on nearly every engine, and most short queries stood still behind loads.
TEST(DataGroupLocks, ReadersKeepOffEnginesWhereOneHoldsTheirGroup) {
  Settings s = basic_settings();
  s.classes[1].locks_data_group = true;
  s.classes[0].waits_for_data_group = true;
  SchedulerHarness harness(s);
  harness.set_endpoints({engine(3), engine(4), engine(5), engine(6), engine(7)});
  for (RequestId id = 1; id <= 2; ++id) harness.submit(id, 1, 5s, 0, 12);
  const std::set<EngineId> held{harness.sent.at(0).engine, harness.sent.at(1).engine};
  for (RequestId id = 11; id <= 16; ++id) {
    harness.submit(id, 0, 5s, 0, 12);
    ASSERT_EQ(harness.attempts_of(id), 1);
    EXPECT_FALSE(held.contains(harness.sent.back().engine));
  }
}

// The weight of a zone in routing follows the price that the settings set on crossing.
TEST(Zones, AnotherZonesEngineIsTakenOnceTheOwnIsFullerThanTheCrossingIsWorth) {
  struct Case {
    double price = 0;
    std::size_t least = 0, most = 0;  // sent within the zone before the first that leaves it
  };
  // Queries of one thread at engines of four cores: each makes its engine a quarter of a thread a core
  // fuller, and a price of 0.02 weighs as 0.4 of them. Without a price only chance tells both engines apart.
  for (const auto& [price, least, most] : {Case{0, 0, 1}, Case{0.02, 2, 2}, Case{0.1, 7, 8}}) {
    Settings s = basic_settings();
    s.cross_zone_cost = price;
    SchedulerHarness harness(s);
    harness.set_endpoints({engine(7, 0), engine(8, 1)});
    for (RequestId id = 1; id <= 8; ++id) harness.submit(id, 0, 5s, 0, static_cast<std::int64_t>(id));
    const auto away = std::ranges::find(harness.sent, EngineId{8}, &SendAttempt::engine);
    const auto near = static_cast<std::size_t>(away - harness.sent.begin());
    EXPECT_GE(near, least) << price;
    EXPECT_LE(near, most) << price;
  }
}

// Another program took most of one engine of five: at a pace of 5 it was still sent as much as the others.
TEST(SlowEngine, FarSlowerThanTheFleetItGetsFewerQueriesAndLoads) {
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
  std::map<EngineId, int> later;
  for (int step = 0; step < 4000; ++step) {
    const auto from = harness.sent.size();
    const auto takes = [&](EngineId to) { return to == 8 && step < 2000 ? 500ms : 100ms; };
    const bool load = step % 3 == 0;
    harness.submit(++id, load ? 2 : 0, 5s, 0, step % 40);
    for (auto i = from; i < harness.sent.size(); ++i) {
      const auto to = harness.sent[i].engine;
      running.emplace_back(harness.now + takes(to), harness.sent[i].request, to);
      if (step >= 1000 && step < 2000) ++(load ? loads : sent)[to];
      if (step >= 3000) ++later[to];
    }
    harness.run_until(harness.now + 10ms);
    for (auto it = running.begin(); it != running.end();) {
      const auto [end, request, to] = *it;
      if (end > harness.now) {
        ++it;
        continue;
      }
      it = running.erase(it);
      AttemptOutcome o;
      o.request = request;
      o.attempt = static_cast<AttemptIndex>(harness.attempts_of(request) - 1);
      o.engine = to;
      o.latency = takes(to);
      o.work = 100ms;
      o.request_closed = true;
      harness.handle(harness.now, {o});
    }
  }
  EXPECT_LT(sent[8] * 10, sent[7]);
  // What it is not sent tells nothing of it: it was locked out for as long as the day lasted.
  EXPECT_GT(later[8] * 3, later[7]);
  EXPECT_LT(loads[8] * 10, loads[7]);  // a load holds its group for as long as it runs
}

TEST(BadPlan, AnAttemptThatWouldTakeFarTooLongIsBegunAnewOnce) {
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
  EXPECT_EQ(harness.cancelled.size(), 1U) << "the second time it is the query that is long";
}

TEST(BadPlan, ANonIdempotentAttemptIsLeftAlone) {
  Settings s = basic_settings();
  s.progress_interval = 500ms;
  SchedulerHarness harness(s);
  harness.set_endpoints({engine(7), engine(8)});
  harness.submit(1, 1);
  harness.run_until(harness.now + 1s);
  harness.handle(harness.now, {AttemptProgress{1, 0, harness.sent[0].engine, ProgressKind::progress, 0.001}});
  EXPECT_TRUE(harness.cancelled.empty());
}

Settings probed_and_told() {
  Settings s = basic_settings();
  s.brokers = 40;
  s.may_gossip = s.may_health_check = true;
  s.load_report_fields = {LoadReportField::inflight};
  return s;
}

// Its one engine was sent a query.
void send_first(SchedulerHarness& harness) {
  harness.set_endpoints({engine(7)});
  harness.submit(1, 0);
  harness.run_until(harness.now + 60ms);
  ASSERT_EQ(harness.attempts_of(1), 1);
}

// Answers were lost all over the fleet, with a reset each: every engine was taken to have begun anew, and
// work came only by cold turns.
TEST(Unreachable, AnEngineHeardSoonAfterAResetHasNotBegunAnew) {
  for (const Time answer : {5ms, 900ms}) {  // no answer for so long: the process may have ended meanwhile
    SchedulerHarness harness(probed_and_told());
    ASSERT_NO_FATAL_FAILURE(send_first(harness));
    AttemptOutcome o;
    o.request = 1;
    o.engine = 7;
    o.result = AttemptResult::reset;
    const auto actions = harness.handle(harness.now, {o});
    const auto asked = [](const Action& a) { return std::holds_alternative<SendHealthCheck>(a); };
    EXPECT_TRUE(std::ranges::any_of(actions, asked)) << "asked at once whether it is there";
    harness.run_until(harness.now + answer);
    HealthCheckResult p;
    p.engine = 7;
    p.result = AttemptResult::served;
    p.load = {1.0};
    harness.handle(harness.now, {p});
    for (RequestId id = 2; id < 10; ++id) harness.submit(id, 0);
    harness.run_until(harness.now + 60ms);
    EXPECT_EQ(harness.sent.size() > 3, answer < 500ms);
  }
}

// Both were written before its process ended, and read after a connection of it was seen to break.
TEST(Unreachable, AnEnginesLastWordsDoNotProveThatItHasOutlivedABreak) {
  for (const bool probe : {true, false}) {
    SchedulerHarness harness(probed_and_told());
    ASSERT_NO_FATAL_FAILURE(send_first(harness));
    harness.complete_attempt(1, 0, 7, AttemptResult::reset);
    harness.run_until(harness.now + 5ms);
    if (probe) {
      harness.handle(harness.now, {HealthCheckResult{7, AttemptResult::served, 20ms, {}}});
    } else {
      GossipPayload text;
      text.has_reports = true;
      text.entries = {{7, 0, 0}};
      harness.handle(harness.now, {GossipMessage{3, encode_gossip(text)}});
    }
    for (RequestId id = 2; id < 10; ++id) harness.submit(id, 0);
    harness.run_until(harness.now + 60ms);
    EXPECT_LE(harness.sent.size(), 3U) << (probe ? "a probe's answer" : "a peer's report");
  }
}

// Connections were reset all over the fleet, on a busy day faster than answers came: engines that ran on
// counted as cold for 15 s each time, and half of what was asked was refused.
TEST(Unreachable, AnEngineThatAnswersForWhatItHadBeforeABreakHasNotBegunAnew) {
  // The answer is for a query from before the break, or from after it.
  for (const bool before : {true, false}) {
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
    if (before) send(2);
    harness.complete_attempt(1, 0, 7, AttemptResult::reset);
    const auto until_break = harness.sent.size();
    // Until it has a turn there.
    for (RequestId id = 3; !before && harness.sent.size() == until_break && id < 900; ++id) send(id);
    ASSERT_EQ(harness.sent.size() > until_break, !before);
    const auto sent = before ? RequestId{2} : harness.sent[until_break].request;
    const auto n = static_cast<AttemptIndex>(sent == 1 ? 1 : 0);
    harness.run_until(harness.now + 900ms);
    harness.complete_attempt(sent, n, 7, AttemptResult::served);
    const auto had = harness.sent.size();
    for (RequestId id = 1000; id < 1010; ++id) harness.submit(id, 0);
    harness.run_until(harness.now + 60ms);
    EXPECT_EQ(harness.sent.size() > had + 3, before);
  }
}

TEST(StartTracker, StandsUntilItsProcessTurnsOutToHaveOutlivedIt) {
  constexpr Time kSoon = 500ms;
  StartTracker start;
  start.confirm(1s);
  start.suspect_restart(10s, false);
  start.suspect_restart(20s, true);
  start.suspect_restart(30s, false);
  EXPECT_EQ(start.started_at(), 30s);
  // What comes as the connection breaks may be its last word, and so may what is read a little later.
  for (const Time at : {Time(30s), Time(30s) + 5ms, Time(30s) + 50ms}) start.record_alive(at, 29s, kSoon);
  EXPECT_EQ(start.started_at(), 30s);
  start.record_alive(33s, 25s, kSoon);  // alive since 25 s: the last break was the network's
  EXPECT_EQ(start.started_at(), 20s);
  // A new process may answer so soon, where nobody was.
  start.record_alive(Time(20s) + 400ms, Time(20s) + 100ms, kSoon);
  EXPECT_EQ(start.started_at(), 20s);
  start.record_alive(35s, 5s, kSoon);
  EXPECT_EQ(start.started_at(), 1s);
  start.suspect_restart(40s, false);
  start.record_alive(Time(40s) + 400ms, Time(40s) + 300ms,
                     kSoon);  // none ends and begins anew in so short a time
  EXPECT_EQ(start.started_at(), 1s);
  start.suspect_restart(45s, false);
  start.record_alive(Time(45s) + 1ms, 45s, kSoon);  // it was sent this after the break: no last word
  EXPECT_EQ(start.started_at(), 1s);
  for (int i = 0; i < 100; ++i) start.suspect_restart(Time(50s) + i * 1s, false);
  start.record_alive(200s, 2s, kSoon);
  EXPECT_EQ(start.started_at(), Time(50s) + 83s) << "the oldest stand for good once there are too many";
}

TEST(Unreachable, AnEngineThatBreaksConnectionsIsTakenForWarmingUpByAllBrokers) {
  for (const auto result : {AttemptResult::connect_failed, AttemptResult::reset}) {
    int tried = 0, early = 0;
    for (unsigned i = 0; i < 40; ++i) {
      Settings s = basic_settings();
      s.brokers = 40;
      s.broker_index = i;
      SchedulerHarness harness(s, 1 + i);
      harness.set_endpoints({engine(7)});
      harness.run_until(
          harness.now +
          s.slow_start_overload_window);  // in its first one a process sends nothing to a cold engine
      harness.submit(1, 0);
      harness.complete_attempt(1, 0, 7, result);
      const auto broke = harness.now;
      for (RequestId id = 2; id < 30; ++id) {
        harness.submit(id, 0);
        harness.run_until(harness.now + 100ms);
      }
      tried += harness.sent.size() > 1 ? 1 : 0;
      for (std::size_t n = 1; n < harness.sent.size(); ++n) early += harness.now < broke + 3s ? 1 : 0;
    }
    EXPECT_LT(tried, 20) << "forty trials at once would push a new process over";
    EXPECT_GT(tried, 0);
    EXPECT_LT(early, 20);
  }
}

TEST(ManyEngines, OneThatNothingTellsOfIsNotTakenForEmpty) {
  Settings s = basic_settings();
  s.brokers = 100;
  s.may_health_check = true;
  s.load_report_fields = {LoadReportField::inflight};
  SchedulerHarness harness(s);
  std::vector<Endpoint> engines;
  for (EngineId id = 1; id <= 40; ++id) engines.push_back(engine(id));
  harness.set_endpoints(engines);
  for (EngineId id = 1; id <= 40; ++id) {  // all crowded, but one that is known to be idle
    HealthCheckResult probe;
    probe.engine = id;
    probe.load = {id == 5 ? 0.0 : 20.0};
    if (id <= 4 || id == 5 || id > 33) harness.handle(harness.now, {probe});
  }
  harness.submit(1, 0);
  harness.run_until(harness.now + 60ms);
  ASSERT_EQ(harness.attempts_of(1), 1);
  EXPECT_EQ(harness.sent.back().engine, 5U);
}

TEST(ManyEngines, AQueryCostsNoMoreHealthChecksOrBytesInALargerFleet) {
  for (const unsigned size : {20U, 200U}) {
    Settings s = basic_settings();
    s.brokers = 4 * size;
    s.may_health_check = s.may_gossip = true;
    s.load_report_fields = {LoadReportField::inflight};
    SchedulerHarness harness(s);
    std::vector<Endpoint> engines;
    for (EngineId id = 1; id <= size; ++id) engines.push_back(engine(id));
    harness.set_endpoints(engines);
    std::size_t probes = 0, bytes = 0;
    for (RequestId id = 1; id <= 50; ++id) {
      RequestArrival a;
      a.request = id;
      a.time_left = 5s;
      std::vector<Action> actions = harness.handle(harness.now, {a});
      for (int tick = 0; tick < 10; ++tick) {
        const auto more = harness.handle(harness.next_timer_at, {TimerFired{}});
        actions.insert(actions.end(), more.begin(), more.end());
      }
      for (const auto& action : actions) {
        probes += std::holds_alternative<SendHealthCheck>(action) ? 1 : 0;
        const auto* tell = std::get_if<SendGossip>(&action);
        if (tell == nullptr) continue;
        EXPECT_TRUE(tell->to.has_value()) << "never to hundreds at once";
        bytes += tell->bytes.size();
      }
    }
    EXPECT_LE(probes, 50U);
    EXPECT_LE(bytes, 50U * 150U);
    EXPECT_GT(probes, 0U);
    EXPECT_GT(bytes, 0U);
  }
}

TEST(Gossip, OneThatIsMalformedIsIgnoredWhole) {
  Settings s = basic_settings();
  s.brokers = 3;
  s.may_gossip = true;
  const auto choice = [&s](const std::string& bytes) {
    SchedulerHarness harness(s);
    harness.set_endpoints({engine(7), engine(8)});
    harness.handle(harness.now, {GossipMessage{1, bytes}});
    harness.submit(1, 0);
    return harness.sent.empty() ? 0U : harness.sent.back().engine;
  };
  const std::string on_seven("o\x07\0\0\0\x06", 6), on_eight("o\x08\0\0\0\x06", 6);
  EXPECT_EQ(choice(on_seven), 8U);
  EXPECT_EQ(choice(on_eight), 7U);
  const auto untold = choice("");
  EXPECT_EQ(choice(on_seven.substr(0, 5)), untold);
  EXPECT_EQ(choice(on_eight + "x"), untold);
  EXPECT_EQ(choice("?" + on_seven.substr(1)), untold);
}

// One of many gateways, told of twenty engines of 16 cores again and again.
SchedulerHarness told_by_reports(bool apart, double queries, int rounds) {
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
      HealthCheckResult p;
      p.engine = id;
      p.load = {apart ? (id % 2 == 0 ? 0.0 : 2 * queries) : (id == 20 ? queries / 2 : queries)};
      harness.handle(harness.now, {p});
    }
  }
  return harness;
}

// Reports came seconds late: all gateways filled the engines that had been empty, again and again.
TEST(OldReports, ThatLieFarApartAreBelievedInPartOnly) {
  SchedulerHarness good = told_by_reports(false, 20, 5), bad = told_by_reports(true, 20, 5);
  int emptiest = 0, full = 0;
  for (RequestId id = 1; id <= 100; ++id) {
    for (auto* harness : {&good, &bad}) {
      harness->submit(id, 0, 5s, 0, id);
      ASSERT_EQ(harness->attempts_of(id), 1);
      harness->complete_attempt(id, 0, harness->sent.back().engine, AttemptResult::served);
    }
    emptiest += good.sent.back().engine == 20 ? 1 : 0;
    full += bad.sent.back().engine % 2 == 1 ? 1 : 0;
  }
  EXPECT_GT(emptiest, 90) << "reports that agree tell where room is";
  EXPECT_GE(full, 5) << "else what was full a while ago may be empty now";
  EXPECT_LT(full, 50);
}

TEST(OldReports, ABrokersOwnThreadsShowThatAllOvershoot) {
  for (const bool apart : {false, true}) {
    SchedulerHarness harness = told_by_reports(apart, 28, 10);
    const auto before = harness.sent.size();
    for (RequestId id = 1; id <= 6; ++id)
      harness.submit(id, 0, 5s, 0, id);  // far more than it has run of late
    EXPECT_EQ(harness.sent.size() - before, apart ? 2U : 6U);
  }
}

// A quarter of the fleet restarted: what ran there was gone, yet the level stayed high and all was refused.
TEST(ManyBrokers, TheLevelByMessagesFollowsWithinSeconds) {
  Settings s = basic_settings();
  s.brokers = 40;
  s.may_gossip = true;
  s.load_report_fields = {LoadReportField::util};
  SchedulerHarness other(s), harness(s, 2);
  std::vector<Endpoint> engines;
  for (EngineId id = 1; id <= 5; ++id) engines.push_back(engine(id));
  for (auto* each : {&other, &harness}) each->set_endpoints(engines);
  const auto message = [&other] {  // what the other gateway says now
    for (RequestId id = 100; id < 110; ++id)
      other.submit(id, 5);  // of no class: refused, but they pay for bytes
    for (int tick = 0; tick < 50; ++tick) {
      for (const auto& action : other.handle(other.next_timer_at, {TimerFired{}}))
        if (const auto* tell = std::get_if<SendGossip>(&action)) return tell->bytes;
    }
    return std::string();
  };
  for (RequestId id = 1; id <= 3; ++id) other.submit(id, 0);
  ASSERT_EQ(other.sent.size(), 3U);
  const auto busy = message();
  const auto sent = other.sent;
  for (const auto& send : sent) other.complete_attempt(send.request, 0, send.engine, AttemptResult::served);
  const auto idle = message();
  ASSERT_NE(busy, idle);
  const auto tell = [&harness](const std::string& bytes) {
    GossipMessage m;
    m.from = 1;
    m.bytes = bytes;
    harness.handle(harness.now + 100ms, {m});
  };
  for (int i = 0; i < 30; ++i) tell(busy);
  harness.submit(1, 0);
  EXPECT_EQ(harness.sent.size(), 0U) << "six threads a core by messages";
  for (int i = 0; i < 20; ++i) tell(idle);
  harness.submit(2, 0);
  EXPECT_GT(harness.sent.size(), 0U);
}

TEST(ManyBrokers, LaterRanksStopEarlierSoThatTheFirstClassFindsCapacity) {
  // Traffic has turned to a heavy class for good: the fleet stands between both limits.
  Settings s = basic_settings();
  s.brokers = 100;
  s.may_health_check = true;
  s.load_report_fields = {LoadReportField::inflight};
  SchedulerHarness harness(s);
  harness.set_endpoints({engine(7), engine(8)});
  for (EngineId id : {7U, 8U}) {
    HealthCheckResult probe;
    probe.engine = id;
    probe.load = {7.0};  // 1.75 threads a core
    harness.handle(harness.now, {probe});
  }
  harness.submit(1, 1);
  harness.submit(2, 0);
  harness.run_until(harness.now + 60ms);
  EXPECT_EQ(harness.attempts_of(1), 0);
  EXPECT_EQ(harness.attempts_of(2), 1);
}

TEST(LostAnswers, AnEngineThatAnswersOthersIsNotEjectedAndTheLostAreSettledInTime) {
  Settings s = basic_settings();
  s.max_attempts = 1;
  SchedulerHarness harness(s);
  harness.set_endpoints({engine(7)});
  const auto start = harness.now;
  for (RequestId id = 1; id <= 40; ++id) {
    harness.submit(id, 0);
    ASSERT_EQ(harness.attempts_of(id), 1) << "still trusted at " << id;
    if (id % 10 != 0) harness.complete_attempt(id, 0, 7, AttemptResult::served);
    if (id % 10 == 0)
      harness.submit(100 + id, 0), harness.complete_attempt(100 + id, 0, 7, AttemptResult::served);
    harness.run_until(harness.now + 100ms);
  }
  harness.run_until(start + 10s);
  for (RequestId id = 10; id <= 40; id += 10) EXPECT_EQ(harness.answer_count(id), 1);
}

TEST(Stalls, ABrokerThatHadNoTurnBlamesNoEngineAndSettlesWhatIsOverdue) {
  Settings s = basic_settings();
  s.progress_interval = 500ms;
  SchedulerHarness harness(s);
  harness.set_endpoints({engine(7), engine(8)});
  harness.submit(1, 0);
  harness.submit(2, 0);
  harness.now += 2s;  // no call meanwhile; the client of one that was held has little time left
  RequestArrival late;
  late.request = 3;
  late.time_left = 30ms;
  harness.handle(harness.now, {TimerFired{}, late});
  EXPECT_TRUE(harness.cancelled.empty());
  harness.run_until(harness.now + 40ms);
  EXPECT_EQ(harness.answer_count(3), 1);
  harness.run_until(harness.now + 2s);
  EXPECT_EQ(harness.cancelled.size(), 2U) << "silence that it did see is still told";
}

TEST(Stalls, WhatWaitedMeanwhileIsSettledAtOnceIfItCantBeInTime) {
  SchedulerHarness harness(basic_settings());
  harness.set_endpoints({engine(7), engine(8)});
  harness.submit(1, 0);  // comes with 5 s left, as all do
  harness.complete_attempt(1, 0, harness.sent.back().engine, AttemptResult::served);
  harness.now += 2s;
  RequestArrival old, young;
  old.request = 2;
  old.time_left = 3200ms;
  young.request = 3;
  young.time_left = 4900ms;
  harness.handle(harness.now, {old, young});
  EXPECT_EQ(harness.answer_count(2), 1);
  EXPECT_EQ(harness.attempts_of(2), 0);
  EXPECT_EQ(harness.attempts_of(3), 1);
  harness.run_until(harness.now + 100ms);
  harness.submit(4, 0, 3200ms);  // with a turn in time, little time left is the client's own choice
  EXPECT_EQ(harness.attempts_of(4), 1);
}

TEST(TenantQuota, AFloodDoesNotRaiseTheQuotaThatItIsMeasuredAgainst) {
  Settings s = basic_settings();
  s.over_quota_weight = 0.05;
  s.may_health_check = true;
  s.load_report_fields = {LoadReportField::inflight};
  s.tenants = {{"a", 0.5, 5}, {"b", 0.5, 5}};
  SchedulerHarness harness(s);
  harness.set_endpoints({engine(7), engine(8)});
  RequestId id = 0;
  const auto second = [&](int of_first) {
    std::vector<int> served(2);
    for (int n = 0; n < of_first + 5; ++n) {
      RequestArrival a;
      a.request = ++id;
      a.tenant = n < of_first ? 0 : 1;
      a.time_left = 5s;
      HealthCheckResult probe;
      probe.engine = 7 + id % 2;
      probe.load = {of_first > 5 ? 7.0 : 0.0};  // crowded by the others, past 1.5 threads a core
      harness.handle(harness.now, {probe, a});
      if (harness.attempts_of(id) > 0) {
        ++served[a.tenant];
        harness.complete_attempt(id, 0, harness.sent.back().engine, AttemptResult::served, 50ms);
      }
      harness.run_until(harness.now + 1000ms / (of_first + 5));
    }
    return served;
  };
  for (int n = 0; n < 12; ++n) second(5);
  int flooding = 0, other = 0;
  for (int n = 0; n < 10; ++n) {
    const auto served = second(100);
    flooding += served[0];
    other += served[1];
  }
  EXPECT_LE(flooding, 90) << "5 a second are its share, and what it had saved up";
  EXPECT_GE(other, 45);
}

TEST(EndpointLists, AnEngineLongGoneIsForgottenAndOneThatReturnsIsNew) {
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
  EXPECT_EQ(harness.attempts_of(11), 1) << "what it did long ago no longer counts";
}

// Hundreds asked and withdrawn at once used up the share of the tenant's usual clients.
TEST(TenantQuota, WhatIsWithdrawnBeforeItWasSentUsesNothingOfTheQuota) {
  Settings s = basic_settings();
  s.over_quota_weight = 0.1;
  s.tenants = {{"a", 0.5, 10}, {"b", 0.5, 10}};
  SchedulerHarness harness(s);
  harness.set_endpoints({engine(7)});
  for (RequestId id = 1; id <= 40; ++id) harness.submit(id, 0, 20s, 0, 1);  // until queries wait
  const auto held = [&] { return harness.scheduler.class_status(0).queued; };
  ASSERT_GT(held(), 0U);
  for (RequestId id = 1000; id < 1400; ++id) {
    RequestArrival a;
    a.request = id;
    a.tenant = 1;
    a.time_left = 5s;
    harness.handle(harness.now, {a, RequestCancelled{id}});
  }
  RequestArrival usual;
  usual.request = 5000;
  usual.tenant = 1;
  usual.time_left = 5s;
  harness.handle(harness.now, {usual});
  EXPECT_EQ(harness.answer_count(5000), 0);
}

TEST(TenantQuota, AFloodIsRejectedOnceQueriesWaitAndOthersAreNot) {
  Settings s = basic_settings();
  s.over_quota_weight = 0.05;
  s.tenants = {{"calm", 0.5, 20}, {"flood", 0.5, 20}};
  SchedulerHarness harness(s);
  harness.set_endpoints({});
  RequestId id = 0;
  const auto ask = [&](std::uint32_t tenant) {
    RequestArrival a;
    a.request = ++id;
    a.tenant = tenant;
    a.time_left = 5s;
    harness.handle(harness.now, {a});
    return id;
  };
  for (int i = 0; i < 60; ++i) ask(1);
  EXPECT_EQ(harness.rejected[id], 1);
  const auto calm = ask(0);
  EXPECT_EQ(harness.rejected[calm], 0);
}

}  // namespace
}  // namespace bellstair::policy::test
