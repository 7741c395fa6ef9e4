// The classes of requests: their queues, running threads, estimates and order of rank.
#pragma once

#include <deque>
#include <vector>

#include "bellstair/policy/settings.hpp"
#include "policy/class_estimates.hpp"
#include "policy/request.hpp"

namespace bellstair::policy {

struct ClassState {
  std::deque<RequestId> queue;
  unsigned running_threads = 0;
  ClassEstimates estimates;
};

/// The state of all classes. Work is in core-seconds, latency in seconds.
class ClassTable {
 public:
  explicit ClassTable(const Settings& settings);

  /// Recomputes the ranks from the settings: the shortest latency objective first, then the highest weight.
  void update_ranks();

  [[nodiscard]] std::size_t size() const { return classes_.size(); }
  [[nodiscard]] ClassState& operator[](ClassIndex cls) { return classes_[cls]; }
  [[nodiscard]] const ClassState& operator[](ClassIndex cls) const { return classes_[cls]; }
  [[nodiscard]] const ClassState& at(ClassIndex cls) const { return classes_.at(cls); }
  [[nodiscard]] const std::vector<ClassIndex>& by_rank() const { return by_rank_; }
  [[nodiscard]] ClassIndex highest_rank() const { return by_rank_.front(); }
  [[nodiscard]] ClassIndex lowest_rank() const { return by_rank_.back(); }

  [[nodiscard]] double running_threads() const;
  [[nodiscard]] double lightest_work() const;
  [[nodiscard]] double heaviest_work() const;
  [[nodiscard]] double expected_work(const Request& request) const;
  [[nodiscard]] double expected_latency(const Request& request) const;

  /// Counts an arriving request of this class in mean_arriving_work().
  void record_arrival(ClassIndex cls);
  /// Moving average of the work of arriving requests.
  [[nodiscard]] double mean_arriving_work() const { return mean_arriving_work_; }

 private:
  const Settings& settings_;
  std::vector<ClassState> classes_;
  std::vector<ClassIndex> by_rank_;
  double mean_arriving_work_ = 0;
};

}  // namespace bellstair::policy
