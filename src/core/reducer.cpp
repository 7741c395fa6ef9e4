#include "core/reducer.hpp"

#include <algorithm>
#include <string>
#include <utility>
#include <variant>

namespace bellstair::core {
namespace {
using namespace std::chrono_literals;

constexpr Time kKeyRemovalInterval = 1s;

Time longest_client_timeout(const policy::Settings& settings) {
  Time longest{};
  for (const auto& cls : settings.classes) longest = std::max(longest, cls.client_timeout);
  return longest;
}
}  // namespace

Reducer::Reducer(policy::Settings settings, std::uint64_t seed, std::size_t max_bytes, hooks::Set hooks,
                 std::string changelog)
    : settings_(settings),
      lifecycle_(longest_client_timeout(settings_)),
      scheduler_(std::move(settings), seed),
      requests_(max_bytes, &ticket_history_),
      hook_stage_(context_, requests_, scheduler_, settings_, std::move(hooks)),
      configuration_(context_, scheduler_, hook_stage_, settings_, std::move(changelog)) {}

void Reducer::reduce(Time now, Event event, Effects& effects) {
  context_.begin(now, effects);
  std::visit([this](auto& alternative) { on(alternative); }, event);
  process_hook_completions();
  if (const auto due = next_scheduler_call(); due && now >= *due) {
    call_scheduler();
    process_hook_completions();
  }
}

std::optional<Time> Reducer::next_scheduler_call() const {
  return scheduler_.next_call(settings_.min_call_interval);
}

void Reducer::call_scheduler() {
  for (auto& action : scheduler_.run(context_.now(), requests_))
    std::visit([this](auto& alternative) { act(alternative); }, action);
}

// Completed hooks may release later requests of their ordering key, or cause answers: repeats until neither
// happens.
void Reducer::process_hook_completions() {
  if (hook_stage_.idle()) return;
  while (hook_stage_.has_progress()) {
    for (auto& completion : hook_stage_.take_completions()) finish_hooks(completion);
    hook_stage_.advance_ordering_queues();
  }
  hook_stage_.dispatch();
}

void Reducer::finish_hooks(hooks::HookCompletion& completion) {
  auto* request = requests_.find(completion.owner);
  if (request == nullptr || request->answered) return;
  request->tags = std::move(completion.subject.tags);
  if (!completion.refused)
    return hook_stage_.continue_after_hooks(completion.owner, *request, completion.subject);
  const Time retry_after =
      settings_.sends_retry_after ? std::min(*completion.refused, settings_.max_retry_after) : Time::zero();
  responder_.reject(completion.owner, *request, retry_after);
  requests_.erase_if_complete(completion.owner);
}

std::unordered_set<std::uint32_t> Reducer::referenced_tenants() const {
  auto tenants = hook_stage_.referenced_tenants();
  for (const auto& [id, request] : requests_) tenants.insert(request.submission.tenant);
  return tenants;
}

// ---- engines and peers

void Reducer::on(EndpointUpdate& update) {
  scheduler_.notify(endpoints_.apply(update));
  attempts_.cancel_connecting_to_unready();
  if (!update.from_change_log) return;
  if (auto corrected = endpoints_.correct_start_times()) scheduler_.notify(std::move(*corrected));
  on(EndpointListPolled{});
}

void Reducer::on(const EndpointListPolled& polled) {
  if (polled.answered) endpoints_.change_log_answered();
  if (endpoints_.any_ready()) lifecycle_.engine_ready();
}

void Reducer::on(HealthCheckEnded& ended) { scheduler_.notify(health_checks_.ended(ended, context_.now())); }

void Reducer::on(GossipReceived& received) {
  scheduler_.notify(policy::GossipMessage{received.from, std::move(received.bytes)});
}

void Reducer::act(const policy::SendHealthCheck& check) {
  health_checks_.started(check.engine, context_.now());
  context_.put(SendHealthCheck{check.engine});
}

void Reducer::act(policy::SendGossip& gossip) {
  context_.put(SendGossip{gossip.to, std::move(gossip.bytes)});
}

// ---- requests

void Reducer::on(RequestReceived& received) {
  auto& submission = received.submission;
  const bool ticket_in_use =
      !submission.ticket.empty() && (requests_.ticket_in_use(submission.ticket) ||
                                     ticket_history_.forbids(submission.ticket, context_.now()));
  const auto decision = guard_.may_admit(
      {lifecycle_.phase(), requests_.unanswered(), requests_.fits(submission), ticket_in_use});
  if (decision != GuardDecision::allowed) return responder_.deny_admission(submission, decision);
  ++context_.counters().admitted;
  const Time now = context_.now();
  const Time received_at = received.since == Time::zero() ? now : std::min(received.since, now);
  const auto id = requests_.insert(std::move(submission), received_at);
  auto& request = requests_.at(id);
  context_.trace(id, "ticket ", request.submission.ticket, " is admitted, class ", request.submission.cls,
                 ", for ", request.submission.time_limit / 1ms, " ms");
  timers_.arm(request.deadline - kDeadlineMargin, {Timer::Kind::request_deadline, {id, 0}});
  hook_stage_.add(id, request);
}

void Reducer::on(const ClientCancelled& cancelled) {
  const auto id = requests_.find_by_client(cancelled.client);
  if (!id) return;
  auto& request = requests_.at(*id);
  ++context_.counters().cancelled;
  context_.trace(*id, "is cancelled by its client");
  request.abandoned = true;
  requests_.mark_answered(request);
  if (request.stage == RequestStage::scheduler) scheduler_.notify(policy::RequestCancelled{*id});
  hook_stage_.remove(*id, request);
  attempts_.cancel_connecting(*id, request);
  requests_.erase_if_complete(*id);
}

// A half-close can't be distinguished from a close. Attempts in flight continue, and their answer is written.
// If none is in flight, the request is answered now, since no further attempt may start.
void Reducer::on(const ClientHalfClosed& half_closed) {
  const auto id = requests_.find_by_client(half_closed.client);
  if (!id) return;
  auto& request = requests_.at(*id);
  request.half_closed = true;
  ++context_.counters().half_closed;
  context_.trace(*id, "is half-closed by its client");
  attempts_.cancel_connecting(*id, request);
  if (!has_attempt_in_flight(request)) abort_request(*id, request);
}

void Reducer::act(const policy::Reject& reject) {
  auto* request = requests_.find(reject.request);
  if (request == nullptr || request->answered) return;
  responder_.reject(reject.request, *request, reject);
  requests_.erase_if_complete(reject.request);
}

void Reducer::act(const policy::Fail& fail) {
  auto* request = requests_.find(fail.request);
  if (request == nullptr || request->answered) return;
  responder_.fail(fail.request, *request, fail);
  requests_.erase_if_complete(fail.request);
}

void Reducer::time_out(RequestId id) {
  auto* request = requests_.find(id);
  if (request == nullptr || request->answered) return;
  if (request->stage == RequestStage::scheduler) scheduler_.notify(policy::RequestCancelled{id});
  responder_.time_out(id, *request);
  requests_.erase_if_complete(id);
}

void Reducer::abort_request(RequestId id, Request& request) {
  if (request.stage == RequestStage::scheduler) scheduler_.notify(policy::RequestCancelled{id});
  responder_.reject_or_fail(id, request);
  attempts_.cancel_all(id, request);
  requests_.erase_if_complete(id);
}

// ---- time

void Reducer::act(const policy::ScheduleTimer& timer) {
  timers_.arm(context_.now() + timer.delay, {Timer::Kind::scheduler, {}});
}

void Reducer::on(const Tick& tick) {
  const Time now = context_.now();
  timers_.advance(now, [this](const Timer& timer) { handle_timer(timer); });
  hook_stage_.tick();
  if (now >= last_key_removal_ + kKeyRemovalInterval) {
    last_key_removal_ = now;
    guard_.remove_idle_keys(now);
    attempts_.remove_expired_lingering();
    drop_irrelevant_timers();
    ticket_history_.remove_expired(now);
  }
  if (lifecycle_.drain_expired(now)) abort_unanswered();
  advance_lifecycle(tick.unwritten);
}

// A client may set time limits of an hour, and have its requests answered at once.
void Reducer::drop_irrelevant_timers() {
  if (timers_.armed() < max_timers_) return;
  timers_.retain([this](const Timer& timer) { return is_relevant(timer); });
  max_timers_ = std::max(kMinTimersToDrop, 2 * timers_.armed());
}

bool Reducer::is_relevant(const Timer& timer) {
  if (timer.kind == Timer::Kind::scheduler) return true;
  const auto* request = requests_.find(timer.id.request);
  if (timer.kind == Timer::Kind::request_deadline) return request != nullptr && !request->answered;
  const auto* attempt = requests_.find(timer.id);
  return attempt != nullptr && attempt->stage != AttemptStage::ended;
}

void Reducer::handle_timer(const Timer& timer) {
  switch (timer.kind) {
    case Timer::Kind::scheduler:
      return scheduler_.notify(policy::TimerFired{});
    case Timer::Kind::attempt_expiry:
      return attempts_.expired(timer.id);
    case Timer::Kind::request_deadline:
      return time_out(timer.id.request);
  }
}

void Reducer::on(const ProcessStalled& stalled) {
  ++context_.counters().stalls;
  responder_.record_stall(stalled);
  context_.log("the process was stalled for " + std::to_string(stalled.length / 1ms) + " ms",
               log::Level::warning);
}

// ---- shutdown

void Reducer::on(const ShutdownRequested& requested) {
  const Time now = context_.now();
  // Requests received before a settings version that shortened time limits keep their own.
  Time longest = longest_client_timeout(settings_);
  for (const auto& [id, request] : requests_) {
    if (!request.answered) longest = std::max(longest, request.deadline - now);
  }
  // The platform's kill timeout starts when it sends the signal, not when the broker reads it.
  lifecycle_.request_shutdown(requested.since == Time::zero() ? now : std::min(requested.since, now),
                              longest);
  log_phase();
}

void Reducer::abort_unanswered() {
  std::vector<RequestId> unanswered;
  for (const auto& [id, request] : requests_) {
    if (!request.answered) unanswered.push_back(id);
  }
  for (const auto id : unanswered) abort_request(id, requests_.at(id));
}

void Reducer::advance_lifecycle(bool unwritten) {
  // An answered request stays in the table until its engine has confirmed the cancellation.
  const bool pending = unwritten || requests_.size() > 0;
  if (!lifecycle_.advance(context_.now(), requests_.unanswered() > 0, pending)) return;
  log_phase();
  if (lifecycle_.phase() == Phase::stopping) context_.put(CloseClientConnections{});
  if (lifecycle_.phase() != Phase::exited) return;
  if (requests_.unanswered() > 0) context_.report(Violation::unanswered_at_exit, 0);
  context_.put(Exit{});
}

void Reducer::log_phase() { context_.log(std::string("phase: ") + name(lifecycle_.phase())); }

}  // namespace bellstair::core
