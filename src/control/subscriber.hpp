// A broker's subscription to the control nodes: which node it connects to and when, which versions it
// applies, and what it reports. It performs no I/O and reads no clock.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "common/patience.hpp"
#include "control/log_line.hpp"
#include "control/message.hpp"

namespace bellstair::control {

// Close the current connection, if any, and connect to this node.
struct Connect {
  std::size_t node = 0;  // an index into SubscriberOptions::nodes
};

struct Disconnect {};

struct SendToNode {
  std::string body;
};

// Try to apply the version as the broker's settings, then call Subscriber::on_version_applied() or
// on_version_rejected(). Its digest, term and order have been checked.
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
  std::uint64_t seed = 0;  // for the random delays
};

// Tries the nodes in rounds, those of its own region first, with a backoff after a round without success.
class Subscriber {
 public:
  static constexpr Time kHeartbeatInterval = std::chrono::seconds(2);
  static constexpr Time kNodeTimeout = std::chrono::seconds(5);  // without a message from the node
  // Until the node's Welcome arrives; longer after rounds in which no node has answered.
  static constexpr Time kConnectTimeout = std::chrono::seconds(1);
  static constexpr Time kMinBackoff = std::chrono::milliseconds(100);
  static constexpr Time kMaxBackoff = std::chrono::seconds(4);
  // How long it stays with a node other than its preferred one; randomized by up to half less or half more.
  static constexpr Time kFailBackInterval = std::chrono::minutes(10);

  // `last` is the version that was active when the previous process ended, if it was persisted.
  Subscriber(SubscriberOptions options, std::optional<Version> last);

  void start(Time now, SubscriberEffects& out);
  void on_connected(Time now, SubscriberEffects& out);
  // Called when the connection of the latest Connect could not be made or has broken, but not after
  // Disconnect.
  void on_closed(Time now, SubscriberEffects& out);
  void on_message(Time now, std::string_view body, SubscriberEffects& out);
  // Completions of ApplyVersion, called while it is carried out or later.
  void on_version_applied(const Version& version, SubscriberEffects& out);
  void on_version_rejected(const Version& version, const std::string& reason, SubscriberEffects& out);
  void tick(Time now, SubscriberEffects& out);  // called about ten times a second

  [[nodiscard]] VersionId active_version() const { return active_version_; }
  [[nodiscard]] const LeaderTerm& term() const { return term_; }  // the newest known term
  // The index of the node that it is subscribed to; none if it is not subscribed.
  [[nodiscard]] std::optional<std::size_t> node() const;
  // The nodes in order of preference: those of its own region first, each group ordered by rendezvous
  // hashing.
  [[nodiscard]] const std::vector<std::size_t>& order() const { return order_; }

 private:
  enum class Phase { stopped, backing_off, connecting, awaiting_welcome, subscribed };

  void begin_round(Time now, SubscriberEffects& out);
  void connect_next(Time now, SubscriberEffects& out);
  void disconnect(Time now, const std::string& reason, SubscriberEffects& out);
  void try_next_node(Time now, SubscriberEffects& out);
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
  // Uniform from `min` to just below `max`.
  Time random_duration(Time min, Time max);
  [[nodiscard]] std::size_t current_index() const { return round_[round_next_ - 1]; }
  [[nodiscard]] const NodeAddress& current() const { return options_.nodes[current_index()]; }

  SubscriberOptions options_;
  std::optional<Version> last_;  // consumed by start()
  std::vector<std::size_t> order_;
  std::mt19937_64 random_;

  Phase phase_ = Phase::stopped;
  std::vector<std::size_t> round_;          // the nodes of this round, in order
  std::size_t round_next_ = 0;              // index in round_ of the next node to connect to
  std::optional<std::size_t> failed_node_;  // the node whose subscription broke; the next round tries it last
  Time phase_deadline_{};                   // end of the backoff, or of connecting including Welcome
  Patience connect_patience_{kConnectTimeout, kNodeTimeout};
  bool connect_timed_out_ = false;     // in this round
  Time backoff_ = kMinBackoff;         // the next backoff
  Time last_message_{}, last_ping_{};  // received from the node, sent to the node
  Time subscribed_at_{}, fail_back_at_{};
  std::vector<std::string> logged_rejections_;  // by node: the reason of the last GoAway, logged once

  LeaderTerm term_;
  VersionId active_version_;
  std::string active_digest_;
  VersionId newest_tried_;
  std::string newest_tried_leader_;
  std::optional<Version> applying_;
  std::optional<Version> pending_;  // the newest one received while another is being applied
  VersionId rejected_version_;
  std::string rejection_reason_;
  VersionId reported_version_;  // the active version in the last Hello or BrokerReport
};

}  // namespace bellstair::control
