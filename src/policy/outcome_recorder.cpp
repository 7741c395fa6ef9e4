#include "policy/outcome_recorder.hpp"

namespace bellstair::policy {
namespace {
constexpr double kThreadsPerCoreAtCapacity = 4;  // of an engine that rejected a query, at the least
}  // namespace

void OutcomeRecorder::record(Engine& engine, const Request& request, const AttemptOutcome& outcome) {
  load_.record_report(engine, outcome.load_report);
  switch (outcome.result) {
    case AttemptResult::served:
      return record_served(engine, request, outcome);
    case AttemptResult::error:
      // The statement may be at fault. Where another engine can be asked, its answer tells.
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
  blame_engines_with_errors(request, engine);
  outliers_.pass_trial(engine);
  const double threads = class_settings(context_.settings, request).threads;
  auto& estimates = classes_[request.arrival.cls].estimates;
  latency_.record_answer(engine,
                         estimates.update(request, outcome, threads, context_.settings.memory_grants));
  if (!load_.uses_reports()) load_.record_recent(engine, context_.now);
}

// Another engine has served the statement: it is not at fault.
void OutcomeRecorder::blame_engines_with_errors(const Request& request, const Engine& served_by) {
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

// The process may have ended, and start again before a list tells.
void OutcomeRecorder::record_connect_failed(Engine& engine) {
  engine.start.suspect_restart(context_.now, true);
  engine.last_reset_at = Time::zero();
  outliers_.eject(engine, EjectionReason::connection_refused);
}

void OutcomeRecorder::record_reset(Engine& engine) {
  engine.start.suspect_restart(context_.now, false);
  engine.last_reset_at = context_.now;
  const bool checked = health_checker_.check(engine);  // its answer will tell more
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
