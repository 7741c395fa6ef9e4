// Chooses the engine that a request is sent to.
#pragma once

#include <vector>

#include "policy/class_table.hpp"
#include "policy/context.hpp"
#include "policy/data_group_affinity.hpp"
#include "policy/endpoint_scorer.hpp"
#include "policy/fleet.hpp"
#include "policy/health_checker.hpp"
#include "policy/load_estimator.hpp"
#include "policy/outlier_detector.hpp"
#include "policy/send_rules.hpp"

namespace bellstair::policy {

/// The modules that the selector uses.
struct SelectorInputs {
  const Fleet& fleet;
  const ClassTable& classes;
  const LoadEstimator& load;
  const OutlierDetector& outliers;
  const SendRules& rules;
  const EndpointScorer& scorer;
  SlowStart& slow_start;
  DataGroupAffinity& affinity;
  HealthChecker& health_checker;
};

/// Compares all engines of a small fleet. In a large fleet, compares the engines with the newest reports and
/// a few engines chosen at random.
class EndpointSelector {
 public:
  EndpointSelector(Context& context, SelectorInputs inputs) : context_(context), inputs_(inputs) {}

  /// The engine to send the request to now; nullptr if no engine is eligible, or while the request waits for
  /// the health checks sent for it. Makes one random draw for each eligible engine and, in a large fleet, for
  /// each candidate chosen at random.
  [[nodiscard]] Engine* select(Request& request);

 private:
  [[nodiscard]] const std::vector<Engine*>& candidates(const Request& request);
  void add_candidate(Engine* engine);
  [[nodiscard]] bool awaits_health_checks(Request& request, const std::vector<Engine*>& engines);
  [[nodiscard]] bool is_eligible(const Request& request, Engine& engine) const;
  [[nodiscard]] double score_noise() const;  // threads a core

  Context& context_;
  SelectorInputs inputs_;
  std::vector<Engine*> candidates_;  // of the last selection in a large fleet
  std::uint64_t comparison_ = 0;     // number of that selection
};

}  // namespace bellstair::policy
