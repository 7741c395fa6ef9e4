// Accepts TCP connections on the loop.
#pragma once

#include <ev++.h>

#include <functional>
#include <optional>

#include "net/io_watch.hpp"
#include "net/socket.hpp"
#include "net/steady_clock.hpp"

namespace bellstair::net {

// What a failed accept4() means for the connections that wait to be accepted (accept(2), "Errors").
enum class AcceptError {
  none_waiting,
  this_connection,  // that one has gone, or the call was interrupted: the next may be taken
  own_limit,        // this process holds all the descriptors that it may
  system_limit,     // the system is short of descriptors or memory for now: they can wait
};
[[nodiscard]] AcceptError classify_accept_error(int error);

// A connection that waits in the system's queue is not lost, so that errors of the system's are waited out.
// Only where this process itself has no descriptor left, and its owner can free none, is a connection closed
// at once, by way of a descriptor kept in reserve: left waiting, its client would never hear anything.
class Listener {
 public:
  // Called once for each connection, from the loop. `waited`: how long the connection may have waited, with
  // what its peer has sent meanwhile, since the system did not let it be accepted.
  using AcceptHandler = std::function<void(Fd, Time waited)>;
  // Called from the loop; true: a descriptor has been freed.
  using FreeDescriptor = std::function<bool()>;

  Listener(ev::loop_ref loop, Fd fd, AcceptHandler on_accept, FreeDescriptor free_descriptor = {});
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

 private:
  void on_io(int events);
  [[nodiscard]] bool accept_one();  // false: no more in this turn of the loop
  [[nodiscard]] bool close_next();  // by the reserve; false: not possible now
  void open_reserve();

  IoWatch io_;
  Fd fd_;
  Fd reserve_;
  std::optional<Time> failing_since_;  // accept() has failed since, and has not found the queue empty
  AcceptHandler on_accept_;
  FreeDescriptor free_descriptor_;
};

}  // namespace bellstair::net
