#include "policy/endpoint_selector.hpp"

#include <algorithm>
#include <chrono>

namespace bellstair::policy {
namespace {
constexpr std::size_t kMaxComparedFleet = kMaxRecentReports;  // engines; larger fleets are sampled
constexpr std::size_t kRandomCandidates = 2;
constexpr Time kHealthCheckWait = std::chrono::milliseconds(40);
// Light requests send a check only while the budget holds this many.
constexpr std::size_t kHealthChecksForHeavyRequest = 4;
constexpr double kHeavyFraction = 0.5;  // of the heaviest class's work; a request above it is heavy
// Random noise of up to this many threads a core is added to scores, so that brokers choose different
// engines.
constexpr double kMinScoreNoise = 0.01;
constexpr double kMaxScoreNoise = 4.0;  // added at a report confidence of 0
}  // namespace

Engine* EndpointSelector::select(Request& request) {
  const auto& engines = candidates(request);
  if (awaits_health_checks(request, engines)) return nullptr;
  const double noise = score_noise();
  Engine* best = nullptr;
  double best_score = 0;
  for (auto* engine : engines) {
    if (!is_eligible(request, *engine)) continue;
    const double score = inputs_.scorer.score(request, *engine) + noise * context_.uniform();
    if (best != nullptr && !(score < best_score)) continue;
    best = engine;
    best_score = score;
  }
  return best;
}

const std::vector<Engine*>& EndpointSelector::candidates(const Request& request) {
  const auto& ready = inputs_.fleet.ready();
  if (ready.size() <= kMaxComparedFleet) return ready;
  candidates_.clear();
  ++comparison_;
  for (auto* engine : inputs_.slow_start.engines_with_permit()) add_candidate(engine);
  for (std::size_t i = 0; i < kRandomCandidates; ++i) add_candidate(ready[context_.random() % ready.size()]);
  if (!inputs_.scorer.ignores_affinity()) {
    const auto& preferred = inputs_.affinity.preferred_engines(request.arrival.data_group);
    if (!preferred.empty()) add_candidate(preferred[context_.random() % preferred.size()]);
  }
  for (const auto& [at, engine] : inputs_.load.recent_reports())
    if (context_.now < at + kReportLifetime) add_candidate(engine);
  return candidates_;
}

void EndpointSelector::add_candidate(Engine* engine) {
  if (engine->last_comparison != comparison_ && engine->ready) candidates_.push_back(engine);
  engine->last_comparison = comparison_;
}

// A broker with a small pool sends health checks for single requests. With a large pool this is not needed,
// because all reports are kept recent.
bool EndpointSelector::awaits_health_checks(Request& request, const std::vector<Engine*>& engines) {
  if (!inputs_.fleet.has_small_pool()) return false;
  auto& awaited_until = request.health_checks_awaited_until;
  if (awaited_until > Time::zero()) return awaited_until > context_.now;
  awaited_until = context_.now;
  const double work = inputs_.classes[request.arrival.cls].estimates.mean_work();
  const bool heavy = work > kHeavyFraction * inputs_.classes.heaviest_work();
  const std::size_t checks = std::min(engines.size(), heavy ? kHealthChecksForHeavyRequest : 1);
  const double reserve = heavy ? 0 : static_cast<double>(kHealthChecksForHeavyRequest - 1);
  for (std::size_t i = 0; i < checks; ++i) {
    if (inputs_.health_checker.check_if_stale(*engines[i], reserve))
      awaited_until = context_.now + kHealthCheckWait;
  }
  return awaited_until > context_.now;
}

bool EndpointSelector::is_eligible(const Request& request, Engine& engine) const {
  if (!inputs_.outliers.try_admit(request, engine)) return false;
  if (!inputs_.scorer.has_capacity(engine, request.arrival.cls)) return false;
  if (!inputs_.rules.may_start_attempt(request, engine)) return false;
  if (request.awaited_from(engine.endpoint.engine)) return false;
  const bool locks = class_settings(context_.settings, request).locks_data_group;
  return !locks || !is_data_group_locked(request, engine);
}

double EndpointSelector::score_noise() const {
  if (!inputs_.load.uses_reports()) return kMinScoreNoise;
  return kMinScoreNoise + kMaxScoreNoise * (1 - inputs_.load.report_confidence());
}

}  // namespace bellstair::policy
