// Tests the store of a control node on a disk that fails: exactly the versions that a publish has reported as
// committed are committed.
#include <gtest/gtest.h>

#include "../processes/fleet.hpp"
#include "faults.hpp"

namespace bellstair::test {
namespace {

std::string document_of(int n) { return tenant("t" + std::to_string(n)); }

// A commit may report an error after its version has been written, for example when the directory cannot be
// synced. The next version has the same number and must replace the one in the file.
TEST(StoreFaults, LeaderContinuesAfterTransientDiskFailures) {
  Faults faults(3);
  FleetOptions options;
  options.nodes = {{"c1", "north"}};
  options.brokers = 1;
  options.node_environment = faults.environment();
  Fleet fleet(options);
  fleet.await_all_connected();
  ASSERT_EQ(fleet.publish(document_of(0)).version_id(), (VersionId{1, 1}));
  faults.fail(FaultyCall::sync, 4, {EIO, ENOSPC});
  VersionId last{1, 1};
  int rejected = 0;
  for (int n = 1; n <= 25; ++n) {
    const auto result = fleet.publish(document_of(n));
    if (result.code != 0) {
      ++rejected;
      EXPECT_EQ(result.err.find("UNIQUE"), std::string::npos) << result;
      continue;
    }
    EXPECT_EQ(result.version_id(), (VersionId{1, last.number + 1})) << "a rejected version uses up no number";
    last = result.version_id();
  }
  faults.stop(FaultyCall::sync);
  EXPECT_GT(rejected, 3);
  EXPECT_GT(last.number, 3U);
  const auto after = fleet.publish(document_of(99));
  EXPECT_EQ(after.code, 0) << after;
  EXPECT_EQ(after.version_id(), (VersionId{1, last.number + 1}));
  fleet.restart("c1");
  EXPECT_EQ(fleet.publish(document_of(100)).version_id(), (VersionId{1, last.number + 2}))
      << "no version was committed without being reported";
}

}  // namespace
}  // namespace bellstair::test
