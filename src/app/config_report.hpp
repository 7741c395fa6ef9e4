// What `bellstair config` tells of brokers, nodes and its own end, in words.
#pragma once

#include <cstdio>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "app/config_nodes.hpp"
#include "app/config_tool.hpp"
#include "hcl/reader.hpp"

namespace bellstair::app::config_tool {

inline constexpr std::size_t kMaxNamed = 20;  // brokers by name in one line of text

// Brokers by what is in force at them, against one version. One of a later epoch is not a later form of it:
// that writer may never have seen it.
struct Count {
  std::size_t connected = 0, in_force = 0;
  std::vector<const Broker*> refused, behind, gone;

  Count(const std::map<std::string, Broker>& brokers, Place place, const std::string& digest) {
    for (const auto& [name, broker] : brokers) {
      const auto& status = broker.status;
      if (!status.connected) {
        gone.push_back(&broker);
        continue;
      }
      ++connected;
      const bool same = status.in_force == place ? status.digest == digest : status.in_force > place;
      if (same && status.in_force.epoch == place.epoch) {
        ++in_force;
      } else if (status.refused >= place && place != Place{}) {
        refused.push_back(&broker);
      } else {
        behind.push_back(&broker);
      }
    }
  }
};

inline std::string joined(const std::vector<const Broker*>& brokers,
                          const std::function<std::string(const Broker&)>& show) {
  std::string out;
  for (std::size_t i = 0; i < std::min(brokers.size(), kMaxNamed); ++i)
    out += (i == 0 ? "" : ", ") + show(*brokers[i]);
  if (brokers.size() > kMaxNamed) out += " and " + std::to_string(brokers.size() - kMaxNamed) + " more";
  return out;
}

inline std::string show_place(Place place) { return place == Place{} ? "none" : control::to_text(place); }

inline std::string show_behind(const Broker& broker) {
  const auto& in_force = broker.status.in_force;  // that of the version asked for: with another text
  return broker.status.name + " (" + show_place(in_force) + ", at " + broker.node + ")";
}

inline void print_refused(const std::vector<const Broker*>& brokers) {
  for (std::size_t i = 0; i < std::min(brokers.size(), kMaxNamed); ++i) {
    const auto& status = brokers[i]->status;
    std::printf("%s: refused by %s (%s): %s\n", control::to_text(status.refused).c_str(), status.name.c_str(),
                status.region.c_str(), status.problem.c_str());
  }
  if (brokers.size() > kMaxNamed) std::printf("and by %zu more\n", brokers.size() - kMaxNamed);
}

inline std::string out_of_reach(const Nodes::Node& node) {
  return "out of reach: " + (node.problem.empty() ? std::string("no answer yet") : node.problem);
}

inline std::string show_ms(Time time) {
  return hcl::show_duration(std::chrono::ceil<std::chrono::milliseconds>(time));
}

inline int status_of(Outcome outcome) { return static_cast<int>(outcome); }

inline int fail(Outcome outcome, const std::string& what) {
  std::fflush(stdout);
  std::fprintf(stderr, "bellstair: %s\n", what.c_str());
  return status_of(outcome);
}

// The commands; each gives the status of the process.
[[nodiscard]] int config_status(const std::string& file, bool as_json);
[[nodiscard]] int config_publish(const std::string& document, const std::string& file, Time wait);

}  // namespace bellstair::app::config_tool
