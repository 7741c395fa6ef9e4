// Tests the file of the last active version on a disk that is full or fails.
#include <gtest/gtest.h>

#include "../processes/fleet.hpp"
#include "faults.hpp"

namespace bellstair::test {
namespace {

FleetOptions options_with_file(const Faults& faults) {
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

bool wait_for_content(Fleet& fleet, const std::string& text) {
  const auto until = std::chrono::steady_clock::now() + kTestTimeout;
  while (std::chrono::steady_clock::now() < until) {
    if (content(fleet).find(text) != std::string::npos) return true;
    std::this_thread::sleep_for(20ms);
  }
  return false;
}

// Guards against renaming the file without a sync: after a power failure it could be empty, and the previous
// complete version would be lost.
TEST(LastVersion, SyncsFileAndDirectory) {
  Faults faults;
  Fleet fleet(options_with_file(faults));
  fleet.await_connected(0);
  EXPECT_EQ(fleet.publish(tenant("beta")).code, 0);
  ASSERT_TRUE(wait_for_content(fleet, "beta"));
  const auto until = std::chrono::steady_clock::now() + kTestTimeout;
  while (faults.calls(FaultyCall::sync) < 2 && std::chrono::steady_clock::now() < until)
    std::this_thread::sleep_for(5ms);
  EXPECT_GE(faults.calls(FaultyCall::sync), 2U) << "the file and its directory";
}

// Guards against logging a failed write without a retry: a restart much later would go back to the previous
// version.
TEST(LastVersion, RetriesFailedWriteAndKeepsPreviousVersion) {
  const std::vector<std::pair<FaultyCall, int>> failures{
      {FaultyCall::write_file, ENOSPC}, {FaultyCall::sync, EIO}, {FaultyCall::rename, EIO}};
  for (const auto& [call, error] : failures) {
    SCOPED_TRACE(std::strerror(error));
    Faults faults;
    Fleet fleet(options_with_file(faults));
    fleet.await_connected(0);
    EXPECT_EQ(fleet.publish(tenant("beta")).code, 0);
    ASSERT_TRUE(wait_for_content(fleet, "beta"));
    const auto before = content(fleet);
    faults.fail(call, 1, {error});
    EXPECT_EQ(fleet.publish(tenant("gamma")).code, 0);
    fleet.broker(0).wait_for_log("could not be persisted for a restart; the write is retried");
    EXPECT_EQ(content(fleet), before);
    EXPECT_EQ(fleet.ask(0, "gamma"), "") << "the version is active although it is not persisted";
    faults.stop(call);
    ASSERT_TRUE(wait_for_content(fleet, "gamma"));
    fleet.kill("c1");
    fleet.restart(std::size_t{0});
    EXPECT_EQ(fleet.ask(0, "gamma"), "");
  }
}

}  // namespace
}  // namespace bellstair::test
