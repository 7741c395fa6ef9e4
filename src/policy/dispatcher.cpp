#include "policy/dispatcher.hpp"

#include <algorithm>
#include <vector>

namespace bellstair::policy {
namespace {
// Whether an attempt with this result may still run at its engine.
bool may_still_run(AttemptResult result) {
  return result == AttemptResult::timed_out || result == AttemptResult::reset ||
         result == AttemptResult::cancelled;
}
}  // namespace

bool Dispatcher::send(Request& request, Engine& engine) {
  if (!in_.rules.may_start_attempt(request, engine)) return false;
  if (request.queued) in_.thread_budgets.record_dequeued(request);  // a hedged request was not queued
  if (!request.attempts.empty()) in_.retry_budget.record_retry();
  const auto& settings = context_.settings;
  if (settings.memory_grants || settings.priorities) context_.emit(in_.terms.terms(request));
  context_.emit(SendAttempt{request.arrival.request, engine.endpoint.engine, request.answer_by});
  in_.slow_start.charge(engine, in_.rules.slow_start_work(request));
  add_attempt(request, engine);
  return true;
}

void Dispatcher::add_attempt(Request& request, Engine& engine) {
  const auto& cls = class_settings(context_.settings, request);
  const auto& endpoint = engine.endpoint;
  const auto index = static_cast<AttemptIndex>(request.attempts.size());
  in_.fleet.begin_attempt(engine, {request.arrival.request, index}, cls.threads);
  if (cls.locks_data_group) engine.locked_data_groups.insert(request.arrival.data_group);
  request.attempts.push_back({endpoint.engine, endpoint.zone, endpoint.cell, context_.now, context_.now});
  request.queued = false;
  in_.classes[request.arrival.cls].running_threads += cls.threads;
}

bool Dispatcher::end_attempt(Request& request, Engine& engine, const AttemptOutcome& outcome) {
  if (outcome.attempt >= request.attempts.size()) return false;
  auto& attempt = request.attempts[outcome.attempt];
  if (!attempt.in_flight) return false;
  const auto& cls = class_settings(context_.settings, request);
  attempt.in_flight = false;
  attempt.result = outcome.result;
  request.may_run_until = std::max(request.may_run_until, context_.now + outcome.may_run_for);
  in_.fleet.end_attempt(engine, {outcome.request, outcome.attempt}, cls.threads);
  if (cls.locks_data_group) engine.locked_data_groups.erase(request.arrival.data_group);
  in_.classes[request.arrival.cls].running_threads -= cls.threads;
  if (is_ordered(context_.settings, request)) block_ordering_key(request, outcome);
  return true;
}

void Dispatcher::block_ordering_key(const Request& request, const AttemptOutcome& outcome) {
  const bool may_run = may_still_run(outcome.result);
  if (!may_run && outcome.may_run_for <= Time::zero()) return;
  const Time minimum = may_run ? context_.settings.ordering_key_hold : Time::zero();
  in_.ordering_keys.block(request.arrival.ordering_key,
                          context_.now + std::max(minimum, outcome.may_run_for));
}

void Dispatcher::cancel_for_retry(RequestId id, std::size_t attempt) {
  auto& request = in_.requests.at(id);
  if (!request.open) return;
  const auto& settings = context_.settings;
  if (class_settings(settings, request).idempotency != Idempotency::idempotent) return;
  const bool retry_allowed = request.awaited() > 1 || (request.attempts.size() < settings.max_attempts &&
                                                       in_.retry_budget.allows_retry());
  if (retry_allowed) in_.requests.cancel(request, attempt);
}

void Dispatcher::cancel_all_for_retry(const Engine& engine) {
  const std::vector<AttemptKey> attempts(engine.in_flight.begin(), engine.in_flight.end());
  for (const auto& [request, attempt] : attempts) cancel_for_retry(request, attempt);
}

}  // namespace bellstair::policy
