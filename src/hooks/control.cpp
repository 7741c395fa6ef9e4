#include "hooks/control.hpp"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace bellstair::hooks {
namespace {
using namespace std::chrono_literals;
constexpr Time kLineEvery = 1s;  // at most one line of the log about a hook's failures in so long

std::string seconds(Time time) {
  char out[32];
  std::snprintf(out, sizeof out, "%.3g s", std::chrono::duration<double>(time).count());
  return out;
}
}  // namespace

Control::Control(Set set) { install(Time::zero(), std::move(set)); }

void Control::install(Time now, Set set) {
  limits_ = set.limits;
  budget_.limit(limits_);
  std::ranges::stable_sort(set.hooks, {}, &Spec::order);
  for (auto& list : phased_) list.clear();
  std::vector<HookId> before;
  for (auto& [id, hook] : hooks_) {
    hook.current = false;
    before.push_back(id);
  }
  for (auto& spec : set.hooks) {
    const auto id = spec.id;
    for (std::size_t phase = 0; phase < kPhases; ++phase) {
      if (spec.phases[phase]) phased_[phase].push_back(id);
    }
    auto& hook = hooks_.try_emplace(id, std::move(spec), limits_).first->second;
    hook.next_timer = now + hook.spec.every;
    for (const auto old : before) {
      const auto& known = hooks_.at(old);
      if (known.spec.name != hook.spec.name) continue;
      hook.counts = known.counts;
      // What is out stays out, unless the script has been mended; its new machine is a fresh one.
      if (known.spec.digest != hook.spec.digest) continue;
      hook.breaker = known.breaker;
      hook.breaker.void_trial();
      hook.breaker.renewed(true, now);
    }
  }
  for (const auto id : before) {
    auto& hook = hooks_.at(id);
    // Calls that belong to no request are not worth an old machine.
    std::vector<JobId> loose;
    for (const auto* list : {&hook.waiting, &hook.begun}) {
      for (const auto job : *list) {
        if (jobs_.at(job).phase != Phase::request) loose.push_back(job);
      }
    }
    for (const auto job : loose) remove(job);
    retire_if_done(id);
  }
}

bool Control::enter(Time now, Owner owner, Subject subject, std::string_view statement) {
  statement = statement.substr(0, kMaxStatement);
  std::vector<HookId> called;
  for (const auto id : phased_[static_cast<std::size_t>(Phase::request)]) {
    if (fits(hooks_.at(id).spec.match, subject, statement)) called.push_back(id);
  }
  if (called.empty()) return false;
  for (const auto id : called) ++hooks_.at(id).chains;
  subject.statement = std::make_shared<const std::string>(statement);
  owners_[owner] = {Chain(std::move(called)), std::move(subject), 0};
  advance(now, owner);
  return true;
}

bool Control::admit(Time now, Hook& hook, bool& trial) {
  const auto before = hook.breaker.state();
  trial = before != Breaker::State::closed;
  const bool admitted = hook.breaker.admit(now);
  if (hook.breaker.state() != before) changed(now, hook);
  return admitted;
}

// On to the next hook that takes the request, or out.
void Control::advance(Time now, Owner owner) {
  auto& inside = owners_.at(owner);
  inside.job = 0;
  while (const auto next = inside.chain.next()) {
    auto& hook = hooks_.at(*next);
    if (hook.waiting.size() >= limits_.most_waiting) {
      ++hook.counts.crowded;
      inside.chain.failed(hook.spec, Failure::crowded);
      continue;
    }
    bool trial = false;
    if (!admit(now, hook, trial)) {
      ++hook.counts.passed_over;
      inside.chain.failed(hook.spec, Failure::out);
      continue;
    }
    inside.job = add(now, hook, Phase::request, owner, {}, trial);
    return;
  }
  Passed out;
  out.owner = owner;
  out.subject = std::move(inside.subject);
  out.refused = inside.chain.refused();
  out.by = inside.chain.refused_by();
  if (out.by != 0) ++hooks_.at(out.by).counts.refusals;
  leave(owner);
  passed.push_back(std::move(out));
}

void Control::leave(Owner owner) {
  const auto found = owners_.find(owner);
  if (found == owners_.end()) return;
  const auto inside = std::move(found->second);
  owners_.erase(found);
  if (inside.job != 0) {
    if (jobs_.at(inside.job).trial) hooks_.at(jobs_.at(inside.job).hook).breaker.void_trial();
    remove(inside.job);
  }
  for (const auto id : inside.chain.hooks()) {
    --hooks_.at(id).chains;
    retire_if_done(id);
  }
}

JobId Control::add(Time now, Hook& hook, Phase phase, Owner owner, Subject subject, bool trial) {
  const auto id = ++last_job_;
  if (hook.jobs++ == 0) {
    budget_.awake(hook.spec.id, !busy_.empty());
    busy_.push_back(&hook);
  }
  jobs_[id] = {hook.spec.id, phase, owner, std::move(subject), false, trial, false, {}};
  hook.waiting.push_back(id);
  waits_.emplace(now + hook.spec.wait, id);
  return id;
}

void Control::remove(JobId id) {
  const auto found = jobs_.find(id);
  const auto& job = found->second;
  auto& hook = hooks_.at(job.hook);
  auto& list = job.begun ? hook.begun : hook.waiting;
  // Most often it is the first or the last one.
  if (!list.empty() && list.front() == id) {
    list.pop_front();
  } else {
    std::erase(list, id);
  }
  if (job.begun && !job.over) commands.emplace_back(Drop{id, job.hook});
  if (job.phase == Phase::answer) --hook.answers;
  if (job.phase == Phase::timer) hook.timing = false;
  if (--hook.jobs == 0) std::erase(busy_, &hook);
  jobs_.erase(found);
}

void Control::told(Time now, const Subject& end, std::string_view statement) {
  statement = statement.substr(0, kMaxStatement);
  for (const auto id : phased_[static_cast<std::size_t>(Phase::answer)]) {
    auto& hook = hooks_.at(id);
    if (!fits(hook.spec.match, end, statement)) continue;
    if (hook.answers >= limits_.most_told) {
      ++hook.counts.dropped;
      continue;
    }
    bool trial = false;
    if (!admit(now, hook, trial)) {
      ++hook.counts.passed_over;
      continue;
    }
    ++hook.answers;
    add(now, hook, Phase::answer, 0, end, trial);
  }
}

void Control::tick(Time now) {
  for (const auto id : phased_[static_cast<std::size_t>(Phase::timer)]) {
    auto& hook = hooks_.at(id);
    if (hook.timing || now < hook.next_timer) continue;
    hook.next_timer = now + hook.spec.every;
    bool trial = false;
    if (!admit(now, hook, trial)) continue;
    hook.timing = true;
    add(now, hook, Phase::timer, 0, {}, trial);
  }
  while (!waits_.empty() && waits_.top().first <= now) {
    const auto id = waits_.top().second;
    waits_.pop();
    if (jobs_.contains(id)) fail(now, id, Failure::crowded, {});
  }
}

void Control::ran(Time now, Ran ran) {
  if (out_ == ran.job) out_ = 0;
  const auto hook_found = hooks_.find(ran.hook);
  if (hook_found == hooks_.end()) return;
  auto& hook = hook_found->second;
  budget_.charge(now, ran.hook, ran.cpu);
  hook.counts.cpu += ran.cpu;
  hook.memory = ran.memory;
  for (auto& line : ran.said) said.push_back("hook " + hook.spec.name + " says: " + std::move(line));
  const auto found = jobs_.find(ran.job);
  if (found == jobs_.end()) return;  // left meanwhile
  auto& job = found->second;
  job.use.cpu += ran.cpu;
  job.use.instructions += ran.instructions;
  job.over = ran.how != Ran::How::yielded;
  switch (ran.how) {
    case Ran::How::failed:
      return fail(now, ran.job, ran.failure, ran.text);
    case Ran::How::done:
      return end(now, ran.job, Failure::none, ran.verdict);
    case Ran::How::yielded:
      break;
  }
  if (const auto failure = judge(hook.spec, job.use); failure != Failure::none)
    return fail(now, ran.job, failure, {});
  // It goes on before those that began later: one that never ends is found out the sooner.
  hook.begun.insert(std::ranges::lower_bound(hook.begun, ran.job), ran.job);
}

void Control::fail(Time now, JobId id, Failure failure, const std::string& text) {
  auto& hook = hooks_.at(jobs_.at(id).hook);
  if (failure == Failure::time || failure == Failure::instructions) ++hook.counts.cut;
  if (failure == Failure::crowded) ++hook.counts.crowded;
  if (blames(failure)) {
    ++hook.counts.failures;
    blame(now, hook, failure, text);
  }
  end(now, id, failure, {});
}

// The call has ended, one way or the other; its request goes on.
void Control::end(Time now, JobId id, Failure failure, const Verdict& verdict) {
  const auto& job = jobs_.at(id);
  const auto hook_id = job.hook;
  const auto owner = job.owner;
  const auto phase = job.phase;
  const bool trial = job.trial;
  auto& hook = hooks_.at(hook_id);
  ++hook.counts.calls;
  remove(id);
  bool moved = false;
  if (failure == Failure::none) {
    moved = hook.breaker.good(now);
  } else if (blames(failure)) {
    moved = hook.breaker.bad(now);
  } else if (trial) {
    hook.breaker.void_trial();
  }
  if (phase == Phase::request) {
    auto& inside = owners_.at(owner);
    if (failure == Failure::none) {
      inside.chain.took(verdict, inside.subject);
    } else {
      inside.chain.failed(hook.spec, failure);
    }
  }
  if (moved) changed(now, hook);
  if (phase == Phase::request) advance(now, owner);
  retire_if_done(hook_id);
}

void Control::blame(Time now, Hook& hook, Failure failure, const std::string& text) {
  if (now < hook.next_line) {
    ++hook.unsaid;
    return;
  }
  hook.next_line = now + kLineEvery;
  auto line = "hook " + hook.spec.name + ": " + name(failure);
  if (!text.empty()) line += ": " + text;
  if (hook.unsaid > 0)
    line += " (" + std::to_string(std::exchange(hook.unsaid, 0)) + " more failures before)";
  said.push_back(std::move(line));
}

// Its breaker has moved: when it opens, what is inside has nothing to hope for.
void Control::changed(Time now, Hook& hook) {
  auto line = "hook " + hook.spec.name + " is " + name(hook.breaker.state());
  if (hook.breaker.state() == Breaker::State::open) line += " for " + seconds(hook.breaker.pause());
  said.push_back(std::move(line));
  if (hook.breaker.state() != Breaker::State::open) return;
  commands.emplace_back(Renew{hook.spec.id});
  std::vector<JobId> left(hook.waiting.begin(), hook.waiting.end());
  left.insert(left.end(), hook.begun.begin(), hook.begun.end());
  for (const auto id : left) {
    if (jobs_.contains(id)) fail(now, id, Failure::out, {});
  }
}

void Control::renewed(Time now, const Renewed& renewed) {
  const auto found = hooks_.find(renewed.hook);
  if (found == hooks_.end()) return;
  auto& hook = found->second;
  hook.breaker.renewed(renewed.problem.empty(), now);
  if (renewed.problem.empty()) return;
  said.push_back("hook " + hook.spec.name + ": can't be made anew: " + renewed.problem);
  commands.emplace_back(Renew{hook.spec.id});
}

bool Control::ready(const Hook& hook) {
  return !hook.begun.empty() || (!hook.waiting.empty() && hook.begun.size() < hook.spec.at_once);
}

Control::Hook* Control::pick() {
  Hook* best = nullptr;
  Time least{};
  for (auto* hook : busy_) {
    if (!ready(*hook)) continue;
    const auto had = busy_.size() == 1 ? Time::zero() : budget_.attained(hook->spec.id);
    if (best != nullptr && std::pair(had, hook->spec.id) >= std::pair(least, best->spec.id)) continue;
    best = hook;
    least = had;
  }
  return best;
}

void Control::dispatch(Time now) {
  if (out_ != 0 || jobs_.empty() || !budget_.open(now)) return;
  auto* hook = pick();
  if (hook == nullptr) return;
  Run run;
  run.hook = hook->spec.id;
  run.now = now;
  const bool first = !hook->waiting.empty() && hook->begun.size() < hook->spec.at_once;
  auto& list = first ? hook->waiting : hook->begun;
  run.job = list.front();
  list.pop_front();
  auto& job = jobs_.at(run.job);
  run.first = first;
  run.phase = job.phase;
  run.slice = next_slice(hook->spec, job.use);
  if (first) {
    job.begun = true;
    run.subject = job.phase == Phase::request ? owners_.at(job.owner).subject : std::move(job.subject);
  }
  out_ = run.job;
  commands.emplace_back(std::move(run));
}

std::optional<Time> Control::due(Time now) const {
  if (out_ != 0 || jobs_.empty()) return std::nullopt;
  return budget_.due(now);
}

void Control::retire_if_done(HookId id) {
  const auto found = hooks_.find(id);
  if (found == hooks_.end()) return;
  const auto& hook = found->second;
  if (hook.current || hook.chains > 0 || hook.jobs > 0) return;
  commands.emplace_back(Retire{id});
  budget_.forget(id);
  hooks_.erase(found);
}

std::unordered_set<std::uint32_t> Control::tenants() const {
  std::unordered_set<std::uint32_t> out;
  for (const auto& [id, hook] : hooks_)
    out.insert(hook.spec.match.tenants.begin(), hook.spec.match.tenants.end());
  for (const auto& [id, job] : jobs_) {
    if (job.phase == Phase::answer) out.insert(job.subject.tenant);
  }
  return out;
}

std::vector<Status> Control::status() const {
  std::vector<Status> out;
  for (const auto& [id, hook] : hooks_) {
    if (hook.current)
      out.push_back(
          {hook.spec.name, hook.breaker.state(), hook.breaker.until(), hook.jobs, hook.memory, hook.counts});
  }
  std::ranges::sort(out, {}, &Status::name);
  return out;
}

}  // namespace bellstair::hooks
