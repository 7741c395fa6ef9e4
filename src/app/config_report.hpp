// Counts, formats and prints the results of `bellstair config`.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "app/config_tool.hpp"
#include "app/node_poller.hpp"

namespace bellstair::app::config_tool {

// Sorts brokers by whether one version is active at them. A broker with a version of a later epoch does not
// count as active: the leader of that epoch may never have received this version.
struct BrokerCount {
  std::size_t connected = 0, active = 0;
  // These point into `brokers`, which must outlive this object.
  std::vector<const Broker*> rejecting, behind, disconnected;

  BrokerCount(const std::map<std::string, Broker>& brokers, control::VersionId id, const std::string& digest);
};

// Lists the first brokers, each formatted by `show`, and how many more there are.
[[nodiscard]] std::string join(const std::vector<const Broker*>& brokers,
                               const std::function<std::string(const Broker&)>& show);
[[nodiscard]] std::string show_version(control::VersionId id);  // "none" if there is no version
[[nodiscard]] std::string show_behind(const Broker& broker);
[[nodiscard]] std::string show_milliseconds(Time time);
void print_rejecting(const std::vector<const Broker*>& brokers);

[[nodiscard]] int exit_status(Outcome outcome);
// Prints the reason as an error, and returns the exit status.
[[nodiscard]] int fail(Outcome outcome, const std::string& reason);

}  // namespace bellstair::app::config_tool
