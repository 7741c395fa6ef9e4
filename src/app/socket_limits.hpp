// Divides the file descriptors of the process between client and engine connections.
#pragma once

#include <cstddef>

namespace bellstair::app {

// For listeners, files and other uses.
inline constexpr std::size_t kReservedDescriptors = 48;
inline constexpr std::size_t kMinEngineConnections = 8;

// The platform's protocol allows clients at most a third of the descriptors; a few more may connect before
// others have disconnected.
inline constexpr std::size_t kClientConnectionsAboveThird = 16;

// Limit on client connections, for `descriptors` in the whole process.
[[nodiscard]] constexpr std::size_t max_client_connections(std::size_t descriptors) {
  return descriptors / 3 + kClientConnectionsAboveThird;
}

// Limit on engine connections: the descriptors that are left, but at least kMinEngineConnections.
[[nodiscard]] constexpr std::size_t max_engine_connections(std::size_t descriptors) {
  const auto other_uses = max_client_connections(descriptors) + kReservedDescriptors;
  return descriptors > other_uses + kMinEngineConnections ? descriptors - other_uses : kMinEngineConnections;
}

}  // namespace bellstair::app
