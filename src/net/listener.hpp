// Accepts TCP connections on the event loop.
#pragma once

#include <ev++.h>

#include <functional>
#include <optional>

#include "net/io_watch.hpp"
#include "net/socket.hpp"
#include "net/steady_clock.hpp"

namespace bellstair::net {

// What a failed accept4() means for the connections in the accept queue (accept(2), "Errors").
enum class AcceptError {
  queue_empty,
  connection_failed,  // that connection is gone, or the call was interrupted: the next can be accepted
  process_limit,      // this process has reached its limit on descriptors
  system_limit,       // the system is short of descriptors or memory for now: the connections can wait
};
[[nodiscard]] AcceptError classify_accept_error(int error);

// After a shortage in the system, accept() is retried: connections in the kernel's queue are not lost. If
// this process has no descriptor left and its owner can free none, the listener accepts a connection with a
// descriptor kept in reserve and closes it at once; in the queue, its client would wait without any response.
class Listener {
 public:
  // Called once for each connection, from the loop. `waited`: how long the connection, and what its peer has
  // sent, may have been in the queue while accept() failed.
  using AcceptHandler = std::function<void(Fd, Time waited)>;
  // Called from the loop; returns true if it has freed a descriptor.
  using FreeDescriptor = std::function<bool()>;

  Listener(ev::loop_ref loop, Fd fd, AcceptHandler on_accept, FreeDescriptor free_descriptor = {});
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

 private:
  [[nodiscard]] InputSource::Quantum accept_some();
  [[nodiscard]] bool accept_one();        // false: accept_some() must stop accepting
  [[nodiscard]] bool accept_and_close();  // with the reserve; false: not possible now
  void open_reserve_fd();

  IoWatch io_;
  Fd fd_;
  Fd reserve_fd_;
  std::optional<Time> failing_since_;  // accept() has failed since then without emptying the queue
  AcceptHandler on_accept_;
  FreeDescriptor free_descriptor_;
};

}  // namespace bellstair::net
