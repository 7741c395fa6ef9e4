#include "control/message.hpp"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

namespace bellstair::control {
namespace {

using nlohmann::json;

constexpr int kMaxDepth = 8;
// Names and values of one message; a Status of 8,192 brokers has some 110,000 values and as many names.
constexpr std::size_t kMaxValues = std::size_t{1} << 18;
constexpr std::size_t kMaxDigest = 64;                                          // hex digits of SHA-256
constexpr std::size_t kMaxListed = 16'384;                                      // brokers in a Status
constexpr std::uint64_t kMaxNumber = std::numeric_limits<std::int64_t>::max();  // as SQLite holds it
constexpr std::string_view kPing = R"({"kind":"ping"})";

// ---- writing

json to_json(const Place& place) { return {{"epoch", place.epoch}, {"number", place.number}}; }
json to_json(const Reign& reign) {
  return {{"epoch", reign.epoch}, {"writer", clean(reign.writer, kMaxName)}};
}
json to_json(const Version& v) {
  return {{"place", to_json(v.place)}, {"writer", v.writer}, {"digest", v.digest}, {"text", v.text}};
}
json to_json(const BrokerStatus& b) {
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(b.age).count();
  return {{"name", clean(b.name, kMaxName)},
          {"region", clean(b.region, kMaxName)},
          {"in_force", to_json(b.in_force)},
          {"refused", to_json(b.refused)},
          {"digest", b.digest},
          {"problem", clean(b.problem, kMaxProblem)},
          {"connected", b.connected},
          {"age_ms", std::max<std::int64_t>(age, 0)}};
}

std::string_view to_text(Role role) {
  return role == Role::broker ? "broker" : role == Role::node ? "node" : "tool";
}

json body(const Hello& m) {
  return {{"kind", "hello"},
          {"protocol", m.protocol},
          {"fleet", clean(m.fleet, kMaxName)},
          {"name", clean(m.name, kMaxName)},
          {"region", clean(m.region, kMaxName)},
          {"role", to_text(m.role)},
          {"reign", to_json(m.reign)},
          {"have", to_json(m.have)},
          {"digest", m.digest}};
}
json body(const Welcome& m) {
  return {{"kind", "welcome"},
          {"protocol", m.protocol},
          {"fleet", clean(m.fleet, kMaxName)},
          {"name", clean(m.name, kMaxName)},
          {"reign", to_json(m.reign)},
          {"newest", to_json(m.newest)}};
}
json body(const Farewell& m) { return {{"kind", "farewell"}, {"reason", clean(m.reason, kMaxProblem)}}; }
json body(const Offer& m) { return {{"kind", "offer"}, {"version", to_json(m.version)}}; }
json body(const Report& m) {
  return {{"kind", "report"},
          {"in_force", to_json(m.in_force)},
          {"digest", m.digest},
          {"refused", to_json(m.refused)},
          {"problem", clean(m.problem, kMaxProblem)}};
}
json body(const Ping&) { return {{"kind", "ping"}}; }
json body(const Pong& m) { return {{"kind", "pong"}, {"reign", to_json(m.reign)}}; }
json body(const Publish& m) { return {{"kind", "publish"}, {"text", m.text}}; }
json body(const Published& m) { return {{"kind", "published"}, {"place", to_json(m.place)}}; }
json body(const Rejected& m) { return {{"kind", "rejected"}, {"problem", clean(m.problem, kMaxRejection)}}; }
json body(const AskStatus&) { return {{"kind", "ask_status"}}; }
json body(const Status& m) {
  json brokers = json::array();
  for (const auto& broker : m.brokers) brokers.push_back(to_json(broker));
  return {{"kind", "status"},
          {"node", clean(m.node, kMaxName)},
          {"region", clean(m.region, kMaxName)},
          {"reign", to_json(m.reign)},
          {"writes", m.writes},
          {"newest", to_json(m.newest)},
          {"digest", m.digest},
          {"brokers", std::move(brokers)}};
}

// ---- reading

// One object of a message; `at` is its path for errors.
class Reader {
 public:
  Reader(const json& value, std::string at) : value_(&value), at_(std::move(at)) {
    if (!value.is_object()) throw Malformed(at_ + ": not an object");
  }

  [[nodiscard]] std::string text(const char* name, std::size_t most) const {
    const json& found = member(name);
    if (!found.is_string()) throw Malformed(path(name) + ": not a text");
    const auto& out = found.get_ref<const std::string&>();
    if (out.size() > most)
      throw Malformed(path(name) + ": " + std::to_string(out.size()) + " bytes, at most " +
                      std::to_string(most));
    return out;
  }
  // As it stands in logs and lines of the status: nothing in it may start a new one.
  [[nodiscard]] std::string name(const char* member_name, bool may_be_empty = false) const {
    std::string out = text(member_name, kMaxName);
    if (out.empty() && !may_be_empty) throw Malformed(path(member_name) + ": empty");
    const auto control = [](char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7F; };
    if (std::any_of(out.begin(), out.end(), control))
      throw Malformed(path(member_name) + ": a control character");
    return out;
  }
  [[nodiscard]] std::uint64_t number(const char* name, std::uint64_t most = kMaxNumber) const {
    const json& found = member(name);
    if (!found.is_number()) throw Malformed(path(name) + ": not a number");
    if (!found.is_number_unsigned() || found.get<std::uint64_t>() > most)
      throw Malformed(path(name) + ": not a whole number from 0 to " + std::to_string(most));
    return found.get<std::uint64_t>();
  }
  [[nodiscard]] bool flag(const char* name) const {
    const json& found = member(name);
    if (!found.is_boolean()) throw Malformed(path(name) + ": neither true nor false");
    return found.get<bool>();
  }
  [[nodiscard]] Reader object(const char* name) const { return {member(name), path(name)}; }
  [[nodiscard]] const json& list(const char* name, std::size_t most) const {
    const json& found = member(name);
    if (!found.is_array()) throw Malformed(path(name) + ": not a list");
    if (found.size() > most) throw Malformed(path(name) + ": more than " + std::to_string(most) + " entries");
    return found;
  }
  [[nodiscard]] std::string path(const char* name) const { return at_ + "." + name; }

  [[nodiscard]] Place place(const char* name) const {
    const Reader in = object(name);
    return {in.number("epoch"), in.number("number")};
  }
  [[nodiscard]] Reign reign(const char* name) const {
    const Reader in = object(name);
    Reign out;
    out.epoch = in.number("epoch");
    out.writer = in.name("writer", out.epoch == 0);
    return out;
  }
  [[nodiscard]] std::string digest() const { return text("digest", kMaxDigest); }

 private:
  [[nodiscard]] const json& member(const char* name) const {
    const auto found = value_->find(name);
    if (found == value_->end()) throw Malformed(path(name) + ": missing");
    return *found;
  }

  const json* value_;
  std::string at_;
};

// Of another protocol nothing but its number is read: the other members may mean something else there.
unsigned protocol(const Reader& in) {
  return static_cast<unsigned>(in.number("protocol", std::numeric_limits<unsigned>::max()));
}

Message read_hello(const Reader& in) {
  Hello out;
  out.protocol = protocol(in);
  if (out.protocol != kProtocol) return out;
  out.fleet = in.name("fleet");
  out.name = in.name("name");
  out.region = in.name("region", true);
  const auto role = in.text("role", kMaxName);
  if (role == "broker") {
    out.role = Role::broker;
  } else if (role == "node") {
    out.role = Role::node;
  } else if (role == "tool") {
    out.role = Role::tool;
  } else {
    throw Malformed(in.path("role") + ": neither broker, node nor tool");
  }
  out.reign = in.reign("reign");
  out.have = in.place("have");
  out.digest = in.digest();
  return out;
}
Message read_welcome(const Reader& in) {
  Welcome out;
  out.protocol = protocol(in);
  if (out.protocol != kProtocol) return out;
  out.fleet = in.name("fleet");
  out.name = in.name("name");
  out.reign = in.reign("reign");
  out.newest = in.place("newest");
  return out;
}
Message read_offer(const Reader& in) {
  const Reader v = in.object("version");
  Version out;
  out.place = v.place("place");
  if (out.place.epoch == 0 || out.place.number == 0) throw Malformed(v.path("place") + ": 0 is no place");
  out.writer = v.name("writer");
  out.digest = v.digest();
  out.text = v.text("text", kMaxDocument);
  return Offer{std::move(out)};
}
Message read_report(const Reader& in) {
  return Report{in.place("in_force"), in.digest(), in.place("refused"), in.text("problem", kMaxProblem)};
}
Message read_status(const Reader& in) {
  Status out;
  out.node = in.name("node");
  out.region = in.name("region", true);
  out.reign = in.reign("reign");
  out.writes = in.flag("writes");
  out.newest = in.place("newest");
  out.digest = in.digest();
  const json& brokers = in.list("brokers", kMaxListed);
  out.brokers.reserve(brokers.size());
  for (std::size_t i = 0; i < brokers.size(); ++i) {
    const Reader b(brokers[i], in.path("brokers") + "[" + std::to_string(i) + "]");
    BrokerStatus s;
    s.name = b.name("name");
    s.region = b.name("region", true);
    s.in_force = b.place("in_force");
    s.refused = b.place("refused");
    s.digest = b.digest();
    s.problem = b.text("problem", kMaxProblem);
    s.connected = b.flag("connected");
    s.age = std::chrono::milliseconds(b.number("age_ms", 1'000'000'000'000));
    out.brokers.push_back(std::move(s));
  }
  return out;
}

Message read(const json& all) {
  if (!all.is_object()) throw Malformed("message: not an object");
  const std::string kind = Reader(all, "message").text("kind", kMaxName);
  const Reader in(all, clean(kind, kMaxName));
  if (kind == "hello") return read_hello(in);
  if (kind == "welcome") return read_welcome(in);
  if (kind == "farewell") return Farewell{in.text("reason", kMaxProblem)};
  if (kind == "offer") return read_offer(in);
  if (kind == "report") return read_report(in);
  if (kind == "ping") return Ping{};
  if (kind == "pong") return Pong{in.reign("reign")};
  if (kind == "publish") return Publish{in.text("text", kMaxDocument)};
  if (kind == "published") return Published{in.place("place")};
  if (kind == "rejected") return Rejected{in.text("problem", kMaxRejection)};
  if (kind == "ask_status") return AskStatus{};
  if (kind == "status") return read_status(in);
  throw Malformed("message.kind: " + clean(kind, kMaxName) + " is unknown");
}

}  // namespace

std::string clean(std::string_view text, std::size_t most) {
  std::string out;
  out.reserve(std::min(text.size(), most));
  for (std::size_t i = 0; i < text.size();) {
    const auto lead = static_cast<unsigned char>(text[i]);
    std::size_t length = lead < 0x80                   ? 1
                         : lead >= 0xC2 && lead < 0xE0 ? 2
                         : lead >= 0xE0 && lead < 0xF0 ? 3
                         : lead >= 0xF0 && lead < 0xF5 ? 4
                                                       : 0;
    bool good = length != 0 && i + length <= text.size();
    for (std::size_t k = 1; good && k < length; ++k) {
      const auto c = static_cast<unsigned char>(text[i + k]);
      good = (c & 0xC0U) == 0x80;
      if (k == 1) {  // overlong forms, surrogates, beyond U+10FFFF
        good = good && !(lead == 0xE0 && c < 0xA0) && !(lead == 0xED && c > 0x9F) &&
               !(lead == 0xF0 && c < 0x90) && !(lead == 0xF4 && c > 0x8F);
      }
    }
    if (!good) length = 1;
    if (out.size() + length > most) break;
    if (good) {
      out += text.substr(i, length);
    } else {
      out += '?';
    }
    i += length;
  }
  return out;
}

std::string encode(const Message& message) {
  if (std::holds_alternative<Ping>(message)) return std::string(kPing);
  try {
    return std::visit([](const auto& m) { return body(m).dump(); }, message);
  } catch (const json::exception&) {
    throw Malformed("text: not UTF-8");  // documents and writers' names alone go out as they are
  }
}

Message decode(std::string_view text) {
  if (text.size() > kMaxMessage)
    throw Malformed("message: " + std::to_string(text.size()) + " bytes, at most " +
                    std::to_string(kMaxMessage));
  if (text == kPing) return Ping{};
  std::size_t values = 0;
  // Called while the text is read, so that neither depth nor number of values grows with what a peer sends.
  const auto bound = [&values](int depth, json::parse_event_t, const json&) {
    if (depth > kMaxDepth) throw Malformed("message: nested deeper than " + std::to_string(kMaxDepth));
    if (++values > kMaxValues)
      throw Malformed("message: more than " + std::to_string(kMaxValues) + " values");
    return true;
  };
  try {
    return read(json::parse(text, bound));
  } catch (const json::exception& error) {
    throw Malformed("message: " + clean(error.what(), 160));  // it may quote all that was sent
  }
}

}  // namespace bellstair::control
