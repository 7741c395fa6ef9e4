// The state machine with requests in hooks: their final answers, deadlines and order.
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

hooks::Set hooked(bool answers = false) {
  hooks::Spec spec;
  spec.id = 1;
  spec.name = "h";
  spec.phases = {true, answers, false};
  spec.cpu_limit = 1s;
  spec.wait_timeout = 10s;
  spec.match.contains = "hooked";
  return {{}, {spec}};
}

class HookHarness {
 public:
  explicit HookHarness(hooks::Set set = hooked())
      : reducer(settings(), 1, std::size_t{64} << 20, std::move(set)) {
    at(0ms, ListenersReady{});
    at(0ms, EndpointUpdate{true, {test::member(7)}, true});
    at(0ms, Tick{});
  }
  void at(Time after, Event event) {
    now += after;
    feed(std::move(event));
    // A call yields until the test has set how it ends.
    for (int slices = 0; slices < 3 && slice; ++slices) {
      const auto run = *std::exchange(slice, std::nullopt);
      hooks::SliceResult ran;
      ran.job = run.job;
      ran.hook = run.hook;
      ran.cpu = 1us;
      ran.outcome = hooks::SliceResult::Outcome::yielded;
      if (const auto end = ends.find(run.job); end != ends.end()) {
        ran.outcome = hooks::SliceResult::Outcome::done;
        ran.decision = end->second;
      }
      feed(HookRan{ran});
    }
  }
  void feed(Event event) {
    Effects made;
    reducer.reduce(now, std::move(event), made);
    for (auto& effect : made) {
      if (const auto* run = std::get_if<RunHook>(&effect)) {
        slice = *run;
        if (run->first) calls.push_back(*run);
      }
      effects.push_back(std::move(effect));
    }
  }
  void pass(Time time) {
    for (const Time end = now + time; now < end;) {
      at(0ms, HooksTurn{});
      at(std::min<Time>(5ms, end - now), Tick{});
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
    at(1ms, RequestReceived{submission});
  }
  void end(std::size_t call, hooks::HookDecision verdict = {}) {
    ends[calls.at(call).job] = std::move(verdict);
    pass(10ms);
  }
  template <class T>
  std::vector<T> all() const {
    return test::all_of<T>(effects);
  }
  // Statements in the order in which they were transmitted.
  std::vector<std::string> sent() {
    for (bool more = true; more;) {
      more = false;
      const auto starts = all<StartAttempt>();
      if (begun < starts.size()) {
        more = true;
        at(0ms, AttemptConnected{starts[begun++].id});
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
    at(5ms, ended);
    pass(10ms);
  }

  Time now = 1'700'000'000s;
  Reducer reducer;
  Effects effects;
  std::optional<RunHook> slice;  // requested, and not run yet
  std::vector<RunHook> calls;
  std::map<hooks::JobId, hooks::HookDecision> ends;
  std::size_t begun = 0;
};

TEST(HookedCore, LabelsReachTheSchedulerAndARejectionIsTheFinalAnswer) {
  HookHarness h;
  h.submit(1, "hooked 1");
  h.submit(2, "hooked 2");
  EXPECT_TRUE(h.sent().empty());
  h.end(0, {50ms, 64.0, {}, {}, {"tag"}});
  h.end(1, {{}, {}, {}, 5s, {}});
  EXPECT_EQ(h.sent(), std::vector<std::string>{"hooked 1"});
  ASSERT_EQ(h.all<Answer>().size(), 1U);
  EXPECT_EQ(h.all<Answer>()[0].client, 2U);
  EXPECT_EQ(h.all<Answer>()[0].retry_after, 500ms) << "no longer than the settings allow";
  h.serve(0);
  EXPECT_EQ(h.all<Answer>().size(), 2U);
  EXPECT_EQ(h.reducer.open_requests(), 0U);
  const auto logs = h.all<Log>();
  EXPECT_TRUE(std::ranges::any_of(logs, [](const auto& l) {
    return l.text.find("tagged: tags=tag class=lookup tenant=acme end=served") == 0;
  }));
}

TEST(HookedCore, KeepsTheOrderOfAKeyWhileTheFirstIsInHooks) {
  // The first is served, rejected, or cancelled by its client: only then the next one of its key goes on.
  for (const int how : {0, 1, 2}) {
    HookHarness h;
    h.submit(1, "hooked first", 1, 42);
    h.submit(2, "second", 1, 42);
    h.submit(3, "other key", 1, 43);
    h.pass(50ms);
    EXPECT_EQ(h.sent(), std::vector<std::string>{"other key"}) << how;
    if (how == 0) h.end(0);
    if (how == 1) h.end(0, {{}, {}, {}, 100ms, {}});
    if (how == 2) h.at(1ms, ClientCancelled{1});
    h.pass(50ms);
    auto sent = h.sent();
    ASSERT_EQ(sent.size(), 2U) << how;
    EXPECT_EQ(sent[1], how == 0 ? "hooked first" : "second");
    if (how != 0) continue;
    h.serve(1);
    h.pass(50ms);
    EXPECT_EQ(h.sent().at(2), "second");
  }
}

TEST(HookedCore, RequestInHooksTimesOutAtItsDeadline) {
  HookHarness h;
  h.submit(1, "hooked", 0, 0, 300ms);
  h.pass(290ms);
  ASSERT_EQ(h.all<Answer>().size(), 1U);
  EXPECT_EQ(h.all<Answer>()[0].kind, AnswerKind::timed_out);
  EXPECT_EQ(h.reducer.open_requests(), 0U);
  h.end(0);
  EXPECT_EQ(h.all<Answer>().size(), 1U);
  EXPECT_FALSE(h.all<DropHook>().empty());
  EXPECT_TRUE(h.sent().empty());
}

TEST(HookedCore, RequestsInHooksAreUnansweredAndCountAsOpen) {
  HookHarness h;
  for (ClientHandle client = 1; client <= 9; ++client) h.submit(client, "hooked");
  EXPECT_EQ(h.reducer.unanswered_requests(), 8U);
  ASSERT_EQ(h.all<Answer>().size(), 1U) << "the ninth is more than may be open";
  h.at(1ms, ClientCancelled{3});
  EXPECT_EQ(h.reducer.unanswered_requests(), 7U);
  EXPECT_EQ(h.reducer.open_requests(), 7U);
}

TEST(HookedCore, ShutdownWaitsForRequestsInHooksAndGivesThemUpBeforeTheKill) {
  HookHarness h;
  h.submit(1, "hooked", 0, 0, 20s);
  h.submit(2, "hooked", 0, 0, 20s);
  h.at(1ms, ShutdownRequested{});
  h.pass(1s);
  EXPECT_EQ(h.reducer.lifecycle().phase(), Phase::draining);
  h.end(0);
  EXPECT_EQ(h.sent().size(), 1U) << "what was received before is finished";
  h.serve(0);
  // Before the kill, which comes no sooner than the longest deadline and this grace after the request.
  h.pass(2s + Lifecycle::kKillGrace - 1s);
  ASSERT_EQ(h.all<Answer>().size(), 2U);
  EXPECT_EQ(h.all<Answer>()[1].kind, AnswerKind::rejected);
  EXPECT_EQ(h.reducer.lifecycle().phase(), Phase::exited);
}

TEST(HookedCore, ReloadLeavesRequestsInHooksToTheOldHooks) {
  HookHarness h;
  h.submit(1, "hooked");
  ConfigurationRead read;
  read.hooks = hooks::Set{};
  h.at(1ms, read);
  h.submit(2, "hooked too");
  h.pass(10ms);
  EXPECT_EQ(h.sent(), std::vector<std::string>{"hooked too"});
  h.end(0, {{}, {}, {}, 100ms, {}});
  ASSERT_EQ(h.all<Answer>().size(), 1U);
  EXPECT_EQ(h.all<Answer>()[0].client, 1U);
  EXPECT_EQ(h.all<RetireHook>().size(), 1U);
}

TEST(HookedCore, CallsHooksOfPhaseAnswer) {
  HookHarness h(hooked(true));
  h.submit(1, "hooked");
  h.end(0, {{}, {}, {}, {}, {"t"}});
  h.sent();
  h.serve(0);
  const auto& runs = h.calls;
  ASSERT_EQ(runs.back().phase, hooks::Phase::answer);
  EXPECT_STREQ(runs.back().subject.kind, "served");
  EXPECT_EQ(runs.back().subject.tags, std::vector<std::string>{"t"});
  EXPECT_EQ(runs.back().subject.attempts, 1U);
  EXPECT_GT(runs.back().subject.duration, 0ms);
}

}  // namespace
}  // namespace bellstair::core
