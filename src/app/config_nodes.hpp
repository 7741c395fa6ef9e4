// The nodes of the operator's file as `bellstair config` sees them: each is asked again and again for its
// status, and one of them is given a document to publish.
#pragma once

#include <ev++.h>

#include <algorithm>
#include <csignal>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "config/control.hpp"
#include "control/message.hpp"
#include "link/hub.hpp"
#include "net/steady_clock.hpp"

namespace bellstair::app::config_tool {
using namespace std::chrono_literals;
using control::Place;
using core::Time;
using net::steady_now;

inline constexpr Time kAnswer = 2s;    // a node that says nothing for so long is out of reach
inline constexpr Time kAsk = 100ms;    // between questions to one node
inline constexpr Time kAgain = 500ms;  // between dials of one node
// A broker pings every 2 s, and a node closes it after 8 s of silence: one unheard for longer is gone, also
// where the node that it was at can't be asked any more.
inline constexpr Time kGone = 10s;

struct Broker {
  control::BrokerStatus status;
  std::string node;  // that has heard it last
};

// The nodes of the operator's file, each asked again and again for its status.
class Nodes {
 public:
  struct Node {
    config::ControlNode config;
    link::ChannelId channel = 0;
    bool up = false, welcome = false;
    Time since{};               // it was dialled, or asked
    std::optional<Time> asked;  // an answer is owed since
    Time next{};                // to dial or to ask
    std::string problem;        // why it is out of reach
    std::optional<control::Status> status;
    Time asked_then{}, answered{};  // of that status
  };

  Nodes(ev::loop_ref loop, const config::Control& config)
      : loop_(loop),
        fleet_(config.fleet),
        hub_(loop, {control::kMaxMessage, control::kMaxMessage, 2 * control::kMaxMessage}, 0, handlers()),
        tick_(loop),
        prepare_(loop) {
    for (const auto& node : config.nodes) {
      nodes_.emplace_back();
      nodes_.back().config = node;
    }
    tick_.set<Nodes, &Nodes::on_tick>(this);
    prepare_.set<Nodes, &Nodes::on_prepare>(this);
  }

  // Until `done` says so; it is asked after whatever happens.
  void run(std::function<bool()> done) {
    done_ = std::move(done);
    std::signal(SIGPIPE, SIG_IGN);
    tick_.start(0, 0.02);
    prepare_.start();
    loop_.run(0);
  }

  void publish(const Node& node, const std::string& text) {
    hub_.send(node.channel, control::encode(control::Publish{text}));
  }
  // Of the node that was asked to publish.
  std::optional<Place> published;
  std::optional<std::string> rejected;

  [[nodiscard]] const std::vector<Node>& all() const { return nodes_; }
  [[nodiscard]] const Node* find(const std::string& name) const {
    const auto found = std::ranges::find(nodes_, name, [](const Node& node) { return node.config.name; });
    return found == nodes_.end() ? nullptr : &*found;
  }
  // A node that knows of a newer epoch than `epoch`, by what it says; nothing: none does.
  [[nodiscard]] std::string deposed(std::uint64_t epoch) const {
    const Node* newest = nullptr;
    for (const auto& node : nodes_) {
      if (node.status && node.status->reign.epoch > epoch &&
          (newest == nullptr || node.status->reign.epoch > newest->status->reign.epoch))
        newest = &node;
    }
    if (newest == nullptr) return "";
    const auto& reign = newest->status->reign;
    return newest->config.name + " knows of epoch " + std::to_string(reign.epoch) + " of " + reign.writer +
           ", the operator's file here of epoch " + std::to_string(epoch);
  }
  // All have answered, or are out of reach.
  [[nodiscard]] bool asked() const {
    return std::ranges::all_of(nodes_, [](const auto& node) { return node.status || !node.problem.empty(); });
  }
  // Each broker as the node tells it that has heard it last.
  [[nodiscard]] std::map<std::string, Broker> brokers() const {
    std::map<std::string, Broker> out;
    const auto now = steady_now();
    for (const auto& node : nodes_) {
      if (!node.status) continue;
      for (auto broker : node.status->brokers) {
        broker.age += now - node.answered;
        if (broker.age > kGone) broker.connected = false;
        const auto found = out.find(broker.name);
        if (found == out.end() || broker.age < found->second.status.age)
          out.insert_or_assign(broker.name, Broker{broker, node.config.name});
      }
    }
    return out;
  }

 private:
  Node* at(link::ChannelId id) {
    const auto found = std::ranges::find(nodes_, id, &Node::channel);
    return id == 0 || found == nodes_.end() ? nullptr : &*found;
  }

  link::Hub::Handlers handlers() {
    link::Hub::Handlers out;
    out.accepted = [](link::ChannelId) {};
    out.drained = [](link::ChannelId) {};
    out.connected = [this](link::ChannelId id) {
      auto* node = at(id);
      if (node == nullptr) return;
      node->up = true;
      control::Hello hello;
      hello.fleet = fleet_;
      hello.name = "tool";
      hello.role = control::Role::tool;
      hub_.send(id, control::encode(hello));
    };
    out.message = [this](link::ChannelId id, std::string_view body) {
      auto* node = at(id);
      if (node == nullptr) return;
      try {
        auto message = control::decode(body);
        std::visit([&](auto& m) { heard(*node, m); }, message);
      } catch (const control::Malformed& error) {
        lose(*node, error.what());
      }
    };
    out.closed = [this](link::ChannelId id, const std::string& reason, const std::string&) {
      if (auto* node = at(id)) lose(*node, reason);
    };
    return out;
  }

  void heard(Node& node, const control::Welcome& message) {
    if (message.protocol != control::kProtocol)
      return lose(node, "speaks protocol " + std::to_string(message.protocol));
    if (message.name != node.config.name) return lose(node, "is " + message.name);
    node.welcome = true;
    node.problem.clear();
    node.next = {};
  }
  void heard(Node& node, const control::Farewell& message) { lose(node, message.reason); }
  void heard(Node& node, control::Status& message) {
    node.asked_then = node.asked.value_or(Time{});
    node.answered = steady_now();
    node.next = node.answered + kAsk;
    node.asked.reset();
    node.status = std::move(message);
  }
  void heard(Node&, const control::Published& message) {
    published = message.place;
    for (auto& node : nodes_) {
      if (node.welcome) node.next = {};
    }
  }
  void heard(Node&, const control::Rejected& message) { rejected = message.problem; }
  template <class Other>
  void heard(Node& node, const Other&) {
    lose(node, "says what no node says to a tool");
  }

  void lose(Node& node, const std::string& reason) {
    hub_.close(node.channel);
    node.channel = 0;
    node.up = node.welcome = false;
    node.asked.reset();
    node.problem = reason;
    node.next = steady_now() + kAgain;
  }

  void on_tick(ev::timer&, int) {
    const auto now = steady_now();
    hub_.tick(now);
    for (auto& node : nodes_) {
      if (node.channel == 0) {
        if (now < node.next) continue;
        node.channel = hub_.dial(node.config.address);
        node.since = now;
      } else if (!node.welcome) {
        if (now - node.since >= kAnswer) lose(node, node.up ? "does not answer" : "can't be connected to");
      } else if (node.asked) {
        if (now - *node.asked >= kAnswer) lose(node, "does not answer");
      } else if (now >= node.next) {
        node.asked = now;
        hub_.send(node.channel, control::encode(control::AskStatus{}));
      }
    }
  }

  void on_prepare(ev::prepare&, int) {
    hub_.settle();
    if (done_()) loop_.break_loop(ev::ALL);
  }

  ev::loop_ref loop_;
  std::string fleet_;
  std::vector<Node> nodes_;
  link::Hub hub_;
  ev::timer tick_;
  ev::prepare prepare_;
  std::function<bool()> done_;
};

}  // namespace bellstair::app::config_tool
