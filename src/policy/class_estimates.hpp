// Estimates of the latency, work and memory of one class's queries, from their answers.
#pragma once

#include <optional>

#include "bellstair/policy/settings.hpp"
#include "policy/request.hpp"

namespace bellstair::policy {

/// Moving averages for one class. Latencies are in seconds, work is in core-seconds.
class ClassEstimates {
 public:
  /// Until the first answer, the estimates follow from the class's latency objective.
  explicit ClassEstimates(const ClassSettings& settings);

  /// The size of a query relative to the mean of its class, by estimates of work; updates that mean. 1
  /// without an estimate. The error of estimates differs by class, so they only compare queries of one class.
  double relative_size(const std::optional<Time>& estimated_work);

  /// Updates the estimates from a served query of a class that uses `threads` per query. Returns its latency
  /// relative to that expected for its size, so that a long query does not count against its engine.
  double update(const Request& request, const AttemptOutcome& outcome, double threads, bool measures_memory);

  [[nodiscard]] double mean_latency() const { return mean_latency_; }
  [[nodiscard]] double baseline_latency() const { return baseline_latency_; }  // slow to rise under overload
  [[nodiscard]] double median_latency() const { return median_latency_; }      // of a query of size 1
  [[nodiscard]] double mean_work() const { return mean_work_; }                // of a query of size 1
  [[nodiscard]] double mean_memory_mb() const { return mean_memory_mb_; }      // 0: not known

  /// Ratio of the memory needed to the memory estimated; 1 if not known.
  [[nodiscard]] double memory_correction() const;

 private:
  void update_memory(const Request& request, const AttemptOutcome& outcome);
  void update_baseline(double latency);

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
