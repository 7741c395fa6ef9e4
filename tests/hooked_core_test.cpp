// Tests the reducer with requests in hooks: their final answers, deadlines and order.
#include <gtest/gtest.h>

#include "small_core.hpp"

namespace bellstair::core {
namespace {
using namespace std::chrono_literals;

policy::Settings settings() {
  auto s = test::small_settings();
  auto load = s.classes[0];
  load.name = "load";
  load.idempotency = policy::Idempotency::keyed;
  load.deduplication_window = 10s;
  load.ordered_by_key = true;
  s.classes.push_back(load);
  s.tenants.resize(1);
  s.tenants[0].name = "acme";
  s.max_attempts = 4;
  s.max_open_requests = 8;
  s.may_cancel = s.sends_retry_after = true;
  s.max_retry_after = 500ms;
  return s;
}

hooks::Set hook_set(bool with_answer_phase = false) {
  hooks::Spec spec;
  spec.id = 1;
  spec.name = "h";
  spec.phases = {true, with_answer_phase, false};
  spec.cpu_limit = 1s;
  spec.wait_timeout = 10s;
  spec.match.contains = "hooked";
  return {{}, {spec}};
}

class HookHarness {
 public:
  explicit HookHarness(hooks::Set set = hook_set())
      : reducer(settings(), 1, std::size_t{64} << 20, std::move(set)) {
    post(0ms, ListenersReady{});
    post(0ms, EndpointUpdate{true, {test::endpoint_record(7)}, true});
    post(0ms, Tick{});
  }
  void post(Time delay, Event event) {
    now += delay;
    reduce(std::move(event));
    // A call yields until the test has set its decision.
    for (int slices = 0; slices < 3 && slice; ++slices) {
      const auto run = *std::exchange(slice, std::nullopt);
      hooks::SliceResult ran;
      ran.job = run.job;
      ran.hook = run.hook;
      ran.cpu = 1us;
      ran.outcome = hooks::SliceResult::Outcome::yielded;
      if (const auto end = decisions.find(run.job); end != decisions.end()) {
        ran.outcome = hooks::SliceResult::Outcome::done;
        ran.decision = end->second;
      }
      reduce(HookRan{ran});
    }
  }
  void reduce(Event event) {
    Effects new_effects;
    reducer.reduce(now, std::move(event), new_effects);
    for (auto& effect : new_effects) {
      if (const auto* run = std::get_if<RunHook>(&effect)) {
        slice = *run;
        if (run->first) calls.push_back(*run);
      }
      effects.push_back(std::move(effect));
    }
  }
  void tick_for(Time time) {
    for (const Time end = now + time; now < end;) {
      post(0ms, HooksTurn{});
      post(std::min<Time>(5ms, end - now), Tick{});
    }
  }
  void submit(ClientHandle client, const std::string& statement, ClassIndex cls = 0, std::uint64_t key = 0,
              Time limit = 2s) {
    Submission submission;
    submission.client = client;
    submission.cls = cls;
    submission.time_limit = limit;
    submission.ordering_key = key;
    submission.body = statement;
    if (cls == 1) submission.idempotency_key = "n" + std::to_string(client);
    post(1ms, RequestReceived{submission});
  }
  void end_call(std::size_t call, hooks::HookDecision decision = {}) {
    decisions[calls.at(call).job] = std::move(decision);
    tick_for(10ms);
  }
  template <class T>
  std::vector<T> all() const {
    return test::all_of<T>(effects);
  }
  // Connects all started attempts. Returns the statements in the order in which they were transmitted.
  std::vector<std::string> transmitted_statements() {
    for (bool more = true; more;) {
      more = false;
      const auto starts = all<StartAttempt>();
      if (connected < starts.size()) {
        more = true;
        post(0ms, AttemptConnected{starts[connected++].id});
      }
    }
    std::vector<std::string> out;
    for (const auto& transmit : all<Transmit>()) out.push_back(transmit.body);
    return out;
  }
  void serve(std::size_t attempt) {
    AttemptEnded ended;
    ended.id = all<Transmit>().at(attempt).id;
    ended.end = AttemptEnd::served;
    post(5ms, ended);
    tick_for(10ms);
  }

  Time now = 1'700'000'000s;
  Reducer reducer;
  Effects effects;
  std::optional<RunHook> slice;  // requested by the reducer, and not run yet
  std::vector<RunHook> calls;
  std::map<hooks::JobId, hooks::HookDecision> decisions;
  std::size_t connected = 0;
};

TEST(HookedCore, AppliesEstimatesAndRejectionsOfHooks) {
  HookHarness harness;
  harness.submit(1, "hooked 1");
  harness.submit(2, "hooked 2");
  EXPECT_TRUE(harness.transmitted_statements().empty());
  harness.end_call(0, {50ms, 64.0, {}, {}, {"tag"}});
  harness.end_call(1, {{}, {}, {}, 5s, {}});
  EXPECT_EQ(harness.transmitted_statements(), std::vector<std::string>{"hooked 1"});
  ASSERT_EQ(harness.all<Answer>().size(), 1U);
  EXPECT_EQ(harness.all<Answer>()[0].client, 2U);
  EXPECT_EQ(harness.all<Answer>()[0].retry_after, 500ms) << "limited by max_retry_after";
  harness.serve(0);
  EXPECT_EQ(harness.all<Answer>().size(), 2U);
  EXPECT_EQ(harness.reducer.open_requests(), 0U);
  const auto logs = harness.all<Log>();
  EXPECT_TRUE(std::ranges::any_of(logs, [](const auto& l) {
    return l.text.find("tagged: tags=tag class=lookup tenant=acme end=served") == 0;
  }));
}

TEST(HookedCore, KeepsTheOrderOfAKeyWhileItsFirstRequestIsInHooks) {
  // The second request of the key continues only after the first is served, rejected or cancelled by its
  // client.
  for (const int outcome : {0, 1, 2}) {
    HookHarness harness;
    harness.submit(1, "hooked first", 1, 42);
    harness.submit(2, "second", 1, 42);
    harness.submit(3, "other key", 1, 43);
    harness.tick_for(50ms);
    EXPECT_EQ(harness.transmitted_statements(), std::vector<std::string>{"other key"}) << outcome;
    if (outcome == 0) harness.end_call(0);
    if (outcome == 1) harness.end_call(0, {{}, {}, {}, 100ms, {}});
    if (outcome == 2) harness.post(1ms, ClientCancelled{1});
    harness.tick_for(50ms);
    auto statements = harness.transmitted_statements();
    ASSERT_EQ(statements.size(), 2U) << outcome;
    EXPECT_EQ(statements[1], outcome == 0 ? "hooked first" : "second");
    if (outcome != 0) continue;
    harness.serve(1);
    harness.tick_for(50ms);
    EXPECT_EQ(harness.transmitted_statements().at(2), "second");
  }
}

TEST(HookedCore, RequestInHooksTimesOutAtItsDeadline) {
  HookHarness harness;
  harness.submit(1, "hooked", 0, 0, 300ms);
  harness.tick_for(290ms);
  ASSERT_EQ(harness.all<Answer>().size(), 1U);
  EXPECT_EQ(harness.all<Answer>()[0].kind, AnswerKind::timed_out);
  EXPECT_EQ(harness.reducer.open_requests(), 0U);
  harness.end_call(0);
  EXPECT_EQ(harness.all<Answer>().size(), 1U);
  EXPECT_FALSE(harness.all<DropHook>().empty());
  EXPECT_TRUE(harness.transmitted_statements().empty());
}

TEST(HookedCore, RequestsInHooksCountAsUnansweredAndOpen) {
  HookHarness harness;
  for (ClientHandle client = 1; client <= 9; ++client) harness.submit(client, "hooked");
  EXPECT_EQ(harness.reducer.unanswered_requests(), 8U);
  ASSERT_EQ(harness.all<Answer>().size(), 1U) << "the ninth exceeds max_open_requests";
  harness.post(1ms, ClientCancelled{3});
  EXPECT_EQ(harness.reducer.unanswered_requests(), 7U);
  EXPECT_EQ(harness.reducer.open_requests(), 7U);
}

TEST(HookedCore, ShutdownWaitsForHooksUntilShortlyBeforeThePlatformKill) {
  HookHarness harness;
  harness.submit(1, "hooked", 0, 0, 20s);
  harness.submit(2, "hooked", 0, 0, 20s);
  harness.post(1ms, ShutdownRequested{});
  harness.tick_for(1s);
  EXPECT_EQ(harness.reducer.lifecycle().phase(), Phase::draining);
  harness.end_call(0);
  EXPECT_EQ(harness.transmitted_statements().size(), 1U)
      << "a request received before the shutdown is served";
  harness.serve(0);
  // The platform kills the program no sooner than the longest deadline plus kKillGrace after it requests the
  // shutdown.
  harness.tick_for(2s + Lifecycle::kKillGrace - 1s);
  ASSERT_EQ(harness.all<Answer>().size(), 2U);
  EXPECT_EQ(harness.all<Answer>()[1].kind, AnswerKind::rejected);
  EXPECT_EQ(harness.reducer.lifecycle().phase(), Phase::exited);
}

TEST(HookedCore, RequestsInHooksKeepTheirHooksAfterAReload) {
  HookHarness harness;
  harness.submit(1, "hooked");
  ConfigurationRead read;
  read.hooks = hooks::Set{};
  harness.post(1ms, read);
  harness.submit(2, "hooked too");
  harness.tick_for(10ms);
  EXPECT_EQ(harness.transmitted_statements(), std::vector<std::string>{"hooked too"});
  harness.end_call(0, {{}, {}, {}, 100ms, {}});
  ASSERT_EQ(harness.all<Answer>().size(), 1U);
  EXPECT_EQ(harness.all<Answer>()[0].client, 1U);
  EXPECT_EQ(harness.all<RetireHook>().size(), 1U);
}

TEST(HookedCore, CallsHooksOfPhaseAnswer) {
  HookHarness harness(hook_set(true));
  harness.submit(1, "hooked");
  harness.end_call(0, {{}, {}, {}, {}, {"t"}});
  harness.transmitted_statements();
  harness.serve(0);
  const auto& runs = harness.calls;
  ASSERT_EQ(runs.back().phase, hooks::Phase::answer);
  EXPECT_STREQ(runs.back().subject.kind, "served");
  EXPECT_EQ(runs.back().subject.tags, std::vector<std::string>{"t"});
  EXPECT_EQ(runs.back().subject.attempts, 1U);
  EXPECT_GT(runs.back().subject.duration, 0ms);
}

}  // namespace
}  // namespace bellstair::core
