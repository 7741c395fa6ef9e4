#include <gtest/gtest.h>

#include <cmath>

#include "bench.hpp"

namespace bellstair::policy::test {
namespace {

constexpr ClassIndex kQuick = 0, kOnce = 1, kKeyed = 2;

// ---- one final answer, before the deadline --------------------------------------------------------------

TEST(Scheduler, RejectsQueuedRequestThatMissesItsObjective) {
  SchedulerHarness harness(basic_settings());
  harness.set_endpoints({});
  harness.submit(1, kQuick);
  harness.run_until(harness.now + 900ms);
  EXPECT_EQ(harness.rejected[1], 1);
  harness.run_until(harness.now + 6s);
  EXPECT_EQ(harness.unserved_count(1), 1);
}

TEST(Scheduler, RejectsUnsentRequestBeforeShortDeadline) {
  SchedulerHarness harness(basic_settings());
  harness.set_endpoints({});
  harness.submit(1, kOnce, 200ms);
  harness.run_until(harness.now + 200ms);
  EXPECT_EQ(harness.rejected[1], 1) << "no attempt ran, so even a non-idempotent request may be rejected";
}

TEST(Scheduler, FailsNonIdempotentRequestInFlightBeforeDeadline) {
  SchedulerHarness harness(basic_settings());
  harness.set_endpoints({engine(7)});
  harness.submit(1, kOnce, 1s);
  ASSERT_EQ(harness.attempts_of(1), 1);
  EXPECT_LT(harness.sent[0].give_up_at, harness.now + 1s);
  harness.run_until(harness.now + 1s);
  EXPECT_EQ(harness.failed[1], 1);
  EXPECT_EQ(harness.rejected[1], 0);
  harness.complete_attempt(1, 0, 7, AttemptResult::cancelled);
  harness.run_until(harness.now + 3s);
  EXPECT_EQ(harness.unserved_count(1), 1);
  EXPECT_EQ(harness.attempts_of(1), 1);
}

TEST(Scheduler, FreesThreadsOnLateOutcomeOfClosedRequest) {
  SchedulerHarness harness(basic_settings());
  harness.set_endpoints({engine(7)});
  harness.submit(1, kQuick);
  ASSERT_EQ(harness.scheduler.class_status(kQuick).running, 1U);
  harness.handle(harness.now, {RequestCancelled{1}});
  EXPECT_EQ(harness.scheduler.class_status(kQuick).running, 1U) << "the engine may still be running it";
  harness.complete_attempt(1, 0, 7, AttemptResult::error);
  harness.complete_attempt(1, 0, 7, AttemptResult::error);
  EXPECT_EQ(harness.scheduler.class_status(kQuick).running, 0U);
  EXPECT_EQ(harness.unserved_count(1), 0);
  EXPECT_EQ(harness.attempts_of(1), 1);
}

TEST(Scheduler, RejectsRequestOfUnknownClass) {
  SchedulerHarness harness(basic_settings());
  harness.set_endpoints({engine(7)});
  harness.submit(1, 99);
  EXPECT_EQ(harness.rejected[1], 1);
}

// ---- retries without duplicate effects --------------------------------------------------------------------

class RetryAfterOutcome : public ::testing::TestWithParam<std::pair<AttemptResult, bool>> {};

TEST_P(RetryAfterOutcome, RetriesNonIdempotentRequestOnlyIfItNeverRan) {
  const auto [result, retried] = GetParam();
  SchedulerHarness harness(basic_settings());
  harness.set_endpoints({engine(7), engine(8)});
  harness.submit(1, kOnce);
  ASSERT_EQ(harness.attempts_of(1), 1);
  harness.complete_attempt(1, 0, harness.sent[0].engine, result);
  harness.run_until(harness.now + 300ms);
  EXPECT_EQ(harness.attempts_of(1), retried ? 2 : 1);
  EXPECT_EQ(harness.failed[1], retried ? 0 : 1);
  EXPECT_EQ(harness.rejected[1], 0);
}

INSTANTIATE_TEST_SUITE_P(AllOutcomes, RetryAfterOutcome,
                         ::testing::Values(std::pair{AttemptResult::rejected, true},
                                           std::pair{AttemptResult::connect_failed, true},
                                           std::pair{AttemptResult::not_started, true},
                                           std::pair{AttemptResult::error, false},
                                           std::pair{AttemptResult::timed_out, false},
                                           std::pair{AttemptResult::reset, false},
                                           std::pair{AttemptResult::cancelled, false}));

TEST(RetryRules, RetriesKeyedRequestOnlyInItsZoneIfItMayHaveRun) {
  SchedulerHarness harness(basic_settings());
  harness.set_endpoints({engine(7, 0)});
  harness.submit(1, kKeyed);
  harness.set_endpoints({engine(7, 0), engine(8, 1)});
  harness.complete_attempt(1, 0, 7, AttemptResult::error);
  harness.run_until(harness.now + 300ms);
  ASSERT_EQ(harness.attempts_of(1), 2);
  EXPECT_EQ(harness.sent.back().engine, 7U);
}

TEST(RetryRules, DoesNotRetryKeyedRequestAfterItsWindow) {
  for (const bool late : {false, true}) {
    SchedulerHarness harness(basic_settings());
    harness.set_endpoints({engine(7, 0)});
    harness.submit(1, kKeyed);
    harness.run_until(harness.now + (late ? 2000ms : 1900ms));
    harness.complete_attempt(1, 0, 7, AttemptResult::error);
    EXPECT_EQ(harness.attempts_of(1), late ? 1 : 2);
    EXPECT_EQ(harness.failed[1], late ? 1 : 0) << "a rejection would promise that a retry is safe";
  }
}

TEST(RetryRules, RetriesOnlyAfterCancellationIsConfirmed) {
  Settings s = basic_settings();
  s.progress_interval = 500ms;
  SchedulerHarness harness(s);
  harness.set_endpoints({engine(7), engine(8)});
  harness.submit(1, kQuick);
  ASSERT_EQ(harness.attempts_of(1), 1);
  harness.run_until(harness.now + 3s);  // without progress it is cancelled, but no outcome arrives yet
  ASSERT_FALSE(harness.cancelled.empty());
  EXPECT_EQ(harness.attempts_of(1), 1);
  harness.complete_attempt(1, 0, harness.sent[0].engine, AttemptResult::cancelled);
  EXPECT_EQ(harness.attempts_of(1), 2);
}

TEST(RetryRules, StopsAtMaxAttempts) {
  SchedulerHarness harness(basic_settings());
  harness.set_endpoints({engine(7), engine(8), engine(9), engine(10)});
  harness.submit(1, kQuick);
  for (AttemptIndex n = 0; n < 3; ++n) {
    ASSERT_EQ(harness.attempts_of(1), n + 1);
    harness.complete_attempt(1, n, harness.sent.back().engine, AttemptResult::timed_out);
  }
  EXPECT_EQ(harness.attempts_of(1), 3);
  EXPECT_EQ(harness.rejected[1], 1);
}

// ---- draining -------------------------------------------------------------------------------------------

TEST(SendRules, SendsNothingToDrainingGoneOrUnlistedEngines) {
  SchedulerHarness harness(basic_settings());
  harness.set_endpoints({engine(7), engine(8), engine(9), engine(10)});
  harness.set_endpoints(
      {with_state(engine(7), EngineState::draining), with_state(engine(8), EngineState::gone)},
      EndpointListKind::delta);
  harness.set_endpoints({}, EndpointListKind::failed);
  for (RequestId id = 1; id <= 4; ++id) harness.submit(id, kQuick);
  EXPECT_EQ(harness.attempts_to(7) + harness.attempts_to(8), 0);
  harness.set_endpoints({engine(9)});
  for (RequestId id = 5; id <= 7; ++id) harness.submit(id, kQuick);
  EXPECT_EQ(harness.attempts_to(10), 2);
  EXPECT_EQ(harness.attempts_to(9), 5);
}

TEST(SendRules, SendsToEngineThatIsListedAgain) {
  SchedulerHarness harness(basic_settings());
  harness.set_endpoints({engine(7)}, EndpointListKind::cached);
  harness.set_endpoints({with_state(engine(7), EngineState::gone)}, EndpointListKind::delta);
  harness.submit(1, kQuick);
  EXPECT_EQ(harness.attempts_of(1), 0);
  harness.set_endpoints({engine(7)}, EndpointListKind::delta);
  EXPECT_EQ(harness.attempts_of(1), 1);
}

// ---- slow start -----------------------------------------------------------------------------------------

// Many brokers with different seeds and request rates, and one engine that has just started.
struct SlowStartByManyBrokers : ::testing::TestWithParam<unsigned> {
  static constexpr double kWork = 0.5;  // core-seconds of a query by the initial estimate: half the objective
  // Runs the brokers. Returns the core-seconds sent to the new engine, by time.
  static std::map<Time, double> run_brokers(unsigned count, std::uint64_t seed) {
    Settings s = basic_settings();
    s.brokers = count;
    std::vector<SchedulerHarness> brokers;
    for (unsigned i = 0; i < s.brokers; ++i) {
      s.broker_index = i;
      brokers.emplace_back(s, seed + i);
      auto new_engine = engine(7);
      new_engine.started_at = brokers.back().now - 1s;
      brokers.back().set_endpoints({new_engine});
    }
    std::map<Time, double> work;
    RequestId id = 0;
    for (int step = 0; step < 300; ++step) {
      for (unsigned i = 0; i < s.brokers; ++i) {
        auto& harness = brokers[i];
        if (step % (1 + i % 7) == 0) {
          harness.submit(++id, kQuick);
          const bool sent = harness.attempts_of(id) > 0;
          if (sent && harness.sent.back().engine == 7) work[harness.now] += kWork;
          if (sent) harness.complete_attempt(id, 0, harness.sent.back().engine, AttemptResult::served, 500ms);
        }
        const auto before = harness.sent.size();
        harness.run_until(harness.now + 20ms);
        for (auto n = before; n < harness.sent.size(); ++n)
          work[harness.now] += harness.sent[n].engine == 7 ? kWork : 0;
      }
    }
    return work;
  }
  static double sum(const std::map<Time, double>& work, Time from) {
    double out = 0;
    for (const auto& [at, w] : work) out += at >= from && at < from + 2s ? w : 0;
    return out;
  }
  static double budget(Time from) {
    const double capacity = 0.4 + 0.6 * std::chrono::duration<double>(from + 1s - 100s).count() / 10;
    return 2.5 * capacity * 0.85 * 4 * 2;
  }
};

TEST_P(SlowStartByManyBrokers, SendsSomeWorkButNotMoreThanTheBudget) {
  const auto work = run_brokers(GetParam(), 1000);
  double total = 0;
  for (const auto& [from, w] : work) {
    EXPECT_LE(sum(work, from), budget(from));
    total += w;
  }
  EXPECT_GT(total, 2) << "the engine must not stay idle";
}

INSTANTIATE_TEST_SUITE_P(FewAndMany, SlowStartByManyBrokers, ::testing::Values(3U, 60U));

// The brokers may exceed a budget of N queries only by a tolerance for chance of 2 sqrt(N) + 2, whatever
// their number and seeds.
TEST(SlowStart, StaysWithinToleranceForTwentyAndThirtyBrokers) {
  for (const unsigned count : {20U, 30U}) {
    for (std::uint64_t seed = 1000; seed < 9000; seed += 1000) {
      const auto work = SlowStartByManyBrokers::run_brokers(count, seed);
      for (const auto& [from, unused] : work) {
        const double n = SlowStartByManyBrokers::budget(from) / SlowStartByManyBrokers::kWork;
        EXPECT_LE(SlowStartByManyBrokers::sum(work, from) / SlowStartByManyBrokers::kWork,
                  n + 2 * std::sqrt(n) + 2)
            << count << " " << seed;
      }
    }
  }
}

TEST(SlowStart, DoesNotLimitEngineAfterWarmUp) {
  Settings s = basic_settings();
  SchedulerHarness harness(s);
  auto warm = engine(7);
  warm.started_at = harness.now - 10s;
  harness.set_endpoints({warm});
  for (RequestId id = 1; id <= 8; ++id) harness.submit(id, kQuick);
  EXPECT_EQ(harness.attempts_to(7), 8);
}

// ---- order, placement, retry budget ---------------------------------------------------------------------

TEST(OrderingKeys, SendsOneRequestPerKeyAndBlocksKeyAfterTimeout) {
  Settings s = basic_settings();
  s.classes[kQuick].ordered_by_key = true;
  s.ordering_key_hold = 300ms;
  s.max_attempts = 1;
  SchedulerHarness harness(s);
  harness.set_endpoints({engine(7), engine(8)});
  harness.submit(1, kQuick, 5s, 42);
  harness.submit(2, kQuick, 5s, 42);
  harness.submit(3, kQuick, 5s, 43);
  harness.submit(4, kQuick, 5s, 0);
  EXPECT_EQ(harness.attempts_of(1), 1);
  EXPECT_EQ(harness.attempts_of(2), 0);
  EXPECT_EQ(harness.attempts_of(3), 1);
  EXPECT_EQ(harness.attempts_of(4), 1);
  const Time ended_at = harness.now;
  harness.complete_attempt(1, 0, harness.sent[0].engine, AttemptResult::timed_out);
  harness.run_until(ended_at + 280ms);
  EXPECT_EQ(harness.attempts_of(2), 0);
  harness.run_until(ended_at + 320ms);
  EXPECT_EQ(harness.attempts_of(2), 1);
}

// An attempt that may still run at its engine blocks its ordering key for longer than the settings require.
TEST(OrderingKeys, BlocksKeyWhileAttemptMayStillRun) {
  Settings s = basic_settings();
  s.classes[kQuick].ordered_by_key = true;
  s.classes[kQuick].latency_objective = 20s;  // allows a long time in the queue
  for (const auto result : {AttemptResult::cancelled, AttemptResult::error}) {
    SchedulerHarness harness(s);
    harness.set_endpoints({engine(7), engine(8)});
    harness.submit(1, kQuick, 60s, 42);
    harness.submit(2, kQuick, 60s, 42);
    harness.handle(harness.now, {RequestCancelled{1}});
    AttemptOutcome o;
    o.request = 1;
    o.engine = harness.sent[0].engine;
    o.result = result;
    o.may_run_for = 2s;
    const Time ended_at = harness.now;
    harness.handle(harness.now, {o});
    harness.run_until(ended_at + 1980ms);
    EXPECT_EQ(harness.attempts_of(2), 0);
    harness.run_until(ended_at + 2020ms);
    EXPECT_EQ(harness.attempts_of(2), 1);
  }
}

// Without hedging, a statement must not run at two engines. After a connection was reset, a statement was
// sent to a second engine while it still ran at the first, for the 2.3 s that its outcome had reported.
TEST(SendRules, WaitsForAttemptThatMayStillRunWithoutHedging) {
  Settings s = basic_settings();
  for (const bool hedging : {true, false}) {
    for (const bool long_objective : {true, false}) {
      s.hedging = hedging;
      s.classes[kQuick].latency_objective = long_objective ? 20s : 1s;  // limits its time in the queue
      SchedulerHarness harness(s);
      harness.set_endpoints({engine(7), engine(8)});
      harness.submit(1, kQuick, 60s);
      harness.submit(2, kQuick, 60s);
      AttemptOutcome o;
      o.request = 1;
      o.engine = harness.sent[0].engine;
      o.result = AttemptResult::reset;
      o.may_run_for = 2s;
      const Time ended_at = harness.now;
      harness.handle(harness.now, {o});
      EXPECT_EQ(harness.attempts_of(1), hedging ? 2 : 1);
      EXPECT_EQ(harness.unserved_count(1), hedging || long_objective ? 0 : 1)
          << "a request that can't wait is rejected at once";
      harness.submit(3, kQuick, 60s);
      EXPECT_EQ(harness.attempts_of(3), 1) << "requests queued behind it do not wait";
      harness.run_until(ended_at + 1980ms);
      EXPECT_EQ(harness.attempts_of(1), hedging ? 2 : 1);
      harness.run_until(ended_at + 2020ms);
      EXPECT_EQ(harness.attempts_of(1), hedging || long_objective ? 2 : 1);
    }
  }
}

TEST(OrderingKeys, ClosedRequestBlocksKeyWhileAttemptIsInFlight) {
  Settings s = basic_settings();
  s.classes[kQuick].ordered_by_key = true;
  SchedulerHarness harness(s);
  harness.set_endpoints({engine(7)});
  harness.submit(1, kQuick, 5s, 42);
  harness.submit(2, kQuick, 5s, 42);
  harness.handle(harness.now, {RequestCancelled{1}});
  EXPECT_EQ(harness.attempts_of(2), 0);
  harness.complete_attempt(1, 0, 7, AttemptResult::error);
  EXPECT_EQ(harness.attempts_of(2), 1);
}

TEST(SendRules, AppliesPlacementToRetriesAndIfNoEngineIsAllowed) {
  Settings s = basic_settings();
  s.classes[kQuick].zones = {{1}};
  s.classes[kQuick].kinds = {{1}};
  SchedulerHarness harness(s);
  harness.set_endpoints({engine(7, 1, 0), engine(8, 0, 1), engine(9, 1, 1), engine(10, 1, 1)});
  harness.submit(1, kQuick);
  harness.complete_attempt(1, 0, harness.sent.back().engine, AttemptResult::timed_out);
  harness.complete_attempt(1, 1, harness.sent.back().engine, AttemptResult::timed_out);
  EXPECT_EQ(harness.attempts_of(1), 3);
  EXPECT_EQ(harness.attempts_to(7) + harness.attempts_to(8), 0);
  harness.set_endpoints({engine(7, 1, 0), engine(8, 0, 1)});
  harness.submit(2, kQuick);
  harness.run_until(harness.now + 2s);
  EXPECT_EQ(harness.attempts_of(2), 0);
  EXPECT_EQ(harness.unserved_count(2), 1);
}

TEST(RetryBudgetLimiter, CountsRetriesAgainstRequestsInWindow) {
  Settings s = basic_settings();
  s.retry_budget = RetryBudget{10s, 1, 0.2};
  SchedulerHarness harness(s);
  harness.set_endpoints({engine(7), engine(8), engine(9), engine(10)});
  const auto retried = [&harness](RequestId id) {
    harness.submit(id, kQuick);
    const auto first = harness.sent.back();
    if (first.request != id) return false;
    const auto before = harness.sent.size();
    harness.complete_attempt(id, 0, first.engine, AttemptResult::rejected);
    harness.run_until(harness.now + 400ms);
    const bool sent_again = harness.sent.size() > before;
    if (sent_again) harness.complete_attempt(id, 1, harness.sent.back().engine, AttemptResult::served);
    return sent_again;
  };
  EXPECT_TRUE(retried(1));   // 1 <= 1 + 0.2
  EXPECT_FALSE(retried(2));  // 2 >  1 + 0.4
  EXPECT_FALSE(retried(3));
  EXPECT_FALSE(retried(4));
  EXPECT_TRUE(retried(5));  // 2 <= 1 + 1.0
  EXPECT_FALSE(retried(6));
  harness.run_until(harness.now + 11s);
  EXPECT_TRUE(retried(7)) << "the window has passed";
}

// ---- settings -------------------------------------------------------------------------------------------

TEST(SettingsCheck, NamesInvalidField) {
  Settings s = basic_settings();
  s.brokers = 0;
  try {
    Scheduler scheduler(s, 1);
    FAIL();
  } catch (const std::invalid_argument& error) {
    EXPECT_NE(std::string(error.what()).find("balancers"), std::string::npos);
  }
  s = basic_settings();
  s.classes[0].latency_objective = 0s;
  EXPECT_THROW(Scheduler(s, 1), std::invalid_argument);
  s = basic_settings();
  s.kinds.clear();
  EXPECT_THROW(Scheduler(s, 1), std::invalid_argument);
}

TEST(SettingsCheck, AllowsMissingOptionalSettings) {
  Settings s;
  s.classes = {basic_settings().classes[0]};
  s.kinds = {{"one", 1, 0}};
  SchedulerHarness harness(s);
  auto new_engine = engine(7);
  new_engine.started_at = harness.now;
  harness.set_endpoints({new_engine});
  harness.submit(1, 0);
  EXPECT_EQ(harness.attempts_of(1), 1);
}

}  // namespace
}  // namespace bellstair::policy::test
