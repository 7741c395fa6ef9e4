#include "platform/front.hpp"

#include <algorithm>
#include <cstdio>

namespace bellstair::platform {

Front::Front(ev::loop_ref loop, net::Fd listening, const config::Names& names, std::size_t most_connections,
             std::uint64_t& handles, std::function<bool()> green, Post post)
    : loop_(loop),
      names_(names),
      most_connections_(most_connections),
      handles_(handles),
      green_(std::move(green)),
      post_(std::move(post)),
      listener_(loop, std::move(listening), [this](net::Fd fd) { accept(std::move(fd)); }) {}

// A connection without an open request may be closed at any time.
bool Front::make_room() {
  if (connections_.size() < most_connections_) return true;
  Connection* oldest = nullptr;
  for (const auto& [serial, connection] : connections_) {
    const bool idle =
        connection->open.empty() && connection->in.empty() && connection->stream.unwritten() == 0;
    if (idle && (oldest == nullptr || serial < oldest->serial)) oldest = connection.get();
  }
  if (oldest != nullptr) close(*oldest);
  return oldest != nullptr;
}

void Front::accept(net::Fd fd) {
  if (!make_room()) return;
  auto made = std::make_unique<Connection>(loop_, std::move(fd));
  auto& connection = *made;
  connection.serial = ++serial_;
  connections_.emplace(connection.serial, std::move(made));
  connection.stream.handle({
      .connected = {},
      .data = [this, &connection](std::string_view bytes) { take(connection, bytes); },
      .ended =
          [this, &connection] {
            // It may only have closed its side: what it has asked for is still owed.
            connection.ended = true;
            if (connection.open.empty() && connection.stream.unwritten() == 0) close(connection);
          },
      .closed = [this, &connection] { close(connection); },
      .drained =
          [this, &connection] {
            if (connection.ended && connection.open.empty()) close(connection);
          },
  });
}

void Front::close(Connection& connection) {
  for (const auto& [id, client] : connection.open) {
    open_.erase(client);
    post_(core::Cancelled{client});
  }
  connection.open.clear();
  connection.stream.close();
  const auto found = connections_.find(connection.serial);
  gone_.push_back(std::move(found->second));
  connections_.erase(found);
}

void Front::take(Connection& connection, std::string_view bytes) {
  // Lines that have come whole are read in place; only a line cut in two is kept.
  while (connection.stream.open()) {
    const auto end = bytes.find('\n');
    if (end == std::string_view::npos) break;
    if (connection.in.empty()) {
      take_line(connection, bytes.substr(0, end));
    } else {
      const auto whole = std::exchange(connection.in, {}).append(bytes.substr(0, end));
      take_line(connection, whole);
    }
    bytes.remove_prefix(end + 1);
  }
  if (!connection.stream.open()) return;
  if (connection.in.size() + bytes.size() > kMostLine) {
    connection.stream.write(rpc_error(std::nullopt, -32600, "a line is too long"));
    return close(connection);
  }
  connection.in.append(bytes);
}

void Front::take_line(Connection& connection, std::string_view line) {
  if (line.find_first_not_of(" \t\r") == std::string_view::npos) return;
  auto message = parse_rpc(line, names_);
  if (const auto* error = std::get_if<RpcError>(&message)) {
    connection.stream.write(rpc_error(error->id, error->code, error->message));
  } else if (const auto* health = std::get_if<RpcHealth>(&message)) {
    connection.stream.write(rpc_health(health->id, green_()));
  } else if (const auto* cancelled = std::get_if<RpcCancel>(&message)) {
    cancel(connection, *cancelled);
  } else {
    auto& request = std::get<RpcRequest>(message);
    if (connection.open.contains(request.id)) {
      connection.stream.write(rpc_error(std::nullopt, -32600, "the id is in use"));
      return;
    }
    if (connection.open.size() >= kMostOpen) {
      connection.stream.write(rpc_error(request.id, kRpcRefused, "too many open requests"));
      return;
    }
    connection.last_id = std::max(connection.last_id, request.id);
    const auto client = ++handles_;
    connection.open[request.id] = client;
    open_[client] = {connection.serial, request.id, request.asked.ticket};
    request.asked.client = client;
    post_(core::Arrived{std::move(request.asked)});
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
    post_(core::Cancelled{client});
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
    case core::AnswerKind::refused:
      connection.stream.write(rpc_error(open.id, kRpcRefused, "refused", answer.pause));
      break;
    case core::AnswerKind::failed:
      connection.stream.write(rpc_error(open.id, kRpcFailed, "failed", answer.pause));
      break;
    case core::AnswerKind::timed_out:
      connection.stream.write(rpc_error(open.id, kRpcTimedOut, "timed out", answer.pause));
      break;
  }
  if (connection.ended && connection.open.empty() && connection.stream.unwritten() == 0) close(connection);
  return true;
}

bool Front::unwritten() const {
  return std::ranges::any_of(connections_, [](const auto& c) { return c.second->stream.unwritten() > 0; });
}

}  // namespace bellstair::platform
