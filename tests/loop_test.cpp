// The control loop, against sequences worked out by hand from U(m) = U(m-1) + g (E(m) - r E(m-1)), with
// g = -0.80 in tenths of the pool, r = 0.30, E in wait aims, and a wait aim of 0.30 of the latency aim.
#include <gtest/gtest.h>

#include "bench.hpp"

namespace bellstair::policy::test {
namespace {

Settings loop_settings() {
  Settings s = basic_settings();
  s.kinds = {{"one", 10, 0}};  // pool of one engine and one gateway: 20 threads
  s.classes.resize(1);
  s.classes[0].latency_objective = 100s;  // wait aim 30 s
  s.classes[0].objective_stretch = 10;    // nothing is given up while the loop is watched
  s.classes[0].client_timeout = 1000s;
  s.max_attempts = 1;
  return s;
}

TEST(ControlLoop, AClassThatDoesNotWaitFallsToOneQuerysThreads) {
  Settings s = loop_settings();
  s.classes[0].threads = 2;
  SchedulerHarness harness(s);
  harness.set_endpoints({engine(7)});
  harness.run_until(harness.now + 10s);
  EXPECT_DOUBLE_EQ(harness.scheduler.class_status(0).budget, 2);
  EXPECT_DOUBLE_EQ(harness.scheduler.thread_pool(), 20);
}

TEST(ControlLoop, QueriesStillWaitingShowInTheMeasure) {
  SchedulerHarness harness(loop_settings());
  harness.set_endpoints({engine(7)});
  harness.set_endpoints({with_state(engine(7), EngineState::draining)}, EndpointListKind::delta);
  harness.submit(1, 0, 500s);
  harness.run_until(harness.now + 60s);
  // Nothing is ready: the pool is 0, budgets stay at the least. Then the engine comes back with 20 threads,
  // and a query taken long ago has waited past the aim.
  EXPECT_DOUBLE_EQ(harness.scheduler.class_status(0).budget, 1);
  EXPECT_DOUBLE_EQ(harness.scheduler.thread_pool(), 0);
}

TEST(ControlLoop, FollowsTheFormula) {
  Settings s = loop_settings();
  s.kinds[0].cores = 10;
  SchedulerHarness harness(s);
  // One engine whose every slot is taken by this class, with more queries held behind: E falls below 0.
  harness.set_endpoints({engine(7)});
  for (RequestId id = 1; id <= 21; ++id) harness.submit(id, 0, 900s);
  ASSERT_EQ(harness.scheduler.class_status(0).queued, 1U) << "20 threads of the pool, and one held";
  // Period m ends at 2 s x m; one query is held since 0 s, so its wait is 2m seconds.
  // Period 1 also holds the 20 that went at once: mean wait 2 / 21.
  const double pool = 20, gain = -0.8 * pool / 10;
  double u = 1, before = 0;
  for (int m = 1; m <= 25; ++m) {
    harness.handle(harness.now, {AttemptProgress{1, 0, 7, ProgressKind::spill,
                                                 1}});  // a word, so that the engine is not taken for silent
    harness.run_until(100s + std::chrono::milliseconds(2000 * m + 19));
    const double wait = m == 1 ? 2.0 / 21 : 2.0 * m;
    const double error = (30 - wait) / 30;
    u = std::clamp(u + gain * (error - 0.3 * before), 1.0, pool);
    before = error;
    EXPECT_NEAR(harness.scheduler.class_status(0).budget, u, 1e-6) << "period " << m;
  }
  EXPECT_GT(u, 1.0) << "the sequence must leave the lower bound";
}

// Two classes, both waiting: the first takes what it asks for, the second what is left; once the sum passed
// the pool, each starts from what it got, not from what it asked for.
TEST(ControlLoop, BudgetsFillByRankAndSaturationStartsFromWhatAClassGot) {
  Settings s = loop_settings();
  s.classes.push_back(s.classes[0]);
  s.classes[1].latency_objective = 101s;  // ranks second; wait aim 30.3 s
  SchedulerHarness harness(s);
  harness.set_endpoints({engine(7)});
  for (RequestId id = 1; id <= 21; ++id) harness.submit(id, 0, 900s);
  harness.submit(22, 1, 900s);
  const double pool = 20, gain = -1.6, aims[] = {30, 30.3};
  double u[] = {1, 1}, got[] = {1, 1}, before[] = {0, 0};
  bool saturated_once = false;
  for (int m = 1; m <= 36; ++m) {
    harness.handle(harness.now, {AttemptProgress{1, 0, 7, ProgressKind::spill, 1}});
    harness.run_until(100s + std::chrono::milliseconds(2000 * m + 19));
    const bool saturated = u[0] + u[1] > pool;
    saturated_once = saturated_once || saturated;
    for (int c = 0; c < 2; ++c) {
      const double wait = m == 1 && c == 0 ? 2.0 / 21 : 2.0 * m;
      const double error = (aims[c] - wait) / aims[c];
      u[c] = std::clamp((saturated ? got[c] : u[c]) + gain * (error - 0.3 * before[c]), 1.0, pool);
      before[c] = error;
    }
    got[0] = std::min(u[0], pool);
    got[1] = std::max(1.0, std::min(u[1], pool - got[0]));
    for (ClassIndex c = 0; c < 2; ++c)
      EXPECT_NEAR(harness.scheduler.class_status(c).budget, got[c], 1e-6) << "period " << m << " class " << c;
  }
  EXPECT_TRUE(saturated_once);
}

TEST(ControlLoop, ALostEngineChangesThePoolAtOnce) {
  SchedulerHarness harness(loop_settings());
  harness.set_endpoints({engine(7), engine(8)});
  EXPECT_DOUBLE_EQ(harness.scheduler.thread_pool(), 40);
  harness.set_endpoints({with_state(engine(8), EngineState::gone)}, EndpointListKind::delta);
  EXPECT_DOUBLE_EQ(harness.scheduler.thread_pool(), 20);
}

TEST(Release, TheShorterObjectiveGoesFirstAndThenTheWeight) {
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

TEST(Determinism, SameEventsSameActions) {
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
