#include "mysql/mysql_engine_client.hpp"

#include <algorithm>

#include "net/memory_limit.hpp"
#include "net/steady_clock.hpp"
#include "sql/value.hpp"

namespace bellstair::mysql {
namespace {
using namespace std::chrono_literals;
using core::AttemptEnd;
using core::AttemptId;
using net::steady_now;

// Of an engine's message, which a request keeps until it is answered.
constexpr std::size_t kMaxErrorBytes = std::size_t{4} * 1024;
// Of the pool's connections, those that lingering attempts may hold are limited to its size divided by this.
constexpr std::size_t kLingeringDivisor = 4;
// Errors of an engine that accepts no work now. Before an execute they prove that nothing was executed.
constexpr std::uint16_t kShuttingDown = 1053;
constexpr std::uint16_t kTooManyUserConnections = 1203;

// Query attributes that describe the request to the engine.
constexpr const char* kRequestIdAttribute = "ticket";
constexpr const char* kClassAttribute = "class";
constexpr const char* kTimeLimitMsAttribute = "limit";
constexpr const char* kPriorityAttribute = "priority";
constexpr const char* kIdempotencyKeyAttribute = "unique";
constexpr const char* kMemoryGrantMbAttribute = "memory";

// A list of definitions is followed by an EOF packet.
std::size_t definition_packets(std::size_t count) { return count == 0 ? 0 : count + 1; }
}  // namespace

MysqlEngineClient::MysqlEngineClient(ev::loop_ref loop, net::ConnectionPool::Limits limits,
                                     config::MysqlEngines account, std::vector<std::string> class_names,
                                     net::EventSink emit)
    : pool_(loop, limits,
            [this](Connection& connection, std::function<void(bool)> done) {
              log_in(connection, std::move(done));
            }),
      max_transit_time_(limits.connect_timeout),
      max_lingering_(limits.max_connections / kLingeringDivisor),
      max_buffered_bytes_(limits.max_buffered_bytes),
      account_(std::move(account)),
      class_names_(std::move(class_names)),
      emit_(std::move(emit)) {}

void MysqlEngineClient::tick(core::Time now) {
  now_ = now;
  pool_.tick(now);
  command_timeouts_.advance(now, [this](std::uint64_t serial) { fail_command(serial); });
  kill_retries_.advance(now, [this](AttemptId id) { retry_kill(id); });
  limit_buffered_bytes();
}

void MysqlEngineClient::resume(const net::Stall& stall) {
  now_ = stall.resumed_at;
  pool_.set_clock(stall.resumed_at);
}

// ---- login

void MysqlEngineClient::log_in(Connection& connection, std::function<void(bool)> done) {
  connection.session = std::make_unique<EngineSession>();
  session_of(connection).reader.expect(0);
  connection.on_data = [this, &connection, done = std::move(done)](std::string_view bytes) {
    const auto on_done = done;  // the call may replace this closure
    auto& reader = session_of(connection).reader;
    reader.feed(bytes);
    try {
      if (const auto packet = reader.next()) on_login_packet(connection, *packet, on_done);
    } catch (const MalformedPacket&) {
      on_done(false);
    }
  };
}

void MysqlEngineClient::on_login_packet(Connection& connection, const Packet& packet,
                                        const std::function<void(bool)>& done) {
  auto& session = session_of(connection);
  const auto step = continue_login(session, account_, packet.payload);
  if (step.reply) {
    const auto sequence = static_cast<std::uint8_t>(packet.sequence + 1);
    session.reader.expect(static_cast<std::uint8_t>(sequence + 1));
    connection.stream.write(frame(sequence, *step.reply));
  }
  if (step.state != LoginStep::State::in_progress) done(step.state == LoginStep::State::succeeded);
}

// ---- effects

void MysqlEngineClient::run(const core::EndpointChanged& effect) {
  if (effect.usable) {
    addresses_[effect.engine] = effect.address;
    pool_.set_endpoint(effect.engine, effect.address);
  } else {
    addresses_.erase(effect.engine);
    health_check_patience_.erase(effect.engine);
    pool_.remove_endpoint(effect.engine);
  }
  if (effect.accepting) return;
  // A statement that is being prepared has not been executed yet, and must not be once the engine drains.
  std::vector<AttemptId> unexecuted;
  for (const auto& [id, attempt] : attempts_) {
    if (attempt.engine == effect.engine && attempt.stage == Stage::preparing) unexecuted.push_back(id);
  }
  for (const auto id : unexecuted) run(core::CancelAttempt{id});
}

void MysqlEngineClient::run(const core::StartAttempt& effect) {
  const auto id = effect.id;
  auto& attempt = attempts_[id];
  attempt.engine = effect.engine;
  attempt.result.id = id;
  attempt.checkout_ticket = pool_.acquire(effect.engine, [this, id](Connection* connection) {
    if (connection == nullptr) return end(id, AttemptEnd::connect_failed);
    auto& connected = attempts_.at(id);
    connected.connection = connection;
    connected.stage = Stage::connected;
    connection->on_data = [this, id](std::string_view bytes) { on_data(id, bytes); };
    connection->on_lost = [this, id](bool) { on_lost(id); };
    emit_(core::AttemptConnected{id});
  });
}

void MysqlEngineClient::run(core::Transmit& effect) {
  const auto found = attempts_.find(effect.id);
  if (found == attempts_.end() || found->second.stage != Stage::connected) return;
  auto& attempt = found->second;
  attempt.statement = std::move(effect);
  const auto& statement = attempt.statement;
  if (statement.parameters.empty()) return execute(statement.id, attempt);
  attempt.digest = digest_of(statement.body);
  if (const auto* prepared = session_of(*attempt.connection).prepared.find(attempt.digest)) {
    attempt.prepared = *prepared;
    return execute(statement.id, attempt);
  }
  attempt.stage = Stage::preparing;
  send(*attempt.connection, command(kPrepare, statement.body));
}

std::vector<Attribute> MysqlEngineClient::attributes_of(const Attempt& attempt) const {
  const auto& statement = attempt.statement;
  if (!session_of(*attempt.connection).supports_attributes()) return {};
  std::vector<Attribute> attributes = {
      {kRequestIdAttribute, statement.ticket},
      {kClassAttribute, class_names_.at(statement.cls)},
      {kTimeLimitMsAttribute, static_cast<std::int64_t>(statement.timeout / 1ms)},
      {kPriorityAttribute, static_cast<std::int64_t>(statement.priority)}};
  if (!statement.idempotency_key.empty())
    attributes.push_back({kIdempotencyKeyAttribute, statement.idempotency_key});
  if (statement.memory_mb >= 1)
    attributes.push_back({kMemoryGrantMbAttribute, static_cast<std::int64_t>(statement.memory_mb)});
  return attributes;
}

// The statement cannot have been executed before this write. Once a byte has been sent, the
// statement may have been executed.
void MysqlEngineClient::execute(AttemptId id, Attempt& attempt) {
  const auto& statement = attempt.statement;
  const bool with_attributes = session_of(*attempt.connection).supports_attributes();
  auto attributes = attributes_of(attempt);
  std::string payload;
  if (statement.parameters.empty()) {
    payload = write_query({statement.body, std::move(attributes)}, with_attributes);
  } else {
    auto values = sql::unpack(statement.parameters);
    if (!values || values->size() != attempt.prepared.parameters)
      return end(id, AttemptEnd::error, "the engine counts other parameters");
    payload = write_execute({attempt.prepared.statement, std::move(*values), std::move(attributes)},
                            with_attributes);
  }
  attempt.stage = Stage::executing;
  attempt.binary_rows = !statement.parameters.empty();
  attempt.time_limit = statement.timeout;
  attempt.connection_serial = attempt.connection->serial;
  attempt.connection_number = session_of(*attempt.connection).connection_id;
  if (const auto address = addresses_.find(attempt.engine); address != addresses_.end())
    attempt.address = address->second;
  send(*attempt.connection, payload);
  if (attempt.connection->stream.unsent_bytes() == 0) attempt.sent_at = steady_now();
  attempt.statement = {};  // it is long, and of no use any more
}

void MysqlEngineClient::run(const core::CancelAttempt& effect) {
  const auto id = effect.id;
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) return;
  auto& attempt = found->second;
  switch (attempt.stage) {
    case Stage::connecting:
      pool_.cancel_acquire(attempt.engine, attempt.checkout_ticket);
      return end(id, AttemptEnd::expired);
    case Stage::connected:
      return end(id, AttemptEnd::expired);
    case Stage::preparing:
      // The response to the prepare is outstanding, and must not be read as that of another statement.
      pool_.discard(*std::exchange(attempt.connection, nullptr));
      return end(id, AttemptEnd::expired);
    case Stage::executing:
      return cancel_executing(id, attempt);
    case Stage::killing:
    case Stage::lingering:
      return;
  }
}

// ---- responses

void MysqlEngineClient::on_data(AttemptId id, std::string_view bytes) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) return;
  auto* connection = found->second.connection;
  auto& reader = session_of(*connection).reader;
  reader.feed(bytes);
  try {
    while (true) {
      const auto current = attempts_.find(id);
      if (current == attempts_.end() || current->second.connection != connection) return;
      const auto packet = reader.next();
      if (!packet) return;
      on_packet(id, current->second, *packet);
    }
  } catch (const MalformedPacket&) {
    on_lost(id);
  }
}

void MysqlEngineClient::on_packet(AttemptId id, Attempt& attempt, const Packet& packet) {
  if (packet.payload.empty()) throw MalformedPacket("an empty response packet");
  switch (attempt.stage) {
    case Stage::preparing:
      return on_prepared(id, attempt, packet.payload);
    case Stage::executing:
    case Stage::killing:
    case Stage::lingering:
      return on_result(id, attempt, packet.payload);
    case Stage::connecting:
    case Stage::connected:
      throw MalformedPacket("a response without a command");
  }
}

void MysqlEngineClient::on_prepared(AttemptId id, Attempt& attempt, const std::string& payload) {
  if (attempt.definitions_left > 0) {
    if (--attempt.definitions_left > 0) return;
  } else {
    if (is_error(payload)) return on_prepare_error(id, payload);
    attempt.prepared = read_prepared(payload);
    attempt.definitions_left =
        definition_packets(attempt.prepared.parameters) + definition_packets(attempt.prepared.columns);
    if (attempt.definitions_left > 0) return;
  }
  auto& prepared = session_of(*attempt.connection).prepared;
  if (const auto evicted = prepared.evict()) {
    const auto close = Writer().u8(kCloseStatement).u32(evicted->statement).take();
    attempt.connection->stream.write(frame(0, close));
  }
  prepared.add(attempt.digest, attempt.prepared);
  execute(id, attempt);
}

// The statement was never executed. Errors of a busy engine are reported as a rejection; other errors are
// not, since an invalid statement is invalid on every engine.
void MysqlEngineClient::on_prepare_error(AttemptId id, const std::string& payload) {
  const auto error = read_error(payload);
  const bool busy = error.code == kTooManyConnections || error.code == kShuttingDown ||
                    error.code == kTooManyUserConnections;
  end(id, busy ? AttemptEnd::rejected : AttemptEnd::error, error.message);
}

void MysqlEngineClient::on_result(AttemptId id, Attempt& attempt, const std::string& payload) {
  if (is_error(payload)) {
    const bool cancelled = attempt.stage == Stage::killing;
    return end(id, cancelled ? AttemptEnd::cancelled : AttemptEnd::error, read_error(payload).message);
  }
  if (attempt.reader.read(payload, attempt.binary_rows)) end(id, AttemptEnd::served);
}

// The connection was lost, or its data is malformed and cannot be parsed any further.
void MysqlEngineClient::on_lost(AttemptId id) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) return;
  auto& attempt = found->second;
  const bool sent_in_part = attempt.connection != nullptr && attempt.connection->stream.unsent_bytes() > 0;
  if (attempt.connection != nullptr) pool_.discard(*std::exchange(attempt.connection, nullptr));
  switch (attempt.stage) {
    case Stage::connecting:
    case Stage::connected:
    case Stage::preparing:
      return end(id, AttemptEnd::connect_failed);  // the statement was never executed
    case Stage::executing:
      return sent_in_part ? end(id, AttemptEnd::reset) : end_without_response(id, attempt, AttemptEnd::reset);
    case Stage::killing:
    case Stage::lingering:
      return;  // its KILL goes on
  }
}

std::size_t MysqlEngineClient::buffered_bytes(const Attempt& attempt) {
  std::size_t bytes =
      attempt.statement.body.capacity() + attempt.statement.parameters.capacity() + attempt.reader.memory();
  if (attempt.connection != nullptr)
    bytes +=
        session_of(*attempt.connection).reader.memory() + attempt.connection->stream.output_buffer_bytes();
  return bytes;
}

// Engines that answer many statements at length, or read none, must not use up the memory of the process.
void MysqlEngineClient::limit_buffered_bytes() {
  std::vector<std::pair<std::size_t, AttemptId>> holders;
  holders.reserve(attempts_.size());
  for (const auto& [id, attempt] : attempts_) holders.emplace_back(buffered_bytes(attempt), id);
  for (const auto id : net::holders_over_limit(std::move(holders), max_buffered_bytes_)) end_for_memory(id);
}

void MysqlEngineClient::end_for_memory(AttemptId id) {
  auto& attempt = attempts_.at(id);
  if (attempt.stage < Stage::executing) return run(core::CancelAttempt{id});
  attempt.reader = {};
  const bool sent_in_part = attempt.connection != nullptr && attempt.connection->stream.unsent_bytes() > 0;
  if (attempt.connection != nullptr) pool_.discard(*std::exchange(attempt.connection, nullptr));
  if (attempt.stage != Stage::executing) return;  // its KILL goes on
  sent_in_part ? end(id, AttemptEnd::error) : end_without_response(id, attempt, AttemptEnd::error);
}

void MysqlEngineClient::end(AttemptId id, AttemptEnd kind, std::string error) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) return;
  auto attempt = std::move(found->second);
  attempts_.erase(found);
  if (attempt.kill_ticket != 0) pool_.cancel_acquire(attempt.engine, attempt.kill_ticket);
  release_connection(attempt, kind);
  if (attempt.stage == Stage::lingering) {
    --lingering_;
    return emit_(core::AttemptStopped{id});
  }
  attempt.result.end = kind;
  if (kind == AttemptEnd::served) {
    attempt.result.body = attempt.reader.take_rows();
    attempt.result.shape = pack(attempt.reader.shape());
  } else {
    if (error.size() > kMaxErrorBytes) error.resize(kMaxErrorBytes);
    attempt.result.body = std::move(error);
  }
  emit_(std::move(attempt.result));
}

// A KILL that is on its way would end the next statement on its connection. Neither is one with unread bytes
// after the response used again.
void MysqlEngineClient::release_connection(const Attempt& attempt, AttemptEnd kind) {
  if (attempt.connection == nullptr) return;
  const bool reusable = kind == AttemptEnd::served || kind == AttemptEnd::expired ||
                        kind == AttemptEnd::error || kind == AttemptEnd::rejected;
  const bool input_consumed = session_of(*attempt.connection).reader.buffered() == 0;
  reusable&& input_consumed && !attempt.kill_sent ? pool_.release(*attempt.connection)
                                                  : pool_.discard(*attempt.connection);
}

}  // namespace bellstair::mysql
