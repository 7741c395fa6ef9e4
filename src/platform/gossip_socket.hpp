// Sends and receives gossip between brokers as UDP datagrams.
#pragma once

#include <ev++.h>

#include <optional>
#include <unordered_map>
#include <vector>

#include "config/config.hpp"
#include "core/events.hpp"
#include "net/event_sink.hpp"
#include "net/io_watch.hpp"
#include "net/socket.hpp"

namespace bellstair::platform {

// Opens no socket and sends nothing if the configuration has no `peer_listen`.
class GossipSocket {
 public:
  GossipSocket(ev::loop_ref loop, const config::Config& config, net::EventSink emit);
  // Best effort: a datagram that can't be sent at once is dropped.
  void run(const core::SendGossip& effect);

 private:
  [[nodiscard]] net::InputSource::Quantum read();
  void on_datagram(const sockaddr_in& from, std::string_view bytes);
  void send(const sockaddr_in& to, const std::string& bytes);

  net::IoWatch io_;
  net::Fd fd_;
  std::vector<sockaddr_in> peers_;                                     // by index
  std::unordered_map<std::uint64_t, std::uint32_t> index_by_address_;  // excludes this broker
  std::optional<sockaddr_in> all_peers_address_;                       // reaches every broker
  std::size_t own_index_;
  net::EventSink emit_;
};

}  // namespace bellstair::platform
