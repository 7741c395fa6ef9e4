#include "core/hook_stage.hpp"

#include <utility>
#include <variant>

namespace bellstair::core {
namespace {
// The fields of a request that hooks of all phases receive.
hooks::RequestView subject_of(const Submission& submission) {
  hooks::RequestView subject;
  subject.cls = submission.cls;
  subject.tenant = submission.tenant;
  subject.front = static_cast<std::uint8_t>(submission.front);
  return subject;
}
}  // namespace

void HookStage::add(RequestId id, Request& request) {
  if (!hook_scheduler_.any(hooks::Phase::request) && ordering_queues_.empty())
    return forward_to_scheduler(id, request);
  const auto& submission = request.submission;
  const bool in_hooks = submit_to_hooks(id, submission);
  // A request waits behind earlier requests of its key even if it has no hooks of its own.
  const bool queued =
      is_ordered(submission) && (in_hooks || ordering_queues_.contains(submission.ordering_key));
  if (queued) ordering_queues_.push(submission.ordering_key, id);
  if (!in_hooks && !queued) return forward_to_scheduler(id, request);
  request.stage = in_hooks ? RequestStage::hooks : RequestStage::ordering_queue;
}

// Returns false if no hook matches the request.
bool HookStage::submit_to_hooks(RequestId id, const Submission& submission) {
  auto subject = subject_of(submission);
  subject.statement_size = submission.body.size();
  subject.limit = submission.time_limit;
  subject.cpu = submission.estimated_work;
  subject.ram = submission.estimated_memory_mb;
  subject.group = submission.data_group;
  subject.second = submission.is_client_retry;
  return hook_scheduler_.submit(context_.now(), id, std::move(subject), submission.body);
}

bool HookStage::is_ordered(const Submission& submission) const {
  return submission.ordering_key != 0 && settings_.classes[submission.cls].ordered_by_key;
}

void HookStage::forward_to_scheduler(RequestId id, Request& request) {
  request.stage = RequestStage::scheduler;
  const auto& submission = request.submission;
  policy::RequestArrival arrival;
  arrival.request = id;
  arrival.cls = submission.cls;
  arrival.tenant = submission.tenant;
  arrival.ordering_key = submission.ordering_key;
  arrival.estimated_work = submission.estimated_work;
  arrival.estimated_memory_mb = submission.estimated_memory_mb;
  arrival.data_group = submission.data_group;
  arrival.is_client_retry = submission.is_client_retry;
  scheduler_.notify(arrival);
}

void HookStage::continue_after_hooks(RequestId id, Request& request, const hooks::RequestView& subject) {
  auto& submission = request.submission;
  submission.estimated_work = subject.cpu;
  submission.estimated_memory_mb = subject.ram;
  submission.is_client_retry = subject.second;
  if (!is_ordered(submission)) return forward_to_scheduler(id, request);
  request.stage = RequestStage::ordering_queue;
  ordering_queues_.mark_changed(submission.ordering_key);
}

void HookStage::remove(RequestId id, Request& request) {
  if (request.stage == RequestStage::scheduler) return;
  if (request.stage == RequestStage::hooks) hook_scheduler_.cancel(id);
  request.stage = RequestStage::scheduler;
  if (is_ordered(request.submission)) ordering_queues_.remove(request.submission.ordering_key, id);
}

void HookStage::notify_answered(const Request& request, AnswerKind kind, Time retry_after) {
  if (!hook_scheduler_.any(hooks::Phase::answer)) return;
  auto subject = subject_of(request.submission);
  subject.tags = request.tags;
  subject.kind = name(kind);
  subject.duration = context_.now() - request.received_at;
  subject.later = retry_after;
  subject.attempts = request.attempts.size();
  hook_scheduler_.notify_answer(context_.now(), subject, request.submission.body);
}

void HookStage::advance_ordering_queues() {
  for (const auto key : ordering_queues_.take_changed()) {
    ordering_queues_.advance(key, [this](RequestId id) {
      auto& request = requests_.at(id);
      if (request.stage == RequestStage::hooks) return false;
      forward_to_scheduler(id, request);
      return true;
    });
  }
}

void HookStage::dispatch() {
  hook_scheduler_.dispatch(context_.now());
  for (auto& command : hook_scheduler_.commands)
    std::visit([this](auto& effect) { context_.put(std::move(effect)); }, command);
  hook_scheduler_.commands.clear();
  for (auto& line : hook_scheduler_.log_lines) context_.log(std::move(line));
  hook_scheduler_.log_lines.clear();
}

}  // namespace bellstair::core
