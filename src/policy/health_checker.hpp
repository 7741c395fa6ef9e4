// Sends health checks within a budget.
#pragma once

#include "policy/context.hpp"
#include "policy/engine_state.hpp"

namespace bellstair::policy {

/// Limits health checks to one for each request on average.
class HealthChecker {
 public:
  explicit HealthChecker(const Context& context);

  /// Records that a request has arrived, which adds to the budget.
  void record_request();

  /// Sends a check if the budget allows it; returns whether it did.
  bool check(Engine& engine);
  /// Sends a check if the engine's last report or check is old and the budget holds `reserve` checks in
  /// addition to this one. Returns whether it did.
  bool check_if_stale(Engine& engine, double reserve);

 private:
  const Context& context_;
  const bool reports_have_load_;
  double tokens_ = 0;  // checks
};

}  // namespace bellstair::policy
