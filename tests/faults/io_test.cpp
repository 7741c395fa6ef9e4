// send(), recv() and epoll_wait() that are interrupted, transfer a part, or meet a connection that broke.
#include <gtest/gtest.h>

#include "requests.hpp"
#include "served.hpp"

namespace bellstair::test {
namespace {

const std::string kLongRow = std::string(2000, 'x') + "\ty\tz\n";

TEST(IoFaults, InterruptedAndPartialTransfersCostNothing) {
  Faults faults;
  Served served(faults, kLongRow);
  faults.fail(FaultyCall::send, 5, {EINTR, EAGAIN});
  faults.fail(FaultyCall::receive, 5, {EINTR});
  faults.fail(FaultyCall::wait, 5, {EINTR});
  faults.shorten(FaultyCall::send, 2);
  faults.shorten(FaultyCall::receive, 2);
  Client client(served.broker.address);
  for (int n = 1; n <= 60; ++n) {
    client.ask(n, "once", kSelect, {{"txn", ticket(n)}});
    EXPECT_EQ(body(client.answer()), kLongRow);
  }
  EXPECT_EQ(served.engine.posts(), 60U);
}

// Want of memory passes. A loop that could not watch a socket would not hear of it again.
TEST(IoFaults, WantOfMemoryBreaksNoConnection) {
  struct Want {
    FaultyCall call;
    std::initializer_list<int> errors;
  };
  for (const auto& want : {Want{FaultyCall::send, {ENOBUFS, ENOMEM}}, Want{FaultyCall::receive, {ENOMEM}},
                           Want{FaultyCall::control, {ENOMEM, ENOSPC}}}) {
    Faults faults;
    Served served(faults, kLongRow);
    faults.fail(want.call, 5, want.errors);
    for (int n = 1; n <= 30; ++n) {
      const auto from = std::chrono::steady_clock::now();
      Client client(served.broker.address);
      for (int id = 1; id <= 2; ++id) {
        client.ask(id, "once", kSelect, {{"txn", ticket(2 * n + id)}, {"limit", 5000}});
        EXPECT_TRUE(client.answer().contains("result"))
            << n << ", calls of kind " << static_cast<int>(want.call);
      }
      EXPECT_LT(std::chrono::steady_clock::now() - from, 1s)
          << "calls of kind " << static_cast<int>(want.call);
    }
    EXPECT_GT(faults.injected(want.call), 10U);
    EXPECT_EQ(served.engine.posts(), 60U);
  }
}

// Whoever's connection breaks, no statement that is unsafe to repeat runs twice, and the program goes on.
TEST(IoFaults, AConnectionThatBreaksRepeatsNothingThatMayHaveRun) {
  Faults faults;
  Served served(faults, kLongRow);
  faults.fail(FaultyCall::receive, 15, {ETIMEDOUT, EHOSTUNREACH, ECONNRESET});
  faults.fail(FaultyCall::send, 30, {EPIPE, ETIMEDOUT, EHOSTUNREACH});
  for (int n = 1; n <= 80; ++n) {
    try {
      Client client(served.broker.address);
      client.ask(1, "once", kSelect, {{"txn", ticket(n)}, {"limit", 3000}});
      client.answer();
    } catch (const std::exception&) {
      // its own connection was one that broke
    }
  }
  faults.stop(FaultyCall::receive);
  faults.stop(FaultyCall::send);
  EXPECT_GT(faults.injected(FaultyCall::receive), 5U);
  for (int n = 1; n <= 80; ++n) {
    const auto posted = [n](const Call& c) {
      return c.method == "POST" && c.headers.at("X-Ticket") == ticket(n);
    };
    EXPECT_LE(served.engine.calls.count(posted), 1U) << n;
  }
  Client client(served.broker.address);
  client.ask(1, "lookup", kSelect, {{"txn", ticket(99)}});
  EXPECT_TRUE(client.answer().contains("result"));
  served.broker.program->signal(SIGTERM);
  EXPECT_EQ(served.broker.program->wait(), 0);
  EXPECT_NE(served.broker.program->all_lines().back().find("counters: violations=0"), std::string::npos);
}

}  // namespace
}  // namespace bellstair::test
