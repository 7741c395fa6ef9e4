// When a stall is noticed, and what it means for what is read after it.
#include "app/stall_watch.hpp"

#include <gtest/gtest.h>

namespace bellstair::app {
namespace {
using namespace std::chrono_literals;

constexpr auto kStart = 1000s;

// As the loop goes: a look every 5 ms, after which it may act.
void run(StallWatch& watch, StallWatch::Time from, int turns) {
  for (int turn = 0; turn < turns; ++turn) {
    watch.looked(from + turn * 5ms);
    EXPECT_FALSE(watch.look_again(from + turn * 5ms + 1ms));
  }
}

TEST(StallWatch, WhatIsReadInAUsualTurnHasJustCome) {
  StallWatch watch;
  run(watch, kStart, 100);
  EXPECT_EQ(watch.came_after(kStart + 496ms), kStart + 496ms);
  EXPECT_FALSE(watch.take_stall().has_value());
}

TEST(StallWatch, AfterAStallInItsSleepTheLoopLooksAgainBeforeItActs) {
  StallWatch watch;
  run(watch, kStart, 1);
  const auto awake = kStart + 800ms;
  watch.looked(awake);
  EXPECT_EQ(watch.came_after(awake), kStart) << "it may have come just after the last look";
  const auto stall = watch.take_stall();
  ASSERT_TRUE(stall.has_value());
  EXPECT_EQ(stall->since, kStart);
  EXPECT_EQ(stall->length, 800ms);
  // An interrupted look comes back at once and has seen nothing: it takes time, too.
  auto now = StallWatch::Time(awake);
  for (int look = 1; look < StallWatch::kMaxLooks - 1; ++look) {
    EXPECT_TRUE(watch.look_again(now)) << look;
    watch.looked(now);
    EXPECT_EQ(watch.came_after(now), kStart) << look;
  }
  watch.looked(now += StallWatch::kSettle);
  EXPECT_EQ(watch.came_after(now), kStart) << "read in the turn that acts";
  EXPECT_FALSE(watch.look_again(now)) << "and then it acts";
  watch.looked(now += 5ms);
  EXPECT_EQ(watch.came_after(now), now);
  EXPECT_FALSE(watch.take_stall().has_value()) << "told once";
}

// Stopped, let go on for a moment, and stopped again.
TEST(StallWatch, AStallThatGoesOnIsToldWithItsWholeLength) {
  StallWatch watch;
  run(watch, kStart, 1);
  watch.looked(kStart + 1500ms);
  ASSERT_TRUE(watch.take_stall().has_value());
  EXPECT_TRUE(watch.look_again(kStart + 1501ms));
  watch.looked(kStart + 2500ms);
  const auto stall = watch.take_stall();
  ASSERT_TRUE(stall.has_value());
  EXPECT_EQ(stall->since, kStart);
  EXPECT_EQ(stall->length, 2500ms);
  EXPECT_EQ(watch.came_after(kStart + 2500ms), kStart);
}

// The process was stopped between reading and acting.
TEST(StallWatch, AfterAStallInATurnTheLoopLooksAgainBeforeItActs) {
  StallWatch watch;
  run(watch, kStart, 2);
  watch.looked(kStart + 10ms);
  const auto awake = kStart + 500ms;
  EXPECT_TRUE(watch.look_again(awake));
  ASSERT_TRUE(watch.take_stall().has_value());
  watch.looked(awake + 1ms);
  EXPECT_LE(watch.came_after(awake + 1ms), kStart + 10ms);
  watch.looked(awake + StallWatch::kSettle + 1ms);
  EXPECT_TRUE(watch.look_again(awake + StallWatch::kSettle + 1ms)) << "too few looks";
  for (int look = 0; look < StallWatch::kLooks; ++look) watch.looked(awake + StallWatch::kSettle + 2ms);
  EXPECT_FALSE(watch.look_again(awake + StallWatch::kSettle + 2ms));
}

// Turns that each take long must not keep the loop from acting.
TEST(StallWatch, ALoopThatIsAlwaysSlowActsAllTheSame) {
  StallWatch watch;
  auto now = StallWatch::Time(kStart);
  int acted = 0;
  for (int turn = 0; turn < 100; ++turn) {
    watch.looked(now += 5ms);
    if (watch.look_again(now)) continue;
    ++acted;
    now += 200ms;
  }
  EXPECT_GE(acted, 20);
}

// Events that are decided in `turns` turns, whose reading takes `reading` each, with a mark after each `step`
// of it; one event takes 1 ms, and no more than 50 come in a turn.
int events_of(int turns, StallWatch::Time reading, StallWatch::Time step) {
  StallWatch watch;
  auto now = StallWatch::Time(kStart);
  int events = 0;
  for (int turn = 0; turn < turns; ++turn) {
    watch.looked(now);
    for (StallWatch::Time read{}; read < reading; read += step) watch.mark(now += step);
    for (int event = 0; event < 50 && !watch.look_again(now); ++event, ++events) now += 1ms;
  }
  return events;
}

// A flood must not keep the loop from deciding: what is read late is better than what is never decided.
TEST(StallWatch, ALoopWhoseReadingAlwaysTakesLongDecidesAllTheSame) {
  for (const StallWatch::Time reading : {10ms, 60ms, 150ms, 400ms})
    EXPECT_EQ(events_of(100, reading, 1ms), 100 * 50) << reading / 1ms << " ms";
}

// Nor must want of processor time, which looks like a stop in each turn.
TEST(StallWatch, AProcessThatIsStoppedAgainAndAgainDecidesAllTheSame) {
  EXPECT_GE(events_of(100, 90ms, 90ms), 10 * 50);
}

}  // namespace
}  // namespace bellstair::app
