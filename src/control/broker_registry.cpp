#include "control/broker_registry.hpp"

#include <algorithm>
#include <utility>

namespace bellstair::control {

void BrokerRegistry::on_hello(Time now, PeerId peer, const Hello& hello) {
  Entry& entry = find_or_add(now, hello.name);
  entry.peer = peer;
  entry.status.region = hello.region;
  entry.status.active_version = hello.current;
  entry.status.digest = hello.digest;
  entry.status.rejected_version = {};
  entry.status.reason.clear();
  entry.status.connected = true;
}

void BrokerRegistry::on_report(Time now, PeerId peer, const std::string& name, BrokerReport report) {
  Entry& entry = find_or_add(now, name);
  entry.peer = peer;
  entry.status.connected = true;
  entry.status.active_version = report.active_version;
  entry.status.digest = std::move(report.digest);
  entry.status.rejected_version = report.rejected_version;
  entry.status.reason = std::move(report.reason);
}

void BrokerRegistry::on_message(Time now, PeerId peer, const std::string& name) {
  const auto found = entries_.find(name);
  if (found != entries_.end() && found->second.peer == peer) found->second.last_message = now;
}

void BrokerRegistry::on_disconnected(PeerId peer, const std::string& name) {
  const auto found = entries_.find(name);
  if (found == entries_.end() || found->second.peer != peer) return;
  found->second.peer = 0;
  found->second.status.connected = false;
}

void BrokerRegistry::set_reason(const std::string& name, const std::string& reason) {
  entries_.at(name).status.reason = reason;
}

std::vector<BrokerStatus> BrokerRegistry::statuses(Time now) const {
  std::vector<BrokerStatus> out;
  out.reserve(entries_.size());
  for (const auto& [name, entry] : entries_) {
    out.push_back(entry.status);
    out.back().age = std::max(now - entry.last_message, Time{});
  }
  return out;
}

BrokerRegistry::Entry& BrokerRegistry::find_or_add(Time now, const std::string& name) {
  if (!entries_.contains(name) && entries_.size() >= kMaxBrokers) evict_one();
  Entry& entry = entries_[name];
  entry.status.name = name;
  entry.last_message = now;
  return entry;
}

void BrokerRegistry::evict_one() {
  const auto is_evicted_before = [](const auto& a, const auto& b) {
    const bool a_connected = a.second.peer != 0, b_connected = b.second.peer != 0;
    return a_connected != b_connected ? b_connected : a.second.last_message < b.second.last_message;
  };
  entries_.erase(std::min_element(entries_.begin(), entries_.end(), is_evicted_before));
}

}  // namespace bellstair::control
