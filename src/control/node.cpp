#include "control/node.hpp"

#include <algorithm>
#include <limits>
#include <type_traits>

namespace bellstair::control {
namespace {

std::string quoted(const Reign& reign) {
  return "epoch " + std::to_string(reign.epoch) + " of " + (reign.writer.empty() ? "nobody" : reign.writer);
}

constexpr std::string_view to_text(Role role) {
  return role == Role::broker ? "broker" : role == Role::node ? "node" : "tool";
}

}  // namespace

Node::Node(NodeOptions options, Stored stored)
    : options_(std::move(options)), reign_(std::move(stored.reign)), newest_(std::move(stored.newest)) {
  NodeEffects lines;
  heard_ = reign_;
  if (newest_) {
    newest_body_ = encode(Offer{*newest_});
    (void)learn({newest_->place.epoch, newest_->writer}, "its own store", lines);
  }
  const auto word = learn(options_.reign, "the operator's file", lines);
  if (word == Word::older)
    say(lines,
        "the operator's file names " + quoted(options_.reign) + ", but " + quoted(heard_) + " is known");
  for (auto& line : lines) {  // to keep a reign is for the first event
    if (auto* log = std::get_if<Log>(&line)) early_.push_back(std::move(log->text));
  }
  keeping_reign_.reset();
}

void Node::say(NodeEffects& out, const std::string& text) const {
  out.push_back(Log{"control node " + options_.name + ": " + text});
}

void Node::refuse(PeerId id, const std::string& reason, NodeEffects& out) {
  out.push_back(Send{id, encode(Farewell{reason})});
  out.push_back(Close{id});
}

void Node::forget(PeerId id) {
  const auto found = peers_.find(id);
  if (found == peers_.end()) return;
  if (const auto broker = brokers_.find(found->second.name);
      broker != brokers_.end() && broker->second.peer == id) {
    broker->second.peer = 0;
    broker->second.status.connected = false;
  }
  if (upstream_ == id) upstream_ = 0;
  if (keeping_for_ == id) keeping_for_ = 0;
  peers_.erase(found);
}

// What somebody says of epochs and their writers. A newer one is obeyed at once, and told once it is on disk.
Node::Word Node::learn(const Reign& reign, const std::string& from, NodeEffects& out) {
  if (reign.epoch < heard_.epoch || reign.epoch == 0) return Word::older;
  if (reign.epoch == heard_.epoch) {
    if (reign.writer == heard_.writer) return Word::fine;
    say(out, "epoch " + std::to_string(reign.epoch) + " has " + heard_.writer + " as its writer; " + from +
                 " names " + reign.writer + ", which is refused: raise the epoch");
    return Word::conflict;
  }
  heard_ = reign;
  keep_reign(out);
  return Word::fine;
}

void Node::keep_reign(NodeEffects& out) {
  if (keeping_reign_ || reign_ == heard_) return;
  keeping_reign_ = heard_;
  out.push_back(KeepReign{heard_});
}

// After anything that may change whom it follows.
void Node::changed(NodeEffects& out) {
  if (upstream_ != 0) {
    const auto& peer = peers_.at(upstream_);
    const auto wanted = upstream();
    if (!wanted || (peer.hello && peer.name != *wanted)) {
      const auto id = upstream_;
      forget(id);
      out.push_back(Close{id});
    }
  }
  if (reign_ != heard_) return;
  std::string line;
  if (writes()) {
    line = "writes, epoch " + std::to_string(reign_.epoch);
  } else if (reign_.writer == options_.name) {
    line = "does not write: " + why_not_writer();
  } else if (reign_.epoch != 0) {
    line = "follows " + reign_.writer + ", epoch " + std::to_string(reign_.epoch);
  }
  if (line.empty() || line == announced_) return;
  announced_ = line;
  say(out, line);
}

std::optional<std::string> Node::upstream() const {
  if (heard_.epoch == 0 || heard_.writer == options_.name) return std::nullopt;
  return heard_.writer;
}

bool Node::writes() const { return why_not_writer().empty(); }

std::string Node::why_not_writer() const {
  if (heard_.epoch == 0) return "no epoch is known";
  if (heard_.writer != options_.name)
    return "the writer is " + heard_.writer + ", epoch " + std::to_string(heard_.epoch);
  if (options_.reign != heard_)
    return quoted(heard_) + " is known, but the operator's file here names " + quoted(options_.reign);
  if (reign_ != heard_) return "epoch " + std::to_string(heard_.epoch) + " is not on disk yet";
  if (lost_ && lost_->epoch == heard_.epoch)
    return "version " + control::to_text(*lost_) +
           " of its own epoch is elsewhere and not on its disk, which must have been lost: name a writer "
           "with a "
           "higher epoch";
  return {};
}

void Node::reconfigure(Time, NodeOptions options, NodeEffects& out) {
  for (auto& line : early_) out.push_back(Log{std::move(line)});
  early_.clear();
  options.name = options_.name;  // who it is does not change while it runs
  options.fleet = options_.fleet;
  const auto word = learn(options.reign, "the operator's file", out);
  if (word == Word::older)
    say(out, "the operator's file names " + quoted(options.reign) + ", which is refused: " + quoted(heard_) +
                 " is known");
  if (word != Word::fine) options.reign = options_.reign;
  options_ = std::move(options);
  changed(out);
}

void Node::accepted(Time now, PeerId id, NodeEffects& out) {
  if (peers_.size() >= kMaxPeers) {
    refuse(id, "full: " + std::to_string(kMaxPeers) + " connections", out);
    return;
  }
  Peer peer;
  peer.since = peer.heard = now;
  peers_.emplace(id, std::move(peer));
}

void Node::dialled(Time now, PeerId id, NodeEffects& out) {
  const auto wanted = upstream();
  if (!wanted || upstream_ != 0) {  // whom it follows has changed while it dialled
    out.push_back(Close{id});
    return;
  }
  Peer peer;
  peer.since = peer.heard = peer.pinged = now;
  peer.dialled = true;
  peer.role = Role::node;
  peers_.emplace(id, std::move(peer));
  upstream_ = id;
  Hello hello;
  hello.fleet = options_.fleet;
  hello.name = options_.name;
  hello.region = options_.region;
  hello.role = Role::node;
  hello.reign = reign_;
  if (newest_) {
    hello.have = newest_->place;
    hello.digest = newest_->digest;
  }
  out.push_back(Send{id, encode(hello)});
}

void Node::received(Time now, PeerId id, std::string_view body, NodeEffects& out) {
  const auto found = peers_.find(id);
  if (found == peers_.end()) return;
  Peer& peer = found->second;
  peer.heard = now;
  const std::string who = peer.name.empty() ? "a peer" : std::string(to_text(peer.role)) + " " + peer.name;
  Message message;
  try {
    message = decode(body);
  } catch (const Malformed& error) {
    say(out, who + " is refused: " + error.what());
    refuse(id, error.what(), out);
    forget(id);
    return;
  }
  if (const auto broker = brokers_.find(peer.name); broker != brokers_.end() && broker->second.peer == id)
    broker->second.heard = now;
  const bool allowed = std::visit([&](auto& m) { return handle(now, id, peer, m, out); }, message);
  if (allowed) return;
  const std::string reason = peer.hello ? "a message that it may not send" : "a message before its first";
  say(out, who + " is refused: " + reason);
  refuse(id, reason, out);
  forget(id);
}

bool Node::handle(Time now, PeerId id, Peer& peer, Hello& message, NodeEffects& out) {
  if (peer.dialled || peer.hello) return false;
  const auto no = [&](const std::string& reason) {
    const std::string who =
        message.name.empty() ? "a peer" : std::string(to_text(message.role)) + " " + message.name;
    say(out, who + " is refused: " + reason);
    refuse(id, reason, out);
    forget(id);
    return true;
  };
  if (message.protocol != kProtocol)
    return no("protocol " + std::to_string(message.protocol) + ", spoken here is " +
              std::to_string(kProtocol));
  if (message.fleet != options_.fleet)
    return no("fleet " + message.fleet + ", this one is " + options_.fleet);
  if (message.role == Role::node && message.name == options_.name)
    return no("two nodes are called " + options_.name);
  peer.hello = true;
  peer.role = message.role;
  peer.name = message.name;
  peer.have = message.have;
  peer.reign = message.reign;
  if (message.role == Role::broker) {
    Known& broker = known(now, message.name);
    broker.peer = id;
    broker.status.region = message.region;
    broker.status.in_force = message.have;
    broker.status.digest = message.digest;
    broker.status.refused = {};
    broker.status.problem.clear();
    broker.status.connected = true;
  }
  // A tool knows the operator's file and nothing else: it may ask, and deposes nobody.
  if (message.role != Role::tool) {
    const auto who = std::string(to_text(message.role)) + " " + message.name;
    if (learn(message.reign, who, out) == Word::conflict) {
      const std::string reason = "epoch " + std::to_string(message.reign.epoch) +
                                 " has two writers: " + heard_.writer + " here, " + message.reign.writer +
                                 " there";
      if (message.role == Role::broker) brokers_.at(message.name).status.problem = reason;
      return no(reason);
    }
    if (heard_.writer == options_.name && message.have.epoch == heard_.epoch &&
        message.have > (newest_ ? newest_->place : Place{})) {
      if (!lost_ || *lost_ < message.have) {
        lost_ = message.have;
        say(out, who + " has version " + control::to_text(message.have) + ", which was lost here");
      }
    }
    if (newest_ && message.have == newest_->place && message.digest != newest_->digest)
      say(out, who + " has another version " + control::to_text(message.have) + " than this node");
    changed(out);
  }
  welcome(id, peer, out);
  return true;
}

// Not before what it tells is on disk.
void Node::welcome(PeerId id, Peer& peer, NodeEffects& out) {
  if (peer.dialled || !peer.hello || peer.welcome || (reign_ != heard_ && peer.role != Role::tool)) return;
  peer.welcome = true;
  out.push_back(Send{id, encode(Welcome{kProtocol, options_.fleet, options_.name, reign_,
                                        newest_ ? newest_->place : Place{}})});
  offer(id, peer, out);
}

// One at a time, and then the newest: a slow reader holds one version here, however many are published.
void Node::offer(PeerId id, Peer& peer, NodeEffects& out) {
  if (!peer.welcome || peer.busy || peer.role == Role::tool || !newest_ || peer.have >= newest_->place)
    return;
  peer.busy = true;
  peer.have = newest_->place;
  out.push_back(Send{id, newest_body_});
}

bool Node::handle(Time, PeerId id, Peer& peer, Welcome& message, NodeEffects& out) {
  if (!peer.dialled || peer.hello) return false;
  const auto leave = [&](const std::string& reason) {
    say(out, "leaves " + message.name + ": " + reason);
    refuse(id, reason, out);
    forget(id);
    return true;
  };
  if (message.protocol != kProtocol)
    return leave("protocol " + std::to_string(message.protocol) + ", spoken here is " +
                 std::to_string(kProtocol));
  if (message.fleet != options_.fleet)
    return leave("fleet " + message.fleet + ", this one is " + options_.fleet);
  const auto wanted = upstream();
  if (!wanted || message.name != *wanted)
    return leave("it is " + message.name + ", not " + (wanted ? *wanted : "the writer"));
  switch (learn(message.reign, message.name, out)) {
    case Word::conflict:
      return leave("epoch " + std::to_string(message.reign.epoch) + " has two writers");
    case Word::older:
      return leave("it knows of epoch " + std::to_string(message.reign.epoch) + " only");
    case Word::fine:
      break;
  }
  peer.hello = true;
  peer.name = message.name;
  peer.reign = message.reign;
  changed(out);
  return true;
}

bool Node::handle(Time, PeerId id, Peer& peer, Farewell& message, NodeEffects& out) {
  if (peer.dialled)
    say(out, "is refused by " + (peer.name.empty() ? "the writer" : peer.name) + ": " + message.reason);
  forget(id);
  out.push_back(Close{id});
  return true;
}

bool Node::handle(Time, PeerId id, Peer& peer, Offer& message, NodeEffects& out) {
  if (!peer.dialled || !peer.hello) return false;
  Version& version = message.version;
  const auto leave = [&](const std::string& reason) {
    say(out, "leaves " + peer.name + ": version " + control::to_text(version.place) + " " + reason);
    refuse(id, "version " + control::to_text(version.place) + " " + reason, out);
    forget(id);
    return true;
  };
  if (!whole(version)) return leave("is damaged: its digest is another");
  if (peer.reign.epoch < heard_.epoch) return leave("comes from epoch " + std::to_string(peer.reign.epoch));
  if (version.place.epoch >= heard_.epoch) {
    // A newer reign that is first seen in a version is kept; the version comes again from its writer.
    const auto word = learn({version.place.epoch, version.writer}, peer.name, out);
    if (word == Word::conflict) return leave("has a second writer of its epoch, " + version.writer);
    if (heard_ != peer.reign) return leave("is of a newer epoch than its writer's");
  }
  if (newest_ && version.place.epoch == newest_->place.epoch && version.writer != newest_->writer)
    return leave("has a second writer of its epoch, " + version.writer);
  if (newest_ && version.place <= newest_->place) return true;
  if (next_ && version.place <= next_->place) return true;
  if (keeping_ && version.place <= keeping_->place) return true;
  if (keeping_) {
    next_ = std::move(version);
  } else {
    next_.reset();
    keep(std::move(version), 0, out);
  }
  return true;
}

void Node::keep(Version version, PeerId tool, NodeEffects& out) {
  keeping_ = std::move(version);
  keeping_for_ = tool;
  keeping_own_ = tool != 0;
  out.push_back(KeepVersion{*keeping_});
}

bool Node::handle(Time now, PeerId id, Peer& peer, Report& message, NodeEffects&) {
  if (!peer.hello || peer.dialled || peer.role != Role::broker) return false;
  Known& broker = known(now, peer.name);
  broker.peer = id;
  broker.status.connected = true;
  broker.status.in_force = message.in_force;
  broker.status.digest = std::move(message.digest);
  broker.status.refused = message.refused;
  broker.status.problem = std::move(message.problem);
  return true;
}

bool Node::handle(Time, PeerId id, Peer& peer, Ping&, NodeEffects& out) {
  if (!peer.hello || peer.dialled) return false;
  if (peer.welcome) out.push_back(Send{id, encode(Pong{reign_})});
  return true;
}

bool Node::handle(Time, PeerId id, Peer& peer, Pong& message, NodeEffects& out) {
  if (!peer.dialled || !peer.hello) return false;
  peer.reign = message.reign;
  const auto word = learn(message.reign, peer.name, out);
  if (word != Word::fine) {
    const std::string reason = word == Word::older
                                   ? "it knows of epoch " + std::to_string(message.reign.epoch) + " only"
                                   : "epoch " + std::to_string(message.reign.epoch) + " has two writers";
    say(out, "leaves " + peer.name + ": " + reason);
    refuse(id, reason, out);
    forget(id);
    return true;
  }
  changed(out);
  return true;
}

bool Node::handle(Time, PeerId id, Peer& peer, Publish& message, NodeEffects& out) {
  if (!peer.hello || peer.dialled || peer.role != Role::tool) return false;
  const auto no = [&](const std::string& problem) {
    out.push_back(Send{id, encode(Rejected{problem})});
    return true;
  };
  if (const auto why = why_not_writer(); !why.empty()) return no(options_.name + " does not write: " + why);
  if (keeping_) return no("busy: another document is being kept");
  if (options_.check) {
    if (const auto problems = options_.check(message.text); !problems.empty()) return no(problems);
  }
  Version version;
  // Numbers go on across epochs, so that operators see one count.
  const auto last = newest_ ? newest_->place.number : 0;
  if (last >= static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max()))
    return no("no number is left after " + std::to_string(last));
  version.place = {reign_.epoch, last + 1};
  version.writer = options_.name;
  version.text = std::move(message.text);
  version.digest = digest_of(version);
  if (encode(Offer{version}).size() > kMaxMessage)
    return no("the document takes more than " + std::to_string(kMaxMessage) + " bytes on the wire");
  keep(std::move(version), id, out);
  return true;
}

bool Node::handle(Time now, PeerId id, Peer& peer, AskStatus&, NodeEffects& out) {
  if (!peer.hello || peer.dialled || peer.role != Role::tool) return false;
  Status all = status(now);
  std::string body = encode(all);
  if (body.size() > kMaxMessage) {  // thousands of brokers with long problems: the texts go first
    for (auto& broker : all.brokers) broker.problem = clean(broker.problem, 40);
    body = encode(all);
  }
  while (body.size() > kMaxMessage) {
    all.brokers.resize(all.brokers.size() / 2);
    body = encode(all);
  }
  out.push_back(Send{id, std::move(body)});
  return true;
}

void Node::drained(Time, PeerId id, NodeEffects& out) {
  const auto found = peers_.find(id);
  if (found == peers_.end()) return;
  found->second.busy = false;
  offer(id, found->second, out);
}

void Node::closed(Time, PeerId id, NodeEffects& out) {
  const auto found = peers_.find(id);
  if (found == peers_.end()) return;
  if (found->second.dialled && found->second.hello) say(out, "lost " + found->second.name);
  forget(id);
}

void Node::kept(Time now, const Version& version, const std::string& problem, NodeEffects& out) {
  if (!keeping_ || keeping_->place != version.place) return;
  const PeerId tool = keeping_for_;
  const bool own = keeping_own_;
  keeping_.reset();
  keeping_for_ = 0;
  if (!problem.empty()) {
    say(out, "version " + control::to_text(version.place) + " could not be kept: " + problem);
    if (tool != 0) out.push_back(Send{tool, encode(Rejected{"could not be kept: " + problem})});
    if (!own && (!next_ || next_->place < version.place)) next_ = version;
    retry_version_ = now + kRetry;
    return;
  }
  newest_ = version;
  newest_body_ = encode(Offer{version});
  say(out, "version " + control::to_text(version.place) + " kept");
  if (tool != 0) out.push_back(Send{tool, encode(Published{version.place})});
  for (auto& [id, peer] : peers_) offer(id, peer, out);
  if (next_) {
    Version later = std::move(*next_);
    next_.reset();
    if (later.place > newest_->place) keep(std::move(later), 0, out);
  }
}

void Node::kept_reign(Time now, const Reign& reign, const std::string& problem, NodeEffects& out) {
  if (!keeping_reign_ || *keeping_reign_ != reign) return;
  keeping_reign_.reset();
  if (!problem.empty()) {
    say(out, quoted(reign) + " could not be kept: " + problem);
    retry_reign_ = now + kRetry;
    return;
  }
  reign_ = reign;
  keep_reign(out);
  changed(out);
  if (reign_ != heard_) return;
  for (auto& [id, peer] : peers_) welcome(id, peer, out);
}

void Node::tick(Time now, NodeEffects& out) {
  for (auto& line : early_) out.push_back(Log{std::move(line)});
  early_.clear();
  if (now >= retry_reign_) keep_reign(out);
  if (next_ && !keeping_ && now >= retry_version_) {
    Version version = std::move(*next_);
    next_.reset();
    if (!newest_ || version.place > newest_->place) keep(std::move(version), 0, out);
  }
  std::vector<PeerId> gone;
  for (auto& [id, peer] : peers_) {
    const bool late = !peer.hello && now - peer.since >= kHello;
    const bool silent = now - peer.heard >= (peer.dialled ? kUpstreamSilence : kSilence);
    if (late || silent) {
      gone.push_back(id);
    } else if (peer.dialled && peer.hello && now - peer.pinged >= kPing) {
      peer.pinged = now;
      out.push_back(Send{id, encode(Ping{})});
    }
  }
  for (const auto id : gone) {
    const Peer& peer = peers_.at(id);
    if (peer.dialled) say(out, "lost " + (peer.name.empty() ? upstream().value_or("the writer") : peer.name));
    out.push_back(Close{id});
    forget(id);
  }
  changed(out);
}

Node::Known& Node::known(Time now, const std::string& name) {
  if (const auto found = brokers_.find(name); found != brokers_.end()) {
    found->second.heard = now;
    return found->second;
  }
  if (brokers_.size() >= kMaxBrokers) {
    const auto older = [](const auto& a, const auto& b) {
      const bool a_there = a.second.peer != 0, b_there = b.second.peer != 0;
      return a_there != b_there ? b_there : a.second.heard < b.second.heard;
    };
    brokers_.erase(std::min_element(brokers_.begin(), brokers_.end(), older));
  }
  Known& made = brokers_[name];
  made.status.name = name;
  made.heard = now;
  return made;
}

Status Node::status(Time now) const {
  Status out;
  out.node = options_.name;
  out.region = options_.region;
  out.reign = reign_;
  out.writes = writes();
  if (newest_) {
    out.newest = newest_->place;
    out.digest = newest_->digest;
  }
  out.brokers.reserve(brokers_.size());
  for (const auto& [name, broker] : brokers_) {
    out.brokers.push_back(broker.status);
    out.brokers.back().age = std::max(now - broker.heard, Time{});
  }
  return out;
}

}  // namespace bellstair::control
