// The platform's front: clients that speak JSON-RPC over TCP.
#pragma once

#include <ev++.h>

#include <array>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/config.hpp"
#include "core/events.hpp"
#include "core/wheel.hpp"
#include "net/lingerer.hpp"
#include "net/listener.hpp"
#include "net/stream.hpp"
#include "platform/jsonrpc.hpp"

namespace bellstair::platform {

class Front {
 public:
  using Post = std::function<void(core::Event)>;
  // Clients' handles are drawn from `handles`, which all fronts share.
  Front(ev::loop_ref loop, net::Fd listening, const config::Names& names, std::size_t most_connections,
        std::uint64_t& handles, std::function<bool()> green, Post post);

  // False: the client is not one of this front's.
  bool run(const core::Answer& answer);
  void settle();
  void tick(core::Time now);
  // The clock, after a time without a tick: nothing falls due before what has come meanwhile is read, and
  // that may have come from `since` on.
  void wake(core::Time now, core::Time since);
  // The program ends: every connection is closed once nothing on it is owed.
  void finish();
  // True while something is to be written, or a client has still to read its last word.
  [[nodiscard]] bool unwritten() const;

 private:
  static constexpr std::size_t kMaxLine = std::size_t{256} * 1024;
  static constexpr std::size_t kMaxUnwritten = std::size_t{4} << 20;
  static constexpr std::size_t kMaxPartial = std::size_t{4}
                                             << 20;  // of lines cut in two, all clients together
  static constexpr unsigned kMaxStrikes = 64;        // lines of no use, on one connection
  static constexpr std::size_t kMaxOpen = 32;
  static constexpr std::size_t kMaxLingering = 16;  // beyond what the connections' room leaves
  static constexpr std::size_t kMaxRefusing = 16;   // connections beyond the room, each request refused

  // In the order in which they are closed to make room. Busy ones never are.
  enum class Rank { stranger, idle, busy };
  struct Connection {
    std::uint64_t serial = 0;
    net::Stream stream;
    std::string in;
    std::uint64_t last_id = 0;  // of its requests
    bool ended = false;         // the client writes no more: it has closed its side, or all of it
    bool closing = false;       // what more comes is dropped; closed once what is open has its answers
    bool spoken = false;        // a whole line has come
    bool asked = false;         // a request was taken
    bool watched = false;       // a timer is armed for it
    bool refuses = false;       // there was no room for it: what it asks is refused
    unsigned strikes = 0;
    core::Time since{};  // it was accepted, or the line that is not whole began
    core::Time
        unread_since{};  // what is read first may have come then, before it was accepted; 0: not before
    Rank rank = Rank::stranger;
    std::list<Connection*>::iterator place;
    std::unordered_map<std::uint64_t, core::ClientHandle> open;  // by the client's id
    Connection(ev::loop_ref loop, net::Fd fd) : stream(loop, std::move(fd), false, kMaxUnwritten) {}
  };
  struct Open {
    std::uint64_t connection = 0, id = 0;
    std::string ticket;
  };

  void accept(net::Fd fd, core::Time waited);
  void read(Connection& connection, std::string_view bytes);
  void take(Connection& connection, std::string_view bytes);
  void take_line(Connection& connection, std::string_view line);
  void cancel(Connection& connection, const RpcCancel& message);
  // The one end of a connection: what is open on it is cancelled.
  void close(Connection& connection);
  void finish(Connection& connection);  // by a lingering close
  // The client's last word from here; closed once what is open on it has its answers.
  void dismiss(Connection& connection, std::string_view why);
  void strike(Connection& connection, const std::string& reply);
  void watch(Connection& connection, core::Time until);
  void rank(Connection& connection);
  bool make_room();
  bool free_descriptor();  // at once; false: none can be
  // Of those that may be closed to make room; none: all are busy.
  [[nodiscard]] Connection* longest_at_rest();
  void trim();

  ev::loop_ref loop_;
  const config::Names& names_;
  std::size_t most_connections_;
  std::uint64_t& handles_;
  std::function<bool()> green_;
  Post post_;
  net::Listener listener_;
  std::unordered_map<std::uint64_t, std::unique_ptr<Connection>> connections_;
  std::unordered_map<core::ClientHandle, Open> open_;
  std::vector<std::unique_ptr<Connection>> gone_;
  net::Lingerer lingerer_;
  bool finishing_ = false;
  std::array<std::list<Connection*>, 3> ranks_;  // by Rank, the one longest there in front
  core::TimerWheel<std::uint64_t> watches_{std::chrono::milliseconds(5)};
  std::size_t partial_ = 0;  // bytes of lines cut in two
  std::uint64_t serial_ = 0;
  core::Time now_{};
  core::Time woken_{}, stalled_since_{};  // the last stall
};

}  // namespace bellstair::platform
