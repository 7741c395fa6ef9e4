#include "policy/request_table.hpp"

#include <chrono>

#include "policy/send_rules.hpp"

namespace bellstair::policy {
namespace {
constexpr Time kAnswerMargin = std::chrono::milliseconds(45);  // before the deadline: two ticks
}  // namespace

Request& RequestTable::add(const RequestArrival& arrival) {
  auto& request = requests_[arrival.request];
  request.arrival = arrival;
  request.answer_by = context_.now + arrival.time_left - kAnswerMargin;
  by_answer_time_.insert({request.answer_by, arrival.request});
  return request;
}

Request* RequestTable::find(RequestId id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

void RequestTable::enqueue_back(Request& request) {
  mark_queued(request);
  classes_[request.arrival.cls].queue.push_back(request.arrival.request);
}

void RequestTable::enqueue_front(Request& request) {
  mark_queued(request);
  classes_[request.arrival.cls].queue.push_front(request.arrival.request);
}

void RequestTable::mark_queued(Request& request) const {
  request.queued = true;
  request.queued_at = context_.now;
}

void RequestTable::finish(Request& request, UnservedReason reason) {
  if (!request.open) return;
  const auto& settings = context_.settings;
  const auto id = request.arrival.request;
  if (may_reject(settings, request)) {
    const Time retry_after = settings.sends_retry_after ? settings.max_retry_after : Time::zero();
    context_.emit(Reject{id, retry_after, reason});
  } else {
    context_.emit(Fail{id, reason});
  }
  close(request);
}

void RequestTable::close(Request& request) {
  const auto id = request.arrival.request;
  request.open = false;
  if (request.queued) std::erase(classes_[request.arrival.cls].queue, id);
  request.queued = false;
  by_answer_time_.erase({request.answer_by, id});
  for (std::size_t n = 0; n < request.attempts.size(); ++n) cancel(request, n);
  if (!request.in_flight()) remove(request);
}

void RequestTable::remove(Request& request) {
  const auto id = request.arrival.request;
  if (is_ordered(context_.settings, request)) ordering_keys_.remove(request.arrival.ordering_key, id);
  requests_.erase(id);
}

void RequestTable::cancel(Request& request, std::size_t attempt) const {
  if (!context_.settings.may_cancel || !request.attempts[attempt].awaited()) return;
  request.attempts[attempt].cancelled = true;
  context_.emit(CancelAttempt{request.arrival.request, static_cast<AttemptIndex>(attempt)});
}

void RequestTable::finish_expired() {
  while (!by_answer_time_.empty() && by_answer_time_.begin()->first <= context_.now)
    finish(requests_.at(by_answer_time_.begin()->second), UnservedReason::deadline);
}

}  // namespace bellstair::policy
