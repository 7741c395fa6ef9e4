// The effects that a control node asks its event loop to carry out.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "control/log_line.hpp"
#include "control/message.hpp"

namespace bellstair::control {

using PeerId = std::uint64_t;  // a connection of this node, accepted or dialled; starts at 1, never reused

// Queue the body of one message.
struct Send {
  PeerId peer = 0;
  std::string body;
};

// Close the connection once everything sent has been written. The node has already removed its session, and
// ignores a later Node::on_closed().
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
