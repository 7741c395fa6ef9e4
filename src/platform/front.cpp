#include "platform/front.hpp"

#include <algorithm>

#include "core/guard.hpp"

namespace bellstair::platform {
namespace {
using namespace std::chrono_literals;
// A client is owed an answer, an error or a close within 3 s: so long for a first request, and for any line
// to come whole.
constexpr core::Time kWhole = 2s;
constexpr core::Time kLookAgain = 20ms;  // before a connection is looked at again whose input is not read yet
constexpr core::Time kAfterStall = 50ms;  // in which the sockets are looked at again
constexpr int kLooks = 8;                 // connections looked at, to close one of them for room
}  // namespace

Front::Front(ev::loop_ref loop, net::Fd listening, const config::Names& names, std::size_t most_connections,
             std::uint64_t& handles, std::function<bool()> green, Post post)
    : loop_(loop),
      names_(names),
      most_connections_(most_connections),
      handles_(handles),
      green_(std::move(green)),
      post_(std::move(post)),
      listener_(
          loop, std::move(listening), [this](net::Fd fd, net::Time waited) { accept(std::move(fd), waited); },
          [this] { return free_descriptor(); }),
      lingerer_(loop) {}

// A connection without an open request may be closed at any time: first those that never asked for anything.
// One with a request that has come, and has not been read yet, is not at rest.
bool Front::make_room() {
  while (connections_.size() >= most_connections_) {
    auto* connection = longest_at_rest();
    if (connection == nullptr) return false;
    connection->stream.unread() == net::Stream::Unread::end ? close(*connection) : finish(*connection);
  }
  return true;
}

Front::Connection* Front::longest_at_rest() {
  for (const auto rank : {Rank::stranger, Rank::idle}) {
    int looks = 0;
    for (auto* connection : ranks_[static_cast<std::size_t>(rank)]) {
      if (++looks > kLooks) break;
      const bool unread = connection->stream.unread() == net::Stream::Unread::bytes;
      if (core::Guard::may_close(connection->open.size(), unread)) return connection;
    }
  }
  return nullptr;
}

// A lingering close would hold the descriptor on.
bool Front::free_descriptor() {
  if (lingerer_.size() > 0) {
    lingerer_.trim(lingerer_.size() - 1);
    return true;
  }
  auto* connection = longest_at_rest();
  if (connection != nullptr) close(*connection);
  return connection != nullptr;
}

void Front::rank(Connection& connection) {
  const bool busy = !connection.open.empty() || connection.stream.unwritten() > 0;
  const auto rank = busy ? Rank::busy : connection.asked ? Rank::idle : Rank::stranger;
  if (rank == connection.rank) return;
  auto& from = ranks_[static_cast<std::size_t>(connection.rank)];
  auto& to = ranks_[static_cast<std::size_t>(rank)];
  to.splice(to.end(), from, connection.place);
  connection.rank = rank;
}

void Front::accept(net::Fd fd, core::Time waited) {
  const bool room = make_room();
  if (!room && connections_.size() >= most_connections_ + kMaxRefusing) {
    net::Stream turned_away(loop_, std::move(fd), false, kMaxUnwritten);
    turned_away.write(rpc_error(std::nullopt, kRpcRefused, "too many connections"));
    lingerer_.take(turned_away);
    return trim();
  }
  auto made = std::make_unique<Connection>(loop_, std::move(fd));
  auto& connection = *made;
  connection.serial = ++serial_;
  connection.since = now_;
  connection.refuses = !room;
  if (waited > core::Time::zero()) {
    // Where nobody could be accepted right after a stall, it may have come in the stall.
    const core::Time failing = now_ - waited;
    connection.unread_since = failing <= woken_ + kAfterStall ? std::min(failing, stalled_since_) : failing;
  }
  auto& strangers = ranks_[static_cast<std::size_t>(Rank::stranger)];
  connection.place = strangers.insert(strangers.end(), &connection);
  connections_.emplace(connection.serial, std::move(made));
  watch(connection, now_ + kWhole);
  connection.stream.handle({
      .connected = {},
      .data = [this, &connection](std::string_view bytes) { read(connection, bytes); },
      .ended =
          [this, &connection] {
            // It may only have closed its side, or have gone: what runs for it has its answer written, but
            // nothing more is begun.
            connection.ended = true;
            for (const auto& [id, client] : connection.open) post_(core::ClientHalfClosed{client});
            if (connection.open.empty()) finish(connection);
          },
      .closed = [this, &connection] { close(connection); },
      .drained = [this, &connection] { rank(connection); },
  });
}

void Front::watch(Connection& connection, core::Time until) {
  if (std::exchange(connection.watched, true)) return;
  watches_.arm(until, connection.serial);
}

void Front::wake(core::Time now, core::Time since) {
  now_ = woken_ = now;
  stalled_since_ = since;
  lingerer_.wake(now);
}

// Clients that say nothing, or never end what they say, hold what others need.
void Front::tick(core::Time now) {
  now_ = now;
  lingerer_.tick(now);
  // A client that has gone after its half-close is no longer heard.
  std::vector<Connection*> left;
  for (auto* connection : ranks_[static_cast<std::size_t>(Rank::busy)]) {
    if (connection->ended && connection->stream.reset()) left.push_back(connection);
  }
  for (auto* connection : left) close(*connection);
  watches_.advance(now, [this](std::uint64_t serial) {
    const auto found = connections_.find(serial);
    if (found == connections_.end()) return;
    auto& connection = *found->second;
    connection.watched = false;
    if (connection.closing || connection.ended) return;
    if (connection.spoken && connection.in.empty()) return;
    if (now_ < connection.since + kWhole) return watch(connection, connection.since + kWhole);
    // What has come and is not read yet may be the rest of it.
    if (connection.stream.unread() == net::Stream::Unread::bytes) return watch(connection, now_ + kLookAgain);
    dismiss(connection, "no whole request came");
  });
}

void Front::close(Connection& connection) {
  for (const auto& [id, client] : connection.open) {
    open_.erase(client);
    post_(core::ClientCancelled{client});
  }
  connection.open.clear();
  partial_ -= std::exchange(connection.in, {}).size();
  connection.stream.close();
  const auto found = connections_.find(connection.serial);
  if (found == connections_.end()) return;
  ranks_[static_cast<std::size_t>(connection.rank)].erase(connection.place);
  gone_.push_back(std::move(found->second));
  connections_.erase(found);
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
    if (connection->open.empty()) over.push_back(connection.get());
  }
  for (auto* connection : over) finish(*connection);
}

// At the end no descriptor is needed any more.
void Front::trim() {
  if (finishing_) return;
  const auto room = most_connections_ + kMaxLingering;
  lingerer_.trim(room > connections_.size() ? room - connections_.size() : 0);
}

void Front::settle() {
  gone_.clear();
  lingerer_.settle();
}

void Front::dismiss(Connection& connection, std::string_view why) {
  connection.stream.write(rpc_error(std::nullopt, -32600, why));
  partial_ -= std::exchange(connection.in, {}).size();
  connection.closing = true;
  // A cancel would not be read any more, so that nothing further may be begun for it.
  for (const auto& [id, client] : connection.open) post_(core::ClientHalfClosed{client});
  if (connection.open.empty()) finish(connection);
}

void Front::strike(Connection& connection, const std::string& reply) {
  connection.stream.write(reply);
  if (++connection.strikes == kMaxStrikes) dismiss(connection, "too many lines of no use");
}

void Front::read(Connection& connection, std::string_view bytes) {
  take(connection, bytes);
  connection.unread_since = {};
}

void Front::take(Connection& connection, std::string_view bytes) {
  // Lines that have come whole are read in place; only a line cut in two is kept.
  while (connection.stream.open() && !connection.closing) {
    const auto end = bytes.find('\n');
    if (end == std::string_view::npos) break;
    if (connection.in.empty()) {
      take_line(connection, bytes.substr(0, end));
    } else {
      partial_ -= connection.in.size();
      const auto whole = std::exchange(connection.in, {}).append(bytes.substr(0, end));
      take_line(connection, whole);
    }
    bytes.remove_prefix(end + 1);
  }
  if (!connection.stream.open() || connection.closing) return;
  if (connection.refuses && connection.spoken && bytes.empty()) return finish(connection);
  rank(connection);
  if (bytes.empty()) return;
  if (connection.in.size() + bytes.size() > kMaxLine || partial_ + bytes.size() > kMaxPartial)
    return dismiss(connection, "a line is too long");
  if (connection.in.empty() && connection.spoken) {
    connection.since = now_;
    watch(connection, now_ + kWhole);
  }
  partial_ += bytes.size();
  connection.in.append(bytes);
}

void Front::take_line(Connection& connection, std::string_view line) {
  if (line.find_first_not_of(" \t\r") == std::string_view::npos) return;
  connection.spoken = true;
  auto message = parse_rpc(line, names_);
  if (const auto* error = std::get_if<RpcError>(&message)) {
    strike(connection, rpc_error(error->id, error->code, error->message));
  } else if (const auto* health = std::get_if<RpcHealth>(&message)) {
    connection.stream.write(rpc_health(health->id, green_()));
  } else if (const auto* cancelled = std::get_if<RpcCancel>(&message)) {
    cancel(connection, *cancelled);
  } else {
    auto& request = std::get<RpcRequest>(message);
    if (connection.refuses) {
      connection.stream.write(rpc_error(request.id, kRpcRefused, "too many connections"));
      return;
    }
    if (connection.open.contains(request.id)) {
      return strike(connection, rpc_error(std::nullopt, -32600, "the id is in use"));
    }
    if (connection.open.size() >= kMaxOpen) {
      return strike(connection, rpc_error(request.id, kRpcRefused, "too many open requests"));
    }
    connection.asked = true;
    connection.last_id = std::max(connection.last_id, request.id);
    const auto client = ++handles_;
    connection.open[request.id] = client;
    open_[client] = {connection.serial, request.id, request.asked.ticket};
    request.asked.client = client;
    post_(core::RequestReceived{std::move(request.asked), connection.unread_since});
  }
}

void Front::cancel(Connection& connection, const RpcCancel& message) {
  auto found = connection.open.end();
  // The call's own id may be that of the request it means.
  const bool own_id = message.id && *message.id > connection.last_id;
  if (message.id && !own_id) found = connection.open.find(*message.id);
  if (message.request && found == connection.open.end()) found = connection.open.find(*message.request);
  if (found == connection.open.end() && !message.ticket.empty()) {
    found = std::ranges::find_if(connection.open,
                                 [&](const auto& o) { return open_.at(o.second).ticket == message.ticket; });
  }
  if (found != connection.open.end()) {
    const auto client = found->second;
    connection.open.erase(found);
    open_.erase(client);
    post_(core::ClientCancelled{client});
  }
  // An id that a request has had gets no answer: it would be a second one.
  if (own_id)
    connection.stream.write("{\"jsonrpc\":\"2.0\",\"id\":" + std::to_string(*message.id) +
                            ",\"result\":true}\n");
}

bool Front::run(const core::Answer& answer) {
  const auto found = open_.find(answer.client);
  if (found == open_.end()) return false;
  const auto open = std::move(found->second);
  open_.erase(found);
  auto& connection = *connections_.at(open.connection);
  connection.open.erase(open.id);
  switch (answer.kind) {
    case core::AnswerKind::served:
      connection.stream.write(rpc_result(open.id, answer.body));
      break;
    case core::AnswerKind::rejected:
      connection.stream.write(rpc_error(open.id, kRpcRefused, "refused", answer.retry_after));
      break;
    case core::AnswerKind::failed:
      connection.stream.write(rpc_error(open.id, kRpcFailed, "failed", answer.retry_after));
      break;
    case core::AnswerKind::timed_out:
      connection.stream.write(rpc_error(open.id, kRpcTimedOut, "timed out", answer.retry_after));
      break;
  }
  if (connection.open.empty() && (connection.closing || connection.ended || finishing_)) {
    finish(connection);
  } else {
    rank(connection);
  }
  return true;
}

bool Front::unwritten() const {
  const auto writes = [](const auto& c) { return c.second->stream.unwritten() > 0; };
  return lingerer_.size() > 0 || std::ranges::any_of(connections_, writes);
}

}  // namespace bellstair::platform
