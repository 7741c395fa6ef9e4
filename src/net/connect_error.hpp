// What a failed connect() says of the peer it was for (connect(2), "Errors").
#pragma once

#include <cerrno>

namespace bellstair::net {

enum class ConnectError {
  refused,      // the peer's machine answers, and nobody listens there
  reset,        // accepted and reset, which says nothing of who listens
  exhausted,    // this machine has no descriptor, port or memory for it now
  unreachable,  // the network, here or on the way, did not carry it
};

[[nodiscard]] inline ConnectError classify_connect_error(int error) {
  switch (error) {
    case ECONNREFUSED:
      return ConnectError::refused;
    case ECONNRESET:
      return ConnectError::reset;
    case EMFILE:
    case ENFILE:
    case ENOBUFS:
    case ENOMEM:
    case EADDRNOTAVAIL:
    case EADDRINUSE:
    case EAGAIN:
      return ConnectError::exhausted;
    default:
      return ConnectError::unreachable;
  }
}

}  // namespace bellstair::net
