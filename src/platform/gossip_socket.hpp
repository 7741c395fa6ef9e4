// Gossip between brokers: UDP datagrams.
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

// Without `peer_listen` in the configuration no socket is opened, and nothing is sent.
class GossipSocket {
 public:
  GossipSocket(ev::loop_ref loop, const config::Config& config, net::EventSink emit);
  // Best effort: what can't be sent at once is lost.
  void run(const core::SendGossip& effect);

 private:
  void on_readable(int events);
  void send(const sockaddr_in& to, const std::string& bytes);

  net::IoWatch io_;
  net::Fd fd_;
  std::vector<sockaddr_in> peers_;                                     // by index
  std::unordered_map<std::uint64_t, std::uint32_t> index_by_address_;  // without this broker itself
  std::optional<sockaddr_in> all_;
  std::size_t own_index_;
  net::EventSink emit_;
};

}  // namespace bellstair::platform
