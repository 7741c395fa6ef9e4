// What a control node remembers of each broker, connected or gone, for the operator's status.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "control/node_effects.hpp"

namespace bellstair::control {

// Bounded: the connected are kept, and of the others those heard longest ago go first.
class BrokerRegistry {
 public:
  static constexpr std::size_t kMaxBrokers = 8192;

  void on_hello(Time now, PeerId peer, const Hello& hello);
  void on_report(Time now, PeerId peer, const std::string& name, BrokerReport report);
  // Any message of the connection that the broker was last seen on.
  void on_message(Time now, PeerId peer, const std::string& name);
  void on_disconnected(PeerId peer, const std::string& name);
  // Why the node does not serve the broker, which has said Hello.
  void set_reason(const std::string& name, const std::string& reason);

  // By name.
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
