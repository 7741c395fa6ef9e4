#include "policy/retry_policy.hpp"

#include <algorithm>
#include <set>

#include "policy/outlier_detector.hpp"

namespace bellstair::policy {

std::optional<UnservedReason> RetryPolicy::reason_not_to_retry(const Request& request) const {
  if (!may_retry(request)) return UnservedReason::no_attempt_left;
  if (is_at_fault(request)) return UnservedReason::request_at_fault;
  return std::nullopt;
}

bool RetryPolicy::may_retry(const Request& request) const {
  const auto& settings = context_.settings;
  const bool has_engine = std::ranges::any_of(fleet_.ready(), [&](const Engine* engine) {
    return rules_.may_be_placed(request, *engine) && rules_.allows_attempt_at(request, *engine);
  });
  if (!has_engine) return false;
  // Without hedging, a retry waits until no earlier attempt can still be running.
  const bool in_time =
      settings.hedging || request.may_run_until <= context_.now + shedder_.max_queue_time(request);
  return in_time && request.attempts.size() < settings.max_attempts && budget_.allows_retry();
}

// After errors from two engines with low error rates, the cause is the request: a third would fail it too.
bool RetryPolicy::is_at_fault(const Request& request) const {
  std::set<EngineId> engines;
  for (const auto& attempt : request.attempts) {
    if (attempt.in_flight || attempt.result != AttemptResult::error) continue;
    const Engine* engine = fleet_.find(attempt.engine);
    if (engine != nullptr && engine->error_rate < kErrorWeight) engines.insert(attempt.engine);
  }
  return engines.size() > 1;
}

}  // namespace bellstair::policy
