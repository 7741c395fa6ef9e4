#include "judge.hpp"

#include <algorithm>
#include <cmath>
#include <sstream>
#include <tuple>

#include "records.hpp"

namespace bellstair::soak {
namespace {
constexpr double kMachine = 150;       // ms: what a busy machine may add to any span
constexpr double kAfterLeaving = 100;  // an attempt may begin so long after its client has gone
constexpr double kDrainGrace = 500 + 50;
constexpr double kDeadlineSlack = 150;  // of the deadline that an engine is told
constexpr double kLateAnswer = 500;     // after its limit an answer earns nothing; later it is lost
constexpr double kCrossing = 60;        // a request may cross the close of a resting connection
constexpr double kComeAfterStop = 700;  // requests that come later after SIGTERM are nobody's fault
constexpr double kMaxDelayOfNews = 7000;
constexpr double kRecovery = 2000;     // after a change log that was out, until a broker asks it again
constexpr double kLongestStop = 4500;  // from SIGTERM to the next process
constexpr double kOrphan = 2000;       // a query that nobody asks for runs on for so long
constexpr double kWindow = 15'000;     // in which engines drop repeats of a key

struct Attempt {
  std::string engine, cls;
  double max_ms = 0, at = 0, end = kNever;
};
struct Request {
  std::string ticket, cls, key, broker;
  double limit = 0, at = 0, left = kNever, half_closed = kNever, unanswered = kNever;
  bool first = false;  // on its connection
  std::vector<std::pair<std::string, double>> answers;
  std::vector<Attempt> attempts;
};

class Judge {
 public:
  Judge(const History& history, const SlowStart& slow_start) : history_(history), slow_start_(slow_start) {}

  void read(const std::vector<std::string>& records) {
    for (const auto& line : records) {
      const auto words = names_of(line);
      if (!words.empty()) take(words);
    }
  }

  Verdicts check() {
    for (auto& [ticket, request] : requests_) {
      if (request.at == 0) continue;  // its client's line was lost with its process
      check_answer(request);
      check_attempts(request);
    }
    check_order();
    check_engines();
    out_.counts["requests"] = requests_.size();
    return std::move(out_);
  }

 private:
  void take(const std::vector<std::string>& w) {
    const auto number = [&](std::size_t i) { return std::stod(w.at(i)); };
    if (w[0] == "ask") {
      auto& r = requests_[w.at(1)];
      r.ticket = w[1], r.cls = w.at(2), r.key = w.at(3), r.limit = number(4), r.broker = w.at(5);
      r.first = w.at(6) == "first", r.at = number(7);
    } else if (w[0] == "left") {
      requests_[w.at(1)].left = number(2);
    } else if (w[0] == "half") {
      requests_[w.at(1)].half_closed = number(2);
    } else if (w[0] == "answer") {
      requests_[w.at(1)].answers.emplace_back(w.at(2), number(4));
      ++out_.counts[w.at(2)];
      if (w.at(3) != "own") broken("strange answer", w[1]);
    } else if (w[0] == "unanswered") {
      requests_[w.at(1)].unanswered = number(2);
    } else if (w[0] == "stray") {
      broken("second answer", w.at(1));
    } else if (w[0] == "post") {
      ++out_.counts["attempts"];
      auto& r = requests_[w.at(2)];
      r.attempts.push_back({w.at(1), w.at(3), number(4), number(5), kNever});
      posts_[w.at(1)].push_back(number(5));
    } else if (w[0] == "end") {
      for (auto& attempt : requests_[w.at(2)].attempts)
        if (attempt.engine == w.at(1)) attempt.end = std::min(attempt.end, number(3));
    }
  }

  template <class... Parts>
  void broken(const std::string& rule, const std::string& who, const Parts&... parts) {
    std::ostringstream line;
    line << rule << ": " << who;
    ((line << ' ' << parts), ...);
    out_.broken.push_back(std::move(line).str());
  }

  [[nodiscard]] const History::Engine& engine(const std::string& name) const {
    static const History::Engine kNothing;
    const auto found = history_.engines.find(name);
    return found == history_.engines.end() ? kNothing : found->second;
  }
  // What the engine told then may have happened earlier.
  [[nodiscard]] bool unsure(const Attempt& attempt) const {
    const auto& stopped = engine(attempt.engine).stopped;
    return std::ranges::any_of(stopped, [&](const Span& span) {
      return attempt.at >= span.from && attempt.at <= span.to + 2 * kMachine;
    });
  }
  // An engine that does not run hears of nobody: by the protocol a query there is over 2 s after it was last
  // asked for, whatever the engine tells once it runs again.
  [[nodiscard]] double end_of(const Attempt& attempt) const {
    double end = std::min(attempt.end, engine(attempt.engine).killed);
    for (const auto& span : engine(attempt.engine).stopped) {
      if (attempt.at < span.to && end > span.from)
        end = std::min(end, std::max(attempt.at, span.from) + kOrphan);
    }
    return end;
  }

  void check_answer(const Request& r) {
    if (r.answers.size() > 1) broken("second answer", r.ticket);
    for (const auto& [kind, at] : r.answers) {
      const double due = r.at + r.limit + kLateAnswer;
      if (at > due + kMachine && !stalled(r.broker, due, at)) broken("late", r.ticket, at - r.at - r.limit);
      const auto ran = [&, answered = at](const Attempt& a) { return a.at < answered; };
      if (kind == "refused" && r.cls == "once" && std::ranges::any_of(r.attempts, ran))
        broken("refused though it may have run", r.ticket);
    }
    if (!r.answers.empty() || r.left < kNever || r.unanswered == kNever || excused(r)) return;
    broken("lost", r.ticket, r.cls, "of", r.broker, "asked at", r.at, "unanswered at", r.unanswered,
           r.first ? "first" : "later");
  }

  // Whether the broker did not run when that was due, and came to it as soon as it did.
  [[nodiscard]] bool stalled(const std::string& broker, double due, double done) const {
    const auto found = history_.brokers.find(broker);
    if (found == history_.brokers.end()) return false;
    double latest = due;
    for (const auto& span : found->second.stalled) {
      if (latest >= span.from && latest <= span.to) latest = span.to + 2 * kMachine;
    }
    return done <= latest;
  }

  // What the change log has to tell counts as told so much later at the most, where it could not be asked.
  [[nodiscard]] double delay_of_news(const std::string& broker, double told) const {
    const auto found = history_.brokers.find(broker);
    if (found == history_.brokers.end()) return 0;
    const auto& out = found->second.change_log_out;
    const bool asked_in_vain = std::ranges::any_of(out, [told](const Span& span) {
      return span.from <= told + kRecovery && span.to + kRecovery >= told;
    });
    return asked_in_vain ? kMaxDelayOfNews : 0;
  }

  [[nodiscard]] bool excused(const Request& r) const {
    const auto found = history_.brokers.find(r.broker);
    if (found == history_.brokers.end()) return false;
    for (const double at : found->second.killed)
      if (at >= r.at - kMachine && at <= r.unanswered + kMachine) return true;
    for (const double at : found->second.told_to_stop)
      if (r.at > at + kComeAfterStop && r.at < at + 5000) return true;
    return !r.first && r.unanswered - r.at < kCrossing;
  }

  void check_attempts(const Request& r) {
    auto attempts = r.attempts;
    std::ranges::sort(attempts, {}, &Attempt::at);
    for (std::size_t i = 0; i < attempts.size(); ++i) {
      const auto& a = attempts[i];
      if (i > 0 && a.cls == "once")
        broken("unsafe to repeat, and sent again", r.ticket, a.at - attempts[0].at);
      if (i > 0 && a.cls == "load" && a.at > attempts[0].at + kWindow + kMachine)
        broken("repeated after its window", r.ticket);
      if (unsure(a)) continue;
      if (i > 0 && a.at + kMachine < end_of(attempts[i - 1])) broken("two attempts at once", r.ticket);
      if (a.at > std::min(r.left, r.half_closed) + kAfterLeaving + kMachine)
        broken("begun for a client that had gone", r.ticket, a.at - r.left);
      if (a.max_ms > r.limit - (a.at - r.at) + kDeadlineSlack + kMachine)
        broken("told a deadline beyond its client's", r.ticket, a.max_ms, r.limit - (a.at - r.at));
      const double told = engine(a.engine).told_draining;
      if (a.at > told + kDrainGrace + kMachine + delay_of_news(r.broker, told))
        broken("sent to an engine that drains", r.ticket, a.engine, a.at - engine(a.engine).told_draining);
    }
  }

  // Requests of a key run one at a time. A broker that was killed knows nothing of what it had sent.
  void check_order() {
    std::map<std::string, std::vector<std::pair<const Request*, const Attempt*>>> by_key;
    for (const auto& [ticket, request] : requests_) {
      if (request.key == "-" || request.key.empty()) continue;
      for (const auto& attempt : request.attempts) by_key[request.key].emplace_back(&request, &attempt);
    }
    for (auto& [key, runs] : by_key) {
      std::ranges::sort(runs, {}, [](const auto& run) { return run.second->at; });
      for (std::size_t i = 1; i < runs.size(); ++i) {
        const auto& [before, earlier] = runs[i - 1];
        const auto& [after, later] = runs[i];
        if (before == after || unsure(*later) || unsure(*earlier) || restarted(*before, later->at)) continue;
        if (later->at + kMachine < end_of(*earlier))
          broken("two of a key at once", after->ticket, "beside", before->ticket);
      }
    }
  }
  [[nodiscard]] bool restarted(const Request& before, double until) const {
    const auto found = history_.brokers.find(before.broker);
    if (found == history_.brokers.end()) return false;
    const auto between = [&](double at) { return at >= before.at - kMachine && at <= until; };
    // Requests are taken after SIGTERM too, and the next process knows nothing of them.
    const auto stopped = [&](double at) { return at >= before.at - kLongestStop && at <= until; };
    return std::ranges::any_of(found->second.killed, between) ||
           std::ranges::any_of(found->second.told_to_stop, stopped);
  }

  // What an engine got in a window, as BROKER@TIME(CLASS).
  [[nodiscard]] std::string senders(const std::string& engine, double from, double length) const {
    std::vector<std::tuple<double, std::string, std::string>> sent;
    for (const auto& [ticket, request] : requests_) {
      for (const auto& a : request.attempts)
        if (a.engine == engine && a.at >= from && a.at < from + length)
          sent.emplace_back(a.at, request.broker, request.cls);
    }
    std::ranges::sort(sent);
    std::ostringstream out;
    out.precision(10);
    for (const auto& [at, broker, cls] : sent) out << broker << '@' << at << '(' << cls << ") ";
    return std::move(out).str();
  }

  void check_engines() {
    for (auto& [name, posts] : posts_) {
      const auto began = engine(name).began;
      if (!began || !engine(name).stopped.empty()) continue;
      std::ranges::sort(posts);
      for (std::size_t i = 0; i < posts.size(); ++i) {
        const double age = std::clamp((posts[i] - *began) / slow_start_.ramp_ms, 0.0, 1.0);
        if (posts[i] + slow_start_.window_ms > *began + slow_start_.ramp_ms)
          break;  // it is warm within this one
        const double n = slow_start_.budget * (slow_start_.from + (1 - slow_start_.from) * age);
        const double most = n < 30 ? n + 3 * std::sqrt(n) + 3 : n + 2 * std::sqrt(n) + 2;
        const auto end = std::ranges::lower_bound(posts, posts[i] + slow_start_.window_ms);
        const auto count = static_cast<double>(end - posts.begin()) - static_cast<double>(i);
        if (count <= most) continue;
        broken("slow start", name, count, "of", most, "by", senders(name, posts[i], slow_start_.window_ms));
        break;
      }
    }
  }

  const History& history_;
  const SlowStart& slow_start_;
  Verdicts out_;
  std::map<std::string, Request> requests_;
  std::map<std::string, std::vector<double>> posts_;  // by engine
};
}  // namespace

Verdicts judge(const std::vector<std::string>& records, const History& history, const SlowStart& slow_start) {
  Judge judge(history, slow_start);
  judge.read(records);
  return judge.check();
}

}  // namespace bellstair::soak
