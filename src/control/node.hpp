// A control node's decisions: it serves committed versions to its peers, replicates them from the leader, or
// publishes them as the leader. Free of I/O and clocks; docs/design/control.md has the rules.
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

// Why a document is not valid: lines, each with its place.
class InvalidDocument : public Error {
 public:
  using Error::Error;
};

struct NodeOptions {
  std::string fleet, name, region;
  LeaderTerm term;  // of the operator's file
  // Called within on_message() for each document to be published; none: it is valid.
  std::function<std::optional<InvalidDocument>(const std::string& text)> validate;
};

// What the node's store held at the start.
struct PersistedState {
  LeaderTerm term;
  std::optional<Version> committed;
};

// Each on_...() adds to `out` what the event loop has to do, in this order. `now` is on a steady clock.
class Node {
 public:
  // After so long without a message a peer is closed; brokers and followers ping far more often.
  static constexpr Time kPeerTimeout = std::chrono::seconds(8);
  static constexpr Time kHandshakeTimeout = std::chrono::seconds(3);   // until Hello, or the leader's Welcome
  static constexpr Time kHeartbeatInterval = std::chrono::seconds(2);  // to the leader
  static constexpr Time kLeaderTimeout = std::chrono::seconds(5);      // without a message from it
  static constexpr std::size_t kMaxPeers = 8192;                       // connections at once

  Node(NodeOptions options, PersistedState stored);

  // The operator's file has been read again. The node's name and fleet do not change.
  void reconfigure(Time now, NodeOptions options, NodeEffects& out);

  void on_accepted(Time now, PeerId peer, NodeEffects& out);
  void on_leader_connected(Time now, PeerId peer, NodeEffects& out);  // its own connection to upstream()
  void on_message(Time now, PeerId peer, std::string_view body, NodeEffects& out);
  // All that was sent to the peer has left, also where it left at once. It is sent no further version before.
  void on_drained(Time now, PeerId peer, NodeEffects& out);
  void on_closed(Time now, PeerId peer, NodeEffects& out);

  // Answers to PersistVersion and PersistTerm; without an error they are durable.
  void on_version_persisted(Time now, const Version& version, const std::optional<PersistError>& error,
                            NodeEffects& out);
  void on_term_persisted(Time now, const LeaderTerm& term, const std::optional<PersistError>& error,
                         NodeEffects& out);

  void tick(Time now, NodeEffects& out);

  // The node to dial, by name; none: no term is known, or this node is the leader of the newest.
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
  void leave_leader(PeerId id, const std::string& leader, const std::string& reason, NodeEffects& out);
  void forget(PeerId id);
  void welcome(Session& session, NodeEffects& out);
  void send_update(Session& session, NodeEffects& out);
  void close_silent_sessions(Time now, NodeEffects& out);

  // Messages. False: the peer may not send it, or not yet; nothing has changed then.
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

  // Why a peer is not served; none: it is.
  [[nodiscard]] std::optional<std::string> check_hello(const Hello& hello) const;
  [[nodiscard]] std::optional<std::string> check_welcome(const Welcome& welcome, NodeEffects& out);
  [[nodiscard]] std::optional<std::string> check_update(const Session& session, const Version& version,
                                                        NodeEffects& out);
  // Takes up what a broker or node knows; the reason where it conflicts with what is known here.
  [[nodiscard]] std::optional<std::string> learn_from(const Hello& hello, NodeEffects& out);
  // The next version of this leader, or why there is none.
  [[nodiscard]] std::variant<Version, PublishRejected> make_version(std::string text) const;

  NodeOptions options_;
  Leadership leadership_;
  Replica replica_;
  std::map<PeerId, Session> sessions_;
  PeerId leader_session_ = 0;  // 0: none
  BrokerRegistry brokers_;
  std::vector<std::string> startup_lines_;  // for the log, from before the first event
};

}  // namespace bellstair::control
