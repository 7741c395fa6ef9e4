// Parses the platform's configuration and change log, in JSON, into plain values.
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

// An invalid configuration; what() is one line that names the field.
struct Invalid : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Maps names on the wire to positions in the settings' lists.
struct Names {
  std::map<std::string, std::uint16_t, std::less<>> classes, zones, kinds;
  std::map<std::string, std::uint32_t, std::less<>> tenants;
  // For requests that name no tenant: the index of the platform's first, or an index beyond the list.
  std::uint32_t no_tenant = 0;
  std::vector<std::string> class_names;
  std::vector<std::string> load_fields;
};

// Events of the change log, up to number `seq`.
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
  std::map<std::string, std::string> restart_only;  // JSON text of fields that need a restart, by name
};

// Reads the file at `path`; throws Invalid if it cannot be read. `what` names the file in the error.
[[nodiscard]] std::string read_file(const std::string& path, const char* what);
[[nodiscard]] Config parse(std::string_view json);
[[nodiscard]] Changes parse_changes(std::string_view json, const Names& names);

}  // namespace bellstair::config
