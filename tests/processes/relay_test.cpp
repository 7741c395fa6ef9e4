// Checks the links of the process tests on plain sockets.
#include "relay.hpp"

#include <gtest/gtest.h>

#include "../net/harness.hpp"

namespace bellstair::test {
namespace {

// A server that stores each line it receives and sends it back.
struct Echo {
  Log<std::string> lines;
  Server server{[this](Socket& socket) {
    while (true) {
      const auto line = socket.line();
      lines.add(line);
      socket.send(line + "\n");
    }
  }};
  Network network;
  Echo() { network.set_target("b", server.address()); }
  Socket dial() { return Socket::to(network.address("a", "b")); }
  void with(const std::function<void(Link&)>& what) { network.with("a", "b", what); }
  bool received(const std::string& line) {
    return lines.count([&](const std::string& l) { return l == line; }) > 0;
  }
};
bool has_no_data(Socket& socket) {
  char byte = 0;
  return ::recv(socket.fd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && errno == EAGAIN;
}

TEST(Relay, ForwardsDataAndEndInBothDirections) {
  Echo echo;
  auto socket = echo.dial();
  std::string much;
  for (int i = 0; i < 20000; ++i) much += "line " + std::to_string(i) + "\n";
  std::thread sender([&] { EXPECT_TRUE(socket.send(much)); });
  for (int i = 0; i < 20000; ++i) ASSERT_EQ(socket.line(), "line " + std::to_string(i));
  sender.join();
  ::shutdown(socket.fd(), SHUT_WR);
  EXPECT_TRUE(socket.ended());
}

TEST(Relay, HoldsOneDirectionUntilHealed) {
  Echo echo;
  auto socket = echo.dial();
  socket.send("one\n");
  EXPECT_EQ(socket.line(), "one");
  echo.with([](Link& link) { link.hold(Direction::down); });
  socket.send("two\n");
  echo.lines.wait([](const std::string& line) { return line == "two"; });
  EXPECT_TRUE(has_no_data(socket));
  echo.with([](Link& link) {
    link.hold(Direction::down, false);
    link.hold(Direction::up);
  });
  EXPECT_EQ(socket.line(), "two");
  socket.send("three\n");
  auto other = echo.dial();  // is accepted, but not forwarded
  other.send("four\n");
  EXPECT_TRUE(has_no_data(other));
  EXPECT_FALSE(echo.received("three") || echo.received("four"));
  echo.with([](Link& link) { link.heal(); });
  EXPECT_EQ(socket.line(), "three");
  EXPECT_EQ(other.line(), "four");
}

TEST(Relay, ForwardsNoEndOfConnectionWhileSilent) {
  Echo echo;
  auto socket = echo.dial();
  socket.send("one\n");
  EXPECT_EQ(socket.line(), "one");
  echo.with([](Link& link) { link.silence(); });
  echo.server.stop_accepting();
  ::shutdown(socket.fd(), SHUT_WR);
  EXPECT_TRUE(has_no_data(socket));
  echo.with([](Link& link) { link.heal(); });
  EXPECT_TRUE(socket.ended());
}

TEST(Relay, CutsResetsAndDelays) {
  Echo echo;
  auto socket = echo.dial();
  socket.send("one\n");
  EXPECT_EQ(socket.line(), "one");
  echo.with([](Link& link) { link.cut(); });
  EXPECT_FALSE(socket.receive());
  auto refused = echo.dial();
  EXPECT_FALSE(refused.receive());
  echo.with([](Link& link) {
    link.heal();
    link.delay(50ms);
  });
  auto late = echo.dial();
  const auto from = std::chrono::steady_clock::now();
  late.send("two\n");
  EXPECT_EQ(late.line(), "two");
  EXPECT_GE(std::chrono::steady_clock::now() - from, 100ms);
  echo.with([](Link& link) { link.reset(); });
  EXPECT_FALSE(late.receive());
  EXPECT_NO_THROW(echo.dial());
  std::uint64_t up = 0, down = 0;
  echo.with([&](Link& link) {
    up = link.bytes(Direction::up);
    down = link.bytes(Direction::down);
  });
  EXPECT_EQ(up, 8U);
  EXPECT_EQ(down, 8U);
}

TEST(Relay, ResetsWithoutTargetAndFollowsMovedTarget) {
  Echo echo;
  echo.network.set_target("b", "");
  auto socket = echo.dial();
  EXPECT_FALSE(socket.receive());
  Echo other;
  echo.network.set_target("b", other.server.address());
  auto again = echo.dial();
  again.send("one\n");
  EXPECT_EQ(again.line(), "one");
  EXPECT_TRUE(other.received("one"));
}

}  // namespace
}  // namespace bellstair::test
