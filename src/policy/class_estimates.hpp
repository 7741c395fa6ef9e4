// What answers have told about the queries of one class: latency, work and memory.
#pragma once

#include <optional>

#include "bellstair/policy/settings.hpp"
#include "policy/request.hpp"

namespace bellstair::policy {

/// Moving estimates of one class. Latencies are in seconds, work is in core-seconds.
class ClassEstimates {
 public:
  /// Before any answer, estimates follow from the class's latency objective.
  explicit ClassEstimates(const ClassSettings& settings);

  /// The size of a query over its class's mean by the estimates of work, which it goes into; 1 without one.
  /// Estimates are off by class, so they only compare queries of one class.
  double relative_size(const std::optional<Time>& estimated_work);

  /// Learns from a served query of a class with `threads` a query; returns its latency over what its own size
  /// lets expect, so that the length of a query does not count against its engine.
  double update(const Request& request, const AttemptOutcome& outcome, double threads, bool learns_memory);

  [[nodiscard]] double mean_latency() const { return mean_latency_; }
  [[nodiscard]] double baseline_latency() const { return baseline_latency_; }  // while all was well
  [[nodiscard]] double median_latency() const { return median_latency_; }      // of a query of size 1
  [[nodiscard]] double mean_work() const { return mean_work_; }                // of a query of size 1
  [[nodiscard]] double mean_memory_mb() const { return mean_memory_mb_; }      // 0: not known

  /// Memory needed over memory estimated; 1 if not known.
  [[nodiscard]] double memory_correction() const;

 private:
  void learn_memory(const Request& request, const AttemptOutcome& outcome);
  void learn_baseline(double latency);

  double mean_latency_ = 0;
  double baseline_latency_ = 0;
  double median_latency_ = 0;
  double mean_work_ = 0;
  double mean_estimated_work_ = 0;
  double mean_memory_mb_ = 0;
  double mean_estimated_memory_mb_ = 0;
  double batch_latency_sum_ = 0;  // of answers that are not in the baseline yet
  double batch_size_ = 0;
};

}  // namespace bellstair::policy
