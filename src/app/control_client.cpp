#include "app/control_client.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstring>
#include <deque>
#include <optional>
#include <utility>

#include "control/message.hpp"
#include "link/hub.hpp"
#include "log/log.hpp"

namespace bellstair::app {
namespace {
using namespace std::chrono_literals;

// What it sends is short; a node that does not read so much is left.
constexpr std::size_t kMostUnwritten = std::size_t{256} << 10;
constexpr core::Time kTurn = 100ms;  // between ticks of the subscriber

core::Time steady_now() { return std::chrono::steady_clock::now().time_since_epoch(); }

// The file of the last version: a line with the digest of all that follows it, the fleet, the version as
// control nodes send it. It is written beside its place and renamed, so that a process that ends leaves the
// old or the new. It is not synced: that would stall the data path. After a loss of power it may be the one
// before, empty or cut; then it is put aside, and the broker serves with the platform's own configuration
// until a node is in reach.
class LastVersion {
 public:
  LastVersion(std::string path, std::string fleet) : path_(std::move(path)), fleet_(std::move(fleet)) {}

  // The problem, or nothing: there may be no such file.
  std::string read(std::optional<control::Version>& out) {
    std::string text;
    if (path_.empty()) return "";
    const net::Fd fd(::open(path_.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK));
    if (!fd) return errno == ENOENT ? "" : path_ + ": " + std::strerror(errno);
    if (const auto problem = read_whole(fd.get(), text); !problem.empty()) return path_ + ": " + problem;
    out = parse(text);
    if (out) return "";
    const auto aside = path_ + ".damaged";
    const bool moved = ::rename(path_.c_str(), aside.c_str()) == 0;
    return path_ + " is damaged" + (moved ? ", and is now " + aside : "") +
           ": no version is known until a node is in reach";
  }

  std::string write(const control::Version& version) const {
    if (path_.empty()) return "";
    const auto body = fleet_ + '\n' + control::encode(control::Offer{version});
    const auto text = digest(body) + '\n' + body;
    const auto beside = path_ + ".new";
    net::Fd fd(::open(beside.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC | O_NOFOLLOW, 0644));
    if (!fd) return beside + ": " + std::strerror(errno);
    for (std::size_t done = 0; done < text.size();) {
      const auto put = ::write(fd.get(), text.data() + done, text.size() - done);
      if (put < 0 && errno == EINTR) continue;
      if (put < 0) return beside + ": " + std::strerror(errno);
      done += static_cast<std::size_t>(put);
    }
    fd.reset();
    if (::rename(beside.c_str(), path_.c_str()) != 0) return path_ + ": " + std::strerror(errno);
    return "";
  }

 private:
  static constexpr std::size_t kMost = control::kMostMessage + 1024;

  static std::string digest(const std::string& body) { return control::digest_of({{}, "", "", body}); }

  static std::string read_whole(int fd, std::string& out) {
    struct stat is {};
    if (::fstat(fd, &is) != 0 || !S_ISREG(is.st_mode)) return "is not a file";
    char buffer[16384];
    while (out.size() <= kMost) {
      const auto got = ::read(fd, buffer, sizeof buffer);
      if (got < 0 && errno != EINTR) return std::strerror(errno);
      if (got == 0) break;
      if (got > 0) out.append(buffer, static_cast<std::size_t>(got));
    }
    return "";
  }

  std::optional<control::Version> parse(const std::string& text) const {
    const auto first = text.find('\n');
    const auto second = first == std::string::npos ? first : text.find('\n', first + 1);
    if (second == std::string::npos || text.size() > kMost) return std::nullopt;
    if (text.substr(0, first) != digest(text.substr(first + 1))) return std::nullopt;
    if (text.substr(first + 1, second - first - 1) != fleet_) return std::nullopt;
    try {
      auto message = control::decode(std::string_view(text).substr(second + 1));
      auto* offer = std::get_if<control::Offer>(&message);
      if (offer == nullptr || !control::whole(offer->version)) return std::nullopt;
      return std::move(offer->version);
    } catch (const control::Malformed&) {
      return std::nullopt;
    }
  }

  std::string path_, fleet_;
};

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
        nodes(config.nodes),
        subscriber(options_of(config, name, seed), read()),
        hub(loop, {control::kMostMessage, control::kMostMessage, kMostUnwritten}, 0, handlers()) {}

  // Nodes know brokers by their names. One that has none is a new one after each start.
  static std::string name_of(std::string name) {
    if (!name.empty() && name.size() <= control::kMostName) return name;
    auto out = "broker-" + std::to_string(::getpid());
    log::write(log::Level::warning, "bellstair " + out +
                                        ": control: called so, since its configuration gives it " +
                                        (name.empty() ? "no name" : "too long a name"));
    return out;
  }

  std::optional<control::Version> read() {
    std::optional<control::Version> out;
    if (const auto problem = file.read(out); !problem.empty()) say("control: " + problem);
    if (out) kept = out->place;
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
  LastVersion file;
  control::Place kept;  // in the file
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
  if (problem.empty() && version.place > impl_->kept) {
    if (const auto trouble = impl_->file.write(version); trouble.empty()) {
      impl_->kept = version.place;
    } else {
      impl_->say("control: version " + control::to_text(version.place) +
                 " is not kept for a restart: " + trouble);
    }
  }
  if (impl_->stopped) return;
  impl_->act([&](auto& effects) { impl_->subscriber.applied(steady_now(), version, problem, effects); });
}

}  // namespace bellstair::app
