// Limits of a server for clients, and which connections to close when their buffers exceed them.
#pragma once

#include <cstddef>
#include <utility>
#include <vector>

#include "net/memory_limit.hpp"

namespace bellstair::net {

struct ServerLimits {
  std::size_t max_connections = 256;
  // Of all connections together: input that is not complete, or waits for its turn, and unsent output.
  std::size_t max_buffered_bytes = std::size_t{24} << 20;
};

// Returns the connections with the most buffered bytes, so that those of the others are within `max_bytes`.
// `connections` is a map of pointers to connections with a member buffered_bytes().
template <class Connections>
[[nodiscard]] auto connections_over_limit(const Connections& connections, std::size_t max_bytes) {
  std::vector<std::pair<std::size_t, typename Connections::mapped_type::pointer>> holders;
  holders.reserve(connections.size());
  for (const auto& [serial, connection] : connections)
    holders.emplace_back(connection->buffered_bytes(), connection.get());
  return holders_over_limit(std::move(holders), max_bytes);
}

}  // namespace bellstair::net
