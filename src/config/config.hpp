// What the program is told: the platform's JSON, read once into plain values.
#pragma once

#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "bellstair/policy/scheduler.hpp"
#include "core/events.hpp"

namespace bellstair::config {

// The text names the field; one line.
struct Invalid : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Names on the wire, to positions in the settings' lists.
struct Names {
  std::map<std::string, std::uint16_t, std::less<>> classes, zones, kinds;
  std::map<std::string, std::uint32_t, std::less<>> tenants;
  std::uint32_t no_tenant = 0;  // of requests that name none: the platform's first, or one beyond the list
  std::vector<std::string> class_names;
  std::vector<std::string> load_fields;
};

// Events of the change log.
struct Changes {
  std::uint64_t seq = 0;
  std::vector<core::EndpointUpdate> changes;
};

struct Config {
  std::string name, listen, changelog, peer_listen, peers_all;
  std::vector<std::string> peers;
  std::uint64_t seed = 0;
  std::size_t sockets = 1024, memory_mb = 192;
  core::Time connect_timeout{}, idle_close{};
  policy::Settings settings;
  Names names;
  Changes initial_changes;
  std::map<std::string, std::string> restart_only;  // what needs a restart to change, as text, by field
};

// Reads the file at `path`; throws Invalid, also where there is none.
[[nodiscard]] std::string read_file(const std::string& path, const char* what);
[[nodiscard]] Config parse(std::string_view json);
[[nodiscard]] Changes parse_changes(std::string_view json, const Names& names);

}  // namespace bellstair::config
