// Tests that the broker handles the errors that Linux documents for connect() and socket().
#include <gtest/gtest.h>

#include "../net/harness.hpp"
#include "faults.hpp"
#include "requests.hpp"

namespace bellstair::test {
namespace {

// An engine that closes each connection after one response, so that each statement needs a new connection.
std::optional<std::string> answer_and_close(const Call&) {
  return http(200, "x\ty\tz\n", "Connection: close\r\nResult-Pages: 1\r\nQuery-Cost: 5\r\nQuery-Need: 8\r\n");
}

struct BrokerWithTwoEngines {
  explicit BrokerWithTwoEngines(const Faults& faults)
      : broker({{"s-00000001", first.server.address()}, {"s-00000002", second.server.address()}}, {}, 0,
               json::object(), json::object(), faults.environment()) {}
  // Sends `count` requests one after another and returns how many were served.
  int serve(int count) {
    int served = 0;
    Client client(broker.address);
    for (int n = 1; n <= count; ++n) {
      client.ask(n, "lookup", kSelect, {{"txn", ticket(n)}, {"limit", 5000}});
      if (client.answer().contains("result")) ++served;
    }
    return served;
  }
  // Returns how often the broker has ejected an engine because it refused a connection.
  std::size_t count_ejections() {
    std::size_t out = 0;
    for (const auto& line : broker.program->all_lines())
      if (line.find("ejected: connection refused") != std::string::npos) ++out;
    return out;
  }
  HttpEngine first{answer_and_close}, second{answer_and_close};
  Broker broker;
};

// Guards against ejecting an engine, and putting it into slow start afterwards, because of a local error of
// connect().
TEST(ConnectFaults, LocalErrorsEjectNoEngine) {
  Faults faults;
  BrokerWithTwoEngines fixture(faults);
  faults.fail(FaultyCall::connect, 4,
              {ETIMEDOUT, ENETUNREACH, EADDRNOTAVAIL, ENOBUFS, EAGAIN, ENETDOWN, EHOSTUNREACH, EPERM});
  EXPECT_EQ(fixture.serve(100), 100);
  EXPECT_GT(faults.injected(FaultyCall::connect), 10U);
  EXPECT_EQ(fixture.count_ejections(), 0U);
}

// The system continues an interrupted connect(); a second call would only report that it is in progress.
TEST(ConnectFaults, InterruptedConnectCompletes) {
  Faults faults;
  BrokerWithTwoEngines fixture(faults);
  faults.fail(FaultyCall::connect, 1, {EINTR});
  EXPECT_EQ(fixture.serve(50), 50);
  EXPECT_EQ(fixture.count_ejections(), 0U);
  EXPECT_LE(fixture.first.posts() + fixture.second.posts(), 50U);
}

TEST(ConnectFaults, ServesAllDespiteTransientSocketErrors) {
  Faults faults;
  BrokerWithTwoEngines fixture(faults);
  faults.fail(FaultyCall::socket, 4, {EMFILE, ENFILE, ENOBUFS, ENOMEM});
  EXPECT_EQ(fixture.serve(60), 60);
  EXPECT_EQ(fixture.count_ejections(), 0U);
}

// A refused connection comes from the engine's machine, unlike the errors above, and still ejects the engine.
TEST(ConnectFaults, RefusedConnectionEjectsTheEngine) {
  Faults faults;
  BrokerWithTwoEngines fixture(faults);
  fixture.first.server.stop();
  EXPECT_EQ(fixture.serve(30), 30);
  EXPECT_GE(fixture.count_ejections(), 1U);
}

}  // namespace
}  // namespace bellstair::test
