// The client of engines that use the MySQL protocol. The broker holds the prepared statements of its clients.
// For an attempt, a statement is prepared on the attempt's connection unless it was already prepared there.
#pragma once

#include <ev++.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/patience.hpp"
#include "config/fronts.hpp"
#include "mysql/command.hpp"
#include "mysql/engine_session.hpp"
#include "mysql/handshake.hpp"
#include "mysql/packet.hpp"
#include "mysql/payload.hpp"
#include "mysql/response.hpp"
#include "mysql/result_reader.hpp"
#include "net/connection_pool.hpp"
#include "net/engine_driver.hpp"

namespace bellstair::mysql {

// A statement has ended when its response has come, or when its KILL is acknowledged. An attempt that ends
// without either reports how long the statement may still run, by the time limit that its engine was told.
class MysqlEngineClient : public net::EngineDriver {
 public:
  // `class_names`: indexed by core::ClassIndex.
  MysqlEngineClient(ev::loop_ref loop, net::ConnectionPool::Limits limits, config::MysqlEngines account,
                    std::vector<std::string> class_names, net::EventSink emit);

  void run(const core::StartAttempt& effect) override;
  void run(core::Transmit& effect) override;
  void run(const core::CancelAttempt& effect) override;
  void run(const core::Reprioritize&) override {}  // the protocol has no priorities
  void run(const core::SendHealthCheck& effect) override;
  void run(const core::EndpointChanged& effect) override;
  void settle() override { pool_.settle(); }
  void tick(core::Time now) override;
  void resume(const net::Stall& stall) override;

 private:
  using Connection = net::ConnectionPool::Connection;
  enum class Stage {
    connecting,
    connected,
    preparing,
    executing,
    killing,    // cancelled while executing
    lingering,  // its end has been reported, but its statement may still be running
  };
  enum class CommandOutcome { not_connected, no_answer, answered };
  // Called exactly once, from the loop. `response`: the payload, if answered.
  using CommandHandler = std::function<void(CommandOutcome, const std::string& response)>;

  struct Attempt {
    core::EngineId engine = 0;
    Stage stage = Stage::connecting;
    std::uint64_t checkout_ticket = 0;
    Connection* connection = nullptr;
    core::Transmit statement;
    StatementDigest digest{};  // of a statement that is prepared
    std::string address;       // of the engine when the statement was sent
    std::uint64_t connection_serial = 0;
    std::uint32_t connection_number = 0;                    // assigned by the engine
    core::AttemptEnd reason = core::AttemptEnd::cancelled;  // why it is being killed
    bool binary_rows = false;
    core::Time time_limit{};            // told to the engine with the statement
    std::optional<core::Time> sent_at;  // steady clock: the kernel has had the whole statement since
    std::uint64_t kill_ticket = 0;      // of the wait for a connection to send KILL on; 0: none
    bool kill_sent = false;             // at least once: its connection must not be used again
    core::Time kill_retry_delay{};
    Prepared prepared;
    std::size_t definitions_left = 0;  // of the prepared statement's parameters and columns
    ResultReader reader;
    core::AttemptEnded result;
  };

  void log_in(Connection& connection, std::function<void(bool)> done);
  void on_login_packet(Connection& connection, const Packet& packet, const std::function<void(bool)>& done);

  void execute(core::AttemptId id, Attempt& attempt);
  [[nodiscard]] std::vector<Attribute> attributes_of(const Attempt& attempt) const;
  void on_data(core::AttemptId id, std::string_view bytes);
  void on_packet(core::AttemptId id, Attempt& attempt, const Packet& packet);
  void on_prepared(core::AttemptId id, Attempt& attempt, const std::string& payload);
  void on_prepare_error(core::AttemptId id, const std::string& payload);
  void on_result(core::AttemptId id, Attempt& attempt, const std::string& payload);
  void on_lost(core::AttemptId id);
  // Ends the attempts that hold the most memory, if all together hold too much.
  void limit_buffered_bytes();
  void end_for_memory(core::AttemptId id);
  [[nodiscard]] static std::size_t buffered_bytes(const Attempt& attempt);
  // Ends the attempt of a statement that has ended, or never ran. `error`: the engine's message, unless
  // served.
  void end(core::AttemptId id, core::AttemptEnd kind, std::string error = {});
  void release_connection(const Attempt& attempt, core::AttemptEnd kind);

  // Statements that must be killed: statement_kill.cpp.
  void cancel_executing(core::AttemptId id, Attempt& attempt);
  void kill(core::AttemptId id, Attempt& attempt);
  void send_kill(core::AttemptId id, Connection* connection);
  void on_kill_ended(core::AttemptId id, CommandOutcome outcome, const std::string& response);
  void retry_kill(core::AttemptId id);
  // For a statement whose connection is closed.
  void end_without_response(core::AttemptId id, Attempt& attempt, core::AttemptEnd reason);
  [[nodiscard]] bool leads_to_its_engine(const Attempt& attempt) const;
  // Reports the end of an attempt whose statement is not proven to have ended. Its connection, if there is
  // one, is kept to read the response, which would prove it.
  void linger(core::AttemptId id, Attempt& attempt);
  // Whether the statement's response, or another KILL, may still prove that it has ended.
  [[nodiscard]] bool may_prove_its_end(const Attempt& attempt) const;
  // Drops a lingering attempt without a proof.
  void abandon(core::AttemptId id);
  [[nodiscard]] core::Time stops_by(const Attempt& attempt) const;

  // Sends a command whose response is a single packet, on any connection to the engine.
  void run_command(core::EngineId engine, std::string payload, core::Time timeout, CommandHandler handler);
  void send_command(Connection& connection, const std::string& payload, core::Time timeout,
                    const CommandHandler& handler);
  void fail_command(std::uint64_t serial);

  net::ConnectionPool pool_;
  core::Time max_transit_time_;  // data written reaches its engine within this time, or never
  std::size_t max_lingering_;
  std::size_t max_buffered_bytes_;
  std::size_t lingering_ = 0;  // attempts
  config::MysqlEngines account_;
  std::vector<std::string> class_names_;
  net::EventSink emit_;
  std::map<core::AttemptId, Attempt> attempts_;
  std::unordered_map<core::EngineId, std::string> addresses_;
  std::unordered_map<core::EngineId, Patience> health_check_patience_;
  std::unordered_map<std::uint64_t, std::function<void()>> on_command_timeout_;  // of unanswered commands
  core::TimerWheel<std::uint64_t> command_timeouts_{std::chrono::milliseconds(5)};
  core::TimerWheel<core::AttemptId> kill_retries_{std::chrono::milliseconds(5)};
  std::uint64_t last_command_ = 0;
  core::Time now_{};
};

}  // namespace bellstair::mysql
