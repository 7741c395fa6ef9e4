// A program that starts while the system is short of memory or descriptors for a moment.
#include <gtest/gtest.h>

#include "../net/harness.hpp"
#include "faults.hpp"

namespace bellstair::test {
namespace {

// It gave up at the first failure, and a restart that met one was a broker that did not come back.
TEST(StartFaults, AMomentaryFailureDoesNotKeepItFromListening) {
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
