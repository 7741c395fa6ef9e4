#include "policy/endpoint_scorer.hpp"

#include <algorithm>

namespace bellstair::policy {
namespace {
// Limits, in threads a core of all brokers together.
constexpr double kMaxThreadsPerCore = 2.2;     // applies within this broker's share too
constexpr double kLowerRankLimitFactor = 0.7;  // with a small pool, for all classes below the highest rank
constexpr double kUsualLatencyRatio = 1.5;     // an engine up to this ratio answers at its usual speed
constexpr double kMaxFleetAllowance = 1.2;     // the fleet's ratio raises that limit by at most this factor
constexpr double kHalfQuery = 0.5;  // fraction of the next query's threads that counts against a limit

// Reports arrive late and are the same at all brokers: going by them alone, all brokers would choose the same
// engine at the same time. This broker's own threads are therefore part of the load.
constexpr double kOwnLoadWeight = 0.25;
constexpr double kMaxBrokersInOwnLoad = 6;

// Penalties and bonuses, in threads a core.
constexpr double kCrossZonePenalty = 20;  // for a cost of 1
constexpr double kSameEnginePenalty = 3.0;
constexpr double kLockedDataGroupPenalty = 6.0;
constexpr double kCachedDataBonus = 0.3;
}  // namespace

// Locks held by other brokers' requests are not known; they show only in latencies.
bool is_data_group_locked(const Request& request, const Engine& engine) {
  return request.arrival.data_group != 0 && engine.locked_data_groups.contains(request.arrival.data_group);
}

EndpointScorer::EndpointScorer(const Context& context, const Fleet& fleet, const ClassTable& classes,
                               const SlowStart& slow_start, const LatencyMonitor& latency,
                               const LoadEstimator& load, const OverloadDetector& overload,
                               DataGroupAffinity& affinity)
    : context_(context),
      fleet_(fleet),
      classes_(classes),
      slow_start_(slow_start),
      latency_(latency),
      load_(load),
      overload_(overload),
      affinity_(affinity),
      ignores_affinity_(std::ranges::any_of(context.settings.classes, &ClassSettings::waits_for_data_group)) {
}

double EndpointScorer::limit_factor(ClassIndex cls) const {
  if (cls == classes_.highest_rank() || !fleet_.has_small_pool()) return overload_.limit_factor();
  return overload_.limit_factor() * kLowerRankLimitFactor;
}

bool EndpointScorer::has_capacity(const Engine& engine, ClassIndex cls) const {
  if (slow_start_.is_warming_up(engine)) return true;  // slow start's permits are the tighter limit
  const double added = kHalfQuery * context_.settings.classes[cls].threads;
  const double factor = limit_factor(cls);
  const double cores = cores_of(context_.settings, engine);
  const auto all = load_.engine_threads(engine);
  if (all && *all + added > kMaxThreadsPerCore * factor * cores) return false;
  // A slow engine that runs no query of this broker still gets one, so that its recovery is detected.
  const double effective_cores = cores / latency_.slowness(engine);
  const double own = engine.threads + added;
  const double pool_threads = kPoolThreadsPerCore * effective_cores;
  if (own <= pool_threads / context_.settings.brokers || engine.threads == 0) return true;
  if (own > pool_threads) return false;
  if (all) return *all + added <= kOverloadThreadsPerCore * factor * effective_cores;
  const double allowance = std::max(1.0, std::min(latency_.fleet_ratio(), kMaxFleetAllowance));
  return engine.latency_ratio <= kUsualLatencyRatio * allowance;
}

double EndpointScorer::score(const Request& request, const Engine& engine) const {
  const auto& settings = context_.settings;
  const auto& cls = class_settings(settings, request);
  const double own = engine.threads * std::min<double>(settings.brokers, kMaxBrokersInOwnLoad);
  const double all = load_.engine_threads(engine).value_or(own);
  const double threads = kOwnLoadWeight * own + (1 - kOwnLoadWeight) * all;
  const double cores = cores_of(settings, engine) * slow_start_.capacity_fraction(engine);
  double score = (threads + cls.threads) * latency_.slowness(engine) / cores;
  if (engine.endpoint.zone != settings.zone) score += kCrossZonePenalty * settings.cross_zone_cost;
  if (!ignores_affinity_ && affinity_.prefers(request.arrival.data_group, engine)) score -= kCachedDataBonus;
  if (cls.waits_for_data_group && is_data_group_locked(request, engine)) score += kLockedDataGroupPenalty;
  if (request.was_sent_to(engine.endpoint.engine)) score += kSameEnginePenalty;
  return score;
}

}  // namespace bellstair::policy
