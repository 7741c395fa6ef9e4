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
  Drive d(plain_settings());
  d.list({engine(7), engine(8), engine(9)});
  int to_bad = 0;
  for (RequestId id = 1; id <= 60; ++id) {
    const auto from = d.sends.size();
    d.ask(id, 0, 5s, 0, id);  // of many data groups
    for (auto i = from; i < d.sends.size(); ++i) {
      const auto sent = d.sends[i];
      to_bad += sent.engine == 8 ? 1 : 0;
      const auto n = static_cast<AttemptIndex>(d.sends_of(sent.request) - 1);
      d.ends(sent.request, n, sent.engine, sent.engine == 8 ? AttemptResult::error : AttemptResult::served);
    }
    d.until(d.now + 20ms);
  }
  EXPECT_LE(to_bad, 4) << "two errors in a row, then one trial at a time";
  EXPECT_GE(to_bad, 2);
}

// Clients sent what no engine takes, and it went from engine to engine: all were rested for it, 159 times in
// 20 s.
TEST(FastErrors, WhatTwoEnginesCannotUseIsShedAndNoEngineIsEjected) {
  Drive d(plain_settings());
  d.list({engine(7), engine(8), engine(9)});
  for (RequestId id = 1; id <= 20; ++id) {
    d.ask(id, 0, 5s, 0, id);
    for (int n = 0; n < d.sends_of(id); ++n)
      d.ends(id, static_cast<AttemptIndex>(n), d.sends.back().engine, AttemptResult::error);
    EXPECT_EQ(d.sends_of(id), 2);
    EXPECT_EQ(d.answers(id), 1);
    d.until(d.now + 20ms);
  }
  for (RequestId id = 101; id <= 103; ++id) d.ask(id, 0, 5s, 0, id);
  EXPECT_EQ(d.sends_to(7) + d.sends_to(8) + d.sends_to(9), 43);
  EXPECT_EQ(d.sends_of(101) + d.sends_of(102) + d.sends_of(103), 3) << "none waits for an engine";
}

TEST(FastErrors, AnEngineThatRecoversGetsWorkAgain) {
  Drive d(plain_settings());
  d.list({engine(7), engine(8)});
  const auto play = [&d](RequestId from, RequestId to, bool bad) {
    for (RequestId id = from; id <= to; ++id) {
      const auto at = d.sends.size();
      d.ask(id, 0, 5s, 0, id);  // of many data groups
      for (auto i = at; i < d.sends.size(); ++i) {
        const auto sent = d.sends[i];
        const auto n = static_cast<AttemptIndex>(d.sends_of(sent.request) - 1);
        d.ends(sent.request, n, sent.engine,
               bad && sent.engine == 8 ? AttemptResult::error : AttemptResult::served);
      }
      d.until(d.now + 50ms);
    }
  };
  play(1, 20, true);
  const int before = d.sends_to(8);
  play(21, 120, false);
  EXPECT_GT(d.sends_to(8) - before, 20);
}

TEST(Silence, QueriesOnASilentEngineAreWithdrawnAndItGetsNoMore) {
  Settings s = plain_settings();
  s.progress_interval = 500ms;
  Drive d(s);
  d.list({engine(7)});
  d.ask(1, 0);
  d.list({engine(7), engine(8), engine(9)});
  d.until(d.now + 1700ms);
  ASSERT_EQ(d.called_off.size(), 1U);
  d.ends(1, 0, 7, AttemptResult::cancelled);
  ASSERT_EQ(d.sends_of(1), 2);
  EXPECT_NE(d.sends.back().engine, 7U);
}

TEST(Silence, WithoutCancelTheEngineIsStillLeftAlone) {
  Settings s = plain_settings();
  s.may_cancel = false;
  Drive d(s);
  d.list({engine(7)});
  for (RequestId id = 1; id <= 4; ++id) d.ask(id, 0);
  ASSERT_EQ(d.sends_to(7), 4);
  d.list({engine(7), engine(8), engine(9)});
  d.until(d.now + 1s);
  const int before = d.sends_to(7);
  for (RequestId id = 10; id <= 14; ++id) d.ask(id, 0);
  EXPECT_EQ(d.sends_to(7), before);
  EXPECT_TRUE(d.called_off.empty());
}

// Time-outs left work behind on engines that heed no cancel, and cut honest long queries: 4% on a quiet day.
TEST(TimeOuts, AHealthyEngineIsGivenTheWholeTime) {
  Drive d(plain_settings());
  d.list({engine(7)});
  d.ask(1, 0, 5s);
  EXPECT_GT(d.sends[0].give_up_at, d.now + 4900ms);
  EXPECT_LT(d.sends[0].give_up_at, d.now + 5s);
}

// Every gateway without a query on a full engine still sent one; with many gateways the fleet jammed.
// How often a query is sent whose only engine has just told such a report.
int sends_after_report(std::vector<LoadReportField> fields, std::vector<double> load) {
  Settings s = plain_settings();
  s.brokers = 8;
  s.load_report_fields = std::move(fields);
  Drive d(s);
  d.list({engine(7)});
  d.ask(1, 0);
  AttemptOutcome o;
  o.request = 1;
  o.engine = 7;
  o.request_closed = true;
  o.load_report = std::move(load);
  d.at(d.now, {o});
  d.ask(2, 0);
  return d.sends_of(2);
}

TEST(Overload, AnEngineReportedFullGetsNothing) {
  EXPECT_EQ(sends_after_report({LoadReportField::inflight}, {60}), 0);
}

// One long query, far past the usual, was taken for silence: 153 times on a day without any trouble.
TEST(Silence, OneLongQueryIsNoSilence) {
  Settings s = plain_settings();
  s.classes[0].client_timeout = 60s;
  Drive d(s);
  d.list({engine(7), engine(8), engine(9)});
  d.ask(1, 0, 60s);
  const auto at = d.sends[0].engine;
  d.until(d.now + 10s);
  EXPECT_TRUE(d.called_off.empty());
  EXPECT_DOUBLE_EQ(d.gateway.thread_pool(), 24) << "engine " << at << " still counts";
}

// Reports are late and the same for all: by them alone every gateway ran to one engine at once.
TEST(Overload, AnEngineReportedEmptyDoesNotGetEverything) {
  Settings s = plain_settings();
  s.brokers = 4;
  s.load_report_fields = {LoadReportField::inflight};
  s.kinds = {{"one", 16, 0}};
  Drive d(s);
  d.list({engine(7), engine(8), engine(9)});
  for (const EngineId id : {7U, 8U, 9U}) {
    HealthCheckResult p;
    p.engine = id;
    p.load = {id == 8 ? 0.0 : 8.0};
    d.at(d.now, {p});
  }
  for (RequestId id = 1; id <= 8; ++id) d.ask(id, 0);
  EXPECT_LT(d.sends_to(8), 8);
  EXPECT_GE(d.sends_to(8), 2) << "but more than the others";
}

// Spread evenly, a group's data was warm nowhere; and two engines of equal load drew all gateways alike.
TEST(DataGroupAffinity, QueriesOfAGroupPreferTheSameTwoEnginesWhileTheyAreAsEmpty) {
  Settings s = plain_settings();
  s.kinds = {{"one", 32, 0}};
  std::map<EngineId, int> used;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Drive d(s, seed);
    d.list({engine(3), engine(4), engine(5), engine(6), engine(7)});
    d.ask(1, 0, 5s, 0, 12);
    ++used[d.sends[0].engine];
  }
  EXPECT_EQ(used.size(), 2U);
}

// With the engines' own choice of grants, heavy-tailed queries spilled to disk and took several times their
// work.
TEST(MemoryGrants, FollowTheNeedsThatAnswersTell) {
  Settings s = plain_settings();
  s.memory_grants = true;
  Drive d(s);
  d.list({engine(7)});
  const auto granted = [&d](RequestId id) {
    RequestArrival a;
    a.request = id;
    a.time_left = 5s;
    for (const auto& action : d.at(d.now, {a}))
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
  d.at(d.now, {o});
  EXPECT_GT(granted(2), 200);
}

// Where engines keep what is granted, used or not, a grant far over the estimate leaves others in line for
// memory; where they count what is in use, it costs nobody anything.
TEST(MemoryGrants, AreSmallerWhereEnginesKeepThem) {
  for (const auto shortage : {MemoryShortage::overcommit, MemoryShortage::wait, MemoryShortage::shrink}) {
    Settings s = plain_settings();
    s.memory_grants = true;
    s.memory_shortage = shortage;
    Drive d(s);
    d.list({engine(7)});
    RequestArrival a;
    a.request = 1;
    a.time_left = 5s;
    a.estimated_memory_mb = 100;
    double granted = 0;
    for (const auto& action : d.at(d.now, {a}))
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
    Settings s = plain_settings();
    s.may_health_check = true;
    s.answers_report_load = in_answers;
    s.load_report_fields = {LoadReportField::inflight};
    Drive d(s);
    d.list({engine(7), engine(8), engine(9)});
    std::size_t probes = 0;
    for (RequestId id = 1; id <= 20; ++id) {
      d.ask(id, 0);
      for (const auto& action : d.at(d.wake, {TimerFired{}}))
        probes += std::holds_alternative<SendHealthCheck>(action) ? 1 : 0;
      for (int i = 0; i < 20; ++i) d.at(d.wake, {TimerFired{}});
    }
    EXPECT_EQ(probes == 0, in_answers);
  }
}

// Where answers do not tell their work, a long query's engine passed for slow, and a short one's for swift.
TEST(LatencyRatio, AQuerysEstimateIsTakenOutOfItWhereAnswersTellNoWork) {
  Settings s = plain_settings();
  s.brokers = 20;
  s.may_gossip = true;
  Drive d(s);
  d.list({engine(7)});
  unsigned least = 255, most = 0;
  for (RequestId id = 1; id <= 200; ++id) {
    RequestArrival a;
    a.request = id;
    a.time_left = 5s;
    a.estimated_work = id % 2 == 0 ? 600ms : 200ms;
    d.at(d.now, {a});
    d.until(d.now + 20ms);
    if (d.sends_of(id) == 0) continue;
    d.ends(id, 0, 7, AttemptResult::served, *a.estimated_work);
    for (int tick = 0; tick < 12; ++tick) {
      for (const auto& action : d.at(d.wake, {TimerFired{}})) {
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
  Settings s = plain_settings();
  s.classes[2].idempotency = Idempotency::idempotent;
  s.classes[2].latency_objective = s.classes[0].latency_objective;
  s.classes[2].objective_stretch = 8;
  Drive d(s);
  d.list({});
  d.ask(1, 0);
  d.ask(2, 2);
  d.until(d.now + 1s);
  EXPECT_EQ(d.refused[1], 1);
  EXPECT_EQ(d.refused[2], 0);
  d.until(d.now + 1s);
  EXPECT_EQ(d.refused[2], 1);
}

// Loads were sent where others of their group were out, and stood behind them for longer than they ran, as
// threads that crowd the fleet: Lakeshore's churn refused a tenth of its loads.
TEST(DataGroupLocks, WaitForAnEngineWhereNoneOfTheirGroupIsOutAndHoldUpNoOtherGroup) {
  Settings s = plain_settings();
  s.classes[1].locks_data_group = true;
  s.classes[0].waits_for_data_group = true;
  Drive d(s);
  d.list({engine(3), engine(4), engine(5)});
  for (RequestId id = 1; id <= 4; ++id) d.ask(id, 1, 5s, 0, 12);
  std::map<EngineId, int> sent;
  for (const auto& to : d.sends) ++sent[to.engine];
  EXPECT_EQ(sent, (std::map<EngineId, int>{{3, 1}, {4, 1}, {5, 1}}));
  EXPECT_EQ(d.sends_of(4), 0);
  d.ask(5, 1, 5s, 0, 13);
  EXPECT_EQ(d.sends_of(5), 1) << "another group's load passes by";
  const auto before = d.sends.size();
  for (RequestId id = 6; id <= 9; ++id) d.ask(id, 1, 5s, 0, 0);
  EXPECT_EQ(d.sends.size() - before, 4U) << "where no group is named, nothing is known to be in the way";
  const auto first = d.sends.front();
  d.ends(first.request, 0, first.engine, AttemptResult::served);
  ASSERT_EQ(d.sends_of(4), 1);
  EXPECT_EQ(d.sends.back().engine, first.engine);
}

// Hot groups were held on nearly every engine, and most short queries stood still behind loads.
TEST(DataGroupLocks, ReadersKeepOffEnginesWhereOneHoldsTheirGroup) {
  Settings s = plain_settings();
  s.classes[1].locks_data_group = true;
  s.classes[0].waits_for_data_group = true;
  Drive d(s);
  d.list({engine(3), engine(4), engine(5), engine(6), engine(7)});
  for (RequestId id = 1; id <= 2; ++id) d.ask(id, 1, 5s, 0, 12);
  const std::set<EngineId> held{d.sends.at(0).engine, d.sends.at(1).engine};
  for (RequestId id = 11; id <= 16; ++id) {
    d.ask(id, 0, 5s, 0, 12);
    ASSERT_EQ(d.sends_of(id), 1);
    EXPECT_FALSE(held.contains(d.sends.back().engine));
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
    Settings s = plain_settings();
    s.cross_zone_cost = price;
    Drive d(s);
    d.list({engine(7, 0), engine(8, 1)});
    for (RequestId id = 1; id <= 8; ++id) d.ask(id, 0, 5s, 0, static_cast<std::int64_t>(id));
    const auto away = std::ranges::find(d.sends, EngineId{8}, &SendAttempt::engine);
    const auto near = static_cast<std::size_t>(away - d.sends.begin());
    EXPECT_GE(near, least) << price;
    EXPECT_LE(near, most) << price;
  }
}

// Another program took most of one engine of five: at a pace of 5 it was still sent as much as the others.
TEST(SlowEngine, FarSlowerThanTheFleetItGetsFewerQueriesAndLoads) {
  Settings s = plain_settings();
  s.kinds = {{"one", 16, 8192}};
  s.classes[0].waits_for_data_group = s.classes[2].locks_data_group = true;
  s.classes[2].deduplication_scope = DeduplicationScope::all;
  s.answers_report_cost = true;
  Drive d(s);
  d.list({engine(7), engine(8), engine(9), engine(10), engine(11)});
  std::vector<std::tuple<Time, RequestId, EngineId>> running;
  std::map<EngineId, int> sent, loads;
  RequestId id = 0;
  std::map<EngineId, int> later;
  for (int step = 0; step < 4000; ++step) {
    const auto from = d.sends.size();
    const auto takes = [&](EngineId to) { return to == 8 && step < 2000 ? 500ms : 100ms; };
    const bool load = step % 3 == 0;
    d.ask(++id, load ? 2 : 0, 5s, 0, step % 40);
    for (auto i = from; i < d.sends.size(); ++i) {
      const auto to = d.sends[i].engine;
      running.emplace_back(d.now + takes(to), d.sends[i].request, to);
      if (step >= 1000 && step < 2000) ++(load ? loads : sent)[to];
      if (step >= 3000) ++later[to];
    }
    d.until(d.now + 10ms);
    for (auto it = running.begin(); it != running.end();) {
      const auto [end, request, to] = *it;
      if (end > d.now) {
        ++it;
        continue;
      }
      it = running.erase(it);
      AttemptOutcome o;
      o.request = request;
      o.attempt = static_cast<AttemptIndex>(d.sends_of(request) - 1);
      o.engine = to;
      o.latency = takes(to);
      o.work = 100ms;
      o.request_closed = true;
      d.at(d.now, {o});
    }
  }
  EXPECT_LT(sent[8] * 10, sent[7]);
  // What it is not sent tells nothing of it: it was locked out for as long as the day lasted.
  EXPECT_GT(later[8] * 3, later[7]);
  EXPECT_LT(loads[8] * 10, loads[7]);  // a load holds its group for as long as it runs
}

TEST(BadPlan, AnAttemptThatWouldTakeFarTooLongIsBegunAnewOnce) {
  Settings s = plain_settings();
  s.progress_interval = 500ms;
  Drive d(s);
  d.list({engine(7), engine(8)});
  d.ask(1, 0);
  d.until(d.now + 1s);
  d.at(d.now, {AttemptProgress{1, 0, d.sends[0].engine, ProgressKind::progress, 0.02}});
  ASSERT_EQ(d.called_off.size(), 1U);
  d.ends(1, 0, d.sends[0].engine, AttemptResult::cancelled);
  ASSERT_EQ(d.sends_of(1), 2);
  d.until(d.now + 500ms);
  d.at(d.now, {AttemptProgress{1, 1, d.sends[1].engine, ProgressKind::progress, 0.01}});
  d.until(d.now + 500ms);
  d.at(d.now, {AttemptProgress{1, 1, d.sends[1].engine, ProgressKind::progress, 0.02}});
  EXPECT_EQ(d.called_off.size(), 1U) << "the second time it is the query that is long";
}

TEST(BadPlan, ANonIdempotentAttemptIsLeftAlone) {
  Settings s = plain_settings();
  s.progress_interval = 500ms;
  Drive d(s);
  d.list({engine(7), engine(8)});
  d.ask(1, 1);
  d.until(d.now + 1s);
  d.at(d.now, {AttemptProgress{1, 0, d.sends[0].engine, ProgressKind::progress, 0.001}});
  EXPECT_TRUE(d.called_off.empty());
}

Settings probed_and_told() {
  Settings s = plain_settings();
  s.brokers = 40;
  s.may_gossip = s.may_health_check = true;
  s.load_report_fields = {LoadReportField::inflight};
  return s;
}

// Its one engine was sent a query.
void send_first(Drive& d) {
  d.list({engine(7)});
  d.ask(1, 0);
  d.until(d.now + 60ms);
  ASSERT_EQ(d.sends_of(1), 1);
}

// Answers were lost all over the fleet, with a reset each: every engine was taken to have begun anew, and
// work came only by cold turns.
TEST(Unreachable, AnEngineHeardSoonAfterAResetHasNotBegunAnew) {
  for (const Time answer : {5ms, 900ms}) {  // no answer for so long: the process may have ended meanwhile
    Drive d(probed_and_told());
    ASSERT_NO_FATAL_FAILURE(send_first(d));
    AttemptOutcome o;
    o.request = 1;
    o.engine = 7;
    o.result = AttemptResult::reset;
    const auto actions = d.at(d.now, {o});
    const auto asked = [](const Action& a) { return std::holds_alternative<SendHealthCheck>(a); };
    EXPECT_TRUE(std::ranges::any_of(actions, asked)) << "asked at once whether it is there";
    d.until(d.now + answer);
    HealthCheckResult p;
    p.engine = 7;
    p.result = AttemptResult::served;
    p.load = {1.0};
    d.at(d.now, {p});
    for (RequestId id = 2; id < 10; ++id) d.ask(id, 0);
    d.until(d.now + 60ms);
    EXPECT_EQ(d.sends.size() > 3, answer < 500ms);
  }
}

// Both were written before its process ended, and read after a connection of it was seen to break.
TEST(Unreachable, AnEnginesLastWordsDoNotProveThatItHasOutlivedABreak) {
  for (const bool probe : {true, false}) {
    Drive d(probed_and_told());
    ASSERT_NO_FATAL_FAILURE(send_first(d));
    d.ends(1, 0, 7, AttemptResult::reset);
    d.until(d.now + 5ms);
    if (probe) {
      d.at(d.now, {HealthCheckResult{7, AttemptResult::served, 20ms, {}}});
    } else {
      GossipPayload text;
      text.has_reports = true;
      text.entries = {{7, 0, 0}};
      d.at(d.now, {GossipMessage{3, encode_gossip(text)}});
    }
    for (RequestId id = 2; id < 10; ++id) d.ask(id, 0);
    d.until(d.now + 60ms);
    EXPECT_LE(d.sends.size(), 3U) << (probe ? "a probe's answer" : "a peer's report");
  }
}

// Connections were reset all over the fleet, on a busy day faster than answers came: engines that ran on
// counted as cold for 15 s each time, and half of what was asked was refused.
TEST(Unreachable, AnEngineThatAnswersForWhatItHadBeforeABreakHasNotBegunAnew) {
  // The answer is for a query from before the break, or from after it.
  for (const bool before : {true, false}) {
    Settings s = plain_settings();
    s.brokers = 40;
    s.may_health_check = true;
    s.load_report_fields = {LoadReportField::inflight};
    Drive d(s);
    d.list({engine(7)});
    const auto send = [&](RequestId id) {
      d.ask(id, 0);
      d.until(d.now + 60ms);
    };
    send(1);
    if (before) send(2);
    d.ends(1, 0, 7, AttemptResult::reset);
    const auto until_break = d.sends.size();
    // Until it has a turn there.
    for (RequestId id = 3; !before && d.sends.size() == until_break && id < 900; ++id) send(id);
    ASSERT_EQ(d.sends.size() > until_break, !before);
    const auto sent = before ? RequestId{2} : d.sends[until_break].request;
    const auto n = static_cast<AttemptIndex>(sent == 1 ? 1 : 0);
    d.until(d.now + 900ms);
    d.ends(sent, n, 7, AttemptResult::served);
    const auto had = d.sends.size();
    for (RequestId id = 1000; id < 1010; ++id) d.ask(id, 0);
    d.until(d.now + 60ms);
    EXPECT_EQ(d.sends.size() > had + 3, before);
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
      Settings s = plain_settings();
      s.brokers = 40;
      s.broker_index = i;
      Drive d(s, 1 + i);
      d.list({engine(7)});
      d.until(d.now +
              s.slow_start_overload_window);  // in its first one a process sends nothing to a cold engine
      d.ask(1, 0);
      d.ends(1, 0, 7, result);
      const auto broke = d.now;
      for (RequestId id = 2; id < 30; ++id) {
        d.ask(id, 0);
        d.until(d.now + 100ms);
      }
      tried += d.sends.size() > 1 ? 1 : 0;
      for (std::size_t n = 1; n < d.sends.size(); ++n) early += d.now < broke + 3s ? 1 : 0;
    }
    EXPECT_LT(tried, 20) << "forty trials at once would push a new process over";
    EXPECT_GT(tried, 0);
    EXPECT_LT(early, 20);
  }
}

TEST(ManyEngines, OneThatNothingTellsOfIsNotTakenForEmpty) {
  Settings s = plain_settings();
  s.brokers = 100;
  s.may_health_check = true;
  s.load_report_fields = {LoadReportField::inflight};
  Drive d(s);
  std::vector<Endpoint> engines;
  for (EngineId id = 1; id <= 40; ++id) engines.push_back(engine(id));
  d.list(engines);
  for (EngineId id = 1; id <= 40; ++id) {  // all crowded, but one that is known to be idle
    HealthCheckResult probe;
    probe.engine = id;
    probe.load = {id == 5 ? 0.0 : 20.0};
    if (id <= 4 || id == 5 || id > 33) d.at(d.now, {probe});
  }
  d.ask(1, 0);
  d.until(d.now + 60ms);
  ASSERT_EQ(d.sends_of(1), 1);
  EXPECT_EQ(d.sends.back().engine, 5U);
}

TEST(ManyEngines, AQueryCostsNoMoreHealthChecksOrBytesInALargerFleet) {
  for (const unsigned size : {20U, 200U}) {
    Settings s = plain_settings();
    s.brokers = 4 * size;
    s.may_health_check = s.may_gossip = true;
    s.load_report_fields = {LoadReportField::inflight};
    Drive d(s);
    std::vector<Endpoint> engines;
    for (EngineId id = 1; id <= size; ++id) engines.push_back(engine(id));
    d.list(engines);
    std::size_t probes = 0, bytes = 0;
    for (RequestId id = 1; id <= 50; ++id) {
      RequestArrival a;
      a.request = id;
      a.time_left = 5s;
      std::vector<Action> actions = d.at(d.now, {a});
      for (int tick = 0; tick < 10; ++tick) {
        const auto more = d.at(d.wake, {TimerFired{}});
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
  Settings s = plain_settings();
  s.brokers = 3;
  s.may_gossip = true;
  const auto choice = [&s](const std::string& bytes) {
    Drive d(s);
    d.list({engine(7), engine(8)});
    d.at(d.now, {GossipMessage{1, bytes}});
    d.ask(1, 0);
    return d.sends.empty() ? 0U : d.sends.back().engine;
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
Drive told_by_reports(bool apart, double queries, int rounds) {
  Settings s = plain_settings();
  s.brokers = 200;
  s.kinds = {{"one", 16, 0}};
  s.load_report_fields = {LoadReportField::inflight};
  Drive d(s);
  std::vector<Endpoint> engines;
  for (EngineId id = 1; id <= 20; ++id) engines.push_back(engine(id));
  d.list(engines);
  for (int round = 0; round < rounds; ++round) {
    d.until(d.now + 500ms);
    for (EngineId id = 1; id <= 20; ++id) {
      HealthCheckResult p;
      p.engine = id;
      p.load = {apart ? (id % 2 == 0 ? 0.0 : 2 * queries) : (id == 20 ? queries / 2 : queries)};
      d.at(d.now, {p});
    }
  }
  return d;
}

// Reports came seconds late: all gateways filled the engines that had been empty, again and again.
TEST(OldReports, ThatLieFarApartAreBelievedInPartOnly) {
  Drive good = told_by_reports(false, 20, 5), bad = told_by_reports(true, 20, 5);
  int emptiest = 0, full = 0;
  for (RequestId id = 1; id <= 100; ++id) {
    for (auto* d : {&good, &bad}) {
      d->ask(id, 0, 5s, 0, id);
      ASSERT_EQ(d->sends_of(id), 1);
      d->ends(id, 0, d->sends.back().engine, AttemptResult::served);
    }
    emptiest += good.sends.back().engine == 20 ? 1 : 0;
    full += bad.sends.back().engine % 2 == 1 ? 1 : 0;
  }
  EXPECT_GT(emptiest, 90) << "reports that agree tell where room is";
  EXPECT_GE(full, 5) << "else what was full a while ago may be empty now";
  EXPECT_LT(full, 50);
}

TEST(OldReports, ABrokersOwnThreadsShowThatAllOvershoot) {
  for (const bool apart : {false, true}) {
    Drive d = told_by_reports(apart, 28, 10);
    const auto before = d.sends.size();
    for (RequestId id = 1; id <= 6; ++id) d.ask(id, 0, 5s, 0, id);  // far more than it has run of late
    EXPECT_EQ(d.sends.size() - before, apart ? 2U : 6U);
  }
}

// A quarter of the fleet restarted: what ran there was gone, yet the level stayed high and all was refused.
TEST(ManyBrokers, TheLevelByMessagesFollowsWithinSeconds) {
  Settings s = plain_settings();
  s.brokers = 40;
  s.may_gossip = true;
  s.load_report_fields = {LoadReportField::util};
  Drive other(s), d(s, 2);
  std::vector<Endpoint> engines;
  for (EngineId id = 1; id <= 5; ++id) engines.push_back(engine(id));
  for (auto* each : {&other, &d}) each->list(engines);
  const auto message = [&other] {  // what the other gateway says now
    for (RequestId id = 100; id < 110; ++id)
      other.ask(id, 5);  // of no class: refused, but they pay for bytes
    for (int tick = 0; tick < 50; ++tick) {
      for (const auto& action : other.at(other.wake, {TimerFired{}}))
        if (const auto* tell = std::get_if<SendGossip>(&action)) return tell->bytes;
    }
    return std::string();
  };
  for (RequestId id = 1; id <= 3; ++id) other.ask(id, 0);
  ASSERT_EQ(other.sends.size(), 3U);
  const auto busy = message();
  const auto sent = other.sends;
  for (const auto& send : sent) other.ends(send.request, 0, send.engine, AttemptResult::served);
  const auto idle = message();
  ASSERT_NE(busy, idle);
  const auto tell = [&d](const std::string& bytes) {
    GossipMessage m;
    m.from = 1;
    m.bytes = bytes;
    d.at(d.now + 100ms, {m});
  };
  for (int i = 0; i < 30; ++i) tell(busy);
  d.ask(1, 0);
  EXPECT_EQ(d.sends.size(), 0U) << "six threads a core by messages";
  for (int i = 0; i < 20; ++i) tell(idle);
  d.ask(2, 0);
  EXPECT_GT(d.sends.size(), 0U);
}

TEST(ManyBrokers, LaterRanksStopEarlierSoThatTheFirstClassFindsCapacity) {
  // Traffic has turned to a heavy class for good: the fleet stands between both limits.
  Settings s = plain_settings();
  s.brokers = 100;
  s.may_health_check = true;
  s.load_report_fields = {LoadReportField::inflight};
  Drive d(s);
  d.list({engine(7), engine(8)});
  for (EngineId id : {7U, 8U}) {
    HealthCheckResult probe;
    probe.engine = id;
    probe.load = {7.0};  // 1.75 threads a core
    d.at(d.now, {probe});
  }
  d.ask(1, 1);
  d.ask(2, 0);
  d.until(d.now + 60ms);
  EXPECT_EQ(d.sends_of(1), 0);
  EXPECT_EQ(d.sends_of(2), 1);
}

TEST(LostAnswers, AnEngineThatAnswersOthersIsNotEjectedAndTheLostAreSettledInTime) {
  Settings s = plain_settings();
  s.max_attempts = 1;
  Drive d(s);
  d.list({engine(7)});
  const auto start = d.now;
  for (RequestId id = 1; id <= 40; ++id) {
    d.ask(id, 0);
    ASSERT_EQ(d.sends_of(id), 1) << "still trusted at " << id;
    if (id % 10 != 0) d.ends(id, 0, 7, AttemptResult::served);
    if (id % 10 == 0) d.ask(100 + id, 0), d.ends(100 + id, 0, 7, AttemptResult::served);
    d.until(d.now + 100ms);
  }
  d.until(start + 10s);
  for (RequestId id = 10; id <= 40; id += 10) EXPECT_EQ(d.answers(id), 1);
}

TEST(Stalls, ABrokerThatHadNoTurnBlamesNoEngineAndSettlesWhatIsOverdue) {
  Settings s = plain_settings();
  s.progress_interval = 500ms;
  Drive d(s);
  d.list({engine(7), engine(8)});
  d.ask(1, 0);
  d.ask(2, 0);
  d.now += 2s;  // no call meanwhile; the client of one that was held has little time left
  RequestArrival late;
  late.request = 3;
  late.time_left = 30ms;
  d.at(d.now, {TimerFired{}, late});
  EXPECT_TRUE(d.called_off.empty());
  d.until(d.now + 40ms);
  EXPECT_EQ(d.answers(3), 1);
  d.until(d.now + 2s);
  EXPECT_EQ(d.called_off.size(), 2U) << "silence that it did see is still told";
}

TEST(Stalls, WhatWaitedMeanwhileIsSettledAtOnceIfItCantBeInTime) {
  Drive d(plain_settings());
  d.list({engine(7), engine(8)});
  d.ask(1, 0);  // comes with 5 s left, as all do
  d.ends(1, 0, d.sends.back().engine, AttemptResult::served);
  d.now += 2s;
  RequestArrival old, young;
  old.request = 2;
  old.time_left = 3200ms;
  young.request = 3;
  young.time_left = 4900ms;
  d.at(d.now, {old, young});
  EXPECT_EQ(d.answers(2), 1);
  EXPECT_EQ(d.sends_of(2), 0);
  EXPECT_EQ(d.sends_of(3), 1);
  d.until(d.now + 100ms);
  d.ask(4, 0, 3200ms);  // with a turn in time, little time left is the client's own choice
  EXPECT_EQ(d.sends_of(4), 1);
}

TEST(TenantQuota, AFloodDoesNotRaiseTheQuotaThatItIsMeasuredAgainst) {
  Settings s = plain_settings();
  s.over_quota_weight = 0.05;
  s.may_health_check = true;
  s.load_report_fields = {LoadReportField::inflight};
  s.tenants = {{"a", 0.5, 5}, {"b", 0.5, 5}};
  Drive d(s);
  d.list({engine(7), engine(8)});
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
      d.at(d.now, {probe, a});
      if (d.sends_of(id) > 0) {
        ++served[a.tenant];
        d.ends(id, 0, d.sends.back().engine, AttemptResult::served, 50ms);
      }
      d.until(d.now + 1000ms / (of_first + 5));
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
  Drive d(plain_settings());
  d.list({engine(7), engine(8)});
  for (int n = 0; n < 2; ++n) {
    d.ask(1 + n, 0);
    d.ends(1 + n, 0, d.sends.back().engine, AttemptResult::reset);
  }
  d.list({engine(9)});
  d.ask(10, 0);
  EXPECT_EQ(d.sends.back().engine, 9U);
  d.ends(10, 0, 9, AttemptResult::served);
  d.list({engine(7)});
  d.ask(11, 0);
  EXPECT_EQ(d.sends_of(11), 1) << "what it did long ago no longer counts";
}

// Hundreds asked and withdrawn at once used up the share of the tenant's usual clients.
TEST(TenantQuota, WhatIsWithdrawnBeforeItWasSentUsesNothingOfTheQuota) {
  Settings s = plain_settings();
  s.over_quota_weight = 0.1;
  s.tenants = {{"a", 0.5, 10}, {"b", 0.5, 10}};
  Drive d(s);
  d.list({engine(7)});
  for (RequestId id = 1; id <= 40; ++id) d.ask(id, 0, 20s, 0, 1);  // until queries wait
  const auto held = [&] { return d.gateway.class_status(0).queued; };
  ASSERT_GT(held(), 0U);
  for (RequestId id = 1000; id < 1400; ++id) {
    RequestArrival a;
    a.request = id;
    a.tenant = 1;
    a.time_left = 5s;
    d.at(d.now, {a, RequestCancelled{id}});
  }
  RequestArrival usual;
  usual.request = 5000;
  usual.tenant = 1;
  usual.time_left = 5s;
  d.at(d.now, {usual});
  EXPECT_EQ(d.answers(5000), 0);
}

TEST(TenantQuota, AFloodIsRejectedOnceQueriesWaitAndOthersAreNot) {
  Settings s = plain_settings();
  s.over_quota_weight = 0.05;
  s.tenants = {{"calm", 0.5, 20}, {"flood", 0.5, 20}};
  Drive d(s);
  d.list({});
  RequestId id = 0;
  const auto ask = [&](std::uint32_t tenant) {
    RequestArrival a;
    a.request = ++id;
    a.tenant = tenant;
    a.time_left = 5s;
    d.at(d.now, {a});
    return id;
  };
  for (int i = 0; i < 60; ++i) ask(1);
  EXPECT_EQ(d.refused[id], 1);
  const auto calm = ask(0);
  EXPECT_EQ(d.refused[calm], 0);
}

}  // namespace
}  // namespace bellstair::policy::test
