// Lingering close of connections whose clients may still send: sends the remaining output, shuts down the
// sending side, then reads and discards input until the client closes too. A plain close() over unread input
// would reset the connection and destroy data that the client has not read yet.
#pragma once

#include <ev++.h>

#include <list>
#include <memory>
#include <vector>

#include "core/events.hpp"
#include "net/stream.hpp"

namespace bellstair::net {

class Lingerer {
 public:
  // How long a client has to read the remaining output and to close.
  static constexpr core::Time kLingerTimeout = std::chrono::milliseconds(800);
  // Connections that may linger in excess of a server's connection limit.
  static constexpr std::size_t kMaxBeyondCapacity = 16;

  explicit Lingerer(ev::loop_ref loop) : loop_(loop) {}
  // Takes over the connection; the stream is closed afterwards.
  void take(Stream& stream);
  // Sends `message` on a newly accepted connection and closes it, with a linger.
  void reject(Fd fd, std::string_view message);
  // Closes the oldest connections at once until at most `max_lingering` are left, to free descriptors.
  void trim(std::size_t max_lingering);
  // Like trim(), for a server with `open` connections and a limit of `capacity`: open and lingering
  // connections together exceed the limit by at most kMaxBeyondCapacity. No-op after lift_limit().
  void trim_to_capacity(std::size_t open, std::size_t capacity);
  // Closes the oldest connections that have unsent output, until it is at most `max_bytes` in all.
  void trim_unsent(std::size_t max_bytes);
  // For the shutdown, when no new connections need descriptors.
  void lift_limit() { limited_ = false; }

  void settle() { closed_.clear(); }  // once in each iteration of the loop
  void tick(core::Time now);
  void set_clock(core::Time now) { now_ = now; }  // without firing timers
  [[nodiscard]] std::size_t size() const { return lingering_.size(); }

 private:
  struct Lingering {
    Stream stream;
    core::Time deadline;
    Lingering(ev::loop_ref loop, Fd fd, core::Time until)
        : stream(loop, std::move(fd), false, kMaxUnwrittenBytes), deadline(until) {}
  };
  static constexpr std::size_t kMaxUnwrittenBytes = std::size_t{16} << 20;  // at least any server's limit
  using Position = std::list<std::unique_ptr<Lingering>>::iterator;
  void close(Position position);

  ev::loop_ref loop_;
  std::list<std::unique_ptr<Lingering>> lingering_;  // oldest first
  std::vector<std::unique_ptr<Lingering>> closed_;   // freed by settle(), when no handler is running
  bool limited_ = true;
  core::Time now_{};
};

}  // namespace bellstair::net
