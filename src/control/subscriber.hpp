// What a broker decides about its stream to the control nodes: which node, when to dial, what to offer to its own
// loop, what to report. Free of I/O and clocks.
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
  std::string text;  // for the log
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
  static constexpr Time kPing = std::chrono::seconds(2);     // between pings
  static constexpr Time kSilence = std::chrono::seconds(5);  // without a word, the node counts as gone
  static constexpr Time kDial = std::chrono::seconds(1);     // for a connection and its Welcome
  static constexpr Time kLeastWait = std::chrono::milliseconds(100);  // back-off, with jitter
  static constexpr Time kMostWait = std::chrono::seconds(4);

  // `last`: what was in force when the process ended, if that was kept.
  Subscriber(SubscriberOptions options, std::optional<Version> last);

  void start(Time now, SubscriberEffects& out);
  void connected(Time now, SubscriberEffects& out);
  void closed(Time now, SubscriberEffects& out);  // it could not be connected, or has broken
  void received(Time now, std::string_view body, SubscriberEffects& out);
  // What became of an OfferVersion. No problem: it is in force.
  void applied(Time now, const Version& version, const std::string& problem, SubscriberEffects& out);
  void tick(Time now, SubscriberEffects& out);  // some ten times a second

  [[nodiscard]] Place in_force() const;
  [[nodiscard]] std::optional<std::size_t> node() const;  // that it has a Welcome of
  // The nodes in the order in which it tries them: its own region's first, each set by a hash of both names.
  [[nodiscard]] const std::vector<std::size_t>& order() const;

 private:
  // the module's own
};

}  // namespace bellstair::control
