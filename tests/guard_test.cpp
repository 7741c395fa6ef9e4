// Tests the guard's rules on admission, attempts, rejections and closing of connections, and the counters.
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
    start.request = 1;
    start.expires_at = 100s;
    start.endpoint = &engine;
  }
  // Returns the decision at 50 s on a request that had one attempt at 49 s.
  GuardDecision decide_after_attempt(bool may_be_running = false, bool proven_not_run = false) {
    const Guard::PriorAttempt prior{{49s, 0, 0, proven_not_run}, may_be_running};
    start.prior = {&prior, 1};
    const auto decision = guard.may_start_attempt(start, 50s);
    start.prior = {};
    return decision;
  }
  policy::Settings settings;
  Guard guard{settings};
  policy::Endpoint engine;
  Guard::AttemptStart start;
};

TEST_F(GuardTest, FirstAttemptNeedsAReadyEngine) {
  EXPECT_EQ(guard.may_start_attempt(start, 50s), GuardDecision::allowed);
  for (const auto state : {EngineState::draining, EngineState::gone}) {
    engine.state = state;
    EXPECT_EQ(guard.may_start_attempt(start, 50s), GuardDecision::engine_not_ready);
  }
  start.endpoint = nullptr;
  EXPECT_EQ(guard.may_start_attempt(start, 50s), GuardDecision::engine_not_ready);
}

TEST_F(GuardTest, RejectsAttemptsWhenNoClientWaits) {
  EXPECT_EQ(guard.may_start_attempt(start, 100s), GuardDecision::attempt_expired);
  start.client_disconnected = true;
  EXPECT_EQ(guard.may_start_attempt(start, 50s), GuardDecision::client_disconnected);
  start.answered = true;
  EXPECT_EQ(guard.may_start_attempt(start, 50s), GuardDecision::already_answered);
}

TEST_F(GuardTest, RetryRulesDependOnTheClass) {
  auto& cls = settings.classes[0];
  EXPECT_EQ(decide_after_attempt(), GuardDecision::allowed) << "a retry is safe";
  cls.idempotency = policy::Idempotency::not_idempotent;
  EXPECT_EQ(decide_after_attempt(), GuardDecision::retry_forbidden);
  EXPECT_EQ(decide_after_attempt(false, true), GuardDecision::allowed) << "the attempt never ran";
  cls.idempotency = policy::Idempotency::keyed;
  EXPECT_EQ(decide_after_attempt(), GuardDecision::allowed) << "within the deduplication window";
  cls.deduplication_window = 1s;
  EXPECT_EQ(decide_after_attempt(), GuardDecision::retry_forbidden) << "the deduplication window has passed";
  cls.deduplication_window = 2s;
  cls.deduplication_scope = DeduplicationScope::zone;
  engine.zone = 1;
  EXPECT_EQ(decide_after_attempt(), GuardDecision::retry_forbidden)
      << "another zone does not deduplicate the retry";
  cls.deduplication_scope = DeduplicationScope::cell;
  EXPECT_EQ(decide_after_attempt(), GuardDecision::allowed) << "the same cell";
  engine.cell = 1;
  EXPECT_EQ(decide_after_attempt(), GuardDecision::retry_forbidden);
}

TEST_F(GuardTest, WithoutHedgingAttemptsRunOneAtATime) {
  EXPECT_EQ(decide_after_attempt(true), GuardDecision::allowed);
  settings.hedging = false;
  EXPECT_EQ(decide_after_attempt(true), GuardDecision::hedging_forbidden);
  EXPECT_EQ(decide_after_attempt(false), GuardDecision::allowed);
}

TEST_F(GuardTest, RequestsOfAnOrderingKeyRunOneAtATime) {
  settings.classes[0].ordered_by_key = true;
  start.ordering_key = 42;
  guard.attempt_started(42, 7);
  EXPECT_EQ(guard.may_start_attempt(start, 50s), GuardDecision::ordering_key_in_use);
  start.request = 7;
  EXPECT_EQ(guard.may_start_attempt(start, 50s), GuardDecision::allowed)
      << "another attempt of the same request";
  start.request = 1;
  guard.attempt_ended(42, 7, 52s);
  EXPECT_EQ(guard.may_start_attempt(start, 51s), GuardDecision::ordering_key_in_use)
      << "the attempt may still run";
  guard.remove_idle_keys(51s);
  EXPECT_EQ(guard.may_start_attempt(start, 51s), GuardDecision::ordering_key_in_use);
  EXPECT_EQ(guard.may_start_attempt(start, 52s), GuardDecision::allowed);
  guard.remove_idle_keys(52s);
  EXPECT_EQ(guard.may_start_attempt(start, 51s), GuardDecision::allowed);
  guard.attempt_started(42, 7);
  start.ordering_key = 43;
  EXPECT_EQ(guard.may_start_attempt(start, 51s), GuardDecision::allowed) << "another key";
}

TEST_F(GuardTest, RejectsRequestsBeyondTheAdmissionLimits) {
  settings.max_open_requests = 3;
  EXPECT_EQ(guard.may_admit({Phase::draining, 2, true, false}), GuardDecision::allowed);
  EXPECT_EQ(guard.may_admit({Phase::serving, 3, true, false}), GuardDecision::too_many_requests);
  EXPECT_EQ(guard.may_admit({Phase::serving, 0, false, false}), GuardDecision::memory_exhausted);
  EXPECT_EQ(guard.may_admit({Phase::serving, 0, true, true}), GuardDecision::ticket_in_use);
  EXPECT_EQ(guard.may_admit({Phase::stopping, 0, true, false}), GuardDecision::shutting_down);
}

TEST_F(GuardTest, RejectsOnlyIfARetryIsSafe) {
  auto& cls = settings.classes[0];
  EXPECT_TRUE(guard.may_reject(0, false));
  cls.idempotency = policy::Idempotency::not_idempotent;
  EXPECT_FALSE(guard.may_reject(0, false));
  EXPECT_TRUE(guard.may_reject(0, true));
  cls.idempotency = policy::Idempotency::keyed;
  EXPECT_TRUE(guard.may_reject(0, false));
  cls.deduplication_scope = DeduplicationScope::zone;
  EXPECT_FALSE(guard.may_reject(0, false));
}

TEST_F(GuardTest, ClosesAConnectionOnlyWithoutUnansweredRequests) {
  EXPECT_TRUE(Guard::may_close(0, false));
  EXPECT_FALSE(Guard::may_close(1, false));
  EXPECT_FALSE(Guard::may_close(0, true)) << "the unread input may be a request";
}

TEST(Counters, PrintsNamesOfNonzeroCounts) {
  Counters counters;
  EXPECT_EQ(counters.text(), "counters: violations=0");
  counters.admitted = 3;
  counters.answered[static_cast<std::size_t>(AnswerKind::rejected)] = 2;
  counters.unserved[static_cast<std::size_t>(policy::UnservedReason::too_big)] = 2;
  counters.attempts_denied[static_cast<std::size_t>(GuardDecision::ordering_key_in_use)] = 1;
  counters.attempts[static_cast<std::size_t>(AttemptEnd::cancelled)] = 1;
  counters.violations[static_cast<std::size_t>(Violation::late_answer)] = 1;
  EXPECT_EQ(counters.text(),
            "counters: violations=1 violation.late_answer=1 taken=3 answered.refused=2 unserved.too_big=2 "
            "attempt.withdrawn=1 withheld.key_in_use=1");
}

// A late answer is sent, and counted as a violation.
TEST(Counters, LateAnswerIsCountedAsAViolation) {
  Reducer reducer(test::small_settings(), 1);
  Effects effects;
  const Time start = 1'700'000'000s;
  reducer.reduce(start, ListenersReady{}, effects);
  reducer.reduce(start, EndpointUpdate{true, {test::endpoint_record(7)}, true}, effects);
  reducer.reduce(start, Tick{}, effects);
  Submission submission;
  submission.client = 1;
  submission.time_limit = 1s;
  reducer.reduce(start + 10ms, RequestReceived{submission}, effects);
  reducer.reduce(start + 3s, Tick{}, effects);
  EXPECT_EQ(test::all_of<Answer>(effects).size(), 1U);
  EXPECT_EQ(reducer.counters().total_violations(), 1U);
  EXPECT_EQ(reducer.counters().admitted, 1U);
}

}  // namespace
}  // namespace bellstair::core
