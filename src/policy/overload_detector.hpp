// Detects overload of the fleet, and sets how far concurrency is reduced.
#pragma once

#include "policy/context.hpp"
#include "policy/fleet.hpp"
#include "policy/latency_monitor.hpp"
#include "policy/load_estimator.hpp"

namespace bellstair::policy {

/// Threads a core of all brokers above which the fleet is overloaded.
inline constexpr double kOverloadThreadsPerCore = 1.5;

/// Detects overload from the fleet's load level or, if that is not known, from its latency ratio.
class OverloadDetector {
 public:
  OverloadDetector(const Context& context, const Fleet& fleet, const LatencyMonitor& latency,
                   const LoadEstimator& load)
      : context_(context), fleet_(fleet), latency_(latency), load_(load) {}

  [[nodiscard]] bool is_overloaded() const;

  /// Factor, at most 1, on all limits in threads a core.
  [[nodiscard]] double limit_factor() const { return limit_factor_; }

  /// Adapts the factor, once in each control period. A fleet that is slower than usual runs too many threads
  /// for its peak throughput; how many threads give the peak depends on the present mix of queries.
  void adapt();

 private:
  const Context& context_;
  const Fleet& fleet_;
  const LatencyMonitor& latency_;
  const LoadEstimator& load_;
  double limit_factor_ = 1;
};

}  // namespace bellstair::policy
