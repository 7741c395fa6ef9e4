#include "core/attempt_tracker.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace bellstair::core {
namespace {
using policy::AttemptResult;

bool proves_never_ran(AttemptResult result) {
  return result == AttemptResult::rejected || result == AttemptResult::connect_failed ||
         result == AttemptResult::not_started;
}

AttemptResult result_of(AttemptEnd end, bool timed_out) {
  switch (end) {
    case AttemptEnd::served:
      return AttemptResult::served;
    case AttemptEnd::error:
      return AttemptResult::error;
    case AttemptEnd::rejected:
      return AttemptResult::rejected;
    case AttemptEnd::expired:
      return AttemptResult::not_started;
    case AttemptEnd::connect_failed:
      return AttemptResult::connect_failed;
    case AttemptEnd::reset:
      return AttemptResult::reset;
    case AttemptEnd::cancelled:
      break;
  }
  return timed_out ? AttemptResult::timed_out : AttemptResult::cancelled;
}

AttemptId attempt_id(RequestId request, std::size_t index) {
  return {request, static_cast<AttemptIndex>(index)};
}
}  // namespace

void AttemptTracker::start(const policy::SendAttempt& send) {
  auto* request = requests_.find(send.request);
  if (request == nullptr) return;
  const auto id = attempt_id(send.request, request->attempts.size());
  request->attempts.push_back(make_attempt(send, *request));
  const auto decision = may_start(id, *request);
  if (decision != GuardDecision::allowed) {
    if (Guard::is_violation(decision)) context_.report(Violation::unsafe_attempt, id.request);
    ++context_.counters().attempts_denied[static_cast<std::size_t>(decision)];
    context_.trace(id.request, "attempt ", id.index, " is not started: ", name(decision));
    return conclude(id, *request, AttemptResult::not_started, nullptr);
  }
  timers_.arm(request->attempts[id.index].expires_at, {Timer::Kind::attempt_expiry, id});
  context_.put(StartAttempt{id, send.engine});
}

Attempt AttemptTracker::make_attempt(const policy::SendAttempt& send, const Request& request) const {
  Attempt attempt;
  attempt.engine = send.engine;
  attempt.started_at = context_.now();
  attempt.expires_at = request.deadline;
  if (send.give_up_at != Time::zero()) attempt.expires_at = std::min(send.give_up_at, request.deadline);
  if (const auto* endpoint = endpoints_.find(send.engine); endpoint != nullptr) {
    attempt.zone = endpoint->zone;
    attempt.cell = endpoint->cell;
  }
  return attempt;
}

GuardDecision AttemptTracker::may_start(AttemptId id, const Request& request) const {
  std::vector<Guard::PriorAttempt> prior;
  for (std::size_t n = 0; n < request.attempts.size(); ++n) {
    const auto& other = request.attempts[n];
    if (n == id.index || !other.transmitted_at) continue;
    const bool may_be_running = other.stage != AttemptStage::ended || context_.now() < other.may_run_until;
    prior.push_back({{*other.transmitted_at, other.zone, other.cell, false}, may_be_running});
  }
  const auto& attempt = request.attempts[id.index];
  Guard::AttemptStart start;
  start.request = id.request;
  start.cls = request.submission.cls;
  start.ordering_key = request.submission.ordering_key;
  start.answered = request.answered;
  start.client_disconnected = request.half_closed;
  start.expires_at = attempt.expires_at;
  start.endpoint = endpoints_.find(attempt.engine);
  start.prior = prior;
  return guard_.may_start_attempt(start, context_.now());
}

// The guard checks the attempt again: the state may have changed while the connection was established.
void AttemptTracker::connected(AttemptId id) {
  auto* attempt = requests_.find(id);
  if (attempt == nullptr || attempt->stage != AttemptStage::connecting) return;
  auto& request = requests_.at(id.request);
  const auto decision = may_start(id, request);
  if (decision == GuardDecision::allowed) return transmit(id, request, *attempt);
  ++context_.counters().attempts_denied[static_cast<std::size_t>(decision)];
  context_.trace(id.request, "attempt ", id.index, " is not transmitted: ", name(decision));
  // Unless the engine is not ready or the request is answered, the scheduler is notified of a timeout:
  // connecting took too long.
  attempt->timed_out =
      decision != GuardDecision::engine_not_ready && decision != GuardDecision::already_answered;
  cancel(id, *attempt);
}

void AttemptTracker::transmit(AttemptId id, Request& request, Attempt& attempt) {
  attempt.stage = AttemptStage::in_flight;
  attempt.transmitted_at = context_.now();
  attempt.priority = request.priority;
  const auto& submission = request.submission;
  guard_.attempt_started(submission.ordering_key, id.request);
  context_.trace(id.request, "attempt ", id.index, " is transmitted to engine ", attempt.engine);
  context_.put(Transmit{id, submission.cls, attempt.expires_at - context_.now(), request.memory_mb,
                        request.priority, submission.ticket, submission.idempotency_key, submission.body,
                        submission.parameters});
}

// Progress is reported without an amount: it only proves that the engine is working on the attempt.
void AttemptTracker::progressed(AttemptId id) {
  const auto* attempt = requests_.find(id);
  if (attempt == nullptr || attempt->stage != AttemptStage::in_flight) return;
  scheduler_.notify(
      policy::AttemptProgress{id.request, id.index, attempt->engine, policy::ProgressKind::waiting, 0});
}

void AttemptTracker::expired(AttemptId id) {
  auto* attempt = requests_.find(id);
  if (attempt == nullptr) return;
  if (attempt->stage != AttemptStage::connecting && attempt->stage != AttemptStage::in_flight) return;
  attempt->timed_out = true;
  cancel(id, *attempt);
}

void AttemptTracker::cancel(const policy::CancelAttempt& cancelled) {
  const AttemptId id{cancelled.request, cancelled.attempt};
  if (auto* attempt = requests_.find(id); attempt != nullptr) cancel(id, *attempt);
}

void AttemptTracker::cancel(AttemptId id, Attempt& attempt) {
  if (attempt.stage != AttemptStage::connecting && attempt.stage != AttemptStage::in_flight) return;
  attempt.stage = AttemptStage::cancelling;
  context_.put(CancelAttempt{id});
}

void AttemptTracker::cancel_connecting(RequestId id, Request& request) {
  for (std::size_t n = 0; n < request.attempts.size(); ++n) {
    auto& attempt = request.attempts[n];
    if (attempt.stage == AttemptStage::connecting) cancel(attempt_id(id, n), attempt);
  }
}

void AttemptTracker::cancel_connecting_to_unready() {
  for (auto& [id, request] : requests_) {
    for (std::size_t n = 0; n < request.attempts.size(); ++n) {
      auto& attempt = request.attempts[n];
      if (attempt.stage == AttemptStage::connecting && !endpoints_.is_ready(attempt.engine))
        cancel(attempt_id(id, n), attempt);
    }
  }
}

void AttemptTracker::cancel_all(RequestId id, Request& request) {
  for (std::size_t n = 0; n < request.attempts.size(); ++n) cancel(attempt_id(id, n), request.attempts[n]);
}

void AttemptTracker::set_terms(const policy::AttemptTerms& terms) {
  auto* request = requests_.find(terms.request);
  if (request == nullptr) return;
  request->memory_mb = terms.memory_mb;
  request->priority = terms.priority;
  for (std::size_t n = 0; n < request->attempts.size(); ++n) {
    auto& attempt = request->attempts[n];
    if (attempt.stage != AttemptStage::in_flight || attempt.priority == terms.priority) continue;
    attempt.priority = terms.priority;
    context_.put(Reprioritize{attempt_id(terms.request, n), terms.priority});
  }
}

void AttemptTracker::ended(AttemptEnded& ended) {
  const auto* attempt = requests_.find(ended.id);
  if (attempt == nullptr || attempt->stage == AttemptStage::ended) return;
  conclude(ended.id, requests_.at(ended.id.request), result_of(ended.end, attempt->timed_out), &ended);
}

void AttemptTracker::stopped(AttemptId id) {
  const auto found = lingering_.find(id);
  if (found == lingering_.end()) return;
  const auto [ordering_key, may_run_until] = found->second;
  lingering_.erase(found);
  if (may_run_until <= context_.now()) return;  // the key may be another request's by now
  context_.trace(id.request, "attempt ", id.index, " has stopped at its engine");
  const Time others_until = latest_lingering(id.request);
  guard_.attempt_stopped(ordering_key, id.request, others_until);
  if (auto* attempt = requests_.find(id); attempt != nullptr) attempt->may_run_until = context_.now();
  scheduler_.notify(policy::AttemptStopped{id.request, ordering_key,
                                           std::max(Time::zero(), others_until - context_.now())});
}

Time AttemptTracker::latest_lingering(RequestId request) const {
  Time latest{};
  for (auto it = lingering_.lower_bound({request, 0}); it != lingering_.end() && it->first.request == request;
       ++it)
    latest = std::max(latest, it->second.may_run_until);
  return latest;
}

void AttemptTracker::remove_expired_lingering() {
  std::erase_if(lingering_,
                [this](const auto& entry) { return entry.second.may_run_until <= context_.now(); });
}

void AttemptTracker::conclude(AttemptId id, Request& request, AttemptResult result, AttemptEnded* ended) {
  auto& attempt = request.attempts[id.index];
  record_end(id, request, attempt, result, ended);
  policy::AttemptOutcome outcome;
  outcome.request = id.request;
  outcome.attempt = id.index;
  outcome.engine = attempt.engine;
  outcome.result = result;
  outcome.latency = context_.now() - attempt.started_at;
  if (ended != nullptr) {
    outcome.work = ended->work;
    outcome.memory_mb = ended->memory_mb;
    outcome.load_report = std::move(ended->load_report);
    outcome.may_run_for = ended->may_run_for;
    deliver_result(id.request, request, result, *ended);
  }
  if (request.half_closed && !request.answered && !has_attempt_in_flight(request))
    responder_.reject_or_fail(id.request, request);
  outcome.request_closed = request.answered;
  scheduler_.notify(std::move(outcome));
  requests_.erase_if_complete(id.request);
}

void AttemptTracker::record_end(AttemptId id, Request& request, Attempt& attempt, AttemptResult result,
                                const AttemptEnded* ended) {
  if (ended != nullptr) {
    ++context_.counters().attempts[static_cast<std::size_t>(ended->end)];
    attempt.may_run_until = context_.now() + ended->may_run_for;
    if (ended->may_run_for > Time::zero())
      lingering_[id] = {request.submission.ordering_key, attempt.may_run_until};
    context_.trace(id.request, "attempt ", id.index, " ended: ", name(ended->end));
  }
  if (attempt.transmitted_at)
    guard_.attempt_ended(request.submission.ordering_key, id.request, attempt.may_run_until);
  attempt.stage = AttemptStage::ended;
  if (proves_never_ran(result)) attempt.transmitted_at.reset();
}

void AttemptTracker::deliver_result(RequestId id, Request& request, AttemptResult result,
                                    AttemptEnded& ended) {
  if (result == AttemptResult::served) {
    if (!request.answered) responder_.serve(id, request, std::move(ended.body), std::move(ended.shape));
  } else if (!ended.body.empty()) {
    request.engine_error = std::move(ended.body);
  }
}

}  // namespace bellstair::core
