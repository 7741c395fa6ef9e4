// The state of one connection of a control node, accepted from a peer or dialled to the leader.
#pragma once

#include <string>

#include "control/node_effects.hpp"

namespace bellstair::control {

struct Session {
  PeerId id = 0;
  Time opened_at{};
  Time last_message{};            // from the peer
  Time last_ping{};               // to the peer
  bool outbound = false;          // dialled by this node to its leader
  bool identified = false;        // Hello was received from the peer (outbound: Welcome)
  bool welcomed = false;          // Welcome was sent to the peer, so versions may follow
  bool update_in_flight = false;  // a VersionUpdate to the peer is not completely written yet
  Role role = Role::broker;
  std::string name;
  VersionId newest_peer_version;  // the newest version that the peer has or was sent
  LeaderTerm term;                // outbound: the newest term received from the peer
};

// "broker b7", for log lines; "a peer" before it is identified.
[[nodiscard]] inline std::string describe(Role role, const std::string& name) {
  return name.empty() ? "a peer" : std::string(to_text(role)) + " " + name;
}

}  // namespace bellstair::control
