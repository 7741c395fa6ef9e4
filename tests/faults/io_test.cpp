// Tests send(), recv() and epoll_wait() calls that are interrupted, transfer only a part or fail because the
// connection broke.
#include <gtest/gtest.h>

#include "requests.hpp"
#include "served.hpp"

namespace bellstair::test {
namespace {

const std::string kLongRow = std::string(2000, 'x') + "\ty\tz\n";

TEST(IoFaults, InterruptedAndPartialTransfersLoseNoRequest) {
  Faults faults;
  BrokerWithEngine fixture(faults, kLongRow);
  faults.fail(FaultyCall::send, 5, {EINTR, EAGAIN});
  faults.fail(FaultyCall::receive, 5, {EINTR});
  faults.fail(FaultyCall::wait, 5, {EINTR});
  faults.shorten(FaultyCall::send, 2);
  faults.shorten(FaultyCall::receive, 2);
  Client client(fixture.broker.address);
  for (int n = 1; n <= 60; ++n) {
    client.ask(n, "once", kSelect, {{"txn", ticket(n)}});
    EXPECT_EQ(body(client.answer()), kLongRow);
  }
  EXPECT_EQ(fixture.engine.posts(), 60U);
}

// Out-of-memory errors are transient. After a failed epoll_ctl() the loop would not be notified of the socket
// again.
TEST(IoFaults, OutOfMemoryErrorsBreakNoConnection) {
  struct Shortage {
    FaultyCall call;
    std::initializer_list<int> errors;
  };
  for (const auto& shortage :
       {Shortage{FaultyCall::send, {ENOBUFS, ENOMEM}}, Shortage{FaultyCall::receive, {ENOMEM}},
        Shortage{FaultyCall::control, {ENOMEM, ENOSPC}}}) {
    Faults faults;
    BrokerWithEngine fixture(faults, kLongRow);
    faults.fail(shortage.call, 5, shortage.errors);
    for (int n = 1; n <= 30; ++n) {
      const auto from = std::chrono::steady_clock::now();
      Client client(fixture.broker.address);
      for (int id = 1; id <= 2; ++id) {
        client.ask(id, "once", kSelect, {{"txn", ticket(2 * n + id)}, {"limit", 5000}});
        EXPECT_TRUE(client.answer().contains("result"))
            << n << ", calls of kind " << static_cast<int>(shortage.call);
      }
      EXPECT_LT(std::chrono::steady_clock::now() - from, 1s)
          << "calls of kind " << static_cast<int>(shortage.call);
    }
    EXPECT_GT(faults.injected(shortage.call), 10U);
    EXPECT_EQ(fixture.engine.posts(), 60U);
  }
}

// When a connection to a client or an engine breaks, no statement that is unsafe to repeat is sent twice, and
// the program continues to serve.
TEST(IoFaults, BrokenConnectionsRepeatNoUnsafeRequest) {
  Faults faults;
  BrokerWithEngine fixture(faults, kLongRow);
  faults.fail(FaultyCall::receive, 15, {ETIMEDOUT, EHOSTUNREACH, ECONNRESET});
  faults.fail(FaultyCall::send, 30, {EPIPE, ETIMEDOUT, EHOSTUNREACH});
  for (int n = 1; n <= 80; ++n) {
    try {
      Client client(fixture.broker.address);
      client.ask(1, "once", kSelect, {{"txn", ticket(n)}, {"limit", 3000}});
      client.answer();
    } catch (const std::exception&) {
      // the client's own connection broke
    }
  }
  faults.stop(FaultyCall::receive);
  faults.stop(FaultyCall::send);
  EXPECT_GT(faults.injected(FaultyCall::receive), 5U);
  for (int n = 1; n <= 80; ++n) {
    const auto posted = [n](const Call& c) {
      return c.method == "POST" && c.headers.at("X-Ticket") == ticket(n);
    };
    EXPECT_LE(fixture.engine.calls.count(posted), 1U) << n;
  }
  Client client(fixture.broker.address);
  client.ask(1, "lookup", kSelect, {{"txn", ticket(99)}});
  EXPECT_TRUE(client.answer().contains("result"));
  fixture.broker.program->signal(SIGTERM);
  EXPECT_EQ(fixture.broker.program->wait(), 0);
  EXPECT_NE(fixture.broker.program->all_lines().back().find("counters: violations=0"), std::string::npos);
}

}  // namespace
}  // namespace bellstair::test
