#include "platform/jsonrpc_server.hpp"

#include <algorithm>

namespace bellstair::platform {
namespace {
using namespace std::chrono_literals;

// Limit for the first line of a connection, and for any line from its first byte to its end. A client must
// receive an answer, an error or a close within 3 s.
constexpr core::Time kLineTimeout = 2s;
constexpr core::Time kUnreadInputRecheck =
    20ms;  // until a line that timed out is checked again, if unread input may complete it
// A connection may have arrived during a stall if its wait to be accepted began at most this long after the
// stall.
constexpr core::Time kStallRecovery = 50ms;
constexpr std::size_t kMaxLineBytes = std::size_t{256} * 1024;
constexpr std::size_t kMaxPartialLineBytes = std::size_t{4} << 20;  // of all connections together
constexpr unsigned kMaxInvalidMessages = 64;                        // on one connection
constexpr std::size_t kMaxOpenRequests = 32;                        // on one connection
// An attempt may begin until 100 ms after its client has closed the connection. A request that was read while
// its connection's input had been unread for half of that is rejected: the client may have left long ago.
constexpr core::Time kMaxTimeBehind = 50ms;
constexpr std::size_t kMaxOverCapacity = 16;  // connections above the limit, on which requests are rejected
}  // namespace

JsonRpcServer::JsonRpcServer(ev::loop_ref loop, net::Fd listening, const config::Names& names,
                             net::ServerLimits limits, std::uint64_t& last_handle,
                             std::function<bool()> healthy, net::EventSink emit)
    : loop_(loop),
      names_(names),
      limits_(limits),
      last_handle_(last_handle),
      healthy_(std::move(healthy)),
      emit_(std::move(emit)),
      listener_(
          loop, std::move(listening), [this](net::Fd fd, net::Time waited) { accept(std::move(fd), waited); },
          [this] { return free_descriptor(); }),
      lingerer_(loop) {}

// ---- connections

void JsonRpcServer::accept(net::Fd fd, core::Time waited) {
  const bool within_capacity = ensure_capacity();
  if (!within_capacity && connections_.size() >= limits_.max_connections + kMaxOverCapacity) {
    lingerer_.reject(std::move(fd), rpc_error(std::nullopt, kRpcRejected, "too many connections"));
    return lingerer_.trim_to_capacity(connections_.size(), limits_.max_connections);
  }
  auto owner = std::make_unique<Connection>(loop_, std::move(fd));
  auto& connection = *owner;
  connection.serial = ++last_serial_;
  connection.waiting_since = now_;
  connection.over_capacity = !within_capacity;
  if (waited > core::Time::zero()) connection.input_since = earliest_arrival(waited);
  eviction_order_.add(connection);
  connections_.emplace(connection.serial, std::move(owner));
  arm_timer(connection, now_ + kLineTimeout);
  connection.stream.set_handlers(handlers_of(connection));
}

net::Stream::Handlers JsonRpcServer::handlers_of(Connection& connection) {
  return {
      .connected = {},
      .data = [this, &connection](std::string_view bytes) { on_data(connection, bytes); },
      .half_closed = [this, &connection] { on_leaving(connection); },
      .caught_up = [this, &connection] { on_caught_up(connection); },
      .ended = [this, &connection] { on_half_close(connection); },
      .closed = [this, &connection] { close(connection); },
      .drained = [this, &connection] { eviction_order_.update(connection); },
  };
}

core::Time JsonRpcServer::earliest_arrival(core::Time waited) const {
  const core::Time waiting_since = now_ - waited;
  const bool follows_stall = waiting_since <= last_stall_.resumed_at + kStallRecovery;
  return follows_stall ? std::min(waiting_since, last_stall_.since) : waiting_since;
}

// Connections without open requests may be closed at any time.
bool JsonRpcServer::ensure_capacity() {
  while (connections_.size() >= limits_.max_connections) {
    auto* connection = eviction_order_.candidate();
    if (connection == nullptr) return false;
    const bool client_has_closed = connection->stream.unread() == net::Stream::Unread::end;
    client_has_closed ? close(*connection) : close_gracefully(*connection);
  }
  return true;
}

// Closes at once: a graceful close would keep the descriptor open.
bool JsonRpcServer::free_descriptor() {
  if (lingerer_.size() > 0) {
    lingerer_.trim(lingerer_.size() - 1);
    return true;
  }
  auto* connection = eviction_order_.candidate();
  if (connection != nullptr) close(*connection);
  return connection != nullptr;
}

void JsonRpcServer::close(Connection& connection) {
  behind_.erase(connection.serial);
  connection.held_requests.clear();
  for (const auto& [id, client] : connection.open_requests) {
    open_requests_.erase(client);
    emit_(core::ClientCancelled{client});
  }
  connection.open_requests.clear();
  clear_partial_line(connection);
  connection.stream.close();
  const auto found = connections_.find(connection.serial);
  if (found == connections_.end()) return;
  eviction_order_.remove(connection);
  closed_.push_back(std::move(found->second));
  connections_.erase(found);
}

void JsonRpcServer::close_gracefully(Connection& connection) {
  lingerer_.take(connection.stream);
  close(connection);
  lingerer_.trim_to_capacity(connections_.size(), limits_.max_connections);
}

void JsonRpcServer::close_with_error(Connection& connection, std::string_view reason) {
  connection.stream.write(rpc_error(std::nullopt, kRpcInvalidRequest, reason));
  clear_partial_line(connection);
  connection.closing = true;
  report_half_close(connection);  // a later cancel would not be read
  if (connection.open_requests.empty()) close_gracefully(connection);
}

void JsonRpcServer::report_half_close(const Connection& connection) {
  for (const auto& [id, client] : connection.open_requests) emit_(core::ClientHalfClosed{client});
}

// The client may have closed only its side, or be gone: requests in progress are still answered.
void JsonRpcServer::on_leaving(Connection& connection) {
  connection.leaving = true;
  report_half_close(connection);
}

// Whatever was read until now came from a client that was there.
void JsonRpcServer::on_caught_up(Connection& connection) {
  connection.behind_since.reset();
  release_held_requests(connection);
}

void JsonRpcServer::on_half_close(Connection& connection) {
  connection.half_closed = true;
  if (!connection.leaving) on_leaving(connection);
  release_held_requests(connection);
  if (connection.open_requests.empty()) close_gracefully(connection);
}

// ---- input

void JsonRpcServer::on_data(Connection& connection, std::string_view bytes) {
  // What is read after the first quantum may have arrived as early as that.
  const bool was_behind = connection.behind_since.has_value();
  if (!was_behind) connection.behind_since = now_;
  if (was_behind && connection.input_since == core::Time::zero())
    connection.input_since = earliest_arrival(now_ - *connection.behind_since);
  for (auto& held : connection.held_requests) {
    if (held.received.since == core::Time::zero()) held.received.since = held.read_at;
  }
  const auto remaining = read_complete_lines(connection, bytes);
  if (connection.stream.open() && !connection.closing) {
    if (connection.over_capacity && connection.has_sent_line && remaining.empty()) {
      close_gracefully(connection);
    } else {
      eviction_order_.update(connection);
      if (!remaining.empty()) store_partial_line(connection, remaining);
    }
  }
  connection.input_since = {};
}

// Lines are parsed in place; only a line that arrives in parts is copied.
std::string_view JsonRpcServer::read_complete_lines(Connection& connection, std::string_view bytes) {
  while (connection.stream.open() && !connection.closing) {
    const auto end = bytes.find('\n');
    if (end == std::string_view::npos) break;
    if (connection.partial_line.empty()) {
      on_line(connection, bytes.substr(0, end));
    } else {
      partial_line_bytes_ -= connection.partial_line.size();
      const auto line = std::exchange(connection.partial_line, {}).append(bytes.substr(0, end));
      on_line(connection, line);
    }
    bytes.remove_prefix(end + 1);
  }
  return bytes;
}

void JsonRpcServer::store_partial_line(Connection& connection, std::string_view bytes) {
  const bool line_too_long = connection.partial_line.size() + bytes.size() > kMaxLineBytes;
  if (line_too_long || partial_line_bytes_ + bytes.size() > kMaxPartialLineBytes)
    return close_with_error(connection, "a line is too long");
  if (connection.partial_line.empty() && connection.has_sent_line) {
    connection.waiting_since = now_;
    arm_timer(connection, now_ + kLineTimeout);
  }
  partial_line_bytes_ += bytes.size();
  connection.partial_line.append(bytes);
}

void JsonRpcServer::clear_partial_line(Connection& connection) {
  partial_line_bytes_ -= std::exchange(connection.partial_line, {}).size();
}

void JsonRpcServer::on_line(Connection& connection, std::string_view line) {
  if (line.find_first_not_of(" \t\r") == std::string_view::npos) return;
  connection.has_sent_line = true;
  auto message = parse_rpc(line, names_);
  if (const auto* error = std::get_if<RpcError>(&message)) {
    reject_message(connection, rpc_error(error->id, error->code, error->message));
  } else if (const auto* health = std::get_if<RpcHealth>(&message)) {
    connection.stream.write(rpc_health(health->id, healthy_()));
  } else if (const auto* cancel = std::get_if<RpcCancel>(&message)) {
    on_cancel(connection, *cancel);
  } else {
    on_request(connection, std::get<RpcRequest>(message));
  }
}

void JsonRpcServer::on_request(Connection& connection, RpcRequest& request) {
  if (connection.over_capacity) {
    connection.stream.write(rpc_error(request.id, kRpcRejected, "too many connections"));
    return;
  }
  if (connection.open_requests.contains(request.id))
    return reject_message(connection, rpc_error(std::nullopt, kRpcInvalidRequest, "the id is in use"));
  if (is_too_far_behind(connection)) {
    connection.stream.write(rpc_error(request.id, kRpcRejected, "sent faster than it is read"));
    return;
  }
  if (connection.open_requests.size() >= kMaxOpenRequests)
    return reject_message(connection, rpc_error(request.id, kRpcRejected, "too many open requests"));
  connection.has_sent_request = true;
  connection.last_rpc_id = std::max(connection.last_rpc_id, request.id);
  const auto client = ++last_handle_;
  connection.open_requests[request.id] = client;
  open_requests_[client] = {connection.serial, request.id, request.submission.ticket};
  request.submission.client = client;
  connection.held_requests.push_back(
      {earliest_arrival(core::Time::zero()), {std::move(request.submission), connection.input_since}});
  behind_.insert(connection.serial);
}

void JsonRpcServer::release_held_requests(Connection& connection) {
  if (connection.held_requests.empty()) return;
  behind_.erase(connection.serial);
  const bool may_have_left = connection.leaving || connection.closing;
  for (auto& held : std::exchange(connection.held_requests, {})) {
    const auto client = held.received.submission.client;
    emit_(std::move(held.received));
    if (may_have_left) emit_(core::ClientHalfClosed{client});
  }
}

bool JsonRpcServer::is_too_far_behind(const Connection& connection) const {
  return connection.behind_since && now_ >= *connection.behind_since + kMaxTimeBehind;
}

void JsonRpcServer::reject_held_requests(Connection& connection) {
  for (const auto& held : std::exchange(connection.held_requests, {})) {
    const auto found = open_requests_.find(held.received.submission.client);
    const auto rpc_id = found->second.rpc_id;
    open_requests_.erase(found);
    connection.open_requests.erase(rpc_id);
    connection.stream.write(rpc_error(rpc_id, kRpcRejected, "sent faster than it is read"));
  }
  on_answered(connection);
}

void JsonRpcServer::reject_requests_held_too_long() {
  std::vector<Connection*> too_far_behind;
  for (const auto serial : behind_) {
    auto& connection = *connections_.at(serial);
    if (is_too_far_behind(connection)) too_far_behind.push_back(&connection);
  }
  for (auto* connection : too_far_behind) {
    behind_.erase(connection->serial);
    reject_held_requests(*connection);
  }
}

void JsonRpcServer::on_cancel(Connection& connection, const RpcCancel& cancel) {
  auto& open = connection.open_requests;
  auto found = open.end();
  // A cancel call may use the id of the request to cancel as its own.
  const bool has_own_id = cancel.id && *cancel.id > connection.last_rpc_id;
  if (cancel.id && !has_own_id) found = open.find(*cancel.id);
  if (cancel.target_id && found == open.end()) found = open.find(*cancel.target_id);
  if (found == open.end() && !cancel.ticket.empty()) {
    found = std::ranges::find_if(
        open, [&](const auto& request) { return open_requests_.at(request.second).ticket == cancel.ticket; });
  }
  if (found != open.end()) {
    const auto client = found->second;
    open.erase(found);
    open_requests_.erase(client);
    const auto is_of_client = [client](const auto& held) {
      return held.received.submission.client == client;
    };
    if (std::erase_if(connection.held_requests, is_of_client) == 0) emit_(core::ClientCancelled{client});
  }
  // A cancel call under a request's id is not answered: that would be a second answer to the request.
  if (has_own_id) connection.stream.write(rpc_cancelled(*cancel.id));
}

void JsonRpcServer::reject_message(Connection& connection, const std::string& reply) {
  connection.stream.write(reply);
  if (++connection.invalid_messages == kMaxInvalidMessages)
    close_with_error(connection, "too many lines of no use");
}

// ---- timers

void JsonRpcServer::arm_timer(Connection& connection, core::Time at) {
  if (std::exchange(connection.timer_armed, true)) return;
  timers_.arm(at, connection.serial);
}

// Closes connections whose clients send nothing or never end a line: they use descriptors and memory that
// others need.
void JsonRpcServer::on_timer(Connection& connection) {
  connection.timer_armed = false;
  if (connection.closing || connection.half_closed) return;
  if (connection.has_sent_line && connection.partial_line.empty()) return;
  const auto due = connection.waiting_since + kLineTimeout;
  if (now_ < due) return arm_timer(connection, due);
  // Unread input may be the rest of the line.
  if (connection.stream.unread() == net::Stream::Unread::bytes)
    return arm_timer(connection, now_ + kUnreadInputRecheck);
  close_with_error(connection, "no whole request came");
}

// A reset after a half-close is not detected by reading.
void JsonRpcServer::close_reset_connections() {
  std::vector<Connection*> reset;
  for (auto* connection : eviction_order_.busy()) {
    if (connection->half_closed && connection->stream.reset()) reset.push_back(connection);
  }
  for (auto* connection : reset) close(*connection);
}

// Clients that leave much unread, or stop within a long line, must not use up the memory of the process.
void JsonRpcServer::limit_buffered_bytes() {
  lingerer_.trim_unsent(limits_.max_buffered_bytes);
  for (auto* connection : net::connections_over_limit(connections_, limits_.max_buffered_bytes)) {
    connection->stream.abort();
    close(*connection);
  }
}

void JsonRpcServer::tick(core::Time now) {
  now_ = now;
  lingerer_.tick(now);
  limit_buffered_bytes();
  reject_requests_held_too_long();
  close_reset_connections();
  timers_.advance(now, [this](std::uint64_t serial) {
    const auto found = connections_.find(serial);
    if (found != connections_.end()) on_timer(*found->second);
  });
}

void JsonRpcServer::resume(const net::Stall& stall) {
  now_ = stall.resumed_at;
  last_stall_ = stall;
  for (const auto& [serial, connection] : connections_) {
    if (connection->behind_since) connection->behind_since = now_;
  }
  lingerer_.set_clock(stall.resumed_at);
}

void JsonRpcServer::settle() {
  closed_.clear();
  lingerer_.settle();
}

// ---- output

bool JsonRpcServer::run(const core::Answer& answer) {
  const auto found = open_requests_.find(answer.client);
  if (found == open_requests_.end()) return false;
  const auto request = std::move(found->second);
  open_requests_.erase(found);
  auto& connection = *connections_.at(request.connection);
  connection.open_requests.erase(request.rpc_id);
  connection.stream.write(rpc_answer(request.rpc_id, answer));
  on_answered(connection);
  return true;
}

void JsonRpcServer::on_answered(Connection& connection) {
  const bool is_closing = connection.closing || connection.half_closed || shutting_down_;
  if (connection.open_requests.empty() && is_closing) {
    close_gracefully(connection);
  } else {
    eviction_order_.update(connection);
  }
}

void JsonRpcServer::shut_down() {
  shutting_down_ = true;
  lingerer_.lift_limit();
  std::vector<Connection*> without_requests;
  for (const auto& [serial, connection] : connections_) {
    if (connection->open_requests.empty()) without_requests.push_back(connection.get());
  }
  for (auto* connection : without_requests) close_gracefully(*connection);
}

bool JsonRpcServer::has_unsent_output() const {
  const auto unsent = [](const auto& entry) { return entry.second->stream.unsent_bytes() > 0; };
  return lingerer_.size() > 0 || std::ranges::any_of(connections_, unsent);
}

}  // namespace bellstair::platform
