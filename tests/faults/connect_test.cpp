// connect() and socket() that fail as Linux documents them.
#include <gtest/gtest.h>

#include "../net/harness.hpp"
#include "faults.hpp"
#include "requests.hpp"

namespace bellstair::test {
namespace {

// An engine that closes each connection after one answer, so that each statement needs a new one.
std::optional<std::string> answer_and_close(const Call&) {
  return http(200, "x\ty\tz\n", "Connection: close\r\nResult-Pages: 1\r\nQuery-Cost: 5\r\nQuery-Need: 8\r\n");
}

struct TwoEngines {
  explicit TwoEngines(const Faults& faults)
      : broker({{"s-00000001", first.server.address()}, {"s-00000002", second.server.address()}}, {}, 0,
               json::object(), json::object(), faults.environment()) {}
  // Of `count` clients one after the other, how many were served.
  int serve(int count) {
    int served = 0;
    Client client(broker.address);
    for (int n = 1; n <= count; ++n) {
      client.ask(n, "lookup", kSelect, {{"txn", ticket(n)}, {"limit", 5000}});
      if (client.answer().contains("result")) ++served;
    }
    return served;
  }
  // Engines that the broker took to be down.
  std::size_t blamed() {
    std::size_t out = 0;
    for (const auto& line : broker.program->all_lines())
      if (line.find("ejected: connection refused") != std::string::npos) ++out;
    return out;
  }
  HttpEngine first{answer_and_close}, second{answer_and_close};
  Broker broker;
};

// An error of this machine's own was blamed on the engine, which then rested and counted as cold.
TEST(ConnectFaults, AMomentaryErrorOfThisMachineIsNotBlamedOnAnEngine) {
  Faults faults;
  TwoEngines engines(faults);
  faults.fail(FaultyCall::connect, 4,
              {ETIMEDOUT, ENETUNREACH, EADDRNOTAVAIL, ENOBUFS, EAGAIN, ENETDOWN, EHOSTUNREACH, EPERM});
  EXPECT_EQ(engines.serve(100), 100);
  EXPECT_GT(faults.injected(FaultyCall::connect), 10U);
  EXPECT_EQ(engines.blamed(), 0U);
}

// The system goes on connecting; a second connect() would only tell so.
TEST(ConnectFaults, AnInterruptedConnectGoesOn) {
  Faults faults;
  TwoEngines engines(faults);
  faults.fail(FaultyCall::connect, 1, {EINTR});
  EXPECT_EQ(engines.serve(50), 50);
  EXPECT_EQ(engines.blamed(), 0U);
  EXPECT_LE(engines.first.posts() + engines.second.posts(), 50U);
}

TEST(ConnectFaults, WithoutASocketForAMomentEverythingIsServed) {
  Faults faults;
  TwoEngines engines(faults);
  faults.fail(FaultyCall::socket, 4, {EMFILE, ENFILE, ENOBUFS, ENOMEM});
  EXPECT_EQ(engines.serve(60), 60);
  EXPECT_EQ(engines.blamed(), 0U);
}

// A refused connection is the engine's own word, whatever else fails.
TEST(ConnectFaults, ARefusedConnectionStillTellsOfItsEngine) {
  Faults faults;
  TwoEngines engines(faults);
  engines.first.server.stop();
  EXPECT_EQ(engines.serve(30), 30);
  EXPECT_GE(engines.blamed(), 1U);
}

}  // namespace
}  // namespace bellstair::test
