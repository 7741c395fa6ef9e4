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

// Called after anything that may change which leader this node follows.
void Node::on_leadership_changed(NodeEffects& out) {
  if (leader_session_ != 0) {
    const auto& session = sessions_.at(leader_session_);
    const auto leader = upstream();
    if (!leader || (session.identified && session.name != *leader)) {
      const auto id = leader_session_;
      remove_session(id);
      out.emplace_back(Close{id});
    }
  }
  leadership_.log_role(out);
}

void Node::on_accepted(Time now, PeerId id, NodeEffects& out) {
  if (sessions_.size() >= kMaxPeers) {
    go_away(id, "the connection limit is reached: " + std::to_string(kMaxPeers) + " connections", out);
    return;
  }
  Session session;
  session.id = id;
  session.opened_at = session.last_message = now;
  sessions_.emplace(id, std::move(session));
}

void Node::on_leader_connected(Time now, PeerId id, NodeEffects& out) {
  if (!upstream() || leader_session_ != 0) {  // the leader has changed during the connection attempt
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
  reject(id, peer,
         session.identified ? "it sent a message that its role may not send"
                            : "it sent a message before the handshake was complete",
         out);
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
  if (found->second.outbound && found->second.identified)
    log(out, "lost the connection to " + found->second.name);
  remove_session(id);
}

void Node::on_version_persisted(Time now, const Version& version, const std::optional<PersistError>& error,
                                NodeEffects& out) {
  const auto finished = replica_.on_persisted(now, version, error.has_value());
  if (!finished) return;
  if (error) {
    const std::string reason = std::string("could not be persisted: ") + error->what();
    log(out, "version " + to_text(version.id) + " " + reason);
    if (finished->tool != 0) send_message(out, finished->tool, PublishRejected{reason});
    return;
  }
  log(out, "version " + to_text(version.id) + " committed");
  if (finished->tool != 0) send_message(out, finished->tool, Published{version.id});
  for (auto& [id, session] : sessions_) send_update(session, out);
  replica_.persist_pending(out);
}

void Node::on_term_persisted(Time now, const LeaderTerm& term, const std::optional<PersistError>& error,
                             NodeEffects& out) {
  if (!leadership_.on_persisted(now, term, error, out) || error) return;
  on_leadership_changed(out);
  if (!leadership_.is_persisted()) return;
  for (auto& [id, session] : sessions_) send_welcome(session, out);
}

void Node::tick(Time now, NodeEffects& out) {
  flush_startup_lines(out);
  leadership_.retry_persist(now, out);
  replica_.retry_persist(now, out);
  ping_leader_and_close_timed_out(now, out);
  on_leadership_changed(out);
}

void Node::ping_leader_and_close_timed_out(Time now, NodeEffects& out) {
  std::vector<PeerId> expired;
  for (auto& [id, session] : sessions_) {
    const bool handshake_late = !session.identified && now - session.opened_at >= kHandshakeTimeout;
    const bool timed_out = now - session.last_message >= (session.outbound ? kLeaderTimeout : kPeerTimeout);
    if (handshake_late || timed_out) {
      expired.push_back(id);
    } else if (session.outbound && session.identified && now - session.last_ping >= kHeartbeatInterval) {
      session.last_ping = now;
      send_message(out, id, Ping{});
    }
  }
  for (const auto id : expired) {
    const Session& session = sessions_.at(id);
    if (session.outbound)
      log(out, "lost the connection to " +
                   (session.name.empty() ? upstream().value_or("the leader") : session.name));
    out.emplace_back(Close{id});
    remove_session(id);
  }
}

void Node::go_away(PeerId id, const std::string& reason, NodeEffects& out) {
  send_message(out, id, GoAway{reason});
  out.emplace_back(Close{id});
}

void Node::reject(PeerId id, const std::string& peer, const std::string& reason, NodeEffects& out) {
  log(out, peer + " is rejected: " + reason);
  go_away(id, reason, out);
  remove_session(id);
}

void Node::disconnect_from_leader(PeerId id, const std::string& leader, const std::string& reason,
                                  NodeEffects& out) {
  log(out, "disconnects from " + leader + ": " + reason);
  go_away(id, reason, out);
  remove_session(id);
}

void Node::remove_session(PeerId id) {
  const auto found = sessions_.find(id);
  if (found == sessions_.end()) return;
  brokers_.on_disconnected(id, found->second.name);
  if (leader_session_ == id) leader_session_ = 0;
  replica_.remove_tool(id);
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
