#include "app/control_node.hpp"

#include <sys/resource.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstring>
#include <random>
#include <utility>

#include "app/signals.hpp"
#include "config/config.hpp"
#include "config/document.hpp"
#include "hcl/value.hpp"
#include "log/log.hpp"
#include "net/socket.hpp"
#include "net/steady_clock.hpp"

namespace bellstair::app {
namespace {
using namespace std::chrono_literals;

// The store with its journal, the listener, connections that are closing, and what libraries open.
constexpr std::size_t kSpare = 320;
constexpr std::size_t kMinPeers = 16;
constexpr std::size_t kMaxTold = 10;  // connections cut off, by a line each, in a second
// A version under way to a peer that is slow, its answers, and room for a status.
constexpr std::size_t kMaxUnwritten = 2 * control::kMaxMessage;

using net::steady_now;

// Peers at once, by the descriptors that the system allows: all of them are asked for.
std::size_t most_peers() {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) return kMinPeers;
  limit.rlim_cur = limit.rlim_max;
  (void)::setrlimit(RLIMIT_NOFILE, &limit);
  (void)::getrlimit(RLIMIT_NOFILE, &limit);
  const auto all = limit.rlim_cur == RLIM_INFINITY ? control::Node::kMaxPeers + kSpare
                                                   : static_cast<std::size_t>(limit.rlim_cur);
  return std::clamp(all > kSpare ? all - kSpare : 0, kMinPeers, control::Node::kMaxPeers);
}

}  // namespace

std::string document_problems(const std::string& text, const std::string& name,
                              const std::vector<std::string>& classes) {
  try {
    (void)config::parse_document(text, name, classes);
    return "";
  } catch (const std::exception& error) {
    return error.what();
  }
}

ControlNode::ControlNode(ev::loop_ref loop, config::Control config, std::string file, std::string name)
    : loop_(loop),
      config_(std::move(config)),
      file_(std::move(file)),
      name_(std::move(name)),
      store_(find(name_)->store, config_.fleet),
      node_(options(), store_.stored()),
      hub_(loop, {control::kMaxMessage, kMaxFirst, kMaxUnwritten}, most_peers(), handlers()),
      backoff_(100ms, 4s, std::random_device{}()),
      tick_(loop),
      prepare_(loop),
      term_(loop),
      interrupt_(loop),
      hangup_(loop) {
  const auto& address = find(name_)->address;
  const auto at = net::parse_address(address);
  auto fd = at ? net::listen_tcp(*at) : net::Fd();
  if (!fd) throw std::runtime_error(address + ": " + std::strerror(errno));
  hub_.listen(std::move(fd));
  tick_.set<ControlNode, &ControlNode::on_tick>(this);
  prepare_.set<ControlNode, &ControlNode::on_prepare>(this);
  term_.set<ControlNode, &ControlNode::on_signal>(this);
  interrupt_.set<ControlNode, &ControlNode::on_signal>(this);
  hangup_.set<ControlNode, &ControlNode::on_hangup>(this);
  // After the sockets: what came while the process stood still is heard before anybody counts as silent.
  ev_set_priority(static_cast<ev_timer*>(&tick_), EV_MINPRI);
}

void ControlNode::run() {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGXFSZ, SIG_IGN);  // a file over its limit is a disk that is full
  term_.start(SIGTERM);
  interrupt_.start(SIGINT);
  hangup_.start(SIGHUP);
  let_signals_through({SIGHUP, SIGTERM, SIGINT});
  say("listening on " + find(name_)->address);
  tick_.start(0, std::chrono::duration<double>(kTick).count());
  prepare_.start();
  loop_.run(0);
  say("ends");
}

const config::ControlNode* ControlNode::find(const std::string& name) const {
  const auto found = std::ranges::find(config_.nodes, name, &config::ControlNode::name);
  return found == config_.nodes.end() ? nullptr : &*found;
}

control::NodeOptions ControlNode::options() const {
  control::NodeOptions out;
  out.fleet = config_.fleet;
  out.name = name_;
  out.region = find(name_)->region;
  out.reign = {config_.epoch, config_.writer};
  out.check = [classes = config_.classes](const std::string& text) {
    return document_problems(text, kDocument, classes);
  };
  return out;
}

void ControlNode::say(const std::string& text) const {
  log::write(log::Level::info, "control node " + name_ + ": " + text);
}

link::Hub::Handlers ControlNode::handlers() {
  link::Hub::Handlers out;
  out.accepted = [this](link::ChannelId id) {
    act([&](auto& effects) { node_.accepted(steady_now(), id, effects); });
  };
  out.connected = [this](link::ChannelId id) {
    if (id != upstream_) return;
    upstream_up_ = true;
    act([&](auto& effects) { node_.dialled(steady_now(), id, effects); });
  };
  out.message = [this](link::ChannelId id, std::string_view body) {
    act([&](auto& effects) { node_.received(steady_now(), id, body, effects); });
  };
  out.drained = [this](link::ChannelId id) {
    act([&](auto& effects) { node_.drained(steady_now(), id, effects); });
  };
  out.closed = [this](link::ChannelId id, const std::string& reason, const std::string& address) {
    if (id == upstream_ && !upstream_up_) return dial_over(steady_now());
    if (id == upstream_) dial_over(steady_now());
    if (reason != link::kPeerClosed) cut_off(address + ": " + reason);
    act([&](auto& effects) { node_.closed(steady_now(), id, effects); });
  };
  return out;
}

template <class Decide>
void ControlNode::act(Decide decide) {
  decide(effects_);
  if (std::exchange(running_effects_, true)) return;
  while (!effects_.empty()) {
    for (auto& effect : std::exchange(effects_, {})) std::visit([this](auto& e) { run(e); }, effect);
  }
  running_effects_ = false;
}

void ControlNode::run(const control::Close& effect) {
  hub_.finish(effect.peer);
  if (effect.peer == upstream_) dial_over(steady_now());
}

// On the disk before it is told: the loop waits for it. That is one transaction with its syncs, for each of
// the few hundred versions of a day; while it lasts nobody is answered, and peers leave a node whose disk
// hangs for 5 s.
void ControlNode::run(const control::KeepVersion& effect) {
  const auto problem = store_.keep(effect.version);
  node_.kept(steady_now(), effect.version, problem, effects_);
}

void ControlNode::run(const control::KeepReign& effect) {
  const auto problem = store_.keep(effect.reign);
  node_.kept_reign(steady_now(), effect.reign, problem, effects_);
}

void ControlNode::run(const control::Log& effect) { log::write(log::Level::info, effect.text); }

// Whoever dials can have as many lines as connections: the first few of a second are told, and how many more.
void ControlNode::cut_off(const std::string& what) {
  if (++cut_off_ <= kMaxTold) say("cut off: " + what);
}

void ControlNode::dial(core::Time now) {
  const auto wanted = node_.upstream();
  if (upstream_ != 0 && !upstream_up_ && (wanted != upstream_name_ || now - upstream_since_ >= kDial)) {
    hub_.close(upstream_);
    dial_over(now);
  }
  if (!wanted || upstream_ != 0 || now < next_dial_) return;
  const auto* node = find(*wanted);
  if (node == nullptr) {  // a newer writer than the file has heard of
    next_dial_ = now + backoff_.after_failure();
    return;
  }
  upstream_ = hub_.dial(node->address);
  upstream_name_ = *wanted;
  upstream_up_ = false;
  upstream_since_ = now;
}

void ControlNode::dial_over(core::Time now) {
  // One that lasted was no failure.
  if (upstream_up_ && now - upstream_since_ >= 4s) backoff_.succeeded();
  upstream_ = 0;
  upstream_up_ = false;
  next_dial_ = now + backoff_.after_failure();
}

void ControlNode::on_tick(ev::timer&, int) {
  const auto now = steady_now();
  hub_.tick(now);
  act([&](auto& effects) { node_.tick(now, effects); });
  dial(now);
  if (now < next_told_) return;
  next_told_ = now + 1s;
  if (std::exchange(cut_off_, 0) > kMaxTold)
    say("cut off: more than " + std::to_string(kMaxTold) + " in a second");
  if (hub_.turned_away() != turned_away_) {
    say("full with " + std::to_string(hub_.accepted()) +
        " connections: " + std::to_string(hub_.turned_away() - turned_away_) + " turned away");
    turned_away_ = hub_.turned_away();
  }
}

void ControlNode::on_prepare(ev::prepare&, int) { hub_.settle(); }

void ControlNode::on_signal(ev::sig&, int) { loop_.break_loop(ev::ALL); }

// Read whole, and as strictly as at the start.
void ControlNode::on_hangup(ev::sig&, int) {
  try {
    auto config = config::read_control(config::read_file(file_, "operator's file"), file_, name_);
    const auto same = [&](const auto& now, const auto& then, const char* what) {
      if (now == then) return true;
      say(std::string("the operator's file is not taken up: ") + what + " needs a restart");
      return false;
    };
    const auto& mine = *std::ranges::find(config.nodes, name_, &config::ControlNode::name);
    if (!same(config.fleet, config_.fleet, "another fleet") ||
        !same(mine.address, find(name_)->address, "another address of this node") ||
        !same(mine.store, find(name_)->store, "another store of this node"))
      return;
    config_ = std::move(config);
    next_dial_ = {};
    say("the operator's file is read again");
    act([&](auto& effects) { node_.reconfigure(steady_now(), options(), effects); });
  } catch (const std::exception& error) {
    say(std::string("the operator's file is not taken up: ") + error.what());
  }
}

int run_control_node(const std::string& file, const std::string& node) {
  hold_signals({SIGHUP, SIGTERM, SIGINT});  // ControlNode::run() lets them through
  log::start();
  try {
    auto config = config::read_control(config::read_file(file, "operator's file"), file, node);
    ev::default_loop loop(0);
    ControlNode(loop, std::move(config), file, node).run();
    log::stop();
    return 0;
  } catch (const std::exception& error) {
    log::write(log::Level::error, "control node " + node + ": " + error.what());
    log::stop();
    return 1;
  }
}

}  // namespace bellstair::app
