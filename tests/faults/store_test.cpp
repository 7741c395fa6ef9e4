// The store of a control node on a disk that fails: what the operator is told of a version stays true.
#include <gtest/gtest.h>

#include "../processes/fleet.hpp"
#include "faults.hpp"

namespace bellstair::test {
namespace {

std::string numbered(int n) { return tenant("t" + std::to_string(n)); }

// A commit may fail after its point of no return, as when the folder cannot be synced: the version is there,
// and its number is taken.
TEST(StoreFaults, ALeaderWhoseDiskFailsForAWhileKeepsItsWordAndGoesOn) {
  Faults faults(3);
  FleetOptions options;
  options.nodes = {{"c1", "north"}};
  options.brokers = 1;
  options.node_environment = faults.environment();
  Fleet fleet(options);
  fleet.await_all_connected();
  ASSERT_EQ(fleet.publish(numbered(0)).version_id(), (VersionId{1, 1}));
  faults.fail(FaultyCall::sync, 4, {EIO, ENOSPC});
  VersionId last{1, 1};
  int rejected = 0;
  for (int n = 1; n <= 25; ++n) {
    const auto ran = fleet.publish(numbered(n));
    if (ran.code != 0) {
      ++rejected;
      EXPECT_EQ(ran.err.find("UNIQUE"), std::string::npos) << ran;
      continue;
    }
    EXPECT_EQ(ran.version_id(), (VersionId{1, last.number + 1}))
        << "no number is used up by what is not kept";
    last = ran.version_id();
  }
  faults.stop(FaultyCall::sync);
  EXPECT_GT(rejected, 3);
  EXPECT_GT(last.number, 3U);
  const auto after = fleet.publish(numbered(99));
  EXPECT_EQ(after.code, 0) << after;
  EXPECT_EQ(after.version_id(), (VersionId{1, last.number + 1}));
  fleet.restart("c1");
  EXPECT_EQ(fleet.publish(numbered(100)).version_id(), (VersionId{1, last.number + 2}))
      << "nothing was kept unsaid";
}

}  // namespace
}  // namespace bellstair::test
