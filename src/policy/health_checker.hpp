// Health checks and their budget.
#pragma once

#include "policy/context.hpp"
#include "policy/engine_state.hpp"

namespace bellstair::policy {

/// Sends health checks, at most one for each request on average.
class HealthChecker {
 public:
  explicit HealthChecker(const Context& context);

  /// A request has arrived: it adds to the budget.
  void record_request();

  /// Sends a check if the budget allows it; returns whether it did.
  bool check(Engine& engine);
  /// Sends a check if the engine's last report is old and the budget holds `reserve` checks beside this one.
  bool check_if_stale(Engine& engine, double reserve);

 private:
  const Context& context_;
  const bool reports_have_load_;
  double tokens_ = 0;  // checks
};

}  // namespace bellstair::policy
