// Load shedding: requests that are rejected on arrival or after waiting, so that others are answered in time.
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

/// Decides by tenants' quotas, by the fleet's load and by the time that an answer would take.
class LoadShedder {
 public:
  LoadShedder(const Context& context, const ClassTable& classes, const LatencyMonitor& latency,
              const LoadEstimator& load, const OverloadDetector& overload, TenantQuotas& quotas);

  /// Why a request that has just arrived is not admitted; nothing if it is. Takes a token of its tenant.
  [[nodiscard]] std::optional<UnservedReason> reject_on_arrival(const Request& request);

  /// How long it may be queued before an answer would come too late for its latency objective.
  [[nodiscard]] Time max_queue_time(const Request& request) const;

  /// The settings have changed from `previous`.
  void reconfigure(const Settings& previous);

 private:
  [[nodiscard]] bool is_over_quota(const RequestArrival& arrival);
  [[nodiscard]] bool is_overdue(const RequestArrival& arrival);
  [[nodiscard]] bool is_too_big(const Request& request) const;
  [[nodiscard]] double work_per_weight(ClassIndex cls) const;
  [[nodiscard]] double full_objective(ClassIndex cls) const;  // s, of a usual query

  const Context& context_;
  const ClassTable& classes_;
  const LatencyMonitor& latency_;
  const LoadEstimator& load_;
  const OverloadDetector& overload_;
  TenantQuotas& quotas_;
  std::vector<Time> longest_time_left_;  // by class, that a request arrived with
};

}  // namespace bellstair::policy
