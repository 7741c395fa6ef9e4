#include "policy/class_estimates.hpp"

#include <algorithm>

#include "policy/units.hpp"

namespace bellstair::policy {
namespace {
constexpr double kInitialLatencyFraction = 0.5;  // of the latency objective
constexpr double kAverageStep = 0.05;            // weight of one answer in a moving average
constexpr double kMedianStep = 0.1;              // fraction of the median by which one answer moves it
constexpr double kMinRelativeSize = 0.2;
constexpr double kMaxRelativeSize = 40;
constexpr double kMaxEstimateInMean = 3;  // limit on one estimate, as a multiple of the mean
constexpr double kMinExpectedSeconds = 0.02;
constexpr double kMinLatencyRatio = 0.2;
constexpr double kMaxLatencyRatio = 8.0;
constexpr int kBaselineBatch = 10;  // answers
// The baseline falls quickly and rises slowly, so that an overload does not soon raise it.
constexpr double kBaselineStepDown = 0.5;
constexpr double kBaselineStepUp = 0.05;

// Weight of the next value in a mean that starts with the first one.
double step_from(double mean) { return mean > 0 ? kAverageStep : 1; }
}  // namespace

ClassEstimates::ClassEstimates(const ClassSettings& settings)
    : mean_latency_(to_seconds(settings.latency_objective) * kInitialLatencyFraction),
      baseline_latency_(mean_latency_),
      median_latency_(mean_latency_),
      mean_work_(to_seconds(settings.latency_objective) * kInitialLatencyFraction * settings.threads) {}

double ClassEstimates::relative_size(const std::optional<Time>& estimated_work) {
  if (!estimated_work || *estimated_work <= Time::zero()) return 1;
  auto& mean = mean_estimated_work_;
  const double work = to_seconds(*estimated_work);
  mean += mean > 0 ? kAverageStep * (std::min(work, kMaxEstimateInMean * mean) - mean) : work;
  return std::clamp(work / mean, kMinRelativeSize, kMaxRelativeSize);
}

double ClassEstimates::update(const Request& request, const AttemptOutcome& outcome, double threads,
                              bool measures_memory) {
  const double latency = to_seconds(outcome.latency);
  const double size = request.relative_size;
  mean_latency_ += kAverageStep * (latency - mean_latency_);
  median_latency_ *= latency > median_latency_ * size ? 1 + kMedianStep : 1 - kMedianStep;
  if (measures_memory && outcome.work) update_memory(request, outcome);
  const double work = outcome.work ? to_seconds(*outcome.work) : latency * threads;
  mean_work_ += kAverageStep * (work / size - mean_work_);
  const double expected =
      outcome.work ? std::max(kMinExpectedSeconds, work / threads) : baseline_latency_ * size;
  update_baseline(latency);
  return std::clamp(latency / expected, kMinLatencyRatio, kMaxLatencyRatio);
}

void ClassEstimates::update_memory(const Request& request, const AttemptOutcome& outcome) {
  mean_memory_mb_ += step_from(mean_memory_mb_) * (outcome.memory_mb - mean_memory_mb_);
  const double estimated = request.arrival.estimated_memory_mb;
  if (!(estimated > 0)) return;
  mean_estimated_memory_mb_ += step_from(mean_estimated_memory_mb_) * (estimated - mean_estimated_memory_mb_);
}

void ClassEstimates::update_baseline(double latency) {
  batch_latency_sum_ += latency;
  if (++batch_size_ < kBaselineBatch) return;
  const double mean = batch_latency_sum_ / batch_size_;
  const double step = mean < baseline_latency_ ? kBaselineStepDown : kBaselineStepUp;
  baseline_latency_ += step * (mean - baseline_latency_);
  batch_latency_sum_ = 0;
  batch_size_ = 0;
}

double ClassEstimates::memory_correction() const {
  return mean_estimated_memory_mb_ > 0 ? mean_memory_mb_ / mean_estimated_memory_mb_ : 1;
}

}  // namespace bellstair::policy
