#include "config/config.hpp"

#include <charconv>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "config/json_fields.hpp"
#include "policy/settings_check.hpp"
#include "simulator/settings_json.hpp"

namespace bellstair::config {
namespace {
using nlohmann::json;
using namespace std::chrono_literals;

template <class Number>
std::optional<Number> parse_hex(std::string_view digits) {
  Number value = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
  if (digits.empty() || error != std::errc() || end != digits.data() + digits.size()) return std::nullopt;
  return value;
}

// Every broker computes the same id for an engine: brokers refer to engines by id in messages to one another.
policy::EngineId engine_id(std::string_view name) {
  const auto dash = name.rfind('-');
  if (dash != std::string_view::npos && name.size() - dash == 9) {
    if (const auto id = parse_hex<std::uint32_t>(name.substr(dash + 1))) return *id;
  }
  std::uint32_t hash = 2166136261U;  // FNV-1a
  for (const char c : name) hash = (hash ^ static_cast<unsigned char>(c)) * 16777619U;
  return hash;
}

policy::EngineState parse_engine_state(std::string_view name) {
  if (name == "in_service") return policy::EngineState::ready;
  if (name == "terminating") return policy::EngineState::draining;
  if (name == "terminated") return policy::EngineState::gone;
  fail("servers[].state", "has an unknown value");
}

core::EndpointRecord parse_endpoint(const json& in, const Names& names) {
  object(in, "servers[]");
  core::EndpointRecord out;
  out.endpoint.engine = engine_id(text(require_member(in, "id"), "servers[].id"));
  out.endpoint.state = parse_engine_state(text(require_member(in, "state"), "servers[].state"));
  out.address = text_or_empty(in, "addr");
  if (out.address.empty() && out.endpoint.state != policy::EngineState::gone)
    fail("servers[].addr", "is missing");
  const auto index = [](const auto& map, const std::string& key) {
    const auto found = map.find(key);
    return found == map.end() ? static_cast<std::uint16_t>(0) : static_cast<std::uint16_t>(found->second);
  };
  out.endpoint.zone = index(names.zones, text_or_empty(in, "zone"));
  const auto kind = text_or_empty(in, "kind");
  if (!kind.empty() && !names.kinds.contains(kind))
    fail("servers[].kind", "is not one of the kinds in the settings");
  out.endpoint.kind = index(names.kinds, kind);
  if (const auto cell = in.find("cell"); cell != in.end() && cell->is_number_unsigned())
    out.endpoint.cell = cell->get<std::uint16_t>();
  if (const auto weight = in.find("weight"); weight != in.end() && weight->is_number())
    out.endpoint.weight = weight->get<double>();
  if (const auto started = in.find("started_ms"); started != in.end() && started->is_number())
    out.started_unix = std::chrono::milliseconds(started->get<std::int64_t>());
  return out;
}

Changes parse_changes(const json& in, const Names& names) {
  object(in, "changes");
  Changes out;
  out.seq = integer(require_member(in, "seq"), "seq");
  for (const json& result : list(require_member(in, "results"), "results")) {
    object(result, "results[]");
    const auto fleet = result.find("fleet");
    if (fleet == result.end()) continue;  // an event that is not about engines
    core::EndpointUpdate change;
    if (const auto seq = result.find("seq"); seq != result.end() && seq->is_number_unsigned())
      change.seq = seq->get<std::uint64_t>();
    if (const auto full = object(*fleet, "fleet").find("full"); full != fleet->end() && full->is_boolean())
      change.full = full->get<bool>();
    for (const json& server : list(require_member(*fleet, "servers"), "servers"))
      change.endpoints.push_back(parse_endpoint(server, names));
    out.changes.push_back(std::move(change));
  }
  return out;
}

Names parse_names(const json& settings) {
  Names out;
  const auto fill = [&](const char* key, auto& map, bool named) {
    const auto found = settings.find(key);
    if (found == settings.end() || found->is_null()) return;
    for (const json& item : list(*found, key)) {
      const auto index = static_cast<std::uint16_t>(map.size());
      map[named ? text(require_member(object(item, key), "name"), key) : text(item, key)] = index;
    }
  };
  fill("classes", out.classes, true);
  fill("tenants", out.tenants, true);
  fill("zones", out.zones, false);
  fill("kinds", out.kinds, false);
  out.class_names.resize(out.classes.size());
  for (const auto& [name, index] : out.classes) out.class_names[index] = name;
  if (const auto report = settings.find("report"); report != settings.end() && report->is_object()) {
    if (const auto fields = report->find("fields"); fields != report->end()) {
      for (const json& field : list(*fields, "report.fields"))
        out.load_fields.push_back(text(field, "report.fields"));
    }
  }
  return out;
}

void parse_addresses(const json& in, Config& out) {
  out.listen = text(require_member(in, "listen"), "listen");
  out.changelog = text(require_member(in, "changelog"), "changelog");
  out.peer_listen = text_or_empty(in, "peer_listen");
  out.peers_all = text_or_empty(in, "peers_all");
  if (const auto peers = in.find("peers"); peers != in.end() && !peers->is_null()) {
    for (const json& peer : list(*peers, "peers")) out.peers.push_back(text(peer, "peers[]"));
  }
  for (const auto& [field, value] : {std::pair("listen", out.listen),
                                     {"changelog", out.changelog},
                                     {"peer_listen", out.peer_listen},
                                     {"peers_all", out.peers_all}})
    check_address(value, field);
  for (const auto& peer : out.peers) check_address(peer, "peers[]");
}

void parse_limits(const json& in, Config& out) {
  const auto limits = in.find("limits");
  if (limits == in.end()) return;
  if (const auto sockets = object(*limits, "limits").find("sockets"); sockets != limits->end())
    out.sockets = integer(*sockets, "limits.sockets");
  if (const auto memory = limits->find("memory_mb"); memory != limits->end())
    out.memory_mb = integer(*memory, "limits.memory_mb");
}

void parse_settings(const json& in, Config& out) {
  try {
    out.settings = simulator::settings_from_json(in);
    policy::check_settings(out.settings);  // rejects contradictions before anything starts
  } catch (const std::exception& error) {
    throw Invalid(error.what());
  }
  out.names = parse_names(in);
}

void parse_timeouts(const json& settings, Config& out) {
  const json& ceilings = object(require_member(settings, "ceilings"), "settings.ceilings");
  const auto time_or = [&](const char* key, core::Time fallback) {
    const auto found = ceilings.find(key);
    return found == ceilings.end() ? fallback : core::Time(static_cast<std::int64_t>(integer(*found, key)));
  };
  out.connect_timeout = time_or("dial-timeout", 250ms);
  out.idle_close = time_or("idle-close", 30s);
}

}  // namespace

std::string read_file(const std::string& path, const char* what) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream out;
  if (path.empty() || !in || !(out << in.rdbuf()))
    throw Invalid(std::string(what) + ": cannot read '" + path + "'");
  return out.str();
}

Config parse(std::string_view in) {
  const json all = parse_json(in, "configuration");
  Config out;
  out.name = text_or_empty(all, "name");
  parse_addresses(all, out);
  const auto seed = parse_hex<std::uint64_t>(text(require_member(all, "seed"), "seed"));
  if (!seed) fail("seed", "is not a number in hex digits");
  out.seed = *seed;
  parse_limits(all, out);
  const json& settings = object(require_member(all, "settings"), "settings");
  parse_settings(settings, out);
  parse_timeouts(settings, out);
  for (const char* field : {"name", "listen", "peer_listen", "peers", "peers_all", "limits", "settings"})
    out.restart_only[field] = all.value(field, json()).dump(-1, ' ', false, json::error_handler_t::replace);
  if (const auto known = all.find("known"); known != all.end() && !known->is_null())
    out.initial_changes = parse_changes(*known, out.names);
  return out;
}

Changes parse_changes(std::string_view in, const Names& names) {
  return parse_changes(parse_json(in, "change log"), names);
}

}  // namespace bellstair::config
