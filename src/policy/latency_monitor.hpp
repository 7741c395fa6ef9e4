// How slow engines and the fleet answer, against what their queries let expect.
#pragma once

#include <vector>

#include "policy/context.hpp"
#include "policy/engine_state.hpp"

namespace bellstair::policy {

/// Moving latency ratios: an answer's latency over what the query's own work lets expect.
class LatencyMonitor {
 public:
  explicit LatencyMonitor(const Context& context) : context_(context) {}

  /// An answer of this engine to this broker.
  void record_answer(Engine& engine, double ratio);
  /// An answer of this engine to this broker or to another one.
  static void record_engine_ratio(Engine& engine, double ratio);

  [[nodiscard]] double fleet_ratio() const { return fleet_ratio_; }

  /// Times that the engine is slower than the fleet, as when another program takes a part of it; 1 up to what
  /// chance explains. Load reports don't show it.
  [[nodiscard]] double slowness(const Engine& engine) const;

  /// Gives slow engines without a recent answer another chance.
  void cap_stale_ratios(const std::vector<Engine*>& engines) const;

 private:
  const Context& context_;
  double fleet_ratio_ = 1;
};

}  // namespace bellstair::policy
