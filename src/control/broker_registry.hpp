// The last reported state of each broker, connected or not, for the operator's status.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "control/node_effects.hpp"

namespace bellstair::control {

// Bounded: at the limit, disconnected brokers are evicted before connected ones, and among them the one whose
// last message is the oldest.
class BrokerRegistry {
 public:
  static constexpr std::size_t kMaxBrokers = 8192;

  void on_hello(Time now, PeerId peer, const Hello& hello);
  void on_report(Time now, PeerId peer, const std::string& name, BrokerReport report);
  // Called for any message; counts only on the broker's latest connection.
  void on_message(Time now, PeerId peer, const std::string& name);
  void on_disconnected(PeerId peer, const std::string& name);
  // Records why the node rejects the broker. Must follow on_hello().
  void set_reason(const std::string& name, const std::string& reason);

  // Ordered by name.
  [[nodiscard]] std::vector<BrokerStatus> statuses(Time now) const;

 private:
  struct Entry {
    BrokerStatus status;
    Time last_message{};
    PeerId peer = 0;  // 0: not connected
  };

  Entry& find_or_add(Time now, const std::string& name);
  void evict_one();

  std::map<std::string, Entry> entries_;
};

}  // namespace bellstair::control
