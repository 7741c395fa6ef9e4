#include "mysql/mysql_server.hpp"

#include <openssl/rand.h>

#include <algorithm>
#include <cstdio>
#include <utility>

#include "mysql/result_writer.hpp"
#include "sql/statement.hpp"

namespace bellstair::mysql {
namespace {
using namespace std::chrono_literals;

constexpr const char* kServerVersion = "8.0.0-bellstair";
constexpr std::uint32_t kOfferedCapabilities = kLongPassword | kConnectWithDb | kProtocol41 | kTransactions |
                                               kSecureConnection | kPluginAuth | kConnectAttributes |
                                               kLenencAuth | kQueryAttributes;
constexpr core::Time kLoginTimeout = 10s;
constexpr std::size_t kMaxBuffered = std::size_t{2} << 20;  // bytes of commands that a client sends ahead
constexpr std::size_t kMaxBytesPerQuantum = std::size_t{4} << 10;  // of commands handled
constexpr std::size_t kCommandOverhead = 256;  // in bytes: handling an empty command costs about as much
constexpr std::size_t kMaxStatements = 1024;   // prepared, on one connection
constexpr std::size_t kMapNodeBytes = 64;
constexpr std::size_t kBytesPerParameterType = 4;
constexpr std::size_t kNonceBytes = 20;
constexpr std::uint8_t kAuthSwitch = 0xfe;
constexpr std::uint8_t kMoreAuthData = 0x01;
constexpr std::uint8_t kFastAuthSucceeded = 0x03;
constexpr std::uint16_t kTooManyStatements = 1461;
constexpr std::uint16_t kTooManyParameters = 1390;

// Random bytes without zeros, since a zero byte terminates a string in this protocol.
std::string new_nonce() {
  std::string out(kNonceBytes, '\0');
  RAND_bytes(reinterpret_cast<unsigned char*>(out.data()), static_cast<int>(out.size()));
  for (char& c : out) c = static_cast<char>(1 + static_cast<unsigned char>(c) % 126);
  return out;
}

Error access_denied(const std::string& user) {
  return {kAccessDenied, "28000", "access denied for user '" + user + "'"};
}

std::string auth_switch(const char* plugin, const std::string& nonce) {
  return Writer().u8(kAuthSwitch).zero_terminated_text(plugin).zero_terminated_text(nonce).take();
}

}  // namespace

MysqlServer::Connection::Connection(MysqlServer& owner, ev::loop_ref loop, net::Fd fd)
    : server(owner), stream(loop, std::move(fd), false, kMaxUnwritten), deferred(loop) {
  deferred.set<Connection, &Connection::read_deferred>(this);
}

MysqlServer::MysqlServer(ev::loop_ref loop, net::Fd listening, const config::MysqlFront& config,
                         const config::Names& names, const policy::Settings& settings, Options options,
                         std::uint64_t& last_handle, std::uint64_t seed, net::EventSink emit)
    : loop_(loop),
      config_(config),
      names_(names),
      settings_(settings),
      options_(std::move(options)),
      last_handle_(last_handle),
      ticket_generator_(seed),
      emit_(std::move(emit)),
      listener_(loop, std::move(listening), [this](net::Fd fd, net::Time) { accept(std::move(fd)); }),
      lingerer_(loop) {}

// ---- connections

void MysqlServer::accept(net::Fd fd) {
  if (connections_.size() >= options_.limits.max_connections) {
    const Error error{kTooManyConnections, "08004", "too many connections"};
    lingerer_.reject(std::move(fd), frame(0, write_error(error)));
    return lingerer_.trim_to_capacity(connections_.size(), options_.limits.max_connections);
  }
  auto made = std::make_unique<Connection>(*this, loop_, std::move(fd));
  auto& connection = *made;
  connection.serial = ++last_serial_;
  connection.nonce = new_nonce();
  connections_.emplace(connection.serial, std::move(made));
  connection.stream.set_handlers(handlers_of(connection));
  login_timers_.arm(now_ + kLoginTimeout, connection.serial);
  const Greeting greeting{kServerVersion, connection.nonce, kCachingSha2,
                          static_cast<std::uint32_t>(connection.serial), kOfferedCapabilities};
  send(connection, write_greeting(greeting));
}

net::Stream::Handlers MysqlServer::handlers_of(Connection& connection) {
  return {
      .connected = {},
      .data =
          [this, &connection](std::string_view bytes) {
            connection.reader.feed(bytes);
            if (connection.reader.buffered() > kMaxBuffered) connection.stream.pause(true);
            connection.deferred.ready();
          },
      .half_closed =
          [this, &connection] {
            connection.leaving = true;
            if (connection.phase == Phase::running) emit_(core::ClientHalfClosed{connection.client});
          },
      .caught_up = {},
      .ended = [this, &connection] { on_half_close(connection); },
      .closed = [this, &connection] { close(connection); },
      .drained =
          [this, &connection] {
            if (connection.half_closed && connection.phase != Phase::running) close(connection);
          },
  };
}

// The client has closed its sending side or the whole connection. A running statement is still answered.
void MysqlServer::on_half_close(Connection& connection) {
  connection.half_closed = true;
  if (connection.phase == Phase::running) {
    if (!connection.leaving) emit_(core::ClientHalfClosed{connection.client});
  } else if (connection.stream.unsent_bytes() == 0) {
    close(connection);
  }
}

void MysqlServer::close(Connection& connection) {
  if (connection.client != 0) {
    running_.erase(connection.client);
    emit_(core::ClientCancelled{connection.client});
  }
  connection.stream.close();
  connection.deferred.cancel();
  const auto found = connections_.find(connection.serial);
  if (found == connections_.end()) return;
  closed_.push_back(std::move(found->second));
  connections_.erase(found);
}

void MysqlServer::close_gracefully(Connection& connection) {
  lingerer_.take(connection.stream);
  close(connection);
  lingerer_.trim_to_capacity(connections_.size(), options_.limits.max_connections);
}

void MysqlServer::close_with_error(Connection& connection, const Error& error) {
  send_error(connection, error);
  connection.closing = true;
  if (connection.phase != Phase::running) close_gracefully(connection);
}

// After a half-close, reads no longer report a reset of the connection.
void MysqlServer::close_reset_connections() {
  std::vector<Connection*> reset_connections;
  for (const auto& [client, serial] : running_) {
    auto& connection = *connections_.at(serial);
    if (connection.half_closed && connection.stream.reset()) reset_connections.push_back(&connection);
  }
  for (auto* connection : reset_connections) close(*connection);
}

// Clients that send far ahead, prepare much or leave much unread must not use up the memory of the process.
void MysqlServer::limit_buffered_bytes() {
  lingerer_.trim_unsent(options_.limits.max_buffered_bytes);
  for (auto* connection : net::connections_over_limit(connections_, options_.limits.max_buffered_bytes)) {
    connection->stream.abort();
    close(*connection);
  }
}

void MysqlServer::tick(core::Time now) {
  now_ = now;
  lingerer_.tick(now);
  limit_buffered_bytes();
  close_reset_connections();
  login_timers_.advance(now, [this](std::uint64_t serial) {
    const auto found = connections_.find(serial);
    if (found != connections_.end() && found->second->phase < Phase::idle) close_gracefully(*found->second);
  });
}

void MysqlServer::resume(const net::Stall& stall) {
  now_ = stall.resumed_at;
  lingerer_.set_clock(stall.resumed_at);
}

void MysqlServer::settle() {
  closed_.clear();
  lingerer_.settle();
}

void MysqlServer::shut_down() {
  shutting_down_ = true;
  lingerer_.lift_limit();
  std::vector<Connection*> not_running;
  for (const auto& [serial, connection] : connections_) {
    if (connection->phase != Phase::running) not_running.push_back(connection.get());
  }
  for (auto* connection : not_running) close_gracefully(*connection);
}

bool MysqlServer::has_unsent_output() const {
  const auto unsent = [](const auto& entry) { return entry.second->stream.unsent_bytes() > 0; };
  return lingerer_.size() > 0 || std::ranges::any_of(connections_, unsent);
}

// ---- packets

// Handles one command at a time. Commands that a client sends ahead stay buffered until the response has been
// sent.
net::InputSource::Quantum MysqlServer::read_packets(Connection& connection) {
  using Quantum = net::InputSource::Quantum;
  if (connection.in_read_packets) return Quantum::drained;
  connection.in_read_packets = true;
  connection.bytes_this_quantum = 0;
  bool has_more = true;
  try {
    while (may_read_packet(connection) && connection.bytes_this_quantum < kMaxBytesPerQuantum) {
      const auto packet = connection.reader.next();
      has_more = packet.has_value();
      if (!packet) break;
      connection.bytes_this_quantum += kCommandOverhead + packet->payload.size();
      on_packet(connection, *packet);
    }
  } catch (const MalformedPacket& error) {
    // The start of the next packet is unknown.
    connection.sequence = 1;
    close_with_error(connection, {kMalformedPacket, "HY000", error.what()});
  }
  connection.in_read_packets = false;
  if (connection.stream.open() && connection.reader.buffered() <= kMaxBuffered)
    connection.stream.pause(false);
  return has_more && may_read_packet(connection) ? Quantum::has_more : Quantum::drained;
}

bool MysqlServer::may_read_packet(const Connection& connection) const {
  return connection.stream.open() && !connection.closing && connection.phase != Phase::running &&
         connection.phase != Phase::directory_lookup;
}

void MysqlServer::on_packet(Connection& connection, const Packet& packet) {
  connection.sequence = static_cast<std::uint8_t>(packet.sequence + 1);
  switch (connection.phase) {
    case Phase::login:
      return on_login(connection, packet.payload);
    case Phase::auth_switched:
      return check_password(connection, packet.payload, kNativePassword);
    case Phase::clear_password: {
      auto password = packet.payload;
      if (!password.empty() && password.back() == '\0') password.pop_back();
      return look_up_user(connection, password);
    }
    case Phase::idle:
      if (packet.sequence != 0) throw MalformedPacket("a command out of sequence");
      return on_command(connection, packet.payload);
    case Phase::directory_lookup:
    case Phase::running:
      return;
  }
}

// ---- login

void MysqlServer::on_login(Connection& connection, const std::string& payload) {
  auto login = read_login(payload);
  connection.capabilities = login.capabilities & kOfferedCapabilities;
  connection.user = login.user;
  const bool is_configured_user =
      std::ranges::any_of(config_.users, [&](const auto& u) { return u.name == login.user; });
  if (!is_configured_user && options_.lookup) {
    // The directory needs the password in clear text. This server listens on the loopback interface only.
    connection.phase = Phase::clear_password;
    return send(connection, auth_switch(kClearPassword, connection.nonce));
  }
  if (login.plugin == kCachingSha2 || login.plugin == kNativePassword)
    return check_password(connection, login.auth_response, login.plugin);
  connection.phase = Phase::auth_switched;
  send(connection, auth_switch(kNativePassword, connection.nonce));
}

void MysqlServer::check_password(Connection& connection, const std::string& auth_response,
                                 const std::string& plugin) {
  const auto user = std::ranges::find(config_.users, connection.user, &config::MysqlUser::name);
  if (user == config_.users.end()) return close_with_error(connection, access_denied(connection.user));
  const bool sha2 = plugin == kCachingSha2;
  const auto expected = sha2 ? sha2_auth_response(user->password, connection.nonce)
                             : native_auth_response(user->password, connection.nonce);
  // An empty password is sent as no bytes or as a single zero byte.
  const auto received = auth_response == std::string(1, '\0') ? std::string() : auth_response;
  if (!equal_in_constant_time(received, expected))
    return close_with_error(connection, access_denied(connection.user));
  if (sha2 && !expected.empty()) send(connection, Writer().u8(kMoreAuthData).u8(kFastAuthSucceeded).take());
  accept_login(connection, user->tenant);
}

void MysqlServer::look_up_user(Connection& connection, const std::string& password) {
  connection.phase = Phase::directory_lookup;
  options_.lookup(connection.user, password,
                  [this, serial = connection.serial](const directory::LookupResult& result) {
                    on_lookup(serial, result);
                  });
}

void MysqlServer::on_lookup(std::uint64_t serial, const directory::LookupResult& result) {
  using Kind = directory::LookupResult::Kind;
  const auto found = connections_.find(serial);
  if (found == connections_.end()) return;
  auto& connection = *found->second;
  if (result.kind == Kind::denied) return close_with_error(connection, access_denied(connection.user));
  if (result.kind == Kind::unavailable) {
    return close_with_error(connection, {kDirectoryUnavailable, "HY000",
                                         "the directory of users can't be reached; try again later"});
  }
  accept_login(connection, result.tenant);
  if (connection.phase == Phase::idle) connection.deferred.ready();
}

void MysqlServer::accept_login(Connection& connection, const std::string& tenant) {
  if (!names_.tenants.contains(tenant)) return close_with_error(connection, access_denied(connection.user));
  connection.tenant = tenant;
  connection.phase = Phase::idle;
  send(connection, write_ok());
}

// ---- commands

void MysqlServer::on_command(Connection& connection, const std::string& payload) {
  if (payload.empty()) throw MalformedPacket("an empty command");
  switch (static_cast<std::uint8_t>(payload[0])) {
    case kQuit:
      return close(connection);
    case kPing:
      return send(connection, write_ok());
    case kQuery: {
      const auto query = read_query(payload, connection.supports_attributes());
      return submit(connection, query.text, sql::first_word(query.text), {}, query.attributes, false);
    }
    case kPrepare:
      return prepare(connection, payload.substr(1));
    case kExecute:
      return execute(connection, payload);
    case kResetStatement: {
      if (!connection.statements.contains(read_statement_id(payload)))
        return send_error(connection, {kUnknownStatement, "HY000", "unknown prepared statement"});
      return send(connection, write_ok());
    }
    case kCloseStatement:
      return close_statement(connection, read_statement_id(payload));
    default:
      return send_error(connection, {kUnknownCommand, "08S01", "unknown command"});
  }
}

// The types of the parameters are added by the first execute.
std::size_t MysqlServer::memory_of(const Statement& statement) {
  return kMapNodeBytes + sizeof(Statement) + statement.text.size() + statement.first_word.size() +
         statement.parameters * kBytesPerParameterType;
}

// The broker holds the prepared statement. An engine prepares it only when an attempt is sent to that engine.
void MysqlServer::prepare(Connection& connection, std::string text) {
  auto first_word = sql::first_word(text);
  if (first_word.empty()) return send_error(connection, {kEmptyQuery, "42000", "the query was empty"});
  const auto parameters = sql::placeholders(text).size();
  if (parameters > kMaxParameters)
    return send_error(connection, {kTooManyParameters, "HY000", "the statement has too many parameters"});
  if (connection.statements.size() >= kMaxStatements)
    return send_error(connection,
                      {kTooManyStatements, "42000", "too many prepared statements on this connection"});
  const auto id = ++connection.last_statement_id;
  auto& statement = connection.statements[id];
  statement.parameters = parameters;
  statement.first_word = std::move(first_word);
  statement.text = std::move(text);
  connection.statement_bytes += memory_of(statement);
  send(connection, write_prepared({id, 0, static_cast<std::uint16_t>(statement.parameters)}));
  if (statement.parameters == 0) return;
  for (std::size_t i = 0; i < statement.parameters; ++i) send(connection, write_column("?", kTypeVarString));
  send(connection, write_eof());
}

// The command has no response.
void MysqlServer::close_statement(Connection& connection, std::uint32_t id) {
  const auto found = connection.statements.find(id);
  if (found == connection.statements.end()) return;
  connection.statement_bytes -= memory_of(found->second);
  connection.statements.erase(found);
}

void MysqlServer::execute(Connection& connection, const std::string& payload) {
  const auto found = connection.statements.find(read_statement_id(payload));
  if (found == connection.statements.end())
    return send_error(connection, {kUnknownStatement, "HY000", "unknown prepared statement"});
  auto& statement = found->second;
  connection.bytes_this_quantum += statement.text.size();
  const auto execute =
      read_execute(payload, statement.parameters, connection.supports_attributes(), statement.types);
  submit(connection, statement.text, statement.first_word, execute.values, execute.attributes, true);
}

std::string MysqlServer::new_ticket() {
  char ticket[17];
  std::snprintf(ticket, sizeof ticket, "%016llx", static_cast<unsigned long long>(ticket_generator_()));
  return ticket;
}

void MysqlServer::submit(Connection& connection, std::string_view text, std::string_view first_word,
                         const std::vector<sql::Value>& values, const std::vector<Attribute>& attributes,
                         bool binary) {
  if (first_word.empty()) return send_error(connection, {kEmptyQuery, "42000", "the query was empty"});
  // Drivers set session variables when they connect. The broker has no session, so it ignores them.
  if (first_word == "set") return send(connection, write_ok());
  // The tenant may have been removed from the settings since the login.
  const auto tenant = names_.tenants.find(connection.tenant);
  if (tenant == names_.tenants.end()) return send_error(connection, access_denied(connection.user));
  try {
    auto submission = map_statement(text, values, attributes, tenant->second, names_, settings_);
    submission.ticket = new_ticket();
    submission.front = core::FrontKind::mysql;
    submission.client = ++last_handle_;
    connection.phase = Phase::running;
    connection.client = submission.client;
    connection.binary_result = binary;
    connection.returns_rows = first_word == "select" || first_word == "with" || first_word == "show";
    running_[submission.client] = connection.serial;
    const auto client = submission.client;
    emit_(core::RequestReceived{std::move(submission)});
    if (connection.leaving) emit_(core::ClientHalfClosed{client});
  } catch (const InvalidStatement& invalid) {
    send_error(connection, invalid.error);
  }
}

bool MysqlServer::run(const core::Answer& answer) {
  const auto found = running_.find(answer.client);
  if (found == running_.end()) return false;
  auto& connection = *connections_.at(found->second);
  running_.erase(found);
  connection.client = 0;
  connection.phase = Phase::idle;
  if (answer.kind == core::AnswerKind::served) {
    const ResultFormat format{options_.escaped_rows, connection.binary_result, connection.returns_rows};
    write_result(answer, format, [&](std::string_view payload) { send(connection, payload); });
  } else {
    send_error(connection, error_of(answer));
  }
  if (connection.half_closed && connection.stream.unsent_bytes() == 0) {
    close(connection);
  } else if (!connection.half_closed && (connection.closing || shutting_down_)) {
    close_gracefully(connection);
  } else if (!connection.half_closed) {
    connection.deferred.ready();
  }
  return true;
}

void MysqlServer::send(Connection& connection, std::string_view payload) {
  connection.stream.write(frame(connection.sequence++, payload));
}

void MysqlServer::send_error(Connection& connection, const Error& error) {
  send(connection, write_error(error));
}

}  // namespace bellstair::mysql
