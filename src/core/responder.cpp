#include "core/responder.hpp"

#include <utility>

namespace bellstair::core {
namespace {
using namespace std::chrono_literals;

// A failure within this time before the deadline is reported as a timeout.
constexpr Time kTimeoutMargin = 60ms;
// The protocol tolerates answers until this long after the deadline.
constexpr Time kDeadlineSlack = 50ms;
}  // namespace

void Responder::deny_admission(const Submission& submission, GuardDecision decision) {
  ++context_.counters().admissions_denied[static_cast<std::size_t>(decision)];
  context_.trace(requests_.last_id(), "ticket ", submission.ticket, " is not admitted: ", name(decision));
  Answer answer;
  answer.client = submission.client;
  // A retry would use the same ticket, so that it can't succeed while the other request is open.
  const bool may_retry = decision != GuardDecision::ticket_in_use;
  answer.kind = may_retry ? AnswerKind::rejected : AnswerKind::failed;
  answer.retry_after = may_retry ? settings_.max_retry_after : Time::zero();
  context_.put(std::move(answer));
}

void Responder::serve(RequestId id, Request& request, std::string body, std::string shape) {
  answer(id, request, {AnswerKind::served, Time::zero(), std::move(body), std::move(shape)});
}

void Responder::reject(RequestId id, Request& request, Time retry_after) {
  answer(id, request, {AnswerKind::rejected, retry_after, {}, {}});
}

void Responder::reject(RequestId id, Request& request, const policy::Reject& decision) {
  ++context_.counters().unserved[static_cast<std::size_t>(decision.reason)];
  context_.trace(id, "is rejected: ", name(decision.reason));
  if (may_reject(request)) return reject(id, request, decision.retry_after);
  context_.report(Violation::unsafe_rejection, id);
  answer(id, request, {AnswerKind::failed, Time::zero(), {}, {}});
}

void Responder::fail(RequestId id, Request& request, const policy::Fail& decision) {
  ++context_.counters().unserved[static_cast<std::size_t>(decision.reason)];
  context_.trace(id, "fails: ", name(decision.reason));
  const bool timed_out = context_.now() >= request.deadline - kTimeoutMargin;
  answer(id, request, {timed_out ? AnswerKind::timed_out : AnswerKind::failed, Time::zero(), {}, {}});
}

void Responder::time_out(RequestId id, Request& request) {
  answer(id, request, {AnswerKind::timed_out, Time::zero(), {}, {}});
}

void Responder::reject_or_fail(RequestId id, Request& request) {
  if (!may_reject(request)) return answer(id, request, {AnswerKind::failed, Time::zero(), {}, {}});
  reject(id, request, settings_.sends_retry_after ? settings_.max_retry_after : Time::zero());
}

bool Responder::may_reject(const Request& request) const {
  return guard_.may_reject(request.submission.cls, !may_have_run(request));
}

bool Responder::is_late(const Request& request) const {
  const Time due = request.deadline + kDeadlineSlack;
  return context_.now() > due && !stalls_.explains_delay(due, context_.now());
}

void Responder::answer(RequestId id, Request& request, Outcome outcome) {
  if (request.answered) return context_.report(Violation::duplicate_answer, id);
  if (is_late(request)) context_.report(Violation::late_answer, id);
  ++context_.counters().answered[static_cast<std::size_t>(outcome.kind)];
  context_.trace(id, "is answered: ", name(outcome.kind), ", after ",
                 (context_.now() - request.received_at) / 1ms, " ms");
  if (outcome.kind != AnswerKind::served) outcome.body = request.engine_error;
  requests_.mark_answered(request);
  hook_stage_.remove(id, request);
  context_.put(Answer{request.submission.client, outcome.kind, outcome.retry_after, std::move(outcome.body),
                      std::move(outcome.shape)});
  hook_stage_.notify_answered(request, outcome.kind, outcome.retry_after);
  tagged_log_.write(request, outcome.kind);
}

}  // namespace bellstair::core
