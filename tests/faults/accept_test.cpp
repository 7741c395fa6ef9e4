// accept4() that fails as Linux documents it.
#include <gtest/gtest.h>

#include "requests.hpp"
#include "served.hpp"

namespace bellstair::test {
namespace {

// How many of `count` clients, each on a connection of its own, got no answer.
int unanswered(const std::string& address, int count, int first) {
  int lost = 0;
  for (int n = first; n < first + count; ++n) {
    try {
      Client client(address);
      client.ask(1, "lookup", kSelect, {{"txn", ticket(n)}});
      if (client.answer()["id"] != 1) ++lost;
    } catch (const std::exception&) {
      ++lost;
    }
  }
  return lost;
}

// The listener took a momentary ENFILE for descriptors that had run out, and closed the connection unread.
TEST(AcceptFaults, AMomentaryFailureCostsNoConnection) {
  Faults faults;
  Served served(faults);
  faults.fail(FaultyCall::accept, 5, {ENFILE, ECONNABORTED, ENOBUFS, ENOMEM, EINTR, EPROTO, EPERM, ENETDOWN});
  constexpr int kThreads = 4, kEach = 60;
  std::atomic<int> lost = 0;
  std::vector<std::thread> threads;
  for (int t = 0; t < kThreads; ++t)
    threads.emplace_back([&, t] { lost += unanswered(served.broker.address, kEach, 1 + t * kEach); });
  for (auto& thread : threads) thread.join();
  EXPECT_GT(faults.injected(FaultyCall::accept), 10U);
  EXPECT_EQ(lost, 0);
}

// A request may lie in the system's buffer before its connection can be accepted.
TEST(AcceptFaults, WhatWaitedToBeAcceptedHasThatMuchLessTime) {
  Faults faults;
  Served served(faults);
  faults.fail(FaultyCall::accept, 1, {ENFILE});
  Client client(served.broker.address);
  client.ask(1, "lookup", kSelect, {{"limit", 2000}});
  std::this_thread::sleep_for(800ms);
  faults.stop(FaultyCall::accept);
  EXPECT_TRUE(client.answer().contains("result"));
  const auto call = served.engine.calls.wait([](const Call& c) { return c.method == "POST"; });
  EXPECT_LE(std::stoi(call.headers.at("X-Max-Ms")), 1200 + 150);
}

// While the system has no descriptor for anybody, connections wait for one, and the loop does not spin.
TEST(AcceptFaults, WhileTheSystemIsOutOfDescriptorsConnectionsWait) {
  Faults faults;
  Served served(faults);
  faults.fail(FaultyCall::accept, 1, {ENFILE});
  const auto before = faults.calls(FaultyCall::accept);
  Client client(served.broker.address);
  client.ask(1, "lookup", kSelect);
  std::this_thread::sleep_for(300ms);
  const auto calls = faults.calls(FaultyCall::accept) - before;
  faults.stop(FaultyCall::accept);
  EXPECT_EQ(body(client.answer()), "x\ty\tz\n");
  EXPECT_GT(calls, 0U);
  EXPECT_LT(calls, 100U);
}

// Out of descriptors of its own, it turns connections away by way of one in reserve. Where that one could not
// be opened again, the loop went round for nothing, for ever.
TEST(AcceptFaults, TheReserveIsOpenedAgainAndItsLossDoesNotSpinTheLoop) {
  Faults faults;
  Served served(faults);
  faults.fail(FaultyCall::accept, 1, {EMFILE});
  faults.fail(FaultyCall::open_null, 1, {ENFILE});
  Client client(served.broker.address);
  client.ask(1, "lookup", kSelect);
  std::this_thread::sleep_for(50ms);
  const auto before = faults.calls(FaultyCall::accept);
  std::this_thread::sleep_for(300ms);
  EXPECT_LT(faults.calls(FaultyCall::accept) - before, 100U);
  faults.stop(FaultyCall::accept);
  faults.stop(FaultyCall::open_null);
  Client next(served.broker.address);
  next.ask(1, "lookup", kSelect, {{"txn", ticket(2)}});
  EXPECT_EQ(body(next.answer()), "x\ty\tz\n");
}

}  // namespace
}  // namespace bellstair::test
