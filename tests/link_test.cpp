// Framed channels before peers that send noise, too much, too little, or nothing.
#include <gtest/gtest.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <cerrno>
#include <map>
#include <random>

#include "link/channel_manager.hpp"

namespace bellstair::link {
namespace {
using namespace std::chrono_literals;

std::string text_of(const std::optional<FrameError>& error) { return error ? error->what() : ""; }

std::vector<std::string> bodies(const std::string& bytes, std::size_t piece, std::string& problem) {
  std::vector<std::string> out;
  FrameDecoder decoder(1 << 20);
  for (std::size_t at = 0; at < bytes.size() && problem.empty(); at += piece)
    problem = text_of(decoder.feed(std::string_view(bytes).substr(at, piece), [&](std::string_view body) {
      out.emplace_back(body);
      return true;
    }));
  return out;
}

TEST(Frames, ComeWholeHoweverTheyAreCut) {
  const std::vector<std::string> sent{"a", std::string(300, 'b'), std::string("\0\xff", 2),
                                      std::string(5000, 'c')};
  std::string bytes;
  for (const auto& body : sent) bytes += encode_frame(body);
  for (std::size_t piece = 1; piece < 400; ++piece) {
    std::string problem;
    EXPECT_EQ(bodies(bytes, piece, problem), sent) << piece;
    EXPECT_EQ(problem, "");
  }
}

TEST(Frames, OneWrongBitAnywhereIsFound) {
  const auto good = encode_frame("the body of a frame");
  for (std::size_t bit = 0; bit < good.size() * 8; ++bit) {
    auto bytes = good;
    bytes[bit / 8] = static_cast<char>(bytes[bit / 8] ^ (1 << (bit % 8)));
    for (const std::size_t piece : {std::size_t{1}, bytes.size()}) {
      std::string problem;
      EXPECT_TRUE(bodies(bytes, piece, problem).empty()) << bit;
      // A length that became greater waits for more.
      if (bit >= 32) {
        EXPECT_EQ(problem, "the checksum of a frame is wrong") << bit;
      }
    }
  }
}

TEST(Frames, LengthsThatAreNoneEndAllAtTheirHead) {
  const auto said = [](const std::string& bytes, std::size_t most, std::size_t first) {
    FrameDecoder decoder(most, first);
    return text_of(decoder.feed(bytes, [](std::string_view) { return true; }));
  };
  EXPECT_EQ(said(std::string(8, '\0'), 100, 100), "a frame is empty");
  EXPECT_EQ(said(std::string(8, '\xff'), 100, 100), "a frame of 4294967295 bytes: at most 100 are taken");
  EXPECT_EQ(said(encode_frame(std::string(101, 'x')).substr(0, 8), 100, 100),
            "a frame of 101 bytes: at most 100 are taken");
  // The first one has a bound of its own; those after it the other.
  EXPECT_EQ(said(encode_frame(std::string(11, 'x')), 100, 10), "a frame of 11 bytes: at most 10 are taken");
  EXPECT_EQ(said(encode_frame(std::string(10, 'x')) + encode_frame(std::string(100, 'x')), 100, 10), "");
}

TEST(Frames, ALengthAloneTakesNoMemory) {
  constexpr std::size_t kMost = std::size_t{4} << 20;
  FrameDecoder decoder(kMost);
  const auto bytes = encode_frame(std::string(kMost, 'x'));
  const auto take = [](std::string_view) { return true; };
  EXPECT_EQ(text_of(decoder.feed(bytes.substr(0, 1000), take)), "");
  EXPECT_LE(decoder.buffered_bytes(), std::size_t{32} << 10);
  for (std::size_t at = 1000; at + 1000 < bytes.size(); at += 1000) {
    ASSERT_EQ(text_of(decoder.feed(std::string_view(bytes).substr(at, 1000), take)), "");
    ASSERT_LE(decoder.buffered_bytes(), kMost);
  }
  EXPECT_EQ(text_of(decoder.feed(std::string_view(bytes).substr(bytes.size() / 1000 * 1000), take)), "");
  EXPECT_FALSE(decoder.is_within_frame());
  EXPECT_LT(decoder.buffered_bytes(), 100U);  // given back
}

// ---- the channel manager on a loop, before plain sockets

class Peer {
 public:
  explicit Peer(const std::string& address) : fd_(net::begin_connect(net::parse_address(address).value())) {}
  explicit Peer(net::Fd fd) : fd_(std::move(fd)) {}
  void send(std::string_view bytes) { (void)!::send(fd_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL); }
  // Whatever has come; true once it has ended, cleanly or not.
  bool read() {
    char buffer[65536];
    for (;;) {
      const auto got = ::recv(fd_.get(), buffer, sizeof buffer, MSG_DONTWAIT);
      if (got > 0) {
        in.append(buffer, static_cast<std::size_t>(got));
        continue;
      }
      if (got < 0 && (errno == EAGAIN || errno == EINTR || errno == ENOTCONN)) return false;
      if (got < 0) reset = true;
      return true;
    }
  }
  [[nodiscard]] bool connected() const {
    sockaddr_in at{};
    socklen_t size = sizeof at;
    return ::getpeername(fd_.get(), reinterpret_cast<sockaddr*>(&at), &size) == 0;
  }
  void half_close() { ::shutdown(fd_.get(), SHUT_WR); }
  void vanish() {  // as a dying process does
    const linger now{1, 0};
    ::setsockopt(fd_.get(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
    fd_.reset();
  }
  void close() { fd_.reset(); }
  std::string in;
  bool reset = false;

 private:
  net::Fd fd_;
};

class ChannelManagerTest : public testing::Test {
 protected:
  static constexpr std::size_t kMost = std::size_t{1} << 20;

  void open(std::size_t most_accepted = 100) {
    manager = std::make_unique<ChannelManager>(
        loop, Limits{kMost, kMost / 2, 2 * kMost}, most_accepted,
        ChannelManager::Handlers{
            .on_accepted = [this](ChannelId id) { accepted.push_back(id); },
            .on_connected = [this](ChannelId id) { connected.push_back(id); },
            .on_message =
                [this](ChannelId id, std::string_view body) {
                  messages[id].emplace_back(body);
                  if (on_message) on_message(id);
                },
            .on_drained = [this](ChannelId id) { ++drained[id]; },
            .on_closed =
                [this](ChannelId id, const ChannelError& error, const std::string& from) {
                  EXPECT_FALSE(closed.contains(id));
                  EXPECT_FALSE(from.empty());
                  closed[id] = error.what();
                  faults.emplace(id, error.code());
                },
        });
    auto fd = net::listen_tcp(net::parse_address("127.0.0.1:0").value());
    address = net::local_address(fd.get());
    manager->listen(std::move(fd));
  }
  // Turns of the loop until it is so; a test that waits in vain fails.
  void until(const std::function<bool()>& so, const char* what) {
    const auto from = std::chrono::steady_clock::now();
    ev::timer turn(loop);
    turn.set<ChannelManagerTest, &ChannelManagerTest::on_turn>(this);
    turn.start(0, 0.001);
    for (;;) {
      manager->settle();
      if (so()) return;
      ASSERT_LT(std::chrono::steady_clock::now() - from, 20s) << what;
      loop.run(ev::ONCE);
    }
  }
  void on_turn(ev::timer&, int) {}
  ChannelId accept(const Peer&) {
    const auto before = accepted.size();
    until([&] { return accepted.size() > before; }, "accepted");
    return accepted.back();
  }
  void ends(ChannelId id, const std::string& reason) {
    until([&] { return closed.contains(id); }, "closed");
    EXPECT_EQ(closed[id], reason);
  }

  ev::dynamic_loop loop;
  std::unique_ptr<ChannelManager> manager;
  std::string address;
  std::vector<ChannelId> accepted, connected;
  std::map<ChannelId, std::vector<std::string>> messages;
  std::map<ChannelId, int> drained;
  std::map<ChannelId, std::string> closed;
  std::map<ChannelId, ChannelFault> faults;
  std::function<void(ChannelId)> on_message;
};

TEST_F(ChannelManagerTest, MessagesGoBothWaysAndDrainedFollowsEachSend) {
  open();
  Peer peer(address);
  const auto id = accept(peer);
  peer.send(encode_frame("up"));
  until([&] { return messages[id].size() == 1; }, "a message");
  for (int i = 1; i <= 3; ++i) {
    manager->send(id, "down");
    EXPECT_EQ(drained[id], i - 1);  // never from within
    until([&] { return drained[id] == i; }, "drained");
  }
  until([&] { return (void)peer.read(), peer.in.size() >= 3 * encode_frame("down").size(); },
        "three answers");
  EXPECT_EQ(peer.in, encode_frame("down") + encode_frame("down") + encode_frame("down"));
  peer.close();
  ends(id, "the peer has closed");
  EXPECT_EQ(faults.at(id), ChannelFault::closed_by_peer);
}

TEST_F(ChannelManagerTest, DrainedWaitsForASlowReader) {
  open();
  Peer peer(address);
  const auto id = accept(peer);
  // More than the system's buffers take.
  int sends = 0;
  for (; manager->unsent_bytes() < kMost; ++sends) manager->send(id, std::string(kMost / 2, 'x'));
  for (int i = 0; i < 100; ++i) {
    manager->settle();
    loop.run(ev::NOWAIT);
  }
  EXPECT_EQ(drained[id], 0);
  const auto all = static_cast<std::size_t>(sends) * (kMost / 2 + kFrameHeaderBytes);
  until([&] { return (void)peer.read(), peer.in.size() == all; }, "all of it");
  until([&] { return drained[id] == 1; }, "drained");
}

TEST_F(ChannelManagerTest, APeerThatDoesNotReadIsCutOffAtTheBound) {
  open();
  Peer peer(address), other(address);
  until([&] { return accepted.size() == 2; }, "accepted");
  const auto id = accepted[0], neighbour = accepted[1];
  for (int i = 0; i < 200; ++i) {
    manager->send(id, std::string(kMost, 'x'));
    ASSERT_LE(manager->unsent_bytes(), 2 * kMost);
  }
  EXPECT_TRUE(closed.empty());  // never from within
  ends(id, "the peer does not read what it is sent");
  manager->send(neighbour, "still here");
  until([&] { return (void)other.read(), other.in == encode_frame("still here"); },
        "the neighbour's message");
}

TEST_F(ChannelManagerTest, WhatIsTooLongIsNotSent) {
  open();
  Peer peer(address);
  const auto id = accept(peer);
  manager->send(id, std::string(kMost + 1, 'x'));
  ends(id, "a message of 1048577 bytes is too long to send");
  until([&] { return peer.read(); }, "its end");
  EXPECT_EQ(peer.in, "");
}

TEST_F(ChannelManagerTest, NoiseIsCutOffAndNeighboursGoOn) {
  open();
  Peer good(address);
  const auto neighbour = accept(good);
  std::mt19937_64 random(7);
  for (int i = 0; i < 50; ++i) {
    Peer peer(address);
    const auto id = accept(peer);
    std::string noise(8 + random() % 5000, '\0');
    for (auto& byte : noise) byte = static_cast<char>(random());
    noise[0] = static_cast<char>(noise[0] | 0x40);  // the length is beyond the bound
    peer.send(noise);
    until([&] { return closed.contains(id); }, "closed");
    EXPECT_TRUE(closed[id].starts_with("a frame of ")) << closed[id];
    until([&] { return peer.read(); }, "its end");
    EXPECT_TRUE(messages[id].empty());
    good.send(encode_frame("x"));
    until([&] { return messages[neighbour].size() == static_cast<std::size_t>(i) + 1; },
          "the neighbour's message");
  }
  EXPECT_EQ(manager->accepted_count(), 1U);
}

TEST_F(ChannelManagerTest, AWrongChecksumEndsItAndNothingAfterIsHeard) {
  open();
  Peer peer(address);
  const auto id = accept(peer);
  auto wrong = encode_frame("second");
  wrong.back() = 'X';
  peer.send(encode_frame("first") + wrong + encode_frame("third"));
  ends(id, "the checksum of a frame is wrong");
  EXPECT_EQ(messages[id], std::vector<std::string>{"first"});
}

// A frame that never ends holds what has come of it, and no more than its length.
TEST_F(ChannelManagerTest, EndsWithinAFrameAreTold) {
  open();
  const auto half = encode_frame(std::string(1000, 'x')).substr(0, 500);
  Peer cut(address);
  const auto first = accept(cut);
  cut.send(half);
  cut.half_close();
  ends(first, "the peer has closed within a frame");
  EXPECT_EQ(faults.at(first), ChannelFault::closed_within_frame);
  Peer dead(address);
  const auto second = accept(dead);
  dead.send(half);
  dead.vanish();
  ends(second, "Connection reset by peer");
}

TEST_F(ChannelManagerTest, BeyondTheBoundConnectionsAreTurnedAway) {
  open(8);
  std::vector<std::unique_ptr<Peer>> peers;
  for (int i = 0; i < 8; ++i) peers.push_back(std::make_unique<Peer>(address));
  until([&] { return accepted.size() == 8; }, "eight");
  for (int i = 0; i < 50; ++i) {
    Peer more(address);
    until([&] { return more.read(); }, "its end");
    if (HasFatalFailure()) return;
  }
  EXPECT_EQ(manager->rejected_count(), 50U);
  EXPECT_EQ(accepted.size(), 8U);
  peers.pop_back();
  until([&] { return closed.size() == 1; }, "room");
  Peer next(address);
  accept(next);
  EXPECT_EQ(manager->accepted_count(), 8U);
}

// Set for one test, and for what the process may have open afterwards.
class Descriptors {
 public:
  Descriptors() { ::getrlimit(RLIMIT_NOFILE, &before_); }
  ~Descriptors() { ::setrlimit(RLIMIT_NOFILE, &before_); }
  void most(rlim_t number) const {
    const rlimit limit{number, before_.rlim_max};
    ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &limit), 0);
  }

 private:
  rlimit before_{};
};

TEST_F(ChannelManagerTest, HoldsElevenHundredAtOnce) {
  constexpr std::size_t kAll = 1100;
  const Descriptors descriptors;
  descriptors.most(2 * kAll + 100);
  open(kAll);
  std::vector<std::unique_ptr<Peer>> peers;
  for (std::size_t i = 0; i < kAll; ++i) {
    peers.push_back(std::make_unique<Peer>(address));
    peers.back()->send(encode_frame("hello"));
    if (i % 100 == 0) until([&] { return accepted.size() + 100 > i; }, "accepted");  // the backlog is 512
  }
  until([&] { return accepted.size() == kAll; }, "all");
  for (auto& peer : peers) peer->send(encode_frame("hello"));
  until([&] { return messages.size() == kAll; }, "a message of each");
  for (const auto id : accepted) manager->send(id, "version");
  for (auto& peer : peers)
    until([&] { return (void)peer->read(), peer->in == encode_frame("version"); }, "the version");
  EXPECT_TRUE(closed.empty());
}

TEST_F(ChannelManagerTest, OutOfDescriptorsWhatComesIsTurnedAwayAndTheRestGoesOn) {
  open();
  Peer good(address);
  const auto id = accept(good);
  // UBSan looks at the first use of each type through a pipe of its own, and without a descriptor for that
  // takes a sound object for a broken one: all of what follows happens once before they are gone.
  good.send(encode_frame("w"));
  until([&] { return messages[id].size() == 1; }, "a message");
  ends(manager->dial("127.0.0.1:1"), "Connection refused");
  closed.clear();
  std::vector<std::unique_ptr<Peer>> more;
  for (int i = 0; i < 5; ++i) more.push_back(std::make_unique<Peer>(address));
  const Descriptors descriptors;
  descriptors.most(static_cast<rlim_t>(::dup(0)));  // not one more
  for (auto& peer : more) until([&] { return peer->read(); }, "its end");
  EXPECT_EQ(accepted.size(), 1U);
  good.send(encode_frame("x"));
  until([&] { return messages[id].size() == 2; }, "a message");
  // A dial fails, and is told from the loop.
  const auto dialled = manager->dial(address);
  EXPECT_TRUE(closed.empty());
  ends(dialled, "Too many open files");
}

TEST_F(ChannelManagerTest, ALastWordIsReadThoughThePeerWasStillSending) {
  open();
  Peer peer(address);
  const auto id = accept(peer);
  peer.send(std::string(8, '\0').replace(2, 1, "\x01") +
            std::string(50'000, 'x'));  // a frame of 65,536 bytes
  manager->send(id, "farewell");
  manager->close_after_flush(id);
  for (int i = 0; i < 10; ++i) peer.send(std::string(1000, 'x'));
  until([&] { return peer.read(); }, "its end");
  EXPECT_FALSE(peer.reset);
  EXPECT_EQ(peer.in, encode_frame("farewell"));
  EXPECT_EQ(manager->accepted_count(), 0U);
  peer.close();
  until([&] { return manager->closing_count() == 0; }, "let go of");
  EXPECT_TRUE(closed.empty());  // its owner finished it
}

TEST_F(ChannelManagerTest, ALingererThatNeverClosesIsLetGoOf) {
  open();
  Peer peer(address);
  const auto id = accept(peer);
  manager->tick(10s);
  manager->close_after_flush(id);
  EXPECT_EQ(manager->closing_count(), 1U);
  manager->tick(10s + net::Lingerer::kLingerTimeout);
  EXPECT_EQ(manager->closing_count(), 0U);
}

TEST_F(ChannelManagerTest, AnOwnerMayLeaveFromWithinAMessage) {
  open();
  Peer peer(address);
  const auto id = accept(peer);
  on_message = [&](ChannelId from) {
    manager->send(from, "no");
    manager->close_after_flush(from);
    manager->close(from);
    manager->send(from, "dropped");
  };
  peer.send(encode_frame("first") + encode_frame("second"));
  until([&] { return peer.read(); }, "its end");
  EXPECT_EQ(messages[id], std::vector<std::string>{"first"});
  EXPECT_EQ(peer.in, encode_frame("no"));
  EXPECT_TRUE(closed.empty());
}

TEST_F(ChannelManagerTest, DialsComeUpOrAreToldFromTheLoop) {
  open();
  const auto good = manager->dial(address);
  until([&] { return connected.size() == 1 && accepted.size() == 1; }, "connected");
  EXPECT_EQ(connected[0], good);
  manager->send(good, "up");
  until([&] { return messages[accepted[0]].size() == 1; }, "a message");
  manager->close(good);
  ends(accepted[0], "the peer has closed");
  std::string nobody;
  {
    const auto fd = net::listen_tcp(net::parse_address("127.0.0.1:0").value());
    nobody = net::local_address(fd.get());
  }
  const auto refused = manager->dial(nobody), none = manager->dial("nowhere");
  EXPECT_FALSE(closed.contains(refused) || closed.contains(none));
  ends(none, "Invalid argument");
  ends(refused, "Connection refused");
}

}  // namespace
}  // namespace bellstair::link
