// Tests which delays a stall of the process explains.
#include "core/stall_tracker.hpp"

#include <gtest/gtest.h>

namespace bellstair::core {
namespace {
using namespace std::chrono_literals;

TEST(StallTracker, ExplainsDelaysUntilTheCatchUpTimeHasPassed) {
  StallTracker stalls;
  EXPECT_FALSE(stalls.explains_delay(1s, 2s)) << "no stall was recorded";
  stalls.record({10s, 2s});
  EXPECT_FALSE(stalls.explains_delay(9s, 12s)) << "the work was due before the stall";
  EXPECT_TRUE(stalls.explains_delay(10s, 12s));
  EXPECT_TRUE(stalls.explains_delay(11s, 12s + StallTracker::kCatchUp));
  EXPECT_FALSE(stalls.explains_delay(11s, 12s + StallTracker::kCatchUp + 1ms));
}

TEST(StallTracker, MergesConsecutiveStallsAndReplacesThemByALaterOne) {
  StallTracker stalls;
  stalls.record({10s, 2s});
  stalls.record({12s + StallTracker::kCatchUp, 3s});
  EXPECT_TRUE(stalls.explains_delay(10s, 15s));
  stalls.record({20s, 1s});
  EXPECT_FALSE(stalls.explains_delay(10s, 21s));
  EXPECT_TRUE(stalls.explains_delay(20s, 21s));
}

}  // namespace
}  // namespace bellstair::core
