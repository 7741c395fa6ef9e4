// The second front: clients that speak the MySQL protocol, with prepared statements.
#pragma once

#include <ev++.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/fronts.hpp"
#include "core/events.hpp"
#include "core/wheel.hpp"
#include "directory/verdict.hpp"
#include "mysql/command.hpp"
#include "mysql/mapping.hpp"
#include "mysql/packet.hpp"
#include "net/lingerer.hpp"
#include "net/listener.hpp"
#include "net/stream.hpp"

namespace bellstair::mysql {

class Front {
 public:
  using Post = std::function<void(core::Event)>;
  struct Options {
    std::size_t most_connections = 256;
    bool escaped_rows = false;  // see read_rows()
    directory::Lookup lookup;   // of users that the front's own file does not name; empty: no directory
  };
  Front(ev::loop_ref loop, net::Fd listening, const config::MysqlFront& config, const config::Names& names,
        const policy::Settings& settings, Options options, std::uint64_t& handles, std::uint64_t seed,
        Post post);

  bool run(const core::Answer& answer);  // false: the client is not one of this front's
  void settle();
  void tick(core::Time now);
  // The clock, after a time without a tick: nothing falls due before what has come meanwhile is read.
  void wake(core::Time now);
  void finish();  // the program ends: every connection is closed once nothing on it is owed
  [[nodiscard]] bool unwritten() const;

 private:
  static constexpr std::size_t kMaxPacket = std::size_t{1} << 20;
  static constexpr std::size_t kMaxUnwritten = std::size_t{16} << 20;
  static constexpr std::size_t kMaxStatements = 1024;  // prepared, on one connection
  static constexpr std::size_t kMaxLingering = 16;     // beyond what the connections' room leaves

  enum class Phase { login, switched, clear_password, looked_up, idle, running };
  struct Statement {
    std::string text;
    std::size_t parameters = 0;
    ParameterTypes types;
  };
  struct Connection {
    std::uint64_t serial = 0;
    net::Stream stream;
    PacketReader reader{kMaxPacket};
    Phase phase = Phase::login;
    std::string nonce, user, tenant;  // the tenant by name: it may leave the settings and come back
    std::uint32_t capabilities = 0;
    std::uint8_t sequence = 0;
    bool taking = false;
    bool closing = false;           // what more comes is dropped; closed once what runs has its answer
    bool ended = false;             // the client writes no more: it has closed its side, or all of it
    core::ClientHandle client = 0;  // while one of its statements runs
    bool binary = false;            // it was prepared
    bool reads = false;
    std::map<std::uint32_t, Statement> statements;
    std::uint32_t last_statement = 0;
    Connection(ev::loop_ref loop, net::Fd fd) : stream(loop, std::move(fd), false, kMaxUnwritten) {}
    [[nodiscard]] bool attributes() const { return (capabilities & kQueryAttributes) != 0; }
  };

  void accept(net::Fd fd);
  void take(Connection& connection);
  void take(Connection& connection, const Packet& packet);
  void log_in(Connection& connection, const std::string& payload);
  void check_password(Connection& connection, const std::string& answer, const std::string& plugin);
  void look_up(Connection& connection, const std::string& password);
  void let_in(Connection& connection, const std::string& tenant);
  void command(Connection& connection, const std::string& payload);
  void prepare(Connection& connection, std::string text);
  void execute(Connection& connection, const std::string& payload);
  void start(Connection& connection, std::string_view text, const std::vector<sql::Value>& values,
             const std::vector<Attribute>& attributes, bool binary);
  void write_result(Connection& connection, const core::Answer& answer);

  void send(Connection& connection, std::string_view payload);
  void send_error(Connection& connection, const Error& error);
  void refuse(Connection& connection, const Error& error);  // and close
  void close(Connection& connection);                       // its one end: what runs for it is cancelled
  void finish(Connection& connection);                      // by a lingering close
  void trim();

  ev::loop_ref loop_;
  const config::MysqlFront& config_;
  const config::Names& names_;
  const policy::Settings& settings_;
  Options options_;
  std::uint64_t& handles_;
  std::mt19937_64 tickets_;
  Post post_;
  net::Listener listener_;
  std::unordered_map<std::uint64_t, std::unique_ptr<Connection>> connections_;
  std::unordered_map<core::ClientHandle, std::uint64_t> running_;
  std::vector<std::unique_ptr<Connection>> gone_;
  net::Lingerer lingerer_;
  bool finishing_ = false;
  core::TimerWheel<std::uint64_t> logins_{std::chrono::milliseconds(5)};
  std::uint64_t serial_ = 0;
  core::Time now_{};
};

}  // namespace bellstair::mysql
