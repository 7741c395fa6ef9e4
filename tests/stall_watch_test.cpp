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
  for (int look = 0; look < StallWatch::kLooks; ++look) {
    EXPECT_TRUE(watch.look_again(awake + look * 1ms));
    watch.looked(awake + look * 1ms);
    if (look + 1 < StallWatch::kLooks) {
      EXPECT_EQ(watch.came_after(awake + look * 1ms), kStart);
    }
  }
  EXPECT_FALSE(watch.look_again(awake + 4ms)) << "and then it acts";
  EXPECT_EQ(watch.came_after(awake + 4ms), awake + 4ms);
  EXPECT_FALSE(watch.take_stall().has_value()) << "told once";
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
  for (int look = 0; look < StallWatch::kLooks; ++look) {
    EXPECT_TRUE(watch.look_again(awake + 2ms));
    watch.looked(awake + 2ms);
  }
  EXPECT_FALSE(watch.look_again(awake + 3ms));
}

// Turns that each take long must not keep the loop from acting.
TEST(StallWatch, ALoopThatIsAlwaysSlowActsAllTheSame) {
  StallWatch watch;
  auto now = StallWatch::Time(kStart);
  int acted = 0;
  for (int turn = 0; turn < 100; ++turn) {
    watch.looked(now += 1ms);
    if (watch.look_again(now)) continue;
    ++acted;
    now += 200ms;
  }
  EXPECT_GE(acted, 20);
}

}  // namespace
}  // namespace bellstair::app
