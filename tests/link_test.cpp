// Tests of framed channels against peers that send invalid data, too much, too little, or nothing.
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

std::string error_text(const std::optional<FrameError>& error) { return error ? error->what() : ""; }

std::vector<std::string> decode_in_pieces(const std::string& bytes, std::size_t piece, std::string& error) {
  std::vector<std::string> out;
  FrameDecoder decoder(1 << 20);
  for (std::size_t at = 0; at < bytes.size() && error.empty(); at += piece)
    error = error_text(decoder.feed(std::string_view(bytes).substr(at, piece), [&](std::string_view body) {
      out.emplace_back(body);
      return true;
    }));
  return out;
}

TEST(Frames, AreDecodedFromPiecesOfAnySize) {
  const std::vector<std::string> sent{"a", std::string(300, 'b'), std::string("\0\xff", 2),
                                      std::string(5000, 'c')};
  std::string bytes;
  for (const auto& body : sent) bytes += encode_frame(body);
  for (std::size_t piece = 1; piece < 400; ++piece) {
    std::string error;
    EXPECT_EQ(decode_in_pieces(bytes, piece, error), sent) << piece;
    EXPECT_EQ(error, "");
  }
}

TEST(Frames, AnyWrongBitIsDetected) {
  const auto valid = encode_frame("the body of a frame");
  for (std::size_t bit = 0; bit < valid.size() * 8; ++bit) {
    auto bytes = valid;
    bytes[bit / 8] = static_cast<char>(bytes[bit / 8] ^ (1 << (bit % 8)));
    for (const std::size_t piece : {std::size_t{1}, bytes.size()}) {
      std::string error;
      EXPECT_TRUE(decode_in_pieces(bytes, piece, error).empty()) << bit;
      // If the length has become larger, the decoder waits for more bytes.
      if (bit >= 32) {
        EXPECT_EQ(error, "the checksum of a frame is wrong") << bit;
      }
    }
  }
}

TEST(Frames, InvalidLengthsAreRejectedAtTheHeader) {
  const auto decode_error = [](const std::string& bytes, std::size_t max, std::size_t max_first) {
    FrameDecoder decoder(max, max_first);
    return error_text(decoder.feed(bytes, [](std::string_view) { return true; }));
  };
  EXPECT_EQ(decode_error(std::string(8, '\0'), 100, 100), "a frame is empty");
  EXPECT_EQ(decode_error(std::string(8, '\xff'), 100, 100),
            "a frame of 4294967295 bytes is too long: the limit is 100 bytes");
  EXPECT_EQ(decode_error(encode_frame(std::string(101, 'x')).substr(0, 8), 100, 100),
            "a frame of 101 bytes is too long: the limit is 100 bytes");
  // The first frame has a limit of its own; the other limit applies to all later ones.
  EXPECT_EQ(decode_error(encode_frame(std::string(11, 'x')), 100, 10),
            "a frame of 11 bytes is too long: the limit is 10 bytes");
  EXPECT_EQ(decode_error(encode_frame(std::string(10, 'x')) + encode_frame(std::string(100, 'x')), 100, 10),
            "");
}

TEST(Frames, AnAnnouncedLengthAllocatesNoMemory) {
  constexpr std::size_t kMaxBytes = std::size_t{4} << 20;
  FrameDecoder decoder(kMaxBytes);
  const auto bytes = encode_frame(std::string(kMaxBytes, 'x'));
  const auto accept = [](std::string_view) { return true; };
  EXPECT_EQ(error_text(decoder.feed(bytes.substr(0, 1000), accept)), "");
  EXPECT_LE(decoder.buffered_bytes(), std::size_t{32} << 10);
  for (std::size_t at = 1000; at + 1000 < bytes.size(); at += 1000) {
    ASSERT_EQ(error_text(decoder.feed(std::string_view(bytes).substr(at, 1000), accept)), "");
    ASSERT_LE(decoder.buffered_bytes(), kMaxBytes);
  }
  EXPECT_EQ(error_text(decoder.feed(std::string_view(bytes).substr(bytes.size() / 1000 * 1000), accept)), "");
  EXPECT_FALSE(decoder.is_within_frame());
  EXPECT_LT(decoder.buffered_bytes(), 100U);  // the buffer was freed
}

// ---- the channel manager on an event loop, against plain sockets

class Peer {
 public:
  explicit Peer(const std::string& address) : fd_(net::begin_connect(net::parse_address(address).value())) {}
  explicit Peer(net::Fd fd) : fd_(std::move(fd)) {}
  void send(std::string_view bytes) { (void)!::send(fd_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL); }
  // Reads all available bytes into `received`. Returns true once the stream has ended, also by a reset.
  bool read() {
    char buffer[65536];
    for (;;) {
      const auto count = ::recv(fd_.get(), buffer, sizeof buffer, MSG_DONTWAIT);
      if (count > 0) {
        received.append(buffer, static_cast<std::size_t>(count));
        continue;
      }
      if (count < 0 && (errno == EAGAIN || errno == EINTR || errno == ENOTCONN)) return false;
      if (count < 0) reset = true;
      return true;
    }
  }
  [[nodiscard]] bool connected() const {
    sockaddr_in address{};
    socklen_t size = sizeof address;
    return ::getpeername(fd_.get(), reinterpret_cast<sockaddr*>(&address), &size) == 0;
  }
  void half_close() { ::shutdown(fd_.get(), SHUT_WR); }
  void reset_connection() {  // as when its process dies
    const linger zero_timeout{1, 0};
    ::setsockopt(fd_.get(), SOL_SOCKET, SO_LINGER, &zero_timeout, sizeof zero_timeout);
    fd_.reset();
  }
  void close() { fd_.reset(); }
  std::string received;
  bool reset = false;

 private:
  net::Fd fd_;
};

class ChannelManagerTest : public testing::Test {
 protected:
  static constexpr std::size_t kMaxBytes = std::size_t{1} << 20;

  void open(std::size_t max_accepted = 100) {
    manager = std::make_unique<ChannelManager>(
        loop, Limits{kMaxBytes, kMaxBytes / 2, 2 * kMaxBytes}, max_accepted,
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
                [this](ChannelId id, const ChannelError& error, const std::string& peer_address) {
                  EXPECT_FALSE(closed.contains(id));
                  EXPECT_FALSE(peer_address.empty());
                  closed[id] = error.what();
                  faults.emplace(id, error.code());
                },
        });
    auto fd = net::listen_tcp(net::parse_address("127.0.0.1:0").value());
    address = net::local_address(fd.get());
    manager->listen(std::move(fd));
  }
  // Runs the loop until the condition holds; fails the test after a timeout.
  void wait_until(const std::function<bool()>& condition, const char* description) {
    const auto start = std::chrono::steady_clock::now();
    ev::timer timer(loop);
    timer.set<ChannelManagerTest, &ChannelManagerTest::on_timer>(this);
    timer.start(0, 0.001);
    for (;;) {
      manager->settle();
      if (condition()) return;
      ASSERT_LT(std::chrono::steady_clock::now() - start, 20s) << description;
      loop.run(ev::ONCE);
    }
  }
  void on_timer(ev::timer&, int) {}
  ChannelId accept(const Peer&) {
    const auto before = accepted.size();
    wait_until([&] { return accepted.size() > before; }, "accepted");
    return accepted.back();
  }
  void expect_closed(ChannelId id, const std::string& reason) {
    wait_until([&] { return closed.contains(id); }, "closed");
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

TEST_F(ChannelManagerTest, MessagesPassBothWaysAndOnDrainedFollowsEachSend) {
  open();
  Peer peer(address);
  const auto id = accept(peer);
  peer.send(encode_frame("up"));
  wait_until([&] { return messages[id].size() == 1; }, "a message");
  for (int i = 1; i <= 3; ++i) {
    manager->send(id, "down");
    EXPECT_EQ(drained[id], i - 1);  // not called from within send()
    wait_until([&] { return drained[id] == i; }, "drained");
  }
  wait_until([&] { return (void)peer.read(), peer.received.size() >= 3 * encode_frame("down").size(); },
             "three answers");
  EXPECT_EQ(peer.received, encode_frame("down") + encode_frame("down") + encode_frame("down"));
  peer.close();
  expect_closed(id, "the peer closed the connection");
  EXPECT_EQ(faults.at(id), ChannelFault::closed_by_peer);
}

TEST_F(ChannelManagerTest, OnDrainedWaitsForASlowReader) {
  open();
  Peer peer(address);
  const auto id = accept(peer);
  // Sends more than the kernel's buffers take.
  int sends = 0;
  for (; manager->unsent_bytes() < kMaxBytes; ++sends) manager->send(id, std::string(kMaxBytes / 2, 'x'));
  for (int i = 0; i < 100; ++i) {
    manager->settle();
    loop.run(ev::NOWAIT);
  }
  EXPECT_EQ(drained[id], 0);
  const auto all = static_cast<std::size_t>(sends) * (kMaxBytes / 2 + kFrameHeaderBytes);
  wait_until([&] { return (void)peer.read(), peer.received.size() == all; }, "all messages");
  wait_until([&] { return drained[id] == 1; }, "drained");
}

TEST_F(ChannelManagerTest, PeerThatDoesNotReadIsClosedAtTheLimit) {
  open();
  Peer peer(address), other(address);
  wait_until([&] { return accepted.size() == 2; }, "accepted");
  const auto id = accepted[0], other_id = accepted[1];
  for (int i = 0; i < 200; ++i) {
    manager->send(id, std::string(kMaxBytes, 'x'));
    ASSERT_LE(manager->unsent_bytes(), 2 * kMaxBytes);
  }
  EXPECT_TRUE(closed.empty());  // not called from within send()
  expect_closed(id, "the peer reads too slowly: the limit of unsent bytes is exceeded");
  manager->send(other_id, "still open");
  wait_until([&] { return (void)other.read(), other.received == encode_frame("still open"); },
             "the other channel's message");
}

TEST_F(ChannelManagerTest, MessageThatIsTooLongIsNotSent) {
  open();
  Peer peer(address);
  const auto id = accept(peer);
  manager->send(id, std::string(kMaxBytes + 1, 'x'));
  expect_closed(id, "a message of 1048577 bytes is too long to send");
  wait_until([&] { return peer.read(); }, "the end of the stream");
  EXPECT_EQ(peer.received, "");
}

TEST_F(ChannelManagerTest, PeerThatSendsNoiseIsClosedAndOthersContinue) {
  open();
  Peer valid_peer(address);
  const auto other_id = accept(valid_peer);
  std::mt19937_64 random(7);
  for (int i = 0; i < 50; ++i) {
    Peer peer(address);
    const auto id = accept(peer);
    std::string noise(8 + random() % 5000, '\0');
    for (auto& byte : noise) byte = static_cast<char>(random());
    noise[0] = static_cast<char>(noise[0] | 0x40);  // the length exceeds the limit
    peer.send(noise);
    wait_until([&] { return closed.contains(id); }, "closed");
    EXPECT_TRUE(closed[id].starts_with("a frame of ")) << closed[id];
    wait_until([&] { return peer.read(); }, "the end of the stream");
    EXPECT_TRUE(messages[id].empty());
    valid_peer.send(encode_frame("x"));
    wait_until([&] { return messages[other_id].size() == static_cast<std::size_t>(i) + 1; },
               "the other channel's message");
  }
  EXPECT_EQ(manager->accepted_count(), 1U);
}

TEST_F(ChannelManagerTest, WrongChecksumClosesTheChannelAndDropsLaterFrames) {
  open();
  Peer peer(address);
  const auto id = accept(peer);
  auto corrupted = encode_frame("second");
  corrupted.back() = 'X';
  peer.send(encode_frame("first") + corrupted + encode_frame("third"));
  expect_closed(id, "the checksum of a frame is wrong");
  EXPECT_EQ(messages[id], std::vector<std::string>{"first"});
}

// The peer ends the stream in the middle of a frame: once by a half close, once by a reset.
TEST_F(ChannelManagerTest, ReportsAnEndOfStreamWithinAFrame) {
  open();
  const auto half = encode_frame(std::string(1000, 'x')).substr(0, 500);
  Peer closing(address);
  const auto first = accept(closing);
  closing.send(half);
  closing.half_close();
  expect_closed(first, "the peer closed the connection within a frame");
  EXPECT_EQ(faults.at(first), ChannelFault::closed_within_frame);
  Peer resetting(address);
  const auto second = accept(resetting);
  resetting.send(half);
  resetting.reset_connection();
  expect_closed(second, "Connection reset by peer");
}

TEST_F(ChannelManagerTest, RejectsConnectionsBeyondTheLimit) {
  open(8);
  std::vector<std::unique_ptr<Peer>> peers;
  for (int i = 0; i < 8; ++i) peers.push_back(std::make_unique<Peer>(address));
  wait_until([&] { return accepted.size() == 8; }, "eight connections");
  for (int i = 0; i < 50; ++i) {
    Peer excess(address);
    wait_until([&] { return excess.read(); }, "the end of the stream");
    if (HasFatalFailure()) return;
  }
  EXPECT_EQ(manager->rejected_count(), 50U);
  EXPECT_EQ(accepted.size(), 8U);
  peers.pop_back();
  wait_until([&] { return closed.size() == 1; }, "a closed connection");
  Peer next(address);
  accept(next);
  EXPECT_EQ(manager->accepted_count(), 8U);
}

// Limits the number of open descriptors, and restores the previous limit at the end of the test.
class DescriptorLimit {
 public:
  DescriptorLimit() { ::getrlimit(RLIMIT_NOFILE, &before_); }
  ~DescriptorLimit() { ::setrlimit(RLIMIT_NOFILE, &before_); }
  void set(rlim_t count) const {
    const rlimit limit{count, before_.rlim_max};
    ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &limit), 0);
  }

 private:
  rlimit before_{};
};

TEST_F(ChannelManagerTest, Handles1100ConnectionsAtOnce) {
  constexpr std::size_t kConnections = 1100;
  const DescriptorLimit descriptor_limit;
  descriptor_limit.set(2 * kConnections + 100);
  open(kConnections);
  std::vector<std::unique_ptr<Peer>> peers;
  for (std::size_t i = 0; i < kConnections; ++i) {
    peers.push_back(std::make_unique<Peer>(address));
    peers.back()->send(encode_frame("hello"));
    if (i % 100 == 0)
      wait_until([&] { return accepted.size() + 100 > i; }, "accepted");  // the backlog is 512
  }
  wait_until([&] { return accepted.size() == kConnections; }, "all connections");
  for (auto& peer : peers) peer->send(encode_frame("hello"));
  wait_until([&] { return messages.size() == kConnections; }, "a message of each peer");
  for (const auto id : accepted) manager->send(id, "version");
  for (auto& peer : peers)
    wait_until([&] { return (void)peer->read(), peer->received == encode_frame("version"); }, "the version");
  EXPECT_TRUE(closed.empty());
}

TEST_F(ChannelManagerTest, WithoutDescriptorsRejectsNewConnectionsOnly) {
  open();
  Peer valid_peer(address);
  const auto id = accept(valid_peer);
  // On the first use of each type, UBSan checks memory through a pipe; without a descriptor for the pipe it
  // reports a valid object as invalid. Hence each operation below runs once before the descriptors are used
  // up.
  valid_peer.send(encode_frame("w"));
  wait_until([&] { return messages[id].size() == 1; }, "a message");
  expect_closed(manager->dial("127.0.0.1:1"), "Connection refused");
  closed.clear();
  std::vector<std::unique_ptr<Peer>> peers;
  for (int i = 0; i < 5; ++i) peers.push_back(std::make_unique<Peer>(address));
  const DescriptorLimit descriptor_limit;
  descriptor_limit.set(static_cast<rlim_t>(::dup(0)));  // no further descriptor can be opened
  for (auto& peer : peers) wait_until([&] { return peer->read(); }, "the end of the stream");
  EXPECT_EQ(accepted.size(), 1U);
  valid_peer.send(encode_frame("x"));
  wait_until([&] { return messages[id].size() == 2; }, "a message");
  // A failed dial is reported from the loop.
  const auto dialled = manager->dial(address);
  EXPECT_TRUE(closed.empty());
  expect_closed(dialled, "Too many open files");
}

TEST_F(ChannelManagerTest, LastMessageIsReadWhileThePeerStillSends) {
  open();
  Peer peer(address);
  const auto id = accept(peer);
  peer.send(std::string(8, '\0').replace(2, 1, "\x01") +
            std::string(50'000, 'x'));  // a frame of 65,536 bytes
  manager->send(id, "last message");
  manager->close_after_flush(id);
  for (int i = 0; i < 10; ++i) peer.send(std::string(1000, 'x'));
  wait_until([&] { return peer.read(); }, "the end of the stream");
  EXPECT_FALSE(peer.reset);
  EXPECT_EQ(peer.received, encode_frame("last message"));
  EXPECT_EQ(manager->accepted_count(), 0U);
  peer.close();
  wait_until([&] { return manager->closing_count() == 0; }, "the end of the closing channel");
  EXPECT_TRUE(closed.empty());  // the owner closed it, so on_closed is not called
}

TEST_F(ChannelManagerTest, ClosingChannelIsFreedAfterTheLingerTime) {
  open();
  Peer peer(address);
  const auto id = accept(peer);
  manager->tick(10s);
  manager->close_after_flush(id);
  EXPECT_EQ(manager->closing_count(), 1U);
  manager->tick(10s + net::Lingerer::kLingerTimeout);
  EXPECT_EQ(manager->closing_count(), 0U);
}

TEST_F(ChannelManagerTest, OwnerMayCloseAChannelInOnMessage) {
  open();
  Peer peer(address);
  const auto id = accept(peer);
  on_message = [&](ChannelId id_of_message) {
    manager->send(id_of_message, "answer");
    manager->close_after_flush(id_of_message);
    manager->close(id_of_message);
    manager->send(id_of_message, "dropped");
  };
  peer.send(encode_frame("first") + encode_frame("second"));
  wait_until([&] { return peer.read(); }, "the end of the stream");
  EXPECT_EQ(messages[id], std::vector<std::string>{"first"});
  EXPECT_EQ(peer.received, encode_frame("answer"));
  EXPECT_TRUE(closed.empty());
}

TEST_F(ChannelManagerTest, DialsConnectOrTheirFailureIsReportedFromTheLoop) {
  open();
  const auto dialled = manager->dial(address);
  wait_until([&] { return connected.size() == 1 && accepted.size() == 1; }, "connected");
  EXPECT_EQ(connected[0], dialled);
  manager->send(dialled, "up");
  wait_until([&] { return messages[accepted[0]].size() == 1; }, "a message");
  manager->close(dialled);
  expect_closed(accepted[0], "the peer closed the connection");
  std::string unused_address;
  {
    const auto fd = net::listen_tcp(net::parse_address("127.0.0.1:0").value());
    unused_address = net::local_address(fd.get());
  }
  const auto refused = manager->dial(unused_address), malformed = manager->dial("nowhere");
  EXPECT_FALSE(closed.contains(refused) || closed.contains(malformed));
  expect_closed(malformed, "Invalid argument");
  expect_closed(refused, "Connection refused");
}

}  // namespace
}  // namespace bellstair::link
