// Load shedding: rejects requests on arrival or after queueing, so that others are answered in time.
#pragma once

#include <optional>
#include <vector>

#include "policy/class_table.hpp"
#include "policy/context.hpp"
#include "policy/latency_monitor.hpp"
#include "policy/load_estimator.hpp"
#include "policy/overload_detector.hpp"
#include "policy/tenant_quotas.hpp"

namespace bellstair::policy {

/// Decides by tenant quotas, the load of the fleet and the expected latency.
class LoadShedder {
 public:
  LoadShedder(const Context& context, const ClassTable& classes, const LatencyMonitor& latency,
              const LoadEstimator& load, const OverloadDetector& overload, TenantQuotas& quotas);

  /// Returns why a newly arrived request is rejected, or nullopt if it is admitted. Takes a quota token.
  [[nodiscard]] std::optional<UnservedReason> reject_on_arrival(const Request& request);

  /// How long the request may be queued before its answer would miss the latency objective.
  [[nodiscard]] Time max_queue_time(const Request& request) const;

  /// Applies settings that have changed from `previous`.
  void reconfigure(const Settings& previous);

 private:
  [[nodiscard]] bool is_over_quota(const RequestArrival& arrival);
  [[nodiscard]] bool is_overdue(const RequestArrival& arrival);
  [[nodiscard]] bool is_too_big(const Request& request) const;
  [[nodiscard]] double work_per_weight(ClassIndex cls) const;
  [[nodiscard]] double full_objective(ClassIndex cls) const;  // seconds, of a query at baseline latency

  const Context& context_;
  const ClassTable& classes_;
  const LatencyMonitor& latency_;
  const LoadEstimator& load_;
  const OverloadDetector& overload_;
  TenantQuotas& quotas_;
  std::vector<Time> longest_time_left_;  // by class: the largest time_left on arrival
};

}  // namespace bellstair::policy
