// Updates what is known about engines, classes and the fleet from outcomes of attempts and health checks.
#pragma once

#include "policy/class_table.hpp"
#include "policy/context.hpp"
#include "policy/fleet.hpp"
#include "policy/health_checker.hpp"
#include "policy/latency_monitor.hpp"
#include "policy/load_estimator.hpp"
#include "policy/outlier_detector.hpp"

namespace bellstair::policy {

/// Passes each outcome on to the estimators and to the outlier detector.
class OutcomeRecorder {
 public:
  OutcomeRecorder(const Context& context, Fleet& fleet, ClassTable& classes, LatencyMonitor& latency,
                  LoadEstimator& load, OutlierDetector& outliers, HealthChecker& health_checker)
      : context_(context),
        fleet_(fleet),
        classes_(classes),
        latency_(latency),
        load_(load),
        outliers_(outliers),
        health_checker_(health_checker) {}

  /// Records the outcome of an attempt that has already been marked as ended.
  void record(Engine& engine, const Request& request, const AttemptOutcome& outcome);
  void record(const HealthCheckResult& result);

 private:
  void record_served(Engine& engine, const Request& request, const AttemptOutcome& outcome);
  void record_rejected(Engine& engine);
  void record_connect_failed(Engine& engine);
  void record_reset(Engine& engine);
  void record_errors_of_engines(const Request& request, const Engine& served_by);

  const Context& context_;
  Fleet& fleet_;
  ClassTable& classes_;
  LatencyMonitor& latency_;
  LoadEstimator& load_;
  OutlierDetector& outliers_;
  HealthChecker& health_checker_;
};

}  // namespace bellstair::policy
