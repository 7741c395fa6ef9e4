// The state of a connection to a MySQL engine: its login and its prepared statements.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "config/fronts.hpp"
#include "mysql/command.hpp"
#include "mysql/handshake.hpp"
#include "mysql/packet.hpp"
#include "mysql/payload.hpp"
#include "mysql/response.hpp"
#include "net/connection_pool.hpp"

namespace bellstair::mysql {

// Identifies a statement's text (SHA-256). Texts may be long, and a session would keep many of them.
using StatementDigest = std::array<unsigned char, 32>;
[[nodiscard]] StatementDigest digest_of(std::string_view text);

// The statements prepared on a connection. The one that was prepared first is evicted first.
class PreparedStatements {
 public:
  static constexpr std::size_t kMaxStatements = 128;

  [[nodiscard]] const Prepared* find(const StatementDigest& digest) const;
  // Evicts a statement if the limit is reached. Returns it, to be closed at the engine.
  [[nodiscard]] std::optional<Prepared> evict();
  void add(const StatementDigest& digest, const Prepared& prepared);

 private:
  std::map<StatementDigest, Prepared> by_digest_;
  std::deque<StatementDigest> order_;  // in order of preparation
};

struct EngineSession : net::Session {
  static constexpr std::size_t kMaxPacket = std::size_t{4} << 20;

  PacketReader reader{kMaxPacket};
  std::uint32_t connection_id = 0;  // assigned by the engine; used by KILL
  std::uint32_t capabilities = 0;   // supported by both sides
  bool greeting_received = false;
  std::string nonce;
  PreparedStatements prepared;
  [[nodiscard]] bool supports_attributes() const { return (capabilities & kQueryAttributes) != 0; }
};

[[nodiscard]] inline EngineSession& session_of(const net::ConnectionPool::Connection& connection) {
  return static_cast<EngineSession&>(*connection.session);
}

// Sends a command. The packets of its response are numbered from 1.
inline void send(net::ConnectionPool::Connection& connection, const std::string& payload) {
  session_of(connection).reader.expect(1);
  connection.stream.write(frame(0, payload));
}

// The payload of a command.
[[nodiscard]] inline std::string command(std::uint8_t code, std::string_view text) {
  return Writer().u8(code).text(text).take();
}

struct LoginStep {
  enum class State { in_progress, succeeded, failed };
  State state = State::in_progress;
  std::optional<std::string> reply;  // the payload to send
};

// Handles the engine's next login packet. Throws MalformedPacket.
[[nodiscard]] LoginStep continue_login(EngineSession& session, const config::MysqlEngines& account,
                                       const std::string& payload);

}  // namespace bellstair::mysql
