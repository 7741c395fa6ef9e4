// The part of the reducer that leads requests through their hooks: in order by key, and back to the module.
#include <algorithm>
#include <array>
#include <utility>

#include "core/reducer.hpp"

namespace bellstair::core {
namespace {
using namespace std::chrono_literals;

// Lines of the log about tagged requests in a second.
constexpr unsigned kMaxTagged = 50;

// What hooks of all phases are shown of a request.
hooks::Subject subject_of(const Submission& asked) {
  hooks::Subject out;
  out.cls = asked.cls;
  out.tenant = asked.tenant;
  out.front = static_cast<std::uint8_t>(asked.front);
  return out;
}

}  // namespace

// False: it has none to go through, and nobody of its key before it has.
bool Reducer::enter_hooks(RequestId id, Request& request) {
  if (!hooks_.any(hooks::Phase::request) && lines_.empty()) return false;
  const auto& taken = request.asked;
  auto subject = subject_of(taken);
  subject.statement_size = taken.body.size();
  subject.limit = taken.time_limit;
  subject.cpu = taken.estimated_work;
  subject.ram = taken.estimated_memory_mb;
  subject.group = taken.data_group;
  subject.second = taken.is_client_retry;
  const bool inside = hooks_.enter(now_, id, std::move(subject), taken.body);
  // One that comes behind another of its key stays behind it, whether a hook is for it or not.
  const bool behind = in_line(taken) && (inside || lines_.contains(taken.ordering_key));
  if (behind) lines_[taken.ordering_key].push_back(id);
  request.place = inside ? Place::hooks : behind ? Place::line : Place::module;
  return request.place != Place::module;
}

bool Reducer::in_line(const Submission& asked) const {
  return asked.ordering_key != 0 && settings_.classes[asked.cls].ordered_by_key;
}

// The module hears of it.
void Reducer::hand_over(RequestId id, Request& request) {
  request.place = Place::module;
  const auto& asked = request.asked;
  policy::RequestArrival arrival;
  arrival.request = id;
  arrival.cls = asked.cls;
  arrival.tenant = asked.tenant;
  arrival.ordering_key = asked.ordering_key;
  arrival.estimated_work = asked.estimated_work;
  arrival.estimated_memory_mb = asked.estimated_memory_mb;
  arrival.data_group = asked.data_group;
  arrival.is_client_retry = asked.is_client_retry;
  news_.push_back(arrival);
}

// Its hooks are through with it, or its answer is fixed: those behind it may go on.
void Reducer::step_out(RequestId id, Request& request) {
  if (request.place == Place::module) return;
  if (request.place == Place::hooks) hooks_.leave(id);
  request.place = Place::module;
  const auto line = lines_.find(request.asked.ordering_key);
  if (line == lines_.end() || !in_line(request.asked)) return;
  std::erase(line->second, id);
  moved_lines_.push_back(line->first);
}

void Reducer::advance_line(std::uint64_t key) {
  const auto line = lines_.find(key);
  if (line == lines_.end()) return;
  auto& waiting = line->second;
  while (!waiting.empty()) {
    auto& request = requests_.at(waiting.front());
    if (request.place == Place::hooks) return;
    hand_over(waiting.front(), request);
    waiting.pop_front();
  }
  lines_.erase(line);
}

void Reducer::let_through(hooks::Passed& passed) {
  auto* request = find(passed.owner);
  if (request == nullptr || request->answered) return;
  request->tags = std::move(passed.subject.tags);
  if (passed.refused) {
    const Time pause =
        settings_.sends_retry_after ? std::min(*passed.refused, settings_.max_retry_after) : Time::zero();
    answer(passed.owner, *request, AnswerKind::rejected, pause, {});
    return forget_if_done(passed.owner);
  }
  auto& asked = request->asked;
  asked.estimated_work = passed.subject.cpu;
  asked.estimated_memory_mb = passed.subject.ram;
  asked.is_client_retry = passed.subject.second;
  if (!in_line(asked)) return hand_over(passed.owner, *request);
  request->place = Place::line;
  moved_lines_.push_back(asked.ordering_key);
}

// What the hooks' decisions have come to, until there is nothing more to be done about them in this step.
void Reducer::settle_hooks() {
  if (hooks_.quiet() && moved_lines_.empty()) return;
  while (!hooks_.passed.empty() || !moved_lines_.empty()) {
    auto passed = std::exchange(hooks_.passed, {});
    for (auto& through : passed) let_through(through);
    const auto moved = std::exchange(moved_lines_, {});
    for (const auto key : moved) advance_line(key);
  }
  hooks_.dispatch(now_);
  for (auto& command : hooks_.commands) std::visit([this](auto& c) { put(std::move(c)); }, command);
  hooks_.commands.clear();
  for (auto& line : hooks_.said) put(Log{std::move(line)});
  hooks_.said.clear();
}

// To hooks of phase answer, and to the log if it was tagged.
void Reducer::tell_end(const Request& request, AnswerKind kind, Time pause) {
  constexpr std::array kKinds{"served", "refused", "failed", "timed_out"};
  const auto& asked = request.asked;
  const char* const what = kKinds.at(static_cast<std::size_t>(kind));
  if (hooks_.any(hooks::Phase::answer)) {
    auto end = subject_of(asked);
    end.tags = request.tags;
    end.kind = what;
    end.duration = now_ - request.since;
    end.later = pause;
    end.attempts = request.attempts.size();
    hooks_.told(now_, end, asked.body);
  }
  if (request.tags.empty()) return;
  if (now_ >= tags_second_ + 1s) {
    if (tags_unsaid_ > 0) put(Log{"tagged: " + std::to_string(tags_unsaid_) + " more requests"});
    tags_second_ = now_;
    tags_lines_ = tags_unsaid_ = 0;
  }
  if (++tags_lines_ > kMaxTagged) {
    ++tags_unsaid_;
    return;
  }
  std::string tags;
  for (const auto& tag : request.tags) tags += (tags.empty() ? "" : ",") + tag;
  const auto tenant =
      asked.tenant < settings_.tenants.size() ? settings_.tenants[asked.tenant].name : std::string();
  put(Log{
      "tagged: tags=" + tags + " class=" + settings_.classes[asked.cls].name + " tenant=" + tenant +
      " end=" + what + " ms=" +
      std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now_ - request.since).count()) +
      " attempts=" + std::to_string(request.attempts.size())});
}

}  // namespace bellstair::core
