// The messages between control nodes, brokers and the operator's tool: one JSON object per frame, with its
// kind in the member "kind". Unknown members are ignored, so that later versions can add members; a member
// that is missing, of the wrong type or too long is an error that names it.
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
inline constexpr std::size_t kMaxNameBytes = 128;    // the name of a fleet, node, broker or region
inline constexpr std::size_t kMaxReasonBytes = 512;  // the reason of a GoAway or of a rejected version
inline constexpr std::size_t kMaxRejectionBytes = std::size_t{1} << 16;  // all errors in a document
inline constexpr std::size_t kMaxMessageBytes = std::size_t{4} << 20;

enum class Role { broker, node, tool };
[[nodiscard]] std::string_view to_text(Role role);

// An epoch and its only leader. A process that has observed a newer term rejects the leader of an older one.
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
  VersionId current;   // of a node: its committed version; of a broker: its active one
  std::string digest;  // of that version; empty if there is none
};

// A node's answer to Hello.
struct Welcome {
  unsigned protocol = kProtocolVersion;
  std::string fleet, name;
  LeaderTerm term;
  VersionId committed;
};

// The last message on a connection: why the sender closes it.
struct GoAway {
  std::string reason;
};

// From a node to a broker or follower.
struct VersionUpdate {
  Version version;
};

// From a broker to its node: which of the versions it received is active, and which it rejected.
struct BrokerReport {
  VersionId active_version;
  std::string digest;          // of the active version
  VersionId rejected_version;  // the newest that could not be applied; 0.0: none, or a newer one is active
  std::string reason;          // of the rejection, with line and column of the error
};

struct Ping {};

struct Pong {
  LeaderTerm term;
};

// From a tool to the leader.
struct Publish {
  std::string text;
};

// The document is committed on the leader's disk.
struct Published {
  VersionId id;
};

struct PublishRejected {
  std::string reason;  // one line per error, each with its position in the document
};

struct StatusRequest {};

struct BrokerStatus {
  std::string name, region;
  VersionId active_version, rejected_version;
  std::string digest, reason;
  bool connected = false;
  Time age{};  // time since its last message
};

struct NodeStatus {
  std::string node, region;
  LeaderTerm term;
  bool is_leader = false;
  VersionId committed;
  std::string digest;                 // of the committed version
  std::vector<BrokerStatus> brokers;  // all in the node's registry, including disconnected ones
};

using Message = std::variant<Hello, Welcome, GoAway, VersionUpdate, BrokerReport, Ping, Pong, Publish,
                             Published, PublishRejected, StatusRequest, NodeStatus>;

// A message that cannot be read or written; what() names the member.
class MalformedMessage : public Error {
 public:
  using Error::Error;
};

// Throws MalformedMessage if a document or its leader's name is not UTF-8; all other texts are sanitized and
// truncated to their limits.
[[nodiscard]] std::string encode(const Message& message);

// Throws no exception but MalformedMessage.
[[nodiscard]] Message decode(std::string_view text);

}  // namespace bellstair::control
