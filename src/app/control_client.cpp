#include "app/control_client.hpp"

#include <unistd.h>

#include <chrono>
#include <deque>
#include <optional>
#include <utility>

#include "app/last_version.hpp"
#include "control/message.hpp"
#include "link/hub.hpp"
#include "log/log.hpp"

namespace bellstair::app {
namespace {
using namespace std::chrono_literals;

// What it sends is short; a node that does not read so much is left.
constexpr std::size_t kMaxUnwritten = std::size_t{256} << 10;
constexpr core::Time kTurn = 100ms;  // between ticks of the subscriber

core::Time steady_now() { return std::chrono::steady_clock::now().time_since_epoch(); }

control::SubscriberOptions options_of(const config::Control& config, const std::string& name,
                                      std::uint64_t seed) {
  control::SubscriberOptions out;
  out.fleet = config.fleet;
  out.name = name;
  out.region = config.region;
  for (const auto& node : config.nodes) out.nodes.push_back({node.name, node.address, node.region});
  out.seed = seed;
  return out;
}

}  // namespace

struct ControlClient::Impl {
  Impl(ev::loop_ref loop, const config::Control& config, std::string broker, std::uint64_t seed,
       OnOffer offer)
      : name(name_of(std::move(broker))),
        on_offer(std::move(offer)),
        file(config.last, config.fleet),
        last_version(read()),
        keeper(loop, file, last_version ? last_version->place : control::Place{}, seed,
               [this](const std::string& text) { say(text); }),
        nodes(config.nodes),
        subscriber(options_of(config, name, seed), last_version),
        hub(loop, {control::kMaxMessage, control::kMaxMessage, kMaxUnwritten}, 0, handlers()) {}

  // Nodes know brokers by their names. One that has none is a new one after each start.
  static std::string name_of(std::string name) {
    if (!name.empty() && name.size() <= control::kMaxName) return name;
    auto out = "broker-" + std::to_string(::getpid());
    log::write(log::Level::warning, "bellstair " + out +
                                        ": control: called so, since its configuration gives it " +
                                        (name.empty() ? "no name" : "too long a name"));
    return out;
  }

  std::optional<control::Version> read() {
    std::optional<control::Version> out;
    if (const auto problem = file.read(out); !problem.empty()) say("control: " + problem);
    return out;
  }

  void say(const std::string& text) const { log::write(log::Level::info, "bellstair " + name + ": " + text); }

  // Of the latest dial alone: words of one that was hung up concern nobody.
  link::Hub::Handlers handlers() {
    link::Hub::Handlers out;
    out.accepted = [](link::ChannelId) {};
    out.connected = [this](link::ChannelId id) {
      if (id == channel) act([this](auto& effects) { subscriber.connected(steady_now(), effects); });
    };
    out.message = [this](link::ChannelId id, std::string_view body) {
      if (id == channel) act([&](auto& effects) { subscriber.received(steady_now(), body, effects); });
    };
    out.drained = [](link::ChannelId) {};
    out.closed = [this](link::ChannelId id, const std::string&, const std::string&) {
      if (id != channel) return;
      channel = 0;
      act([this](auto& effects) { subscriber.closed(steady_now(), effects); });
    };
    return out;
  }

  template <class Decide>
  void act(Decide decide) {
    control::SubscriberEffects effects;
    decide(effects);
    for (auto& effect : effects) std::visit([this](auto& e) { run(e); }, effect);
  }
  void run(const control::Dial& effect) {
    hang_up();
    channel = hub.dial(nodes[effect.node].address);
  }
  void run(const control::HangUp&) { hang_up(); }
  void run(const control::SendUp& effect) { hub.send(channel, effect.body); }
  void run(control::OfferVersion& effect) { offered.push_back(std::move(effect.version)); }
  void run(const control::Say& effect) const { say(effect.text); }
  void hang_up() { hub.close(std::exchange(channel, 0)); }

  std::string name;
  OnOffer on_offer;
  LastVersionFile file;
  std::optional<control::Version> last_version;  // that it held at the start
  LastVersionWriter keeper;
  std::vector<config::ControlNode> nodes;
  control::Subscriber subscriber;
  link::Hub hub;
  link::ChannelId channel = 0;
  std::deque<control::Version> offered;
  core::Time next{};
  bool started = false, stopped = false;
};

ControlClient::ControlClient(ev::loop_ref loop, const config::Control& config, const std::string& name,
                             std::uint64_t seed, OnOffer offer)
    : impl_(std::make_unique<Impl>(loop, config, name, seed, std::move(offer))) {}

ControlClient::~ControlClient() = default;

void ControlClient::start() {
  impl_->started = true;
  impl_->act([this](auto& effects) { impl_->subscriber.start(steady_now(), effects); });
}

void ControlClient::tick(core::Time) {
  // A steady clock of its own: what has come between two ticks is heard when it comes.
  const auto now = steady_now();
  impl_->hub.tick(now);
  impl_->keeper.tick(now);
  if (!impl_->started || impl_->stopped || now < impl_->next) return;
  impl_->next = now + kTurn;
  impl_->act([&](auto& effects) { impl_->subscriber.tick(now, effects); });
}

void ControlClient::settle() {
  impl_->hub.settle();
  while (!impl_->offered.empty() && !impl_->stopped) {
    const auto version = std::move(impl_->offered.front());
    impl_->offered.pop_front();
    impl_->on_offer(version);
  }
}

void ControlClient::stop() {
  impl_->stopped = true;
  impl_->hang_up();
}

void ControlClient::applied(const control::Version& version, const std::string& problem) {
  if (problem.empty()) impl_->keeper.keep(version);
  if (impl_->stopped) return;
  impl_->act([&](auto& effects) { impl_->subscriber.applied(steady_now(), version, problem, effects); });
}

const control::Place& ControlClient::kept() const { return impl_->keeper.kept(); }
const std::optional<control::Place>& ControlClient::unkept() const { return impl_->keeper.unkept(); }

}  // namespace bellstair::app
