// Rates how suitable an engine is for a request: whether it has capacity left, and a score to compare
// engines.
#pragma once

#include "policy/class_table.hpp"
#include "policy/context.hpp"
#include "policy/data_group_affinity.hpp"
#include "policy/fleet.hpp"
#include "policy/latency_monitor.hpp"
#include "policy/load_estimator.hpp"
#include "policy/overload_detector.hpp"
#include "policy/slow_start.hpp"

namespace bellstair::policy {

/// Whether a request of this broker that is in flight at the engine locks the request's data group there.
[[nodiscard]] bool is_data_group_locked(const Request& request, const Engine& engine);

/// Rates engines by their estimated load and their present capacity.
class EndpointScorer {
 public:
  EndpointScorer(const Context& context, const Fleet& fleet, const ClassTable& classes,
                 const SlowStart& slow_start, const LatencyMonitor& latency, const LoadEstimator& load,
                 const OverloadDetector& overload, DataGroupAffinity& affinity);

  /// Whether the engine has capacity for a query of the class: the query fits this broker's share of the
  /// engine, or exceeds the share while the engine is not overloaded or answers at its usual speed.
  [[nodiscard]] bool has_capacity(const Engine& engine, ClassIndex cls) const;

  /// Threads a core that the engine would run with the request, plus penalties in the same unit. The engine
  /// with the lowest score is the best.
  [[nodiscard]] double score(const Request& request, const Engine& engine) const;

  /// Whether some class waits for data groups that are locked. If so, scores ignore cached data.
  [[nodiscard]] bool ignores_affinity() const { return ignores_affinity_; }

 private:
  [[nodiscard]] double limit_factor(ClassIndex cls) const;

  const Context& context_;
  const Fleet& fleet_;
  const ClassTable& classes_;
  const SlowStart& slow_start_;
  const LatencyMonitor& latency_;
  const LoadEstimator& load_;
  const OverloadDetector& overload_;
  DataGroupAffinity& affinity_;
  const bool ignores_affinity_;
};

}  // namespace bellstair::policy
