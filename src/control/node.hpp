// The state machine of a control node: it serves committed versions to its peers, and either replicates them
// from the leader or publishes them as the leader. It performs no I/O and reads no clock;
// docs/design/control.md has the rules.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "control/broker_registry.hpp"
#include "control/leadership.hpp"
#include "control/message.hpp"
#include "control/node_effects.hpp"
#include "control/persist_error.hpp"
#include "control/replica.hpp"
#include "control/session.hpp"

namespace bellstair::control {

// Why a document is not valid: one line per error, each with its position in the document.
class InvalidDocument : public Error {
 public:
  using Error::Error;
};

struct NodeOptions {
  std::string fleet, name, region;
  LeaderTerm term;  // from the operator's file
  // Called by on_message() for each document to publish; returns nothing if the document is valid.
  std::function<std::optional<InvalidDocument>(const std::string& text)> validate;
};

// The content of the node's store at startup.
struct PersistedState {
  LeaderTerm term;
  std::optional<Version> committed;
};

// Each on_...() appends to `out` the effects that the event loop has to carry out, in this order. `now` is
// read from a steady clock.
class Node {
 public:
  // Without a message for this long, the connection of an accepted peer is closed; brokers and followers ping
  // far more often.
  static constexpr Time kPeerTimeout = std::chrono::seconds(8);
  static constexpr Time kHandshakeTimeout = std::chrono::seconds(3);   // until Hello, or the leader's Welcome
  static constexpr Time kHeartbeatInterval = std::chrono::seconds(2);  // between pings to the leader
  static constexpr Time kLeaderTimeout = std::chrono::seconds(5);      // without a message from the leader
  static constexpr std::size_t kMaxPeers = 8192;                       // concurrent connections

  Node(NodeOptions options, PersistedState stored);

  // Applies the operator's file after it was read again. The node's name and fleet do not change.
  void reconfigure(Time now, NodeOptions options, NodeEffects& out);

  void on_accepted(Time now, PeerId peer, NodeEffects& out);
  void on_leader_connected(Time now, PeerId peer, NodeEffects& out);  // this node's connection to upstream()
  void on_message(Time now, PeerId peer, std::string_view body, NodeEffects& out);
  // Called when everything sent to the peer has been written, even if that was immediate. Until then, the
  // peer is sent no further version.
  void on_drained(Time now, PeerId peer, NodeEffects& out);
  void on_closed(Time now, PeerId peer, NodeEffects& out);

  // Completions of PersistVersion and PersistTerm; without an error the data is durable.
  void on_version_persisted(Time now, const Version& version, const std::optional<PersistError>& error,
                            NodeEffects& out);
  void on_term_persisted(Time now, const LeaderTerm& term, const std::optional<PersistError>& error,
                         NodeEffects& out);

  void tick(Time now, NodeEffects& out);

  // The name of the node to dial; none if no term is known, or if this node is the leader of the newest term.
  [[nodiscard]] std::optional<std::string> upstream() const { return leadership_.upstream(); }
  [[nodiscard]] bool is_leader() const { return leadership_.is_leader(); }
  [[nodiscard]] const std::optional<Version>& committed() const { return replica_.committed(); }
  [[nodiscard]] const LeaderTerm& term() const { return leadership_.persisted(); }
  [[nodiscard]] NodeStatus status(Time now) const;

 private:
  void log(NodeEffects& out, const std::string& text) const { log_line(out, options_.name, text); }
  void flush_startup_lines(NodeEffects& out);
  void on_leadership_changed(NodeEffects& out);

  // Sessions.
  static void go_away(PeerId id, const std::string& reason, NodeEffects& out);
  void reject(PeerId id, const std::string& peer, const std::string& reason, NodeEffects& out);
  void disconnect_from_leader(PeerId id, const std::string& leader, const std::string& reason,
                              NodeEffects& out);
  void remove_session(PeerId id);
  void send_welcome(Session& session, NodeEffects& out);
  void send_update(Session& session, NodeEffects& out);
  void ping_leader_and_close_timed_out(Time now, NodeEffects& out);

  // Messages. Returns false, without any change of state, if the peer may not send the message, or not yet.
  bool handle(Time now, Session& session, Hello& hello, NodeEffects& out);
  bool handle(Time now, Session& session, Welcome& welcome, NodeEffects& out);
  bool handle(Time now, Session& session, GoAway& message, NodeEffects& out);
  bool handle(Time now, Session& session, VersionUpdate& update, NodeEffects& out);
  bool handle(Time now, Session& session, BrokerReport& report, NodeEffects& out);
  bool handle(Time now, Session& session, Ping& ping, NodeEffects& out);
  bool handle(Time now, Session& session, Pong& pong, NodeEffects& out);
  bool handle(Time now, Session& session, Publish& publish, NodeEffects& out);
  bool handle(Time now, Session& session, StatusRequest& request, NodeEffects& out);
  template <class Other>
  bool handle(Time, Session&, Other&, NodeEffects&) {
    return false;
  }

  // Return the reason for which the peer is rejected, or nothing if it is accepted.
  [[nodiscard]] std::optional<std::string> check_hello(const Hello& hello) const;
  [[nodiscard]] std::optional<std::string> check_welcome(const Welcome& welcome, NodeEffects& out);
  [[nodiscard]] std::optional<std::string> check_update(const Session& session, const Version& version,
                                                        NodeEffects& out);
  // Observes the leader term and the version that a broker or node reports. Returns the reason if its term
  // conflicts with the term observed by this node.
  [[nodiscard]] std::optional<std::string> observe_peer(const Hello& hello, NodeEffects& out);
  // The next version that this leader publishes, or why the document is rejected.
  [[nodiscard]] std::variant<Version, PublishRejected> make_version(std::string text) const;

  NodeOptions options_;
  Leadership leadership_;
  Replica replica_;
  std::map<PeerId, Session> sessions_;
  PeerId leader_session_ = 0;  // 0: none
  BrokerRegistry brokers_;
  std::vector<std::string> startup_lines_;  // log lines of the constructor, emitted with the first event
};

}  // namespace bellstair::control
