// Closes connections whose clients may still send (a lingering close): what is written leaves, then the
// client is shown the end of the stream, and what it still sends is read and dropped until it closes too. A
// plain close() over unread input would reset the connection and destroy data that the client has not read
// yet.
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
  // How long a client has to read the rest and to close.
  static constexpr core::Time kLingerTimeout = std::chrono::milliseconds(800);
  // Connections that may linger at a server that is full otherwise.
  static constexpr std::size_t kMaxBeyondCapacity = 16;

  explicit Lingerer(ev::loop_ref loop) : loop_(loop) {}
  // Takes the connection over; the stream is empty afterwards.
  void take(Stream& stream);
  // Sends `message` on a connection that was just accepted, and closes it.
  void reject(Fd fd, std::string_view message);
  // Closes the oldest outright until no more than `most` are left, so that descriptors suffice.
  void trim(std::size_t most);
  // As trim(), beside `open` connections of a server that may hold `capacity`. No-op after lift_limit().
  void trim_beside(std::size_t open, std::size_t capacity);
  // At shutdown no descriptors are needed any more.
  void lift_limit() { limited_ = false; }

  void settle() { closed_.clear(); }  // once in each turn of the loop
  void tick(core::Time now);
  void set_clock(core::Time now) { now_ = now; }  // fires no timer
  [[nodiscard]] std::size_t size() const { return lingering_.size(); }

 private:
  struct Lingering {
    Stream stream;
    core::Time deadline;
    Lingering(ev::loop_ref loop, Fd fd, core::Time until)
        : stream(loop, std::move(fd), false, kMaxUnwritten), deadline(until) {}
  };
  static constexpr std::size_t kMaxUnwritten = std::size_t{16} << 20;  // no less than any server's own limit
  using Position = std::list<std::unique_ptr<Lingering>>::iterator;
  void close(Position position);

  ev::loop_ref loop_;
  std::list<std::unique_ptr<Lingering>> lingering_;  // the oldest in front
  std::vector<std::unique_ptr<Lingering>> closed_;   // freed once no handler of theirs can be running
  bool limited_ = true;
  core::Time now_{};
};

}  // namespace bellstair::net
