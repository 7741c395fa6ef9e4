// Connects `bellstair config` to the control nodes of the operator's file: polls each for its status, and
// sends a document to the leader.
#pragma once

#include <ev++.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "config/control.hpp"
#include "control/message.hpp"
#include "link/channel_manager.hpp"
#include "net/steady_clock.hpp"

namespace bellstair::app::config_tool {

using core::Time;

// A broker, as reported by the node that received a message from it last.
struct Broker {
  control::BrokerStatus status;
  std::string node;
};

class NodePoller {
 public:
  static constexpr Time kAnswerTimeout = std::chrono::seconds(2);  // to a connection attempt, or to a message
  static constexpr Time kPollInterval = std::chrono::milliseconds(100);  // between polls of one node
  static constexpr Time kRedialInterval = std::chrono::milliseconds(500);
  // A broker that is silent for longer counts as disconnected, even if the node that it was connected to has
  // become unreachable and last reported it as connected. Nodes close a silent broker's connection sooner.
  static constexpr Time kBrokerTimeout = std::chrono::seconds(10);

  struct Node {
    config::ControlNode config;
    link::ChannelId channel = 0;  // 0: none
    bool connected = false, welcomed = false;
    Time dialled_at{};
    std::optional<Time> polled_at;  // set while an answer is awaited
    Time next_action{};             // when to dial, or to poll
    std::string error;              // why it is unreachable; empty: it is reachable, or not tried yet
    std::optional<control::NodeStatus> status;
    Time status_polled_at{}, status_received_at{};

    // Why the node has no status, for operators.
    [[nodiscard]] std::string unreachable_reason() const;
  };

  NodePoller(ev::loop_ref loop, const config::Control& config);

  // Runs the event loop until `done`, which is called once per iteration, returns true.
  void run(std::function<bool()> done);
  void publish(const Node& node, const std::string& text);

  // The answer to publish(): at most one of the two is set.
  [[nodiscard]] const std::optional<control::VersionId>& published() const { return published_; }
  [[nodiscard]] const std::optional<std::string>& rejection() const { return rejection_; }

  [[nodiscard]] const std::vector<Node>& nodes() const { return nodes_; }
  [[nodiscard]] const Node* find(const std::string& name) const;
  // Whether each node has answered or is unreachable.
  [[nodiscard]] bool all_polled() const;
  // A text for operators that names the newest epoch above `epoch` and the node that reports it; none: no
  // node reports a newer epoch.
  [[nodiscard]] std::optional<std::string> newer_term(std::uint64_t epoch) const;
  // All brokers that the nodes report, by name.
  [[nodiscard]] std::map<std::string, Broker> brokers() const;

 private:
  [[nodiscard]] Node* find(link::ChannelId id);
  [[nodiscard]] link::ChannelManager::Handlers handlers();
  void on_connected(link::ChannelId id);
  void on_message(link::ChannelId id, std::string_view body);
  void handle(Node& node, const control::Welcome& message);
  void handle(Node& node, const control::GoAway& message);
  void handle(Node& node, control::NodeStatus& message);
  void handle(Node& node, const control::Published& message);
  void handle(Node& node, const control::PublishRejected& message);
  template <class Other>
  void handle(Node& node, const Other&) {
    disconnect(node, "sent a message that is not meant for this tool");
  }
  void disconnect(Node& node, const std::string& error);
  void poll(Node& node, Time now);
  void on_tick(ev::timer& timer, int events);
  void on_prepare(ev::prepare& prepare, int events);

  ev::loop_ref loop_;
  std::string fleet_;
  std::vector<Node> nodes_;
  std::optional<control::VersionId> published_;
  std::optional<std::string> rejection_;
  link::ChannelManager channels_;
  ev::timer tick_;
  ev::prepare prepare_;
  std::function<bool()> done_;
};

}  // namespace bellstair::app::config_tool
