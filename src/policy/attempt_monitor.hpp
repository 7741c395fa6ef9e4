// Monitors attempts in flight for slow progress, and engines that have stopped responding.
#pragma once

#include "policy/class_table.hpp"
#include "policy/context.hpp"
#include "policy/dispatcher.hpp"
#include "policy/fleet.hpp"
#include "policy/hedging_policy.hpp"
#include "policy/outlier_detector.hpp"
#include "policy/request_table.hpp"

namespace bellstair::policy {

/// Cancels slow or lost attempts for a retry, and ejects engines that send nothing while answers are overdue.
class AttemptMonitor {
 public:
  AttemptMonitor(const Context& context, const ClassTable& classes, Fleet& fleet, RequestTable& requests,
                 Dispatcher& dispatcher, HedgingPolicy& hedging, OutlierDetector& outliers)
      : context_(context),
        classes_(classes),
        fleet_(fleet),
        requests_(requests),
        dispatcher_(dispatcher),
        hedging_(hedging),
        outliers_(outliers) {}

  void record_progress(const AttemptProgress& progress);

  /// Checks all engines with attempts in flight, once in each tick.
  void check();

  /// Excludes the broker's own stall from the silence of engines: shifts all times of last contact by its
  /// length.
  void discount_stall();

 private:
  void check_engine(Engine& engine);
  [[nodiscard]] bool is_too_slow(const Request& request, const AttemptProgress& progress) const;
  [[nodiscard]] double overdue(const Request& request, const Attempt& attempt, Time silence) const;

  const Context& context_;
  const ClassTable& classes_;
  Fleet& fleet_;
  RequestTable& requests_;
  Dispatcher& dispatcher_;
  HedgingPolicy& hedging_;
  OutlierDetector& outliers_;
};

}  // namespace bellstair::policy
