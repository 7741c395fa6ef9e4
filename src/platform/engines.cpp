#include "platform/engines.hpp"

#include <algorithm>
#include <cmath>

#include "net/steady_clock.hpp"
#include "sql/value.hpp"

namespace bellstair::platform {
namespace {
using namespace std::chrono_literals;
using core::AttemptEnd;
using core::AttemptId;
using net::steady_now;  // that of ticks may lie a turn back

constexpr std::size_t kMaxBody = std::size_t{64} * 1024;  // of any answer
constexpr std::size_t kMaxPage = 6000;
constexpr std::size_t kMaxResult = 48'000;
constexpr std::size_t kMaxPages = 4096;
// An engine answers within 250 ms, if only that there is no news; a query unasked for 2 s dies. A call that
// hears nothing for so long is made again on another connection while there is time.
constexpr core::Time kSilence = 700ms;
constexpr core::Time kAside = 500ms;  // for calls that nothing waits for long: giving up, priorities
// A second copy of an answer may come some milliseconds after the first, and would pass for the answer to
// another query's call: so long nothing else is asked on the connection. The protocol's slack for time
// limits.
constexpr core::Time kRest = 50ms;
constexpr int kReconnects = 2;
constexpr int kProbeAgain = 1;  // times that a probe whose connection broke is made again
// A query that nobody asks for runs on for 2 s (PROTOCOL), and counts as asked for while its engine holds the
// call for news, for up to 250 ms; time limits grow by 50 ms. To this comes the time that bytes may be on
// their way.
constexpr core::Time kOrphanLife = 2000ms + 250ms + 50ms;

struct HttpSession : net::Session {
  HttpReader reader{kMaxBody};
};

// Rows of three columns, each with its line feed.
bool whole_rows(std::string_view page) {
  if (page.size() > kMaxPage || (!page.empty() && page.back() != '\n')) return false;
  int tabs = 0;
  for (const char c : page) {
    tabs += c == '\t' ? 1 : 0;
    if (c == '\n' && std::exchange(tabs, 0) != 2) return false;
    if (c == '\0') return false;
  }
  return true;
}

std::string path_of(const std::string& ticket) { return "/v1/store/" + ticket; }
}  // namespace

Engines::Engines(ev::loop_ref loop, net::Pool::Limits limits, std::vector<std::string> class_names,
                 std::vector<std::string> load_fields, net::Post post)
    : pool_(loop, (limits.rest = kRest, limits)),
      transit_(limits.dial_timeout),
      class_names_(std::move(class_names)),
      load_fields_(std::move(load_fields)),
      post_(std::move(post)) {}

std::string Engines::host(core::EngineId engine) const {
  const auto found = addresses_.find(engine);
  return found == addresses_.end() ? std::string() : found->second;
}

// ---- calls

std::uint64_t Engines::call(Connection& connection, const std::string& bytes, core::Time patience,
                            Done done) {
  const auto serial = ++serial_;
  if (!connection.session) connection.session = std::make_unique<HttpSession>();
  auto& reader = static_cast<HttpSession&>(*connection.session).reader;
  reader.expect();
  calls_[serial] = {&connection, connection.stream.written(), std::move(done)};
  connection.data = [this, serial, &reader](std::string_view in) {
    if (!reader.feed(in)) return finish(serial, End::broken);
    if (reader.complete()) finish(serial, End::answered);
  };
  connection.lost = [this, serial, &reader](bool clean) {
    finish(serial, clean && reader.finish() ? End::answered : End::broken);
  };
  patience_.arm(now_ + patience, serial);
  connection.stream.write(bytes);  // if it fails, `lost` follows
  return serial;
}

void Engines::finish(std::uint64_t serial, End end) {
  const auto found = calls_.find(serial);
  if (found == calls_.end()) return;
  const auto call = std::move(found->second);
  calls_.erase(found);
  auto& connection = *call.connection;
  auto& reader = static_cast<HttpSession&>(*connection.session).reader;
  HttpAnswer answer;
  if (end == End::answered) answer = reader.take();
  if (end == End::broken && connection.stream.written() == call.before) end = End::unsent;
  const bool fit = end == End::answered && answer.keep_alive && connection.stream.open();
  connection.data = nullptr;
  connection.lost = nullptr;
  if (!fit) pool_.discard(connection);
  call.done(end, answer, fit ? &connection : nullptr);
}

void Engines::aside(core::EngineId engine, std::string bytes, core::Time patience, Heard heard) {
  pool_.acquire(
      engine,
      [this, bytes = std::move(bytes), patience, heard = std::move(heard)](Connection* c) {
        HttpAnswer none;
        if (c == nullptr) return heard(End::not_connected, none);
        call(*c, bytes, patience, [this, heard](End end, HttpAnswer& answer, Connection* fit) {
          if (fit != nullptr) pool_.release(*fit);
          heard(end, answer);
        });
      },
      patience);
}

void Engines::tick(core::Time now) {
  now_ = now;
  pool_.tick(now);
  patience_.advance(now, [this](std::uint64_t serial) { finish(serial, End::silent); });
}

void Engines::wake(core::Time now) {
  now_ = now;
  pool_.wake(now);
}

// ---- effects

void Engines::run(const core::StartAttempt& effect) {
  const auto id = effect.id;
  auto& attempt = attempts_[id];
  attempt.engine = effect.engine;
  attempt.result.id = id;
  attempt.ticket = pool_.acquire(effect.engine, [this, id](Connection* connection) {
    const auto found = attempts_.find(id);
    if (connection == nullptr) return end(id, AttemptEnd::connect_failed);
    found->second.stage = Stage::ready;
    keep(id, connection);
    post_(core::AttemptConnected{id});
  });
}

void Engines::run(core::Transmit& effect) {
  const auto found = attempts_.find(effect.id);
  if (found == attempts_.end() || found->second.stage != Stage::ready) return;
  auto& attempt = found->second;
  if (attempt.connection == nullptr) return end(effect.id, AttemptEnd::expired);
  HttpHeaders headers;
  headers.emplace_back("X-Ticket", effect.ticket);
  headers.emplace_back("X-Queue", class_names_.at(effect.cls));
  headers.emplace_back("X-Max-Ms", std::to_string(std::max<std::int64_t>(1, effect.wait / 1ms)));
  if (!effect.nonce.empty()) headers.emplace_back("X-Nonce", effect.nonce);
  if (effect.memory_mb >= 1)
    headers.emplace_back("Query-Memory", std::to_string(std::llround(effect.memory_mb)));
  headers.emplace_back("Query-Priority", std::to_string(effect.priority));
  if (!effect.parameters.empty()) {
    // These engines take a statement as text: bound values become literals.
    const auto values = sql::unpack(effect.parameters);
    auto text = values ? sql::with_literals(effect.body, *values) : std::nullopt;
    if (!text) return end(effect.id, AttemptEnd::error);
    effect.body = std::move(*text);
  }
  attempt.stage = Stage::posted;
  attempt.query = path_of(effect.ticket);
  const auto id = effect.id;
  attempt.call = call(
      *attempt.connection, http_call("POST", "/v1/store", host(attempt.engine), headers, effect.body),
      kSilence, [this, id](End end, HttpAnswer& answer, Connection* fit) { answered(id, end, answer, fit); });
}

void Engines::run(const core::CancelAttempt& effect) {
  const auto found = attempts_.find(effect.id);
  if (found == attempts_.end()) return;
  auto& attempt = found->second;
  switch (attempt.stage) {
    case Stage::waiting:
      pool_.withdraw(attempt.engine, attempt.ticket);
      return end(effect.id, AttemptEnd::expired);
    case Stage::ready:
      if (attempt.connection != nullptr) pool_.release(*attempt.connection);
      attempt.connection = nullptr;
      return end(effect.id, AttemptEnd::expired);
    case Stage::posted:
      // A DELETE on another connection could overtake the statement, which would then run unasked: the
      // engine's first word, at most 250 ms away, proves that it has come whole.
      attempt.stage = Stage::leaving;
      if (attempt.connection->stream.unwritten() > 0) {
        pool_.discard(*attempt.connection);  // the engine never gets it whole
        calls_.erase(attempt.call);
        return end(effect.id, AttemptEnd::cancelled);
      }
      patience_.arm(now_ + kAside, attempt.call);
      return;
    case Stage::paging:
      return end(effect.id, AttemptEnd::cancelled);  // it has ended there
    case Stage::polling:
      return give_up(effect.id);
    case Stage::leaving:
    case Stage::deleting:
    case Stage::recalling:
      return;
  }
}

std::string Engines::deletion(const Attempt& attempt) const {
  return http_call("DELETE", attempt.query, host(attempt.engine), {}, {});
}

void Engines::give_up(AttemptId id) {
  auto& attempt = attempts_.at(id);
  attempt.stage = Stage::deleting;
  aside(attempt.engine, deletion(attempt), kAside,
        [this, id](End how, HttpAnswer& answer) { deleted(id, how, answer); });
}

// An engine that drains takes no new connections, but still answers on the open ones.
void Engines::deleted(AttemptId id, End how, const HttpAnswer& answer) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) return;
  auto& attempt = found->second;
  // Given up, or not known there any more. A statement whose arrival nothing has proved may come after this.
  const bool over = how == End::answered && (answer.status == 204 || answer.status == 500);
  if (over && !attempt.doubtful) return end(id, AttemptEnd::cancelled);
  if (over || attempt.connection == nullptr || attempt.stage == Stage::recalling)
    return let_go(id, AttemptEnd::cancelled);
  attempt.stage = Stage::recalling;
  if (!calls_.contains(attempt.call)) recall(id);
}

void Engines::recall(AttemptId id) {
  auto& attempt = attempts_.at(id);
  attempt.call = call(*attempt.connection, deletion(attempt), kAside,
                      [this, id](End how, HttpAnswer& answer, Connection* fit) {
                        keep(id, fit);
                        deleted(id, how, answer);
                      });
}

// The one way in which an attempt comes to hold a connection: should it break before the next call is on it,
// the attempt must hear of that, since the pool frees it.
void Engines::keep(AttemptId id, Connection* connection) {
  attempts_.at(id).connection = connection;
  if (connection == nullptr) return;
  connection->lost = [this, id, connection](bool) {
    attempts_.at(id).connection = nullptr;
    pool_.discard(*connection);
  };
}

// Nothing proves that the query is over. What was written may still have reached the engine just before its
// connection was closed; nothing does after that.
void Engines::let_go(AttemptId id, AttemptEnd how) {
  auto& attempt = attempts_.at(id);
  attempt.result.may_run_for =
      std::max(core::Time::zero(), attempt.quiet_since + transit_ + kOrphanLife - steady_now());
  end(id, how);
}

void Engines::run(const core::Reprioritize& effect) {
  const auto found = attempts_.find(effect.id);
  if (found == attempts_.end()) return;
  auto& attempt = found->second;
  if (attempt.stage == Stage::posted) attempt.rank = effect.priority;
  if (attempt.stage != Stage::polling) return;
  attempt.quiet_since = std::max(attempt.quiet_since, steady_now() + kAside);
  aside(attempt.engine,
        http_call("PUT", attempt.query, host(attempt.engine), {}, std::to_string(effect.priority)), kAside,
        [](End, HttpAnswer&) {});
}

void Engines::run(const core::SendHealthCheck& effect) { probe(effect.engine, kProbeAgain); }

// To ask again does no harm, and one reset connection tells nothing of its engine.
void Engines::probe(core::EngineId engine, int again) {
  aside(engine, http_call("GET", "/-/gauges", host(engine), {}, {}), kAside,
        [this, engine, again](End end, HttpAnswer& answer) {
          core::HealthCheckEnded probe{engine, policy::AttemptResult::served, {}};
          switch (end) {
            case End::answered:
              if (answer.status != 200) probe.result = policy::AttemptResult::rejected;
              take_load(answer, probe.load);
              break;
            case End::not_connected:
              probe.result = policy::AttemptResult::connect_failed;
              break;
            case End::unsent:
            case End::broken:
              if (again > 0) return this->probe(engine, again - 1);
              probe.result = policy::AttemptResult::reset;
              break;
            case End::silent:
              probe.result = policy::AttemptResult::timed_out;
              break;
          }
          post_(std::move(probe));
        });
}

void Engines::run(const core::EndpointChanged& effect) {
  if (!effect.usable) {
    addresses_.erase(effect.engine);
    return pool_.retire(effect.engine);
  }
  addresses_[effect.engine] = effect.address;
  pool_.place(effect.engine, effect.address);
}

// ---- an attempt's way

void Engines::answered(AttemptId id, End how, HttpAnswer& answer, Connection* fit) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) return;
  auto& attempt = found->second;
  const bool posting = attempt.stage == Stage::posted || attempt.stage == Stage::leaving;
  keep(id, fit);
  attempt.quiet_since = std::max(attempt.quiet_since, steady_now());
  if (attempt.stage == Stage::deleting) return;  // the answer to that call ends it
  if (attempt.stage == Stage::recalling) {
    if (how == End::answered && (answer.status == 200 || answer.status == 500))
      return end(id, AttemptEnd::cancelled);  // it has ended
    return attempt.connection != nullptr ? recall(id) : let_go(id, AttemptEnd::cancelled);
  }
  if (how != End::answered) {
    if (posting && how == End::unsent) return end(id, AttemptEnd::expired);
    // Once a byte of a statement has left, it may have run, and is never sent again from here. Neither
    // silence nor an answer that breaks off or can't be read tells whether it runs: the engine is asked for
    // its news.
    attempt.doubtful = attempt.doubtful || posting;
    if (attempt.stage == Stage::leaving) return give_up(id);
    attempt.stage = attempt.stage == Stage::posted ? Stage::polling : attempt.stage;
    return reconnect(id);
  }
  take_load(answer, attempt.result.load_report);
  if (answer.status == 202) {
    attempt.reconnects = 0;
    attempt.doubtful = false;
    if (attempt.stage == Stage::leaving) return give_up(id);
    attempt.stage = Stage::polling;
    post_(core::AttemptProgressed{id});
    if (attempt.rank) run(core::Reprioritize{id, *std::exchange(attempt.rank, std::nullopt)});
    return ask(id);
  }
  if (answer.status == 200) {
    if (!take_page(attempt, answer)) {
      // Spoilt on its way: the engine has it still, and gives it again. The connection is of no further use.
      if (attempt.connection != nullptr) pool_.discard(*std::exchange(attempt.connection, nullptr));
      if (attempt.stage == Stage::leaving) return let_go(id, AttemptEnd::cancelled);
      if (attempt.stage == Stage::posted) attempt.stage = Stage::polling;
      return reconnect(id);
    }
    attempt.reconnects = 0;
    if (attempt.next_page == attempt.pages) return end(id, AttemptEnd::served);
    if (attempt.stage == Stage::leaving) return end(id, AttemptEnd::cancelled);
    attempt.stage = Stage::paging;
    return ask(id);
  }
  // An engine that does not know the query may never have got it, or get it yet: a connection that was reset
  // under a statement says nothing of bytes on their way.
  if (attempt.doubtful) return let_go(id, AttemptEnd::reset);
  if (answer.status == 500) return end(id, AttemptEnd::error);
  // Only the mark proves that nothing ran; whoever else writes a 503 proves nothing.
  const bool never_ran = answer.header("x-shed") == "1" && attempt.next_page == 0;
  if (never_ran && answer.status == 503) return end(id, AttemptEnd::rejected);
  if (never_ran && answer.status == 504) return end(id, AttemptEnd::expired);
  let_go(id, AttemptEnd::error);
}

bool Engines::take_page(Attempt& attempt, HttpAnswer& answer) {
  auto& result = attempt.result;
  if (!whole_rows(answer.body) || result.body.size() + answer.body.size() > kMaxResult) return false;
  if (attempt.next_page == 0) {
    const double pages = answer.number("result-pages").value_or(0);
    if (pages < 1 || pages > kMaxPages || pages != std::floor(pages)) return false;
    attempt.pages = static_cast<std::size_t>(pages);
    if (const auto cost = answer.number("query-cost"); cost && *cost >= 0 && *cost < 1e9)
      result.work = core::Time(static_cast<std::int64_t>(*cost * 1e6));
    result.memory_mb = std::clamp(answer.number("query-need").value_or(0), 0.0, 1e9);
  } else if (answer.number("result-page").value_or(-1) != static_cast<double>(attempt.next_page)) {
    return false;
  }
  result.body += answer.body;
  ++attempt.next_page;
  return true;
}

void Engines::ask(AttemptId id) {
  auto& attempt = attempts_.at(id);
  if (attempt.connection == nullptr) return reconnect(id);
  const auto page = attempt.stage == Stage::paging ? attempt.next_page : 0;
  attempt.call = call(
      *attempt.connection,
      http_call("GET", attempt.query + "/" + std::to_string(page), host(attempt.engine), {}, {}), kSilence,
      [this, id](End how, HttpAnswer& answer, Connection* fit) { answered(id, how, answer, fit); });
}

// News and pages may be asked for again: asking does nothing to the query.
void Engines::reconnect(AttemptId id) {
  auto& attempt = attempts_.at(id);
  if (++attempt.reconnects > kReconnects) return let_go(id, AttemptEnd::reset);
  pool_.acquire(attempt.engine, [this, id](Connection* connection) {
    const auto found = attempts_.find(id);
    const bool wanted = found != attempts_.end() &&
                        (found->second.stage == Stage::polling || found->second.stage == Stage::paging);
    if (!wanted) {
      if (connection != nullptr) pool_.release(*connection);
      return;
    }
    if (connection == nullptr) return let_go(id, AttemptEnd::reset);
    keep(id, connection);
    ask(id);
  });
}

void Engines::end(AttemptId id, AttemptEnd how) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) return;
  auto attempt = std::move(found->second);
  attempts_.erase(found);
  if (auto* connection = attempt.connection; connection != nullptr && connection->stream.open()) {
    // A call that is still out on it ends by itself, and frees the connection then.
    const auto out = calls_.find(attempt.call);
    if (out == calls_.end()) {
      pool_.release(*connection);
    } else {
      patience_.arm(now_ + kSilence, out->first);
      out->second.done = [this](End, HttpAnswer&, Connection* fit) {
        if (fit != nullptr) pool_.release(*fit);
      };
    }
  }
  attempt.result.end = how;
  if (how != AttemptEnd::served) attempt.result.body.clear();
  post_(std::move(attempt.result));
}

void Engines::take_load(const HttpAnswer& answer, std::vector<double>& load) const {
  const auto text = answer.header("x-meter");
  if (text.empty()) return;
  const auto values = parse_meter(text);
  std::vector<double> out;
  for (const auto& field : load_fields_) {
    const auto found = values.find(field);
    if (found == values.end()) return;
    out.push_back(found->second);
  }
  load = std::move(out);
}

}  // namespace bellstair::platform
