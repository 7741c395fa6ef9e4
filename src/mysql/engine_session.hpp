// The state of a connection to an engine that speaks MySQL: its login, and the statements prepared on it.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

#include "config/fronts.hpp"
#include "mysql/command.hpp"
#include "mysql/handshake.hpp"
#include "mysql/packet.hpp"
#include "mysql/payload.hpp"
#include "mysql/response.hpp"
#include "net/connection_pool.hpp"

namespace bellstair::mysql {

// Statements that a connection knows, by their text; the one prepared first is evicted.
class PreparedStatements {
 public:
  [[nodiscard]] const Prepared* find(const std::string& text) const;
  // Makes room for one more; the statement to be closed at the engine, if any.
  [[nodiscard]] std::optional<Prepared> evict();
  void add(const std::string& text, const Prepared& prepared);

 private:
  std::unordered_map<std::string, Prepared> by_text_;
  std::deque<std::string> order_;  // of preparing
};

struct EngineSession : net::Session {
  static constexpr std::size_t kMaxPacket = std::size_t{4} << 20;

  PacketReader reader{kMaxPacket};
  std::uint32_t connection_id = 0;  // the engine's, for KILL
  std::uint32_t capabilities = 0;   // those that both sides have
  bool greeted = false;
  std::string nonce;
  PreparedStatements prepared;
  [[nodiscard]] bool supports_attributes() const { return (capabilities & kQueryAttributes) != 0; }
};

struct LoginStep {
  enum class State { in_progress, succeeded, failed };
  State state = State::in_progress;
  std::optional<std::string> reply;  // the payload to send
};

// Takes the engine's next packet of the login. Throws MalformedPacket.
[[nodiscard]] LoginStep continue_login(EngineSession& session, const config::MysqlEngines& account,
                                       const std::string& payload);

}  // namespace bellstair::mysql
