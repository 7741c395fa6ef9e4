// The thread budget controller, against sequences computed from U(m) = U(m-1) + g (E(m) - r E(m-1)), with
// g = -0.80 in tenths of the pool, r = 0.30, E in wait objectives, and a wait objective of 0.30 of the
// latency objective.
#include <gtest/gtest.h>

#include "bench.hpp"

namespace bellstair::policy::test {
namespace {

Settings controller_settings() {
  Settings s = basic_settings();
  s.kinds = {{"one", 10, 0}};  // pool of one engine and one broker: 20 threads
  s.classes.resize(1);
  s.classes[0].latency_objective = 100s;  // wait objective 30 s
  s.classes[0].objective_stretch = 10;    // no request is rejected during the test
  s.classes[0].client_timeout = 1000s;
  s.max_attempts = 1;
  return s;
}

TEST(ThreadBudgetController, LowersBudgetOfIdleClassToOneQuery) {
  Settings s = controller_settings();
  s.classes[0].threads = 2;
  SchedulerHarness harness(s);
  harness.set_endpoints({engine(7)});
  harness.run_until(harness.now + 10s);
  EXPECT_DOUBLE_EQ(harness.scheduler.class_status(0).budget, 2);
  EXPECT_DOUBLE_EQ(harness.scheduler.thread_pool(), 20);
}

TEST(ThreadBudgetController, KeepsMinimumBudgetWithoutReadyEngine) {
  SchedulerHarness harness(controller_settings());
  harness.set_endpoints({engine(7)});
  harness.set_endpoints({with_state(engine(7), EngineState::draining)}, EndpointListKind::delta);
  harness.submit(1, 0, 500s);
  harness.run_until(harness.now + 60s);
  // No engine is ready: the pool is 0 instead of 20 threads, and the budget stays at its minimum although a
  // query has waited past the objective.
  EXPECT_DOUBLE_EQ(harness.scheduler.class_status(0).budget, 1);
  EXPECT_DOUBLE_EQ(harness.scheduler.thread_pool(), 0);
}

TEST(ThreadBudgetController, FollowsControlEquation) {
  Settings s = controller_settings();
  s.kinds[0].cores = 10;
  SchedulerHarness harness(s);
  // This class uses all threads of the one engine and has another query queued, so E falls below 0.
  harness.set_endpoints({engine(7)});
  for (RequestId id = 1; id <= 21; ++id) harness.submit(id, 0, 900s);
  ASSERT_EQ(harness.scheduler.class_status(0).queued, 1U)
      << "20 run on the threads of the pool, and one is queued";
  // Period m ends at 2 s x m; one query is queued since 0 s, so its wait is 2m seconds.
  // Period 1 also counts the 20 that were sent at once: mean wait 2 / 21.
  const double pool = 20, gain = -0.8 * pool / 10;
  double output = 1, last_error = 0;
  for (int m = 1; m <= 25; ++m) {
    // Progress, so that the engine does not count as silent.
    harness.handle(harness.now, {AttemptProgress{1, 0, 7, ProgressKind::spill, 1}});
    harness.run_until(100s + std::chrono::milliseconds(2000 * m + 19));
    const double wait = m == 1 ? 2.0 / 21 : 2.0 * m;
    const double error = (30 - wait) / 30;
    output = std::clamp(output + gain * (error - 0.3 * last_error), 1.0, pool);
    last_error = error;
    EXPECT_NEAR(harness.scheduler.class_status(0).budget, output, 1e-6) << "period " << m;
  }
  EXPECT_GT(output, 1.0) << "the sequence must leave the lower bound";
}

// Two classes with queued queries: the first in rank is granted its output, the second the rest of the pool.
// Once the outputs exceed the pool, the next ones start from the budgets granted, not from the last outputs.
TEST(ThreadBudgetController, DividesPoolByRankAndLimitsWindup) {
  Settings s = controller_settings();
  s.classes.push_back(s.classes[0]);
  s.classes[1].latency_objective = 101s;  // ranks second; wait objective 30.3 s
  SchedulerHarness harness(s);
  harness.set_endpoints({engine(7)});
  for (RequestId id = 1; id <= 21; ++id) harness.submit(id, 0, 900s);
  harness.submit(22, 1, 900s);
  const double pool = 20, gain = -1.6, objectives[] = {30, 30.3};
  double output[] = {1, 1}, granted[] = {1, 1}, last_error[] = {0, 0};
  bool saturated_once = false;
  for (int m = 1; m <= 36; ++m) {
    harness.handle(harness.now, {AttemptProgress{1, 0, 7, ProgressKind::spill, 1}});
    harness.run_until(100s + std::chrono::milliseconds(2000 * m + 19));
    const bool saturated = output[0] + output[1] > pool;
    saturated_once = saturated_once || saturated;
    for (int c = 0; c < 2; ++c) {
      const double wait = m == 1 && c == 0 ? 2.0 / 21 : 2.0 * m;
      const double error = (objectives[c] - wait) / objectives[c];
      output[c] =
          std::clamp((saturated ? granted[c] : output[c]) + gain * (error - 0.3 * last_error[c]), 1.0, pool);
      last_error[c] = error;
    }
    granted[0] = std::min(output[0], pool);
    granted[1] = std::max(1.0, std::min(output[1], pool - granted[0]));
    for (ClassIndex c = 0; c < 2; ++c)
      EXPECT_NEAR(harness.scheduler.class_status(c).budget, granted[c], 1e-6)
          << "period " << m << " class " << c;
  }
  EXPECT_TRUE(saturated_once);
}

TEST(ThreadBudgetController, RemovedEngineShrinksPoolAtOnce) {
  SchedulerHarness harness(controller_settings());
  harness.set_endpoints({engine(7), engine(8)});
  EXPECT_DOUBLE_EQ(harness.scheduler.thread_pool(), 40);
  harness.set_endpoints({with_state(engine(8), EngineState::gone)}, EndpointListKind::delta);
  EXPECT_DOUBLE_EQ(harness.scheduler.thread_pool(), 20);
}

TEST(Scheduler, SendsShortestObjectiveFirstThenHighestWeight) {
  Settings s = basic_settings();
  s.kinds = {{"one", 0.5, 0}};  // one thread
  s.classes.resize(3);
  s.classes[0].latency_objective = 2s;
  s.classes[1].latency_objective = 1s;
  s.classes[2].latency_objective = 1s;
  s.classes[1].idempotency = s.classes[2].idempotency = Idempotency::idempotent;
  s.classes[2].priority_weight = 5;
  SchedulerHarness harness(s);
  harness.set_endpoints({engine(7)});
  for (RequestId id = 1; id <= 4; ++id) harness.submit(id, 0);
  const auto filled = harness.sent.size();
  ASSERT_LT(filled, 4U);
  harness.submit(11, 1);
  harness.submit(12, 2);
  ASSERT_EQ(harness.sent.size(), filled);
  for (RequestId id = 1; id <= 4 && harness.sent.size() < filled + 2; ++id) {
    if (harness.attempts_of(id) > 0) harness.complete_attempt(id, 0, 7, AttemptResult::served);
  }
  ASSERT_GT(harness.sent.size(), filled);
  EXPECT_EQ(harness.sent[filled].request, 12U);
}

TEST(Scheduler, SameEventsGiveSameActions) {
  const auto run = [] {
    SchedulerHarness harness(basic_settings(), 99);
    harness.set_endpoints({engine(3), engine(4), engine(5)});
    for (RequestId id = 1; id <= 30; ++id) {
      harness.submit(id, static_cast<ClassIndex>(id % 3));
      harness.run_until(harness.now + 30ms);
    }
    std::vector<std::pair<RequestId, EngineId>> out;
    for (const auto& s : harness.sent) out.emplace_back(s.request, s.engine);
    return out;
  };
  EXPECT_EQ(run(), run());
}

}  // namespace
}  // namespace bellstair::policy::test
