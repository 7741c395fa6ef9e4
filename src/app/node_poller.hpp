// The control nodes of the operator's file as `bellstair config` sees them: each is polled for its status,
// and one of them is given a document to publish.
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

// A broker as the node reports it that has heard from it last.
struct Broker {
  control::BrokerStatus status;
  std::string node;
};

class NodePoller {
 public:
  static constexpr Time kAnswerTimeout = std::chrono::seconds(2);        // to connect, or to answer
  static constexpr Time kPollInterval = std::chrono::milliseconds(100);  // of one node
  static constexpr Time kRedialInterval = std::chrono::milliseconds(500);
  // Nodes close a broker's connection sooner. One silent for longer is gone, though the node that it was
  // connected to, and cannot be reached any more, last reported it as connected.
  static constexpr Time kBrokerTimeout = std::chrono::seconds(10);

  struct Node {
    config::ControlNode config;
    link::ChannelId channel = 0;  // 0: none
    bool connected = false, welcomed = false;
    Time dialled_at{};
    std::optional<Time> polled_at;  // an answer is due since
    Time next_action{};             // when to dial, or to poll
    std::string error;              // why it cannot be reached; empty: it can, or it is not known yet
    std::optional<control::NodeStatus> status;
    Time status_polled_at{}, status_received_at{};

    // Why there is no status of it, for operators.
    [[nodiscard]] std::string unreachable_reason() const;
  };

  NodePoller(ev::loop_ref loop, const config::Control& config);

  // Until `done` returns true; it is called in each turn of the loop.
  void run(std::function<bool()> done);
  void publish(const Node& node, const std::string& text);

  // The answer to publish(): at most one of them.
  [[nodiscard]] const std::optional<control::VersionId>& published() const { return published_; }
  [[nodiscard]] const std::optional<std::string>& rejection() const { return rejection_; }

  [[nodiscard]] const std::vector<Node>& nodes() const { return nodes_; }
  [[nodiscard]] const Node* find(const std::string& name) const;
  // Whether each has answered, or cannot be reached.
  [[nodiscard]] bool all_polled() const;
  // For operators: which node knows of an epoch above `epoch`; none: none does.
  [[nodiscard]] std::optional<std::string> newer_term(std::uint64_t epoch) const;
  // By name.
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
    disconnect(node, "says what no node says to a tool");
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
