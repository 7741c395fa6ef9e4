#include "app/control_client.hpp"

#include <unistd.h>

#include <chrono>
#include <deque>
#include <optional>
#include <utility>

#include "app/last_version_writer.hpp"
#include "control/message.hpp"
#include "link/channel_manager.hpp"
#include "log/log.hpp"
#include "net/steady_clock.hpp"

namespace bellstair::app {
namespace {
using namespace std::chrono_literals;
using net::steady_now;

// A broker sends only short messages: a node that leaves this much unread is not working.
constexpr std::size_t kMaxUnsentBytes = std::size_t{256} << 10;
constexpr core::Time kTickInterval = 100ms;  // of control::Subscriber

control::SubscriberOptions subscriber_options(const config::Control& config, const std::string& name,
                                              std::uint64_t seed) {
  control::SubscriberOptions out;
  out.fleet = config.fleet;
  out.name = name;
  out.region = config.region;
  for (const auto& node : config.nodes) out.nodes.push_back({node.name, node.address, node.region});
  out.seed = seed;
  return out;
}

void write_log(log::Level level, const std::string& broker, const std::string& text) {
  log::write(level, "bellstair " + broker + ": " + text);
}

// Nodes identify brokers by name. A broker without a valid name counts as a new broker after each start.
std::string name_or_default(const std::string& name) {
  if (!name.empty() && name.size() <= control::kMaxNameBytes) return name;
  auto out = "broker-" + std::to_string(::getpid());
  write_log(log::Level::warning, out,
            std::string("control: the broker uses this generated name, since its configuration has ") +
                (name.empty() ? "no name" : "a name that is too long"));
  return out;
}

std::optional<control::Version> load_last_version(const LastVersionFile& file, const std::string& broker) {
  auto loaded = file.load();
  if (loaded.error) write_log(log::Level::info, broker, std::string("control: ") + loaded.error->what());
  return std::move(loaded.version);
}

}  // namespace

struct ControlClient::Impl {
  Impl(ev::loop_ref loop, const config::Control& config, const std::string& broker, std::uint64_t seed,
       OnVersion callback)
      : name(name_or_default(broker)),
        on_version(std::move(callback)),
        file(config.last, config.fleet),
        last_version(load_last_version(file, name)),
        writer(loop, file, last_version ? last_version->id : control::VersionId{}, seed,
               [this](const std::string& line) { write_log(log::Level::info, name, line); }),
        nodes(config.nodes),
        subscriber(subscriber_options(config, name, seed), last_version),
        channels(loop, {control::kMaxMessageBytes, control::kMaxMessageBytes, kMaxUnsentBytes}, 0,
                 handlers()) {}

  // The handlers ignore late events: those of any channel other than the latest.
  link::ChannelManager::Handlers handlers() {
    link::ChannelManager::Handlers out;
    out.on_accepted = [](link::ChannelId) {};
    out.on_connected = [this](link::ChannelId id) {
      if (id == channel) decide([this](auto& effects) { subscriber.on_connected(steady_now(), effects); });
    };
    out.on_message = [this](link::ChannelId id, std::string_view body) {
      if (id == channel) decide([&](auto& effects) { subscriber.on_message(steady_now(), body, effects); });
    };
    out.on_drained = [](link::ChannelId) {};
    out.on_closed = [this](link::ChannelId id, const link::ChannelError&, const std::string&) {
      if (id != channel) return;
      channel = 0;
      decide([this](auto& effects) { subscriber.on_closed(steady_now(), effects); });
    };
    return out;
  }

  template <class Decide>
  void decide(Decide decision) {
    control::SubscriberEffects effects;
    decision(effects);
    for (auto& effect : effects) std::visit([this](auto& kind) { run(kind); }, effect);
  }
  void run(const control::Connect& effect) {
    disconnect();
    channel = channels.dial(nodes[effect.node].address);
  }
  void run(const control::Disconnect&) { disconnect(); }
  void run(const control::SendToNode& effect) { channels.send(channel, effect.body); }
  void run(control::ApplyVersion& effect) { due_versions.push_back(std::move(effect.version)); }
  void run(const control::LogLine& effect) const { write_log(log::Level::info, name, effect.text); }
  void disconnect() { channels.close(std::exchange(channel, 0)); }

  std::string name;
  OnVersion on_version;
  LastVersionFile file;
  std::optional<control::Version> last_version;  // as read from the file at the start
  LastVersionWriter writer;
  std::vector<config::ControlNode> nodes;
  control::Subscriber subscriber;
  link::ChannelManager channels;
  link::ChannelId channel = 0;                // opened by the latest Connect; 0: none
  std::deque<control::Version> due_versions;  // not yet passed to on_version
  core::Time next_tick{};
  bool started = false, stopped = false;
};

ControlClient::ControlClient(ev::loop_ref loop, const config::Control& config, const std::string& name,
                             std::uint64_t seed, OnVersion on_version)
    : impl_(std::make_unique<Impl>(loop, config, name, seed, std::move(on_version))) {}

ControlClient::~ControlClient() = default;

void ControlClient::start() {
  impl_->started = true;
  impl_->decide([this](auto& effects) { impl_->subscriber.start(steady_now(), effects); });
}

void ControlClient::tick(core::Time) {
  // Uses the current time, not the broker's tick time, so that messages received since the last tick count
  // from their arrival.
  const auto now = steady_now();
  impl_->channels.tick(now);
  impl_->writer.tick(now);
  if (!impl_->started || impl_->stopped || now < impl_->next_tick) return;
  impl_->next_tick = now + kTickInterval;
  impl_->decide([&](auto& effects) { impl_->subscriber.tick(now, effects); });
}

void ControlClient::settle() {
  impl_->channels.settle();
  while (!impl_->due_versions.empty() && !impl_->stopped) {
    const auto version = std::move(impl_->due_versions.front());
    impl_->due_versions.pop_front();
    impl_->on_version(version);
  }
}

void ControlClient::stop() {
  impl_->stopped = true;
  impl_->disconnect();
}

void ControlClient::report_apply_result(const control::Version& version, const std::string& reason) {
  if (reason.empty()) impl_->writer.persist(version);
  if (impl_->stopped) return;
  impl_->decide([&](auto& effects) {
    if (reason.empty()) {
      impl_->subscriber.on_version_applied(version, effects);
    } else {
      impl_->subscriber.on_version_rejected(version, reason, effects);
    }
  });
}

const control::VersionId& ControlClient::persisted() const { return impl_->writer.persisted(); }

const std::optional<control::VersionId>& ControlClient::unpersisted() const {
  return impl_->writer.unpersisted();
}

}  // namespace bellstair::app
