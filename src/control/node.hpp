// What a control node decides: (state, event) -> effects, free of I/O and clocks. It keeps versions, follows
// the writer or is it, and hands the newest version to whoever is behind. docs/design/control.md has the
// rules.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "control/message.hpp"

namespace bellstair::control {

using PeerId = std::uint64_t;  // a connection of this node, accepted or dialled; from 1, never used again

// ---- effects
struct Send {  // one frame's body; the shell queues it
  PeerId peer = 0;
  std::string body;
};
struct Close {  // once what was sent has left; the node has forgotten it then, closed() may follow or not
  PeerId peer = 0;
};
struct KeepVersion {  // durably, then Node::kept()
  Version version;
};
struct KeepReign {  // durably, then Node::kept_reign()
  Reign reign;
};
struct Log {
  std::string text;  // the whole line, with the node's name in it
};
using NodeEffect = std::variant<Send, Close, KeepVersion, KeepReign, Log>;
using NodeEffects = std::vector<NodeEffect>;

struct NodeOptions {
  std::string fleet, name, region;
  Reign reign;  // the operator's file: who writes, and since which epoch
  // What a document must pass before it is a version: the problems, or nothing.
  std::function<std::string(const std::string& text)> check;
};

// What its disk held at the start.
struct Stored {
  Reign reign;
  std::optional<Version> newest;
};

class Node {
 public:
  // A peer that has said nothing for so long is closed; brokers and followers ping far more often.
  static constexpr Time kSilence = std::chrono::seconds(8);
  // So is one that has not said Hello (or, dialled, Welcome) by then.
  static constexpr Time kHello = std::chrono::seconds(3);
  static constexpr Time kPing = std::chrono::seconds(2);             // between pings to the writer
  static constexpr Time kUpstreamSilence = std::chrono::seconds(5);  // the writer counts as gone
  static constexpr Time kRetry = std::chrono::seconds(1);            // after the disk has refused
  static constexpr std::size_t kMaxPeers = 8192;                     // connections at once
  static constexpr std::size_t kMaxBrokers = 8192;  // that are remembered; the longest unheard go first

  Node(NodeOptions options, Stored stored);

  void reconfigure(Time now, NodeOptions options, NodeEffects& out);  // the operator's file was read again
  void accepted(Time now, PeerId peer, NodeEffects& out);
  void dialled(Time now, PeerId peer, NodeEffects& out);  // its own connection to the writer has come up
  void received(Time now, PeerId peer, std::string_view body, NodeEffects& out);
  // All that was sent to it has left; also where it left at once. Until then it is sent no further version.
  void drained(Time now, PeerId peer, NodeEffects& out);
  void closed(Time now, PeerId peer, NodeEffects& out);  // the connection is gone
  void kept(Time now, const Version& version, const std::string& problem,
            NodeEffects& out);  // empty: on disk
  void kept_reign(Time now, const Reign& reign, const std::string& problem, NodeEffects& out);
  void tick(Time now, NodeEffects& out);

  // The node to dial, by name: the writer of the newest reign that it may follow; none: it is the writer
  // itself.
  [[nodiscard]] std::optional<std::string> upstream() const;
  // It is the writer of the newest reign that it has heard of, its own file names it so, and that is on disk.
  [[nodiscard]] bool writes() const;
  [[nodiscard]] const std::optional<Version>& newest() const { return newest_; }
  [[nodiscard]] const Reign& reign() const { return reign_; }  // the newest on disk
  [[nodiscard]] Status status(Time now) const;

 private:
  struct Peer {
    Time since{}, heard{}, pinged{};
    bool dialled = false;
    bool hello = false;    // it has said Hello (or, dialled, Welcome)
    bool welcome = false;  // it has been told Welcome, and may be sent versions
    bool busy = false;     // an Offer to it is under way
    Role role = Role::broker;
    std::string name;
    Place have;   // the newest that it has or was sent
    Reign reign;  // dialled: the newest that it told
  };
  struct Known {
    BrokerStatus status;
    Time heard{};
    PeerId peer = 0;  // 0: not connected
  };
  enum class Word { fine, older, conflict };

  void say(NodeEffects& out, const std::string& text) const;
  void refuse(PeerId id, const std::string& reason, NodeEffects& out);
  void forget(PeerId id);
  Word learn(const Reign& reign, const std::string& from, NodeEffects& out);
  void keep_reign(NodeEffects& out);
  void changed(NodeEffects& out);
  void welcome(PeerId id, Peer& peer, NodeEffects& out);
  void offer(PeerId id, Peer& peer, NodeEffects& out);
  void keep(Version version, PeerId tool, NodeEffects& out);
  Known& known(Time now, const std::string& name);

  // Messages; false: it may not be said here.
  bool handle(Time now, PeerId id, Peer& peer, Hello& message, NodeEffects& out);
  bool handle(Time now, PeerId id, Peer& peer, Welcome& message, NodeEffects& out);
  bool handle(Time now, PeerId id, Peer& peer, Farewell& message, NodeEffects& out);
  bool handle(Time now, PeerId id, Peer& peer, Offer& message, NodeEffects& out);
  bool handle(Time now, PeerId id, Peer& peer, Report& message, NodeEffects& out);
  bool handle(Time now, PeerId id, Peer& peer, Ping& message, NodeEffects& out);
  bool handle(Time now, PeerId id, Peer& peer, Pong& message, NodeEffects& out);
  bool handle(Time now, PeerId id, Peer& peer, Publish& message, NodeEffects& out);
  bool handle(Time now, PeerId id, Peer& peer, AskStatus& message, NodeEffects& out);
  template <class Other>
  bool handle(Time, PeerId, Peer&, Other&, NodeEffects&) {
    return false;
  }
  [[nodiscard]] std::string why_not_writer() const;

  NodeOptions options_;
  Reign reign_;  // on disk: the one that is told
  Reign heard_;  // the newest heard of: the one that is obeyed
  std::optional<Reign> keeping_reign_;
  Time retry_reign_ = Time::min();
  std::optional<Version> newest_;  // on disk
  std::string newest_body_;        // its Offer
  std::optional<Version> keeping_;
  PeerId keeping_for_ = 0;    // the tool that waits for it
  bool keeping_own_ = false;  // it was published here
  std::optional<Version>
      next_;  // from the writer, once the one that is being kept is done or the disk takes it
  Time retry_version_ = Time::min();
  std::optional<Place> lost_;  // a version of its own that a peer has and its disk has not
  std::map<PeerId, Peer> peers_;
  PeerId upstream_ = 0;  // 0: none
  std::map<std::string, Known> brokers_;
  std::vector<std::string> early_;  // lines from before the first event
  std::string announced_;
};

}  // namespace bellstair::control
