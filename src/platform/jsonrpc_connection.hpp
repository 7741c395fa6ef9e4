// A client's connection to the JSON-RPC server, and the order in which connections are evicted in favour of
// new ones.
#pragma once

#include <ev++.h>

#include <array>
#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/events.hpp"
#include "net/stream.hpp"

namespace bellstair::platform {

// In order of eviction. Busy connections are never evicted.
enum class ConnectionUse {
  unused,  // no request has been received on it
  idle,
  busy,  // it has an open request, or unsent output
};

// A request that the core doesn't know yet.
struct HeldRequest {
  core::Time read_at{};
  core::RequestReceived received;
};

struct JsonRpcConnection {
  static constexpr std::size_t kMaxUnwritten = std::size_t{4} << 20;

  JsonRpcConnection(ev::loop_ref loop, net::Fd fd) : stream(loop, std::move(fd), false, kMaxUnwritten) {}
  // Of what the client has sent without completing it, and of what it has not read.
  [[nodiscard]] std::size_t buffered_bytes() const {
    return partial_line.capacity() + stream.output_buffer_bytes();
  }

  std::uint64_t serial = 0;
  net::Stream stream;
  std::string partial_line;
  std::uint64_t last_rpc_id = 0;  // the highest id of its requests
  bool leaving = false;           // the client has closed its sending side; there may be unread input
  bool half_closed = false;       // all is read that the client sent before it closed its sending side
  bool closing = false;           // input is ignored; closed once all open requests are answered
  bool has_sent_line = false;
  bool has_sent_request = false;
  bool timer_armed = false;
  bool over_capacity = false;  // every request on it is rejected
  unsigned invalid_messages = 0;
  core::Time waiting_since{};  // for the first line, or for the rest of the partial one
  core::Time input_since{};    // when the next bytes may have arrived at the earliest; 0: when they are read
  ConnectionUse use = ConnectionUse::unused;
  std::list<JsonRpcConnection*>::iterator position;                     // in the EvictionOrder
  std::unordered_map<std::uint64_t, core::ClientHandle> open_requests;  // by the client's id
  std::vector<HeldRequest> held_requests;  // of the open ones: read while more input was unread
  std::optional<core::Time> behind_since;  // input has been unread since then
};

// All connections, grouped by use; each group is ordered by when that use began.
class EvictionOrder {
 public:
  void add(JsonRpcConnection& connection);
  void remove(const JsonRpcConnection& connection);
  // Must be called after anything that may change the connection's use.
  void update(JsonRpcConnection& connection);
  // Returns the first connection that may be closed now, or nullptr if there is none.
  [[nodiscard]] JsonRpcConnection* candidate() const;
  [[nodiscard]] const std::list<JsonRpcConnection*>& busy() const { return of(ConnectionUse::busy); }

 private:
  using Connections = std::list<JsonRpcConnection*>;
  [[nodiscard]] const Connections& of(ConnectionUse use) const {
    return by_use_[static_cast<std::size_t>(use)];
  }
  [[nodiscard]] Connections& of(ConnectionUse use) { return by_use_[static_cast<std::size_t>(use)]; }

  std::array<Connections, 3> by_use_;
};

}  // namespace bellstair::platform
