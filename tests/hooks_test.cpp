// Tests the scheduling of hooks without I/O, and the Lua machine with malicious scripts.
#include <gtest/gtest.h>

#include "hooks/hook_scheduler.hpp"
#include "hooks/machine.hpp"
#include "hooks/store.hpp"

namespace bellstair::hooks {
namespace {
using namespace std::chrono_literals;
using Slice = RunSlice;

Spec spec(HookId id, const std::string& name = "h") {
  Spec out;
  out.id = id;
  out.name = name;
  out.phases[0] = true;
  return out;
}

// ---- circuit breaker

TEST(Breaker, OpensAfterConsecutiveFailuresAndClosesAfterTrials) {
  const Limits limits;
  Breaker breaker(limits);
  for (unsigned i = 1; i < limits.failure_threshold; ++i) EXPECT_FALSE(breaker.on_failure(1s));
  EXPECT_TRUE(breaker.admit(1s));
  EXPECT_TRUE(breaker.on_failure(1s));
  EXPECT_EQ(breaker.state(), Breaker::State::open);
  EXPECT_FALSE(breaker.admit(3s)) << "the machine has not been recreated yet";
  breaker.on_machine_renewed(true, 1s);
  EXPECT_FALSE(breaker.admit(1999ms));
  EXPECT_TRUE(breaker.admit(2s));
  EXPECT_FALSE(breaker.admit(2s)) << "one trial at a time";
  EXPECT_FALSE(breaker.on_success(2s));
  breaker.abandon_trial();
  for (unsigned i = 1; i < limits.success_threshold; ++i) {
    EXPECT_TRUE(breaker.admit(2s));
    EXPECT_EQ(breaker.on_success(2s), i + 1 == limits.success_threshold);
  }
  EXPECT_EQ(breaker.state(), Breaker::State::closed);
}

TEST(Breaker, OpenDurationDoublesWhileTrialsFailUpToItsLimit) {
  Limits limits;
  limits.max_open_duration = 5s;
  Breaker breaker(limits);
  Time now = 0s;
  for (unsigned i = 0; i < limits.failure_threshold; ++i) (void)breaker.on_failure(now);
  for (const Time duration : {1s, 2s, 4s, 5s, 5s}) {
    EXPECT_EQ(breaker.open_duration(), duration);
    breaker.on_machine_renewed(true, now);
    now += duration;
    ASSERT_TRUE(breaker.admit(now));
    EXPECT_TRUE(breaker.on_failure(now));
  }
}

TEST(Breaker, OpensWhenHalfOfTheCallsFailAndNotWhenAQuarterFails) {
  const Limits limits;
  Breaker half(limits), quarter(limits);
  bool opened = false;
  for (int i = 0; i < 64; ++i) {
    opened = (i % 2 == 0 ? half.on_failure(1s) : half.on_success(1s)) || opened;
    EXPECT_FALSE(i % 4 == 0 ? quarter.on_failure(1s) : quarter.on_success(1s));
  }
  EXPECT_TRUE(opened);
}

// ---- budget

TEST(Budget, LimitsAllHooksTogetherToTheirCpuShare) {
  Limits limits;
  limits.cpu_share = 0.1;
  Budget budget;
  budget.set_limits(limits);
  Time used{}, now = 100s;
  for (const Time end = now + 1s; now < end; now += 100us) {
    budget.begin_turn(now);
    while (budget.may_run(now)) {
      budget.charge(now, 1, 100us);
      used += 100us;
    }
  }
  EXPECT_GE(used, 99ms);
  EXPECT_LE(used, 100ms + limits.max_burst + 100us);
  EXPECT_GT(budget.next_available(now), now);
  EXPECT_LE(budget.next_available(now), now + 2ms);
}

TEST(Budget, LimitsTheCpuTimeOfOneTurn) {
  Budget budget;
  budget.set_limits({});
  budget.begin_turn(1s);
  int slices = 0;
  for (; budget.may_run(1s); ++slices) budget.charge(1s, 1, 100us);
  EXPECT_EQ(slices, 3);
  budget.begin_turn(1s + 1us);
  EXPECT_TRUE(budget.may_run(1s + 1us));
}

// ---- chain

TEST(Chain, CombinesLabelsAndTagsAndEndsAtTheFirstRejection) {
  Chain chain({1, 2, 3});
  RequestView subject;
  subject.ram = 1;
  chain.apply({5ms, 10.0, {}, {}, {"a", "b"}}, subject);
  EXPECT_EQ(chain.labelled_by(), 1U);
  chain.apply({{}, 20.0, true, 100ms, {"b", "c"}}, subject);
  EXPECT_FALSE(chain.next());
  EXPECT_EQ(chain.retry_after(), 100ms);
  EXPECT_EQ(chain.rejected_by(), 2U);
  EXPECT_EQ(subject.cpu, 5ms);
  EXPECT_EQ(subject.ram, 20);
  EXPECT_EQ(subject.tags, (std::vector<std::string>{"a", "b", "c"}));
}

TEST(Chain, RecordsFailedHooksAndAppliesOnFailure) {
  Chain chain({1, 2});
  auto strict = spec(2);
  strict.reject_on_failure = true;
  chain.on_failure(spec(1), HookFailureKind::error);
  EXPECT_EQ(chain.next(), 2U);
  chain.on_failure(strict, HookFailureKind::time);
  EXPECT_EQ(chain.retry_after(), strict.retry_after);
  ASSERT_EQ(chain.failures().size(), 2U);
  EXPECT_EQ(chain.failures()[1].failure, HookFailureKind::time);
}

TEST(Chain, MatchesByClassAndStatement) {
  Match match;
  RequestView subject;
  EXPECT_TRUE(matches(match, subject, ""));
  match.classes = {1};
  EXPECT_FALSE(matches(match, subject, ""));
  subject.cls = 1;
  match.contains = "archive_";
  EXPECT_TRUE(matches(match, subject, "SELECT 1 FROM archive_3.x"));
  EXPECT_FALSE(matches(match, subject, "SELECT 1"));
}

// ---- scheduler, with functions in place of Lua machines

class SchedulerHarness {
 public:
  explicit SchedulerHarness(std::vector<Spec> hooks, Limits limits = {})
      : scheduler({limits, std::move(hooks)}) {}
  // Executes commands until the scheduler requests no more at this time.
  void run_pending_slices() {
    for (int i = 0; i < 10000; ++i) {
      scheduler.begin_turn(now);
      scheduler.dispatch(now);
      if (scheduler.commands.empty()) return;
      for (const auto& command : std::exchange(scheduler.commands, {})) {
        if (std::holds_alternative<RenewMachine>(command)) ++renewed;
        if (std::holds_alternative<RetireMachine>(command)) ++retired;
        if (std::holds_alternative<AbortCall>(command)) ++aborted;
        const auto* run = std::get_if<RunSlice>(&command);
        if (run == nullptr) continue;
        SliceResult result;
        result.job = run->job;
        result.hook = run->hook;
        result.cpu = 1us;
        auto& script = scripts[run->hook];
        if (script) script(*run, result);
        now += result.cpu;
        scheduler.on_slice_result(now, result);
      }
    }
    FAIL() << "the scheduler keeps requesting commands";
  }
  void advance(Time time) {
    for (const Time end = now + time; now < end;) {
      now += 1ms;
      scheduler.tick(now);
      run_pending_slices();
    }
  }
  bool submit(Owner owner, std::uint16_t cls = 0) {
    RequestView subject;
    subject.cls = cls;
    const bool submitted = scheduler.submit(now, owner, subject, "SELECT 1");
    run_pending_slices();
    return submitted;
  }
  std::vector<HookCompletion> take_completions() { return std::exchange(scheduler.completions, {}); }

  static void run_endlessly(const Slice& run, SliceResult& result) {
    result.outcome = SliceResult::Outcome::yielded;
    result.cpu = run.slice;
  }
  static void fail_with_error(const Slice&, SliceResult& result) {
    result.outcome = SliceResult::Outcome::failed;
    result.failure = HookFailureKind::error;
    result.text = "no";
  }
  Time now = 1000s;
  std::unordered_map<HookId, std::function<void(const Slice&, SliceResult&)>> scripts;
  int renewed = 0, retired = 0, aborted = 0;
  HookScheduler scheduler;
};

TEST(HookScheduler, IgnoresRequestsThatNoHookMatches) {
  auto reports = spec(1);
  reports.match.classes = {1};
  SchedulerHarness harness({reports});
  EXPECT_FALSE(harness.submit(1, 0));
  EXPECT_TRUE(harness.submit(2, 1));
  EXPECT_EQ(harness.take_completions().size(), 1U);
}

TEST(HookScheduler, CallsHooksInTheirOrder) {
  auto late = spec(1, "late"), early = spec(2, "early");
  late.order = 10;
  SchedulerHarness harness({late, early});
  std::vector<HookId> called;
  for (const HookId id : {1U, 2U})
    harness.scripts[id] = [&called](const Slice& run, SliceResult&) { called.push_back(run.hook); };
  harness.submit(1);
  EXPECT_EQ(called, (std::vector<HookId>{2, 1}));
}

TEST(HookScheduler, AbortsEndlessCallsAndOpensTheBreaker) {
  SchedulerHarness harness({spec(1), spec(2, "other")});
  harness.scripts[1] = SchedulerHarness::run_endlessly;
  std::size_t ended = 0;
  for (Owner owner = 1; owner <= 20; ++owner) {
    harness.submit(owner);
    harness.advance(20ms);
    ended += harness.take_completions().size();
  }
  EXPECT_EQ(ended, 20U) << "each request continues without the hook";
  const auto status = harness.scheduler.status();
  EXPECT_EQ(status[0].state, Breaker::State::open);
  EXPECT_EQ(status[0].counts.limits_exceeded, 5U);
  EXPECT_EQ(status[0].counts.skipped, 15U);
  EXPECT_EQ(status[1].counts.calls, 20U) << "each request is passed to the other hook";
  EXPECT_EQ(harness.renewed, 1);
  EXPECT_EQ(harness.aborted, 5);
}

// Each call is limited by its own CPU time and older calls run first. So even when 1000 requests arrive at
// once, the first calls reach their limit and the breaker opens.
TEST(HookScheduler, RejectsAllWaitingRequestsWhenTheBreakerOpens) {
  auto strict = spec(1);
  strict.reject_on_failure = true;
  strict.wait_timeout = 10s;
  SchedulerHarness harness({strict, spec(2, "quick")});
  harness.scripts[1] = SchedulerHarness::run_endlessly;
  for (Owner owner = 1; owner <= 1000; ++owner) harness.submit(owner);
  harness.advance(100ms);
  const auto completions = harness.take_completions();
  EXPECT_EQ(completions.size(), 1000U);
  for (const auto& completion : completions) EXPECT_TRUE(completion.refused);
  EXPECT_EQ(harness.scheduler.status()[0].state, Breaker::State::open);
  EXPECT_EQ(harness.scheduler.jobs(), 0U);
  EXPECT_EQ(harness.scheduler.active_requests(), 0U);
}

TEST(HookScheduler, EndlessHookDoesNotDelayAShortOne) {
  auto endless = spec(1, "endless"), quick = spec(2, "quick");
  endless.match.classes = {1};
  quick.match.classes = {0};
  Limits limits;
  limits.failure_threshold = 1000;  // the breaker stays closed
  SchedulerHarness harness({endless, quick}, limits);
  harness.scripts[1] = SchedulerHarness::run_endlessly;
  for (Owner owner = 1; owner <= 50; ++owner) harness.submit(owner, 1);
  Time worst{};
  for (Owner owner = 100; owner < 200; ++owner) {
    harness.advance(1ms);
    harness.take_completions();
    const auto submitted_at = harness.now;
    harness.submit(owner, 0);
    while (harness.take_completions().empty()) harness.advance(1ms);
    worst = std::max(worst, harness.now - submitted_at);
  }
  EXPECT_LE(worst, 3ms);
}

// A wait timeout is not a failure of the hook, so it does not open the breaker.
TEST(HookScheduler, WaitTimeoutCompletesTheRequestWithoutAFailure) {
  auto slow = spec(1);
  slow.cpu_limit = 1s;
  slow.max_concurrent_calls = 1;
  SchedulerHarness harness({slow});
  harness.scripts[1] = SchedulerHarness::run_endlessly;
  for (Owner owner = 1; owner <= 10; ++owner) harness.submit(owner);
  harness.advance(60ms);
  EXPECT_EQ(harness.take_completions().size(), 10U);
  EXPECT_EQ(harness.scheduler.status()[0].counts.queue_timeouts, 10U);
  EXPECT_EQ(harness.scheduler.status()[0].counts.failures, 0U);
  EXPECT_EQ(harness.scheduler.status()[0].state, Breaker::State::closed);
}

TEST(HookScheduler, SubmittedRequestsFinishWithTheReplacedHooks) {
  auto first = spec(1), second = spec(2, "second");
  first.cpu_limit = second.cpu_limit = 1s;
  SchedulerHarness harness({first, second});
  bool yields = true;
  std::vector<HookId> called;
  harness.scripts[1] = [&](const Slice& run, SliceResult& result) {
    result.outcome = yields ? SliceResult::Outcome::yielded : SliceResult::Outcome::done,
    called.push_back(run.hook);
  };
  for (const HookId id : {2U, 11U})
    harness.scripts[id] = [&](const Slice& run, SliceResult&) { called.push_back(run.hook); };
  harness.scheduler.submit(harness.now, 1, {}, "SELECT 1");
  harness.scheduler.dispatch(harness.now);
  ASSERT_EQ(harness.scheduler.commands.size(), 1U);
  auto renewed = spec(11);
  renewed.digest = "new";
  harness.scheduler.install(harness.now, {{}, {renewed}});
  yields = false;
  harness.run_pending_slices();
  EXPECT_EQ(called, (std::vector<HookId>{1, 2}));
  EXPECT_EQ(harness.retired, 2);
  harness.submit(2);
  EXPECT_EQ(called.back(), 11U);
}

TEST(HookScheduler, BreakerClosesOnReloadOnlyIfTheScriptChanged) {
  for (const bool changed : {true, false}) {
    SchedulerHarness harness({spec(1)});
    harness.scripts[1] = SchedulerHarness::fail_with_error;
    for (Owner owner = 1; owner <= 5; ++owner) harness.submit(owner);
    ASSERT_EQ(harness.scheduler.status()[0].state, Breaker::State::open);
    auto reloaded = spec(2);
    if (changed) reloaded.digest = "changed";
    harness.scheduler.install(harness.now, {{}, {reloaded}});
    harness.take_completions();
    harness.submit(9);
    EXPECT_EQ(harness.scheduler.status()[0].counts.calls, changed ? 6U : 5U);
  }
}

TEST(HookScheduler, DropsCallsOfPhaseAnswerBeyondTheirLimit) {
  auto observer = spec(1);
  observer.phases = {false, true, false};
  observer.cpu_limit = 1s;
  SchedulerHarness harness({observer});
  harness.scripts[1] = SchedulerHarness::run_endlessly;
  for (int i = 0; i < 1000; ++i) harness.scheduler.notify_answer(harness.now, {}, "");
  EXPECT_EQ(harness.scheduler.jobs(), 256U);
  EXPECT_EQ(harness.scheduler.status()[0].counts.dropped, 744U);
}

TEST(HookScheduler, CancelledRequestEndsItsCall) {
  auto slow = spec(1);
  slow.cpu_limit = 1s;
  SchedulerHarness harness({slow});
  harness.scripts[1] = SchedulerHarness::run_endlessly;
  harness.scheduler.submit(harness.now, 1, {}, "SELECT 1");
  harness.run_pending_slices();
  ASSERT_EQ(harness.scheduler.jobs(), 1U);
  harness.scheduler.cancel(1);
  EXPECT_EQ(harness.scheduler.jobs(), 0U);
  harness.advance(100ms);
  EXPECT_TRUE(harness.take_completions().empty());
  EXPECT_EQ(harness.aborted, 1);
}

TEST(HookScheduler, TimerCallsFollowTheIntervalAndNeverOverlap) {
  auto timer = spec(1);
  timer.phases = {false, false, true};
  timer.timer_interval = 10ms;
  timer.cpu_limit = timer.wait_timeout = 10s;
  SchedulerHarness harness({timer});
  int calls = 0;
  harness.scripts[1] = [&](const Slice& run, SliceResult& result) {
    calls += run.first ? 1 : 0;
    result.outcome = calls > 5 ? SliceResult::Outcome::yielded : SliceResult::Outcome::done;
    result.cpu = run.slice;
  };
  harness.advance(35ms);
  EXPECT_GE(calls, 3);
  EXPECT_LE(calls, 4);
  harness.advance(200ms);
  EXPECT_EQ(calls, 6) << "the sixth has not ended";
}

// ---- store

TEST(Store, RemovesExpiredValuesAndRejectsNewOnesWhenFull) {
  Store store(4 * (Store::kEntryOverhead + 8));
  EXPECT_EQ(store.incr(1s, "k", 1, 10s), 1);
  EXPECT_EQ(store.incr(5s, "k", 2, 10s), 3);
  EXPECT_EQ(store.incr(11s, "k", 1, 10s), 1) << "the time to live starts at the first call";
  int stored = 0;
  for (int i = 0; i < 1000; ++i) stored += store.set(12s, "key" + std::to_string(i), 1.0, 10s) ? 1 : 0;
  EXPECT_EQ(stored, 3);
  EXPECT_EQ(store.incr(12s, "k", 1, 10s), 2) << "a full store still updates existing keys";
  EXPECT_TRUE(store.set(30s, "late", std::string("x"), 10s));
  EXPECT_EQ(store.size(), 1U);
  store.erase("late");
  EXPECT_EQ(store.bytes(), 0U);
}

// ---- Lua machine

const SettingNames kNames{{"lookup", "report"}, {"lycee-ennour"}, {"platform", "mysql"}};

struct ScriptedMachine {
  explicit ScriptedMachine(const std::string& source, std::size_t memory = 1 << 20) : store(16 << 10) {
    hook_spec.source = source;
    hook_spec.memory_limit = memory;
    machine = Machine::make(hook_spec, kNames, 1s, problem);
    if (machine) machine->set_store(&store);
  }
  // Calls the script for a request and runs at most `slices` slices until the call ends.
  SliceResult call(const std::string& statement = "SELECT 1", int slices = 1) {
    RunSlice run;
    run.job = ++last_job;
    run.first = true;
    run.slice = 100us;
    run.now = 1000s;
    run.subject.statement = std::make_shared<const std::string>(statement);
    run.subject.statement_size = statement.size();
    run.subject.tags = {"old"};
    auto result = machine->run(run);
    run.first = false;
    for (int i = 1; i < slices && result.outcome == SliceResult::Outcome::yielded; ++i)
      result = machine->run(run);
    if (result.outcome == SliceResult::Outcome::yielded) machine->abort(run.job);
    return result;
  }
  Spec hook_spec = spec(1);
  Store store;
  std::string problem;
  std::unique_ptr<Machine> machine;
  JobId last_job = 0;
};

TEST(Machine, ScriptReadsTheRequestAndReturnsADecision) {
  ScriptedMachine s(R"(function on_request(r)
    local n = state.incr("seen", 60)
    log("call " .. n)
    if string.contains(r.statement, "archive_") then return {refuse = 500} end
    return {cpu = 12.5, ram = n, second = true, tags = {r.class, r.tenant, r.front, r.tags[1]}}
  end)");
  ASSERT_EQ(s.problem, "");
  auto result = s.call();
  ASSERT_EQ(result.outcome, SliceResult::Outcome::done) << result.text;
  EXPECT_EQ(result.decision.cpu, 12500us);
  EXPECT_EQ(result.decision.ram, 1.0);
  EXPECT_EQ(result.decision.second, true);
  EXPECT_EQ(result.decision.tags, (std::vector<std::string>{"lookup", "lycee-ennour", "platform", "old"}));
  EXPECT_EQ(result.log_lines, std::vector<std::string>{"call 1"});
  EXPECT_EQ(s.call("SELECT 1 FROM archive_9.x").decision.refuse, 500ms);
  EXPECT_EQ(s.call().decision.ram, 3.0);
}

// An endless script would block the event loop. Each of these calls must end, fail or yield within a slice.
TEST(Machine, EndlessScriptsYieldOrFail) {
  for (const char* body : {
           "while true do end",
           "local function f() return f() end f()",
           "while true do pcall(error, 'x') end",
           "local function f() while true do end end while true do pcall(f) end",
           "local t = {} for i = 1, 3000 do t[i] = i end table.sort(t, function(a, b) while true do end end)",
           "local t = {} for i = 1, 3000 do t[i] = -i end while true do table.sort(t, function(a, b) return "
           "true end) end",
           "local t = {1} while true do table.insert(t, 1, 2) table.remove(t, 1) end",
           "table.move({}, 1, 1 << 60, 2)",
           "table.concat({}, '', -(1 << 60), -1)",
           "local s = string.rep('a', 60000) while true do local x = s:upper() .. s end",
           "local s = string.rep('a', 30000) while true do string.contains(s, s .. 'b') end",
           "local a = string.rep('a', 60000) local b = string.rep('a', 60000) while true do local x = a .. "
           "'x' == b .. 'x' end",
           "while true do local t = {} for i = 1, 100 do t[i] = {} end end",
           "for k in pairs({1}) do while true do end end",
           "for x in function() return 1 end do end",
           "goto on ::on:: goto on",
       }) {
    ScriptedMachine s("function on_request(r) " + std::string(body) + " end");
    ASSERT_EQ(s.problem, "") << body;
    const auto result = s.call("SELECT 1", 20);
    const bool yielded_or_failed =
        result.outcome == SliceResult::Outcome::yielded || result.outcome == SliceResult::Outcome::failed;
    EXPECT_TRUE(yielded_or_failed) << body;
    // The machine remains usable: another call starts.
    EXPECT_NE(s.call("SELECT 1", 2).failure, HookFailureKind::circuit_open) << body;
  }
}

// Slow instructions could exceed the slice between two checks, so the clock is read before 100 of them have
// run.
TEST(Machine, ChecksTheClockEarlyForSlowInstructions) {
  ScriptedMachine s(
      "function on_request(r) local s = string.rep('a', 60000) while true do local x = s .. s end end");
  Slice run;
  run.job = 1;
  run.first = true;
  run.slice = 1us;
  const auto result = s.machine->run(run);
  EXPECT_EQ(result.outcome, SliceResult::Outcome::yielded);
  EXPECT_EQ(result.instructions, 0U);
}

TEST(Machine, LimitsTheMemoryOfAnyScript) {
  for (const char* body : {
           "local t = {} while true do t[#t + 1] = {} end",
           "local s = 'x' while true do s = s .. s end",
           "local t = {} for i = 1, 1e9 do t['k' .. i] = i end",
           "local function f(n) return 1 + f(n + 1) end f(1)",
           "all = all or {} for i = 1, 1e9 do all[#all + 1] = r.statement .. i end",
           "local t = {} while true do if not pcall(function() t[#t + 1] = string.rep('x', 1000) .. #t end) "
           "then error('full') end end",
           "return table.unpack({}, 1, 1e6)",
           "string.rep('', 1 << 60)",
           "local t = {} for i = 1, 150 do t[i] = string.rep('y', 60000) end string.format(string.rep('%s', "
           "150), table.unpack(t))",
       }) {
    ScriptedMachine s("function on_request(r) " + std::string(body) + " end");
    ASSERT_EQ(s.problem, "") << body;
    const auto result = s.call("SELECT 1", 200000);
    EXPECT_EQ(result.outcome, SliceResult::Outcome::failed) << body;
    EXPECT_LE(s.machine->memory_peak(), std::size_t{1} << 20) << body;
  }
}

TEST(Machine, FullStateFailsTheCallAndStopsGrowing) {
  ScriptedMachine s("function on_request(r) for i = 1, 1e9 do state.set('k' .. i, 'v', 60) end end");
  const auto result = s.call("SELECT 1", 100000);
  EXPECT_EQ(result.failure, HookFailureKind::error);
  EXPECT_NE(result.text.find("the state is full"), std::string::npos);
  EXPECT_LE(s.store.bytes(), 16U << 10);
}

TEST(Machine, SandboxHasNoUnsafeFunctions) {
  for (const char* name : {"io", "os", "package", "require", "debug", "coroutine", "load", "loadstring",
                           "dofile", "loadfile", "collectgarbage", "print", "xpcall", "setmetatable",
                           "getmetatable", "string.find", "string.gsub", "string.dump"}) {
    ScriptedMachine s("function on_request(r) if " + std::string(name) +
                      " == nil then return {ram = 7} end end");
    EXPECT_EQ(s.call().decision.ram, 7.0) << name;
  }
}

TEST(Machine, InvalidDecisionsAreFailures) {
  for (const char* decision : {"1", "{cpu = -1}", "{ram = 'much'}", "{refuse = 1e12}", "{tags = 'x'}",
                               "{tags = {''}}", "{tags = {'a b'}}", "{cpu = 0/0}"}) {
    ScriptedMachine s("function on_request(r) return " + std::string(decision) + " end");
    EXPECT_EQ(s.call().failure, HookFailureKind::invalid_decision) << decision;
  }
}

TEST(Machine, ReplacedLibraryFunctionsBehaveLikeTheOriginals) {
  ScriptedMachine s(R"(function on_request(r)
    local t = {5, 3, 9, 1, 7, 2}
    table.sort(t)
    assert(table.concat(t, ",") == "1,2,3,5,7,9")
    table.sort(t, function(a, b) return a > b end)
    assert(table.concat(t, "", 2, 4) == "753" and table.concat({}) == "" and table.concat({1}) == "1")
    table.insert(t, 1, 0) table.insert(t, 8)
    assert(t[1] == 0 and t[8] == 8 and #t == 8)
    assert(table.remove(t, 1) == 0 and table.remove(t) == 8 and #t == 6 and t[6] == 1 and table.remove({}) == nil)
    table.move(t, 1, 3, 2)
    assert(t[1] == 9 and t[2] == 9 and t[3] == 7 and t[4] == 5)
    assert(select("#", table.unpack({1, 2, 3})) == 3)
    assert(not pcall(table.insert, t, 99, 1) and not pcall(table.concat, {1, {}, 3}))
    assert(("x"):rep(3, "-") == "x-x-x" and ("Ab"):upper() == "AB" and string.starts("abc", "ab") and string.ends("abc", "bc"))
    return {ram = 1}
  end)");
  const auto result = s.call("SELECT 1", 100);
  EXPECT_EQ(result.outcome, SliceResult::Outcome::done) << result.text;
}

TEST(Machine, RequestObjectFailsAfterItsCallHasEnded) {
  ScriptedMachine s(R"(function on_request(r)
    if old then local fine, why = pcall(function() return old.class end) return {tags = {fine and "seen" or "over"}} end
    old = r
    r = nil
    for i = 1, 20000 do local t = {i} end
  end)");
  EXPECT_EQ(s.call("SELECT 1", 1000).outcome, SliceResult::Outcome::done);
  EXPECT_EQ(s.call().decision.tags, std::vector<std::string>{"over"});
  ScriptedMachine releases("function on_request(r) r = nil for i = 1, 20000 do local t = {i} end end");
  EXPECT_EQ(releases.call("SELECT 1", 1000).outcome, SliceResult::Outcome::done);
  ScriptedMachine misspelt("function on_request(r) return r.tenat end");
  EXPECT_NE(misspelt.call().text.find("there is no field 'tenat'"), std::string::npos);
}

TEST(Machine, ReportsWhyAScriptCannotBeLoaded) {
  EXPECT_NE(ScriptedMachine("function on_request(r").problem.find("expected"), std::string::npos);
  EXPECT_NE(ScriptedMachine("x = 1").problem.find("defines no function 'on_request'"), std::string::npos);
  EXPECT_EQ(ScriptedMachine("while true do end").problem, "it took too long to load");
  EXPECT_NE(ScriptedMachine("state.set('a', 1, 1) function on_request(r) end")
                .problem.find("while the script is being loaded"),
            std::string::npos);
  ScriptedMachine fails("function on_request(r) return r.nothing.x end");
  EXPECT_NE(fails.machine->dry_run().find("on_request: it failed"), std::string::npos);
}

}  // namespace
}  // namespace bellstair::hooks
