// The platform's front: clients that speak JSON-RPC over TCP.
#pragma once

#include <ev++.h>

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/config.hpp"
#include "core/events.hpp"
#include "net/stream.hpp"
#include "platform/jsonrpc.hpp"

namespace bellstair::platform {

class Front {
 public:
  using Post = std::function<void(core::Event)>;
  // Clients' handles are drawn from `handles`, which all fronts share.
  Front(ev::loop_ref loop, net::Fd listening, const config::Names& names, std::size_t most_connections,
        std::uint64_t& handles, std::function<bool()> green, Post post);

  // False: the client is not one of this front's.
  bool run(const core::Answer& answer);
  void settle() { gone_.clear(); }
  [[nodiscard]] bool unwritten() const;

 private:
  static constexpr std::size_t kMostLine = std::size_t{256} * 1024;
  static constexpr std::size_t kMostUnwritten = std::size_t{4} << 20;
  static constexpr std::size_t kMostOpen = 32;

  struct Connection {
    std::uint64_t serial = 0;
    net::Stream stream;
    std::string in;
    std::uint64_t last_id = 0;                             // of its requests
    bool ended = false;                                    // the client writes no more
    std::unordered_map<std::uint64_t, core::Client> open;  // by the client's id
    Connection(ev::loop_ref loop, net::Fd fd) : stream(loop, std::move(fd), false, kMostUnwritten) {}
  };
  struct Open {
    std::uint64_t connection = 0, id = 0;
    std::string ticket;
  };

  void accept(net::Fd fd);
  void take(Connection& connection, std::string_view bytes);
  void take_line(Connection& connection, std::string_view line);
  void cancel(Connection& connection, const RpcCancel& message);
  void close(Connection& connection);
  bool make_room();

  ev::loop_ref loop_;
  const config::Names& names_;
  std::size_t most_connections_;
  std::uint64_t& handles_;
  std::function<bool()> green_;
  Post post_;
  net::Listener listener_;
  std::unordered_map<std::uint64_t, std::unique_ptr<Connection>> connections_;
  std::unordered_map<core::Client, Open> open_;
  std::vector<std::unique_ptr<Connection>> gone_;
  std::uint64_t serial_ = 0;
};

}  // namespace bellstair::platform
