#include "control/subscriber.hpp"

#include <algorithm>
#include <numeric>

namespace bellstair::control {
namespace {

// Rendezvous hashing (highest random weight): FNV-1a over both names, then splitmix64's last steps. A node
// that goes or comes moves its own brokers only.
std::uint64_t weight(const std::string& node, const std::string& broker) {
  std::uint64_t hash = 14695981039346656037U;
  const auto mix = [&hash](const std::string& text) {
    for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211U;
    hash = (hash ^ 0xFFU) * 1099511628211U;  // no byte of UTF-8
  };
  mix(node);
  mix(broker);
  hash = (hash ^ (hash >> 30U)) * 0xBF58476D1CE4E5B9U;
  hash = (hash ^ (hash >> 27U)) * 0x94D049BB133111EBU;
  return hash ^ (hash >> 31U);
}

}  // namespace

Subscriber::Subscriber(SubscriberOptions options, std::optional<Version> last)
    : options_(std::move(options)),
      last_(std::move(last)),
      order_(options_.nodes.size()),
      random_(options_.seed),
      refusals_(options_.nodes.size()) {
  std::iota(order_.begin(), order_.end(), std::size_t{0});
  const auto key = [this](std::size_t i) {
    const auto& node = options_.nodes[i];
    return std::pair(node.region != options_.region, ~weight(node.name, options_.name));
  };
  std::sort(order_.begin(), order_.end(), [&](std::size_t a, std::size_t b) { return key(a) < key(b); });
}

Time Subscriber::draw(Time least, Time most) {
  return least +
         Time(static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>((most - least).count())));
}

std::optional<std::size_t> Subscriber::node() const {
  if (phase_ != Phase::streaming) return std::nullopt;
  return round_[turn_ - 1];
}

void Subscriber::start(Time now, SubscriberEffects& out) {
  if (last_) {
    Version version = std::move(*last_);
    last_.reset();
    if (whole(version) && version.place.epoch > 0) {
      reign_ = {version.place.epoch, version.writer};
      try_version(std::move(version), out);
    } else {
      out.push_back(
          Say{"control: the last version, " + to_text(version.place) + ", is damaged and not used"});
    }
  }
  if (options_.nodes.empty()) return;
  begin_round(now, out);
}

void Subscriber::begin_round(Time now, SubscriberEffects& out) {
  round_ = order_;
  if (lost_)
    std::stable_partition(round_.begin(), round_.end(), [this](std::size_t i) { return i != *lost_; });
  lost_.reset();
  turn_ = 0;
  dial_next(now, out);
}

void Subscriber::dial_next(Time now, SubscriberEffects& out) {
  if (turn_ == round_.size()) {  // none would have it: a longer wait each time, drawn from its upper half
    phase_ = Phase::waiting;
    until_ = now + draw(span_ / 2, span_);
    span_ = std::min(2 * span_, kMaxWait);
    return;
  }
  phase_ = Phase::dialling;
  until_ = now + kDial;
  out.push_back(Dial{round_[turn_++]});
}

// Away from this node, to the next.
void Subscriber::leave(Time now, const std::string& reason, bool hang_up, SubscriberEffects& out) {
  if (!reason.empty()) out.push_back(Say{reason});
  if (hang_up) out.push_back(HangUp{});
  if (phase_ != Phase::streaming) {
    dial_next(now, out);
    return;
  }
  // One that breaks soon after its Welcome has proved little: the round goes on, and so does the back-off.
  if (now - since_ < kMaxWait) {
    dial_next(now, out);
    return;
  }
  span_ = kMinWait;
  lost_ = round_[turn_ - 1];
  phase_ = Phase::waiting;  // the others of a node that died come too
  until_ = now + draw(Time{}, kMinWait);
}

void Subscriber::connected(Time now, SubscriberEffects& out) {
  if (phase_ != Phase::dialling) return;
  phase_ = Phase::greeting;
  heard_ = now;
  Hello hello;
  hello.fleet = options_.fleet;
  hello.name = options_.name;
  hello.region = options_.region;
  hello.role = Role::broker;
  hello.reign = reign_;
  hello.have = told_ = in_force_;
  hello.digest = digest_;
  out.push_back(SendUp{encode(hello)});
}

void Subscriber::closed(Time now, SubscriberEffects& out) {
  if (phase_ == Phase::stopped || phase_ == Phase::waiting) return;
  leave(now, phase_ == Phase::streaming ? "control: lost " + current().name : "", false, out);
}

// Whether this node may be followed; a newer reign is remembered.
bool Subscriber::agree(Time now, const Reign& reign, SubscriberEffects& out) {
  const auto& name = current().name;
  const auto epoch = std::to_string(reign.epoch);
  if (reign.epoch < reign_.epoch) {
    leave(now,
          "control: " + name + " knows of epoch " + epoch + " only, " + std::to_string(reign_.epoch) +
              " was seen",
          true, out);
    return false;
  }
  if (reign.epoch == reign_.epoch && reign.writer != reign_.writer) {
    leave(now,
          "control: " + name + " is refused: epoch " + epoch + " has " + reign_.writer +
              " as its writer, not " + reign.writer,
          true, out);
    return false;
  }
  reign_ = reign;
  return true;
}

void Subscriber::received(Time now, std::string_view body, SubscriberEffects& out) {
  if (phase_ != Phase::greeting && phase_ != Phase::streaming) return;
  heard_ = now;
  const std::string name = current().name;
  Message message;
  try {
    message = decode(body);
  } catch (const Malformed& error) {
    leave(now, "control: " + name + " is refused: " + error.what(), true, out);
    return;
  }
  if (auto* farewell = std::get_if<Farewell>(&message)) {
    auto& told = refusals_[round_[turn_ - 1]];
    const bool again = told == farewell->reason;
    told = std::move(farewell->reason);
    leave(now, again ? "" : "control: " + name + " refuses: " + clean(told, kMaxProblem), true, out);
    return;
  }
  if (auto* welcome = std::get_if<Welcome>(&message); welcome != nullptr && phase_ == Phase::greeting) {
    const auto no = [&](const std::string& reason) {
      leave(now, "control: " + name + " is refused: " + reason, true, out);
    };
    if (welcome->protocol != kProtocol)
      return no("protocol " + std::to_string(welcome->protocol) + ", spoken here is " +
                std::to_string(kProtocol));
    if (welcome->fleet != options_.fleet)
      return no("fleet " + welcome->fleet + ", this one is " + options_.fleet);
    if (welcome->name != name) return no("it is " + welcome->name);
    if (!agree(now, welcome->reign, out)) return;
    phase_ = Phase::streaming;
    since_ = pinged_ = now;
    home_ = now + draw(kHome / 2, kHome + kHome / 2);
    refusals_[round_[turn_ - 1]].clear();
    out.push_back(Say{"control: connected to " + name + " (" + current().region + ")"});
    if (in_force_ != told_ || refused_ != Place{}) report(out);
    return;
  }
  if (phase_ == Phase::streaming) {
    if (auto* offer = std::get_if<Offer>(&message)) return take(now, std::move(offer->version), out);
    if (auto* pong = std::get_if<Pong>(&message)) {
      (void)agree(now, pong->reign, out);
      return;
    }
  }
  leave(now, "control: " + name + " is refused: a message that it may not send", true, out);
}

void Subscriber::take(Time now, Version version, SubscriberEffects& out) {
  const auto no = [&](const std::string& reason) {
    leave(now, "control: " + current().name + " is refused: version " + to_text(version.place) + " " + reason,
          true, out);
  };
  if (!whole(version)) return no("is damaged: its digest is another");
  // Of a newer epoch than its node tells of, or by another than the one writer of its epoch.
  if (version.place.epoch > reign_.epoch) return no("is of an epoch that its node does not know");
  if (version.place.epoch == reign_.epoch && version.writer != reign_.writer)
    return no("has a second writer of its epoch, " + version.writer);
  if (version.place.epoch == tried_.epoch && version.writer != tried_writer_)
    return no("has a second writer of its epoch, " + version.writer);
  if (version.place <= tried_ || version.place <= in_force_) return;
  if (!trying_) {
    try_version(std::move(version), out);
  } else if (!next_ || version.place > next_->place) {
    next_ = std::move(version);
  }
}

void Subscriber::try_version(Version version, SubscriberEffects& out) {
  tried_ = version.place;
  tried_writer_ = version.writer;
  trying_ = std::move(version);
  out.push_back(OfferVersion{*trying_});
}

void Subscriber::applied(Time now, const Version& version, const std::string& problem,
                         SubscriberEffects& out) {
  (void)now;
  if (!trying_ || trying_->place != version.place) return;
  if (problem.empty()) {
    in_force_ = trying_->place;
    digest_ = trying_->digest;
    refused_ = {};
    problem_.clear();
    out.push_back(Say{"control: version " + to_text(in_force_) + " in force"});
  } else {
    refused_ = trying_->place;
    problem_ = clean(problem, kMaxProblem);
    out.push_back(Say{"control: version " + to_text(refused_) + " refused: " + problem});
  }
  trying_.reset();
  if (phase_ == Phase::streaming) report(out);
  if (!next_) return;
  Version later = std::move(*next_);
  next_.reset();
  try_version(std::move(later), out);
}

void Subscriber::report(SubscriberEffects& out) {
  told_ = in_force_;
  out.push_back(SendUp{encode(Report{in_force_, digest_, refused_, problem_})});
}

void Subscriber::tick(Time now, SubscriberEffects& out) {
  switch (phase_) {
    case Phase::stopped:
      return;
    case Phase::waiting:
      if (now >= until_) begin_round(now, out);
      return;
    case Phase::dialling:
    case Phase::greeting:
      if (now < until_) return;
      leave(now, "", true, out);
      return;
    case Phase::streaming:
      if (now - heard_ >= kSilence) {
        leave(now, "control: lost " + current().name + ": silent", true, out);
      } else if (now >= home_ && round_[turn_ - 1] != order_.front()) {
        out.push_back(HangUp{});
        begin_round(now, out);
      } else if (now - pinged_ >= kPing) {
        pinged_ = now;
        out.push_back(SendUp{encode(Ping{})});
      }
      return;
  }
}

}  // namespace bellstair::control
