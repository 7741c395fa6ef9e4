// A log that nobody reads holds up nothing.
#include <gtest/gtest.h>

#include "../net/harness.hpp"

namespace bellstair::test {
namespace {

// More lines than the system holds for a reader that does not come.
void say_much(Broker& broker) {
  broker.program->stop_reading();
  for (int n = 0; n < 300; ++n) {
    broker.program->signal(SIGHUP);
    std::this_thread::sleep_for(4ms);
  }
}

// Its lines were written from the loop, which stood still once the pipe was full.
TEST(Log, WhileNobodyReadsItRequestsAreServedAndTheProgramEnds) {
  HttpEngine engine([](const Call&) { return rows("x\ty\tz\n"); });
  Broker broker({{"s-00000001", engine.server.address()}});
  say_much(broker);
  const auto from = std::chrono::steady_clock::now();
  Client client(broker.address);
  client.ask(1, "lookup", "SELECT a FROM sales_17.orders", {{"limit", 3000}});
  EXPECT_EQ(body(client.answer()), "x\ty\tz\n");
  EXPECT_LT(std::chrono::steady_clock::now() - from, 2s);
  broker.program->signal(SIGTERM);
  EXPECT_EQ(broker.program->wait(), 0);
  EXPECT_LT(std::chrono::steady_clock::now() - from, 6s);
}

}  // namespace
}  // namespace bellstair::test
