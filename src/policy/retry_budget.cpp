#include "policy/retry_budget.hpp"

namespace bellstair::policy {

bool RetryBudgetLimiter::allows_retry() {
  if (!context_.settings.retry_budget) return true;
  const auto& budget = *context_.settings.retry_budget;
  remove_expired();
  const double limit = budget.min_retries + budget.ratio * static_cast<double>(requests_.size());
  return static_cast<double>(retries_.size() + 1) <= limit;
}

// A request exactly at the edge of the window no longer counts; a retry there still does.
void RetryBudgetLimiter::remove_expired() {
  const auto& budget = context_.settings.retry_budget;
  const Time begin = context_.now - (budget ? budget->window : Time::zero());
  while (!requests_.empty() && requests_.front() <= begin) requests_.pop_front();
  while (!retries_.empty() && retries_.front() < begin) retries_.pop_front();
}

}  // namespace bellstair::policy
