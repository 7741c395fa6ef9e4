// How a control node answers each kind of message.
#include <limits>
#include <utility>

#include "control/node.hpp"
#include "control/utf8.hpp"

namespace bellstair::control {
namespace {

// Of a broker's reason, where the status of all is too long for one message.
constexpr std::size_t kShortReasonBytes = 40;

std::string other_protocol(unsigned protocol) {
  return "protocol " + std::to_string(protocol) + ", spoken here is " + std::to_string(kProtocolVersion);
}

std::string other_fleet(const std::string& theirs, const std::string& ours) {
  return "fleet " + theirs + ", this one is " + ours;
}

std::string stale_term(std::uint64_t epoch) { return "it knows of epoch " + std::to_string(epoch) + " only"; }

std::string two_leaders(std::uint64_t epoch) { return "epoch " + std::to_string(epoch) + " has two writers"; }

// Thousands of brokers with long reasons: these are cut first, then brokers are left out.
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
  session.newest_held = hello.current;
  session.term = hello.term;
  if (hello.role == Role::broker) brokers_.on_hello(now, session.id, hello);
  // A tool knows the operator's file and nothing else: it cannot depose a leader.
  if (hello.role != Role::tool) {
    if (const auto conflict = learn_from(hello, out)) {
      if (hello.role == Role::broker) brokers_.set_reason(hello.name, *conflict);
      reject(session.id, peer, *conflict, out);
      return true;
    }
    on_leadership_changed(out);
  }
  welcome(session, out);
  return true;
}

std::optional<std::string> Node::check_hello(const Hello& hello) const {
  if (hello.protocol != kProtocolVersion) return other_protocol(hello.protocol);
  if (hello.fleet != options_.fleet) return other_fleet(hello.fleet, options_.fleet);
  if (hello.role == Role::node && hello.name == options_.name) return "two nodes are called " + options_.name;
  return std::nullopt;
}

std::optional<std::string> Node::learn_from(const Hello& hello, NodeEffects& out) {
  const auto peer = describe(hello.role, hello.name);
  if (leadership_.observe(hello.term, peer, out) == TermCheck::conflict)
    return two_leaders(hello.term.epoch) + ": " + leadership_.observed().leader + " here, " +
           hello.term.leader + " there";
  leadership_.check_lost_version(hello.current, replica_.committed_id(), peer, out);
  const auto& committed = replica_.committed();
  if (committed && hello.current == committed->id && hello.digest != committed->digest)
    log(out, peer + " has another version " + to_text(hello.current) + " than this node");
  return std::nullopt;
}

// Not before the term that it tells is on disk.
void Node::welcome(Session& session, NodeEffects& out) {
  if (session.outbound || !session.identified || session.welcomed) return;
  if (!leadership_.is_settled() && session.role != Role::tool) return;
  session.welcomed = true;
  send_message(out, session.id,
               Welcome{kProtocolVersion, options_.fleet, options_.name, leadership_.persisted(),
                       replica_.committed_id()});
  send_update(session, out);
}

// One at a time, and then the newest: a slow reader holds one version here, however many are published.
void Node::send_update(Session& session, NodeEffects& out) {
  if (!session.welcomed || session.update_in_flight || session.role == Role::tool) return;
  if (!replica_.committed() || session.newest_held >= replica_.committed_id()) return;
  session.update_in_flight = true;
  session.newest_held = replica_.committed_id();
  out.emplace_back(Send{session.id, replica_.update_body()});
}

bool Node::handle(Time, Session& session, Welcome& welcome, NodeEffects& out) {
  if (!session.outbound || session.identified) return false;
  if (const auto reason = check_welcome(welcome, out)) {
    leave_leader(session.id, welcome.name, *reason, out);
    return true;
  }
  session.identified = true;
  session.name = welcome.name;
  session.term = welcome.term;
  on_leadership_changed(out);
  return true;
}

std::optional<std::string> Node::check_welcome(const Welcome& welcome, NodeEffects& out) {
  if (welcome.protocol != kProtocolVersion) return other_protocol(welcome.protocol);
  if (welcome.fleet != options_.fleet) return other_fleet(welcome.fleet, options_.fleet);
  const auto wanted = upstream();
  if (!wanted || welcome.name != *wanted)
    return "it is " + welcome.name + ", not " + wanted.value_or("the writer");
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
    log(out, "is refused by " + (session.name.empty() ? "the writer" : session.name) + ": " + message.reason);
  const auto id = session.id;
  forget(id);
  out.emplace_back(Close{id});
  return true;
}

bool Node::handle(Time, Session& session, VersionUpdate& update, NodeEffects& out) {
  if (!session.outbound || !session.identified) return false;
  Version& version = update.version;
  if (const auto reason = check_update(session, version, out)) {
    leave_leader(session.id, std::string(session.name), "version " + to_text(version.id) + " " + *reason,
                 out);
    return true;
  }
  replica_.replicate(std::move(version), out);
  return true;
}

std::optional<std::string> Node::check_update(const Session& session, const Version& version,
                                              NodeEffects& out) {
  const std::string second_leader = "has a second writer of its epoch, " + version.leader;
  if (!is_intact(version)) return "is damaged: its digest is another";
  if (session.term.epoch < leadership_.observed().epoch)
    return "comes from epoch " + std::to_string(session.term.epoch);
  if (version.id.epoch >= leadership_.observed().epoch) {
    // A newer term that is first seen in a version is obeyed; the version comes again from its leader.
    const auto check = leadership_.observe({version.id.epoch, version.leader}, session.name, out);
    if (check == TermCheck::conflict) return second_leader;
    if (leadership_.observed() != session.term) return "is of a newer epoch than its writer's";
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
  leave_leader(session.id, std::string(session.name), reason, out);
  return true;
}

bool Node::handle(Time, Session& session, Publish& publish, NodeEffects& out) {
  if (!session.identified || session.outbound || session.role != Role::tool) return false;
  auto made = make_version(std::move(publish.text));
  if (auto* rejected = std::get_if<PublishRejected>(&made)) {
    send_message(out, session.id, std::move(*rejected));
    return true;
  }
  replica_.publish(std::move(std::get<Version>(made)), session.id, out);
  return true;
}

std::variant<Version, PublishRejected> Node::make_version(std::string text) const {
  if (const auto why = leadership_.why_not_leader())
    return PublishRejected{options_.name + " does not write: " + *why};
  if (replica_.is_persisting()) return PublishRejected{"busy: another document is being kept"};
  if (options_.validate) {
    if (const auto invalid = options_.validate(text)) return PublishRejected{invalid->what()};
  }
  // Numbers go on across epochs, so that operators see one count.
  const auto last = replica_.committed_id().number;
  if (last >= static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max()))
    return PublishRejected{"no number is left after " + std::to_string(last)};
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
