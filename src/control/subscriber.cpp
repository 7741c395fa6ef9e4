#include "control/subscriber.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

#include "control/utf8.hpp"

namespace bellstair::control {
namespace {

constexpr std::uint64_t kFnvOffset = 14695981039346656037U, kFnvPrime = 1099511628211U;
constexpr std::uint64_t kEndOfName = 0xFFU;  // does not occur in UTF-8

// Rendezvous hashing (highest random weight): FNV-1a over both names, then the finalizer of splitmix64.
// Adding or removing a node moves only the brokers of that node.
std::uint64_t rendezvous_weight(const std::string& node, const std::string& broker) {
  std::uint64_t hash = kFnvOffset;
  const auto mix = [&hash](const std::string& text) {
    for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * kFnvPrime;
    hash = (hash ^ kEndOfName) * kFnvPrime;
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
      logged_rejections_(options_.nodes.size()) {
  std::iota(order_.begin(), order_.end(), std::size_t{0});
  const auto key = [this](std::size_t i) {
    const auto& node = options_.nodes[i];
    return std::pair(node.region != options_.region, ~rendezvous_weight(node.name, options_.name));
  };
  std::sort(order_.begin(), order_.end(), [&](std::size_t a, std::size_t b) { return key(a) < key(b); });
}

Time Subscriber::random_duration(Time min, Time max) {
  return min + Time(static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>((max - min).count())));
}

std::optional<std::size_t> Subscriber::node() const {
  if (phase_ != Phase::subscribed) return std::nullopt;
  return current_index();
}

void Subscriber::start(Time now, SubscriberEffects& out) {
  if (last_) {
    Version version = std::move(*last_);
    last_.reset();
    if (is_intact(version) && version.id.epoch > 0) {
      term_ = {version.id.epoch, version.leader};
      apply(std::move(version), out);
    } else {
      out.emplace_back(LogLine{"control: the last active version, " + to_text(version.id) +
                               ", is damaged and is not used"});
    }
  }
  if (options_.nodes.empty()) return;
  begin_round(now, out);
}

void Subscriber::begin_round(Time now, SubscriberEffects& out) {
  round_ = order_;
  if (failed_node_)
    std::stable_partition(round_.begin(), round_.end(), [this](std::size_t i) { return i != *failed_node_; });
  failed_node_.reset();
  round_next_ = 0;
  connect_next(now, out);
}

void Subscriber::connect_next(Time now, SubscriberEffects& out) {
  if (round_next_ == round_.size()) {
    phase_ = Phase::backing_off;
    phase_deadline_ = now + random_duration(backoff_ / 2, backoff_);
    backoff_ = std::min(2 * backoff_, kMaxBackoff);
    if (std::exchange(connect_timed_out_, false)) connect_patience_.timed_out();
    return;
  }
  phase_ = Phase::connecting;
  phase_deadline_ = now + connect_patience_.limit();
  out.emplace_back(Connect{round_[round_next_++]});
}

void Subscriber::disconnect(Time now, const std::string& reason, SubscriberEffects& out) {
  if (!reason.empty()) out.emplace_back(LogLine{reason});
  out.emplace_back(Disconnect{});
  try_next_node(now, out);
}

// Leaves the current node after a failure.
void Subscriber::try_next_node(Time now, SubscriberEffects& out) {
  // A subscription that breaks soon after its Welcome does not count as a success: the round and the backoff
  // continue.
  if (phase_ != Phase::subscribed || now - subscribed_at_ < kMaxBackoff) {
    connect_next(now, out);
    return;
  }
  backoff_ = kMinBackoff;
  failed_node_ = current_index();
  phase_ = Phase::backing_off;  // after a crash, all brokers of that node reconnect at the same time
  phase_deadline_ = now + random_duration(Time{}, kMinBackoff);
}

void Subscriber::reject_node(Time now, const std::string& reason, SubscriberEffects& out) {
  disconnect(now, "control: " + current().name + " is rejected: " + reason, out);
}

void Subscriber::on_connected(Time now, SubscriberEffects& out) {
  if (phase_ != Phase::connecting) return;
  phase_ = Phase::awaiting_welcome;
  last_message_ = now;
  reported_version_ = active_version_;
  Hello hello;
  hello.fleet = options_.fleet;
  hello.name = options_.name;
  hello.region = options_.region;
  hello.role = Role::broker;
  hello.term = term_;
  hello.current = active_version_;
  hello.digest = active_digest_;
  out.emplace_back(SendToNode{encode(hello)});
}

void Subscriber::on_closed(Time now, SubscriberEffects& out) {
  if (phase_ == Phase::stopped || phase_ == Phase::backing_off) return;
  if (phase_ == Phase::subscribed)
    out.emplace_back(LogLine{"control: lost the connection to " + current().name});
  try_next_node(now, out);
}

// Stores a newer term. Disconnects and returns false if the node's term is outdated or names another leader.
bool Subscriber::accept_term(Time now, const LeaderTerm& term, SubscriberEffects& out) {
  const auto epoch = std::to_string(term.epoch);
  if (term.epoch < term_.epoch) {
    disconnect(now,
               "control: " + current().name + " is at the outdated epoch " + epoch + "; epoch " +
                   std::to_string(term_.epoch) + " is known",
               out);
    return false;
  }
  if (term.epoch == term_.epoch && term.leader != term_.leader) {
    reject_node(now, "epoch " + epoch + " has " + term_.leader + " as its leader, not " + term.leader, out);
    return false;
  }
  term_ = term;
  return true;
}

void Subscriber::on_message(Time now, std::string_view body, SubscriberEffects& out) {
  if (phase_ != Phase::awaiting_welcome && phase_ != Phase::subscribed) return;
  last_message_ = now;
  Message message;
  try {
    message = decode(body);
  } catch (const MalformedMessage& error) {
    return reject_node(now, error.what(), out);
  }
  if (auto* go_away = std::get_if<GoAway>(&message)) return on_go_away(now, std::move(*go_away), out);
  if (phase_ == Phase::awaiting_welcome) {
    if (const auto* welcome = std::get_if<Welcome>(&message)) return on_welcome(now, *welcome, out);
  } else {
    if (auto* update = std::get_if<VersionUpdate>(&message))
      return on_update(now, std::move(update->version), out);
    if (const auto* pong = std::get_if<Pong>(&message)) {
      (void)accept_term(now, pong->term, out);
      return;
    }
  }
  reject_node(now, "it sent a message that a node may not send", out);
}

void Subscriber::on_go_away(Time now, GoAway message, SubscriberEffects& out) {
  auto& logged = logged_rejections_[current_index()];
  const bool repeated = logged == message.reason;
  logged = std::move(message.reason);
  disconnect(now,
             repeated ? ""
                      : "control: " + current().name +
                            " rejects this broker: " + sanitize_utf8(logged, kMaxReasonBytes),
             out);
}

std::optional<std::string> Subscriber::check_welcome(const Welcome& welcome) const {
  if (welcome.protocol != kProtocolVersion)
    return "protocol version " + std::to_string(welcome.protocol) + " is not supported; expected version " +
           std::to_string(kProtocolVersion);
  if (welcome.fleet != options_.fleet)
    return "fleet " + welcome.fleet + " does not match the expected fleet " + options_.fleet;
  if (welcome.name != current().name) return "the node at its address is " + welcome.name;
  return std::nullopt;
}

void Subscriber::on_welcome(Time now, const Welcome& welcome, SubscriberEffects& out) {
  if (const auto reason = check_welcome(welcome)) return reject_node(now, *reason, out);
  if (!accept_term(now, welcome.term, out)) return;
  phase_ = Phase::subscribed;
  connect_patience_.answered();
  subscribed_at_ = last_ping_ = now;
  fail_back_at_ = now + random_duration(kFailBackInterval / 2, kFailBackInterval + kFailBackInterval / 2);
  logged_rejections_[current_index()].clear();
  out.emplace_back(LogLine{"control: connected to " + current().name + " (" + current().region + ")"});
  if (active_version_ != reported_version_ || rejected_version_ != VersionId{}) report(out);
}

std::optional<std::string> Subscriber::check_update(const Version& version) const {
  if (!is_intact(version)) return "is damaged: its digest does not match its content";
  if (version.id.epoch > term_.epoch) return "has a newer epoch than the node that sent it";
  const bool second_leader_of_term = version.id.epoch == term_.epoch && version.leader != term_.leader;
  const bool second_leader_of_tried =
      version.id.epoch == newest_tried_.epoch && version.leader != newest_tried_leader_;
  if (second_leader_of_term || second_leader_of_tried)
    return "names a second leader of its epoch: " + version.leader;
  return std::nullopt;
}

void Subscriber::on_update(Time now, Version version, SubscriberEffects& out) {
  if (const auto reason = check_update(version))
    return reject_node(now, "version " + to_text(version.id) + " " + *reason, out);
  if (version.id <= newest_tried_ || version.id <= active_version_) return;
  if (!applying_) {
    apply(std::move(version), out);
  } else if (!pending_ || version.id > pending_->id) {
    pending_ = std::move(version);
  }
}

void Subscriber::apply(Version version, SubscriberEffects& out) {
  newest_tried_ = version.id;
  newest_tried_leader_ = version.leader;
  applying_ = std::move(version);
  out.emplace_back(ApplyVersion{*applying_});
}

void Subscriber::on_version_applied(const Version& version, SubscriberEffects& out) {
  if (!applying_ || applying_->id != version.id) return;
  active_version_ = applying_->id;
  active_digest_ = applying_->digest;
  rejected_version_ = {};
  rejection_reason_.clear();
  out.emplace_back(LogLine{"control: version " + to_text(active_version_) + " is active"});
  on_apply_finished(out);
}

void Subscriber::on_version_rejected(const Version& version, const std::string& reason,
                                     SubscriberEffects& out) {
  if (!applying_ || applying_->id != version.id) return;
  rejected_version_ = applying_->id;
  rejection_reason_ = sanitize_utf8(reason, kMaxReasonBytes);
  out.emplace_back(LogLine{"control: version " + to_text(rejected_version_) + " rejected: " + reason});
  on_apply_finished(out);
}

void Subscriber::on_apply_finished(SubscriberEffects& out) {
  applying_.reset();
  if (phase_ == Phase::subscribed) report(out);
  if (!pending_) return;
  Version version = std::move(*pending_);
  pending_.reset();
  apply(std::move(version), out);
}

void Subscriber::report(SubscriberEffects& out) {
  reported_version_ = active_version_;
  out.emplace_back(SendToNode{
      encode(BrokerReport{active_version_, active_digest_, rejected_version_, rejection_reason_})});
}

void Subscriber::tick(Time now, SubscriberEffects& out) {
  switch (phase_) {
    case Phase::stopped:
      return;
    case Phase::backing_off:
      if (now >= phase_deadline_) begin_round(now, out);
      return;
    case Phase::connecting:
    case Phase::awaiting_welcome:
      if (now < phase_deadline_) return;
      connect_timed_out_ = true;
      return disconnect(now, "", out);
    case Phase::subscribed:
      if (now - last_message_ >= kNodeTimeout) {
        disconnect(now,
                   "control: lost the connection to " + current().name + ": no message was received in time",
                   out);
      } else if (now >= fail_back_at_ && current_index() != order_.front()) {
        out.emplace_back(Disconnect{});
        begin_round(now, out);
      } else if (now - last_ping_ >= kHeartbeatInterval) {
        last_ping_ = now;
        out.emplace_back(SendToNode{encode(Ping{})});
      }
      return;
  }
}

}  // namespace bellstair::control
