// Datagrams between brokers.
#pragma once

#include <ev++.h>

#include <functional>
#include <unordered_map>
#include <vector>

#include "config/config.hpp"
#include "core/events.hpp"
#include "net/io_watch.hpp"
#include "net/socket.hpp"

namespace bellstair::platform {

class Peers {
 public:
  using Post = std::function<void(core::Event)>;
  Peers(ev::loop_ref loop, const config::Config& config, Post post);
  void run(const core::SendGossip& effect);

 private:
  void on_io(int events);
  net::IoWatch io_;
  net::Fd fd_;
  std::vector<sockaddr_in> peers_;
  std::unordered_map<std::uint64_t, std::uint32_t> numbers_;  // of the others, by address and port
  std::optional<sockaddr_in> all_;
  std::size_t me_;
  Post post_;
};

}  // namespace bellstair::platform
