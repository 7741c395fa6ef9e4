#include "platform/jsonrpc_connection.hpp"

#include "core/guard.hpp"

namespace bellstair::platform {
namespace {
constexpr int kMaxCandidates = 8;  // checked per ConnectionUse, since each check costs a system call
}  // namespace

void EvictionOrder::add(JsonRpcConnection& connection) {
  auto& connections = of(connection.use);
  connection.position = connections.insert(connections.end(), &connection);
}

void EvictionOrder::remove(const JsonRpcConnection& connection) {
  of(connection.use).erase(connection.position);
}

void EvictionOrder::update(JsonRpcConnection& connection) {
  const bool busy = !connection.open_requests.empty() || connection.stream.unsent_bytes() > 0;
  const auto use_without_work = connection.has_sent_request ? ConnectionUse::idle : ConnectionUse::unused;
  const auto use = busy ? ConnectionUse::busy : use_without_work;
  if (use == connection.use) return;
  auto& from = of(connection.use);
  auto& to = of(use);
  to.splice(to.end(), from, connection.position);
  connection.use = use;
}

// A connection is not idle if its socket holds unread input: that may be the next request.
JsonRpcConnection* EvictionOrder::candidate() const {
  for (const auto use : {ConnectionUse::unused, ConnectionUse::idle}) {
    int checked = 0;
    for (auto* connection : of(use)) {
      if (++checked > kMaxCandidates) break;
      const bool unread = connection->stream.unread() == net::Stream::Unread::bytes;
      if (core::Guard::may_close(connection->open_requests.size(), unread)) return connection;
    }
  }
  return nullptr;
}

}  // namespace bellstair::platform
