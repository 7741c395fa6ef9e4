// The handlers of a control node for each kind of message.
#include <limits>
#include <utility>

#include "control/node.hpp"
#include "control/utf8.hpp"

namespace bellstair::control {
namespace {

// Limit for each broker's reason where the status of all brokers is too long for one message.
constexpr std::size_t kShortReasonBytes = 40;

std::string protocol_mismatch(unsigned protocol) {
  return "protocol version " + std::to_string(protocol) + " is not supported; expected version " +
         std::to_string(kProtocolVersion);
}

std::string fleet_mismatch(const std::string& actual, const std::string& expected) {
  return "fleet " + actual + " does not match the expected fleet " + expected;
}

std::string stale_term(std::uint64_t epoch) { return "its epoch " + std::to_string(epoch) + " is outdated"; }

std::string two_leaders(std::uint64_t epoch) { return "epoch " + std::to_string(epoch) + " has two leaders"; }

// Thousands of brokers with long reasons can exceed the message limit: reasons are truncated first, then
// brokers are left out.
std::string encode_bounded(NodeStatus status) {
  std::string body = encode(status);
  if (body.size() > kMaxMessageBytes) {
    for (auto& broker : status.brokers) broker.reason = sanitize_utf8(broker.reason, kShortReasonBytes);
    body = encode(status);
  }
  while (body.size() > kMaxMessageBytes) {
    status.brokers.resize(status.brokers.size() / 2);
    body = encode(status);
  }
  return body;
}

}  // namespace

bool Node::handle(Time now, Session& session, Hello& hello, NodeEffects& out) {
  if (session.outbound || session.identified) return false;
  const std::string peer = describe(hello.role, hello.name);
  if (const auto reason = check_hello(hello)) {
    reject(session.id, peer, *reason, out);
    return true;
  }
  session.identified = true;
  session.role = hello.role;
  session.name = hello.name;
  session.newest_peer_version = hello.current;
  session.term = hello.term;
  if (hello.role == Role::broker) brokers_.on_hello(now, session.id, hello);
  // A tool's term comes from the operator's file alone, so it cannot replace a leader.
  if (hello.role != Role::tool) {
    if (const auto conflict = observe_peer(hello, out)) {
      if (hello.role == Role::broker) brokers_.set_reason(hello.name, *conflict);
      reject(session.id, peer, *conflict, out);
      return true;
    }
    on_leadership_changed(out);
  }
  send_welcome(session, out);
  return true;
}

std::optional<std::string> Node::check_hello(const Hello& hello) const {
  if (hello.protocol != kProtocolVersion) return protocol_mismatch(hello.protocol);
  if (hello.fleet != options_.fleet) return fleet_mismatch(hello.fleet, options_.fleet);
  if (hello.role == Role::node && hello.name == options_.name)
    return "two nodes have the name " + options_.name;
  return std::nullopt;
}

std::optional<std::string> Node::observe_peer(const Hello& hello, NodeEffects& out) {
  const auto peer = describe(hello.role, hello.name);
  if (leadership_.observe(hello.term, peer, out) == TermCheck::conflict)
    return two_leaders(hello.term.epoch) + ": " + leadership_.observed().leader + " at this node, " +
           hello.term.leader + " at the peer";
  leadership_.check_lost_version(hello.current, replica_.committed_id(), peer, out);
  const auto& committed = replica_.committed();
  if (committed && hello.current == committed->id && hello.digest != committed->digest)
    log(out, peer + " has version " + to_text(hello.current) + " with a different digest than this node");
  return std::nullopt;
}

// Brokers and nodes are sent Welcome only once the term in it is persisted.
void Node::send_welcome(Session& session, NodeEffects& out) {
  if (session.outbound || !session.identified || session.welcomed) return;
  if (!leadership_.is_persisted() && session.role != Role::tool) return;
  session.welcomed = true;
  send_message(out, session.id,
               Welcome{kProtocolVersion, options_.fleet, options_.name, leadership_.persisted(),
                       replica_.committed_id()});
  send_update(session, out);
}

// Sends one version at a time, always the newest: for a slow reader, only one version is buffered however
// many are published.
void Node::send_update(Session& session, NodeEffects& out) {
  if (!session.welcomed || session.update_in_flight || session.role == Role::tool) return;
  if (!replica_.committed() || session.newest_peer_version >= replica_.committed_id()) return;
  session.update_in_flight = true;
  session.newest_peer_version = replica_.committed_id();
  out.emplace_back(Send{session.id, replica_.update_body()});
}

bool Node::handle(Time, Session& session, Welcome& welcome, NodeEffects& out) {
  if (!session.outbound || session.identified) return false;
  if (const auto reason = check_welcome(welcome, out)) {
    disconnect_from_leader(session.id, welcome.name, *reason, out);
    return true;
  }
  session.identified = true;
  session.name = welcome.name;
  session.term = welcome.term;
  on_leadership_changed(out);
  return true;
}

std::optional<std::string> Node::check_welcome(const Welcome& welcome, NodeEffects& out) {
  if (welcome.protocol != kProtocolVersion) return protocol_mismatch(welcome.protocol);
  if (welcome.fleet != options_.fleet) return fleet_mismatch(welcome.fleet, options_.fleet);
  const auto leader = upstream();
  if (!leader || welcome.name != *leader)
    return "the node at the leader's address is " + welcome.name + ", not " + leader.value_or("the leader");
  switch (leadership_.observe(welcome.term, welcome.name, out)) {
    case TermCheck::conflict:
      return two_leaders(welcome.term.epoch);
    case TermCheck::stale:
      return stale_term(welcome.term.epoch);
    case TermCheck::accepted:
      break;
  }
  return std::nullopt;
}

bool Node::handle(Time, Session& session, GoAway& message, NodeEffects& out) {
  if (session.outbound)
    log(out,
        "is rejected by " + (session.name.empty() ? "the leader" : session.name) + ": " + message.reason);
  const auto id = session.id;
  remove_session(id);
  out.emplace_back(Close{id});
  return true;
}

bool Node::handle(Time, Session& session, VersionUpdate& update, NodeEffects& out) {
  if (!session.outbound || !session.identified) return false;
  Version& version = update.version;
  if (const auto reason = check_update(session, version, out)) {
    disconnect_from_leader(session.id, std::string(session.name),
                           "version " + to_text(version.id) + " " + *reason, out);
    return true;
  }
  replica_.replicate(std::move(version), out);
  return true;
}

std::optional<std::string> Node::check_update(const Session& session, const Version& version,
                                              NodeEffects& out) {
  const std::string second_leader = "names a second leader of its epoch: " + version.leader;
  if (!is_intact(version)) return "is damaged: its digest does not match its content";
  if (session.term.epoch < leadership_.observed().epoch)
    return "was sent by a leader of the outdated epoch " + std::to_string(session.term.epoch);
  if (version.id.epoch >= leadership_.observed().epoch) {
    // A newer term that first appears in a version is observed; the version itself is received again from the
    // leader of that term.
    const auto check = leadership_.observe({version.id.epoch, version.leader}, session.name, out);
    if (check == TermCheck::conflict) return second_leader;
    if (leadership_.observed() != session.term) return "has a newer epoch than the leader that sent it";
  }
  const auto& committed = replica_.committed();
  if (committed && version.id.epoch == committed->id.epoch && version.leader != committed->leader)
    return second_leader;
  return std::nullopt;
}

bool Node::handle(Time now, Session& session, BrokerReport& report, NodeEffects&) {
  if (!session.identified || session.outbound || session.role != Role::broker) return false;
  brokers_.on_report(now, session.id, session.name, std::move(report));
  return true;
}

bool Node::handle(Time, Session& session, Ping&, NodeEffects& out) {
  if (!session.identified || session.outbound) return false;
  if (session.welcomed) send_message(out, session.id, Pong{leadership_.persisted()});
  return true;
}

bool Node::handle(Time, Session& session, Pong& pong, NodeEffects& out) {
  if (!session.outbound || !session.identified) return false;
  session.term = pong.term;
  const auto check = leadership_.observe(pong.term, session.name, out);
  if (check == TermCheck::accepted) {
    on_leadership_changed(out);
    return true;
  }
  const auto reason = check == TermCheck::stale ? stale_term(pong.term.epoch) : two_leaders(pong.term.epoch);
  disconnect_from_leader(session.id, std::string(session.name), reason, out);
  return true;
}

bool Node::handle(Time, Session& session, Publish& publish, NodeEffects& out) {
  if (!session.identified || session.outbound || session.role != Role::tool) return false;
  auto result = make_version(std::move(publish.text));
  if (auto* rejected = std::get_if<PublishRejected>(&result)) {
    send_message(out, session.id, std::move(*rejected));
    return true;
  }
  replica_.publish(std::move(std::get<Version>(result)), session.id, out);
  return true;
}

std::variant<Version, PublishRejected> Node::make_version(std::string text) const {
  if (const auto why = leadership_.why_not_leader())
    return PublishRejected{options_.name + " is not the leader: " + *why};
  if (replica_.is_persisting())
    return PublishRejected{"busy: another document is being persisted; retry later"};
  if (options_.validate) {
    if (const auto invalid = options_.validate(text)) return PublishRejected{invalid->what()};
  }
  // Numbers continue across epochs, so that operators see a single sequence.
  const auto last = replica_.committed_id().number;
  if (last >= static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max()))
    return PublishRejected{"no version number is left after " + std::to_string(last)};
  Version version;
  version.id = {leadership_.persisted().epoch, last + 1};
  version.leader = options_.name;
  version.text = std::move(text);
  version.digest = compute_digest(version);
  if (encode(VersionUpdate{version}).size() > kMaxMessageBytes)
    return PublishRejected{"the document takes more than " + std::to_string(kMaxMessageBytes) +
                           " bytes on the wire"};
  return version;
}

bool Node::handle(Time now, Session& session, StatusRequest&, NodeEffects& out) {
  if (!session.identified || session.outbound || session.role != Role::tool) return false;
  out.emplace_back(Send{session.id, encode_bounded(status(now))});
  return true;
}

}  // namespace bellstair::control
