// What a control node decides: (state, event) -> effects, free of I/O and clocks. It keeps versions, follows the
// writer or is it, and hands the newest version to whoever is behind. docs/design/control.md has the rules.
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

using PeerId = std::uint64_t;  // a connection of this node, accepted or dialled; never used again

// ---- effects
struct Send {  // one frame's body; the shell queues it
  PeerId peer = 0;
  std::string body;
};
struct Close {  // once what was sent has left
  PeerId peer = 0;
};
struct KeepVersion {  // durably, then Node::kept()
  Version version;
};
struct KeepReign {  // durably, then Node::kept_reign()
  Reign reign;
};
struct Log {
  std::string text;
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
  // A peer that has not said Hello by then is closed.
  static constexpr Time kHello = std::chrono::seconds(3);
  static constexpr std::size_t kMostBrokers = 8192;  // that are remembered; the longest unheard go first

  Node(NodeOptions options, Stored stored);

  void reconfigure(Time now, NodeOptions options, NodeEffects& out);  // the operator's file was read again
  void accepted(Time now, PeerId peer, NodeEffects& out);
  void dialled(Time now, PeerId peer, NodeEffects& out);  // its own connection to the writer has come up
  void received(Time now, PeerId peer, std::string_view body, NodeEffects& out);
  void drained(Time now, PeerId peer, NodeEffects& out);  // all that was sent to it has left
  void closed(Time now, PeerId peer, NodeEffects& out);   // the connection is gone
  void kept(Time now, const Version& version, const std::string& problem, NodeEffects& out);  // empty: on disk
  void kept_reign(Time now, const Reign& reign, const std::string& problem, NodeEffects& out);
  void tick(Time now, NodeEffects& out);

  // The node to dial, by name: the writer of the newest reign that it may follow; none: it is the writer itself.
  [[nodiscard]] std::optional<std::string> upstream() const;
  [[nodiscard]] bool writes() const;
  [[nodiscard]] const std::optional<Version>& newest() const;
  [[nodiscard]] Status status(Time now) const;

 private:
  // the module's own
};

}  // namespace bellstair::control
