// The server for the platform's client protocol: JSON-RPC over TCP.
#pragma once

#include <ev++.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "config/config.hpp"
#include "core/events.hpp"
#include "core/timer_wheel.hpp"
#include "net/client_server.hpp"
#include "net/event_sink.hpp"
#include "net/lingerer.hpp"
#include "net/listener.hpp"
#include "net/server_limits.hpp"
#include "platform/jsonrpc.hpp"
#include "platform/jsonrpc_connection.hpp"

namespace bellstair::platform {

class JsonRpcServer : public net::ClientServer {
 public:
  // `last_handle` is the counter of client handles, which all servers share. `healthy` returns the answer to
  // health calls.
  JsonRpcServer(ev::loop_ref loop, net::Fd listening, const config::Names& names, net::ServerLimits limits,
                std::uint64_t& last_handle, std::function<bool()> healthy, net::EventSink emit);

  bool run(const core::Answer& answer) override;
  void settle() override;
  void tick(core::Time now) override;
  void resume(const net::Stall& stall) override;
  void shut_down() override;
  [[nodiscard]] bool has_unsent_output() const override;

 private:
  using Connection = JsonRpcConnection;

  struct OpenRequest {
    std::uint64_t connection = 0;
    std::uint64_t rpc_id = 0;
    std::string ticket;
  };

  void accept(net::Fd fd, core::Time waited);
  [[nodiscard]] net::Stream::Handlers handlers_of(Connection& connection);
  // The earliest time at which a connection that waited this long to be accepted may have arrived.
  [[nodiscard]] core::Time earliest_arrival(core::Time waited) const;
  bool ensure_capacity();  // closes connections if needed; false: the server stays full
  bool free_descriptor();  // at once; false: none can be freed

  void on_data(Connection& connection, std::string_view bytes);
  // Returns the bytes after the last line that was read; they are of no use once the connection is closing.
  [[nodiscard]] std::string_view read_complete_lines(Connection& connection, std::string_view bytes);
  void store_partial_line(Connection& connection, std::string_view bytes);
  void clear_partial_line(Connection& connection);
  void on_line(Connection& connection, std::string_view line);
  void on_request(Connection& connection, RpcRequest& request);
  // Requests are held until all input of their connection is read: their client may have closed it since.
  void release_held_requests(Connection& connection);
  void reject_held_requests(Connection& connection);
  void reject_requests_held_too_long();
  [[nodiscard]] bool is_too_far_behind(const Connection& connection) const;
  // Closes the connection if that has waited for its last open request.
  void on_answered(Connection& connection);
  void on_cancel(Connection& connection, const RpcCancel& cancel);
  void on_half_close(Connection& connection);
  void reject_message(Connection& connection, const std::string& reply);

  void arm_timer(Connection& connection, core::Time at);
  void on_timer(Connection& connection);
  void close_reset_connections();
  // Emits ClientHalfClosed for each open request, so that no further attempt is started for it.
  void report_half_close(const Connection& connection);
  void on_leaving(Connection& connection);
  void on_caught_up(Connection& connection);
  void limit_buffered_bytes();

  // Cancels the open requests and closes the connection at once. Every connection ends here.
  void close(Connection& connection);
  void close_gracefully(Connection& connection);
  // Sends an error, and closes the connection once its open requests are answered.
  void close_with_error(Connection& connection, std::string_view reason);

  ev::loop_ref loop_;
  const config::Names& names_;
  net::ServerLimits limits_;
  std::uint64_t& last_handle_;
  std::function<bool()> healthy_;
  net::EventSink emit_;
  net::Listener listener_;
  std::unordered_map<std::uint64_t, std::unique_ptr<Connection>> connections_;
  std::unordered_map<core::ClientHandle, OpenRequest> open_requests_;
  std::vector<std::unique_ptr<Connection>> closed_;  // freed when none of their handlers can be running
  net::Lingerer lingerer_;
  EvictionOrder eviction_order_;
  core::TimerWheel<std::uint64_t> timers_{std::chrono::milliseconds(5)};  // by connection
  std::unordered_set<std::uint64_t> behind_;  // connections with held requests, by serial
  std::size_t partial_line_bytes_ = 0;        // of all connections
  std::uint64_t last_serial_ = 0;
  bool shutting_down_ = false;
  core::Time now_{};
  net::Stall last_stall_;
};

}  // namespace bellstair::platform
