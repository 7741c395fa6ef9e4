#include "core/reducer.hpp"

#include <algorithm>
#include <string>
#include <utility>
#include <variant>

namespace bellstair::core {
namespace {
using namespace std::chrono_literals;

// A request that the scheduler has left unanswered is timed out so long before its deadline.
constexpr Time kDeadlineMargin = 15ms;
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
      requests_(max_bytes),
      hook_stage_(context_, requests_, scheduler_, settings_, std::move(hooks)),
      configuration_(context_, scheduler_, hook_stage_, settings_, std::move(changelog)) {}

void Reducer::reduce(Time now, Event event, Effects& effects) {
  context_.begin(now, effects);
  std::visit([this](auto& alternative) { on(alternative); }, event);
  settle_hooks();
  if (const auto due = next_scheduler_call(); due && now >= *due) {
    call_scheduler();
    settle_hooks();
  }
}

std::optional<Time> Reducer::next_scheduler_call() const {
  return scheduler_.next_call(settings_.min_call_interval);
}

void Reducer::call_scheduler() {
  for (auto& action : scheduler_.run(context_.now(), requests_))
    std::visit([this](auto& alternative) { act(alternative); }, action);
}

// Hooks that end may let others of their ordering key go on, or be answered.
void Reducer::settle_hooks() {
  if (hook_stage_.idle()) return;
  while (hook_stage_.has_progress()) {
    for (auto& passed : hook_stage_.take_passed()) finish_hooks(passed);
    hook_stage_.advance_ordering_queues();
  }
  hook_stage_.dispatch();
}

void Reducer::finish_hooks(hooks::HookCompletion& passed) {
  auto* request = requests_.find(passed.owner);
  if (request == nullptr || request->answered) return;
  request->tags = std::move(passed.subject.tags);
  if (!passed.refused) return hook_stage_.pass(passed.owner, *request, passed.subject);
  const Time retry_after =
      settings_.sends_retry_after ? std::min(*passed.refused, settings_.max_retry_after) : Time::zero();
  responder_.reject(passed.owner, *request, retry_after);
  requests_.erase_if_complete(passed.owner);
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
  const bool ticket_in_use = !submission.ticket.empty() && requests_.ticket_in_use(submission.ticket);
  const auto decision = guard_.may_admit(
      {lifecycle_.phase(), requests_.unanswered(), requests_.fits(submission), ticket_in_use});
  if (decision != GuardDecision::allowed) return responder_.deny_admission(submission, decision);
  ++context_.counters().taken;
  const Time now = context_.now();
  const Time received_at = received.since == Time::zero() ? now : std::min(received.since, now);
  const auto id = requests_.insert(std::move(submission), received_at);
  auto& request = requests_.at(id);
  context_.trace(id, "ticket ", request.submission.ticket, " is admitted, class ", request.submission.cls,
                 ", for ", request.submission.time_limit / 1ms, " ms");
  timers_.arm(request.deadline - kDeadlineMargin, {Timer::Kind::request_deadline, {id, 0}});
  hook_stage_.enter(id, request);
}

void Reducer::on(const ClientCancelled& cancelled) {
  const auto id = requests_.find_by_client(cancelled.client);
  if (!id) return;
  auto& request = requests_.at(*id);
  ++context_.counters().cancelled;
  context_.trace(*id, "is cancelled by its client");
  requests_.mark_answered(request);
  if (request.stage == RequestStage::scheduler) scheduler_.notify(policy::RequestCancelled{*id});
  hook_stage_.leave(*id, request);
  attempts_.cancel_connecting(*id, request);
  requests_.erase_if_complete(*id);
}

// A half-close can't be told from a close. Attempts in flight go on, and their answer is written; without any
// the request is answered now, since none may be started any more.
void Reducer::on(const ClientHalfClosed& half_closed) {
  const auto id = requests_.find_by_client(half_closed.client);
  if (!id) return;
  auto& request = requests_.at(*id);
  request.half_closed = true;
  ++context_.counters().half_closed;
  context_.trace(*id, "is half-closed by its client");
  attempts_.cancel_connecting(*id, request);
  if (!has_attempt_in_flight(request)) give_up(*id, request);
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

void Reducer::give_up(RequestId id, Request& request) {
  if (request.stage == RequestStage::scheduler) scheduler_.notify(policy::RequestCancelled{id});
  responder_.give_up(id, request);
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
  }
  if (lifecycle_.drain_expired(now)) give_up_all();
  advance_lifecycle(tick.unwritten);
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
  context_.log("the process did not run for " + std::to_string(stalled.length / 1ms) + " ms",
               log::Level::warning);
}

// ---- shutdown

void Reducer::on(const ShutdownRequested& requested) {
  const Time now = context_.now();
  // Requests received before a settings version that made time limits shorter keep theirs.
  Time longest = longest_client_timeout(settings_);
  for (const auto& [id, request] : requests_) {
    if (!request.answered) longest = std::max(longest, request.deadline - now);
  }
  // The platform counts from its signal, not from when that was read.
  lifecycle_.request_shutdown(requested.since == Time::zero() ? now : std::min(requested.since, now),
                              longest);
  log_phase();
}

void Reducer::give_up_all() {
  std::vector<RequestId> unanswered;
  for (const auto& [id, request] : requests_) {
    if (!request.answered) unanswered.push_back(id);
  }
  for (const auto id : unanswered) give_up(id, requests_.at(id));
}

void Reducer::advance_lifecycle(bool unwritten) {
  // A request that is answered but not erased waits for its engine to confirm a cancellation.
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
