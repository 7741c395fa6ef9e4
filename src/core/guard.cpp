#include "core/guard.hpp"

#include <algorithm>

namespace bellstair::core {
using policy::EngineState;

GuardDecision Guard::may_admit(const Admission& admission) const {
  if (admission.phase >= Phase::stopping) return GuardDecision::shutting_down;
  if (settings_.max_open_requests != 0 && admission.unanswered >= settings_.max_open_requests)
    return GuardDecision::too_many_requests;
  if (!admission.fits_in_memory) return GuardDecision::memory_exhausted;
  if (admission.ticket_in_use) return GuardDecision::ticket_in_use;
  return GuardDecision::allowed;
}

GuardDecision Guard::may_start_attempt(const AttemptStart& start, Time now) const {
  const auto& cls = settings_.classes[start.cls];
  if (start.answered) return GuardDecision::already_answered;
  if (start.client_disconnected) return GuardDecision::client_disconnected;
  if (start.endpoint == nullptr || start.endpoint->state != EngineState::ready)
    return GuardDecision::engine_not_ready;
  if (now >= start.expires_at) return GuardDecision::attempt_expired;
  for (const auto& prior : start.prior) {
    if (!retry_allowed(cls, prior.attempt, *start.endpoint, now, kDeduplicationMargin))
      return GuardDecision::retry_forbidden;
    if (prior.may_be_running && !settings_.hedging) return GuardDecision::hedging_forbidden;
  }
  if (cls.ordered_by_key && key_in_use(start.ordering_key, start.request, now))
    return GuardDecision::ordering_key_in_use;
  return GuardDecision::allowed;
}

bool Guard::is_violation(GuardDecision decision) {
  return decision == GuardDecision::retry_forbidden || decision == GuardDecision::hedging_forbidden ||
         decision == GuardDecision::ordering_key_in_use;
}

bool Guard::may_reject(ClassIndex cls, bool never_ran) const {
  return policy::rejection_allowed(settings_.classes[cls], never_ran);
}

bool Guard::key_in_use(std::uint64_t ordering_key, RequestId request, Time now) const {
  const auto found = keys_.find(ordering_key);
  if (ordering_key == 0 || found == keys_.end() || found->second.request == request) return false;
  return found->second.in_flight > 0 || now < found->second.may_run_until;
}

void Guard::attempt_started(std::uint64_t ordering_key, RequestId request) {
  if (ordering_key == 0) return;
  auto& use = keys_[ordering_key];
  if (use.request != request) use = {request, 0, {}};
  ++use.in_flight;
}

void Guard::attempt_ended(std::uint64_t ordering_key, RequestId request, Time may_run_until) {
  const auto found = keys_.find(ordering_key);
  if (found == keys_.end() || found->second.request != request || found->second.in_flight == 0) return;
  --found->second.in_flight;
  found->second.may_run_until = std::max(found->second.may_run_until, may_run_until);
}

void Guard::attempt_stopped(std::uint64_t ordering_key, RequestId request, Time others_until) {
  const auto found = keys_.find(ordering_key);
  if (found == keys_.end() || found->second.request != request) return;
  found->second.may_run_until = others_until;
}

void Guard::remove_idle_keys(Time now) {
  std::erase_if(keys_, [now](const auto& entry) {
    return entry.second.in_flight == 0 && entry.second.may_run_until <= now;
  });
}

}  // namespace bellstair::core
