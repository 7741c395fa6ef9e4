#include "control/node.hpp"

#include <utility>

namespace bellstair::control {

Node::Node(NodeOptions options, PersistedState stored)
    : options_(std::move(options)),
      leadership_(options_.name, options_.term, std::move(stored.term)),
      replica_(std::move(stored.committed)) {
  NodeEffects effects;
  if (const auto& version = replica_.committed())
    leadership_.observe({version->id.epoch, version->leader}, "its own store", effects);
  leadership_.observe_configured(effects);
  for (auto& effect : effects) {
    if (auto* line = std::get_if<LogLine>(&effect)) startup_lines_.push_back(std::move(line->text));
  }
  leadership_.cancel_persist();
}

void Node::reconfigure(Time, NodeOptions options, NodeEffects& out) {
  flush_startup_lines(out);
  options.name = options_.name;
  options.fleet = options_.fleet;
  leadership_.reconfigure(options.term, out);
  options_ = std::move(options);
  on_leadership_changed(out);
}

void Node::flush_startup_lines(NodeEffects& out) {
  for (auto& line : startup_lines_) out.emplace_back(LogLine{std::move(line)});
  startup_lines_.clear();
}

// After anything that may change whom it follows.
void Node::on_leadership_changed(NodeEffects& out) {
  if (leader_session_ != 0) {
    const auto& session = sessions_.at(leader_session_);
    const auto wanted = upstream();
    if (!wanted || (session.identified && session.name != *wanted)) {
      const auto id = leader_session_;
      forget(id);
      out.emplace_back(Close{id});
    }
  }
  leadership_.log_role(out);
}

void Node::on_accepted(Time now, PeerId id, NodeEffects& out) {
  if (sessions_.size() >= kMaxPeers) {
    go_away(id, "full: " + std::to_string(kMaxPeers) + " connections", out);
    return;
  }
  Session session;
  session.id = id;
  session.opened_at = session.last_message = now;
  sessions_.emplace(id, std::move(session));
}

void Node::on_leader_connected(Time now, PeerId id, NodeEffects& out) {
  if (!upstream() || leader_session_ != 0) {  // whom it follows has changed while it dialled
    out.emplace_back(Close{id});
    return;
  }
  Session session;
  session.id = id;
  session.opened_at = session.last_message = session.last_ping = now;
  session.outbound = true;
  session.role = Role::node;
  sessions_.emplace(id, std::move(session));
  leader_session_ = id;
  Hello hello;
  hello.fleet = options_.fleet;
  hello.name = options_.name;
  hello.region = options_.region;
  hello.role = Role::node;
  hello.term = leadership_.persisted();
  if (const auto& version = replica_.committed()) {
    hello.current = version->id;
    hello.digest = version->digest;
  }
  send_message(out, id, hello);
}

void Node::on_message(Time now, PeerId id, std::string_view body, NodeEffects& out) {
  const auto found = sessions_.find(id);
  if (found == sessions_.end()) return;
  Session& session = found->second;
  session.last_message = now;
  const std::string peer = describe(session.role, session.name);
  Message message;
  try {
    message = decode(body);
  } catch (const MalformedMessage& error) {
    reject(id, peer, error.what(), out);
    return;
  }
  brokers_.on_message(now, id, session.name);
  const bool allowed = std::visit([&](auto& kind) { return handle(now, session, kind, out); }, message);
  if (allowed) return;
  reject(id, peer, session.identified ? "a message that it may not send" : "a message before its first", out);
}

void Node::on_drained(Time, PeerId id, NodeEffects& out) {
  const auto found = sessions_.find(id);
  if (found == sessions_.end()) return;
  found->second.update_in_flight = false;
  send_update(found->second, out);
}

void Node::on_closed(Time, PeerId id, NodeEffects& out) {
  const auto found = sessions_.find(id);
  if (found == sessions_.end()) return;
  if (found->second.outbound && found->second.identified) log(out, "lost " + found->second.name);
  forget(id);
}

void Node::on_version_persisted(Time now, const Version& version, const std::optional<PersistError>& error,
                                NodeEffects& out) {
  const auto finished = replica_.on_persisted(now, version, error.has_value());
  if (!finished) return;
  if (error) {
    const std::string reason = std::string("could not be kept: ") + error->what();
    log(out, "version " + to_text(version.id) + " " + reason);
    if (finished->tool != 0) send_message(out, finished->tool, PublishRejected{reason});
    return;
  }
  log(out, "version " + to_text(version.id) + " kept");
  if (finished->tool != 0) send_message(out, finished->tool, Published{version.id});
  for (auto& [id, session] : sessions_) send_update(session, out);
  replica_.persist_pending(out);
}

void Node::on_term_persisted(Time now, const LeaderTerm& term, const std::optional<PersistError>& error,
                             NodeEffects& out) {
  if (!leadership_.on_persisted(now, term, error, out) || error) return;
  on_leadership_changed(out);
  if (!leadership_.is_settled()) return;
  for (auto& [id, session] : sessions_) welcome(session, out);
}

void Node::tick(Time now, NodeEffects& out) {
  flush_startup_lines(out);
  leadership_.retry_persist(now, out);
  replica_.retry_persist(now, out);
  close_silent_sessions(now, out);
  on_leadership_changed(out);
}

// And pings the leader.
void Node::close_silent_sessions(Time now, NodeEffects& out) {
  std::vector<PeerId> timed_out;
  for (auto& [id, session] : sessions_) {
    const bool handshake_late = !session.identified && now - session.opened_at >= kHandshakeTimeout;
    const bool silent = now - session.last_message >= (session.outbound ? kLeaderTimeout : kPeerTimeout);
    if (handshake_late || silent) {
      timed_out.push_back(id);
    } else if (session.outbound && session.identified && now - session.last_ping >= kHeartbeatInterval) {
      session.last_ping = now;
      send_message(out, id, Ping{});
    }
  }
  for (const auto id : timed_out) {
    const Session& session = sessions_.at(id);
    if (session.outbound)
      log(out, "lost " + (session.name.empty() ? upstream().value_or("the writer") : session.name));
    out.emplace_back(Close{id});
    forget(id);
  }
}

void Node::go_away(PeerId id, const std::string& reason, NodeEffects& out) {
  send_message(out, id, GoAway{reason});
  out.emplace_back(Close{id});
}

void Node::reject(PeerId id, const std::string& peer, const std::string& reason, NodeEffects& out) {
  log(out, peer + " is refused: " + reason);
  go_away(id, reason, out);
  forget(id);
}

void Node::leave_leader(PeerId id, const std::string& leader, const std::string& reason, NodeEffects& out) {
  log(out, "leaves " + leader + ": " + reason);
  go_away(id, reason, out);
  forget(id);
}

void Node::forget(PeerId id) {
  const auto found = sessions_.find(id);
  if (found == sessions_.end()) return;
  brokers_.on_disconnected(id, found->second.name);
  if (leader_session_ == id) leader_session_ = 0;
  replica_.forget_tool(id);
  sessions_.erase(found);
}

NodeStatus Node::status(Time now) const {
  NodeStatus out;
  out.node = options_.name;
  out.region = options_.region;
  out.term = leadership_.persisted();
  out.is_leader = is_leader();
  if (const auto& version = replica_.committed()) {
    out.committed = version->id;
    out.digest = version->digest;
  }
  out.brokers = brokers_.statuses(now);
  return out;
}

}  // namespace bellstair::control
