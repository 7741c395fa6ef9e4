// A broker's subscription to the control nodes: which node it connects to and when, which versions it has its
// settings replaced by, what it reports. Free of I/O and clocks.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "control/log_line.hpp"
#include "control/message.hpp"

namespace bellstair::control {

// Close the connection there is, and connect to this one of the nodes.
struct Connect {
  std::size_t node = 0;  // an index into SubscriberOptions::nodes
};

struct Disconnect {};

struct SendToNode {
  std::string body;
};

// Try to make it the broker's settings, then call Subscriber::on_version_applied() or _rejected(). Its
// digest, term and order have been checked.
struct ApplyVersion {
  Version version;
};

using SubscriberEffect = std::variant<Connect, Disconnect, SendToNode, ApplyVersion, LogLine>;
using SubscriberEffects = std::vector<SubscriberEffect>;

struct NodeAddress {
  std::string name, address, region;
  bool operator==(const NodeAddress&) const = default;
};

struct SubscriberOptions {
  std::string fleet, name, region;
  std::vector<NodeAddress> nodes;
  std::uint64_t seed = 0;  // of the jitter
};

// It tries the nodes in rounds, those of its own region first, with a backoff between rounds that found none.
class Subscriber {
 public:
  static constexpr Time kHeartbeatInterval = std::chrono::seconds(2);
  static constexpr Time kNodeTimeout = std::chrono::seconds(5);     // without a message from it
  static constexpr Time kConnectTimeout = std::chrono::seconds(1);  // for a connection and its Welcome
  static constexpr Time kMinBackoff = std::chrono::milliseconds(100);
  static constexpr Time kMaxBackoff = std::chrono::seconds(4);
  // On another node than its first; drawn from half less to half more.
  static constexpr Time kFailBackInterval = std::chrono::minutes(10);

  // `last`: the version that was active when the process ended, if it was persisted.
  Subscriber(SubscriberOptions options, std::optional<Version> last);

  void start(Time now, SubscriberEffects& out);
  void on_connected(Time now, SubscriberEffects& out);
  // The connection of the latest Connect has failed or broken; not one that Disconnect has closed.
  void on_closed(Time now, SubscriberEffects& out);
  void on_message(Time now, std::string_view body, SubscriberEffects& out);
  // Answers to ApplyVersion, within it or later.
  void on_version_applied(const Version& version, SubscriberEffects& out);
  void on_version_rejected(const Version& version, const std::string& reason, SubscriberEffects& out);
  void tick(Time now, SubscriberEffects& out);  // some ten times a second

  [[nodiscard]] VersionId active_version() const { return active_version_; }
  [[nodiscard]] const LeaderTerm& term() const { return term_; }  // the newest known
  // The node that has welcomed it, an index; none: it is not connected.
  [[nodiscard]] std::optional<std::size_t> node() const;
  // The nodes in the order in which it prefers them: its own region's first, each set by rendezvous hashing.
  [[nodiscard]] const std::vector<std::size_t>& order() const { return order_; }

 private:
  enum class Phase { stopped, backing_off, connecting, awaiting_welcome, subscribed };

  void begin_round(Time now, SubscriberEffects& out);
  void connect_next(Time now, SubscriberEffects& out);
  void disconnect(Time now, const std::string& reason, SubscriberEffects& out);
  void move_on(Time now, SubscriberEffects& out);
  void reject_node(Time now, const std::string& reason, SubscriberEffects& out);
  bool accept_term(Time now, const LeaderTerm& term, SubscriberEffects& out);
  void on_go_away(Time now, GoAway message, SubscriberEffects& out);
  void on_welcome(Time now, const Welcome& welcome, SubscriberEffects& out);
  void on_update(Time now, Version version, SubscriberEffects& out);
  [[nodiscard]] std::optional<std::string> check_welcome(const Welcome& welcome) const;
  [[nodiscard]] std::optional<std::string> check_update(const Version& version) const;
  void apply(Version version, SubscriberEffects& out);
  void on_apply_finished(SubscriberEffects& out);
  void report(SubscriberEffects& out);
  // From `least` to just below `most`.
  Time draw(Time least, Time most);
  [[nodiscard]] std::size_t current_index() const { return round_[round_next_ - 1]; }
  [[nodiscard]] const NodeAddress& current() const { return options_.nodes[current_index()]; }

  SubscriberOptions options_;
  std::optional<Version> last_;  // until start()
  std::vector<std::size_t> order_;
  std::mt19937_64 random_;

  Phase phase_ = Phase::stopped;
  std::vector<std::size_t> round_;          // the nodes of this round, in order
  std::size_t round_next_ = 0;              // the next of them to connect to
  std::optional<std::size_t> failed_node_;  // its subscription broke last: the next round tries it last
  Time phase_deadline_{};                   // of the backoff, or of connecting and Welcome together
  Time backoff_ = kMinBackoff;              // the next one
  Time last_message_{}, last_ping_{};       // from the node, to the node
  Time subscribed_at_{}, fail_back_at_{};
  std::vector<std::string> logged_refusals_;  // by node: the reason of the last GoAway, logged once

  LeaderTerm term_;
  VersionId active_version_;
  std::string active_digest_;
  VersionId newest_tried_;
  std::string newest_tried_leader_;
  std::optional<Version> applying_;
  std::optional<Version> pending_;  // the newest that came meanwhile
  VersionId rejected_version_;
  std::string rejection_reason_;
  VersionId reported_version_;  // the active one in the last Hello or BrokerReport
};

}  // namespace bellstair::control
