#include "policy/attempt_monitor.hpp"

#include <algorithm>
#include <chrono>
#include <vector>

#include "policy/units.hpp"

namespace bellstair::policy {
namespace {
using namespace std::chrono_literals;

// Without progress events, an engine is silent once both limits are exceeded.
constexpr double kMaxOverdueAnswers = 6;  // in mean latencies of their classes
constexpr Time kMinSilence = 800ms;
constexpr double kMaxOverduePerAttempt = 3;  // a single long query must not count as silence

constexpr int kMaxMissedIntervals = 2;  // of progress events, before an attempt or its answer counts as lost

constexpr Time kMinProgressAge = 900ms;     // the progress of a younger attempt is ignored
constexpr double kMaxPredictedLatency = 5;  // in mean latencies; above it, query plan or engine is bad
constexpr double kMinProgress = 0.005;      // fraction done
constexpr double kWaitsForDataGroup = 1.5;  // between the amounts 1 (for memory) and 2 (for its data group)
}  // namespace

void AttemptMonitor::record_progress(const AttemptProgress& progress) {
  Engine* engine = fleet_.find(progress.engine);
  Request* request = requests_.find(progress.request);
  if (engine == nullptr || request == nullptr || progress.attempt >= request->attempts.size()) return;
  auto& attempt = request->attempts[progress.attempt];
  engine->last_seen_at = context_.now;
  attempt.last_seen_at = context_.now;
  engine->record_alive(context_.now, attempt.sent_at);
  const bool blocked = progress.kind == ProgressKind::waiting && progress.amount > kWaitsForDataGroup;
  if (blocked || is_too_slow(*request, progress))
    dispatcher_.cancel_for_retry(progress.request, progress.attempt);
}

// Whether the predicted latency of a first attempt is so long that a new attempt at another engine should be
// faster.
bool AttemptMonitor::is_too_slow(const Request& request, const AttemptProgress& progress) const {
  if (progress.kind != ProgressKind::progress || progress.attempt != 0) return false;
  const double age = to_seconds(context_.now - request.attempts[progress.attempt].sent_at);
  if (age <= to_seconds(kMinProgressAge)) return false;
  const double predicted = age / std::max(progress.amount, kMinProgress);
  const double latency = classes_[request.arrival.cls].estimates.mean_latency();
  return predicted > kMaxPredictedLatency * std::max(1.0, request.relative_size) * latency;
}

void AttemptMonitor::check() {
  const std::vector<EngineId> busy(fleet_.busy().begin(), fleet_.busy().end());
  for (const auto id : busy) check_engine(fleet_.at(id));
}

void AttemptMonitor::check_engine(Engine& engine) {
  const Time silence = context_.now - engine.last_seen_at;
  const Time progress_interval = context_.settings.progress_interval;
  const Time max_progress_gap = kMaxMissedIntervals * progress_interval;
  double overdue_answers = 0;
  const std::vector<AttemptKey> attempts(engine.in_flight.begin(), engine.in_flight.end());
  for (const auto& [id, index] : attempts) {
    hedging_.check(id, index);
    const auto& request = requests_.at(id);
    const auto& attempt = request.attempts[index];
    if (progress_interval == Time::zero()) {
      overdue_answers += overdue(request, attempt, silence);
      continue;
    }
    if (context_.now - attempt.last_seen_at <= max_progress_gap || !attempt.awaited()) continue;
    if (silence > max_progress_gap) {
      outliers_.eject(engine, EjectionReason::no_response);
    } else {
      dispatcher_.cancel_for_retry(id, index);
    }
  }
  if (silence > kMinSilence && overdue_answers > kMaxOverdueAnswers)
    outliers_.eject(engine, EjectionReason::no_response);
}

double AttemptMonitor::overdue(const Request& request, const Attempt& attempt, Time silence) const {
  const Time age = std::min(silence, context_.now - attempt.sent_at);
  const double latency = classes_[request.arrival.cls].estimates.mean_latency();
  return std::min(to_seconds(age) / latency, kMaxOverduePerAttempt);
}

void AttemptMonitor::discount_stall() {
  for (const auto id : fleet_.busy()) {
    auto& engine = fleet_.at(id);
    engine.last_seen_at += context_.stall;
    for (const auto& [request, attempt] : engine.in_flight)
      requests_.at(request).attempts[attempt].last_seen_at += context_.stall;
  }
}

}  // namespace bellstair::policy
