// What a broker decides about its stream to the control nodes: which node, when to dial, what to offer to its
// own loop, what to report. Free of I/O and clocks.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "control/message.hpp"

namespace bellstair::control {

// ---- effects
struct Dial {  // hang up what there is, and connect to this one of the nodes
  std::size_t node = 0;
};
struct HangUp {};
struct SendUp {
  std::string body;
};
struct OfferVersion {  // checked for its checksum, reign and place: then Subscriber::applied()
  Version version;
};
struct Say {
  std::string text;  // a whole line for the log
};
using SubscriberEffect = std::variant<Dial, HangUp, SendUp, OfferVersion, Say>;
using SubscriberEffects = std::vector<SubscriberEffect>;

struct NodeAddress {
  std::string name, address, region;
  bool operator==(const NodeAddress&) const = default;
};
struct SubscriberOptions {
  std::string fleet, name, region;
  std::vector<NodeAddress> nodes;
  std::uint64_t seed = 0;
};

class Subscriber {
 public:
  static constexpr Time kPing = std::chrono::seconds(2);            // between pings
  static constexpr Time kSilence = std::chrono::seconds(5);         // without a word, the node counts as gone
  static constexpr Time kDial = std::chrono::seconds(1);            // for a connection and its Welcome
  static constexpr Time kMinWait = std::chrono::milliseconds(100);  // back-off, with jitter
  static constexpr Time kMaxWait = std::chrono::seconds(4);
  static constexpr Time kHome =
      std::chrono::minutes(10);  // on another node than its first; half less or more

  // `last`: what was in force when the process ended, if that was kept.
  Subscriber(SubscriberOptions options, std::optional<Version> last);

  void start(Time now, SubscriberEffects& out);
  void connected(Time now, SubscriberEffects& out);
  // It could not be connected, or has broken: the connection of the latest Dial, never one that was hung up.
  void closed(Time now, SubscriberEffects& out);
  void received(Time now, std::string_view body, SubscriberEffects& out);
  // What became of an OfferVersion. No problem: it is in force.
  void applied(Time now, const Version& version, const std::string& problem, SubscriberEffects& out);
  void tick(Time now, SubscriberEffects& out);  // some ten times a second

  [[nodiscard]] Place in_force() const { return in_force_; }
  [[nodiscard]] const Reign& reign() const { return reign_; }  // the newest that it knows of
  [[nodiscard]] std::optional<std::size_t> node() const;       // that it has a Welcome of
  // The nodes in the order in which it tries them: its own region's first, each set by a hash of both names.
  [[nodiscard]] const std::vector<std::size_t>& order() const { return order_; }

 private:
  enum class Phase { stopped, waiting, dialling, greeting, streaming };

  void begin_round(Time now, SubscriberEffects& out);
  void dial_next(Time now, SubscriberEffects& out);
  void leave(Time now, const std::string& reason, bool hang_up, SubscriberEffects& out);
  bool agree(Time now, const Reign& reign, SubscriberEffects& out);
  void take(Time now, Version version, SubscriberEffects& out);
  void try_version(Version version, SubscriberEffects& out);
  void report(SubscriberEffects& out);
  Time draw(Time least, Time most);
  [[nodiscard]] const NodeAddress& current() const { return options_.nodes[round_[turn_ - 1]]; }

  SubscriberOptions options_;
  std::optional<Version> last_;  // until start()
  std::vector<std::size_t> order_;
  std::mt19937_64 random_;

  Phase phase_ = Phase::stopped;
  std::vector<std::size_t> round_;   // the nodes of this round
  std::size_t turn_ = 0;             // those of them that were dialled
  std::optional<std::size_t> lost_;  // the node whose stream broke last: the next round tries it last
  Time until_{};                     // waiting: of the wait; dialling and greeting: of the dial
  Time span_ = kMinWait;             // of the next back-off
  Time heard_{}, pinged_{}, since_{}, home_{};
  std::vector<std::string> refusals_;  // by node: the Farewell that was told last

  Reign reign_;
  Place in_force_;
  std::string digest_;  // of the version in force
  Place tried_;         // the newest that was offered to the loop
  std::string tried_writer_;
  std::optional<Version> trying_, next_;  // at the loop; the newest that came meanwhile
  Place refused_;
  std::string problem_;
  Place told_;  // in force, by the last Hello or Report
};

}  // namespace bellstair::control
