#include "mysql/front.hpp"

#include <openssl/rand.h>

#include <algorithm>
#include <cstdio>

#include "mysql/handshake.hpp"
#include "mysql/payload.hpp"
#include "mysql/response.hpp"
#include "mysql/result.hpp"
#include "sql/statement.hpp"

namespace bellstair::mysql {
namespace {
using namespace std::chrono_literals;

constexpr const char* kVersion = "8.0.0-bellstair";
constexpr std::uint32_t kOffered = kLongPassword | kConnectWithDb | kProtocol41 | kTransactions |
                                   kSecureConnection | kPluginAuth | kConnectAttributes | kLenencAuth |
                                   kQueryAttributes;
constexpr core::Time kLoginTime = 10s;
constexpr std::size_t kMaxBuffered = std::size_t{2} << 20;  // of what a client sends ahead
constexpr std::size_t kPlatformColumns = 3;                 // of the platform's results
constexpr std::uint8_t kSwitch = 0xfe, kMore = 0x01, kFastDone = 0x03;

// 20 bytes that no client can foresee, free of zeros, which end a text on this wire.
std::string new_nonce() {
  std::string out(20, '\0');
  RAND_bytes(reinterpret_cast<unsigned char*>(out.data()), static_cast<int>(out.size()));
  for (char& c : out) c = static_cast<char>(1 + static_cast<unsigned char>(c) % 126);
  return out;
}

Error denied(const std::string& user) {
  return {kAccessDenied, "28000", "access denied for user '" + user + "'"};
}

std::string switch_to(const char* plugin, const std::string& nonce) {
  return Writer().u8(kSwitch).null_text(plugin).null_text(nonce).take();
}

}  // namespace

Front::Front(ev::loop_ref loop, net::Fd listening, const config::MysqlFront& config,
             const config::Names& names, const policy::Settings& settings, Options options,
             std::uint64_t& handles, std::uint64_t seed, Post post)
    : loop_(loop),
      config_(config),
      names_(names),
      settings_(settings),
      options_(std::move(options)),
      handles_(handles),
      tickets_(seed),
      post_(std::move(post)),
      listener_(loop, std::move(listening), [this](net::Fd fd, net::Time) { accept(std::move(fd)); }),
      lingerer_(loop) {}

void Front::accept(net::Fd fd) {
  if (connections_.size() >= options_.most_connections) {
    net::Stream turned_away(loop_, std::move(fd), false, kMaxUnwritten);
    turned_away.write(frame(0, write_error({kTooManyConnections, "08004", "too many connections"})));
    lingerer_.take(turned_away);
    return trim();
  }
  auto made = std::make_unique<Connection>(loop_, std::move(fd));
  auto& connection = *made;
  connection.serial = ++serial_;
  connection.nonce = new_nonce();
  connections_.emplace(connection.serial, std::move(made));
  connection.stream.handle({
      .connected = {},
      .data =
          [this, &connection](std::string_view bytes) {
            connection.reader.feed(bytes);
            if (connection.reader.buffered() > kMaxBuffered) connection.stream.pause(true);
            take(connection);
          },
      .ended =
          [this, &connection] {
            // It may only have closed its side, or have gone: what runs has its answer written, but nothing
            // more is begun.
            connection.ended = true;
            if (connection.phase == Phase::running) return post_(core::ClientHalfClosed{connection.client});
            if (connection.stream.unwritten() == 0) close(connection);
          },
      .closed = [this, &connection] { close(connection); },
      .drained =
          [this, &connection] {
            if (connection.ended && connection.phase != Phase::running) close(connection);
          },
  });
  logins_.arm(now_ + kLoginTime, connection.serial);
  Greeting greeting{kVersion, connection.nonce, kCachingSha2, static_cast<std::uint32_t>(connection.serial),
                    kOffered};
  send(connection, write_greeting(greeting));
}

void Front::tick(core::Time now) {
  now_ = now;
  lingerer_.tick(now);
  // A client that has gone after its half-close is no longer heard.
  std::vector<Connection*> left;
  for (const auto& [client, serial] : running_) {
    auto& connection = *connections_.at(serial);
    if (connection.ended && connection.stream.reset()) left.push_back(&connection);
  }
  for (auto* connection : left) close(*connection);
  logins_.advance(now, [this](std::uint64_t serial) {
    const auto found = connections_.find(serial);
    if (found != connections_.end() && found->second->phase < Phase::idle) finish(*found->second);
  });
}

void Front::wake(core::Time now) {
  now_ = now;
  lingerer_.wake(now);
}

// One command at a time: what a client sends ahead stays where it is until the answer has gone out.
void Front::take(Connection& connection) {
  if (connection.taking) return;
  connection.taking = true;
  try {
    while (connection.stream.open() && !connection.closing && connection.phase != Phase::running &&
           connection.phase != Phase::looked_up) {
      const auto packet = connection.reader.next();
      if (!packet) break;
      take(connection, *packet);
    }
  } catch (const Malformed& error) {
    // Where the next packet begins can't be told any more.
    connection.sequence = 1;
    refuse(connection, {kMalformedPacket, "HY000", error.what()});
  }
  connection.taking = false;
  if (connection.stream.open() && connection.reader.buffered() <= kMaxBuffered)
    connection.stream.pause(false);
}

void Front::take(Connection& connection, const Packet& packet) {
  connection.sequence = static_cast<std::uint8_t>(packet.sequence + 1);
  switch (connection.phase) {
    case Phase::login:
      return log_in(connection, packet.payload);
    case Phase::switched:
      return check_password(connection, packet.payload, kNativePassword);
    case Phase::clear_password: {
      auto password = packet.payload;
      if (!password.empty() && password.back() == '\0') password.pop_back();
      return look_up(connection, password);
    }
    case Phase::idle:
      if (packet.sequence != 0) throw Malformed("a command out of sequence");
      return command(connection, packet.payload);
    case Phase::looked_up:
    case Phase::running:
      return;
  }
}

// ---- who it is

void Front::log_in(Connection& connection, const std::string& payload) {
  auto login = read_login(payload);
  connection.capabilities = login.capabilities & kOffered;
  connection.user = login.user;
  const bool ours = std::ranges::any_of(config_.users, [&](const auto& u) { return u.name == login.user; });
  if (!ours && options_.lookup) {
    // A directory takes the password as it is; this front listens on the loopback only.
    connection.phase = Phase::clear_password;
    return send(connection, switch_to(kClearPassword, connection.nonce));
  }
  if (login.plugin == kCachingSha2 || login.plugin == kNativePassword)
    return check_password(connection, login.answer, login.plugin);
  connection.phase = Phase::switched;
  send(connection, switch_to(kNativePassword, connection.nonce));
}

void Front::check_password(Connection& connection, const std::string& answer, const std::string& plugin) {
  const auto user = std::ranges::find(config_.users, connection.user, &config::MysqlUser::name);
  if (user == config_.users.end()) return refuse(connection, denied(connection.user));
  const bool sha2 = plugin == kCachingSha2;
  const auto expected =
      sha2 ? sha2_answer(user->password, connection.nonce) : native_answer(user->password, connection.nonce);
  // An empty password goes as no bytes, or as a lone zero.
  const auto given = answer == std::string(1, '\0') ? std::string() : answer;
  if (!same_secret(given, expected)) return refuse(connection, denied(connection.user));
  if (sha2 && !expected.empty()) send(connection, Writer().u8(kMore).u8(kFastDone).take());
  let_in(connection, user->tenant);
}

void Front::look_up(Connection& connection, const std::string& password) {
  connection.phase = Phase::looked_up;
  const auto serial = connection.serial;
  options_.lookup(connection.user, password, [this, serial](directory::Verdict verdict) {
    const auto found = connections_.find(serial);
    if (found == connections_.end()) return;
    auto& asker = *found->second;
    if (verdict.kind == directory::Verdict::Kind::denied) return refuse(asker, denied(asker.user));
    if (verdict.kind == directory::Verdict::Kind::unavailable)
      return refuse(asker,
                    {kDirectoryDown, "HY000", "the directory of users can't be reached; try again later"});
    let_in(asker, verdict.tenant);
    if (asker.phase == Phase::idle) take(asker);
  });
}

void Front::let_in(Connection& connection, const std::string& tenant) {
  if (!names_.tenants.contains(tenant)) return refuse(connection, denied(connection.user));
  connection.tenant = tenant;
  connection.phase = Phase::idle;
  send(connection, write_ok());
}

// ---- commands

void Front::command(Connection& connection, const std::string& payload) {
  if (payload.empty()) throw Malformed("an empty command");
  switch (static_cast<std::uint8_t>(payload[0])) {
    case kQuit:
      return close(connection);
    case kPing:
      return send(connection, write_ok());
    case kQuery: {
      const auto query = read_query(payload, connection.attributes());
      return start(connection, query.text, {}, query.attributes, false);
    }
    case kPrepare:
      return prepare(connection, payload.substr(1));
    case kExecute:
      return execute(connection, payload);
    case kResetStatement: {
      if (!connection.statements.contains(execute_statement(payload)))
        return send_error(connection, {kUnknownStatement, "HY000", "unknown prepared statement"});
      return send(connection, write_ok());
    }
    case kCloseStatement:
      connection.statements.erase(execute_statement(payload));
      return;  // nothing answers it
    default:
      return send_error(connection, {kUnknownCommand, "08S01", "unknown command"});
  }
}

// Statements belong to the broker: an engine comes to know them when an attempt is sent to it.
void Front::prepare(Connection& connection, std::string text) {
  if (sql::first_word(text).empty())
    return send_error(connection, {kEmptyQuery, "42000", "the query was empty"});
  if (connection.statements.size() >= kMaxStatements)
    return send_error(connection, {1461, "42000", "too many prepared statements on this connection"});
  const auto id = ++connection.last_statement;
  auto& statement = connection.statements[id];
  statement.parameters = sql::placeholders(text).size();
  statement.text = std::move(text);
  send(connection, write_prepared({id, 0, static_cast<std::uint16_t>(statement.parameters)}));
  if (statement.parameters == 0) return;
  for (std::size_t i = 0; i < statement.parameters; ++i) send(connection, write_column("?", kTypeVarString));
  send(connection, write_eof());
}

void Front::execute(Connection& connection, const std::string& payload) {
  const auto found = connection.statements.find(execute_statement(payload));
  if (found == connection.statements.end())
    return send_error(connection, {kUnknownStatement, "HY000", "unknown prepared statement"});
  auto& statement = found->second;
  const auto execute = read_execute(payload, statement.parameters, connection.attributes(), statement.types);
  start(connection, statement.text, execute.values, execute.attributes, true);
}

void Front::start(Connection& connection, std::string_view text, const std::vector<sql::Value>& values,
                  const std::vector<Attribute>& attributes, bool binary) {
  const auto word = sql::first_word(text);
  if (word.empty()) return send_error(connection, {kEmptyQuery, "42000", "the query was empty"});
  // What drivers set when they connect is about a session, and a broker has none.
  if (word == "set") return send(connection, write_ok());
  // The settings may have lost it since the login.
  const auto tenant = names_.tenants.find(connection.tenant);
  if (tenant == names_.tenants.end()) return send_error(connection, denied(connection.user));
  try {
    auto asked = map_statement(text, values, attributes, tenant->second, names_, settings_);
    char ticket[17];
    std::snprintf(ticket, sizeof ticket, "%016llx", static_cast<unsigned long long>(tickets_()));
    asked.ticket = ticket;
    asked.front = core::FrontKind::mysql;
    asked.client = ++handles_;
    connection.phase = Phase::running;
    connection.client = asked.client;
    connection.binary = binary;
    connection.reads = word == "select" || word == "with" || word == "show";
    running_[asked.client] = connection.serial;
    post_(core::RequestReceived{std::move(asked)});
  } catch (const Refusal& refusal) {
    send_error(connection, refusal.error);
  }
}

bool Front::run(const core::Answer& answer) {
  const auto found = running_.find(answer.client);
  if (found == running_.end()) return false;
  auto& connection = *connections_.at(found->second);
  running_.erase(found);
  connection.client = 0;
  connection.phase = Phase::idle;
  if (answer.kind == core::AnswerKind::served) {
    write_result(connection, answer);
  } else {
    send_error(connection, error_of(answer));
  }
  if (connection.ended && connection.stream.unwritten() == 0) {
    close(connection);
  } else if (!connection.ended && (connection.closing || finishing_)) {
    finish(connection);
  } else if (!connection.ended) {
    take(connection);
  }
  return true;
}

void Front::write_result(Connection& connection, const core::Answer& answer) {
  const auto rows = read_rows(answer.body, options_.escaped_rows);
  auto shape = unpack(answer.shape);
  if (!shape) {
    // The platform's engines tell rows only: columns have no names, and a write without rows is merely done.
    shape.emplace();
    shape->rows = !rows.empty() || connection.reads;
    const auto columns = rows.empty() ? kPlatformColumns : rows.front().size();
    for (std::size_t i = 0; i < columns; ++i) shape->names.push_back("column_" + std::to_string(i + 1));
  }
  if (!shape->rows) {
    return send(
        connection,
        Writer().u8(0).lenenc(shape->affected).lenenc(shape->insert_id).u16(kAutocommit).u16(0).take());
  }
  const auto columns = shape->names.size();
  if (std::ranges::any_of(rows, [&](const auto& row) { return row.size() != columns; }))
    return send_error(connection, {kFailed, "HY000", "failed; the engine's rows differ in length"});
  send(connection, Writer().lenenc(columns).take());
  for (const auto& name : shape->names) send(connection, write_column(name, kTypeVarString));
  send(connection, write_eof());
  for (const auto& row : rows)
    send(connection, connection.binary ? write_binary_row(row) : write_text_row(row));
  send(connection, write_eof());
}

// ---- bytes

void Front::send(Connection& connection, std::string_view payload) {
  connection.stream.write(frame(connection.sequence++, payload));
}

void Front::send_error(Connection& connection, const Error& error) { send(connection, write_error(error)); }

void Front::refuse(Connection& connection, const Error& error) {
  send_error(connection, error);
  connection.closing = true;
  if (connection.phase != Phase::running) finish(connection);
}

void Front::finish(Connection& connection) {
  lingerer_.take(connection.stream);
  close(connection);
  trim();
}

void Front::finish() {
  finishing_ = true;
  std::vector<Connection*> over;
  for (const auto& [serial, connection] : connections_) {
    if (connection->phase != Phase::running) over.push_back(connection.get());
  }
  for (auto* connection : over) finish(*connection);
}

// At the end no descriptor is needed any more.
void Front::trim() {
  if (!finishing_) lingerer_.trim(options_.most_connections + kMaxLingering - connections_.size());
}

void Front::settle() {
  gone_.clear();
  lingerer_.settle();
}

void Front::close(Connection& connection) {
  if (connection.client != 0) {
    running_.erase(connection.client);
    post_(core::ClientCancelled{connection.client});
  }
  connection.stream.close();
  const auto found = connections_.find(connection.serial);
  if (found == connections_.end()) return;
  gone_.push_back(std::move(found->second));
  connections_.erase(found);
}

bool Front::unwritten() const {
  const auto writes = [](const auto& c) { return c.second->stream.unwritten() > 0; };
  return lingerer_.size() > 0 || std::ranges::any_of(connections_, writes);
}

}  // namespace bellstair::mysql
