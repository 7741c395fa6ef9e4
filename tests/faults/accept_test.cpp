// Tests that the broker handles the errors that Linux documents for accept4().
#include <gtest/gtest.h>

#include "requests.hpp"
#include "served.hpp"

namespace bellstair::test {
namespace {

// Returns how many of `count` clients, each on its own connection, received no answer. `first`: the number of
// the first ticket.
int count_unanswered(const std::string& address, int count, int first) {
  int failed = 0;
  for (int n = first; n < first + count; ++n) {
    try {
      Client client(address);
      client.ask(1, "lookup", kSelect, {{"txn", ticket(n)}});
      if (client.answer()["id"] != 1) ++failed;
    } catch (const std::exception&) {
      ++failed;
    }
  }
  return failed;
}

// Guards against taking a transient ENFILE for the descriptor limit of the process: the listener would close
// the connection unread.
TEST(AcceptFaults, TransientFailuresLoseNoConnection) {
  Faults faults;
  BrokerWithEngine fixture(faults);
  faults.fail(FaultyCall::accept, 5, {ENFILE, ECONNABORTED, ENOBUFS, ENOMEM, EINTR, EPROTO, EPERM, ENETDOWN});
  constexpr int kThreads = 4, kRequestsPerThread = 60;
  std::atomic<int> failed = 0;
  std::vector<std::thread> threads;
  for (int t = 0; t < kThreads; ++t)
    threads.emplace_back([&, t] {
      failed += count_unanswered(fixture.broker.address, kRequestsPerThread, 1 + t * kRequestsPerThread);
    });
  for (auto& thread : threads) thread.join();
  EXPECT_GT(faults.injected(FaultyCall::accept), 10U);
  EXPECT_EQ(failed, 0);
}

// A request may wait in the system's buffer before its connection can be accepted.
TEST(AcceptFaults, WaitBeforeAcceptCountsAgainstTheLimit) {
  Faults faults;
  BrokerWithEngine fixture(faults);
  faults.fail(FaultyCall::accept, 1, {ENFILE});
  Client client(fixture.broker.address);
  client.ask(1, "lookup", kSelect, {{"limit", 2000}});
  std::this_thread::sleep_for(800ms);
  faults.stop(FaultyCall::accept);
  EXPECT_TRUE(client.answer().contains("result"));
  const auto call = fixture.engine.calls.wait([](const Call& c) { return c.method == "POST"; });
  EXPECT_LE(std::stoi(call.headers.at("X-Max-Ms")), 1200 + 150);
}

// While the system has no free descriptor, connections wait for one, and the event loop does not spin.
TEST(AcceptFaults, ConnectionsWaitWhileSystemHasNoDescriptors) {
  Faults faults;
  BrokerWithEngine fixture(faults);
  faults.fail(FaultyCall::accept, 1, {ENFILE});
  const auto before = faults.calls(FaultyCall::accept);
  Client client(fixture.broker.address);
  client.ask(1, "lookup", kSelect);
  std::this_thread::sleep_for(300ms);
  const auto calls = faults.calls(FaultyCall::accept) - before;
  faults.stop(FaultyCall::accept);
  EXPECT_EQ(body(client.answer()), "x\ty\tz\n");
  EXPECT_GT(calls, 0U);
  EXPECT_LT(calls, 100U);
}

// At the descriptor limit of the process the listener frees a reserve descriptor to accept and close
// connections. Guards against an event loop that spins forever if the reserve cannot be reopened.
TEST(AcceptFaults, ReopensReserveDescriptorWithoutSpinning) {
  Faults faults;
  BrokerWithEngine fixture(faults);
  faults.fail(FaultyCall::accept, 1, {EMFILE});
  faults.fail(FaultyCall::open_null, 1, {ENFILE});
  Client client(fixture.broker.address);
  client.ask(1, "lookup", kSelect);
  std::this_thread::sleep_for(50ms);
  const auto before = faults.calls(FaultyCall::accept);
  std::this_thread::sleep_for(300ms);
  EXPECT_LT(faults.calls(FaultyCall::accept) - before, 100U);
  faults.stop(FaultyCall::accept);
  faults.stop(FaultyCall::open_null);
  Client next(fixture.broker.address);
  next.ask(1, "lookup", kSelect, {{"txn", ticket(2)}});
  EXPECT_EQ(body(next.answer()), "x\ty\tz\n");
}

}  // namespace
}  // namespace bellstair::test
