// A running broker takes up a whole new configuration in one event: the overlay, the module, the core.
#include <gtest/gtest.h>

#include <random>
#include <set>

#include "bench.hpp"
#include "config/document.hpp"
#include "hooks/machine.hpp"
#include "platform/jsonrpc.hpp"
#include "small_core.hpp"

// ---- the overlay

namespace bellstair::config {
namespace {
using namespace std::chrono_literals;

Overlay started() {
  Overlay out;
  out.settings = test::small_settings();
  out.settings.classes.push_back(out.settings.classes[0]);
  out.settings.classes[1].name = "report";
  out.settings.classes[1].latency_objective = 3s;
  out.settings.tenants = {{"first", 0.6, 60}, {"second", 0.4, 40}};
  out.names.classes = {{"lookup", 0}, {"report", 1}};
  out.names.class_names = {"lookup", "report"};
  out.names.tenants = {{"first", 0}, {"second", 1}};
  out.changelog = "127.0.0.1:1";
  return out;
}

Document document(const std::vector<std::string>& tenants) {
  Document out;
  out.tenants.emplace();
  for (const auto& name : tenants) out.tenants->push_back({name, 0.5, 5});
  return out;
}

bool nothing(std::uint32_t) { return false; }

TEST(Overlay, DependsOnOneVersionAlone) {
  const auto start = started();
  Document first = document({"second", "third"});
  first.changelog = "127.0.0.1:2";
  first.classes = {{"report", {}, 1s, 7s, 2.0, 0.1}};
  const auto one = overlay(start, start, first, nothing);
  EXPECT_EQ(one.changelog, "127.0.0.1:2");
  EXPECT_EQ(one.settings.classes[1].latency_objective, 1s);
  EXPECT_EQ(one.settings.classes[1].client_timeout, 7s);
  EXPECT_EQ(one.settings.classes[1].priority_weight, 2);
  EXPECT_EQ(one.settings.classes[1].late_weight, 0.1);
  EXPECT_EQ(one.settings.classes[0], start.settings.classes[0]);
  EXPECT_EQ(one.settings.tenants,
            (std::vector<policy::TenantSettings>{{"first", 0, 0}, {"second", 0.5, 5}, {"third", 0.5, 5}}));
  EXPECT_FALSE(one.names.tenants.contains("first"));
  EXPECT_NE(one.names.no_tenant, 0U) << "who names no tenant is not the one that was removed";

  Document second;
  second.classes = {{"lookup", {}, {}, {}, 3.0, {}}};
  const auto two = overlay(start, one, second, nothing);
  EXPECT_EQ(two.changelog, start.changelog);
  EXPECT_EQ(two.settings.classes[1], start.settings.classes[1]);
  EXPECT_EQ(two.settings.classes[0].priority_weight, 3);
  EXPECT_EQ(two.settings.classes[0].latency_objective, start.settings.classes[0].latency_objective);
  EXPECT_EQ(two.names.tenants, start.names.tenants);
  EXPECT_EQ(two.names.no_tenant, 0U);
  EXPECT_EQ(two.settings.tenants[0], start.settings.tenants[0]);
  EXPECT_EQ(two.settings.tenants[1], start.settings.tenants[1]);
  // What follows from a document is the same whatever came before it, but for the slots' order.
  const auto again = overlay(start, two, first, nothing);
  for (const auto& [name, slot] : again.names.tenants)
    EXPECT_EQ(again.settings.tenants[slot], one.settings.tenants[one.names.tenants.at(name)]);
  EXPECT_EQ(again.names.tenants.size(), one.names.tenants.size());
}

TEST(Overlay, ASlotIsUsedAgainOnlyWhenNothingRefersToIt) {
  const auto start = started();
  auto now = overlay(start, start, document({"first", "a", "b"}), nothing);
  ASSERT_EQ(now.names.tenants.at("a"), 2U);
  ASSERT_EQ(now.names.tenants.at("b"), 3U);
  const auto held = [](std::uint32_t slot) { return slot == 2; };
  now = overlay(start, now, document({"first", "b", "c"}), nothing);
  EXPECT_EQ(now.names.tenants.at("c"), 4U) << "requests of \"a\" may still be on their way in";
  EXPECT_EQ(now.settings.tenants[2], (policy::TenantSettings{"a", 0, 0}));
  now = overlay(start, now, document({"first", "b", "c", "d"}), held);
  EXPECT_EQ(now.names.tenants.at("d"), 5U);
  now = overlay(start, now, document({"first", "a", "b", "c", "d"}), held);
  EXPECT_EQ(now.names.tenants.at("a"), 2U) << "the name has come back";
  now = overlay(start, now, document({"first", "b", "c", "d"}), held);
  now = overlay(start, now, document({"first", "b", "c", "d", "e"}), nothing);
  EXPECT_EQ(now.names.tenants.at("e"), 2U) << "nothing refers to \"a\" any more";
  EXPECT_EQ(now.settings.tenants[1].name, "second") << "the platform's own stay where they are";
}

TEST(Overlay, AHundredThousandChangesStayBounded) {
  const auto start = started();
  auto now = start;
  std::mt19937_64 random(7);
  std::size_t most = 0;
  std::map<std::uint32_t, std::string> held;  // what requests refer to
  for (int change = 0; change < 100'000; ++change) {
    std::vector<std::string> names;
    std::set<std::string> seen;
    for (auto n = random() % 5; n > 0; --n) {
      // Half of them are new for ever.
      auto name = random() % 2 == 0 ? "t" + std::to_string(change) + "-" + std::to_string(n)
                                    : "u" + std::to_string(random() % 12);
      if (seen.insert(name).second) names.push_back(std::move(name));
    }
    now = overlay(start, now, document(names), [&](std::uint32_t slot) { return held.contains(slot); });
    ASSERT_EQ(now.names.tenants.size(), names.size());
    for (const auto& [name, slot] : now.names.tenants) ASSERT_EQ(now.settings.tenants.at(slot).name, name);
    for (const auto& [slot, name] : held) ASSERT_EQ(now.settings.tenants.at(slot).name, name);
    if (held.size() >= 6) held.erase(held.begin());
    if (!names.empty()) held[now.names.tenants.at(names[0])] = names[0];
    most = std::max(most, now.settings.tenants.size());
  }
  EXPECT_LE(most, 2U + 4 + 4 + 6) << "the platform's, two versions' and what is held";
}

TEST(Names, RequestsWithoutATenantAreNotChargedToWhoeverTookItsPlace) {
  const auto start = started();
  const auto now = overlay(start, start, document({"second"}), nothing);
  const auto parse = [&](const std::string& team) {
    return platform::parse_rpc(
        R"({"jsonrpc":"2.0","id":1,"method":"lookup","params":{"txn":"9b1f03aa5c7e2d41",)"
        R"("limit":100,"data":"")" +
            team + "}}",
        now.names);
  };
  auto none = parse("");
  ASSERT_TRUE(std::holds_alternative<platform::RpcRequest>(none));
  EXPECT_GE(std::get<platform::RpcRequest>(none).submission.tenant, now.settings.tenants.size());
  EXPECT_TRUE(std::holds_alternative<platform::RpcRequest>(parse(R"(,"team":"second")")));
  EXPECT_TRUE(std::holds_alternative<platform::RpcError>(parse(R"(,"team":"first")")));
}

}  // namespace
}  // namespace bellstair::config

// ---- the module

namespace bellstair::policy::test {
namespace {

Settings shared() {
  auto s = plain_settings();
  s.over_quota_weight = 0.05;
  s.tenants = {{"calm", 0.5, 20}, {"flood", 0.5, 20}};
  return s;
}

RequestId ask_for(Drive& d, RequestId id, std::uint32_t tenant, ClassIndex cls = 0) {
  RequestArrival a;
  a.request = id;
  a.cls = cls;
  a.tenant = tenant;
  a.time_left = 5s;
  d.at(d.now, {a});
  return id;
}

std::string refusal(Scheduler& gateway, const Settings& settings) {
  try {
    gateway.reconfigure(settings);
  } catch (const std::invalid_argument& error) {
    return error.what();
  }
  return "";
}

TEST(Reconfigure, WhatCannotChangeIsNamedAndNothingHasChanged) {
  const auto base = shared();
  Drive d(base);
  const auto with = [&](auto change) {
    auto s = base;
    s.classes[0].latency_objective = 9s;  // would be taken up otherwise
    change(s);
    return refusal(d.gateway, s);
  };
  EXPECT_NE(with([](auto& s) { s.classes.pop_back(); }).find("the number of classes"), std::string::npos);
  EXPECT_NE(with([](auto& s) { s.classes[2].threads = 2; }).find("classes[].threads"), std::string::npos);
  EXPECT_NE(with([](auto& s) { s.classes[1].idempotency = Idempotency::idempotent; }).find("semantics"),
            std::string::npos);
  EXPECT_NE(with([](auto& s) { s.classes[2].deduplication_window = 1ms; }).find("semantics"),
            std::string::npos);
  EXPECT_NE(with([](auto& s) { s.classes[2].name = "x"; }).find("classes[].name"), std::string::npos);
  EXPECT_NE(with([](auto& s) { s.classes[2].ordered_by_key = true; }).find("in_order"), std::string::npos);
  EXPECT_NE(with([](auto& s) { s.kinds.pop_back(); }).find("kinds"), std::string::npos);
  EXPECT_NE(with([](auto& s) { s.brokers = 2; }).find("gateways"), std::string::npos);
  EXPECT_NE(with([](auto& s) { s.zone = 2; }).find("zones"), std::string::npos);
  EXPECT_NE(with([](auto& s) { s.max_attempts = 9; }).find("can't change"), std::string::npos);
  EXPECT_NE(with([](auto& s) { s.retry_budget.emplace().window = 1s; }).find("can't change"),
            std::string::npos);
  EXPECT_NE(with([](auto& s) { s.classes[2].latency_objective = 0s; }).find("aim must be above 0"),
            std::string::npos);
  EXPECT_NE(with([](auto& s) { s.tenants[1].quota_fraction = -1; }).find("must not be below 0"),
            std::string::npos);
  // Class 0 is still the first in rank: of two that wait, it goes first.
  d.ask(1, 1);
  d.ask(2, 0);
  d.list({engine(7)});
  ASSERT_EQ(d.sends.size(), 2U);
  EXPECT_EQ(d.sends[0].request, 2U);
}

std::string text_of(const std::vector<Action>& actions) {
  std::string out;
  for (const auto& action : actions) {
    out += std::to_string(action.index()) + ':';
    if (const auto* send = std::get_if<SendAttempt>(&action))
      out += std::to_string(send->request) + '>' + std::to_string(send->engine) + '@' +
             std::to_string(send->give_up_at.count());
    if (const auto* refuse = std::get_if<Reject>(&action)) out += std::to_string(refuse->request);
    if (const auto* fail = std::get_if<Fail>(&action)) out += std::to_string(fail->request);
    if (const auto* off = std::get_if<CancelAttempt>(&action)) out += std::to_string(off->request);
    if (const auto* tell = std::get_if<SendGossip>(&action)) out += tell->bytes;
    out += ' ';
  }
  return out;
}

// Twenty crowded seconds, all that was done in them as text. `at`: called every 100 ms.
std::string crowded_day(const std::function<void(Scheduler&, int)>& at) {
  auto s = shared();
  s.brokers = 2;
  s.may_gossip = true;
  Drive d(s, 5);
  d.list({engine(7), engine(8), engine(9)});
  std::mt19937_64 random(11);
  std::multimap<Time, std::pair<SendAttempt, ClassIndex>> out;
  std::map<RequestId, ClassIndex> classes;
  std::map<RequestId, AttemptIndex> tries;
  std::string text;
  RequestId id = 0;
  std::size_t seen = 0;
  for (int step = 0; step < 2000; ++step) {
    const Time now = d.now + 10ms;
    std::vector<Event> events;
    if (d.wake <= now) events.emplace_back(TimerFired{});
    for (; !out.empty() && out.begin()->first <= now; out.erase(out.begin())) {
      const auto& send = out.begin()->second.first;
      AttemptOutcome o;
      o.request = send.request;
      o.attempt = tries[send.request]++;
      o.engine = send.engine;
      o.result = random() % 40 == 0 ? AttemptResult::error : AttemptResult::served;
      o.latency = 200ms;
      o.request_closed = o.result == AttemptResult::served;
      events.emplace_back(o);
    }
    for (auto n = random() % 3; n > 0; --n) {
      RequestArrival a;
      a.request = ++id;
      a.cls = classes[id] = static_cast<ClassIndex>(random() % 3);
      a.tenant = random() % 4 == 0 ? 0 : 1;
      a.time_left = 3s;
      events.emplace_back(a);
    }
    if (step % 10 == 0) at(d.gateway, step / 10);
    text += text_of(d.at(now, events));
    for (; seen < d.sends.size(); ++seen)
      out.insert({now + 100ms + std::chrono::milliseconds(random() % 300), {d.sends[seen], 0}});
  }
  return text;
}

// Queues, attempts, the control loop's state, paces, rates, tokens, the sequence of chance: all of it carries
// on.
TEST(Reconfigure, TheSameSettingsAgainChangeNothing) {
  auto s = shared();
  s.brokers = 2;
  s.may_gossip = true;
  const auto left_alone = crowded_day([](Scheduler&, int) {});
  const auto told_again = crowded_day([&](Scheduler& gateway, int) { gateway.reconfigure(s); });
  EXPECT_GT(left_alone.size(), 20'000U);
  EXPECT_NE(left_alone.find("2:"), std::string::npos) << "some are refused";
  EXPECT_TRUE(left_alone == told_again);
  auto dearer = s;
  dearer.classes[2].latency_objective = 100ms;
  const auto changed = crowded_day([&](Scheduler& gateway, int) { gateway.reconfigure(dearer); });
  EXPECT_FALSE(left_alone == changed) << "the day tells such things apart";
}

TEST(Reconfigure, RanksAreMadeAnewForWhatWaits) {
  auto s = plain_settings();
  Drive d(s);
  d.ask(1, 0);
  d.ask(2, 2);
  s.classes[2].latency_objective = 500ms;
  d.gateway.reconfigure(s);
  d.list({engine(7)});
  ASSERT_EQ(d.sends.size(), 2U);
  EXPECT_EQ(d.sends[0].request, 2U);
}

// The formula of the control loop, by its own state and error: a version at every sample does not disturb it.
TEST(Reconfigure, TheControlLoopGoesOnFromItsState) {
  Settings s;
  s.kinds = {{"one", 10, 0}};
  s.classes.resize(1);
  s.classes[0].latency_objective = 100s;  // wait aim 30 s
  s.classes[0].objective_stretch = 10;    // nothing is given up meanwhile
  s.classes[0].client_timeout = 1000s;
  Drive d(s);
  d.list({engine(7)});
  for (RequestId id = 1; id <= 21; ++id) d.ask(id, 0, 900s);
  ASSERT_EQ(d.gateway.class_status(0).queued, 1U);
  double u = 1, before = 0;
  for (int m = 1; m <= 25; ++m) {
    s.classes[0].priority_weight = m;
    s.tenants = {{"t" + std::to_string(m), 1, 10}};
    d.gateway.reconfigure(s);
    d.at(d.now, {AttemptProgress{1, 0, 7, ProgressKind::spill, 1}});
    d.until(100s + std::chrono::milliseconds(2000 * m + 19));
    const double error = (30 - (m == 1 ? 2.0 / 21 : 2.0 * m)) / 30;
    u = std::clamp(u - 0.8 * 2 * (error - 0.3 * before), 1.0, 20.0);
    before = error;
    EXPECT_NEAR(d.gateway.class_status(0).budget, u, 1e-6) << "period " << m;
  }
  EXPECT_GT(u, 1.0);
}

TEST(Reconfigure, BucketsCarryOverAndNewOnesBeginAsAtTheStart) {
  auto s = shared();
  Drive d(s);
  d.list({});
  RequestId id = 0;
  const auto until_refused = [&](std::uint32_t tenant) {
    int taken = 0;
    while (taken < 1000 && d.refused[ask_for(d, ++id, tenant)] == 0) ++taken;
    return taken;
  };
  ask_for(d, ++id, 0);  // one waits: from here on what is past its share is refused
  const int at_start = until_refused(1);
  EXPECT_GT(at_start, 10);
  // The bucket is empty, and stays empty though its tenant's share grows.
  s.tenants[1].quota_fraction = 0.9;
  s.tenants.push_back({"new", 0.5, 20});
  d.gateway.reconfigure(s);
  EXPECT_EQ(until_refused(1), 0);
  EXPECT_EQ(until_refused(2), at_start) << "as its share has it, whoever else is there";
  // A full bucket is cut to what its tenant's new share lets it hold: 2 s of it, and 3 on top.
  s.tenants[0] = {"calm", 0.01, 0.1};
  d.gateway.reconfigure(s);
  EXPECT_LE(until_refused(0), 4);
  // Another name in the same place is another tenant.
  s.tenants[1] = {"other", 0.5, 20};
  d.gateway.reconfigure(s);
  EXPECT_EQ(until_refused(1), at_start);
  // Removed, it keeps what it has, and gets nothing more.
  s.tenants[2].quota_fraction = s.tenants[2].quota_per_s = 0;
  d.gateway.reconfigure(s);
  d.until(d.now + 5s);
  EXPECT_LE(until_refused(2), 3);
}

// With a shorter limit nothing has waited longer: after an absence of the gateway fresh queries are not taken
// for old ones.
TEST(Reconfigure, AShorterLimitIsNotTakenForWaiting) {
  auto s = plain_settings();
  Drive d(s);
  d.list({engine(7)});
  d.ask(1, 0, 5s);
  d.ends(1, 0, 7, AttemptResult::served);
  s.classes[0].client_timeout = 2s;
  d.gateway.reconfigure(s);
  RequestArrival fresh;
  fresh.request = 2;
  fresh.time_left = 2s;
  d.at(d.now + 3s, {fresh});  // away for so long
  EXPECT_EQ(d.answers(2), 0);
  EXPECT_EQ(d.sends_of(2), 1);
}

}  // namespace
}  // namespace bellstair::policy::test

// ---- the core

namespace bellstair::core {
namespace {
using namespace std::chrono_literals;

policy::Settings settings(Time give_up) {
  auto s = test::small_settings();
  s.classes[0].client_timeout = give_up;
  auto report = s.classes[0];
  report.name = "report";
  report.latency_objective = 2s;
  s.classes.push_back(report);
  s.tenants = {{"first", 0.5, 50}, {"second", 0.5, 50}};
  s.max_attempts = 4;
  s.may_cancel = s.sends_retry_after = true;
  s.max_retry_after = 500ms;
  return s;
}

class Running {
 public:
  explicit Running(hooks::Set set = {}, Time give_up = 3s)
      : with(settings(give_up)), reducer(with, 1, std::size_t{64} << 20, std::move(set), "127.0.0.1:1") {
    at(0ms, ListenersReady{});
    at(0ms, EndpointUpdate{true, {test::member(7)}, true});
    at(0ms, Tick{});
  }
  void at(Time after, Event event) {
    now += after;
    reducer.reduce(now, std::move(event), effects);
  }
  void pass(Time time) {
    for (const Time end = now + time; now < end;) at(std::min<Time>(5ms, end - now), Tick{});
  }
  void ask(ClientHandle client, ClassIndex cls = 0, std::uint32_t tenant = 0, Time limit = 2s) {
    Submission asked;
    asked.client = client;
    asked.cls = cls;
    asked.tenant = tenant;
    asked.time_limit = limit;
    asked.body = "SELECT 1";
    at(10ms, RequestReceived{asked});
  }
  void offer(std::uint64_t number, std::string changelog = {}) {
    at(0ms, SettingsOffered{3, number, with, std::move(changelog), std::make_shared<const int>(7)});
  }
  void finish(AttemptId id, AttemptEnd how, std::string body = {}) {
    AttemptEnded ended;
    ended.id = id;
    ended.end = how;
    ended.body = std::move(body);
    at(10ms, ended);
  }
  template <class T>
  std::vector<T> all() const {
    return test::all_of<T>(effects);
  }
  bool said(const std::string& text) const {
    for (const auto& line : all<Log>()) {
      if (line.text.find(text) != std::string::npos) return true;
    }
    return false;
  }
  policy::Settings with;  // for the next offer
  Time now = 1'700'000'000s;
  Effects effects;
  Reducer reducer;
};

TEST(Reconfigured, OneEventTakesAllOfItUp) {
  Running r;
  r.with.classes[1].latency_objective = 100ms;
  r.effects.clear();
  r.offer(17, "127.0.0.1:2");
  const auto in_force = r.all<SettingsApplied>();
  ASSERT_EQ(in_force.size(), 1U);
  EXPECT_EQ(in_force[0].epoch, 3U);
  EXPECT_EQ(in_force[0].number, 17U);
  EXPECT_EQ(in_force[0].settings, r.with);
  EXPECT_EQ(in_force[0].changelog, "127.0.0.1:2");
  EXPECT_EQ(*static_cast<const int*>(in_force[0].names.get()), 7);
  EXPECT_TRUE(r.said("settings of version 3.17 are in force"));
  EXPECT_TRUE(r.all<SettingsRejected>().empty());
}

// Without an event in between: whichever comes next finds the module and the reducer with the same settings.
TEST(Reconfigured, NoMomentHasSettingsOfTwoVersions) {
  Running r;
  r.at(0ms, EndpointUpdate{true, {}, true});
  r.ask(1, 0);
  r.ask(2, 1);
  r.with.classes[1].latency_objective = 100ms;  // now the first in rank
  r.with.classes[0].client_timeout = r.with.classes[1].client_timeout = 400ms;
  r.effects.clear();
  r.offer(1);
  r.at(10ms, EndpointUpdate{true, {test::member(7)}, true});  // the module is called with this alone
  const auto starts = r.all<StartAttempt>();
  ASSERT_EQ(starts.size(), 2U);
  EXPECT_EQ(starts[0].id.request, 2U) << "by the new ranks";
  for (const auto& start : starts) {
    r.at(0ms, AttemptConnected{start.id});
    r.finish(start.id, AttemptEnd::served);
  }
  // And the reducer's: with deadlines of 0.4 s the program ends its drain at its least, 0.8 s.
  Running s;
  s.with.classes[0].client_timeout = s.with.classes[1].client_timeout = 400ms;
  s.offer(1);
  s.ask(1, 0, 0, 400ms);
  s.at(0ms, ShutdownRequested{});
  s.ask(2, 0, 0, 20s);
  s.pass(780ms);
  EXPECT_EQ(s.reducer.unanswered_requests(), 1U);
  s.pass(15ms);
  EXPECT_EQ(s.reducer.unanswered_requests(), 0U);
}

TEST(Reconfigured, ASenselessOneLeavesEverythingAsItWas) {
  Running r;
  r.offer(16, "127.0.0.1:2");
  r.at(0ms, EndpointUpdate{true, {}, true});
  r.ask(1, 0);
  r.ask(2, 1);
  const auto good = r.with;
  r.with.classes[1].latency_objective = 100ms;
  r.with.classes[0].threads = 3;
  r.effects.clear();
  r.offer(17, "127.0.0.1:3");
  ASSERT_EQ(r.all<SettingsRejected>().size(), 1U);
  EXPECT_EQ(r.all<SettingsRejected>()[0].number, 17U);
  EXPECT_NE(r.all<SettingsRejected>()[0].problem.find("threads"), std::string::npos);
  EXPECT_TRUE(r.all<SettingsApplied>().empty());
  EXPECT_TRUE(r.said("the old ones stay"));
  r.at(0ms, ConfigurationRead{{}, "127.0.0.1:4", {}, {}});
  ASSERT_EQ(r.all<FollowChangeLog>().size(), 1U);
  EXPECT_EQ(r.all<FollowChangeLog>()[0].address, "127.0.0.1:2");
  r.at(10ms, EndpointUpdate{true, {test::member(7)}, true});
  ASSERT_EQ(r.all<StartAttempt>().size(), 2U);
  EXPECT_EQ(r.all<StartAttempt>()[0].id.request, 1U);
  r.with = good;
  r.offer(18);
  EXPECT_EQ(r.all<SettingsApplied>().size(), 1U);
}

// A SIGHUP does not undo a version; a version that names no change log goes back to what was read last.
TEST(Reconfigured, AVersionsChangeLogWinsOverThatOfTheFile) {
  Running r;
  const auto read = [&](const char* address) { r.at(0ms, ConfigurationRead{{}, address, {}, {}}); };
  const auto followed = [&] { return r.all<FollowChangeLog>().back().address; };
  read("127.0.0.1:2");
  EXPECT_EQ(followed(), "127.0.0.1:2");
  r.offer(1, "127.0.0.1:3");
  EXPECT_EQ(r.all<SettingsApplied>().back().changelog, "127.0.0.1:3");
  read("127.0.0.1:4");
  EXPECT_EQ(followed(), "127.0.0.1:3");
  EXPECT_TRUE(r.said("the change log stays at 127.0.0.1:3"));
  r.offer(2);
  EXPECT_EQ(r.all<SettingsApplied>().back().changelog, "127.0.0.1:4");
  read("127.0.0.1:5");
  EXPECT_EQ(followed(), "127.0.0.1:5");
}

TEST(Reconfigured, RequestsKeepTheDeadlineTheyWereTakenWith) {
  Running r;
  r.ask(1, 0, 0, 2s);
  const auto id = r.all<StartAttempt>().at(0).id;
  r.at(0ms, AttemptConnected{id});
  r.with.classes[0].client_timeout = 100ms;
  r.offer(1);
  r.pass(1900ms);
  EXPECT_TRUE(r.all<Answer>().empty());
  r.finish(id, AttemptEnd::served, "rows");
  ASSERT_EQ(r.all<Answer>().size(), 1U);
  EXPECT_EQ(r.all<Answer>()[0].kind, AnswerKind::served);
}

// Queued, at an engine, and inside a hook: each has its one answer.
TEST(Reconfigured, ATenantIsRemovedWhileItsRequestsAreOnTheirWay) {
  hooks::Spec spec;
  spec.id = 1;
  spec.name = "h";
  spec.phases = {true, false, false};
  spec.wait_timeout = spec.cpu_limit = 10s;
  spec.match.classes = {1};
  Running r({{}, {spec}});
  r.ask(1, 0, 1);
  const auto out = r.all<StartAttempt>().at(0).id;
  r.at(0ms, AttemptConnected{out});
  r.ask(2, 1, 1);
  ASSERT_EQ(r.all<RunHook>().size(), 1U);
  r.at(0ms, EndpointUpdate{false, {test::member(7, policy::EngineState::draining)}, true});
  r.ask(3, 0, 1);
  EXPECT_EQ(r.reducer.referenced_tenants(), (std::unordered_set<std::uint32_t>{1}));
  r.with.tenants[1].quota_fraction = r.with.tenants[1].quota_per_s = 0;
  r.offer(1);
  EXPECT_TRUE(r.all<Answer>().empty());
  hooks::SliceResult ran;
  ran.job = r.all<RunHook>()[0].job;
  ran.hook = 1;
  ran.outcome = hooks::SliceResult::Outcome::done;
  ran.decision.tags = {"seen"};
  r.at(0ms, HookRan{ran});
  r.at(10ms, EndpointUpdate{false, {test::member(7)}, true});
  r.finish(out, AttemptEnd::served);
  const auto starts = r.all<StartAttempt>();
  ASSERT_EQ(starts.size(), 3U);
  for (std::size_t n = 1; n < 3; ++n) {
    r.at(0ms, AttemptConnected{starts[n].id});
    r.finish(starts[n].id, AttemptEnd::served);
  }
  r.pass(3s);
  std::set<ClientHandle> answered;
  for (const auto& answer : r.all<Answer>()) {
    EXPECT_EQ(answer.kind, AnswerKind::served);
    EXPECT_TRUE(answered.insert(answer.client).second);
  }
  EXPECT_EQ(answered.size(), 3U);
  EXPECT_TRUE(r.said("tenant=second")) << "what is said of it names it still";
  EXPECT_TRUE(r.reducer.referenced_tenants().empty());
}

TEST(Reconfigured, HooksAndTheirCallsHoldTenants) {
  hooks::Spec spec;
  spec.id = 1;
  spec.name = "h";
  spec.phases = {false, true, false};
  spec.wait_timeout = 10s;
  Running r({{}, {spec}});
  r.ask(1, 0, 1, 100ms);
  r.pass(200ms);
  ASSERT_EQ(r.all<Answer>().size(), 1U);
  ASSERT_EQ(r.reducer.open_requests(), 0U);
  ASSERT_EQ(r.all<RunHook>().size(), 1U) << "it hears of the end";
  EXPECT_EQ(r.reducer.referenced_tenants(), (std::unordered_set<std::uint32_t>{1}));
  spec.id = 2;
  spec.match.tenants = {0};
  r.at(0ms, ConfigurationRead{{}, "127.0.0.1:1", {}, hooks::Set{{}, {spec}}});
  EXPECT_EQ(r.reducer.referenced_tenants(), (std::unordered_set<std::uint32_t>{0, 1})) << "the call is out";
  hooks::SliceResult ran;
  ran.job = r.all<RunHook>()[0].job;
  ran.hook = 1;
  ran.outcome = hooks::SliceResult::Outcome::done;
  r.at(0ms, HookRan{ran});
  EXPECT_EQ(r.reducer.referenced_tenants(), (std::unordered_set<std::uint32_t>{0}));
}

// A program that ends takes versions up as any other; the moment at which it gives up what is left stays.
TEST(Reconfigured, AVersionDoesNotMoveTheEndOfADrain) {
  for (const Time give_up : {Time(200ms), Time(10s)}) {
    Running r;
    r.ask(1, 0, 0, 20s);
    r.at(0ms, ShutdownRequested{});
    r.with.classes[0].client_timeout = r.with.classes[1].client_timeout = give_up;
    r.offer(1);
    EXPECT_EQ(r.all<SettingsApplied>().size(), 1U);
    r.pass(3290ms);
    EXPECT_EQ(r.reducer.unanswered_requests(), 1U);
    r.pass(15ms);
    EXPECT_EQ(r.reducer.unanswered_requests(), 0U) << "the longest deadline, 3 s, and 0.3 s";
    r.effects.clear();
    r.at(0ms, SettingsOffered{3, 2, r.with, {}, {}});  // while it stops
    EXPECT_EQ(r.all<SettingsApplied>().size(), 1U);
  }
}

// A version before the end: it can make the drain shorter, but for what was taken before; never longer.
TEST(Reconfigured, TheDrainFollowsTheLongestDeadlineThatCounts) {
  const auto ends_after = [](Time give_up, Time limit, Time at_start = 3s) {
    Running r({}, at_start);
    r.ask(1, 0, 0, limit);
    r.with.classes[0].client_timeout = r.with.classes[1].client_timeout = give_up;
    r.offer(1);
    r.at(0ms, ShutdownRequested{});
    r.ask(2, 0, 0, 20s);
    const Time from = r.now;
    while (r.reducer.unanswered_requests() > 0) r.pass(5ms);
    return r.now - from;
  };
  EXPECT_NEAR(std::chrono::duration<double>(ends_after(200ms, 1s)).count(), 1.3, 0.03);
  EXPECT_NEAR(std::chrono::duration<double>(ends_after(200ms, 100ms)).count(), 0.8, 0.03);
  EXPECT_NEAR(std::chrono::duration<double>(ends_after(30s, 1s)).count(), 3.3, 0.03);
  EXPECT_NEAR(std::chrono::duration<double>(ends_after(2s, 1s, 1s)).count(), 1.3, 0.03);
}

}  // namespace
}  // namespace bellstair::core

// ---- hooks

namespace bellstair::hooks {
namespace {

TEST(Reconfigured, ScriptsSeeTheNamesInForce) {
  Spec spec;
  spec.id = 1;
  spec.phases = {true, false, false};
  spec.source = "function on_request(r) return {tags = {r.tenant or \"nobody\"}} end\n";
  std::string problem;
  const auto machine =
      Machine::make(spec, {{"lookup"}, {"first"}, {"platform"}}, std::chrono::seconds(1), problem);
  ASSERT_TRUE(machine) << problem;
  const auto tag = [&](JobId job) {
    hooks::RunSlice run;
    run.job = job;
    run.first = true;
    run.slice = std::chrono::milliseconds(100);
    run.subject.tenant = 1;
    run.subject.statement = std::make_shared<const std::string>("x");
    const auto ran = machine->run(run);
    return ran.decision.tags.empty() ? ran.text : ran.decision.tags[0];
  };
  EXPECT_EQ(tag(1), "nobody");
  machine->set_names(
      std::make_shared<const SettingNames>(SettingNames{{"lookup"}, {"first", "third"}, {"platform"}}));
  EXPECT_EQ(tag(2), "third");
}

}  // namespace
}  // namespace bellstair::hooks
