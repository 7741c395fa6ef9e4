#include "judge.hpp"

#include <algorithm>
#include <cmath>
#include <sstream>
#include <tuple>

#include "records.hpp"

namespace bellstair::soak {
namespace {
// Durations in ms.
constexpr double kMachineSlack = 150;     // what a busy machine may add to any duration
constexpr double kAfterClientLeft = 100;  // an attempt may begin this long after its client has left
constexpr double kDrainGrace = 500 + 50;
constexpr double kDeadlineSlack = 150;    // added to the deadline that an engine receives
constexpr double kLateAnswerGrace = 500;  // an answer may be this late, but has no value then
constexpr double kCloseRace = 60;  // a request may be lost if its idle connection closes within this time
constexpr double kServedAfterStop = 700;  // requests sent later than this after SIGTERM may stay unanswered
constexpr double kMaxChangeLogDelay = 7000;
constexpr double kChangeLogRecovery = 2000;  // from the end of a change log outage until a broker polls again
constexpr double kMaxRestart = 4500;         // from SIGTERM to the next process
constexpr double kOrphanTimeout = 2000;      // a query that is no longer polled runs on for this long
constexpr double kDeduplicationWindow = 15'000;  // in which engines drop repeated requests of a key

struct Attempt {
  std::string engine, cls;
  double max_ms = 0, began_at = 0, ended_at = kNever;
};
struct Request {
  std::string ticket, cls, key, broker;
  double limit = 0, sent_at = 0, left_at = kNever, half_closed_at = kNever, unanswered_at = kNever;
  bool first_on_connection = false;
  std::vector<std::pair<std::string, double>> answers;  // kind and time
  std::vector<Attempt> attempts;
};

class Judge {
 public:
  Judge(const History& history, const SlowStart& slow_start) : history_(history), slow_start_(slow_start) {}

  void read(const std::vector<std::string>& records) {
    for (const auto& line : records) {
      const auto words = split_words(line);
      if (!words.empty()) add_record(words);
    }
  }

  Findings check() {
    for (auto& [ticket, request] : requests_) {
      if (request.sent_at == 0) continue;  // its record was lost with the client process
      check_answer(request);
      check_attempts(request);
    }
    check_order();
    check_engines();
    findings_.counts["requests"] = requests_.size();
    return std::move(findings_);
  }

 private:
  void add_record(const std::vector<std::string>& words) {
    const auto number = [&](std::size_t i) { return std::stod(words.at(i)); };
    if (words[0] == "request") {
      auto& request = requests_[words.at(1)];
      request.ticket = words[1], request.cls = words.at(2), request.key = words.at(3),
      request.limit = number(4), request.broker = words.at(5);
      request.first_on_connection = words.at(6) == "first", request.sent_at = number(7);
    } else if (words[0] == "left") {
      requests_[words.at(1)].left_at = number(2);
    } else if (words[0] == "half_closed") {
      requests_[words.at(1)].half_closed_at = number(2);
    } else if (words[0] == "answer") {
      requests_[words.at(1)].answers.emplace_back(words.at(2), number(4));
      ++findings_.counts[words.at(2)];
      if (words.at(3) != "own") report_violation("answer to another request", words[1]);
    } else if (words[0] == "unanswered") {
      requests_[words.at(1)].unanswered_at = number(2);
    } else if (words[0] == "unexpected_answer") {
      report_violation("second answer", words.at(1));
    } else if (words[0] == "attempt") {
      ++findings_.counts["attempts"];
      auto& request = requests_[words.at(2)];
      request.attempts.push_back({words.at(1), words.at(3), number(4), number(5), kNever});
      attempt_times_[words.at(1)].push_back(number(5));
    } else if (words[0] == "attempt_end") {
      for (auto& attempt : requests_[words.at(2)].attempts)
        if (attempt.engine == words.at(1)) attempt.ended_at = std::min(attempt.ended_at, number(3));
    }
  }

  template <class... Parts>
  void report_violation(const std::string& rule, const std::string& subject, const Parts&... parts) {
    std::ostringstream line;
    line << rule << ": " << subject;
    ((line << ' ' << parts), ...);
    findings_.violations.push_back(std::move(line).str());
  }

  [[nodiscard]] const History::Engine& engine(const std::string& name) const {
    static const History::Engine kNothing;
    const auto found = history_.engines.find(name);
    return found == history_.engines.end() ? kNothing : found->second;
  }
  // Whether the engine was stopped around the attempt, so that it may have recorded events later than they
  // happened.
  [[nodiscard]] bool is_uncertain(const Attempt& attempt) const {
    const auto& pauses = engine(attempt.engine).pauses;
    return std::ranges::any_of(pauses, [&](const Span& span) {
      return attempt.began_at >= span.from && attempt.began_at <= span.to + 2 * kMachineSlack;
    });
  }
  // A stopped engine receives no polls. By the protocol its queries end 2 s after they were last polled,
  // whatever the engine records once it runs again.
  [[nodiscard]] double end_time(const Attempt& attempt) const {
    double end = std::min(attempt.ended_at, engine(attempt.engine).killed_at);
    for (const auto& span : engine(attempt.engine).pauses) {
      if (attempt.began_at < span.to && end > span.from)
        end = std::min(end, std::max(attempt.began_at, span.from) + kOrphanTimeout);
    }
    return end;
  }

  void check_answer(const Request& request) {
    if (request.answers.size() > 1) report_violation("second answer", request.ticket);
    for (const auto& [kind, at] : request.answers) {
      const double due = request.sent_at + request.limit + kLateAnswerGrace;
      if (at > due + kMachineSlack && !was_stalled(request.broker, due, at))
        report_violation("late answer", request.ticket, at - request.sent_at - request.limit);
      const auto began_before_answer = [&, answered = at](const Attempt& attempt) {
        return attempt.began_at < answered;
      };
      if (kind == "rejected" && request.cls == "once" &&
          std::ranges::any_of(request.attempts, began_before_answer))
        report_violation("rejected though it may have run", request.ticket);
    }
    if (!request.answers.empty() || request.left_at < kNever || request.unanswered_at == kNever ||
        is_excused(request))
      return;
    report_violation("unanswered request", request.ticket, request.cls, "to", request.broker, "sent at",
                     request.sent_at, "unanswered at", request.unanswered_at,
                     request.first_on_connection ? "first on its connection" : "later on its connection");
  }

  // Whether the broker was stopped when the answer was due and sent it soon after it ran again.
  [[nodiscard]] bool was_stalled(const std::string& broker, double due, double done) const {
    const auto found = history_.brokers.find(broker);
    if (found == history_.brokers.end()) return false;
    double latest = due;
    for (const auto& span : found->second.stalls) {
      if (latest >= span.from && latest <= span.to) latest = span.to + 2 * kMachineSlack;
    }
    return done <= latest;
  }

  // Returns how much later than `announced_at` the broker may receive a change, if it could not poll the
  // change log then.
  [[nodiscard]] double change_log_delay(const std::string& broker, double announced_at) const {
    const auto found = history_.brokers.find(broker);
    if (found == history_.brokers.end()) return 0;
    const auto& outages = found->second.change_log_outages;
    const bool polled_in_outage = std::ranges::any_of(outages, [announced_at](const Span& span) {
      return span.from <= announced_at + kChangeLogRecovery && span.to + kChangeLogRecovery >= announced_at;
    });
    return polled_in_outage ? kMaxChangeLogDelay : 0;
  }

  [[nodiscard]] bool is_excused(const Request& request) const {
    const auto found = history_.brokers.find(request.broker);
    if (found == history_.brokers.end()) return false;
    for (const double at : found->second.killed_at)
      if (at >= request.sent_at - kMachineSlack && at <= request.unanswered_at + kMachineSlack) return true;
    for (const double at : found->second.stop_requested_at)
      if (request.sent_at > at + kServedAfterStop && request.sent_at < at + 5000) return true;
    return !request.first_on_connection && request.unanswered_at - request.sent_at < kCloseRace;
  }

  void check_attempts(const Request& request) {
    auto attempts = request.attempts;
    std::ranges::sort(attempts, {}, &Attempt::began_at);
    for (std::size_t i = 0; i < attempts.size(); ++i) {
      const auto& attempt = attempts[i];
      if (i > 0 && attempt.cls == "once")
        report_violation("unsafe request sent again", request.ticket,
                         attempt.began_at - attempts[0].began_at);
      if (i > 0 && attempt.cls == "load" &&
          attempt.began_at > attempts[0].began_at + kDeduplicationWindow + kMachineSlack)
        report_violation("repeated after its deduplication window", request.ticket);
      if (is_uncertain(attempt)) continue;
      if (i > 0 && attempt.began_at + kMachineSlack < end_time(attempts[i - 1]))
        report_violation("two attempts of a request at once", request.ticket);
      if (attempt.began_at >
          std::min(request.left_at, request.half_closed_at) + kAfterClientLeft + kMachineSlack)
        report_violation("attempt begun after its client had left", request.ticket,
                         attempt.began_at - request.left_at);
      if (attempt.max_ms >
          request.limit - (attempt.began_at - request.sent_at) + kDeadlineSlack + kMachineSlack)
        report_violation("engine deadline beyond the client's", request.ticket, attempt.max_ms,
                         request.limit - (attempt.began_at - request.sent_at));
      const double drain_announced_at = engine(attempt.engine).drain_announced_at;
      if (attempt.began_at > drain_announced_at + kDrainGrace + kMachineSlack +
                                 change_log_delay(request.broker, drain_announced_at))
        report_violation("sent to a draining engine", request.ticket, attempt.engine,
                         attempt.began_at - engine(attempt.engine).drain_announced_at);
    }
  }

  // Requests with the same ordering key run one at a time, except across the restart of a broker, which loses
  // its state.
  void check_order() {
    std::map<std::string, std::vector<std::pair<const Request*, const Attempt*>>> by_key;
    for (const auto& [ticket, request] : requests_) {
      if (request.key == "-" || request.key.empty()) continue;
      for (const auto& attempt : request.attempts) by_key[request.key].emplace_back(&request, &attempt);
    }
    for (auto& [key, runs] : by_key) {
      std::ranges::sort(runs, {}, [](const auto& run) { return run.second->began_at; });
      for (std::size_t i = 1; i < runs.size(); ++i) {
        const auto& [before, earlier] = runs[i - 1];
        const auto& [after, later] = runs[i];
        if (before == after || is_uncertain(*later) || is_uncertain(*earlier) ||
            was_restarted(*before, later->began_at))
          continue;
        if (later->began_at + kMachineSlack < end_time(*earlier))
          report_violation("two requests of an ordering key at once", after->ticket, "with", before->ticket);
      }
    }
  }
  [[nodiscard]] bool was_restarted(const Request& before, double until) const {
    const auto found = history_.brokers.find(before.broker);
    if (found == history_.brokers.end()) return false;
    const auto between = [&](double at) { return at >= before.sent_at - kMachineSlack && at <= until; };
    // Requests are accepted after SIGTERM too, and the next process has no state of them.
    const auto stopped = [&](double at) { return at >= before.sent_at - kMaxRestart && at <= until; };
    return std::ranges::any_of(found->second.killed_at, between) ||
           std::ranges::any_of(found->second.stop_requested_at, stopped);
  }

  // Lists the attempts that an engine received in a window, as BROKER@TIME(CLASS).
  [[nodiscard]] std::string list_attempts(const std::string& engine, double from, double length) const {
    std::vector<std::tuple<double, std::string, std::string>> sent;
    for (const auto& [ticket, request] : requests_) {
      for (const auto& attempt : request.attempts)
        if (attempt.engine == engine && attempt.began_at >= from && attempt.began_at < from + length)
          sent.emplace_back(attempt.began_at, request.broker, request.cls);
    }
    std::ranges::sort(sent);
    std::ostringstream out;
    out.precision(10);
    for (const auto& [at, broker, cls] : sent) out << broker << '@' << at << '(' << cls << ") ";
    return std::move(out).str();
  }

  void check_engines() {
    for (auto& [name, times] : attempt_times_) {
      const auto announced_at = engine(name).announced_at;
      if (!announced_at || !engine(name).pauses.empty()) continue;
      std::ranges::sort(times);
      for (std::size_t i = 0; i < times.size(); ++i) {
        const double age = std::clamp((times[i] - *announced_at) / slow_start_.duration_ms, 0.0, 1.0);
        if (times[i] + slow_start_.window_ms > *announced_at + slow_start_.duration_ms)
          break;  // slow start ends within this window
        const double expected =
            slow_start_.budget * (slow_start_.initial_capacity + (1 - slow_start_.initial_capacity) * age);
        const double max_count =
            expected < 30 ? expected + 3 * std::sqrt(expected) + 3 : expected + 2 * std::sqrt(expected) + 2;
        const auto end = std::ranges::lower_bound(times, times[i] + slow_start_.window_ms);
        const auto count = static_cast<double>(end - times.begin()) - static_cast<double>(i);
        if (count <= max_count) continue;
        report_violation("slow start exceeded", name, count, "queries, at most", max_count, "from",
                         list_attempts(name, times[i], slow_start_.window_ms));
        break;
      }
    }
  }

  const History& history_;
  const SlowStart& slow_start_;
  Findings findings_;
  std::map<std::string, Request> requests_;
  std::map<std::string, std::vector<double>> attempt_times_;  // by engine
};
}  // namespace

Findings judge(const std::vector<std::string>& records, const History& history, const SlowStart& slow_start) {
  Judge judge(history, slow_start);
  judge.read(records);
  return judge.check();
}

}  // namespace bellstair::soak
