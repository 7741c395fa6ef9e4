// Tests that a running broker applies a whole new configuration in one event. There is one section for each
// of the overlay of a version on the settings, the scheduler, the reducer and the hooks.
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

Overlay initial_overlay() {
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

bool none_referenced(std::uint32_t) { return false; }

TEST(Overlay, DependsOnLatestVersionOnly) {
  const auto start = initial_overlay();
  Document first = document({"second", "third"});
  first.changelog = "127.0.0.1:2";
  first.classes = {{"report", {}, 1s, 7s, 2.0, 0.1}};
  const auto one = overlay(start, start, first, none_referenced);
  EXPECT_EQ(one.changelog, "127.0.0.1:2");
  EXPECT_EQ(one.settings.classes[1].latency_objective, 1s);
  EXPECT_EQ(one.settings.classes[1].client_timeout, 7s);
  EXPECT_EQ(one.settings.classes[1].priority_weight, 2);
  EXPECT_EQ(one.settings.classes[1].late_weight, 0.1);
  EXPECT_EQ(one.settings.classes[0], start.settings.classes[0]);
  EXPECT_EQ(one.settings.tenants,
            (std::vector<policy::TenantSettings>{{"first", 0, 0}, {"second", 0.5, 5}, {"third", 0.5, 5}}));
  EXPECT_FALSE(one.names.tenants.contains("first"));
  EXPECT_NE(one.names.no_tenant, 0U) << "requests without a tenant do not belong to the removed tenant";

  Document second;
  second.classes = {{"lookup", {}, {}, {}, 3.0, {}}};
  const auto two = overlay(start, one, second, none_referenced);
  EXPECT_EQ(two.changelog, start.changelog);
  EXPECT_EQ(two.settings.classes[1], start.settings.classes[1]);
  EXPECT_EQ(two.settings.classes[0].priority_weight, 3);
  EXPECT_EQ(two.settings.classes[0].latency_objective, start.settings.classes[0].latency_objective);
  EXPECT_EQ(two.names.tenants, start.names.tenants);
  EXPECT_EQ(two.names.no_tenant, 0U);
  EXPECT_EQ(two.settings.tenants[0], start.settings.tenants[0]);
  EXPECT_EQ(two.settings.tenants[1], start.settings.tenants[1]);
  // A document gives the same result whatever version came before it, except for the order of the slots.
  const auto again = overlay(start, two, first, none_referenced);
  for (const auto& [name, slot] : again.names.tenants)
    EXPECT_EQ(again.settings.tenants[slot], one.settings.tenants[one.names.tenants.at(name)]);
  EXPECT_EQ(again.names.tenants.size(), one.names.tenants.size());
}

TEST(Overlay, ReusesSlotOnlyWhenUnreferenced) {
  const auto start = initial_overlay();
  auto now = overlay(start, start, document({"first", "a", "b"}), none_referenced);
  ASSERT_EQ(now.names.tenants.at("a"), 2U);
  ASSERT_EQ(now.names.tenants.at("b"), 3U);
  const auto is_referenced = [](std::uint32_t slot) { return slot == 2; };
  now = overlay(start, now, document({"first", "b", "c"}), none_referenced);
  EXPECT_EQ(now.names.tenants.at("c"), 4U) << "requests of \"a\" may still arrive";
  EXPECT_EQ(now.settings.tenants[2], (policy::TenantSettings{"a", 0, 0}));
  now = overlay(start, now, document({"first", "b", "c", "d"}), is_referenced);
  EXPECT_EQ(now.names.tenants.at("d"), 5U);
  now = overlay(start, now, document({"first", "a", "b", "c", "d"}), is_referenced);
  EXPECT_EQ(now.names.tenants.at("a"), 2U) << "the name is used again";
  now = overlay(start, now, document({"first", "b", "c", "d"}), is_referenced);
  now = overlay(start, now, document({"first", "b", "c", "d", "e"}), none_referenced);
  EXPECT_EQ(now.names.tenants.at("e"), 2U) << "\"a\" is no longer referenced";
  EXPECT_EQ(now.settings.tenants[1].name, "second") << "the platform's own tenants keep their slots";
}

TEST(Overlay, SlotCountStaysBoundedOverManyChanges) {
  const auto start = initial_overlay();
  auto now = start;
  std::mt19937_64 random(7);
  std::size_t max_slots = 0;
  std::map<std::uint32_t, std::string> referenced;  // slots that requests refer to
  for (int change = 0; change < 100'000; ++change) {
    std::vector<std::string> names;
    std::set<std::string> seen;
    for (auto n = random() % 5; n > 0; --n) {
      // Half of the names are unique to this change.
      auto name = random() % 2 == 0 ? "t" + std::to_string(change) + "-" + std::to_string(n)
                                    : "u" + std::to_string(random() % 12);
      if (seen.insert(name).second) names.push_back(std::move(name));
    }
    now = overlay(start, now, document(names), [&](std::uint32_t slot) { return referenced.contains(slot); });
    ASSERT_EQ(now.names.tenants.size(), names.size());
    for (const auto& [name, slot] : now.names.tenants) ASSERT_EQ(now.settings.tenants.at(slot).name, name);
    for (const auto& [slot, name] : referenced) ASSERT_EQ(now.settings.tenants.at(slot).name, name);
    if (referenced.size() >= 6) referenced.erase(referenced.begin());
    if (!names.empty()) referenced[now.names.tenants.at(names[0])] = names[0];
    max_slots = std::max(max_slots, now.settings.tenants.size());
  }
  EXPECT_LE(max_slots, 2U + 4 + 4 + 6)
      << "the platform's tenants, those of two versions and the referenced ones";
}

TEST(Overlay, RequestsWithoutTenantAreNotChargedToAnother) {
  const auto start = initial_overlay();
  const auto now = overlay(start, start, document({"second"}), none_referenced);
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

// ---- the scheduler

namespace bellstair::policy::test {
namespace {

Settings two_tenant_settings() {
  auto s = basic_settings();
  s.over_quota_weight = 0.05;
  s.tenants = {{"calm", 0.5, 20}, {"flood", 0.5, 20}};
  return s;
}

RequestId submit(SchedulerHarness& harness, RequestId id, std::uint32_t tenant, ClassIndex cls = 0) {
  RequestArrival a;
  a.request = id;
  a.cls = cls;
  a.tenant = tenant;
  a.time_left = 5s;
  harness.handle(harness.now, {a});
  return id;
}

std::string reconfigure_error(Scheduler& scheduler, const Settings& settings) {
  try {
    scheduler.reconfigure(settings);
  } catch (const std::invalid_argument& error) {
    return error.what();
  }
  return "";
}

TEST(SchedulerReconfigure, NamesFixedFieldAndChangesNothing) {
  const auto base = two_tenant_settings();
  SchedulerHarness harness(base);
  const auto with = [&](auto change) {
    auto s = base;
    s.classes[0].latency_objective = 9s;  // would apply if the rest were valid
    change(s);
    return reconfigure_error(harness.scheduler, s);
  };
  EXPECT_NE(with([](auto& s) { s.classes.pop_back(); }).find("the number of classes"), std::string::npos);
  EXPECT_NE(with([](auto& s) { s.classes[2].threads = 2; }).find("classes[].threads"), std::string::npos);
  EXPECT_NE(with([](auto& s) { s.classes[1].idempotency = Idempotency::idempotent; }).find("semantics"),
            std::string::npos);
  EXPECT_NE(with([](auto& s) { s.classes[2].deduplication_window = 1ms; }).find("semantics"),
            std::string::npos);
  EXPECT_NE(with([](auto& s) { s.classes[2].name = "x"; }).find("classes[].name"), std::string::npos);
  EXPECT_NE(with([](auto& s) { s.classes[2].ordered_by_key = true; }).find("in-order"), std::string::npos);
  EXPECT_NE(with([](auto& s) { s.kinds.pop_back(); }).find("kinds"), std::string::npos);
  EXPECT_NE(with([](auto& s) { s.brokers = 2; }).find("balancers"), std::string::npos);
  EXPECT_NE(with([](auto& s) { s.zone = 2; }).find("zones"), std::string::npos);
  EXPECT_NE(with([](auto& s) { s.max_attempts = 9; }).find("can't change"), std::string::npos);
  EXPECT_NE(with([](auto& s) { s.retry_budget.emplace().window = 1s; }).find("can't change"),
            std::string::npos);
  EXPECT_NE(with([](auto& s) { s.classes[2].latency_objective = 0s; }).find("aim must be above 0"),
            std::string::npos);
  EXPECT_NE(with([](auto& s) { s.tenants[1].quota_fraction = -1; }).find("must not be below 0"),
            std::string::npos);
  // Class 0 still has the highest rank: of two queued requests, its request is sent first.
  harness.submit(1, 1);
  harness.submit(2, 0);
  harness.set_endpoints({engine(7)});
  ASSERT_EQ(harness.sent.size(), 2U);
  EXPECT_EQ(harness.sent[0].request, 2U);
}

std::string text_of(const std::vector<Action>& actions) {
  std::string out;
  for (const auto& action : actions) {
    out += std::to_string(action.index()) + ':';
    if (const auto* send = std::get_if<SendAttempt>(&action))
      out += std::to_string(send->request) + '>' + std::to_string(send->engine) + '@' +
             std::to_string(send->give_up_at.count());
    if (const auto* reject = std::get_if<Reject>(&action)) out += std::to_string(reject->request);
    if (const auto* fail = std::get_if<Fail>(&action)) out += std::to_string(fail->request);
    if (const auto* cancel = std::get_if<CancelAttempt>(&action)) out += std::to_string(cancel->request);
    if (const auto* gossip = std::get_if<SendGossip>(&action)) out += gossip->bytes;
    out += ' ';
  }
  return out;
}

// Runs 20 seconds under overload and returns all actions as text. Calls `each_100_ms` every 100 ms.
std::string run_overloaded(const std::function<void(Scheduler&, int)>& each_100_ms) {
  auto s = two_tenant_settings();
  s.brokers = 2;
  s.may_gossip = true;
  SchedulerHarness harness(s, 5);
  harness.set_endpoints({engine(7), engine(8), engine(9)});
  std::mt19937_64 random(11);
  std::multimap<Time, std::pair<SendAttempt, ClassIndex>> in_flight;
  std::map<RequestId, ClassIndex> classes;
  std::map<RequestId, AttemptIndex> attempts;
  std::string text;
  RequestId id = 0;
  std::size_t handled_sends = 0;
  for (int step = 0; step < 2000; ++step) {
    const Time now = harness.now + 10ms;
    std::vector<Event> events;
    if (harness.next_timer_at <= now) events.emplace_back(TimerFired{});
    for (; !in_flight.empty() && in_flight.begin()->first <= now; in_flight.erase(in_flight.begin())) {
      const auto& send = in_flight.begin()->second.first;
      AttemptOutcome o;
      o.request = send.request;
      o.attempt = attempts[send.request]++;
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
    if (step % 10 == 0) each_100_ms(harness.scheduler, step / 10);
    text += text_of(harness.handle(now, events));
    for (; handled_sends < harness.sent.size(); ++handled_sends)
      in_flight.insert(
          {now + 100ms + std::chrono::milliseconds(random() % 300), {harness.sent[handled_sends], 0}});
  }
  return text;
}

// Queues, attempts, the control loop's state, latency ratios, rates, tokens and the random sequence must all
// stay as they are.
TEST(SchedulerReconfigure, SameSettingsChangeNothing) {
  auto s = two_tenant_settings();
  s.brokers = 2;
  s.may_gossip = true;
  const auto without_change = run_overloaded([](Scheduler&, int) {});
  const auto with_same_settings =
      run_overloaded([&](Scheduler& scheduler, int) { scheduler.reconfigure(s); });
  EXPECT_GT(without_change.size(), 20'000U);
  EXPECT_NE(without_change.find("2:"), std::string::npos) << "some requests are rejected";
  EXPECT_TRUE(without_change == with_same_settings);
  auto shorter_objective = s;
  shorter_objective.classes[2].latency_objective = 100ms;
  const auto changed =
      run_overloaded([&](Scheduler& scheduler, int) { scheduler.reconfigure(shorter_objective); });
  EXPECT_FALSE(without_change == changed) << "the run must depend on the settings";
}

TEST(SchedulerReconfigure, RecomputesRanksForQueuedRequests) {
  auto s = basic_settings();
  SchedulerHarness harness(s);
  harness.submit(1, 0);
  harness.submit(2, 2);
  s.classes[2].latency_objective = 500ms;
  harness.scheduler.reconfigure(s);
  harness.set_endpoints({engine(7)});
  ASSERT_EQ(harness.sent.size(), 2U);
  EXPECT_EQ(harness.sent[0].request, 2U);
}

// The control loop follows its equation from its own last output and error, although new settings are applied
// before every sample.
TEST(SchedulerReconfigure, ControlLoopKeepsItsState) {
  Settings s;
  s.kinds = {{"one", 10, 0}};
  s.classes.resize(1);
  s.classes[0].latency_objective = 100s;  // wait objective 30 s
  s.classes[0].objective_stretch = 10;    // no request is rejected during the test
  s.classes[0].client_timeout = 1000s;
  SchedulerHarness harness(s);
  harness.set_endpoints({engine(7)});
  for (RequestId id = 1; id <= 21; ++id) harness.submit(id, 0, 900s);
  ASSERT_EQ(harness.scheduler.class_status(0).queued, 1U);
  double output = 1, last_error = 0;
  for (int m = 1; m <= 25; ++m) {
    s.classes[0].priority_weight = m;
    s.tenants = {{"t" + std::to_string(m), 1, 10}};
    harness.scheduler.reconfigure(s);
    harness.handle(harness.now, {AttemptProgress{1, 0, 7, ProgressKind::spill, 1}});
    harness.run_until(100s + std::chrono::milliseconds(2000 * m + 19));
    const double error = (30 - (m == 1 ? 2.0 / 21 : 2.0 * m)) / 30;
    output = std::clamp(output - 0.8 * 2 * (error - 0.3 * last_error), 1.0, 20.0);
    last_error = error;
    EXPECT_NEAR(harness.scheduler.class_status(0).budget, output, 1e-6) << "period " << m;
  }
  EXPECT_GT(output, 1.0);
}

TEST(SchedulerReconfigure, KeepsTokensAndFillsNewBuckets) {
  auto s = two_tenant_settings();
  SchedulerHarness harness(s);
  harness.set_endpoints({});
  RequestId id = 0;
  const auto admitted_before_rejection = [&](std::uint32_t tenant) {
    int admitted = 0;
    while (admitted < 1000 && harness.rejected[submit(harness, ++id, tenant)] == 0) ++admitted;
    return admitted;
  };
  submit(harness, ++id, 0);  // one is queued: from now on requests over quota are rejected
  const int at_start = admitted_before_rejection(1);
  EXPECT_GT(at_start, 10);
  // The bucket is empty, and stays empty although its tenant's quota grows.
  s.tenants[1].quota_fraction = 0.9;
  s.tenants.push_back({"new", 0.5, 20});
  harness.scheduler.reconfigure(s);
  EXPECT_EQ(admitted_before_rejection(1), 0);
  EXPECT_EQ(admitted_before_rejection(2), at_start) << "its burst depends only on its own quota";
  // A full bucket is cut to its size under its tenant's new quota: 2 s of refill and 3 more tokens.
  s.tenants[0] = {"calm", 0.01, 0.1};
  harness.scheduler.reconfigure(s);
  EXPECT_LE(admitted_before_rejection(0), 4);
  // Another name at the same index is another tenant.
  s.tenants[1] = {"other", 0.5, 20};
  harness.scheduler.reconfigure(s);
  EXPECT_EQ(admitted_before_rejection(1), at_start);
  // A removed tenant keeps its tokens and receives no more.
  s.tenants[2].quota_fraction = s.tenants[2].quota_per_s = 0;
  harness.scheduler.reconfigure(s);
  harness.run_until(harness.now + 5s);
  EXPECT_LE(admitted_before_rejection(2), 3);
}

// After client_timeout was reduced, the shorter time left of a new request must not be mistaken for a wait
// during a stall of the broker.
TEST(SchedulerReconfigure, ReducedTimeoutDoesNotCountAsWaiting) {
  auto s = basic_settings();
  SchedulerHarness harness(s);
  harness.set_endpoints({engine(7)});
  harness.submit(1, 0, 5s);
  harness.complete_attempt(1, 0, 7, AttemptResult::served);
  s.classes[0].client_timeout = 2s;
  harness.scheduler.reconfigure(s);
  RequestArrival fresh;
  fresh.request = 2;
  fresh.time_left = 2s;
  harness.handle(harness.now + 3s, {fresh});  // after a stall
  EXPECT_EQ(harness.unserved_count(2), 0);
  EXPECT_EQ(harness.attempts_of(2), 1);
}

}  // namespace
}  // namespace bellstair::policy::test

// ---- the reducer

namespace bellstair::core {
namespace {
using namespace std::chrono_literals;

policy::Settings two_class_settings(Time client_timeout) {
  auto s = test::small_settings();
  s.classes[0].client_timeout = client_timeout;
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

class ReducerDriver {
 public:
  explicit ReducerDriver(hooks::Set set = {}, Time client_timeout = 3s)
      : settings(two_class_settings(client_timeout)),
        reducer(settings, 1, std::size_t{64} << 20, std::move(set), "127.0.0.1:1") {
    reduce(0ms, ListenersReady{});
    reduce(0ms, EndpointUpdate{true, {test::endpoint_record(7)}, true});
    reduce(0ms, Tick{});
  }
  void reduce(Time delay, Event event) {
    now += delay;
    reducer.reduce(now, std::move(event), effects);
  }
  void run_for(Time time) {
    for (const Time end = now + time; now < end;) reduce(std::min<Time>(5ms, end - now), Tick{});
  }
  void submit(ClientHandle client, ClassIndex cls = 0, std::uint32_t tenant = 0, Time limit = 2s) {
    Submission submission;
    submission.client = client;
    submission.cls = cls;
    submission.tenant = tenant;
    submission.time_limit = limit;
    submission.body = "SELECT 1";
    reduce(10ms, RequestReceived{submission});
  }
  void offer_settings(std::uint64_t number, std::string changelog = {}) {
    reduce(0ms, SettingsOffered{3, number, settings, std::move(changelog), std::make_shared<const int>(7)});
  }
  void end_attempt(AttemptId id, AttemptEnd end, std::string body = {}) {
    AttemptEnded ended;
    ended.id = id;
    ended.end = end;
    ended.body = std::move(body);
    reduce(10ms, ended);
  }
  template <class T>
  std::vector<T> all() const {
    return test::all_of<T>(effects);
  }
  bool logged(const std::string& text) const {
    for (const auto& line : all<Log>()) {
      if (line.text.find(text) != std::string::npos) return true;
    }
    return false;
  }
  policy::Settings settings;  // for the next offer_settings()
  Time now = 1'700'000'000s;
  Effects effects;
  Reducer reducer;
};

TEST(ReducerReconfigure, AppliesAllSettingsInOneEvent) {
  ReducerDriver r;
  r.settings.classes[1].latency_objective = 100ms;
  r.effects.clear();
  r.offer_settings(17, "127.0.0.1:2");
  const auto applied = r.all<SettingsApplied>();
  ASSERT_EQ(applied.size(), 1U);
  EXPECT_EQ(applied[0].epoch, 3U);
  EXPECT_EQ(applied[0].number, 17U);
  EXPECT_EQ(applied[0].settings, r.settings);
  EXPECT_EQ(applied[0].changelog, "127.0.0.1:2");
  EXPECT_EQ(*static_cast<const int*>(applied[0].names.get()), 7);
  EXPECT_TRUE(r.logged("settings of version 3.17 are active"));
  EXPECT_TRUE(r.all<SettingsRejected>().empty());
}

// The scheduler and the reducer change in the same event: the next event finds both with the new settings.
TEST(ReducerReconfigure, SchedulerAndReducerChangeTogether) {
  ReducerDriver r;
  r.reduce(0ms, EndpointUpdate{true, {}, true});
  r.submit(1, 0);
  r.submit(2, 1);
  r.settings.classes[1].latency_objective = 100ms;  // now the highest rank
  r.settings.classes[0].client_timeout = r.settings.classes[1].client_timeout = 400ms;
  r.effects.clear();
  r.offer_settings(1);
  r.reduce(10ms,
           EndpointUpdate{true, {test::endpoint_record(7)}, true});  // the scheduler receives only this event
  const auto starts = r.all<StartAttempt>();
  ASSERT_EQ(starts.size(), 2U);
  EXPECT_EQ(starts[0].id.request, 2U) << "by the new ranks";
  for (const auto& start : starts) {
    r.reduce(0ms, AttemptConnected{start.id});
    r.end_attempt(start.id, AttemptEnd::served);
  }
  // The reducer has the new settings, too: with deadlines of 0.4 s its drain ends at the minimum of 0.8 s.
  ReducerDriver s;
  s.settings.classes[0].client_timeout = s.settings.classes[1].client_timeout = 400ms;
  s.offer_settings(1);
  s.submit(1, 0, 0, 400ms);
  s.reduce(0ms, ShutdownRequested{});
  s.submit(2, 0, 0, 20s);
  s.run_for(780ms);
  EXPECT_EQ(s.reducer.unanswered_requests(), 1U);
  s.run_for(15ms);
  EXPECT_EQ(s.reducer.unanswered_requests(), 0U);
}

TEST(ReducerReconfigure, InvalidSettingsChangeNothing) {
  ReducerDriver r;
  r.offer_settings(16, "127.0.0.1:2");
  r.reduce(0ms, EndpointUpdate{true, {}, true});
  r.submit(1, 0);
  r.submit(2, 1);
  const auto good = r.settings;
  r.settings.classes[1].latency_objective = 100ms;
  r.settings.classes[0].threads = 3;
  r.effects.clear();
  r.offer_settings(17, "127.0.0.1:3");
  ASSERT_EQ(r.all<SettingsRejected>().size(), 1U);
  EXPECT_EQ(r.all<SettingsRejected>()[0].number, 17U);
  EXPECT_NE(r.all<SettingsRejected>()[0].problem.find("threads"), std::string::npos);
  EXPECT_TRUE(r.all<SettingsApplied>().empty());
  EXPECT_TRUE(r.logged("the previous settings stay active"));
  r.reduce(0ms, ConfigurationRead{{}, "127.0.0.1:4", {}, {}});
  ASSERT_EQ(r.all<FollowChangeLog>().size(), 1U);
  EXPECT_EQ(r.all<FollowChangeLog>()[0].address, "127.0.0.1:2");
  r.reduce(10ms, EndpointUpdate{true, {test::endpoint_record(7)}, true});
  ASSERT_EQ(r.all<StartAttempt>().size(), 2U);
  EXPECT_EQ(r.all<StartAttempt>()[0].id.request, 1U);
  r.settings = good;
  r.offer_settings(18);
  EXPECT_EQ(r.all<SettingsApplied>().size(), 1U);
}

// A reload by SIGHUP does not replace a version's change log. A version without one returns to the address
// that was read last.
TEST(ReducerReconfigure, VersionOverridesChangeLogOfFile) {
  ReducerDriver r;
  const auto read = [&](const char* address) { r.reduce(0ms, ConfigurationRead{{}, address, {}, {}}); };
  const auto followed = [&] { return r.all<FollowChangeLog>().back().address; };
  read("127.0.0.1:2");
  EXPECT_EQ(followed(), "127.0.0.1:2");
  r.offer_settings(1, "127.0.0.1:3");
  EXPECT_EQ(r.all<SettingsApplied>().back().changelog, "127.0.0.1:3");
  read("127.0.0.1:4");
  EXPECT_EQ(followed(), "127.0.0.1:3");
  EXPECT_TRUE(r.logged("the change log stays at 127.0.0.1:3"));
  r.offer_settings(2);
  EXPECT_EQ(r.all<SettingsApplied>().back().changelog, "127.0.0.1:4");
  read("127.0.0.1:5");
  EXPECT_EQ(followed(), "127.0.0.1:5");
}

TEST(ReducerReconfigure, RequestsKeepTheirDeadline) {
  ReducerDriver r;
  r.submit(1, 0, 0, 2s);
  const auto id = r.all<StartAttempt>().at(0).id;
  r.reduce(0ms, AttemptConnected{id});
  r.settings.classes[0].client_timeout = 100ms;
  r.offer_settings(1);
  r.run_for(1900ms);
  EXPECT_TRUE(r.all<Answer>().empty());
  r.end_attempt(id, AttemptEnd::served, "rows");
  ASSERT_EQ(r.all<Answer>().size(), 1U);
  EXPECT_EQ(r.all<Answer>()[0].kind, AnswerKind::served);
}

// Requests that are queued, at an engine or in a hook are each answered once.
TEST(ReducerReconfigure, AnswersOpenRequestsOfRemovedTenant) {
  hooks::Spec spec;
  spec.id = 1;
  spec.name = "h";
  spec.phases = {true, false, false};
  spec.wait_timeout = spec.cpu_limit = 10s;
  spec.match.classes = {1};
  ReducerDriver r({{}, {spec}});
  r.submit(1, 0, 1);
  const auto in_flight = r.all<StartAttempt>().at(0).id;
  r.reduce(0ms, AttemptConnected{in_flight});
  r.submit(2, 1, 1);
  ASSERT_EQ(r.all<RunHook>().size(), 1U);
  r.reduce(0ms, EndpointUpdate{false, {test::endpoint_record(7, policy::EngineState::draining)}, true});
  r.submit(3, 0, 1);
  EXPECT_EQ(r.reducer.referenced_tenants(), (std::unordered_set<std::uint32_t>{1}));
  r.settings.tenants[1].quota_fraction = r.settings.tenants[1].quota_per_s = 0;
  r.offer_settings(1);
  EXPECT_TRUE(r.all<Answer>().empty());
  hooks::SliceResult result;
  result.job = r.all<RunHook>()[0].job;
  result.hook = 1;
  result.outcome = hooks::SliceResult::Outcome::done;
  result.decision.tags = {"seen"};
  r.reduce(0ms, HookRan{result});
  r.reduce(10ms, EndpointUpdate{false, {test::endpoint_record(7)}, true});
  r.end_attempt(in_flight, AttemptEnd::served);
  const auto starts = r.all<StartAttempt>();
  ASSERT_EQ(starts.size(), 3U);
  for (std::size_t n = 1; n < 3; ++n) {
    r.reduce(0ms, AttemptConnected{starts[n].id});
    r.end_attempt(starts[n].id, AttemptEnd::served);
  }
  r.run_for(3s);
  std::set<ClientHandle> answered;
  for (const auto& answer : r.all<Answer>()) {
    EXPECT_EQ(answer.kind, AnswerKind::served);
    EXPECT_TRUE(answered.insert(answer.client).second);
  }
  EXPECT_EQ(answered.size(), 3U);
  EXPECT_TRUE(r.logged("tenant=second")) << "log lines still name the tenant";
  EXPECT_TRUE(r.reducer.referenced_tenants().empty());
}

TEST(ReducerReconfigure, HooksAndTheirCallsReferenceTenants) {
  hooks::Spec spec;
  spec.id = 1;
  spec.name = "h";
  spec.phases = {false, true, false};
  spec.wait_timeout = 10s;
  ReducerDriver r({{}, {spec}});
  r.submit(1, 0, 1, 100ms);
  r.run_for(200ms);
  ASSERT_EQ(r.all<Answer>().size(), 1U);
  ASSERT_EQ(r.reducer.open_requests(), 0U);
  ASSERT_EQ(r.all<RunHook>().size(), 1U) << "it is called with the answer";
  EXPECT_EQ(r.reducer.referenced_tenants(), (std::unordered_set<std::uint32_t>{1}));
  spec.id = 2;
  spec.match.tenants = {0};
  r.reduce(0ms, ConfigurationRead{{}, "127.0.0.1:1", {}, hooks::Set{{}, {spec}}});
  EXPECT_EQ(r.reducer.referenced_tenants(), (std::unordered_set<std::uint32_t>{0, 1}))
      << "the call is still running";
  hooks::SliceResult result;
  result.job = r.all<RunHook>()[0].job;
  result.hook = 1;
  result.outcome = hooks::SliceResult::Outcome::done;
  r.reduce(0ms, HookRan{result});
  EXPECT_EQ(r.reducer.referenced_tenants(), (std::unordered_set<std::uint32_t>{0}));
}

// A draining broker applies new versions, but they don't change when it ends the remaining requests.
TEST(ReducerReconfigure, VersionDoesNotMoveEndOfDrain) {
  for (const Time client_timeout : {Time(200ms), Time(10s)}) {
    ReducerDriver r;
    r.submit(1, 0, 0, 20s);
    r.reduce(0ms, ShutdownRequested{});
    r.settings.classes[0].client_timeout = r.settings.classes[1].client_timeout = client_timeout;
    r.offer_settings(1);
    EXPECT_EQ(r.all<SettingsApplied>().size(), 1U);
    r.run_for(3290ms);
    EXPECT_EQ(r.reducer.unanswered_requests(), 1U);
    r.run_for(15ms);
    EXPECT_EQ(r.reducer.unanswered_requests(), 0U) << "the longest deadline of 3 s and 0.3 s more";
    r.effects.clear();
    r.reduce(0ms, SettingsOffered{3, 2, r.settings, {}, {}});  // while it stops
    EXPECT_EQ(r.all<SettingsApplied>().size(), 1U);
  }
}

// A version applied before the drain can shorten it, though not for requests accepted earlier. It never makes
// it longer.
TEST(ReducerReconfigure, DrainFollowsLongestApplicableDeadline) {
  const auto drain_duration = [](Time client_timeout, Time limit, Time initial_timeout = 3s) {
    ReducerDriver r({}, initial_timeout);
    r.submit(1, 0, 0, limit);
    r.settings.classes[0].client_timeout = r.settings.classes[1].client_timeout = client_timeout;
    r.offer_settings(1);
    r.reduce(0ms, ShutdownRequested{});
    r.submit(2, 0, 0, 20s);
    const Time from = r.now;
    while (r.reducer.unanswered_requests() > 0) r.run_for(5ms);
    return r.now - from;
  };
  EXPECT_NEAR(std::chrono::duration<double>(drain_duration(200ms, 1s)).count(), 1.3, 0.03);
  EXPECT_NEAR(std::chrono::duration<double>(drain_duration(200ms, 100ms)).count(), 0.8, 0.03);
  EXPECT_NEAR(std::chrono::duration<double>(drain_duration(30s, 1s)).count(), 3.3, 0.03);
  EXPECT_NEAR(std::chrono::duration<double>(drain_duration(2s, 1s, 1s)).count(), 1.3, 0.03);
}

}  // namespace
}  // namespace bellstair::core

// ---- hooks

namespace bellstair::hooks {
namespace {

TEST(MachineReconfigure, ScriptsSeeActiveNames) {
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
    const auto result = machine->run(run);
    return result.decision.tags.empty() ? result.text : result.decision.tags[0];
  };
  EXPECT_EQ(tag(1), "nobody");
  machine->set_names(
      std::make_shared<const SettingNames>(SettingNames{{"lookup"}, {"first", "third"}, {"platform"}}));
  EXPECT_EQ(tag(2), "third");
}

}  // namespace
}  // namespace bellstair::hooks
