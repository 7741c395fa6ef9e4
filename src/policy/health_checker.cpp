#include "policy/health_checker.hpp"

#include <algorithm>
#include <chrono>

#include "policy/load_estimator.hpp"

namespace bellstair::policy {
namespace {
constexpr double kChecksPerRequest = 1;
constexpr double kMaxSavedChecks = 20;
constexpr Time kStaleReportAge = std::chrono::milliseconds(300);
}  // namespace

HealthChecker::HealthChecker(const Context& context)
    : context_(context), reports_have_load_(reports_have_load(context.settings)) {}

void HealthChecker::record_request() { tokens_ = std::min(tokens_ + kChecksPerRequest, kMaxSavedChecks); }

bool HealthChecker::check(Engine& engine) {
  if (!context_.settings.may_health_check || tokens_ < 1) return false;
  engine.health_checked_at = context_.now;
  tokens_ -= 1;
  context_.emit(SendHealthCheck{engine.endpoint.engine});
  return true;
}

bool HealthChecker::check_if_stale(Engine& engine, double reserve) {
  const Time last_contact = std::max(engine.reported_at, engine.health_checked_at);
  if (context_.now < last_contact + kStaleReportAge) return false;
  return reports_have_load_ && tokens_ >= 1 + reserve && check(engine);
}

}  // namespace bellstair::policy
