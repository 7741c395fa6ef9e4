#include "mysql/engines.hpp"

#include <algorithm>

#include "mysql/handshake.hpp"
#include "mysql/payload.hpp"
#include "mysql/response.hpp"
#include "sql/value.hpp"

namespace bellstair::mysql {
namespace {
using namespace std::chrono_literals;
using core::AttemptEnd;
using core::AttemptId;

constexpr std::size_t kMaxPacket = std::size_t{4} << 20;
constexpr std::size_t kMaxResult = std::size_t{4} << 20;
constexpr std::size_t kMaxPrepared = 128;  // on one connection; then the one prepared first is closed
constexpr core::Time kAside = 500ms;
constexpr std::uint32_t kWanted = kLongPassword | kProtocol41 | kTransactions | kSecureConnection |
                                  kPluginAuth | kLenencAuth | kQueryAttributes;
// Errors that say that the engine takes no work now; before an execute they prove that nothing ran.
constexpr std::uint16_t kShuttingDown = 1053, kTooManyOfUser = 1203;

std::string answer_for(const std::string& plugin, const std::string& password, const std::string& nonce) {
  return plugin == kCachingSha2 ? sha2_answer(password, nonce) : native_answer(password, nonce);
}

std::string command(std::uint8_t code, std::string_view text) { return Writer().u8(code).text(text).take(); }
}  // namespace

struct Engines::Session : net::Session {
  PacketReader reader{kMaxPacket};
  std::uint32_t connection = 0, capabilities = 0;
  bool answered = false;  // the greeting
  std::string nonce;
  std::unordered_map<std::string, Prepared> prepared;
  std::deque<std::string> order;  // of preparing
  [[nodiscard]] bool attributes() const { return (capabilities & kQueryAttributes) != 0; }
};

Engines::Engines(ev::loop_ref loop, net::Pool::Limits limits, config::MysqlEngines account,
                 std::vector<std::string> class_names, net::Post post)
    : pool_(loop, limits,
            [this](Connection& c, std::function<void(bool)> done) { greet(c, std::move(done)); }),
      account_(std::move(account)),
      class_names_(std::move(class_names)),
      post_(std::move(post)) {}

// ---- the handshake, as a client

void Engines::greet(Connection& connection, std::function<void(bool)> done) {
  connection.session = std::make_unique<Session>();
  connection.data = [this, &connection, done = std::move(done)](std::string_view bytes) {
    const auto finished = done;  // the handler may be replaced from within
    auto& session = static_cast<Session&>(*connection.session);
    session.reader.feed(bytes);
    try {
      if (const auto packet = session.reader.next()) greeted(connection, *packet, finished);
    } catch (const Malformed&) {
      finished(false);
    }
  };
}

void Engines::greeted(Connection& connection, const Packet& packet, const std::function<void(bool)>& done) {
  auto& session = static_cast<Session&>(*connection.session);
  const auto reply = [&](std::string_view payload) {
    connection.stream.write(frame(static_cast<std::uint8_t>(packet.sequence + 1), payload));
  };
  if (packet.payload.empty() || is_error(packet.payload)) return done(false);
  if (!session.answered) {
    const auto greeting = read_greeting(packet.payload);
    session.answered = true;
    session.connection = greeting.connection;
    session.capabilities = greeting.capabilities & kWanted;
    session.nonce = greeting.nonce;
    if ((session.capabilities & kProtocol41) == 0) return done(false);
    const auto plugin = greeting.plugin == kCachingSha2 ? kCachingSha2 : kNativePassword;
    return reply(write_login({session.capabilities | kLenencAuth,
                              account_.user,
                              answer_for(plugin, account_.password, session.nonce),
                              plugin,
                              {}}));
  }
  Cursor in(packet.payload);
  switch (in.u8()) {
    case 0x00:
      return done(true);
    case 0x01:  // more of caching_sha2_password: 3 is "known already"; else it wants what only TLS may carry
      return in.u8() == 3 ? void() : done(false);
    case 0xfe: {
      const std::string plugin(in.null_text());
      if (plugin != kNativePassword && plugin != kCachingSha2) return done(false);
      session.nonce = std::string(in.rest().substr(0, 20));
      return reply(answer_for(plugin, account_.password, session.nonce));
    }
    default:
      return done(false);
  }
}

// ---- effects

void Engines::run(const core::EndpointChanged& effect) {
  effect.usable ? pool_.place(effect.engine, effect.address) : pool_.retire(effect.engine);
  if (effect.accepting) return;
  // A statement that is being prepared has not been sent yet, and must not be once the engine drains.
  std::vector<AttemptId> unsent;
  for (const auto& [id, attempt] : attempts_) {
    if (attempt.engine == effect.engine && attempt.stage == Stage::preparing) unsent.push_back(id);
  }
  for (const auto id : unsent) run(core::CancelAttempt{id});
}

void Engines::tick(core::Time now) {
  now_ = now;
  pool_.tick(now);
  patience_.advance(now, [this](std::uint64_t serial) {
    const auto found = overdue_.find(serial);
    if (found == overdue_.end()) return;
    const auto give_up = std::move(found->second);
    overdue_.erase(found);
    give_up();
  });
}

void Engines::wake(core::Time now) {
  now_ = now;
  pool_.wake(now);
}

void Engines::run(const core::StartAttempt& effect) {
  const auto id = effect.id;
  auto& attempt = attempts_[id];
  attempt.engine = effect.engine;
  attempt.result.id = id;
  attempt.ticket = pool_.acquire(effect.engine, [this, id](Connection* connection) {
    if (connection == nullptr) return end(id, AttemptEnd::connect_failed);
    auto& taken = attempts_.at(id);
    taken.connection = connection;
    taken.stage = Stage::ready;
    connection->data = [this, id](std::string_view bytes) { take(id, bytes); };
    connection->lost = [this, id](bool) { lost(id); };
    post_(core::AttemptConnected{id});
  });
}

void Engines::run(core::Transmit& effect) {
  const auto found = attempts_.find(effect.id);
  if (found == attempts_.end() || found->second.stage != Stage::ready) return;
  auto& attempt = found->second;
  attempt.what = std::move(effect);
  auto& session = static_cast<Session&>(*attempt.connection->session);
  if (attempt.what.parameters.empty()) return execute(attempt.what.id, attempt);
  if (const auto known = session.prepared.find(attempt.what.body); known != session.prepared.end()) {
    attempt.prepared = known->second;
    return execute(attempt.what.id, attempt);
  }
  attempt.stage = Stage::preparing;
  attempt.connection->stream.write(frame(0, command(kPrepare, attempt.what.body)));
}

// Nothing of it has run before this is written; once a byte has left, it may have.
void Engines::execute(AttemptId id, Attempt& attempt) {
  const auto& what = attempt.what;
  auto& session = static_cast<Session&>(*attempt.connection->session);
  std::vector<Attribute> attributes;
  if (session.attributes()) {
    attributes = {{"ticket", what.ticket},
                  {"class", class_names_.at(what.cls)},
                  {"limit", static_cast<std::int64_t>(what.wait / 1ms)},
                  {"priority", static_cast<std::int64_t>(what.priority)}};
    if (!what.nonce.empty()) attributes.push_back({"unique", what.nonce});
    if (what.memory_mb >= 1) attributes.push_back({"memory", static_cast<std::int64_t>(what.memory_mb)});
  }
  std::string payload;
  if (what.parameters.empty()) {
    payload = write_query({what.body, attributes}, session.attributes());
  } else {
    auto values = sql::unpack(what.parameters);
    if (!values || values->size() != attempt.prepared.parameters)
      return end(id, AttemptEnd::error, "the engine counts other parameters");
    payload =
        write_execute({attempt.prepared.statement, std::move(*values), attributes}, session.attributes());
  }
  attempt.stage = Stage::executing;
  attempt.connection->stream.write(frame(0, payload));
}

void Engines::run(const core::CancelAttempt& effect) {
  const auto id = effect.id;
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) return;
  auto& attempt = found->second;
  switch (attempt.stage) {
    case Stage::waiting:
      pool_.withdraw(attempt.engine, attempt.ticket);
      return end(id, AttemptEnd::expired);
    case Stage::ready:
      return end(id, AttemptEnd::expired);
    case Stage::preparing:
      // Its answer is still to come, and must not be taken for another's.
      pool_.discard(*std::exchange(attempt.connection, nullptr));
      return end(id, AttemptEnd::expired);
    case Stage::executing: {
      attempt.stage = Stage::leaving;
      const auto number = static_cast<Session&>(*attempt.connection->session).connection;
      return kill(attempt.engine, number, [this, id] { end(id, AttemptEnd::cancelled); });
    }
    case Stage::leaving:
      return;
  }
}

void Engines::kill(core::EngineId engine, std::uint32_t connection, std::function<void()> done) {
  aside(engine, command(kQuery, "KILL " + std::to_string(connection)),
        [done = std::move(done)](bool, bool) { done(); });
}

void Engines::run(const core::SendHealthCheck& effect) {
  const auto engine = effect.engine;
  aside(engine, command(kPing, {}), [this, engine](bool had, bool answered) {
    const auto result = !had       ? policy::AttemptResult::connect_failed
                        : answered ? policy::AttemptResult::served
                                   : policy::AttemptResult::timed_out;
    post_(core::HealthCheckEnded{engine, result, {}});
  });
}

void Engines::aside(core::EngineId engine, std::string payload, std::function<void(bool, bool)> done) {
  pool_.acquire(engine, [this, payload = std::move(payload), done = std::move(done)](Connection* connection) {
    if (connection == nullptr) return done(false, false);
    auto& session = static_cast<Session&>(*connection->session);
    if (session.attributes() && static_cast<std::uint8_t>(payload[0]) == kQuery) {
      connection->stream.write(frame(0, write_query({payload.substr(1), {}}, true)));
    } else {
      connection->stream.write(frame(0, payload));
    }
    const auto serial = ++serial_;
    overdue_[serial] = [this, connection, done] {
      pool_.discard(*connection);
      done(true, false);
    };
    patience_.arm(now_ + kAside, serial);
    connection->data = [this, connection, serial, &session, done](std::string_view bytes) {
      const auto told = done;
      session.reader.feed(bytes);
      bool whole = false;
      try {
        whole = session.reader.next().has_value();
      } catch (const Malformed&) {
        return;  // until its time is up
      }
      if (!whole || overdue_.erase(serial) == 0) return;
      session.reader.buffered() == 0 ? pool_.release(*connection) : pool_.discard(*connection);
      told(true, true);
    };
    connection->lost = [this, serial](bool) {
      const auto found = overdue_.find(serial);
      if (found == overdue_.end()) return;
      const auto give_up = std::move(found->second);
      overdue_.erase(found);
      give_up();
    };
  });
}

// ---- answers

void Engines::take(AttemptId id, std::string_view bytes) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) return;
  auto* connection = found->second.connection;
  auto& reader = static_cast<Session&>(*connection->session).reader;
  reader.feed(bytes);
  try {
    while (true) {
      const auto now = attempts_.find(id);
      if (now == attempts_.end() || now->second.connection != connection) return;
      const auto packet = reader.next();
      if (!packet) return;
      take(id, now->second, *packet);
    }
  } catch (const Malformed&) {
    lost(id);
  }
}

void Engines::take(AttemptId id, Attempt& attempt, const Packet& packet) {
  if (packet.payload.empty()) throw Malformed("an empty answer");
  switch (attempt.stage) {
    case Stage::preparing:
      return take_prepared(id, attempt, packet.payload);
    case Stage::executing:
    case Stage::leaving:
      return take_result(id, attempt, packet.payload);
    case Stage::waiting:
    case Stage::ready:
      throw Malformed("an answer to nothing");
  }
}

void Engines::take_prepared(AttemptId id, Attempt& attempt, const std::string& payload) {
  auto& session = static_cast<Session&>(*attempt.connection->session);
  if (attempt.definitions > 0) {
    if (--attempt.definitions > 0) return;
  } else {
    if (is_error(payload)) {
      const auto error = read_error(payload);
      const bool busy =
          error.code == kTooManyConnections || error.code == kShuttingDown || error.code == kTooManyOfUser;
      // It was never executed; but a statement that is wrong is wrong on every engine.
      return end(id, busy ? AttemptEnd::rejected : AttemptEnd::error, error.message);
    }
    attempt.prepared = read_prepared(payload);
    const auto parts = [](std::size_t count) {
      return count == 0 ? 0 : count + 1;
    };  // each list with its end
    attempt.definitions = parts(attempt.prepared.parameters) + parts(attempt.prepared.columns);
    if (attempt.definitions > 0) return;
  }
  if (session.order.size() >= kMaxPrepared) {
    const auto oldest = session.prepared.find(session.order.front());
    attempt.connection->stream.write(
        frame(0, Writer().u8(kCloseStatement).u32(oldest->second.statement).take()));
    session.prepared.erase(oldest);
    session.order.pop_front();
  }
  session.prepared[attempt.what.body] = attempt.prepared;
  session.order.push_back(attempt.what.body);
  execute(id, attempt);
}

void Engines::take_result(AttemptId id, Attempt& attempt, const std::string& payload) {
  if (is_error(payload)) {
    const auto error = read_error(payload);
    if (attempt.stage == Stage::leaving) return;  // the answer to the kill ends it
    return end(id, AttemptEnd::error, error.message);
  }
  const bool binary = !attempt.what.parameters.empty();
  if (attempt.columns == 0) {
    Cursor in(payload);
    if (static_cast<std::uint8_t>(payload[0]) == 0) {
      static_cast<void>(in.u8());
      attempt.shape.rows = false;
      attempt.shape.affected = in.lenenc();
      attempt.shape.insert_id = in.lenenc();
      return end(id, AttemptEnd::served);
    }
    attempt.columns = in.lenenc();
    if (attempt.columns > 4096) throw Malformed("too many columns");
    return;
  }
  if (attempt.types.size() < attempt.columns) {
    Cursor in(payload);
    for (int i = 0; i < 4; ++i) static_cast<void>(in.lenenc_text());
    attempt.shape.names.emplace_back(in.lenenc_text());
    attempt.types.push_back(read_column_type(payload));
    return;
  }
  if (is_eof(payload)) {
    if (attempt.rows) return end(id, AttemptEnd::served);
    attempt.rows = true;
    return;
  }
  if (!attempt.rows) throw Malformed("rows before the end of the columns");
  append_row(attempt.result.body,
             binary ? read_binary_row(payload, attempt.types) : read_text_row(payload, attempt.columns));
  if (attempt.result.body.size() > kMaxResult) throw Malformed("a result is too large");
}

// The connection is gone, or nothing on it can be trusted any more.
void Engines::lost(AttemptId id) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) return;
  auto& attempt = found->second;
  if (attempt.connection != nullptr) pool_.discard(*std::exchange(attempt.connection, nullptr));
  switch (attempt.stage) {
    case Stage::waiting:
    case Stage::ready:
    case Stage::preparing:
      return end(id, AttemptEnd::connect_failed);  // it was never executed
    case Stage::executing:
      return end(id, AttemptEnd::reset);  // it may have been
    case Stage::leaving:
      return end(id, AttemptEnd::cancelled);
  }
}

void Engines::end(AttemptId id, AttemptEnd how, std::string said) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) return;
  auto attempt = std::move(found->second);
  attempts_.erase(found);
  if (attempt.connection != nullptr) {
    // A connection that was killed, or that still has something to say, is of no more use.
    const bool clean = how == AttemptEnd::served || how == AttemptEnd::expired || how == AttemptEnd::error ||
                       how == AttemptEnd::rejected;
    // What came behind an answer would be taken for the next one's.
    const auto& reader = static_cast<Session&>(*attempt.connection->session).reader;
    clean&& reader.buffered() == 0 ? pool_.release(*attempt.connection) : pool_.discard(*attempt.connection);
  }
  attempt.result.end = how;
  if (how == AttemptEnd::served) {
    attempt.result.shape = pack(attempt.shape);
  } else {
    attempt.result.body = std::move(said);
  }
  post_(std::move(attempt.result));
}

}  // namespace bellstair::mysql
