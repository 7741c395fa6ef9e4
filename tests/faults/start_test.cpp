// Tests a start while the system is briefly short of memory or descriptors.
#include <gtest/gtest.h>

#include "../net/harness.hpp"
#include "faults.hpp"

namespace bellstair::test {
namespace {

// Guards against exiting at the first failure of socket(): a restart during a shortage would leave no broker
// running.
TEST(StartFaults, ListensDespiteTransientSocketErrors) {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    Faults faults(seed);
    faults.fail(FaultyCall::socket, 2, {ENOMEM, ENOBUFS, ENFILE, EMFILE});
    HttpEngine engine([](const Call&) { return rows("x\ty\tz\n"); });
    Broker broker({{"s-00000001", engine.server.address()}}, {}, 0, json::object(), json::object(),
                  faults.environment());
    faults.stop(FaultyCall::socket);
    Client client(broker.address);
    client.ask(1, "lookup", "SELECT a FROM sales_17.orders");
    EXPECT_EQ(body(client.answer()), "x\ty\tz\n") << seed;
  }
}

}  // namespace
}  // namespace bellstair::test
