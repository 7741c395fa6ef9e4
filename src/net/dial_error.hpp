// What a failed connect() tells of the peer it was for (connect(2), "Errors").
#pragma once

#include <cerrno>

namespace bellstair::net {

enum class DialError {
  refused,      // the peer's machine answers, and nobody listens there
  reset,        // it was accepted and broken off, which tells nothing of who listens
  exhausted,    // this machine has no descriptor, port or memory for it at present
  unreachable,  // the network, here or on the way, did not carry it
};

[[nodiscard]] inline DialError classify_dial_error(int error) {
  switch (error) {
    case ECONNREFUSED:
      return DialError::refused;
    case ECONNRESET:
      return DialError::reset;
    case EMFILE:
    case ENFILE:
    case ENOBUFS:
    case ENOMEM:
    case EADDRNOTAVAIL:
    case EADDRINUSE:
    case EAGAIN:
      return DialError::exhausted;
    default:
      return DialError::unreachable;
  }
}

}  // namespace bellstair::net
