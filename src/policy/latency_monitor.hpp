// Compares the latencies of engines and of the fleet with the latencies expected for their queries.
#pragma once

#include <vector>

#include "policy/context.hpp"
#include "policy/engine_state.hpp"

namespace bellstair::policy {

/// Keeps moving averages of latency ratios: an answer's latency over the latency expected for the query's
/// work.
class LatencyMonitor {
 public:
  explicit LatencyMonitor(const Context& context) : context_(context) {}

  /// Records an answer of this engine to this broker.
  void record_answer(Engine& engine, double ratio);
  /// Records an answer of this engine to this broker or to another one.
  static void record_engine_ratio(Engine& engine, double ratio);

  [[nodiscard]] double fleet_ratio() const { return fleet_ratio_; }

  /// Factor by which the engine is slower than the fleet, for instance because another program uses its
  /// cores; 1 while chance explains the difference. Load reports don't show this.
  [[nodiscard]] double slowness(const Engine& engine) const;

  /// Caps the ratios of engines without a recent answer, so that a slow engine is tried again.
  void cap_stale_ratios(const std::vector<Engine*>& engines) const;

 private:
  const Context& context_;
  double fleet_ratio_ = 1;
};

}  // namespace bellstair::policy
