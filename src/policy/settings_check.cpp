#include "policy/settings_check.hpp"

#include <stdexcept>
#include <string>

namespace bellstair::policy {
namespace {

[[noreturn]] void invalid(const char* reason) {
  throw std::invalid_argument(std::string("settings: ") + reason);
}

void check_classes(const Settings& settings) {
  for (const auto& cls : settings.classes) {
    if (cls.latency_objective <= Time::zero()) invalid("classes[].aim must be above 0");
    if (cls.threads == 0) invalid("classes[].threads must be 1 or more");
  }
}

void check_kinds(const Settings& settings) {
  for (const auto& kind : settings.kinds) {
    if (!(kind.cores > 0)) invalid("kinds[].cores must be above 0");
  }
}

void check_tenants(const Settings& settings) {
  for (const auto& tenant : settings.tenants) {
    if (!(tenant.quota_fraction >= 0)) invalid("tenants[].portion must not be below 0");
    if (!(tenant.quota_per_s >= 0)) invalid("tenants[].quota-rps must not be below 0");
  }
}

void require_unchanged(bool same, const std::string& field) {
  if (!same) throw std::invalid_argument("settings: " + field + " can't change in a running broker");
}

bool same_idempotency(const ClassSettings& a, const ClassSettings& b) {
  return a.idempotency == b.idempotency && a.deduplication_scope == b.deduplication_scope &&
         a.deduplication_window == b.deduplication_window;
}

// Returns `from` with the fields that may change taken from `to`.
ClassSettings with_changes(ClassSettings from, const ClassSettings& to) {
  from.latency_objective = to.latency_objective;
  from.client_timeout = to.client_timeout;
  from.priority_weight = to.priority_weight;
  from.late_weight = to.late_weight;
  return from;
}

}  // namespace

void check_settings(const Settings& settings) {
  if (settings.brokers == 0) invalid("balancers must be 1 or more");
  if (settings.classes.empty()) invalid("classes must not be empty");
  if (settings.kinds.empty()) invalid("kinds must not be empty");
  if (settings.max_attempts == 0) invalid("max-attempts must be 1 or more");
  if (settings.slow_start_capacity <= 0 || settings.slow_start_capacity > 1)
    invalid("cold-from must be above 0 and at most 1");
  check_classes(settings);
  check_kinds(settings);
  check_tenants(settings);
  if (settings.retry_budget && settings.retry_budget->window <= Time::zero())
    invalid("resend-span must be above 0");
}

void check_settings_change(const Settings& from, const Settings& to) {
  check_settings(to);
  require_unchanged(from.classes.size() == to.classes.size(), "the number of classes");
  require_unchanged(from.kinds == to.kinds, "kinds");
  require_unchanged(from.brokers == to.brokers && from.broker_index == to.broker_index, "balancers or me");
  require_unchanged(from.zone == to.zone && from.zones == to.zones, "zones or az");
  require_unchanged(from.min_call_interval == to.min_call_interval, "step");
  Settings expected = from;
  expected.tenants = to.tenants;
  for (std::size_t c = 0; c < to.classes.size(); ++c) {
    auto& cls = expected.classes[c];
    const auto& wanted = to.classes[c];
    cls = with_changes(cls, wanted);
    require_unchanged(cls.name == wanted.name, "classes[].name");
    require_unchanged(cls.threads == wanted.threads, "classes[].threads");
    require_unchanged(same_idempotency(cls, wanted), "classes[].semantics");
    require_unchanged(cls == wanted,
                      "classes[].in-order, zones-allowed, bound-to, aim-stretch or data groups");
  }
  require_unchanged(expected == to,
                    "a setting other than the tenants and the classes' aim, give-up, credit and late-share");
}

}  // namespace bellstair::policy
