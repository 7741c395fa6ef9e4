// The file of the last version in force, on a disk that is full or fails.
#include <gtest/gtest.h>

#include "../processes/fleet.hpp"
#include "faults.hpp"

namespace bellstair::test {
namespace {

FleetOptions with_file(const Faults& faults) {
  FleetOptions out;
  out.nodes = {{"c1", "north"}};
  out.brokers = 1;
  out.last = true;
  out.environment = faults.environment();
  return out;
}

std::string content(Fleet& fleet) {
  std::ostringstream out;
  out << std::ifstream(fleet.path("n0.last"), std::ios::binary).rdbuf();
  return out.str();
}

bool comes_to_hold(Fleet& fleet, const std::string& text) {
  const auto until = std::chrono::steady_clock::now() + kTestTimeout;
  while (std::chrono::steady_clock::now() < until) {
    if (content(fleet).find(text) != std::string::npos) return true;
    std::this_thread::sleep_for(20ms);
  }
  return false;
}

// It was renamed with nothing synced: after a loss of power the name could stand for an empty file, and the
// version before, which had been whole, was gone.
TEST(LastVersion, IsSyncedWithItsFolderBeforeItCountsAsKept) {
  Faults faults;
  Fleet fleet(with_file(faults));
  fleet.await_connected(0);
  EXPECT_EQ(fleet.publish(tenant("beta")).code, 0);
  ASSERT_TRUE(comes_to_hold(fleet, "beta"));
  const auto until = std::chrono::steady_clock::now() + kTestTimeout;
  while (faults.calls(FaultyCall::sync) < 2 && std::chrono::steady_clock::now() < until)
    std::this_thread::sleep_for(5ms);
  EXPECT_GE(faults.calls(FaultyCall::sync), 2U) << "the file, and the folder that names it";
}

// It was told once as not kept, and forgotten: a restart much later went back to the version before.
TEST(LastVersion, IsKeptOnceTheDiskTakesItAndTheOneBeforeStaysUntilThen) {
  const std::vector<std::pair<FaultyCall, int>> disks{
      {FaultyCall::write_file, ENOSPC}, {FaultyCall::sync, EIO}, {FaultyCall::rename, EIO}};
  for (const auto& [call, error] : disks) {
    SCOPED_TRACE(std::strerror(error));
    Faults faults;
    Fleet fleet(with_file(faults));
    fleet.await_connected(0);
    EXPECT_EQ(fleet.publish(tenant("beta")).code, 0);
    ASSERT_TRUE(comes_to_hold(fleet, "beta"));
    const auto before = content(fleet);
    faults.fail(call, 1, {error});
    EXPECT_EQ(fleet.publish(tenant("gamma")).code, 0);
    fleet.broker(0).wait_for_log("is not persisted for a restart");
    EXPECT_EQ(content(fleet), before);
    EXPECT_EQ(fleet.ask(0, "gamma"), "") << "it is in force all the same";
    faults.stop(call);
    ASSERT_TRUE(comes_to_hold(fleet, "gamma"));
    fleet.kill("c1");
    fleet.restart(std::size_t{0});
    EXPECT_EQ(fleet.ask(0, "gamma"), "");
  }
}

}  // namespace
}  // namespace bellstair::test
