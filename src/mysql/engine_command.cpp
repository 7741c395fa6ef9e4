// Sends commands whose response is a single packet, such as pings and KILL, beside the statements of
// attempts.
#include <string>
#include <utility>

#include "mysql/engine_session.hpp"
#include "mysql/mysql_engine_client.hpp"

namespace bellstair::mysql {
namespace {
using namespace std::chrono_literals;

constexpr core::Time kHealthCheckTimeout = 500ms;
constexpr core::Time kMaxHealthCheckTimeout = 2000ms;
}  // namespace

void MysqlEngineClient::run(const core::SendHealthCheck& effect) {
  const auto engine = effect.engine;
  const auto& patience =
      health_check_patience_.try_emplace(engine, kHealthCheckTimeout, kMaxHealthCheckTimeout).first->second;
  run_command(engine, command(kPing, {}), patience.limit(),
              [this, engine](CommandOutcome outcome, const std::string&) {
                using policy::AttemptResult;
                if (const auto found = health_check_patience_.find(engine);
                    found != health_check_patience_.end()) {
                  if (outcome == CommandOutcome::answered) found->second.answered();
                  if (outcome == CommandOutcome::no_answer) found->second.timed_out();
                }
                auto result = AttemptResult::served;
                if (outcome == CommandOutcome::not_connected) result = AttemptResult::connect_failed;
                if (outcome == CommandOutcome::no_answer) result = AttemptResult::timed_out;
                emit_(core::HealthCheckEnded{engine, result, {}});
              });
}

void MysqlEngineClient::run_command(core::EngineId engine, std::string payload, core::Time timeout,
                                    CommandHandler handler) {
  auto on_checkout = [this, payload = std::move(payload), timeout,
                      handler = std::move(handler)](Connection* connection) {
    if (connection == nullptr) return handler(CommandOutcome::not_connected, {});
    send_command(*connection, payload, timeout, handler);
  };
  pool_.acquire(engine, std::move(on_checkout));
}

void MysqlEngineClient::send_command(Connection& connection, const std::string& payload, core::Time timeout,
                                     const CommandHandler& handler) {
  auto& session = session_of(connection);
  const bool query_with_attributes =
      session.supports_attributes() && static_cast<std::uint8_t>(payload[0]) == kQuery;
  send(connection, query_with_attributes ? write_query({payload.substr(1), {}}, true) : payload);
  const auto serial = ++last_command_;
  on_command_timeout_[serial] = [this, &connection, handler] {
    pool_.discard(connection);
    handler(CommandOutcome::no_answer, {});
  };
  command_timeouts_.arm(now_ + timeout, serial);
  connection.on_data = [this, &connection, serial, &session, handler](std::string_view bytes) {
    const auto on_response = handler;  // releasing the connection destroys this closure
    session.reader.feed(bytes);
    std::optional<Packet> response;
    try {
      response = session.reader.next();
    } catch (const MalformedPacket&) {
      return;  // the command fails at its timeout
    }
    if (!response || on_command_timeout_.erase(serial) == 0) return;
    session.reader.buffered() == 0 ? pool_.release(connection) : pool_.discard(connection);
    on_response(CommandOutcome::answered, response->payload);
  };
  connection.on_lost = [this, serial](bool) { fail_command(serial); };
}

void MysqlEngineClient::fail_command(std::uint64_t serial) {
  const auto found = on_command_timeout_.find(serial);
  if (found == on_command_timeout_.end()) return;
  const auto on_timeout = std::move(found->second);
  on_command_timeout_.erase(found);
  on_timeout();
}

}  // namespace bellstair::mysql
