#include "policy/class_table.hpp"

#include <algorithm>

namespace bellstair::policy {
namespace {
constexpr double kArrivalStep = 0.02;  // weight of one request in the mean work of arrivals

double mean_work(const ClassState& cls) { return cls.estimates.mean_work(); }
}  // namespace

ClassTable::ClassTable(const Settings& settings) : settings_(settings) {
  const auto count = settings.classes.size();
  classes_.reserve(count);
  for (const auto& cls : settings.classes) {
    by_rank_.push_back(static_cast<ClassIndex>(by_rank_.size()));
    classes_.push_back({{}, 0, ClassEstimates(cls)});
    mean_arriving_work_ += mean_work(classes_.back()) / static_cast<double>(count);
  }
  update_ranks();
}

void ClassTable::update_ranks() {
  std::ranges::sort(by_rank_);
  std::ranges::stable_sort(by_rank_, [this](ClassIndex left, ClassIndex right) {
    const auto& a = settings_.classes[left];
    const auto& b = settings_.classes[right];
    if (a.latency_objective != b.latency_objective) return a.latency_objective < b.latency_objective;
    return a.priority_weight > b.priority_weight;
  });
}

double ClassTable::running_threads() const {
  double sum = 0;
  for (const auto& cls : classes_) sum += cls.running_threads;
  return sum;
}

double ClassTable::lightest_work() const {
  return mean_work(*std::ranges::min_element(classes_, {}, mean_work));
}

double ClassTable::heaviest_work() const {
  return mean_work(*std::ranges::max_element(classes_, {}, mean_work));
}

double ClassTable::expected_work(const Request& request) const {
  return classes_[request.arrival.cls].estimates.mean_work() * request.relative_size;
}

double ClassTable::expected_latency(const Request& request) const {
  return classes_[request.arrival.cls].estimates.median_latency() * request.relative_size;
}

void ClassTable::record_arrival(ClassIndex cls) {
  mean_arriving_work_ += kArrivalStep * (mean_work(classes_[cls]) - mean_arriving_work_);
}

}  // namespace bellstair::policy
