#include "control/message.hpp"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

#include "common/bounded_json.hpp"
#include "control/utf8.hpp"

namespace bellstair::control {
namespace {

using nlohmann::json;

// A NodeStatus of 8,192 brokers has about 230,000 elements.
constexpr JsonLimits kMessageLimits{.max_depth = 8, .max_elements = std::size_t{1} << 18};
constexpr std::size_t kMaxDigestBytes = 64;  // hex digits of SHA-256
constexpr std::size_t kMaxStatusBrokers = 16'384;
constexpr std::uint64_t kMaxNumber = std::numeric_limits<std::int64_t>::max();  // SQLite's limit
constexpr std::size_t kMaxParserErrorBytes = 160;  // the parser's error may quote the whole message
constexpr std::uint64_t kMaxAgeMs = 1'000'000'000'000;
constexpr std::string_view kPing = R"({"kind":"ping"})";

// Encoding. The names of the members are part of the protocol and never change.

json to_json(const VersionId& id) { return {{"epoch", id.epoch}, {"number", id.number}}; }
json to_json(const LeaderTerm& term) {
  return {{"epoch", term.epoch}, {"writer", sanitize_utf8(term.leader, kMaxNameBytes)}};
}
json to_json(const Version& version) {
  return {{"place", to_json(version.id)},
          {"writer", version.leader},
          {"digest", version.digest},
          {"text", version.text}};
}
json to_json(const BrokerStatus& broker) {
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(broker.age).count();
  return {{"name", sanitize_utf8(broker.name, kMaxNameBytes)},
          {"region", sanitize_utf8(broker.region, kMaxNameBytes)},
          {"in_force", to_json(broker.active_version)},
          {"refused", to_json(broker.rejected_version)},
          {"digest", broker.digest},
          {"problem", sanitize_utf8(broker.reason, kMaxReasonBytes)},
          {"connected", broker.connected},
          {"age_ms", std::max<std::int64_t>(age, 0)}};
}

json to_json(const Hello& message) {
  return {{"kind", "hello"},
          {"protocol", message.protocol},
          {"fleet", sanitize_utf8(message.fleet, kMaxNameBytes)},
          {"name", sanitize_utf8(message.name, kMaxNameBytes)},
          {"region", sanitize_utf8(message.region, kMaxNameBytes)},
          {"role", to_text(message.role)},
          {"reign", to_json(message.term)},
          {"have", to_json(message.current)},
          {"digest", message.digest}};
}
json to_json(const Welcome& message) {
  return {{"kind", "welcome"},
          {"protocol", message.protocol},
          {"fleet", sanitize_utf8(message.fleet, kMaxNameBytes)},
          {"name", sanitize_utf8(message.name, kMaxNameBytes)},
          {"reign", to_json(message.term)},
          {"newest", to_json(message.committed)}};
}
json to_json(const GoAway& message) {
  return {{"kind", "farewell"}, {"reason", sanitize_utf8(message.reason, kMaxReasonBytes)}};
}
json to_json(const VersionUpdate& message) {
  return {{"kind", "offer"}, {"version", to_json(message.version)}};
}
json to_json(const BrokerReport& message) {
  return {{"kind", "report"},
          {"in_force", to_json(message.active_version)},
          {"digest", message.digest},
          {"refused", to_json(message.rejected_version)},
          {"problem", sanitize_utf8(message.reason, kMaxReasonBytes)}};
}
json to_json(const Ping&) { return {{"kind", "ping"}}; }
json to_json(const Pong& message) { return {{"kind", "pong"}, {"reign", to_json(message.term)}}; }
json to_json(const Publish& message) { return {{"kind", "publish"}, {"text", message.text}}; }
json to_json(const Published& message) { return {{"kind", "published"}, {"place", to_json(message.id)}}; }
json to_json(const PublishRejected& message) {
  return {{"kind", "rejected"}, {"problem", sanitize_utf8(message.reason, kMaxRejectionBytes)}};
}
json to_json(const StatusRequest&) { return {{"kind", "ask_status"}}; }
json to_json(const NodeStatus& message) {
  json brokers = json::array();
  for (const auto& broker : message.brokers) brokers.push_back(to_json(broker));
  return {{"kind", "status"},
          {"node", sanitize_utf8(message.node, kMaxNameBytes)},
          {"region", sanitize_utf8(message.region, kMaxNameBytes)},
          {"reign", to_json(message.term)},
          {"writes", message.is_leader},
          {"newest", to_json(message.committed)},
          {"digest", message.digest},
          {"brokers", std::move(brokers)}};
}

// Decoding.

// Reads the members of one object in a message. Throws MalformedMessage with the path of an invalid member.
class ObjectReader {
 public:
  ObjectReader(const json& value, std::string path) : value_(&value), path_(std::move(path)) {
    if (!value.is_object()) throw MalformedMessage(path_ + ": not an object");
  }

  [[nodiscard]] std::string text(const char* name, std::size_t max_bytes) const {
    const json& found = member(name);
    if (!found.is_string()) throw MalformedMessage(path(name) + ": not a string");
    const auto& out = found.get_ref<const std::string&>();
    if (out.size() > max_bytes)
      throw MalformedMessage(path(name) + ": " + std::to_string(out.size()) + " bytes exceed the limit of " +
                             std::to_string(max_bytes));
    return out;
  }
  // Rejects control characters, since names appear in log lines and in the status.
  [[nodiscard]] std::string name(const char* member_name, bool may_be_empty = false) const {
    std::string out = text(member_name, kMaxNameBytes);
    if (out.empty() && !may_be_empty) throw MalformedMessage(path(member_name) + ": empty");
    const auto control = [](char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7F; };
    if (std::any_of(out.begin(), out.end(), control))
      throw MalformedMessage(path(member_name) + ": contains a control character");
    return out;
  }
  [[nodiscard]] std::uint64_t number(const char* name, std::uint64_t max = kMaxNumber) const {
    const json& found = member(name);
    if (!found.is_number()) throw MalformedMessage(path(name) + ": not a number");
    if (!found.is_number_unsigned() || found.get<std::uint64_t>() > max)
      throw MalformedMessage(path(name) + ": not an integer from 0 to " + std::to_string(max));
    return found.get<std::uint64_t>();
  }
  [[nodiscard]] bool flag(const char* name) const {
    const json& found = member(name);
    if (!found.is_boolean()) throw MalformedMessage(path(name) + ": not a boolean");
    return found.get<bool>();
  }
  [[nodiscard]] ObjectReader object(const char* name) const { return {member(name), path(name)}; }
  [[nodiscard]] const json& list(const char* name, std::size_t max_entries) const {
    const json& found = member(name);
    if (!found.is_array()) throw MalformedMessage(path(name) + ": not an array");
    if (found.size() > max_entries)
      throw MalformedMessage(path(name) + ": more than " + std::to_string(max_entries) + " entries");
    return found;
  }
  [[nodiscard]] std::string path(const char* name) const { return path_ + "." + name; }

  [[nodiscard]] VersionId version_id(const char* name) const {
    const ObjectReader in = object(name);
    return {in.number("epoch"), in.number("number")};
  }
  [[nodiscard]] LeaderTerm term(const char* name) const {
    const ObjectReader in = object(name);
    LeaderTerm out;
    out.epoch = in.number("epoch");
    out.leader = in.name("writer", out.epoch == 0);
    return out;
  }
  [[nodiscard]] std::string digest() const { return text("digest", kMaxDigestBytes); }

 private:
  [[nodiscard]] const json& member(const char* name) const {
    const auto found = value_->find(name);
    if (found == value_->end()) throw MalformedMessage(path(name) + ": missing");
    return *found;
  }

  const json* value_;
  std::string path_;
};

// Must be read before the other members: they may have another meaning in another protocol version, and are
// read only if the version matches.
unsigned read_protocol(const ObjectReader& in) {
  return static_cast<unsigned>(in.number("protocol", std::numeric_limits<unsigned>::max()));
}

Role read_role(const ObjectReader& in) {
  const auto text = in.text("role", kMaxNameBytes);
  for (const auto role : {Role::broker, Role::node, Role::tool}) {
    if (text == to_text(role)) return role;
  }
  throw MalformedMessage(in.path("role") + ": not one of broker, node and tool");
}

Message read_hello(const ObjectReader& in) {
  Hello out;
  out.protocol = read_protocol(in);
  if (out.protocol != kProtocolVersion) return out;
  out.fleet = in.name("fleet");
  out.name = in.name("name");
  out.region = in.name("region", true);
  out.role = read_role(in);
  out.term = in.term("reign");
  out.current = in.version_id("have");
  out.digest = in.digest();
  return out;
}
Message read_welcome(const ObjectReader& in) {
  Welcome out;
  out.protocol = read_protocol(in);
  if (out.protocol != kProtocolVersion) return out;
  out.fleet = in.name("fleet");
  out.name = in.name("name");
  out.term = in.term("reign");
  out.committed = in.version_id("newest");
  return out;
}
Message read_version_update(const ObjectReader& in) {
  const ObjectReader version = in.object("version");
  Version out;
  out.id = version.version_id("place");
  if (out.id.epoch == 0 || out.id.number == 0)
    throw MalformedMessage(version.path("place") + ": epoch and number must be above 0");
  out.leader = version.name("writer");
  out.digest = version.digest();
  out.text = version.text("text", kMaxDocumentBytes);
  return VersionUpdate{std::move(out)};
}

Message read_broker_report(const ObjectReader& in) {
  return BrokerReport{in.version_id("in_force"), in.digest(), in.version_id("refused"),
                      in.text("problem", kMaxReasonBytes)};
}
BrokerStatus read_broker_status(const ObjectReader& in) {
  BrokerStatus out;
  out.name = in.name("name");
  out.region = in.name("region", true);
  out.active_version = in.version_id("in_force");
  out.rejected_version = in.version_id("refused");
  out.digest = in.digest();
  out.reason = in.text("problem", kMaxReasonBytes);
  out.connected = in.flag("connected");
  out.age = std::chrono::milliseconds(in.number("age_ms", kMaxAgeMs));
  return out;
}

Message read_node_status(const ObjectReader& in) {
  NodeStatus out;
  out.node = in.name("node");
  out.region = in.name("region", true);
  out.term = in.term("reign");
  out.is_leader = in.flag("writes");
  out.committed = in.version_id("newest");
  out.digest = in.digest();
  const json& brokers = in.list("brokers", kMaxStatusBrokers);
  out.brokers.reserve(brokers.size());
  for (std::size_t i = 0; i < brokers.size(); ++i) {
    const ObjectReader broker(brokers[i], in.path("brokers") + "[" + std::to_string(i) + "]");
    out.brokers.push_back(read_broker_status(broker));
  }
  return out;
}

Message read_message(const json& message) {
  if (!message.is_object()) throw MalformedMessage("message: not an object");
  const std::string kind = ObjectReader(message, "message").text("kind", kMaxNameBytes);
  const ObjectReader in(message, sanitize_utf8(kind, kMaxNameBytes));
  if (kind == "hello") return read_hello(in);
  if (kind == "welcome") return read_welcome(in);
  if (kind == "farewell") return GoAway{in.text("reason", kMaxReasonBytes)};
  if (kind == "offer") return read_version_update(in);
  if (kind == "report") return read_broker_report(in);
  if (kind == "ping") return Ping{};
  if (kind == "pong") return Pong{in.term("reign")};
  if (kind == "publish") return Publish{in.text("text", kMaxDocumentBytes)};
  if (kind == "published") return Published{in.version_id("place")};
  if (kind == "rejected") return PublishRejected{in.text("problem", kMaxRejectionBytes)};
  if (kind == "ask_status") return StatusRequest{};
  if (kind == "status") return read_node_status(in);
  throw MalformedMessage("message.kind: " + sanitize_utf8(kind, kMaxNameBytes) + " is unknown");
}

std::string describe(const JsonError& error) {
  switch (error.code()) {
    case JsonFault::too_deep:
      return "message: nested deeper than " + std::to_string(kMessageLimits.max_depth);
    case JsonFault::too_many_elements:
      return "message: more than " + std::to_string(kMessageLimits.max_elements) + " values";
    case JsonFault::syntax:
      break;
  }
  return "message: " + sanitize_utf8(error.what(), kMaxParserErrorBytes);
}

}  // namespace

std::string_view to_text(Role role) {
  switch (role) {
    case Role::broker:
      return "broker";
    case Role::node:
      return "node";
    case Role::tool:
      return "tool";
  }
  return {};
}

std::string encode(const Message& message) {
  if (std::holds_alternative<Ping>(message)) return std::string(kPing);
  try {
    return std::visit([](const auto& kind) { return to_json(kind).dump(); }, message);
  } catch (const json::exception&) {
    throw MalformedMessage("text: not valid UTF-8");  // documents and leaders' names, which are not sanitized
  }
}

Message decode(std::string_view text) {
  if (text.size() > kMaxMessageBytes)
    throw MalformedMessage("message: " + std::to_string(text.size()) + " bytes exceed the limit of " +
                           std::to_string(kMaxMessageBytes));
  if (text == kPing) return Ping{};
  try {
    return read_message(parse_bounded_json(text, kMessageLimits));
  } catch (const JsonError& error) {
    throw MalformedMessage(describe(error));
  }
}

}  // namespace bellstair::control
