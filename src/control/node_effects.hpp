// What a control node's decisions ask of its event loop.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "control/log_line.hpp"
#include "control/message.hpp"

namespace bellstair::control {

using PeerId = std::uint64_t;  // a connection of this node, accepted or dialled; from 1, never used again

// Queue one message's body.
struct Send {
  PeerId peer = 0;
  std::string body;
};

// Close the connection once what was sent has left. The node has forgotten it by then: Node::on_closed() may
// follow or not.
struct Close {
  PeerId peer = 0;
};

// Write durably, then call Node::on_version_persisted().
struct PersistVersion {
  Version version;
};

// Write durably, then call Node::on_term_persisted().
struct PersistTerm {
  LeaderTerm term;
};

using NodeEffect = std::variant<Send, Close, PersistVersion, PersistTerm, LogLine>;
using NodeEffects = std::vector<NodeEffect>;

// Adds a log line that names the node.
inline void log_line(NodeEffects& out, const std::string& node, const std::string& text) {
  out.emplace_back(LogLine{"control node " + node + ": " + text});
}

inline void send_message(NodeEffects& out, PeerId peer, const Message& message) {
  out.emplace_back(Send{peer, encode(message)});
}

}  // namespace bellstair::control
