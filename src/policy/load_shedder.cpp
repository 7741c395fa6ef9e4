#include "policy/load_shedder.hpp"

#include <algorithm>
#include <cmath>

#include "policy/units.hpp"

namespace bellstair::policy {
namespace {
constexpr double kMaxQueueFraction = 0.4;  // of the latency objective
constexpr double kRunTimeFactor = 2.0;     // expected latencies reserved for the run after queueing
// Under overload, the largest relative size admitted is (threads a core / level) ^ exponent.
constexpr double kSizeLimitThreadsPerCore = 1.5;
constexpr double kSizeLimitExponent = 3;
constexpr double kMinLevel = 0.1;             // threads a core
constexpr double kLevelAtUsualLatency = 0.9;  // threads a core assumed for a latency ratio of 1
}  // namespace

LoadShedder::LoadShedder(const Context& context, const ClassTable& classes, const LatencyMonitor& latency,
                         const LoadEstimator& load, const OverloadDetector& overload, TenantQuotas& quotas)
    : context_(context),
      classes_(classes),
      latency_(latency),
      load_(load),
      overload_(overload),
      quotas_(quotas),
      longest_time_left_(classes.size()) {}

std::optional<UnservedReason> LoadShedder::reject_on_arrival(const Request& request) {
  const auto& arrival = request.arrival;
  if (is_over_quota(arrival)) return UnservedReason::over_quota;
  if (is_overdue(arrival)) return UnservedReason::overdue_on_arrival;
  if (is_too_big(request)) return UnservedReason::too_big;
  if (classes_.expected_latency(request) > to_seconds(arrival.time_left)) return UnservedReason::no_time;
  return std::nullopt;
}

// Rejects a tenant over its quota once requests are queued or the fleet is overloaded, so that its burst does
// not delay other tenants.
bool LoadShedder::is_over_quota(const RequestArrival& arrival) {
  if (context_.settings.over_quota_weight >= 1 || quotas_.take_token(arrival.tenant)) return false;
  return !classes_[arrival.cls].queue.empty() || overload_.is_overloaded();
}

// Requests that arrived during a stall of this broker have already waited, which shows in their time left.
// Those that can no longer be answered within their objective are rejected at once, so that no burst of late
// work follows the stall.
bool LoadShedder::is_overdue(const RequestArrival& arrival) {
  auto& longest = longest_time_left_[arrival.cls];
  if (context_.stall == Time::zero()) longest = std::max(longest, arrival.time_left);
  const double waited = to_seconds(std::clamp(longest - arrival.time_left, Time::zero(), context_.stall));
  const double latency = classes_[arrival.cls].estimates.mean_latency();
  return waited > 0 && waited + latency > full_objective(arrival.cls);
}

// Under overload the largest queries are rejected, as the work of one is enough to answer several others. A
// query of mean size is always admitted. A class with more weight for its work than the lowest-ranked class
// has a higher limit.
bool LoadShedder::is_too_big(const Request& request) const {
  const double fleet_level = load_.level();
  const double level = fleet_level >= 0 ? fleet_level : latency_.fleet_ratio() * kLevelAtUsualLatency;
  const double limit =
      std::max(1.0, std::pow(kSizeLimitThreadsPerCore / std::max(kMinLevel, level), kSizeLimitExponent));
  const double cost = work_per_weight(request.arrival.cls) / work_per_weight(classes_.lowest_rank());
  return request.relative_size * std::min(1.0, cost) > limit;
}

double LoadShedder::work_per_weight(ClassIndex cls) const {
  return classes_[cls].estimates.mean_work() / context_.settings.classes[cls].priority_weight;
}

double LoadShedder::full_objective(ClassIndex cls) const {
  const auto& settings = context_.settings.classes[cls];
  return to_seconds(settings.latency_objective) +
         settings.objective_stretch * classes_[cls].estimates.baseline_latency();
}

// With an estimate of its work, the request's own objective and latency apply, else the means of its class.
Time LoadShedder::max_queue_time(const Request& request) const {
  const auto cls = request.arrival.cls;
  const auto& settings = context_.settings.classes[cls];
  const double objective = to_seconds(settings.latency_objective);
  const double minimum = kMaxQueueFraction * objective;
  if (request.arrival.estimated_work) {
    const double stretch = settings.objective_stretch - kRunTimeFactor;
    return from_seconds(std::max(minimum, objective + stretch * classes_.expected_latency(request)));
  }
  const double usual = kMaxQueueFraction * full_objective(cls) - classes_[cls].estimates.mean_latency();
  return from_seconds(std::max(minimum, usual));
}

void LoadShedder::reconfigure(const Settings& previous) {
  for (std::size_t c = 0; c < longest_time_left_.size(); ++c) {
    // Under a new timeout, a shorter time left does not mean that the request has waited.
    if (context_.settings.classes[c].client_timeout != previous.classes[c].client_timeout)
      longest_time_left_[c] = Time::zero();
  }
}

}  // namespace bellstair::policy
