// How the descriptors of the process are shared out.
#pragma once

#include <cstddef>

namespace bellstair::app {

// For listeners, files and the like.
inline constexpr std::size_t kReservedDescriptors = 48;
inline constexpr std::size_t kMinEngineConnections = 8;

// Clients hold a third of the descriptors at the most (PROTOCOL); some more may come before others have gone.
inline constexpr std::size_t kClientConnectionsAboveThird = 16;

// Connections of clients, at `descriptors` for the process.
[[nodiscard]] constexpr std::size_t max_client_connections(std::size_t descriptors) {
  return descriptors / 3 + kClientConnectionsAboveThird;
}

// Connections to engines: what the others leave.
[[nodiscard]] constexpr std::size_t max_engine_connections(std::size_t descriptors) {
  const auto others = max_client_connections(descriptors) + kReservedDescriptors;
  return descriptors > others + kMinEngineConnections ? descriptors - others : kMinEngineConnections;
}

}  // namespace bellstair::app
