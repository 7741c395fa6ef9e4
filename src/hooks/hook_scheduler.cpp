#include "hooks/hook_scheduler.hpp"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace bellstair::hooks {
namespace {
using namespace std::chrono_literals;
constexpr Time kLogInterval = 1s;  // between log lines about failures of one hook

std::string seconds(Time time) {
  char out[32];
  std::snprintf(out, sizeof out, "%.3g s", std::chrono::duration<double>(time).count());
  return out;
}
}  // namespace

HookScheduler::HookScheduler(Set set) { install(Time::zero(), std::move(set)); }

void HookScheduler::install(Time now, Set set) {
  limits_ = set.limits;
  budget_.set_limits(limits_);
  std::ranges::stable_sort(set.hooks, {}, &Spec::order);
  for (auto& list : hooks_by_phase_) list.clear();
  std::vector<HookId> replaced;
  for (auto& [id, hook] : hooks_) {
    hook.current = false;
    replaced.push_back(id);
  }
  for (auto& spec : set.hooks) add_hook(now, std::move(spec), replaced);
  for (const auto id : replaced) {
    remove_unowned_calls(hooks_.at(id));
    retire_if_done(id);
  }
}

void HookScheduler::add_hook(Time now, Spec spec, const std::vector<HookId>& replaced) {
  const auto id = spec.id;
  for (std::size_t phase = 0; phase < kPhases; ++phase) {
    if (spec.phases[phase]) hooks_by_phase_[phase].push_back(id);
  }
  auto& hook = hooks_.try_emplace(id, std::move(spec), limits_).first->second;
  hook.next_timer = now + hook.spec.timer_interval;
  for (const auto old : replaced) {
    const auto& previous = hooks_.at(old);
    if (previous.spec.name != hook.spec.name) continue;
    hook.counts = previous.counts;
    // An open breaker stays open unless the script has changed. The renewal that it waits for is complete,
    // because the new hook has a new machine.
    if (previous.spec.digest != hook.spec.digest) continue;
    hook.breaker = previous.breaker;
    hook.breaker.abandon_trial();
    hook.breaker.on_machine_renewed(true, now);
  }
}

// Removes calls that belong to no request, so that they do not keep a replaced machine alive.
void HookScheduler::remove_unowned_calls(const Hook& hook) {
  std::vector<JobId> unowned;
  for (const auto* list : {&hook.waiting, &hook.started}) {
    for (const auto job : *list) {
      if (jobs_.at(job).phase != Phase::request) unowned.push_back(job);
    }
  }
  for (const auto job : unowned) remove(job);
}

bool HookScheduler::submit(Time now, Owner owner, RequestView subject, std::string_view statement) {
  statement = statement.substr(0, kMaxStatementBytes);
  std::vector<HookId> called;
  for (const auto id : hooks_by_phase_[static_cast<std::size_t>(Phase::request)]) {
    if (matches(hooks_.at(id).spec.match, subject, statement)) called.push_back(id);
  }
  if (called.empty()) return false;
  for (const auto id : called) ++hooks_.at(id).open_chains;
  subject.statement = std::make_shared<const std::string>(statement);
  requests_[owner] = {Chain(std::move(called)), std::move(subject), 0};
  call_next_hook(now, owner);
  return true;
}

bool HookScheduler::admit(Time now, Hook& hook, bool& trial) {
  const auto previous = hook.breaker.state();
  trial = previous != Breaker::State::closed;
  const bool admitted = hook.breaker.admit(now);
  if (hook.breaker.state() != previous) on_breaker_changed(now, hook);
  return admitted;
}

// Calls the next hook of the chain whose breaker and queue admit a call. After the last hook, the request
// completes.
void HookScheduler::call_next_hook(Time now, Owner owner) {
  auto& request = requests_.at(owner);
  request.job = 0;
  while (const auto next = request.chain.next()) {
    auto& hook = hooks_.at(*next);
    if (hook.waiting.size() >= limits_.max_queued) {
      ++hook.counts.queue_timeouts;
      request.chain.on_failure(hook.spec, HookFailureKind::queue_timeout);
      continue;
    }
    bool trial = false;
    if (!admit(now, hook, trial)) {
      ++hook.counts.skipped;
      request.chain.on_failure(hook.spec, HookFailureKind::circuit_open);
      continue;
    }
    request.job = enqueue(now, hook, Phase::request, owner, {}, trial);
    return;
  }
  HookCompletion out;
  out.owner = owner;
  out.subject = std::move(request.subject);
  out.refused = request.chain.retry_after();
  out.by = request.chain.rejected_by();
  if (out.by != 0) ++hooks_.at(out.by).counts.rejections;
  cancel(owner);
  completions.push_back(std::move(out));
}

void HookScheduler::cancel(Owner owner) {
  const auto found = requests_.find(owner);
  if (found == requests_.end()) return;
  const auto request = std::move(found->second);
  requests_.erase(found);
  if (request.job != 0) {
    if (jobs_.at(request.job).trial) hooks_.at(jobs_.at(request.job).hook).breaker.abandon_trial();
    remove(request.job);
  }
  for (const auto id : request.chain.hooks()) {
    --hooks_.at(id).open_chains;
    retire_if_done(id);
  }
}

JobId HookScheduler::enqueue(Time now, Hook& hook, Phase phase, Owner owner, RequestView subject,
                             bool trial) {
  const auto id = ++last_job_;
  if (hook.jobs++ == 0) {
    budget_.on_active(hook.spec.id, !busy_.empty());
    busy_.push_back(&hook);
  }
  jobs_[id] = {hook.spec.id, phase, owner, std::move(subject), false, trial, false, {}};
  hook.waiting.push_back(id);
  wait_deadlines_.emplace(now + hook.spec.wait_timeout, id);
  return id;
}

void HookScheduler::remove(JobId id) {
  const auto found = jobs_.find(id);
  const auto& job = found->second;
  auto& hook = hooks_.at(job.hook);
  auto& list = job.started ? hook.started : hook.waiting;
  // A call that has just run is in neither list. Other calls are mostly at the front of theirs.
  if (!list.empty() && list.front() == id) {
    list.pop_front();
  } else {
    std::erase(list, id);
  }
  if (job.started && !job.finished) commands.emplace_back(AbortCall{id, job.hook});
  if (job.phase == Phase::answer) --hook.answer_calls;
  if (job.phase == Phase::timer) hook.timer_running = false;
  if (--hook.jobs == 0) std::erase(busy_, &hook);
  jobs_.erase(found);
}

void HookScheduler::notify_answer(Time now, const RequestView& end, std::string_view statement) {
  statement = statement.substr(0, kMaxStatementBytes);
  for (const auto id : hooks_by_phase_[static_cast<std::size_t>(Phase::answer)]) {
    auto& hook = hooks_.at(id);
    if (!matches(hook.spec.match, end, statement)) continue;
    if (hook.answer_calls >= limits_.max_answer_calls) {
      ++hook.counts.dropped;
      continue;
    }
    bool trial = false;
    if (!admit(now, hook, trial)) {
      ++hook.counts.skipped;
      continue;
    }
    ++hook.answer_calls;
    enqueue(now, hook, Phase::answer, 0, end, trial);
  }
}

void HookScheduler::tick(Time now) {
  for (const auto id : hooks_by_phase_[static_cast<std::size_t>(Phase::timer)]) {
    auto& hook = hooks_.at(id);
    if (hook.timer_running || now < hook.next_timer) continue;
    hook.next_timer = now + hook.spec.timer_interval;
    bool trial = false;
    if (!admit(now, hook, trial)) continue;
    hook.timer_running = true;
    enqueue(now, hook, Phase::timer, 0, {}, trial);
  }
  while (!wait_deadlines_.empty() && wait_deadlines_.top().first <= now) {
    const auto id = wait_deadlines_.top().second;
    wait_deadlines_.pop();
    if (jobs_.contains(id)) fail(now, id, HookFailureKind::queue_timeout, {});
  }
}

void HookScheduler::on_slice_result(Time now, SliceResult result) {
  if (running_job_ == result.job) running_job_ = 0;
  const auto hook_found = hooks_.find(result.hook);
  if (hook_found == hooks_.end()) return;
  auto& hook = hook_found->second;
  budget_.charge(now, result.hook, result.cpu);
  hook.counts.cpu += result.cpu;
  hook.memory = result.memory;
  for (auto& line : result.log_lines)
    log_lines.push_back("hook " + hook.spec.name + " logs: " + std::move(line));
  const auto found = jobs_.find(result.job);
  if (found == jobs_.end()) return;  // the request has been cancelled
  auto& job = found->second;
  job.usage.cpu += result.cpu;
  job.usage.instructions += result.instructions;
  job.finished = result.outcome != SliceResult::Outcome::yielded;
  switch (result.outcome) {
    case SliceResult::Outcome::failed:
      return fail(now, result.job, result.failure, result.text);
    case SliceResult::Outcome::done:
      return complete(now, result.job, HookFailureKind::none, result.decision);
    case SliceResult::Outcome::yielded:
      break;
  }
  if (const auto failure = exceeded_limit(hook.spec, job.usage); failure != HookFailureKind::none)
    return fail(now, result.job, failure, {});
  // Older calls run first, so that an endless call reaches its limits sooner.
  hook.started.insert(std::ranges::lower_bound(hook.started, result.job), result.job);
}

void HookScheduler::fail(Time now, JobId id, HookFailureKind failure, const std::string& text) {
  auto& hook = hooks_.at(jobs_.at(id).hook);
  if (failure == HookFailureKind::time || failure == HookFailureKind::instructions)
    ++hook.counts.limits_exceeded;
  if (failure == HookFailureKind::queue_timeout) ++hook.counts.queue_timeouts;
  if (counts_against_hook(failure)) {
    ++hook.counts.failures;
    log_failure(now, hook, failure, text);
  }
  complete(now, id, failure, {});
}

// Ends the call, whether it failed or not, and continues with the next hook of its request.
void HookScheduler::complete(Time now, JobId id, HookFailureKind failure, const HookDecision& decision) {
  const auto& job = jobs_.at(id);
  const auto hook_id = job.hook;
  const auto owner = job.owner;
  const auto phase = job.phase;
  const bool trial = job.trial;
  auto& hook = hooks_.at(hook_id);
  ++hook.counts.calls;
  remove(id);
  bool breaker_changed = false;
  if (failure == HookFailureKind::none) {
    breaker_changed = hook.breaker.on_success(now);
  } else if (counts_against_hook(failure)) {
    breaker_changed = hook.breaker.on_failure(now);
  } else if (trial) {
    hook.breaker.abandon_trial();
  }
  if (phase == Phase::request) {
    auto& request = requests_.at(owner);
    if (failure == HookFailureKind::none) {
      request.chain.apply(decision, request.subject);
    } else {
      request.chain.on_failure(hook.spec, failure);
    }
  }
  if (breaker_changed) on_breaker_changed(now, hook);
  if (phase == Phase::request) call_next_hook(now, owner);
  retire_if_done(hook_id);
}

void HookScheduler::log_failure(Time now, Hook& hook, HookFailureKind failure, const std::string& text) {
  if (now < hook.next_log_line) {
    ++hook.suppressed_lines;
    return;
  }
  hook.next_log_line = now + kLogInterval;
  auto line = "hook " + hook.spec.name + ": " + name(failure);
  if (!text.empty()) line += ": " + text;
  if (hook.suppressed_lines > 0)
    line +=
        " (" + std::to_string(std::exchange(hook.suppressed_lines, 0)) + " earlier failures were not logged)";
  log_lines.push_back(std::move(line));
}

// When the breaker opens, all calls of the hook fail.
void HookScheduler::on_breaker_changed(Time now, Hook& hook) {
  auto line = "hook " + hook.spec.name + ": circuit breaker " + name(hook.breaker.state());
  if (hook.breaker.state() == Breaker::State::open) line += " for " + seconds(hook.breaker.open_duration());
  log_lines.push_back(std::move(line));
  if (hook.breaker.state() != Breaker::State::open) return;
  commands.emplace_back(RenewMachine{hook.spec.id});
  std::vector<JobId> remaining(hook.waiting.begin(), hook.waiting.end());
  remaining.insert(remaining.end(), hook.started.begin(), hook.started.end());
  for (const auto id : remaining) {
    if (jobs_.contains(id)) fail(now, id, HookFailureKind::circuit_open, {});
  }
}

void HookScheduler::on_machine_renewed(Time now, const MachineRenewed& renewed) {
  const auto found = hooks_.find(renewed.hook);
  if (found == hooks_.end()) return;
  auto& hook = found->second;
  hook.breaker.on_machine_renewed(renewed.problem.empty(), now);
  if (renewed.problem.empty()) return;
  log_lines.push_back("hook " + hook.spec.name +
                      ": its Lua machine could not be recreated: " + renewed.problem);
  commands.emplace_back(RenewMachine{hook.spec.id});
}

bool HookScheduler::has_runnable_call(const Hook& hook) {
  return !hook.started.empty() ||
         (!hook.waiting.empty() && hook.started.size() < hook.spec.max_concurrent_calls);
}

HookScheduler::Hook* HookScheduler::least_served_hook() {
  Hook* best = nullptr;
  Time least{};
  for (auto* hook : busy_) {
    if (!has_runnable_call(*hook)) continue;
    const auto attained = busy_.size() == 1 ? Time::zero() : budget_.attained(hook->spec.id);
    if (best != nullptr && std::pair(attained, hook->spec.id) >= std::pair(least, best->spec.id)) continue;
    best = hook;
    least = attained;
  }
  return best;
}

void HookScheduler::dispatch(Time now) {
  if (running_job_ != 0 || jobs_.empty() || !budget_.may_run(now)) return;
  auto* hook = least_served_hook();
  if (hook == nullptr) return;
  RunSlice run;
  run.hook = hook->spec.id;
  run.now = now;
  const bool first = !hook->waiting.empty() && hook->started.size() < hook->spec.max_concurrent_calls;
  auto& list = first ? hook->waiting : hook->started;
  run.job = list.front();
  list.pop_front();
  auto& job = jobs_.at(run.job);
  run.first = first;
  run.phase = job.phase;
  run.slice = next_slice(hook->spec, job.usage);
  if (first) {
    job.started = true;
    run.subject = job.phase == Phase::request ? requests_.at(job.owner).subject : std::move(job.subject);
  }
  running_job_ = run.job;
  commands.emplace_back(std::move(run));
}

std::optional<Time> HookScheduler::due(Time now) const {
  if (running_job_ != 0 || jobs_.empty()) return std::nullopt;
  return budget_.next_available(now);
}

void HookScheduler::retire_if_done(HookId id) {
  const auto found = hooks_.find(id);
  if (found == hooks_.end()) return;
  const auto& hook = found->second;
  if (hook.current || hook.open_chains > 0 || hook.jobs > 0) return;
  commands.emplace_back(RetireMachine{id});
  budget_.remove(id);
  hooks_.erase(found);
}

std::unordered_set<std::uint32_t> HookScheduler::tenants() const {
  std::unordered_set<std::uint32_t> out;
  for (const auto& [id, hook] : hooks_)
    out.insert(hook.spec.match.tenants.begin(), hook.spec.match.tenants.end());
  for (const auto& [id, job] : jobs_) {
    if (job.phase == Phase::answer) out.insert(job.subject.tenant);
  }
  return out;
}

std::vector<Status> HookScheduler::status() const {
  std::vector<Status> out;
  for (const auto& [id, hook] : hooks_) {
    if (hook.current)
      out.push_back({hook.spec.name, hook.breaker.state(), hook.breaker.open_until(), hook.jobs, hook.memory,
                     hook.counts});
  }
  std::ranges::sort(out, {}, &Status::name);
  return out;
}

}  // namespace bellstair::hooks
