// Ends statements that are cancelled while an engine executes them. A KILL that is not acknowledged proves
// nothing: it is sent again until the statement is proven to have ended, or its time limit has passed.
#include <algorithm>
#include <string>

#include "mysql/engine_session.hpp"
#include "mysql/mysql_engine_client.hpp"
#include "net/steady_clock.hpp"

namespace bellstair::mysql {
namespace {
using namespace std::chrono_literals;
using core::AttemptEnd;
using core::AttemptId;

// How long a KILL waits for a connection to send it on.
constexpr core::Time kKillConnectTimeout = 500ms;
constexpr core::Time kKillTimeout = 500ms;  // of its answer
constexpr core::Time kMinKillRetryDelay = 100ms;
constexpr core::Time kMaxKillRetryDelay = 1600ms;
// The protocol's tolerance for time limits.
constexpr core::Time kTimeLimitTolerance = 50ms;
constexpr std::uint16_t kNoSuchConnection = 1094;

// The connection is gone at the engine, and its statement with it, or will be: the KILL is acknowledged.
bool proves_end(const std::string& response) {
  return !is_error(response) || read_error(response).code == kNoSuchConnection;
}
}  // namespace

void MysqlEngineClient::cancel_executing(AttemptId id, Attempt& attempt) {
  attempt.stage = Stage::killing;
  // The engine never receives the complete statement.
  if (attempt.connection->stream.unsent_bytes() > 0) return end(id, AttemptEnd::cancelled);
  kill(id, attempt);
}

// The statement may have been executed, and may go on: an engine notices the loss only when it writes.
void MysqlEngineClient::end_without_response(AttemptId id, Attempt& attempt, AttemptEnd reason) {
  attempt.stage = Stage::killing;
  attempt.reason = reason;
  kill(id, attempt);
}

bool MysqlEngineClient::leads_to_its_engine(const Attempt& attempt) const {
  const auto found = addresses_.find(attempt.engine);
  return found != addresses_.end() && found->second == attempt.address;
}

void MysqlEngineClient::kill(AttemptId id, Attempt& attempt) {
  if (!leads_to_its_engine(attempt)) return linger(id, attempt);
  attempt.kill_ticket = pool_.acquire(
      attempt.engine, [this, id](Connection* connection) { send_kill(id, connection); }, kKillConnectTimeout);
}

// The wait for the connection is withdrawn when the attempt ends.
void MysqlEngineClient::send_kill(AttemptId id, Connection* connection) {
  auto& attempt = attempts_.at(id);
  attempt.kill_ticket = 0;
  if (connection == nullptr) return linger(id, attempt);
  if (!leads_to_its_engine(attempt)) {
    pool_.release(*connection);
    return linger(id, attempt);
  }
  // An engine process numbers its connections in ascending order. A newer one with a lower number shows that
  // the process was restarted: the statement has ended, and the number may be another client's.
  const bool restarted = attempt.connection == nullptr && connection->serial > attempt.connection_serial &&
                         session_of(*connection).connection_id <= attempt.connection_number;
  if (restarted) {
    pool_.release(*connection);
    return end(id, attempt.reason);
  }
  attempt.kill_sent = true;
  send_command(*connection, command(kQuery, "KILL " + std::to_string(attempt.connection_number)),
               kKillTimeout, [this, id](CommandOutcome outcome, const std::string& response) {
                 on_kill_ended(id, outcome, response);
               });
}

void MysqlEngineClient::on_kill_ended(AttemptId id, CommandOutcome outcome, const std::string& response) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) return;
  auto& attempt = found->second;
  if (outcome == CommandOutcome::answered && proves_end(response)) return end(id, attempt.reason);
  linger(id, attempt);
}

void MysqlEngineClient::linger(AttemptId id, Attempt& attempt) {
  if (attempt.stage != Stage::lingering) {
    attempt.stage = Stage::lingering;
    ++lingering_;
    auto ended = attempt.result;
    ended.end = attempt.reason;
    ended.may_run_for = std::max(core::Time::zero(), stops_by(attempt) - net::steady_now());
    emit_(std::move(ended));
  }
  if (!may_prove_its_end(attempt) || lingering_ > max_lingering_) return abandon(id);
  attempt.kill_retry_delay = std::clamp(2 * attempt.kill_retry_delay, kMinKillRetryDelay, kMaxKillRetryDelay);
  kill_retries_.arm(now_ + attempt.kill_retry_delay, id);
}

// A statement that is still in transit could begin later than stops_by() takes into account: closing its
// connection discards it.
bool MysqlEngineClient::may_prove_its_end(const Attempt& attempt) const {
  if (!attempt.sent_at || !leads_to_its_engine(attempt)) return false;
  const bool in_transit_for_long = attempt.connection != nullptr &&
                                   net::steady_now() >= *attempt.sent_at + max_transit_time_ &&
                                   attempt.connection->stream.has_unacknowledged_bytes();
  return !in_transit_for_long;
}

void MysqlEngineClient::retry_kill(AttemptId id) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) return;
  const auto& attempt = found->second;
  if (!may_prove_its_end(attempt) || net::steady_now() >= stops_by(attempt)) return abandon(id);
  kill(id, found->second);
}

void MysqlEngineClient::abandon(AttemptId id) {
  const auto found = attempts_.find(id);
  if (found->second.connection != nullptr) pool_.discard(*found->second.connection);
  attempts_.erase(found);
  --lingering_;
}

// The engine stops a statement whose time limit has passed since it has received it.
core::Time MysqlEngineClient::stops_by(const Attempt& attempt) const {
  const auto sent_by = attempt.sent_at.value_or(net::steady_now());
  return sent_by + max_transit_time_ + attempt.time_limit + kTimeLimitTolerance;
}

}  // namespace bellstair::mysql
