#include "policy/outcome_recorder.hpp"

namespace bellstair::policy {
namespace {
constexpr double kThreadsPerCoreAtCapacity = 4;  // assumed minimum at an engine that rejected a query
}  // namespace

void OutcomeRecorder::record(Engine& engine, const Request& request, const AttemptOutcome& outcome) {
  load_.record_report(engine, outcome.load_report);
  switch (outcome.result) {
    case AttemptResult::served:
      return record_served(engine, request, outcome);
    case AttemptResult::error:
      // The statement may be at fault. If it can be retried at another engine, that engine's answer shows
      // whether it is.
      if (class_settings(context_.settings, request).idempotency == Idempotency::not_idempotent)
        outliers_.record_failure(engine, kErrorWeight);
      return;
    case AttemptResult::rejected:
      return record_rejected(engine);
    case AttemptResult::connect_failed:
      return record_connect_failed(engine);
    case AttemptResult::reset:
      return record_reset(engine);
    case AttemptResult::timed_out:
    case AttemptResult::cancelled:
    case AttemptResult::not_started:
      return;
  }
}

void OutcomeRecorder::record_served(Engine& engine, const Request& request, const AttemptOutcome& outcome) {
  engine.last_seen_at = context_.now;
  engine.record_alive(context_.now, request.attempts[outcome.attempt].sent_at);
  outliers_.record_success(engine);
  record_errors_of_engines(request, engine);
  outliers_.pass_trial(engine);
  const double threads = class_settings(context_.settings, request).threads;
  auto& estimates = classes_[request.arrival.cls].estimates;
  latency_.record_answer(engine,
                         estimates.update(request, outcome, threads, context_.settings.memory_grants));
  if (!load_.uses_reports()) load_.add_recent_report(engine, context_.now);
}

// Another engine has served the statement, so the errors were the engines' fault and not the statement's.
void OutcomeRecorder::record_errors_of_engines(const Request& request, const Engine& served_by) {
  for (const auto& attempt : request.attempts) {
    if (attempt.in_flight || attempt.result != AttemptResult::error) continue;
    Engine* engine = fleet_.find(attempt.engine);
    if (engine != nullptr && engine != &served_by) outliers_.record_failure(*engine, kErrorWeight);
  }
}

void OutcomeRecorder::record_rejected(Engine& engine) {
  if (load_.level() < 0) return outliers_.eject(engine, EjectionReason::at_capacity);
  engine.last_seen_at = context_.now;
  const double threads = kThreadsPerCoreAtCapacity * cores_of(context_.settings, engine);
  load_.record_engine_threads_only(engine, threads, context_.now);
}

// The process may have ended, and may start again before the endpoint list reports it.
void OutcomeRecorder::record_connect_failed(Engine& engine) {
  engine.start.suspect_restart(context_.now, true);
  engine.last_reset_at = Time::zero();
  outliers_.eject(engine, EjectionReason::connection_refused);
}

void OutcomeRecorder::record_reset(Engine& engine) {
  engine.start.suspect_restart(context_.now, false);
  engine.last_reset_at = context_.now;
  const bool checked = health_checker_.check(engine);  // its result will show whether the engine is down
  outliers_.record_failure(engine, checked ? kErrorWeight : 2 * kErrorWeight);
}

void OutcomeRecorder::record(const HealthCheckResult& result) {
  Engine* engine = fleet_.find(result.engine);
  if (engine == nullptr) return;
  if (result.result != AttemptResult::served) {
    if (engine->last_reset_at > Time::zero()) outliers_.eject(*engine, EjectionReason::health_check_failed);
    return;
  }
  engine->record_alive(context_.now, context_.now - result.latency);
  load_.record_report(*engine, result.load);
}

}  // namespace bellstair::policy
