// The retry budget: limits the retries in a sliding window by the number of requests in it.
#pragma once

#include <deque>

#include "policy/context.hpp"

namespace bellstair::policy {

/// Counts the requests and the retries of the last Settings::retry_budget.window. Without a retry budget in
/// the settings, all retries are allowed.
class RetryBudgetLimiter {
 public:
  explicit RetryBudgetLimiter(const Context& context) : context_(context) {}

  void record_request() { requests_.push_back(context_.now); }
  void record_retry() { retries_.push_back(context_.now); }

  [[nodiscard]] bool allows_retry();
  void remove_expired();

 private:
  const Context& context_;
  std::deque<Time> requests_;
  std::deque<Time> retries_;
};

}  // namespace bellstair::policy
