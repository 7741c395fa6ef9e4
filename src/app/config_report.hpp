// What `bellstair config` prints of brokers, nodes and its own outcome.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "app/config_tool.hpp"
#include "app/node_poller.hpp"

namespace bellstair::app::config_tool {

// Brokers by what is active at them, against one version. One of a later epoch does not contain it: the
// leader of that epoch may never have seen the version.
struct BrokerCount {
  std::size_t connected = 0, active = 0;
  std::vector<const Broker*> rejecting, behind, gone;  // of `brokers`, which outlives this

  BrokerCount(const std::map<std::string, Broker>& brokers, control::VersionId id, const std::string& digest);
};

// The first of them by name, and how many more.
[[nodiscard]] std::string join(const std::vector<const Broker*>& brokers,
                               const std::function<std::string(const Broker&)>& show);
[[nodiscard]] std::string show_version(control::VersionId id);  // "none" without one
[[nodiscard]] std::string show_behind(const Broker& broker);
[[nodiscard]] std::string show_milliseconds(Time time);
void print_rejecting(const std::vector<const Broker*>& brokers);

[[nodiscard]] int exit_status(Outcome outcome);
// Prints the reason as an error, and returns the exit status.
[[nodiscard]] int fail(Outcome outcome, const std::string& reason);

}  // namespace bellstair::app::config_tool
