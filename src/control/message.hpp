// The messages between control nodes, brokers and the operator's tool: one JSON object a frame, its kind
// under "kind". Unknown members are ignored, so that later versions can add some; a member that is missing,
// of the wrong type or too long is an error that names it.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "common/error.hpp"
#include "control/version.hpp"

namespace bellstair::control {

inline constexpr unsigned kProtocolVersion = 1;
inline constexpr std::size_t kMaxNameBytes = 128;                        // of a fleet, node, broker or region
inline constexpr std::size_t kMaxReasonBytes = 512;                      // of why a broker rejects a version
inline constexpr std::size_t kMaxRejectionBytes = std::size_t{1} << 16;  // of all errors in a document
inline constexpr std::size_t kMaxMessageBytes = std::size_t{4} << 20;

enum class Role { broker, node, tool };
[[nodiscard]] std::string_view to_text(Role role);

// An epoch and its one leader. Whoever has seen a newer term rejects the leader of an older one.
struct LeaderTerm {
  std::uint64_t epoch = 0;  // 0: no term is known
  std::string leader;
  bool operator==(const LeaderTerm&) const = default;
};

// The first message of the side that connects.
struct Hello {
  unsigned protocol = kProtocolVersion;
  std::string fleet, name, region;
  Role role = Role::broker;
  LeaderTerm term;     // the newest known
  VersionId current;   // a node: its committed version; a broker: its active one
  std::string digest;  // of that version; empty without one
};

// A node's answer to Hello.
struct Welcome {
  unsigned protocol = kProtocolVersion;
  std::string fleet, name;
  LeaderTerm term;
  VersionId committed;
};

// Why the sender closes the connection; its last message.
struct GoAway {
  std::string reason;
};

// Node to broker or follower.
struct VersionUpdate {
  Version version;
};

// Broker to node: what has become of the versions it was sent.
struct BrokerReport {
  VersionId active_version;
  std::string digest;          // of the active version
  VersionId rejected_version;  // the newest that could not be applied; 0.0: none, or superseded since
  std::string reason;          // of the rejection, with line and column
};

struct Ping {};

struct Pong {
  LeaderTerm term;
};

// Tool to leader.
struct Publish {
  std::string text;
};

// The document is committed on the leader's disk.
struct Published {
  VersionId id;
};

struct PublishRejected {
  std::string reason;  // lines, each with its place
};

struct StatusRequest {};

struct BrokerStatus {
  std::string name, region;
  VersionId active_version, rejected_version;
  std::string digest, reason;
  bool connected = false;
  Time age{};  // since its last message
};

struct NodeStatus {
  std::string node, region;
  LeaderTerm term;
  bool is_leader = false;
  VersionId committed;
  std::string digest;                 // of the committed version
  std::vector<BrokerStatus> brokers;  // all that are remembered, also those that are gone
};

using Message = std::variant<Hello, Welcome, GoAway, VersionUpdate, BrokerReport, Ping, Pong, Publish,
                             Published, PublishRejected, StatusRequest, NodeStatus>;

// A message that cannot be read or written; what() names the member.
class MalformedMessage : public Error {
 public:
  using Error::Error;
};

// Throws MalformedMessage where a document or its leader's name is not UTF-8; all other texts are sanitized
// and cut to their bounds.
[[nodiscard]] std::string encode(const Message& message);

// Throws MalformedMessage, and nothing else.
[[nodiscard]] Message decode(std::string_view text);

}  // namespace bellstair::control
