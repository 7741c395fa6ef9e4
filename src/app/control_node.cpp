#include "app/control_node.hpp"

#include <sys/resource.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstring>
#include <random>
#include <utility>

#include "app/document_check.hpp"
#include "app/signals.hpp"
#include "config/config.hpp"
#include "log/log.hpp"
#include "net/socket.hpp"
#include "net/steady_clock.hpp"

namespace bellstair::app {
namespace {
using namespace std::chrono_literals;
using net::steady_now;

// For the store and its journal, the listener, closing connections, and files opened by libraries.
constexpr std::size_t kReservedDescriptors = 320;
constexpr std::size_t kMinPeers = 16;
constexpr core::Time kCountsInterval = 1s;
constexpr core::Time kMaxInputTime = 5ms;     // in one iteration, as in a broker
constexpr std::size_t kMaxLoggedErrors = 10;  // of channels, per kCountsInterval
// Enough for a version that a slow peer has not read yet, the replies to that peer, and a status.
constexpr std::size_t kMaxUnsentBytes = 2 * control::kMaxMessageBytes;

// Raises the soft limit of open files to the hard limit; returns how many peers it allows at once.
std::size_t max_peers() {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) return kMinPeers;
  limit.rlim_cur = limit.rlim_max;
  (void)::setrlimit(RLIMIT_NOFILE, &limit);
  (void)::getrlimit(RLIMIT_NOFILE, &limit);
  const auto descriptors = limit.rlim_cur == RLIM_INFINITY ? control::Node::kMaxPeers + kReservedDescriptors
                                                           : static_cast<std::size_t>(limit.rlim_cur);
  const auto available = descriptors > kReservedDescriptors ? descriptors - kReservedDescriptors : 0;
  return std::clamp(available, kMinPeers, control::Node::kMaxPeers);
}

}  // namespace

ControlNode::ControlNode(ev::loop_ref loop, config::Control config, std::string file, std::string name)
    : loop_(loop),
      config_(std::move(config)),
      file_(std::move(file)),
      name_(std::move(name)),
      store_(find(name_)->store, config_.fleet),
      node_(options(), store_.persisted()),
      channels_(loop, {control::kMaxMessageBytes, kMaxFirstMessageBytes, kMaxUnsentBytes}, max_peers(),
                handlers()),
      leader_connection_(channels_, std::random_device{}()),
      tick_(loop),
      prepare_(loop),
      terminate_(loop),
      interrupt_(loop),
      hangup_(loop) {
  const auto& address = find(name_)->address;
  const auto parsed = net::parse_address(address);
  auto fd = parsed ? net::listen_tcp(*parsed) : net::Fd();
  if (!fd) throw std::runtime_error(address + ": " + std::strerror(errno));
  channels_.listen(std::move(fd));
  tick_.set<ControlNode, &ControlNode::on_tick>(this);
  prepare_.set<ControlNode, &ControlNode::on_prepare>(this);
  terminate_.set<ControlNode, &ControlNode::on_terminate>(this);
  interrupt_.set<ControlNode, &ControlNode::on_terminate>(this);
  hangup_.set<ControlNode, &ControlNode::on_hangup>(this);
}

void ControlNode::run() {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGXFSZ, SIG_IGN);  // a write above the file size limit fails with an error, as on a full disk
  terminate_.start(SIGTERM);
  interrupt_.start(SIGINT);
  hangup_.start(SIGHUP);
  unblock_signals({SIGHUP, SIGTERM, SIGINT});
  log("listening on " + find(name_)->address);
  tick_.start(0, std::chrono::duration<double>(kTickInterval).count());
  prepare_.start();
  loop_.run(0);
  log("stopped");
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
  out.term = {config_.epoch, config_.leader};
  out.validate = [classes = config_.classes](const std::string& text) {
    return check_document(text, kDocumentName, classes);
  };
  return out;
}

void ControlNode::log(const std::string& text) const {
  log::write(log::Level::info, "control node " + name_ + ": " + text);
}

link::ChannelManager::Handlers ControlNode::handlers() {
  link::ChannelManager::Handlers out;
  out.on_accepted = [this](link::ChannelId id) {
    decide([&](auto& effects) { node_.on_accepted(steady_now(), id, effects); });
  };
  out.on_connected = [this](link::ChannelId id) {
    if (!leader_connection_.owns(id)) return;
    leader_connection_.on_connected();
    decide([&](auto& effects) { node_.on_leader_connected(steady_now(), id, effects); });
  };
  out.on_message = [this](link::ChannelId id, std::string_view body) {
    decide([&](auto& effects) { node_.on_message(steady_now(), id, body, effects); });
  };
  out.on_drained = [this](link::ChannelId id) {
    decide([&](auto& effects) { node_.on_drained(steady_now(), id, effects); });
  };
  out.on_closed = [this](link::ChannelId id, const link::ChannelError& error, const std::string& address) {
    on_channel_closed(id, error, address);
  };
  return out;
}

void ControlNode::on_channel_closed(link::ChannelId id, const link::ChannelError& error,
                                    const std::string& address) {
  if (leader_connection_.owns(id)) {
    const bool was_connected = leader_connection_.is_connected();
    leader_connection_.on_closed(steady_now());
    if (!was_connected) return;
  }
  log_channel_error(address, error);
  decide([&](auto& effects) { node_.on_closed(steady_now(), id, effects); });
}

template <class Decide>
void ControlNode::decide(Decide decision) {
  decision(effects_);
  if (std::exchange(running_effects_, true)) return;
  while (!effects_.empty()) {
    for (auto& effect : std::exchange(effects_, {})) std::visit([this](auto& kind) { run(kind); }, effect);
  }
  running_effects_ = false;
}

void ControlNode::run(const control::Close& effect) {
  channels_.close_after_flush(effect.peer);
  if (leader_connection_.owns(effect.peer)) leader_connection_.on_closed(steady_now());
}

// Writes on the event loop, which blocks until the disk is done: versions are rare, and peers disconnect from
// a node whose disk hangs.
void ControlNode::run(const control::PersistVersion& effect) {
  const auto error = store_.persist(effect.version);
  node_.on_version_persisted(steady_now(), effect.version, error, effects_);
}

void ControlNode::run(const control::PersistTerm& effect) {
  const auto error = store_.persist(effect.term);
  node_.on_term_persisted(steady_now(), effect.term, error, effects_);
}

void ControlNode::run(const control::LogLine& effect) { log::write(log::Level::info, effect.text); }

// Logs only the first kMaxLoggedErrors of each second, since any client that connects could cause a line each
// time.
void ControlNode::log_channel_error(const std::string& address, const link::ChannelError& error) {
  if (error.code() == link::ChannelFault::closed_by_peer) return;
  if (++channel_errors_ <= kMaxLoggedErrors) log("connection error: " + address + ": " + error.what());
}

void ControlNode::log_connection_counts(core::Time now) {
  if (now < next_counts_) return;
  next_counts_ = now + kCountsInterval;
  if (std::exchange(channel_errors_, 0) > kMaxLoggedErrors)
    log("connection errors: more than " + std::to_string(kMaxLoggedErrors) +
        " in one second, the others are not logged");
  const auto rejected = channels_.rejected_count() - logged_rejected_count_;
  if (rejected == 0) return;
  log("connection limit reached with " + std::to_string(channels_.accepted_count()) +
      " connections: " + std::to_string(rejected) + " rejected");
  logged_rejected_count_ = channels_.rejected_count();
}

void ControlNode::on_tick(ev::timer&, int) { tick_due_ = true; }

void ControlNode::tick() {
  const auto now = steady_now();
  channels_.tick(now);
  decide([&](auto& effects) { node_.tick(now, effects); });
  leader_connection_.tick(now, node_.upstream(), [this](const std::string& name) {
    const auto* node = find(name);
    return node == nullptr ? std::nullopt : std::optional(node->address);
  });
  log_connection_counts(now);
}

// The tick runs after each source that is ready has been read, so that messages received while the process
// was suspended are read before any peer counts as silent.
void ControlNode::on_prepare(ev::prepare&, int) {
  read_input();
  if (std::exchange(tick_due_, false)) tick();
  channels_.settle();
}

void ControlNode::read_input() {
  const auto read_until = steady_now() + kMaxInputTime;
  input_.run_turn(tick_due_ ? input_.fresh() : 1, [read_until] { return steady_now() < read_until; });
}

void ControlNode::on_terminate(ev::sig&, int) { loop_.break_loop(ev::ALL); }

// Returns true, and logs why, if the file changes a setting that a running node cannot change.
bool ControlNode::needs_restart(const config::Control& config) const {
  const auto differs = [&](const auto& after, const auto& before, const char* what) {
    if (after == before) return false;
    log(std::string("reload failed, the node keeps its configuration: changing ") + what +
        " needs a restart");
    return true;
  };
  const auto& node = *std::ranges::find(config.nodes, name_, &config::ControlNode::name);
  return differs(config.fleet, config_.fleet, "the fleet") ||
         differs(node.address, find(name_)->address, "the address of this node") ||
         differs(node.store, find(name_)->store, "the store of this node");
}

void ControlNode::on_hangup(ev::sig&, int) {
  try {
    auto config = config::read_control(config::read_file(file_, "operator's file"), file_, name_);
    if (needs_restart(config)) return;
    config_ = std::move(config);
    leader_connection_.dial_at_once();
    log("operator's file reloaded");
    decide([&](auto& effects) { node_.reconfigure(steady_now(), options(), effects); });
  } catch (const std::exception& error) {
    log(std::string("reload failed, the node keeps its configuration: ") + error.what());
  }
}

int run_control_node(const std::string& file, const std::string& node) {
  block_signals({SIGHUP, SIGTERM, SIGINT});  // ControlNode::run() unblocks them
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
