// Tests that steps of the wall clock, before the program starts and while it runs, change no duration.
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

// Far more calls than slow start's random permits allow, and far fewer than the clients request.
constexpr std::size_t kMaxSlowStartCalls = 60;

class WallClock : public ::testing::TestWithParam<int> {  // parameter: step in seconds
 protected:
  [[nodiscard]] static std::chrono::seconds step() { return std::chrono::seconds(GetParam()); }
};

TEST_P(WallClock, DeadlinesIgnoreWallClockSteps) {
  Faults faults;
  HttpEngine pending_engine([](const Call&) { return http(202); });
  Broker broker({{"s-00000001", pending_engine.server.address()}}, {}, 0, json::object(), json::object(),
                faults.environment());
  Client client(broker.address);
  const auto from = Clock::now();
  client.ask(1, "lookup", kSelect, {{"limit", 1500}});
  pending_engine.calls.wait([](const Call& c) { return c.method == "POST"; });
  faults.step_wall_clock(step());
  EXPECT_TRUE(client.answer().contains("error"));
  EXPECT_GT(Clock::now() - from, 1200ms);
  EXPECT_LT(Clock::now() - from, 1700ms);
  client.ask(2, "lookup", kSelect, {{"limit", 1500}, {"txn", ticket(2)}});
  const auto call = pending_engine.calls.wait(
      [](const Call& c) { return c.method == "POST" && c.headers.at("X-Ticket") == ticket(2); });
  EXPECT_LE(std::stoi(call.headers.at("X-Max-Ms")), 1500);
  EXPECT_GE(std::stoi(call.headers.at("X-Max-Ms")), 1200);
}

// A response with a high query cost: slow start allows an engine two or three such queries per second.
std::string costly_response() {
  return http(200, "x\ty\tz\n", "Result-Pages: 1\r\nQuery-Cost: 2000\r\nQuery-Need: 8\r\n");
}

const json kSlowStart{
    {"safety",
     {{"tip-multiple", 2.5}, {"fall", 1'000'000'000}, {"cold-from", 0.33}, {"ramp-time", 15'000'000'000}}}};

// Sends requests from four clients for 4 s.
void send_load(const Broker& broker) {
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

// Returns the number of calls that a new engine receives within 4 s of its start from a broker whose other
// engine is removed.
std::size_t calls_at_new_engine(std::chrono::seconds step_before_start,
                                std::chrono::seconds step_while_running) {
  Faults faults;
  faults.step_wall_clock(step_before_start);
  HttpEngine old_engine([](const Call&) { return costly_response(); });
  HttpEngine new_engine([](const Call&) { return costly_response(); });
  Broker broker({{"s-00000001", old_engine.server.address()}}, {}, 0, kSlowStart, json::object(),
                faults.environment());
  broker.changes.wait_until_applied();
  faults.step_wall_clock(step_while_running);
  auto started_engine = server("s-00000002", new_engine.server.address());
  started_engine["started_ms"] = unix_ms() - 200;
  broker.changes.push({started_engine, server("s-00000001", old_engine.server.address(), "terminating")});
  send_load(broker);
  return new_engine.posts();
}

// Guards against slow start by the wall clock: after a step forward a new engine would have no slow start,
// and after a step back it would receive nothing for an hour.
TEST_P(WallClock, SlowStartOfNewEngineIgnoresWallClockSteps) {
  const auto calls_after_step = calls_at_new_engine(0s, step());
  const auto calls_with_offset = calls_at_new_engine(step(), 0s);
  EXPECT_GT(calls_after_step, 0U);
  EXPECT_LT(calls_after_step, kMaxSlowStartCalls);
  EXPECT_GT(calls_with_offset, 0U);
  EXPECT_LT(calls_with_offset, kMaxSlowStartCalls);
}

// A broker is restarted while its wall clock is wrong; its first endpoint list already contains a new engine.
TEST_P(WallClock, SlowStartAfterRestartIgnoresWallClockOffset) {
  Faults faults;
  faults.step_wall_clock(step());
  HttpEngine new_engine([](const Call&) { return costly_response(); });
  const json started_engine{{"started_ms", unix_ms() - 200}};
  Broker broker({{"s-00000001", new_engine.server.address()}}, {}, 0, kSlowStart, started_engine,
                faults.environment());
  send_load(broker);
  EXPECT_GT(new_engine.posts(), 0U);
  EXPECT_LT(new_engine.posts(), kMaxSlowStartCalls);
}

INSTANTIATE_TEST_SUITE_P(Steps, WallClock, ::testing::Values(-3600, -5, 5, 3600));

}  // namespace
}  // namespace bellstair::test
