#include "policy/hedging_policy.hpp"

#include <algorithm>

#include "policy/units.hpp"

namespace bellstair::policy {
namespace {
// Age of an attempt, as a multiple of the request's expected latency.
constexpr double kHedgeAfter = 4;
constexpr double kCancelWithoutProgressAfter = 6;

constexpr double kBudgetFraction = 0.2;    // of the work of all requests
constexpr double kMaxBudgetRequests = 10;  // largest budget, in requests of the heaviest class
}  // namespace

void HedgingPolicy::record_request(ClassIndex cls) {
  const double added = kBudgetFraction * classes_[cls].estimates.mean_work();
  budget_ = std::min(budget_ + added, kMaxBudgetRequests * classes_.heaviest_work());
}

void HedgingPolicy::check(RequestId id, std::size_t attempt) {
  auto& request = requests_.at(id);
  if (!context_.settings.hedging || !request.open) return;
  const auto& sent = request.attempts[attempt];
  const double age = to_seconds(context_.now - sent.sent_at) / classes_.expected_latency(request);
  if (age < kHedgeAfter) return;
  const bool no_progress = sent.last_seen_at == sent.sent_at;
  if (no_progress && age > kCancelWithoutProgressAfter) return dispatcher_.cancel_for_retry(id, attempt);
  if (!may_hedge(request, attempt)) return;
  for (std::size_t earlier = 0; earlier < attempt; ++earlier) requests_.cancel(request, earlier);
  Engine* engine = selector_.select(request);
  if (engine == nullptr || !dispatcher_.send(request, *engine)) return;
  budget_ -= classes_.expected_work(request);
}

bool HedgingPolicy::may_hedge(const Request& request, std::size_t attempt) const {
  const bool is_last = attempt + 1 == request.attempts.size();
  if (!is_last || request.attempts.size() >= context_.settings.max_attempts || request.queued) return false;
  return !overload_.is_overloaded() && budget_ >= classes_.expected_work(request);
}

}  // namespace bellstair::policy
