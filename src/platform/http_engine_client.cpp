#include "platform/http_engine_client.hpp"

#include <algorithm>
#include <cmath>

#include "net/memory_limit.hpp"
#include "net/steady_clock.hpp"
#include "platform/http_status.hpp"
#include "platform/load_report.hpp"
#include "platform/wire_names.hpp"
#include "sql/value.hpp"

namespace bellstair::platform {
namespace {
using namespace std::chrono_literals;
using core::AttemptEnd;
using core::AttemptId;
using net::steady_now;  // the time of the last tick() may be one loop iteration old

// An engine answers a poll within 250 ms and stops a query that is not polled for 2 s. The timeout lies in
// between, so that a call that timed out can be retried on another connection.
constexpr core::Time kCallTimeout = 700ms;
// For deletes, changes of priority and health checks.
constexpr core::Time kAuxiliaryCallTimeout = 500ms;
constexpr core::Time kMaxHealthCheckTimeout = 2000ms;
// Delay before a connection is used for another call: a late duplicate of an answer would be taken for the
// answer to that call. Equals the protocol's tolerance for time limits.
constexpr core::Time kReuseDelay = 50ms;
constexpr int kMaxReconnects = 2;
constexpr int kHealthCheckRetries = 1;  // if the connection broke
// By the platform's protocol, an engine stops a query 2 s after the last poll, whose answer it may delay by
// up to 250 ms; the protocol's tolerance for time limits adds 50 ms.
constexpr core::Time kUnpolledQueryLifetime = 2000ms + 250ms + 50ms;

net::ConnectionPool::Limits with_reuse_delay(net::ConnectionPool::Limits limits) {
  limits.reuse_delay = kReuseDelay;
  return limits;
}

std::string path_of(const std::string& request_id) {
  return std::string(wire::kQueriesPath) + "/" + request_id;
}

policy::AttemptResult health_check_result(HttpClient::Outcome outcome, unsigned status) {
  using Outcome = HttpClient::Outcome;
  using policy::AttemptResult;
  switch (outcome) {
    case Outcome::answered:
      return status == http_status::kOk ? AttemptResult::served : AttemptResult::rejected;
    case Outcome::not_connected:
      return AttemptResult::connect_failed;
    case Outcome::unsent:
    case Outcome::broken:
      return AttemptResult::reset;
    case Outcome::timed_out:
      break;
  }
  return AttemptResult::timed_out;
}
}  // namespace

HttpEngineClient::HttpEngineClient(ev::loop_ref loop, net::ConnectionPool::Limits limits,
                                   std::vector<std::string> class_names, std::vector<std::string> load_fields,
                                   net::EventSink emit)
    : pool_(loop, with_reuse_delay(limits)),
      http_(pool_),
      max_buffered_bytes_(limits.max_buffered_bytes),
      max_transit_time_(limits.connect_timeout),
      class_names_(std::move(class_names)),
      load_fields_(std::move(load_fields)),
      emit_(std::move(emit)) {}

void HttpEngineClient::tick(core::Time now) {
  http_.set_clock(now);  // the pool's timers may start calls
  pool_.tick(now);
  http_.tick(now);
  limit_buffered_bytes();
}

void HttpEngineClient::resume(const net::Stall& stall) {
  http_.set_clock(stall.resumed_at);
  pool_.set_clock(stall.resumed_at);
}

// ---- requests

std::string HttpEngineClient::host(core::EngineId engine) const {
  const auto found = addresses_.find(engine);
  return found == addresses_.end() ? std::string() : found->second;
}

std::string HttpEngineClient::submit_request(const Attempt& attempt, const core::Transmit& effect) const {
  const auto timeout_ms = std::max<std::int64_t>(1, effect.timeout / 1ms);
  HttpHeaders headers;
  headers.emplace_back(wire::kRequestIdHeader, effect.ticket);
  headers.emplace_back(wire::kRequestClassHeader, class_names_.at(effect.cls));
  headers.emplace_back(wire::kTimeoutMsHeader, std::to_string(timeout_ms));
  if (!effect.idempotency_key.empty())
    headers.emplace_back(wire::kIdempotencyKeyHeader, effect.idempotency_key);
  if (effect.memory_mb >= 1)
    headers.emplace_back(wire::kMemoryGrantMbHeader, std::to_string(std::llround(effect.memory_mb)));
  headers.emplace_back(wire::kPriorityHeader, std::to_string(effect.priority));
  return format_request("POST", wire::kQueriesPath, host(attempt.engine), headers, effect.body);
}

std::string HttpEngineClient::delete_request(const Attempt& attempt) const {
  return format_request("DELETE", attempt.query_path, host(attempt.engine), {}, {});
}

// ---- connections

// If the connection breaks before its next call, the attempt drops the pointer to it: the pool frees the
// connection.
void HttpEngineClient::set_connection(AttemptId id, Connection* connection) {
  attempts_.at(id).connection = connection;
  if (connection == nullptr) return;
  connection->on_lost = [this, id, connection](bool) {
    attempts_.at(id).connection = nullptr;
    pool_.discard(*connection);
  };
}

void HttpEngineClient::call_on_own_connection(AttemptId id, const std::string& request) {
  auto& attempt = attempts_.at(id);
  attempt.call = http_.call(*attempt.connection, request, kCallTimeout,
                            [this, id](Outcome outcome, HttpResponse& response, Connection* reusable) {
                              on_response(id, outcome, response, reusable);
                            });
}

void HttpEngineClient::poll(AttemptId id) {
  const auto& attempt = attempts_.at(id);
  if (attempt.connection == nullptr) return reconnect(id);
  const auto page = attempt.stage == Stage::fetching_pages ? attempt.pages.next() : 0;
  const auto path = attempt.query_path + "/" + std::to_string(page);
  call_on_own_connection(id, format_request("GET", path, host(attempt.engine), {}, {}));
}

// Polls may be retried: they do not change the query.
void HttpEngineClient::reconnect(AttemptId id) {
  auto& attempt = attempts_.at(id);
  if (++attempt.reconnects > kMaxReconnects) return end_possibly_running(id, AttemptEnd::reset);
  pool_.acquire(attempt.engine, [this, id](Connection* connection) {
    const auto found = attempts_.find(id);
    const bool is_fetching = found != attempts_.end() && (found->second.stage == Stage::polling ||
                                                          found->second.stage == Stage::fetching_pages);
    if (!is_fetching) {
      if (connection != nullptr) pool_.release(*connection);
      return;
    }
    if (connection == nullptr) return end_possibly_running(id, AttemptEnd::reset);
    set_connection(id, connection);
    poll(id);
  });
}

void HttpEngineClient::release_connection(const Attempt& attempt) {
  auto* connection = attempt.connection;
  if (connection == nullptr || !connection->stream.open()) return;
  if (!http_.release_after(attempt.call)) pool_.release(*connection);
}

// ---- effects

void HttpEngineClient::run(const core::StartAttempt& effect) {
  const auto id = effect.id;
  auto& attempt = attempts_[id];
  attempt.engine = effect.engine;
  attempt.result.id = id;
  attempt.checkout_ticket = pool_.acquire(effect.engine, [this, id](Connection* connection) {
    if (connection == nullptr) return end(id, AttemptEnd::connect_failed);
    attempts_.at(id).stage = Stage::connected;
    set_connection(id, connection);
    emit_(core::AttemptConnected{id});
  });
}

void HttpEngineClient::run(core::Transmit& effect) {
  const auto found = attempts_.find(effect.id);
  if (found == attempts_.end() || found->second.stage != Stage::connected) return;
  auto& attempt = found->second;
  if (attempt.connection == nullptr) return end(effect.id, AttemptEnd::expired);
  if (!effect.parameters.empty()) {
    // HTTP engines accept a statement as text only: bound values become literals.
    const auto values = sql::unpack(effect.parameters);
    auto text = values ? sql::with_literals(effect.body, *values) : std::nullopt;
    if (!text) return end(effect.id, AttemptEnd::error);
    effect.body = std::move(*text);
  }
  attempt.stage = Stage::submitted;
  attempt.query_path = path_of(effect.ticket);
  call_on_own_connection(effect.id, submit_request(attempt, effect));
}

void HttpEngineClient::run(const core::CancelAttempt& effect) {
  const auto found = attempts_.find(effect.id);
  if (found == attempts_.end()) return;
  auto& attempt = found->second;
  switch (attempt.stage) {
    case Stage::connecting:
      pool_.cancel_acquire(attempt.engine, attempt.checkout_ticket);
      return end(effect.id, AttemptEnd::expired);
    case Stage::connected:
      if (attempt.connection != nullptr) pool_.release(*attempt.connection);
      attempt.connection = nullptr;
      return end(effect.id, AttemptEnd::expired);
    case Stage::submitted:
      return cancel_submitted(effect.id, attempt);
    case Stage::fetching_pages:
      return end(effect.id, AttemptEnd::cancelled);  // the query has ended
    case Stage::polling:
      return delete_on_other_connection(effect.id);
    case Stage::cancel_requested:
    case Stage::deleting_on_other_connection:
    case Stage::deleting_on_own_connection:
      return;
  }
}

void HttpEngineClient::run(const core::Reprioritize& effect) {
  const auto found = attempts_.find(effect.id);
  if (found == attempts_.end()) return;
  auto& attempt = found->second;
  if (attempt.stage == Stage::submitted) attempt.pending_priority = effect.priority;
  if (attempt.stage != Stage::polling) return;
  attempt.last_contact_by = std::max(attempt.last_contact_by, steady_now() + kAuxiliaryCallTimeout);
  const auto priority = std::to_string(effect.priority);
  http_.call_engine(attempt.engine,
                    format_request("PUT", attempt.query_path, host(attempt.engine), {}, priority),
                    kAuxiliaryCallTimeout, [](Outcome, HttpResponse&) {});
}

void HttpEngineClient::run(const core::SendHealthCheck& effect) {
  check_health(effect.engine, kHealthCheckRetries);
}

// Retries a check whose connection broke: a single broken connection does not show that the engine has
// failed.
void HttpEngineClient::check_health(core::EngineId engine, int retries) {
  const auto found =
      health_check_patience_.try_emplace(engine, kAuxiliaryCallTimeout, kMaxHealthCheckTimeout);
  auto on_result = [this, engine, retries](Outcome outcome, HttpResponse& response) {
    if (const auto patience = health_check_patience_.find(engine); patience != health_check_patience_.end()) {
      if (outcome == Outcome::answered) patience->second.answered();
      if (outcome == Outcome::timed_out) patience->second.timed_out();
    }
    const bool broken = outcome == Outcome::unsent || outcome == Outcome::broken;
    if (broken && retries > 0) return check_health(engine, retries - 1);
    core::HealthCheckEnded ended{engine, health_check_result(outcome, response.status), {}};
    if (auto report = read_load_report(response, load_fields_)) ended.load = std::move(*report);
    emit_(std::move(ended));
  };
  http_.call_engine(engine, format_request("GET", wire::kHealthCheckPath, host(engine), {}, {}),
                    found.first->second.limit(), std::move(on_result));
}

void HttpEngineClient::run(const core::EndpointChanged& effect) {
  if (!effect.usable) {
    addresses_.erase(effect.engine);
    health_check_patience_.erase(effect.engine);
    return pool_.remove_endpoint(effect.engine);
  }
  addresses_[effect.engine] = effect.address;
  pool_.set_endpoint(effect.engine, effect.address);
}

// ---- answers to an attempt's calls

void HttpEngineClient::on_response(AttemptId id, Outcome outcome, HttpResponse& response,
                                   Connection* reusable) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) return;
  auto& attempt = found->second;
  set_connection(id, reusable);
  attempt.last_contact_by = std::max(attempt.last_contact_by, steady_now());
  if (attempt.stage == Stage::deleting_on_other_connection)
    return;  // the answer to the delete ends the attempt
  if (attempt.stage == Stage::deleting_on_own_connection)
    return on_response_while_deleting(id, attempt, outcome, response.status);
  if (outcome != Outcome::answered) return on_call_failed(id, attempt, outcome);
  if (auto report = read_load_report(response, load_fields_)) attempt.result.load_report = std::move(*report);
  switch (response.status) {
    case http_status::kAccepted:
      return on_running(id, attempt);
    case http_status::kOk:
      return on_page(id, attempt, response);
    default:
      return on_error(id, attempt, response);
  }
}

// The delete on another connection failed while this call was in progress.
void HttpEngineClient::on_response_while_deleting(AttemptId id, Attempt& attempt, Outcome outcome,
                                                  unsigned status) {
  const bool ended = outcome == Outcome::answered &&
                     (status == http_status::kOk || status == http_status::kInternalServerError);
  if (ended) return end(id, AttemptEnd::cancelled);
  attempt.connection != nullptr ? delete_on_own_connection(id)
                                : end_possibly_running(id, AttemptEnd::cancelled);
}

// Once a byte of a statement has been sent, the statement may have run, and this attempt never resends it.
// A timeout or a broken answer does not show whether it runs, so the engine is polled.
void HttpEngineClient::on_call_failed(AttemptId id, Attempt& attempt, Outcome outcome) {
  const bool submitting = attempt.stage == Stage::submitted || attempt.stage == Stage::cancel_requested;
  if (submitting && outcome == Outcome::unsent) return end(id, AttemptEnd::expired);
  attempt.arrival_uncertain = attempt.arrival_uncertain || submitting;
  if (attempt.stage == Stage::cancel_requested) return delete_on_other_connection(id);
  if (attempt.stage == Stage::submitted) attempt.stage = Stage::polling;
  reconnect(id);
}

void HttpEngineClient::on_running(AttemptId id, Attempt& attempt) {
  attempt.reconnects = 0;
  attempt.arrival_uncertain = false;
  if (attempt.stage == Stage::cancel_requested) return delete_on_other_connection(id);
  attempt.stage = Stage::polling;
  emit_(core::AttemptProgressed{id});
  if (attempt.pending_priority)
    run(core::Reprioritize{id, *std::exchange(attempt.pending_priority, std::nullopt)});
  poll(id);
}

void HttpEngineClient::on_page(AttemptId id, Attempt& attempt, const HttpResponse& response) {
  if (!attempt.pages.append(response, attempt.result)) {
    // The page was damaged in transit, and the engine still has it. The connection can no longer be used.
    if (attempt.connection != nullptr) pool_.discard(*std::exchange(attempt.connection, nullptr));
    if (attempt.stage == Stage::cancel_requested) return end_possibly_running(id, AttemptEnd::cancelled);
    if (attempt.stage == Stage::submitted) attempt.stage = Stage::polling;
    return reconnect(id);
  }
  attempt.reconnects = 0;
  if (attempt.pages.complete()) return end(id, AttemptEnd::served);
  if (attempt.stage == Stage::cancel_requested) return end(id, AttemptEnd::cancelled);
  attempt.stage = Stage::fetching_pages;
  poll(id);
}

void HttpEngineClient::on_error(AttemptId id, Attempt& attempt, const HttpResponse& response) {
  // An engine that does not know the query may still receive it: bytes may be in transit after a reset.
  if (attempt.arrival_uncertain) return end_possibly_running(id, AttemptEnd::reset);
  if (response.status == http_status::kInternalServerError) return end(id, AttemptEnd::error);
  // Without this header, an error does not prove that the query never ran: it may not come from the engine.
  const bool never_ran = response.header(wire::kNeverRanHeader) == "1" && !attempt.pages.begun();
  if (never_ran && response.status == http_status::kServiceUnavailable) return end(id, AttemptEnd::rejected);
  if (never_ran && response.status == http_status::kGatewayTimeout) return end(id, AttemptEnd::expired);
  end_possibly_running(id, AttemptEnd::error);
}

// ---- cancelling

// A delete on another connection could overtake the statement, which would then run although it was
// cancelled. So the delete waits for the engine's first answer, which proves that the statement has arrived.
void HttpEngineClient::cancel_submitted(AttemptId id, Attempt& attempt) {
  attempt.stage = Stage::cancel_requested;
  if (attempt.connection->stream.unsent_bytes() == 0)
    return http_.shorten_timeout(attempt.call, kAuxiliaryCallTimeout);
  pool_.discard(*attempt.connection);  // the engine never receives the complete statement
  http_.abandon(attempt.call);
  end(id, AttemptEnd::cancelled);
}

void HttpEngineClient::delete_on_other_connection(AttemptId id) {
  auto& attempt = attempts_.at(id);
  attempt.stage = Stage::deleting_on_other_connection;
  http_.call_engine(
      attempt.engine, delete_request(attempt), kAuxiliaryCallTimeout,
      [this, id](Outcome outcome, HttpResponse& response) { on_deleted(id, outcome, response.status); });
}

void HttpEngineClient::delete_on_own_connection(AttemptId id) {
  auto& attempt = attempts_.at(id);
  attempt.call = http_.call(*attempt.connection, delete_request(attempt), kAuxiliaryCallTimeout,
                            [this, id](Outcome outcome, HttpResponse& response, Connection* reusable) {
                              set_connection(id, reusable);
                              on_deleted(id, outcome, response.status);
                            });
}

// If the delete on another connection failed, it is retried on the attempt's own: a draining engine accepts
// no new connections but still answers on open ones.
void HttpEngineClient::on_deleted(AttemptId id, Outcome outcome, unsigned status) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) return;
  auto& attempt = found->second;
  const bool deleted = outcome == Outcome::answered &&
                       (status == http_status::kNoContent || status == http_status::kInternalServerError);
  if (deleted && !attempt.arrival_uncertain) return end(id, AttemptEnd::cancelled);
  if (deleted || attempt.connection == nullptr || attempt.stage == Stage::deleting_on_own_connection)
    return end_possibly_running(id, AttemptEnd::cancelled);
  attempt.stage = Stage::deleting_on_own_connection;
  if (!http_.pending(attempt.call)) delete_on_own_connection(id);
}

// ---- the end of an attempt

void HttpEngineClient::limit_buffered_bytes() {
  std::vector<std::pair<std::size_t, AttemptId>> holders;
  holders.reserve(attempts_.size());
  for (const auto& [id, attempt] : attempts_) {
    const auto in_buffers =
        attempt.connection != nullptr ? HttpClient::buffered_bytes(*attempt.connection) : 0;
    holders.emplace_back(attempt.result.body.capacity() + in_buffers, id);
  }
  for (const auto id : net::holders_over_limit(std::move(holders), max_buffered_bytes_)) {
    auto& attempt = attempts_.at(id);
    if (attempt.stage == Stage::connecting || attempt.stage == Stage::connected) {
      run(core::CancelAttempt{id});
      continue;
    }
    http_.abandon(attempt.call);
    if (attempt.connection != nullptr) pool_.discard(*std::exchange(attempt.connection, nullptr));
    attempt.last_contact_by = std::max(attempt.last_contact_by, steady_now());
    end_possibly_running(id, AttemptEnd::error);
  }
}

// Closing a connection discards what it has not sent, so that the engine receives nothing later than
// max_transit_time_ after the last contact.
void HttpEngineClient::end_possibly_running(AttemptId id, AttemptEnd reason) {
  auto& attempt = attempts_.at(id);
  const auto ends_by = attempt.last_contact_by + max_transit_time_ + kUnpolledQueryLifetime;
  attempt.result.may_run_for = std::max(core::Time::zero(), ends_by - steady_now());
  end(id, reason);
}

void HttpEngineClient::end(AttemptId id, AttemptEnd reason) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) return;
  auto attempt = std::move(found->second);
  attempts_.erase(found);
  release_connection(attempt);
  attempt.result.end = reason;
  if (reason != AttemptEnd::served) attempt.result.body.clear();
  emit_(std::move(attempt.result));
}

}  // namespace bellstair::platform
