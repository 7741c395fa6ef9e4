#include "app/node_poller.hpp"

#include <algorithm>
#include <csignal>
#include <utility>

namespace bellstair::app::config_tool {
namespace {
using net::steady_now;

constexpr double kTickSeconds = 0.02;

link::Limits limits() {
  return {control::kMaxMessageBytes, control::kMaxMessageBytes, 2 * control::kMaxMessageBytes};
}

}  // namespace

std::string NodePoller::Node::unreachable_reason() const {
  return "unreachable: " + (error.empty() ? std::string("no answer yet") : error);
}

NodePoller::NodePoller(ev::loop_ref loop, const config::Control& config)
    : loop_(loop),
      fleet_(config.fleet),
      channels_(loop, limits(), 0, handlers()),
      tick_(loop),
      prepare_(loop) {
  for (const auto& node : config.nodes) {
    nodes_.emplace_back();
    nodes_.back().config = node;
  }
  tick_.set<NodePoller, &NodePoller::on_tick>(this);
  prepare_.set<NodePoller, &NodePoller::on_prepare>(this);
}

void NodePoller::run(std::function<bool()> done) {
  done_ = std::move(done);
  std::signal(SIGPIPE, SIG_IGN);
  tick_.start(0, kTickSeconds);
  prepare_.start();
  loop_.run(0);
}

void NodePoller::publish(const Node& node, const std::string& text) {
  channels_.send(node.channel, control::encode(control::Publish{text}));
}

const NodePoller::Node* NodePoller::find(const std::string& name) const {
  const auto found = std::ranges::find(nodes_, name, [](const Node& node) { return node.config.name; });
  return found == nodes_.end() ? nullptr : &*found;
}

NodePoller::Node* NodePoller::find(link::ChannelId id) {
  const auto found = std::ranges::find(nodes_, id, &Node::channel);
  return id == 0 || found == nodes_.end() ? nullptr : &*found;
}

bool NodePoller::all_polled() const {
  return std::ranges::all_of(nodes_, [](const auto& node) { return node.status || !node.error.empty(); });
}

std::optional<std::string> NodePoller::newer_term(std::uint64_t epoch) const {
  const Node* newest = nullptr;
  for (const auto& node : nodes_) {
    if (!node.status || node.status->term.epoch <= epoch) continue;
    if (newest == nullptr || node.status->term.epoch > newest->status->term.epoch) newest = &node;
  }
  if (newest == nullptr) return std::nullopt;
  const auto& term = newest->status->term;
  return newest->config.name + " reports epoch " + std::to_string(term.epoch) + " with leader " +
         term.leader + "; update the operator's file used here, which has epoch " + std::to_string(epoch);
}

std::map<std::string, Broker> NodePoller::brokers() const {
  std::map<std::string, Broker> out;
  const auto now = steady_now();
  for (const auto& node : nodes_) {
    if (!node.status) continue;
    for (auto broker : node.status->brokers) {
      broker.age += now - node.status_received_at;
      if (broker.age > kBrokerTimeout) broker.connected = false;
      const auto found = out.find(broker.name);
      if (found == out.end() || broker.age < found->second.status.age)
        out.insert_or_assign(broker.name, Broker{broker, node.config.name});
    }
  }
  return out;
}

link::ChannelManager::Handlers NodePoller::handlers() {
  link::ChannelManager::Handlers out;
  out.on_accepted = [](link::ChannelId) {};
  out.on_drained = [](link::ChannelId) {};
  out.on_connected = [this](link::ChannelId id) { on_connected(id); };
  out.on_message = [this](link::ChannelId id, std::string_view body) { on_message(id, body); };
  out.on_closed = [this](link::ChannelId id, const link::ChannelError& error, const std::string&) {
    if (auto* node = find(id)) disconnect(*node, error.what());
  };
  return out;
}

void NodePoller::on_connected(link::ChannelId id) {
  auto* node = find(id);
  if (node == nullptr) return;
  node->connected = true;
  control::Hello hello;
  hello.fleet = fleet_;
  hello.name = "tool";
  hello.role = control::Role::tool;
  channels_.send(id, control::encode(hello));
}

void NodePoller::on_message(link::ChannelId id, std::string_view body) {
  auto* node = find(id);
  if (node == nullptr) return;
  try {
    auto message = control::decode(body);
    std::visit([&](auto& kind) { handle(*node, kind); }, message);
  } catch (const control::MalformedMessage& error) {
    disconnect(*node, error.what());
  }
}

void NodePoller::handle(Node& node, const control::Welcome& message) {
  if (message.protocol != control::kProtocolVersion)
    return disconnect(node, "uses a control protocol version that this tool does not support: " +
                                std::to_string(message.protocol));
  if (message.name != node.config.name) return disconnect(node, "answers as node " + message.name);
  node.welcomed = true;
  node.error.clear();
  node.next_action = {};
}

void NodePoller::handle(Node& node, const control::GoAway& message) { disconnect(node, message.reason); }

void NodePoller::handle(Node& node, control::NodeStatus& message) {
  node.status_polled_at = node.polled_at.value_or(Time{});
  node.status_received_at = steady_now();
  node.next_action = node.status_received_at + kPollInterval;
  node.polled_at.reset();
  node.status = std::move(message);
}

void NodePoller::handle(Node&, const control::Published& message) {
  published_ = message.id;
  for (auto& node : nodes_) {
    if (node.welcomed) node.next_action = {};
  }
}

void NodePoller::handle(Node&, const control::PublishRejected& message) { rejection_ = message.reason; }

void NodePoller::disconnect(Node& node, const std::string& error) {
  channels_.close(node.channel);
  node.channel = 0;
  node.connected = node.welcomed = false;
  node.polled_at.reset();
  node.error = error;
  node.next_action = steady_now() + kRedialInterval;
}

// Dials the node, polls it, or disconnects it after a timeout, whichever is due.
void NodePoller::poll(Node& node, Time now) {
  if (node.channel == 0) {
    if (now < node.next_action) return;
    node.channel = channels_.dial(node.config.address);
    node.dialled_at = now;
  } else if (!node.welcomed) {
    if (now - node.dialled_at >= kAnswerTimeout)
      disconnect(node, node.connected ? "does not answer" : "connection timed out");
  } else if (node.polled_at) {
    if (now - *node.polled_at >= kAnswerTimeout) disconnect(node, "does not answer");
  } else if (now >= node.next_action) {
    node.polled_at = now;
    channels_.send(node.channel, control::encode(control::StatusRequest{}));
  }
}

void NodePoller::on_tick(ev::timer&, int) {
  const auto now = steady_now();
  channels_.tick(now);
  for (auto& node : nodes_) poll(node, now);
}

void NodePoller::on_prepare(ev::prepare&, int) {
  channels_.settle();
  if (done_()) loop_.break_loop(ev::ALL);
}

}  // namespace bellstair::app::config_tool
