// Classifies the errors of connect() by their cause (connect(2), "Errors").
#pragma once

#include <cerrno>

namespace bellstair::net {

enum class ConnectError {
  refused,           // the peer's machine responds, but nothing listens on the port
  reset,             // accepted, then reset: no evidence that the listener has failed
  out_of_resources,  // this machine has no descriptor, port or memory for the connection now
  unreachable,       // the network, on this machine or on the path, did not reach the peer
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
      return ConnectError::out_of_resources;
    default:
      return ConnectError::unreachable;
  }
}

}  // namespace bellstair::net
