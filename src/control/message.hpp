// What control nodes, brokers and the operator's tool say to each other: one JSON object a frame, its kind
// under "kind". Unknown members are passed over, so that later versions can add some; what is missing, of the
// wrong type or over its bound is an error that names the member.
#pragma once

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "control/version.hpp"

namespace bellstair::control {

inline constexpr unsigned kProtocol = 1;
inline constexpr std::size_t kMaxName = 128;     // bytes, of a fleet, node, broker or region
inline constexpr std::size_t kMaxProblem = 512;  // bytes, of why a document is refused
inline constexpr std::size_t kMaxRejection = std::size_t{1}
                                             << 16;  // bytes, of all that is wrong with a document
inline constexpr std::size_t kMaxMessage = std::size_t{4} << 20;

enum class Role { broker, node, tool };

// Epochs that have been seen, and whose they are: whoever knows of a newer one refuses an older writer.
struct Reign {
  std::uint64_t epoch = 0;
  std::string writer;
  bool operator==(const Reign&) const = default;
};

struct Hello {  // the first message of whoever has dialled
  unsigned protocol = kProtocol;
  std::string fleet, name, region;
  Role role = Role::broker;
  Reign reign;         // the newest one that it knows of
  Place have;          // the newest version that it has; a broker: that it has in force
  std::string digest;  // of that version; empty without one
};
struct Welcome {  // a node's answer
  unsigned protocol = kProtocol;
  std::string fleet, name;
  Reign reign;
  Place newest;
};
struct Farewell {  // before the connection is closed: why
  std::string reason;
};
struct Offer {  // node to broker or follower
  Version version;
};
struct Report {  // broker to node: what is in force, and what could not be used
  Place in_force;
  std::string digest;
  Place refused;        // the newest version that it could not use; 0.0: none, or superseded since
  std::string problem;  // why, with line and column
};
struct Ping {};
struct Pong {
  Reign reign;
};
struct Publish {  // tool to writer
  std::string text;
};
struct Published {  // on the writer's disk
  Place place;
};
struct Rejected {
  std::string problem;  // lines, each with its place
};
struct AskStatus {};
struct BrokerStatus {
  std::string name, region;
  Place in_force, refused;
  std::string digest, problem;
  bool connected = false;
  Time age{};  // since it was last heard
};
struct Status {
  std::string node, region;
  Reign reign;
  bool writes = false;  // it is the writer of its reign
  Place newest;
  std::string digest;
  std::vector<BrokerStatus> brokers;  // those that it has heard, also those that are gone
};

using Message = std::variant<Hello, Welcome, Farewell, Offer, Report, Ping, Pong, Publish, Published,
                             Rejected, AskStatus, Status>;

struct Malformed : std::runtime_error {
  using std::runtime_error::runtime_error;
};
// Throws Malformed where a document or its writer's name is not UTF-8; all other texts are cleaned and cut.
[[nodiscard]] std::string encode(const Message& message);
[[nodiscard]] Message decode(std::string_view text);  // throws Malformed; never anything else
// At most so many bytes of it, as valid UTF-8: what is not becomes '?', and no character is cut.
[[nodiscard]] std::string clean(std::string_view text, std::size_t most);

}  // namespace bellstair::control
