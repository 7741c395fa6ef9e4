// The server for clients that use the MySQL protocol. It handles logins and runs one statement at a time on
// each connection.
#pragma once

#include <ev++.h>

#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "config/config.hpp"
#include "config/fronts.hpp"
#include "core/events.hpp"
#include "core/timer_wheel.hpp"
#include "directory/lookup_result.hpp"
#include "mysql/command.hpp"
#include "mysql/handshake.hpp"
#include "mysql/mapping.hpp"
#include "mysql/packet.hpp"
#include "mysql/payload.hpp"
#include "mysql/response.hpp"
#include "net/client_server.hpp"
#include "net/event_sink.hpp"
#include "net/input_scheduler.hpp"
#include "net/lingerer.hpp"
#include "net/listener.hpp"
#include "net/server_limits.hpp"

namespace bellstair::mysql {

class MysqlServer : public net::ClientServer {
 public:
  struct Options {
    net::ServerLimits limits;
    bool escaped_rows = false;  // see read_rows()
    directory::Lookup lookup;   // for users that are not in the server's own settings; empty: no directory
  };
  // `last_handle`: the last client handle that was assigned; all servers share it. `seed`: for generating
  // request ids.
  MysqlServer(ev::loop_ref loop, net::Fd listening, const config::MysqlFront& config,
              const config::Names& names, const policy::Settings& settings, Options options,
              std::uint64_t& last_handle, std::uint64_t seed, net::EventSink emit);

  bool run(const core::Answer& answer) override;
  void settle() override;
  void tick(core::Time now) override;
  void resume(const net::Stall& stall) override;
  void shut_down() override;
  [[nodiscard]] bool has_unsent_output() const override;

 private:
  static constexpr std::size_t kMaxPacket = std::size_t{1} << 20;
  static constexpr std::size_t kMaxUnwritten = std::size_t{16} << 20;

  enum class Phase {
    login,
    auth_switched,   // waits for the client's response to a switch of the authentication plugin
    clear_password,  // waits for the client's password in clear text
    directory_lookup,
    idle,
    running,
  };
  struct Statement {
    std::string text;
    std::string first_word;
    std::size_t parameters = 0;
    ParameterTypes types;
  };
  [[nodiscard]] static std::size_t memory_of(const Statement& statement);
  struct Connection {
    Connection(MysqlServer& owner, ev::loop_ref loop, net::Fd fd);
    [[nodiscard]] bool supports_attributes() const { return (capabilities & kQueryAttributes) != 0; }
    // Of commands that are not handled yet, prepared statements, and what the client has not read.
    [[nodiscard]] std::size_t buffered_bytes() const {
      return reader.memory() + statement_bytes + stream.output_buffer_bytes();
    }
    [[nodiscard]] net::InputSource::Quantum read_deferred() { return server.read_packets(*this); }

    MysqlServer& server;

    std::uint64_t serial = 0;
    net::Stream stream;
    PacketReader reader{kMaxPacket};
    Phase phase = Phase::login;
    std::string nonce;
    std::string user;
    std::string tenant;  // by name: it may be removed from the settings and added again
    std::uint32_t capabilities = 0;
    std::uint8_t sequence = 0;
    bool in_read_packets = false;
    net::InputSource deferred;           // ready while complete commands may be left in the reader
    std::size_t bytes_this_quantum = 0;  // of the commands read, and of the statements that they execute
    bool closing = false;                // input is ignored; closed once the running statement is answered
    bool leaving = false;                // the client has closed its sending side; there may be unread input
    bool half_closed = false;            // all is read that the client sent before it closed its sending side
    core::ClientHandle client = 0;       // set while one of its statements runs
    bool binary_result = false;
    bool returns_rows = false;  // of the running statement, judged by its first word
    std::map<std::uint32_t, Statement> statements;
    std::size_t statement_bytes = 0;  // memory of all of them
    std::uint32_t last_statement_id = 0;
  };

  void accept(net::Fd fd);
  [[nodiscard]] net::Stream::Handlers handlers_of(Connection& connection);
  // Handles a quantum of the commands that have been received, and leaves the rest to a later one.
  net::InputSource::Quantum read_packets(Connection& connection);
  [[nodiscard]] bool may_read_packet(const Connection& connection) const;
  void on_packet(Connection& connection, const Packet& packet);

  void on_login(Connection& connection, const std::string& payload);
  void check_password(Connection& connection, const std::string& auth_response, const std::string& plugin);
  void look_up_user(Connection& connection, const std::string& password);
  void on_lookup(std::uint64_t serial, const directory::LookupResult& result);
  void accept_login(Connection& connection, const std::string& tenant);

  void on_command(Connection& connection, const std::string& payload);
  void prepare(Connection& connection, std::string text);
  void close_statement(Connection& connection, std::uint32_t id);
  void execute(Connection& connection, const std::string& payload);
  // `first_word`: of the text, in lower case.
  void submit(Connection& connection, std::string_view text, std::string_view first_word,
              const std::vector<sql::Value>& values, const std::vector<Attribute>& attributes, bool binary);
  [[nodiscard]] std::string new_ticket();

  void send(Connection& connection, std::string_view payload);
  void send_error(Connection& connection, const Error& error);
  void close_reset_connections();
  void limit_buffered_bytes();
  void on_half_close(Connection& connection);
  // Closes and removes the connection, and cancels its running statement. The functions below call this one.
  void close(Connection& connection);
  void close_gracefully(Connection& connection);
  void close_with_error(Connection& connection, const Error& error);

  ev::loop_ref loop_;
  const config::MysqlFront& config_;
  const config::Names& names_;
  const policy::Settings& settings_;
  Options options_;
  std::uint64_t& last_handle_;
  std::mt19937_64 ticket_generator_;
  net::EventSink emit_;
  net::Listener listener_;
  std::unordered_map<std::uint64_t, std::unique_ptr<Connection>> connections_;
  std::unordered_map<core::ClientHandle, std::uint64_t> running_;  // serials of connections
  std::vector<std::unique_ptr<Connection>> closed_;  // freed once none of their handlers can be running
  net::Lingerer lingerer_;
  bool shutting_down_ = false;
  core::TimerWheel<std::uint64_t> login_timers_{std::chrono::milliseconds(5)};  // by connection
  std::uint64_t last_serial_ = 0;
  core::Time now_{};
};

}  // namespace bellstair::mysql
