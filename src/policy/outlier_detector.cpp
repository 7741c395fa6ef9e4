#include "policy/outlier_detector.hpp"

#include <algorithm>
#include <chrono>
#include <string>

#include "policy/units.hpp"

namespace bellstair::policy {
namespace {
using namespace std::chrono_literals;

constexpr double kFleetErrorWeight = 0.01;  // weight of one outcome in the fleet's error rate
constexpr double kEjectionErrorRate = 0.4;  // two consecutive errors of kErrorWeight reach 0.44
// Factor of the fleet's error rate, added to kEjectionErrorRate: an engine that fails no more often than all
// others is no outlier.
constexpr double kFleetErrorRateFactor = 4;
constexpr double kMaxEjectionErrorRate = 0.95;
constexpr Time kFirstEjectionDuration = 1s;
constexpr Time kMaxEjectionDuration = 4s;

const char* describe(EjectionReason reason) {
  switch (reason) {
    case EjectionReason::query_errors:
      return "ejected: query errors";
    case EjectionReason::no_response:
      return "ejected: no response";
    case EjectionReason::at_capacity:
      return "ejected: at capacity";
    case EjectionReason::health_check_failed:
      return "ejected: health check failed";
    case EjectionReason::connection_refused:
      return "ejected: connection refused";
  }
  return "ejected";
}
}  // namespace

void OutlierDetector::record_failure(Engine& engine, double weight) {
  engine.error_rate += weight * (1 - engine.error_rate);
  fleet_error_rate_ += kFleetErrorWeight * (1 - fleet_error_rate_);
  const double limit =
      std::min(kMaxEjectionErrorRate, kEjectionErrorRate + kFleetErrorRateFactor * fleet_error_rate_);
  if (engine.health == Health::on_trial || engine.error_rate >= limit)
    eject(engine, EjectionReason::query_errors);
}

void OutlierDetector::record_success(Engine& engine) {
  engine.error_rate -= kErrorWeight * engine.error_rate;
  fleet_error_rate_ -= kFleetErrorWeight * fleet_error_rate_;
}

void OutlierDetector::pass_trial(Engine& engine) {
  if (engine.health != Health::on_trial) return;
  engine.health = Health::healthy;
  engine.ejection_duration = Time::zero();
  fleet_.mark_changed();
  log(engine, "recovered");
}

void OutlierDetector::eject(Engine& engine, EjectionReason reason) {
  if (engine.health == Health::ejected) return;
  if (engine.health == Health::healthy) log(engine, describe(reason));
  engine.health = Health::ejected;
  fleet_.mark_changed();
  const bool is_first = engine.ejection_duration == Time::zero();
  engine.ejection_duration =
      is_first ? kFirstEjectionDuration : std::min(2 * engine.ejection_duration, kMaxEjectionDuration);
  const double jitter = 0.5 + context_.uniform();
  engine.ejected_until = context_.now + from_seconds(to_seconds(engine.ejection_duration) * jitter);
  on_ejected_(engine);
}

bool OutlierDetector::try_admit(const Request& request, Engine& engine) const {
  if (engine.health == Health::healthy) return true;
  if (engine.health == Health::ejected && context_.now >= engine.ejected_until)
    engine.health = Health::on_trial;
  return engine.health == Health::on_trial && engine.queries == 0 &&
         class_settings(context_.settings, request).idempotency == Idempotency::idempotent;
}

void OutlierDetector::log(const Engine& engine, const char* text) const {
  context_.emit(LogMessage{"engine " + std::to_string(engine.endpoint.engine) + " " + text});
}

}  // namespace bellstair::policy
