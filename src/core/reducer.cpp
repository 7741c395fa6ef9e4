#include "core/reducer.hpp"

#include <algorithm>
#include <array>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace bellstair::core {
namespace {
using namespace std::chrono_literals;
using policy::AttemptResult;
using policy::EngineState;

// Should the module have left a request without its answer, it fails so long before the client gives up.
constexpr Time kLastCall = 15ms;
// An answer this close to the deadline is told as timed out, to the fronts that make a difference.
constexpr Time kTimedOut = 60ms;
// After its deadline an answer is late by the protocol, whose time limits have this slack.
constexpr Time kLateAnswer = 50ms;
constexpr Time kSweep = 1s;  // between looks for keys that rest no more
std::size_t weight(const Submission& asked) {
  constexpr std::size_t kEach = 1024;  // for what stands beside the texts
  return kEach + asked.body.size() + asked.parameters.size() + asked.idempotency_key.size();
}

Time longest_deadline(const policy::Settings& settings) {
  Time out{};
  for (const auto& cls : settings.classes) out = std::max(out, cls.client_timeout);
  return out;
}

// The result proves that the attempt never ran.
bool never_ran(AttemptResult result) {
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
}  // namespace

Reducer::Reducer(policy::Settings settings, std::uint64_t seed, std::size_t most_bytes, hooks::Set hooks,
                 std::string changelog)
    : settings_(settings),
      gateway_(std::move(settings), seed),
      own_changelog_(std::move(changelog)),
      lifecycle_(longest_deadline(settings_)),
      hooks_(std::move(hooks)),
      most_bytes_(most_bytes) {}

void Reducer::reduce(Time now, Event event, Effects& out) {
  now_ = now;
  out_ = &out;
  std::visit([this](auto& e) { on(e); }, event);
  settle_hooks();
  if (const auto due = next_call(); due && now_ >= *due) {
    consult();
    settle_hooks();
  }
}

std::optional<Time> Reducer::next_call() const {
  if (news_.empty()) return std::nullopt;
  return called_ + settings_.min_call_interval;
}

// Calls the module with all that has happened, and does what it says. Calls lie a step apart at the least.
void Reducer::consult() {
  called_ = now_;
  for (auto& event : news_) {
    if (auto* arrival = std::get_if<policy::RequestArrival>(&event)) {
      const auto* request = find(arrival->request);
      arrival->time_left =
          request == nullptr ? Time::zero() : std::max(Time::zero(), request->deadline - now_);
    }
  }
  actions_.clear();
  gateway_.handle(now_, news_, actions_);
  news_.clear();
  for (auto& action : actions_) std::visit([this](auto& a) { act(a); }, action);
}

Reducer::Request* Reducer::find(RequestId id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

Reducer::Attempt* Reducer::find(AttemptId id) {
  auto* request = find(id.request);
  return request == nullptr || id.index >= request->attempts.size() ? nullptr : &request->attempts[id.index];
}

// ---- events

void Reducer::on(const ListenersReady&) { lifecycle_.listening(); }

void Reducer::on(RequestReceived& arrived) {
  auto& asked = arrived.submission;
  const auto bytes = weight(asked);
  const auto decision = guard_.may_admit({lifecycle_.phase(), owed_, held_bytes_ + bytes <= most_bytes_,
                                          !asked.ticket.empty() && tickets_.contains(asked.ticket)});
  if (decision != GuardDecision::allowed) {
    ++counters_.turned_down[static_cast<std::size_t>(decision)];
    trace(last_request_, "ticket ", asked.ticket, " is turned down: ", name(decision));
    const bool again = decision != GuardDecision::ticket_in_use;
    return put(Answer{asked.client,
                      again ? AnswerKind::rejected : AnswerKind::failed,
                      again ? settings_.max_retry_after : Time::zero(),
                      {},
                      {}});
  }
  if (!asked.ticket.empty()) tickets_.insert(asked.ticket);
  ++counters_.taken;
  const auto id = ++last_request_;
  trace(id, "ticket ", asked.ticket, " is taken, class ", asked.cls, ", for ", asked.time_limit / 1ms, " ms");
  by_client_[asked.client] = id;
  auto& request = requests_[id];
  request.since = arrived.since == Time::zero() ? now_ : std::min(arrived.since, now_);
  request.deadline = request.since + asked.time_limit;
  request.asked = std::move(asked);
  held_bytes_ += bytes;
  ++owed_;
  wheel_.arm(request.deadline - kLastCall, {Alarm::Kind::deadline, {id, 0}});
  if (enter_hooks(id, request)) return;
  hand_over(id, request);
}

void Reducer::on(const ProcessStalled& stalled) {
  ++counters_.stalls;
  // One that follows at once is taken for the same: what fell due in the first has not had its turn yet.
  const bool goes_on = stalled.since <= stalled_.since + stalled_.length + kLateAnswer;
  const Time since = goes_on ? std::min(stalled_.since, stalled.since) : stalled.since;
  const Time until = stalled.since + stalled.length;
  stalled_ = {since, (goes_on ? std::max(stalled_.since + stalled_.length, until) : until) - since};
  put(Log{"the process did not run for " + std::to_string(stalled.length / 1ms) + " ms",
          log::Level::warning});
}

// An answer that fell due while the process did not run is late through no fault of the program's.
bool Reducer::is_late(const Request& request) const {
  const Time due = request.deadline + kLateAnswer;
  const Time ran_again = stalled_.since + stalled_.length + kLateAnswer;
  return now_ > due && !(stalled_.length > Time::zero() && due >= stalled_.since && now_ <= ran_again);
}

void Reducer::on(const ClientCancelled& cancelled) {
  const auto found = by_client_.find(cancelled.client);
  if (found == by_client_.end()) return;
  const auto id = found->second;
  auto& request = requests_.at(id);
  ++counters_.cancelled;
  trace(id, "is cancelled by its client");
  request.answered = true;  // nothing is owed any more
  by_client_.erase(found);
  --owed_;
  if (request.place == Place::module) news_.push_back(policy::RequestCancelled{id});
  step_out(id, request);
  withdraw_unsent(id, request);
  forget_if_done(id);
}

// A half-close can't be told from a close. What is out may run on, and its answer is written; what is not has
// its answer now, and nothing begins for it any more.
void Reducer::on(const ClientHalfClosed& half) {
  const auto found = by_client_.find(half.client);
  if (found == by_client_.end()) return;
  const auto id = found->second;
  auto& request = requests_.at(id);
  request.half_closed = true;
  ++counters_.half_closed;
  trace(id, "has lost its client's sending side");
  withdraw_unsent(id, request);
  const auto out = [](const Attempt& attempt) { return attempt.stage == Stage::out; };
  if (std::ranges::none_of(request.attempts, out)) give_up(id, request);
}

// Attempts that wait for a connection: nothing of them has left.
void Reducer::withdraw_unsent(RequestId id, Request& request) {
  for (std::size_t n = 0; n < request.attempts.size(); ++n) {
    if (request.attempts[n].stage == Stage::waiting)
      abandon({id, static_cast<AttemptIndex>(n)}, request.attempts[n], false);
  }
}

// Whether a refusal is true: that trying again is harmless.
bool Reducer::may_refuse(const Request& request) const {
  const auto may_have_run = [](const Attempt& a) { return a.may_run_since.has_value(); };
  return guard_.may_reject(request.asked.cls, std::ranges::none_of(request.attempts, may_have_run));
}

GuardDecision Reducer::may_send(AttemptId id, const Request& request) const {
  std::vector<Guard::PriorAttempt> earlier;
  for (std::size_t n = 0; n < request.attempts.size(); ++n) {
    const auto& other = request.attempts[n];
    if (n == id.index || !other.may_run_since) continue;
    const bool running = other.stage != Stage::over || now_ < other.lingers;
    earlier.push_back({{*other.may_run_since, other.zone, other.cell, false}, running});
  }
  const auto& attempt = request.attempts[id.index];
  const auto member = members_.find(attempt.engine);
  Guard::AttemptStart start;
  start.request = id.request;
  start.cls = request.asked.cls;
  start.ordering_key = request.asked.ordering_key;
  start.answered = request.answered;
  start.client_disconnected = request.half_closed;
  start.expires_at = attempt.until;
  start.endpoint = member == members_.end() ? nullptr : &member->second.endpoint;
  start.prior = earlier;
  return guard_.may_start_attempt(start, now_);
}

void Reducer::violated(Violation violation, RequestId id) {
  ++counters_.violations[static_cast<std::size_t>(violation)];
  put(Log{std::string("violation: ") + name(violation) + ", request " + std::to_string(id),
          log::Level::error});
}

template <class... Parts>
void Reducer::trace(RequestId id, const Parts&... parts) {
  if (!tells_all_) return;
  std::ostringstream line;
  line << "request " << id << ' ';
  (line << ... << parts);
  put(Log{std::move(line).str(), log::Level::debug});
}

// The engine's state is looked at once more here: the list may have changed while a connection was made.
void Reducer::on(const AttemptConnected& ready) {
  auto* attempt = find(ready.id);
  if (attempt == nullptr || attempt->stage != Stage::waiting) return;
  const auto& request = requests_.at(ready.id.request);
  const auto decision = may_send(ready.id, request);
  if (decision != GuardDecision::allowed) {
    ++counters_.withheld[static_cast<std::size_t>(decision)];
    trace(ready.id.request, "attempt ", ready.id.index, " is withheld: ", name(decision));
    const bool moved_on =
        decision == GuardDecision::engine_not_ready || decision == GuardDecision::already_answered;
    return abandon(ready.id, *attempt, !moved_on);
  }
  attempt->stage = Stage::out;
  attempt->may_run_since = now_;
  guard_.attempt_started(request.asked.ordering_key, ready.id.request);
  trace(ready.id.request, "attempt ", ready.id.index, " leaves for engine ", attempt->engine);
  attempt->priority = request.priority;
  const auto& asked = request.asked;
  put(Transmit{ready.id, asked.cls, attempt->until - now_, request.memory_mb, request.priority, asked.ticket,
               asked.idempotency_key, asked.body, asked.parameters});
}

// A note without a figure: neither the attempt nor its engine is lost, however long it takes.
void Reducer::on(const AttemptProgressed& heard) {
  const auto* attempt = find(heard.id);
  if (attempt == nullptr || attempt->stage != Stage::out) return;
  news_.push_back(policy::AttemptProgress{heard.id.request, heard.id.index, attempt->engine,
                                          policy::ProgressKind::waiting, 0});
}

void Reducer::on(AttemptEnded& ended) {
  auto* attempt = find(ended.id);
  if (attempt == nullptr || attempt->stage == Stage::over) return;
  // What was given up before its first byte has never run.
  const bool unsent = ended.end == AttemptEnd::expired;
  conclude(ended.id, requests_.at(ended.id.request),
           unsent ? AttemptResult::not_started : result_of(ended.end, attempt->timed_out), &ended);
}

void Reducer::conclude(AttemptId id, Request& request, AttemptResult result, AttemptEnded* told) {
  auto& attempt = request.attempts[id.index];
  if (told != nullptr) {
    ++counters_.attempts[static_cast<std::size_t>(told->end)];
    attempt.lingers = now_ + told->may_run_for;
    trace(id.request, "attempt ", id.index, " ended: ", name(told->end));
  }
  if (attempt.stage == Stage::out || attempt.may_run_since)
    guard_.attempt_ended(request.asked.ordering_key, id.request, attempt.lingers);
  attempt.stage = Stage::over;
  if (never_ran(result)) attempt.may_run_since.reset();
  policy::AttemptOutcome outcome;
  outcome.request = id.request;
  outcome.attempt = id.index;
  outcome.engine = attempt.engine;
  outcome.result = result;
  outcome.latency = now_ - attempt.begun;
  if (told != nullptr) {
    outcome.work = told->work;
    outcome.memory_mb = told->memory_mb;
    outcome.load_report = std::move(told->load_report);
    outcome.may_run_for = told->may_run_for;
    if (result == AttemptResult::served && !request.answered)
      answer(id.request, request, AnswerKind::served, Time::zero(), std::move(told->body),
             std::move(told->shape));
    if (result != AttemptResult::served && !told->body.empty()) request.last_word = std::move(told->body);
  }
  const auto out = [](const Attempt& other) { return other.stage == Stage::out; };
  if (request.half_closed && !request.answered && std::ranges::none_of(request.attempts, out))
    answer_unserved(id.request, request);
  outcome.request_closed = request.answered;
  news_.push_back(std::move(outcome));
  forget_if_done(id.request);
}

void Reducer::on(HealthCheckEnded& ended) {
  policy::HealthCheckResult probe;
  auto& sent = probes_[ended.engine];
  if (!sent.empty()) {
    probe.latency = now_ - sent.front();
    sent.erase(sent.begin());
  }
  if (sent.empty()) probes_.erase(ended.engine);
  probe.engine = ended.engine;
  probe.result = ended.result;
  probe.load = std::move(ended.load);
  news_.push_back(std::move(probe));
}

void Reducer::on(GossipReceived& heard) {
  news_.push_back(policy::GossipMessage{heard.from, std::move(heard.bytes)});
}

void Reducer::on(const ShutdownRequested& asked) {
  // Requests taken before a version that made deadlines shorter keep theirs.
  Time longest = longest_deadline(settings_);
  for (const auto& [id, request] : requests_) {
    if (!request.answered) longest = std::max(longest, request.deadline - now_);
  }
  // The platform's kill counts from the signal, not from when it was heard.
  lifecycle_.stop(asked.since == Time::zero() ? now_ : std::min(asked.since, now_), longest);
  put(Log{std::string("phase: ") + name(lifecycle_.phase())});
}

// What was taken, the engines known and the module's state carry on: only where news come from may change.
void Reducer::on(ConfigurationRead& read) {
  for (std::size_t at = 0; at < read.problem.size();) {  // a line for each
    const auto end = std::min(read.problem.find('\n', at), read.problem.size());
    put(Log{"the configuration stays as it was: " + read.problem.substr(at, end - at)});
    at = end + 1;
  }
  if (!read.problem.empty()) return;
  std::string said = "the configuration was read again";
  for (std::size_t i = 0; i < read.fixed.size(); ++i)
    said += (i == 0 ? "; changed, but of use only after a restart: " : ", ") + read.fixed[i];
  if (read.hooks) {
    said += "; hooks: " + std::to_string(read.hooks->hooks.size());
    hooks_.install(now_, std::move(*read.hooks));
  }
  own_changelog_ = std::move(read.changelog);
  if (!named_changelog_.empty() && named_changelog_ != own_changelog_)
    said += "; the change log stays at " + named_changelog_ + ", as the version in force has it";
  put(Log{std::move(said)});
  put(FollowChangeLog{named_changelog_.empty() ? own_changelog_ : named_changelog_});
}

// The module first: it throws before anything has changed, and nothing after it can fail.
void Reducer::on(SettingsOffered& offered) {
  const auto version = std::to_string(offered.epoch) + '.' + std::to_string(offered.number);
  try {
    gateway_.reconfigure(offered.settings);
  } catch (const std::invalid_argument& error) {
    put(Log{"settings of version " + version + " can't be used, the old ones stay: " + error.what()});
    return put(SettingsRejected{offered.epoch, offered.number, error.what()});
  }
  settings_ = std::move(offered.settings);
  named_changelog_ = std::move(offered.changelog);
  put(SettingsApplied{offered.epoch, offered.number, settings_,
                      named_changelog_.empty() ? own_changelog_ : named_changelog_,
                      std::move(offered.names)});
  put(Log{"settings of version " + version + " are in force"});
}

std::unordered_set<std::uint32_t> Reducer::tenants_held() const {
  auto out = hooks_.tenants();
  for (const auto& [id, request] : requests_) out.insert(request.asked.tenant);
  return out;
}

void Reducer::on(const Tick& tick) {
  wheel_.advance(now_, [this](const Alarm& alarm) { on(alarm); });
  hooks_.tick(now_);
  if (now_ >= guard_swept_ + kSweep) {
    guard_swept_ = now_;
    guard_.remove_idle_keys(now_);
  }
  if (lifecycle_.overdue(now_)) give_up_all();
  // What stays in the table without an answer owed waits for engines to hear that it was given up.
  if (!lifecycle_.advance(now_, owed_ > 0, tick.unwritten || !requests_.empty())) return;
  put(Log{std::string("phase: ") + name(lifecycle_.phase())});
  if (lifecycle_.phase() == Phase::stopping) put(CloseClientConnections{});
  if (lifecycle_.phase() != Phase::exited) return;
  if (owed_ > 0) violated(Violation::unanswered_at_exit, 0);
  put(Exit{});
}

// The program ends before these could: better a refusal now than none at all.
void Reducer::give_up_all() {
  std::vector<RequestId> open;
  for (const auto& [id, request] : requests_) {
    if (!request.answered) open.push_back(id);
  }
  for (const auto id : open) give_up(id, requests_.at(id));
}

// One request, at once and whole: its answer, its attempts, its place with the module.
void Reducer::give_up(RequestId id, Request& request) {
  if (request.place == Place::module) news_.push_back(policy::RequestCancelled{id});
  answer_unserved(id, request);
  for (std::size_t n = 0; n < request.attempts.size(); ++n)
    abandon({id, static_cast<AttemptIndex>(n)}, request.attempts[n], false);
  forget_if_done(id);
}

// Refused, where trying again is harmless; else it has failed.
void Reducer::answer_unserved(RequestId id, Request& request) {
  const Time pause = settings_.sends_retry_after ? settings_.max_retry_after : Time::zero();
  may_refuse(request) ? answer(id, request, AnswerKind::rejected, pause, {})
                      : answer(id, request, AnswerKind::failed, {}, {});
}

void Reducer::on(const Alarm& alarm) {
  switch (alarm.kind) {
    case Alarm::Kind::wake:
      news_.push_back(policy::TimerFired{});
      return;
    case Alarm::Kind::attempt:
      if (auto* attempt = find(alarm.id); attempt != nullptr) abandon(alarm.id, *attempt, true);
      return;
    case Alarm::Kind::deadline:
      if (auto* request = find(alarm.id.request); request != nullptr && !request->answered) {
        if (request->place == Place::module) news_.push_back(policy::RequestCancelled{alarm.id.request});
        answer(alarm.id.request, *request, AnswerKind::timed_out, Time::zero(), {});
        forget_if_done(alarm.id.request);
      }
      return;
  }
}

// ---- the module's actions

void Reducer::act(const policy::SendAttempt& send) {
  auto* request = find(send.request);
  if (request == nullptr) return;
  const AttemptId id{send.request, static_cast<AttemptIndex>(request->attempts.size())};
  Attempt attempt;
  attempt.engine = send.engine;
  attempt.begun = now_;
  attempt.until =
      std::min(send.give_up_at == Time::zero() ? request->deadline : send.give_up_at, request->deadline);
  if (const auto member = members_.find(send.engine); member != members_.end()) {
    attempt.zone = member->second.endpoint.zone;
    attempt.cell = member->second.endpoint.cell;
  }
  request->attempts.push_back(attempt);
  const auto decision = may_send(id, *request);
  if (decision != GuardDecision::allowed) {
    if (Guard::is_violation(decision)) violated(Violation::unsafe_attempt, id.request);
    ++counters_.withheld[static_cast<std::size_t>(decision)];
    trace(id.request, "attempt ", id.index, " is not begun: ", name(decision));
    return conclude(id, *request, AttemptResult::not_started, nullptr);
  }
  wheel_.arm(attempt.until, {Alarm::Kind::attempt, id});
  put(StartAttempt{id, send.engine});
}

void Reducer::act(const policy::CancelAttempt& off) {
  const AttemptId id{off.request, off.attempt};
  if (auto* attempt = find(id); attempt != nullptr) abandon(id, *attempt, false);
}

void Reducer::abandon(AttemptId id, Attempt& attempt, bool timed_out) {
  if (attempt.stage != Stage::waiting && attempt.stage != Stage::out) return;
  attempt.stage = Stage::leaving;
  attempt.timed_out = timed_out;
  put(CancelAttempt{id});
}

void Reducer::act(const policy::Reject& refuse) {
  auto* request = find(refuse.request);
  if (request == nullptr || request->answered) return;
  ++counters_.unserved[static_cast<std::size_t>(refuse.reason)];
  trace(refuse.request, "is refused: ", name(refuse.reason));
  if (!may_refuse(*request)) {
    violated(Violation::unsafe_rejection, refuse.request);
    answer(refuse.request, *request, AnswerKind::failed, Time::zero(), {});
    return forget_if_done(refuse.request);
  }
  answer(refuse.request, *request, AnswerKind::rejected, refuse.retry_after, {});
  forget_if_done(refuse.request);
}

void Reducer::act(const policy::Fail& fail) {
  auto* request = find(fail.request);
  if (request == nullptr || request->answered) return;
  ++counters_.unserved[static_cast<std::size_t>(fail.reason)];
  trace(fail.request, "is failed: ", name(fail.reason));
  const bool late = now_ >= request->deadline - kTimedOut;
  answer(fail.request, *request, late ? AnswerKind::timed_out : AnswerKind::failed, Time::zero(), {});
  forget_if_done(fail.request);
}

void Reducer::act(const policy::AttemptTerms& terms) {
  auto* request = find(terms.request);
  if (request == nullptr) return;
  request->memory_mb = terms.memory_mb;
  request->priority = terms.priority;
  for (std::size_t n = 0; n < request->attempts.size(); ++n) {
    auto& attempt = request->attempts[n];
    if (attempt.stage != Stage::out || attempt.priority == terms.priority) continue;
    attempt.priority = terms.priority;
    put(Reprioritize{{terms.request, static_cast<AttemptIndex>(n)}, terms.priority});
  }
}

void Reducer::act(const policy::ScheduleTimer& wake) {
  wheel_.arm(now_ + wake.delay, {Alarm::Kind::wake, {}});
}

void Reducer::act(const policy::SendHealthCheck& probe) {
  probes_[probe.engine].push_back(now_);
  put(SendHealthCheck{probe.engine});
}

void Reducer::act(policy::SendGossip& tell) { put(SendGossip{tell.to, std::move(tell.bytes)}); }
void Reducer::act(policy::LogMessage& trace) { put(Log{std::move(trace.text)}); }

void Reducer::answer(RequestId id, Request& request, AnswerKind kind, Time pause, std::string body,
                     std::string shape) {
  if (request.answered) return violated(Violation::duplicate_answer, id);
  if (is_late(request)) violated(Violation::late_answer, id);
  ++counters_.answered[static_cast<std::size_t>(kind)];
  trace(id, "is answered: ", name(kind), ", after ", (now_ - request.since) / 1ms, " ms");
  if (kind != AnswerKind::served) body = request.last_word;
  request.answered = true;
  by_client_.erase(request.asked.client);
  --owed_;
  step_out(id, request);
  put(Answer{request.asked.client, kind, pause, std::move(body), std::move(shape)});
  tell_end(request, kind, pause);
}

void Reducer::forget_if_done(RequestId id) {
  const auto found = requests_.find(id);
  if (found == requests_.end() || !found->second.answered) return;
  const auto over = [](const Attempt& attempt) { return attempt.stage == Stage::over; };
  if (std::ranges::all_of(found->second.attempts, over)) {
    held_bytes_ -= weight(found->second.asked);
    tickets_.erase(found->second.asked.ticket);
    requests_.erase(found);
  }
}

}  // namespace bellstair::core
