// A wall clock that steps, while the program runs and before it begins: spans are spans of real time.
#include <gtest/gtest.h>

#include "../net/harness.hpp"
#include "faults.hpp"
#include "requests.hpp"

namespace bellstair::test {
namespace {

using Clock = std::chrono::steady_clock;
std::int64_t unix_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// Far more than any draw of turns lets through, and far less than clients ask for.
constexpr std::size_t kMaxCalls = 60;

class WallClock : public ::testing::TestWithParam<int> {  // seconds that it steps by
 protected:
  [[nodiscard]] static std::chrono::seconds step() { return std::chrono::seconds(GetParam()); }
};

TEST_P(WallClock, DeadlinesAreSpansOfRealTime) {
  Faults faults;
  HttpEngine silent([](const Call&) { return http(202); });
  Broker broker({{"s-00000001", silent.server.address()}}, {}, 0, json::object(), json::object(),
                faults.environment());
  Client client(broker.address);
  const auto from = Clock::now();
  client.ask(1, "lookup", kSelect, {{"limit", 1500}});
  silent.calls.wait([](const Call& c) { return c.method == "POST"; });
  faults.step_wall_clock(step());
  EXPECT_TRUE(client.answer().contains("error"));
  EXPECT_GT(Clock::now() - from, 1200ms);
  EXPECT_LT(Clock::now() - from, 1700ms);
  client.ask(2, "lookup", kSelect, {{"limit", 1500}, {"txn", ticket(2)}});
  const auto call = silent.calls.wait(
      [](const Call& c) { return c.method == "POST" && c.headers.at("X-Ticket") == ticket(2); });
  EXPECT_LE(std::stoi(call.headers.at("X-Max-Ms")), 1500);
  EXPECT_GE(std::stoi(call.headers.at("X-Max-Ms")), 1200);
}

// An answer that tells of much work: a cold engine may be sent two or three such queries in a second.
std::string heavy_rows() {
  return http(200, "x\ty\tz\n", "Result-Pages: 1\r\nQuery-Cost: 2000\r\nQuery-Need: 8\r\n");
}

const json kSlowStart{
    {"safety",
     {{"tip-multiple", 2.5}, {"fall", 1'000'000'000}, {"cold-from", 0.33}, {"ramp-time", 15'000'000'000}}}};

// Of four clients, for 4 s.
void ask_much(const Broker& broker) {
  std::vector<std::thread> clients;
  for (int t = 0; t < 4; ++t) {
    clients.emplace_back([&, t] {
      Client client(broker.address);
      const auto until = Clock::now() + 4s;
      for (int n = 1; Clock::now() < until; ++n) {
        client.ask(n, "lookup", kSelect, {{"txn", ticket(t * 100'000 + n)}, {"limit", 1000}});
        client.answer();
      }
    });
  }
  for (auto& client : clients) client.join();
}

// Of the calls that an engine gets within 4 s of its start, from a broker whose other engine is taken away.
std::size_t calls_at_newcomer(std::chrono::seconds before, std::chrono::seconds meanwhile) {
  Faults faults;
  faults.step_wall_clock(before);
  HttpEngine old([](const Call&) { return heavy_rows(); });
  HttpEngine newcomer([](const Call&) { return heavy_rows(); });
  Broker broker({{"s-00000001", old.server.address()}}, {}, 0, kSlowStart, json::object(),
                faults.environment());
  broker.changes.wait_until_applied();
  faults.step_wall_clock(meanwhile);
  auto began = server("s-00000002", newcomer.server.address());
  began["started_ms"] = unix_ms() - 200;
  broker.changes.push({began, server("s-00000001", old.server.address(), "terminating")});
  ask_much(broker);
  return newcomer.posts();
}

// It had no slow start at all after a step forward, and got nothing for an hour after one back.
TEST_P(WallClock, ANewcomersSlowStartDoesNotGoByIt) {
  const auto stepped = calls_at_newcomer(0s, step());
  const auto off = calls_at_newcomer(step(), 0s);
  EXPECT_GT(stepped, 0U);
  EXPECT_LT(stepped, kMaxCalls);
  EXPECT_GT(off, 0U);
  EXPECT_LT(off, kMaxCalls);
}

// A broker is restarted while its clock is off, and is told of a newcomer with what is known at the start.
TEST_P(WallClock, NorDoesThatOfOneKnownAtTheStart) {
  Faults faults;
  faults.step_wall_clock(step());
  HttpEngine newcomer([](const Call&) { return heavy_rows(); });
  const json began{{"started_ms", unix_ms() - 200}};
  Broker broker({{"s-00000001", newcomer.server.address()}}, {}, 0, kSlowStart, began, faults.environment());
  ask_much(broker);
  EXPECT_GT(newcomer.posts(), 0U);
  EXPECT_LT(newcomer.posts(), kMaxCalls);
}

INSTANTIATE_TEST_SUITE_P(Steps, WallClock, ::testing::Values(-3600, -5, 5, 3600));

}  // namespace
}  // namespace bellstair::test
