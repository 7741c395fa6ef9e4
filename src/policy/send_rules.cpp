#include "policy/send_rules.hpp"

#include <algorithm>
#include <optional>
#include <vector>

#include "policy/retry_rules.hpp"

namespace bellstair::policy {
namespace {
/// Larger than the margin of core::Guard, as it also covers the time until the attempt is sent.
constexpr Time kDeduplicationMargin = kTickInterval;
}  // namespace
namespace {

constexpr int kMaxAwaitedAttempts = 2;  // with hedging

// Without a list, every value is allowed.
bool allows(const std::optional<std::vector<std::uint16_t>>& allowed, std::uint16_t value) {
  return !allowed || std::ranges::find(*allowed, value) != allowed->end();
}

}  // namespace

bool may_reject(const Settings& settings, const Request& request) {
  if (request.arrival.cls >= settings.classes.size()) return true;
  const bool proven_not_run = std::ranges::all_of(request.attempts, &Attempt::proven_not_run);
  return rejection_allowed(class_settings(settings, request), proven_not_run);
}

bool SendRules::may_start_attempt(const Request& request, Engine& engine) const {
  if (!engine.ready || !request.open || context_.now >= request.answer_by) return false;
  if (request.attempts.size() >= context_.settings.max_attempts || !may_add_attempt(request)) return false;
  if (!may_be_placed(request, engine) || !allows_attempt_at(request, engine) || !is_next_for_key(request))
    return false;
  const bool is_retry = !request.attempts.empty();
  if (is_retry && !retry_budget_.allows_retry()) return false;
  return slow_start_.allows(engine, slow_start_work(request));
}

bool SendRules::may_add_attempt(const Request& request) const {
  if (context_.settings.hedging) return request.awaited() < kMaxAwaitedAttempts;
  return !request.in_flight() && context_.now >= request.may_run_until;
}

bool SendRules::may_be_placed(const Request& request, const Engine& engine) const {
  const auto& cls = class_settings(context_.settings, request);
  return allows(cls.zones, engine.endpoint.zone) && allows(cls.kinds, engine.endpoint.kind);
}

bool SendRules::allows_attempt_at(const Request& request, const Engine& engine) const {
  const auto& cls = class_settings(context_.settings, request);
  return std::ranges::all_of(request.attempts, [&](const Attempt& attempt) {
    const EarlierAttempt earlier{attempt.sent_at, attempt.zone, attempt.cell, attempt.proven_not_run()};
    return retry_allowed(cls, earlier, engine.endpoint, context_.now, kDeduplicationMargin);
  });
}

bool SendRules::is_next_for_key(const Request& request) const {
  if (!is_ordered(context_.settings, request)) return true;
  const auto key = request.arrival.ordering_key;
  if (!ordering_keys_.is_first(key, request.arrival.request)) return false;
  return !request.attempts.empty() || !ordering_keys_.is_blocked(key, context_.now);
}

double SendRules::slow_start_work(const Request& request) const {
  return classes_.expected_work(request) * std::max(1.0, 1 / request.relative_size);
}

}  // namespace bellstair::policy
