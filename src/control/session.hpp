// One connection of a control node, accepted from a peer or dialled to the leader.
#pragma once

#include <string>

#include "control/node_effects.hpp"

namespace bellstair::control {

struct Session {
  PeerId id = 0;
  Time opened_at{};
  Time last_message{};            // from the peer
  Time last_ping{};               // to the peer
  bool outbound = false;          // dialled by this node, to its leader
  bool identified = false;        // the peer has said Hello (outbound: Welcome)
  bool welcomed = false;          // has been sent Welcome, and may be sent versions
  bool update_in_flight = false;  // a VersionUpdate to it has not left yet
  Role role = Role::broker;
  std::string name;
  VersionId newest_held;  // the newest version that the peer has or was sent
  LeaderTerm term;        // outbound: the newest that the peer told
};

// "broker b7", for logs; "a peer" before it is identified.
[[nodiscard]] inline std::string describe(Role role, const std::string& name) {
  return name.empty() ? "a peer" : std::string(to_text(role)) + " " + name;
}

}  // namespace bellstair::control
