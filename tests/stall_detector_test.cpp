// When a stall is noticed, and what it means for what is read after it.
#include "app/stall_detector.hpp"

#include <gtest/gtest.h>

namespace bellstair::app {
namespace {
using namespace std::chrono_literals;

constexpr auto kStart = 1000s;

// As the loop goes: a poll every 5 ms, after which it may act.
void run(StallDetector& detector, StallDetector::Time from, int turns) {
  for (int turn = 0; turn < turns; ++turn) {
    detector.polled(from + turn * 5ms);
    EXPECT_FALSE(detector.must_poll_again(from + turn * 5ms + 1ms));
  }
}

TEST(StallDetector, WhatIsReadInAUsualTurnHasJustCome) {
  StallDetector detector;
  run(detector, kStart, 100);
  EXPECT_EQ(detector.earliest_arrival(kStart + 496ms), kStart + 496ms);
  EXPECT_FALSE(detector.take_stall().has_value());
}

TEST(StallDetector, AfterAStallInItsSleepTheLoopPollsAgainBeforeItDecides) {
  StallDetector detector;
  run(detector, kStart, 1);
  const auto awake = kStart + 800ms;
  detector.polled(awake);
  EXPECT_EQ(detector.earliest_arrival(awake), kStart) << "it may have come just after the last poll";
  const auto stall = detector.take_stall();
  ASSERT_TRUE(stall.has_value());
  EXPECT_EQ(stall->since, kStart);
  EXPECT_EQ(stall->length, 800ms);
  // An interrupted poll comes back at once and has seen nothing: it takes time, too.
  auto now = StallDetector::Time(awake);
  for (int poll = 1; poll < StallDetector::kMaxPolls - 1; ++poll) {
    EXPECT_TRUE(detector.must_poll_again(now)) << poll;
    detector.polled(now);
    EXPECT_EQ(detector.earliest_arrival(now), kStart) << poll;
  }
  detector.polled(now += StallDetector::kMinRecovery);
  EXPECT_EQ(detector.earliest_arrival(now), kStart) << "read in the turn that acts";
  EXPECT_FALSE(detector.must_poll_again(now)) << "and then it acts";
  detector.polled(now += 5ms);
  EXPECT_EQ(detector.earliest_arrival(now), now);
  EXPECT_FALSE(detector.take_stall().has_value()) << "told once";
}

// Stopped, let go on for a moment, and stopped again.
TEST(StallDetector, AStallThatGoesOnIsToldWithItsWholeLength) {
  StallDetector detector;
  run(detector, kStart, 1);
  detector.polled(kStart + 1500ms);
  ASSERT_TRUE(detector.take_stall().has_value());
  EXPECT_TRUE(detector.must_poll_again(kStart + 1501ms));
  detector.polled(kStart + 2500ms);
  const auto stall = detector.take_stall();
  ASSERT_TRUE(stall.has_value());
  EXPECT_EQ(stall->since, kStart);
  EXPECT_EQ(stall->length, 2500ms);
  EXPECT_EQ(detector.earliest_arrival(kStart + 2500ms), kStart);
}

// The process was stopped between reading and acting.
TEST(StallDetector, AfterAStallInATurnTheLoopPollsAgainBeforeItDecides) {
  StallDetector detector;
  run(detector, kStart, 2);
  detector.polled(kStart + 10ms);
  const auto awake = kStart + 500ms;
  EXPECT_TRUE(detector.must_poll_again(awake));
  ASSERT_TRUE(detector.take_stall().has_value());
  detector.polled(awake + 1ms);
  EXPECT_LE(detector.earliest_arrival(awake + 1ms), kStart + 10ms);
  detector.polled(awake + StallDetector::kMinRecovery + 1ms);
  EXPECT_TRUE(detector.must_poll_again(awake + StallDetector::kMinRecovery + 1ms)) << "too few polls";
  for (int poll = 0; poll < StallDetector::kMinPolls; ++poll)
    detector.polled(awake + StallDetector::kMinRecovery + 2ms);
  EXPECT_FALSE(detector.must_poll_again(awake + StallDetector::kMinRecovery + 2ms));
}

// Turns that each take long must not keep the loop from acting.
TEST(StallDetector, ALoopThatIsAlwaysSlowActsAllTheSame) {
  StallDetector detector;
  auto now = StallDetector::Time(kStart);
  int acted = 0;
  for (int turn = 0; turn < 100; ++turn) {
    detector.polled(now += 5ms);
    if (detector.must_poll_again(now)) continue;
    ++acted;
    now += 200ms;
  }
  EXPECT_GE(acted, 20);
}

// Events that are decided in `turns` turns, whose reading takes `reading` each, calling record_activity() after
// each `step` of it; one event takes 1 ms, and no more than 50 come in a turn.
int events_of(int turns, StallDetector::Time reading, StallDetector::Time step) {
  StallDetector detector;
  auto now = StallDetector::Time(kStart);
  int events = 0;
  for (int turn = 0; turn < turns; ++turn) {
    detector.polled(now);
    for (StallDetector::Time read{}; read < reading; read += step) detector.record_activity(now += step);
    for (int event = 0; event < 50 && !detector.must_poll_again(now); ++event, ++events) now += 1ms;
  }
  return events;
}

// A flood must not keep the loop from deciding: what is read late is better than what is never decided.
TEST(StallDetector, ALoopWhoseReadingAlwaysTakesLongDecidesAllTheSame) {
  for (const StallDetector::Time reading : {10ms, 60ms, 150ms, 400ms})
    EXPECT_EQ(events_of(100, reading, 1ms), 100 * 50) << reading / 1ms << " ms";
}

// Nor must want of processor time, which looks like a stop in each turn.
TEST(StallDetector, AProcessThatIsStoppedAgainAndAgainDecidesAllTheSame) {
  EXPECT_GE(events_of(100, 90ms, 90ms), 10 * 50);
}

}  // namespace
}  // namespace bellstair::app
