// Tracks health checks in flight to measure their latency.
#pragma once

#include <unordered_map>
#include <utility>
#include <vector>

#include "core/events.hpp"

namespace bellstair::core {

class HealthCheckTracker {
 public:
  void started(EngineId engine, Time now) { sent_at_[engine].push_back(now); }

  // Returns the result for the scheduler. Checks of an engine must end in the order in which they were sent.
  [[nodiscard]] policy::HealthCheckResult ended(HealthCheckEnded& ended, Time now) {
    policy::HealthCheckResult result;
    auto& sent_at = sent_at_[ended.engine];
    if (!sent_at.empty()) {
      result.latency = now - sent_at.front();
      sent_at.erase(sent_at.begin());
    }
    if (sent_at.empty()) sent_at_.erase(ended.engine);
    result.engine = ended.engine;
    result.result = ended.result;
    result.load = std::move(ended.load);
    return result;
  }

 private:
  std::unordered_map<EngineId, std::vector<Time>> sent_at_;
};

}  // namespace bellstair::core
