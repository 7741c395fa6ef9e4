#include "core/reducer.hpp"

#include <algorithm>
#include <utility>

namespace bellstair::core {
namespace {
using namespace std::chrono_literals;
using heronwell::EngineState;
using heronwell::Result;

// Should the module have left a request without its answer, it fails so long before the client gives up.
constexpr Time kLastCall = 15ms;
// An answer this close to the deadline is told as timed out, to the fronts that make a difference.
constexpr Time kTimedOut = 60ms;

std::size_t weight(const Submission& asked) {
  constexpr std::size_t kEach = 1024;  // for what stands beside the texts
  return kEach + asked.body.size() + asked.parameters.size() + asked.nonce.size();
}

Result result_of(AttemptEnd end, bool timed_out) {
  switch (end) {
    case AttemptEnd::served:
      return Result::served;
    case AttemptEnd::error:
      return Result::error;
    case AttemptEnd::turned_away:
      return Result::turned_away;
    case AttemptEnd::expired:
      return Result::moot;
    case AttemptEnd::not_connected:
      return Result::not_connected;
    case AttemptEnd::reset:
      return Result::reset;
    case AttemptEnd::withdrawn:
      break;
  }
  return timed_out ? Result::timed_out : Result::called_off;
}
}  // namespace

Reducer::Reducer(heronwell::Settings settings, std::uint64_t seed, std::size_t most_bytes)
    : settings_(settings), gateway_(std::move(settings), seed), most_bytes_(most_bytes) {}

void Reducer::reduce(Time now, Event event, Effects& out) {
  now_ = std::max(now_, now);
  out_ = &out;
  std::visit([this](auto& e) { on(e); }, event);
  if (const auto due = next_call(); due && now_ >= *due) consult();
}

std::optional<Time> Reducer::next_call() const {
  if (news_.empty()) return std::nullopt;
  return called_ + settings_.step;
}

// Calls the module with all that has happened, and does what it says. Calls lie a step apart at the least.
void Reducer::consult() {
  called_ = now_;
  for (auto& event : news_) {
    if (auto* arrival = std::get_if<heronwell::Arrival>(&event)) {
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

void Reducer::on(const Listening&) { lifecycle_.listening(); }

void Reducer::on(FleetChange& change) {
  heronwell::Listing listing;
  listing.kind = !change.full  ? heronwell::ListKind::delta
                 : fleet_told_ ? heronwell::ListKind::full
                               : heronwell::ListKind::cached;
  if (change.full) {
    std::erase_if(members_, [&](const auto& known) {
      const auto same = [&](const Member& m) { return m.entry.engine == known.first; };
      if (std::ranges::any_of(change.members, same)) return false;
      put(EngineMoved{known.first, known.second.address, false, false});
      return true;
    });
  }
  for (auto& member : change.members) {
    listing.engines.push_back(member.entry);
    const auto state = member.entry.state;
    put(EngineMoved{member.entry.engine, member.address, state != EngineState::gone,
                    state == EngineState::ready});
    const auto id = member.entry.engine;
    // Engines come with new ids for ever: what is gone is not kept.
    if (state == EngineState::gone) {
      members_.erase(id);
    } else {
      members_.insert_or_assign(id, std::move(member));
    }
  }
  fleet_told_ = true;
  news_.push_back(std::move(listing));
  // What still waits for a connection to an engine that drains or is gone must not leave after all.
  for (auto& [id, request] : requests_) {
    for (std::size_t n = 0; n < request.attempts.size(); ++n) {
      auto& attempt = request.attempts[n];
      const auto member = members_.find(attempt.engine);
      const bool ready = member != members_.end() && member->second.entry.state == EngineState::ready;
      if (attempt.stage == Stage::waiting && !ready)
        abandon({id, static_cast<AttemptIndex>(n)}, attempt, false);
    }
  }
  if (change.live) on(FleetQuiet{});
}

void Reducer::on(const FleetQuiet&) {
  const auto ready = [](const auto& m) { return m.second.entry.state == EngineState::ready; };
  if (std::ranges::any_of(members_, ready)) lifecycle_.fleet_known();
}

void Reducer::on(Arrived& arrived) {
  auto& asked = arrived.asked;
  if (asked.barred) return put(Answer{asked.client, AnswerKind::refused, *asked.barred, {}, {}});
  const auto bytes = weight(asked);
  if ((settings_.max_open != 0 && owed_ >= settings_.max_open) || held_bytes_ + bytes > most_bytes_) {
    return put(Answer{asked.client, AnswerKind::refused, settings_.max_retry_after, {}, {}});
  }
  // Engines know a query by its ticket: another under the same would get the first one's answer.
  if (!asked.ticket.empty() && !tickets_.insert(asked.ticket).second)
    return put(Answer{asked.client, AnswerKind::failed, {}, {}, {}});
  const auto id = ++last_request_;
  heronwell::Arrival arrival;
  arrival.request = id;
  arrival.cls = asked.cls;
  arrival.tenant = asked.tenant;
  arrival.order_key = asked.order_key;
  arrival.cost = asked.cost;
  arrival.memory_mb = asked.memory_mb;
  arrival.data_group = asked.data_group;
  arrival.repeat = asked.repeat;
  by_client_[asked.client] = id;
  auto& request = requests_[id];
  request.deadline = now_ + asked.limit;
  request.asked = std::move(asked);
  held_bytes_ += bytes;
  ++owed_;
  wheel_.arm(request.deadline - kLastCall, {Alarm::Kind::deadline, {id, 0}});
  news_.push_back(arrival);
}

void Reducer::on(const Cancelled& cancelled) {
  const auto found = by_client_.find(cancelled.client);
  if (found == by_client_.end()) return;
  const auto id = found->second;
  auto& request = requests_.at(id);
  request.answered = true;  // nothing is owed any more
  by_client_.erase(found);
  --owed_;
  news_.push_back(heronwell::ClientLeft{id});
  forget_if_done(id);
}

// The engine's state is looked at once more here: the list may have changed while a connection was made.
void Reducer::on(const AttemptReady& ready) {
  auto* attempt = find(ready.id);
  if (attempt == nullptr || attempt->stage != Stage::waiting) return;
  const auto& request = requests_.at(ready.id.request);
  const auto member = members_.find(attempt->engine);
  const bool usable = member != members_.end() && member->second.entry.state == EngineState::ready;
  if (!usable || request.answered || now_ >= attempt->until)
    return abandon(ready.id, *attempt, usable && !request.answered);
  attempt->stage = Stage::out;
  attempt->priority = request.priority;
  const auto& asked = request.asked;
  put(Transmit{ready.id, asked.cls, attempt->until - now_, request.memory_mb, request.priority, asked.ticket,
               asked.nonce, asked.body, asked.parameters});
}

// A note without a figure: neither the attempt nor its engine is lost, however long it takes.
void Reducer::on(const AttemptHeard& heard) {
  const auto* attempt = find(heard.id);
  if (attempt == nullptr || attempt->stage != Stage::out) return;
  news_.push_back(
      heronwell::Note{heard.id.request, heard.id.index, attempt->engine, heronwell::NoteKind::waiting, 0});
}

void Reducer::on(AttemptEnded& ended) {
  auto* attempt = find(ended.id);
  if (attempt == nullptr || attempt->stage == Stage::over) return;
  // What was given up before its first byte has never run.
  const bool unsent = ended.end == AttemptEnd::expired;
  conclude(ended.id, requests_.at(ended.id.request),
           unsent ? Result::moot : result_of(ended.end, attempt->timed_out), &ended);
}

void Reducer::conclude(AttemptId id, Request& request, Result result, AttemptEnded* told) {
  auto& attempt = request.attempts[id.index];
  attempt.stage = Stage::over;
  heronwell::Outcome outcome;
  outcome.request = id.request;
  outcome.attempt = id.index;
  outcome.engine = attempt.engine;
  outcome.result = result;
  outcome.latency = now_ - attempt.begun;
  if (told != nullptr) {
    outcome.work = told->work;
    outcome.memory_mb = told->memory_mb;
    outcome.load = std::move(told->load);
    if (result == Result::served && !request.answered)
      answer(request, AnswerKind::served, Time::zero(), std::move(told->body), std::move(told->shape));
    if (result != Result::served && !told->body.empty()) request.last_word = std::move(told->body);
  }
  outcome.closed = request.answered;
  news_.push_back(std::move(outcome));
  forget_if_done(id.request);
}

void Reducer::on(ProbeEnded& ended) {
  heronwell::ProbeResult probe;
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

void Reducer::on(PeerHeard& heard) {
  news_.push_back(heronwell::PeerMessage{heard.from, std::move(heard.bytes)});
}

void Reducer::on(const StopAsked&) {
  lifecycle_.stop(now_);
  put(Log{std::string("phase: ") + name(lifecycle_.phase())});
}

// What was taken, the engines known and the module's state carry on: only where news come from may change.
void Reducer::on(ConfigurationRead& read) {
  if (!read.problem.empty()) return put(Log{"the configuration stays as it was: " + read.problem});
  std::string said = "the configuration was read again";
  for (std::size_t i = 0; i < read.fixed.size(); ++i)
    said += (i == 0 ? "; changed, but of use only after a restart: " : ", ") + read.fixed[i];
  put(Log{std::move(said)});
  put(FollowChangeLog{std::move(read.changelog)});
}

void Reducer::on(const Tick& tick) {
  wheel_.advance(now_, [this](const Alarm& alarm) { on(alarm); });
  if (lifecycle_.overdue(now_)) give_up_all();
  // What stays in the table without an answer owed waits for engines to hear that it was given up.
  if (!lifecycle_.advance(now_, owed_ > 0, tick.unwritten || !requests_.empty())) return;
  put(Log{std::string("phase: ") + name(lifecycle_.phase())});
  if (lifecycle_.phase() == Phase::exited) put(Exit{});
}

// The program ends before these could: better a refusal now than none at all. Where a repeat may do harm,
// they have failed.
void Reducer::give_up_all() {
  std::vector<RequestId> open;
  for (const auto& [id, request] : requests_) {
    if (!request.answered) open.push_back(id);
  }
  for (const auto id : open) {
    auto& request = requests_.at(id);
    const auto& set = settings_.classes[request.asked.cls];
    const bool harmless =
        request.attempts.empty() || set.effect == heronwell::Effect::safe ||
        (set.effect == heronwell::Effect::keyed && set.group == heronwell::RepeatGroup::all);
    const Time pause = settings_.retry_after ? settings_.max_retry_after : Time::zero();
    harmless ? answer(request, AnswerKind::refused, pause, {}) : answer(request, AnswerKind::failed, {}, {});
    for (std::size_t n = 0; n < request.attempts.size(); ++n)
      abandon({id, static_cast<AttemptIndex>(n)}, request.attempts[n], false);
    news_.push_back(heronwell::ClientLeft{id});
    forget_if_done(id);
  }
}

void Reducer::on(const Alarm& alarm) {
  switch (alarm.kind) {
    case Alarm::Kind::wake:
      news_.push_back(heronwell::Wake{});
      return;
    case Alarm::Kind::attempt:
      if (auto* attempt = find(alarm.id); attempt != nullptr) abandon(alarm.id, *attempt, true);
      return;
    case Alarm::Kind::deadline:
      if (auto* request = find(alarm.id.request); request != nullptr && !request->answered) {
        answer(*request, AnswerKind::timed_out, Time::zero(), {});
        news_.push_back(heronwell::ClientLeft{alarm.id.request});
        forget_if_done(alarm.id.request);
      }
      return;
  }
}

// ---- the module's actions

void Reducer::act(const heronwell::Send& send) {
  auto* request = find(send.request);
  if (request == nullptr) return;
  const AttemptId id{send.request, static_cast<AttemptIndex>(request->attempts.size())};
  Attempt attempt;
  attempt.engine = send.engine;
  attempt.begun = now_;
  attempt.until = std::min(send.until == Time::zero() ? request->deadline : send.until, request->deadline);
  request->attempts.push_back(attempt);
  if (request->answered || attempt.until <= now_) return conclude(id, *request, Result::moot, nullptr);
  wheel_.arm(attempt.until, {Alarm::Kind::attempt, id});
  put(StartAttempt{id, send.engine});
}

void Reducer::act(const heronwell::CallOff& off) {
  const AttemptId id{off.request, off.attempt};
  if (auto* attempt = find(id); attempt != nullptr) abandon(id, *attempt, false);
}

void Reducer::abandon(AttemptId id, Attempt& attempt, bool timed_out) {
  if (attempt.stage != Stage::waiting && attempt.stage != Stage::out) return;
  attempt.stage = Stage::leaving;
  attempt.timed_out = timed_out;
  put(Abandon{id});
}

void Reducer::act(const heronwell::Refuse& refuse) {
  auto* request = find(refuse.request);
  if (request == nullptr || request->answered) return;
  answer(*request, AnswerKind::refused, refuse.pause, {});
  forget_if_done(refuse.request);
}

void Reducer::act(const heronwell::Fail& fail) {
  auto* request = find(fail.request);
  if (request == nullptr || request->answered) return;
  const bool late = now_ >= request->deadline - kTimedOut;
  answer(*request, late ? AnswerKind::timed_out : AnswerKind::failed, Time::zero(), {});
  forget_if_done(fail.request);
}

void Reducer::act(const heronwell::Terms& terms) {
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

void Reducer::act(const heronwell::WakeAfter& wake) {
  wheel_.arm(now_ + wake.delay, {Alarm::Kind::wake, {}});
}

void Reducer::act(const heronwell::Probe& probe) {
  probes_[probe.engine].push_back(now_);
  put(ProbeEngine{probe.engine});
}

void Reducer::act(heronwell::Tell& tell) { put(TellPeers{tell.to, std::move(tell.bytes)}); }
void Reducer::act(heronwell::Trace& trace) { put(Log{std::move(trace.text)}); }

void Reducer::answer(Request& request, AnswerKind kind, Time pause, std::string body, std::string shape) {
  if (kind != AnswerKind::served) body = request.last_word;
  request.answered = true;
  by_client_.erase(request.asked.client);
  --owed_;
  put(Answer{request.asked.client, kind, pause, std::move(body), std::move(shape)});
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
