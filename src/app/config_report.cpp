#include "app/config_report.hpp"

#include <algorithm>
#include <chrono>
#include <cstdio>

#include "hcl/reader.hpp"

namespace bellstair::app::config_tool {
namespace {

constexpr std::size_t kMaxNamed = 20;  // brokers listed by name at once

}  // namespace

BrokerCount::BrokerCount(const std::map<std::string, Broker>& brokers, control::VersionId id,
                         const std::string& digest) {
  for (const auto& [name, broker] : brokers) {
    const auto& status = broker.status;
    if (!status.connected) {
      disconnected.push_back(&broker);
      continue;
    }
    ++connected;
    const auto& active_version = status.active_version;
    const bool is_reached = active_version == id ? status.digest == digest : active_version > id;
    if (is_reached && active_version.epoch == id.epoch) {
      ++active;
    } else if (status.rejected_version >= id && id != control::VersionId{}) {
      rejecting.push_back(&broker);
    } else {
      behind.push_back(&broker);
    }
  }
}

std::string join(const std::vector<const Broker*>& brokers,
                 const std::function<std::string(const Broker&)>& show) {
  std::string out;
  for (std::size_t i = 0; i < std::min(brokers.size(), kMaxNamed); ++i)
    out += (i == 0 ? "" : ", ") + show(*brokers[i]);
  if (brokers.size() > kMaxNamed) out += " and " + std::to_string(brokers.size() - kMaxNamed) + " more";
  return out;
}

std::string show_version(control::VersionId id) {
  return id == control::VersionId{} ? "none" : control::to_text(id);
}

// If this shows the expected version itself, the broker has that version with another text.
std::string show_behind(const Broker& broker) {
  return broker.status.name + " (" + show_version(broker.status.active_version) + ", at " + broker.node + ")";
}

std::string show_milliseconds(Time time) {
  return hcl::format_duration(std::chrono::ceil<std::chrono::milliseconds>(time));
}

void print_rejecting(const std::vector<const Broker*>& brokers) {
  for (std::size_t i = 0; i < std::min(brokers.size(), kMaxNamed); ++i) {
    const auto& status = brokers[i]->status;
    std::printf("%s: rejected by %s (%s): %s\n", control::to_text(status.rejected_version).c_str(),
                status.name.c_str(), status.region.c_str(), status.reason.c_str());
  }
  if (brokers.size() > kMaxNamed)
    std::printf("and rejected by %zu more brokers\n", brokers.size() - kMaxNamed);
}

int exit_status(Outcome outcome) { return static_cast<int>(outcome); }

int fail(Outcome outcome, const std::string& reason) {
  std::fflush(stdout);
  std::fprintf(stderr, "bellstair: %s\n", reason.c_str());
  return exit_status(outcome);
}

}  // namespace bellstair::app::config_tool
