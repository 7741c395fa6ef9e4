// Tests that a log that nobody reads does not block the program.
#include <gtest/gtest.h>

#include "../net/harness.hpp"

namespace bellstair::test {
namespace {

// Makes the broker log more lines than its pipe holds while nobody reads them.
void fill_log_pipe(Broker& broker) {
  broker.program->stop_reading();
  for (int n = 0; n < 300; ++n) {
    broker.program->signal(SIGHUP);
    std::this_thread::sleep_for(4ms);
  }
}

// Guards against writing log lines on the event loop's thread, which would block once the pipe is full.
TEST(Log, UnreadLogDoesNotBlockRequestsOrShutdown) {
  HttpEngine engine([](const Call&) { return rows("x\ty\tz\n"); });
  Broker broker({{"s-00000001", engine.server.address()}});
  fill_log_pipe(broker);
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
