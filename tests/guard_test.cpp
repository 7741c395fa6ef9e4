// The guard: what may be taken, sent, sent again, refused and closed, by the state of the moment.
#include "core/guard.hpp"

#include <gtest/gtest.h>

#include "core/counters.hpp"
#include "small_core.hpp"

namespace bellstair::core {
namespace {
using namespace std::chrono_literals;
using policy::DeduplicationScope;
using policy::EngineState;
using policy::Idempotency;

class GuardTest : public ::testing::Test {
 protected:
  GuardTest() {
    settings = test::small_settings();
    settings.hedging = true;
    settings.classes[0].deduplication_window = 2s;
    sending.request = 1;
    sending.until = 100s;
    sending.engine = &engine;
  }
  // As it is at 50 s, after one attempt at 49 s.
  Verdict after_one(bool running = false, bool unrun = false) {
    const Guard::Earlier one{{49s, 0, 0, unrun}, running};
    sending.earlier = {&one, 1};
    const auto verdict = guard.may_send(sending, 50s);
    sending.earlier = {};
    return verdict;
  }
  policy::Settings settings;
  Guard guard{settings};
  policy::Endpoint engine;
  Guard::Sending sending;
};

TEST_F(GuardTest, AFirstAttemptMayGoToAnEngineThatIsReady) {
  EXPECT_EQ(guard.may_send(sending, 50s), Verdict::allowed);
  for (const auto state : {EngineState::draining, EngineState::gone}) {
    engine.state = state;
    EXPECT_EQ(guard.may_send(sending, 50s), Verdict::engine_not_ready);
  }
  sending.engine = nullptr;
  EXPECT_EQ(guard.may_send(sending, 50s), Verdict::engine_not_ready);
}

TEST_F(GuardTest, NothingIsSentForWhomNobodyWaits) {
  EXPECT_EQ(guard.may_send(sending, 100s), Verdict::too_late);
  sending.client_gone = true;
  EXPECT_EQ(guard.may_send(sending, 50s), Verdict::client_gone);
  sending.answered = true;
  EXPECT_EQ(guard.may_send(sending, 50s), Verdict::answered);
}

TEST_F(GuardTest, RepeatsGoByTheClass) {
  auto& cls = settings.classes[0];
  EXPECT_EQ(after_one(), Verdict::allowed) << "safe";
  cls.idempotency = policy::Idempotency::not_idempotent;
  EXPECT_EQ(after_one(), Verdict::repeat_forbidden);
  EXPECT_EQ(after_one(false, true), Verdict::allowed) << "it never ran";
  cls.idempotency = policy::Idempotency::keyed;
  EXPECT_EQ(after_one(), Verdict::allowed) << "within the window";
  cls.deduplication_window = 1s;
  EXPECT_EQ(after_one(), Verdict::repeat_forbidden) << "the window is over";
  cls.deduplication_window = 2s;
  cls.deduplication_scope = DeduplicationScope::zone;
  engine.zone = 1;
  EXPECT_EQ(after_one(), Verdict::repeat_forbidden) << "that zone does not drop it";
  cls.deduplication_scope = DeduplicationScope::cell;
  EXPECT_EQ(after_one(), Verdict::allowed) << "the same cell";
  engine.cell = 1;
  EXPECT_EQ(after_one(), Verdict::repeat_forbidden);
}

TEST_F(GuardTest, WithoutSecondCopiesNothingStandsBesideWhatMayRun) {
  EXPECT_EQ(after_one(true), Verdict::allowed);
  settings.hedging = false;
  EXPECT_EQ(after_one(true), Verdict::another_running);
  EXPECT_EQ(after_one(false), Verdict::allowed);
}

TEST_F(GuardTest, RequestsOfOneKeyRunOneAtATime) {
  settings.classes[0].ordered_by_key = true;
  sending.order_key = 42;
  guard.sent(42, 7);
  EXPECT_EQ(guard.may_send(sending, 50s), Verdict::key_in_use);
  sending.request = 7;
  EXPECT_EQ(guard.may_send(sending, 50s), Verdict::allowed) << "its own further attempt";
  sending.request = 1;
  guard.ended(42, 7, 52s);
  EXPECT_EQ(guard.may_send(sending, 51s), Verdict::key_in_use) << "it may run on";
  guard.forget(51s);
  EXPECT_EQ(guard.may_send(sending, 51s), Verdict::key_in_use);
  EXPECT_EQ(guard.may_send(sending, 52s), Verdict::allowed);
  guard.forget(52s);
  EXPECT_EQ(guard.may_send(sending, 51s), Verdict::allowed);
  guard.sent(42, 7);
  sending.order_key = 43;
  EXPECT_EQ(guard.may_send(sending, 51s), Verdict::allowed) << "another key";
}

TEST_F(GuardTest, WhatIsTakenIsBounded) {
  settings.max_open_requests = 3;
  EXPECT_EQ(guard.may_take({Phase::draining, 2, true, false}), Verdict::allowed);
  EXPECT_EQ(guard.may_take({Phase::serving, 3, true, false}), Verdict::too_many_open);
  EXPECT_EQ(guard.may_take({Phase::serving, 0, false, false}), Verdict::no_memory);
  EXPECT_EQ(guard.may_take({Phase::serving, 0, true, true}), Verdict::ticket_in_use);
  EXPECT_EQ(guard.may_take({Phase::stopping, 0, true, false}), Verdict::stopping);
}

TEST_F(GuardTest, ARefusalIsTrue) {
  auto& cls = settings.classes[0];
  EXPECT_TRUE(guard.may_refuse(0, false));
  cls.idempotency = policy::Idempotency::not_idempotent;
  EXPECT_FALSE(guard.may_refuse(0, false));
  EXPECT_TRUE(guard.may_refuse(0, true));
  cls.idempotency = policy::Idempotency::keyed;
  EXPECT_TRUE(guard.may_refuse(0, false));
  cls.deduplication_scope = DeduplicationScope::zone;
  EXPECT_FALSE(guard.may_refuse(0, false));
}

TEST_F(GuardTest, AConnectionIsClosedOnlyWithNothingOwedOnIt) {
  EXPECT_TRUE(Guard::may_close(0, false));
  EXPECT_FALSE(Guard::may_close(1, false));
  EXPECT_FALSE(Guard::may_close(0, true)) << "a request may have come";
}

TEST(Counters, NameWhatTheyCount) {
  Counters counters;
  EXPECT_EQ(counters.text(), "counters: violations=0");
  counters.taken = 3;
  counters.answered[static_cast<std::size_t>(AnswerKind::rejected)] = 2;
  counters.unserved[static_cast<std::size_t>(policy::UnservedReason::too_big)] = 2;
  counters.withheld[static_cast<std::size_t>(Verdict::key_in_use)] = 1;
  counters.attempts[static_cast<std::size_t>(AttemptEnd::cancelled)] = 1;
  counters.violations[static_cast<std::size_t>(Violation::late_answer)] = 1;
  EXPECT_EQ(counters.text(),
            "counters: violations=1 violation.late_answer=1 taken=3 answered.refused=2 unserved.too_big=2 "
            "attempt.withdrawn=1 withheld.key_in_use=1");
}

// An answer that comes after the loop stood still is still given, and counted as a fault.
TEST(Counters, AnAnswerAfterItsDeadlineIsCountedAsAViolation) {
  Reducer reducer(test::small_settings(), 1);
  Effects effects;
  const Time start = 1'700'000'000s;
  reducer.reduce(start, ListenersReady{}, effects);
  reducer.reduce(start, EndpointUpdate{true, {test::member(7)}, true}, effects);
  reducer.reduce(start, Tick{}, effects);
  Submission asked;
  asked.client = 1;
  asked.time_limit = 1s;
  reducer.reduce(start + 10ms, RequestReceived{asked}, effects);
  reducer.reduce(start + 3s, Tick{}, effects);
  EXPECT_EQ(test::all_of<Answer>(effects).size(), 1U);
  EXPECT_EQ(reducer.counters().all_violations(), 1U);
  EXPECT_EQ(reducer.counters().taken, 1U);
}

}  // namespace
}  // namespace bellstair::core
