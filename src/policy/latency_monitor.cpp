#include "policy/latency_monitor.hpp"

#include <algorithm>
#include <chrono>

namespace bellstair::policy {
namespace {
using namespace std::chrono_literals;

constexpr double kEngineStep = 0.1;   // weight of one answer in an engine's ratio
constexpr double kFleetStep = 0.04;   // weight of one answer in the fleet's ratio
constexpr double kMinSlowness = 2.0;  // times slower than the fleet; lower ratios are due to chance
constexpr double kMaxSlowness = 6.0;
constexpr Time kMaxAnswerAge = 4s;  // of an engine's last answer, before its ratio is capped
}  // namespace

void LatencyMonitor::record_answer(Engine& engine, double ratio) {
  engine.last_latency_ratio = ratio;
  fleet_ratio_ += kFleetStep * (ratio - fleet_ratio_);
  record_engine_ratio(engine, ratio);
}

void LatencyMonitor::record_engine_ratio(Engine& engine, double ratio) {
  engine.latency_ratio += kEngineStep * (ratio - engine.latency_ratio);
}

double LatencyMonitor::slowness(const Engine& engine) const {
  const double times = engine.latency_ratio / std::max(1.0, fleet_ratio_);
  return times <= kMinSlowness ? 1 : std::min(times, kMaxSlowness);
}

void LatencyMonitor::cap_stale_ratios(const std::vector<Engine*>& engines) const {
  for (auto* engine : engines) {
    if (context_.now <= engine->last_seen_at + kMaxAnswerAge) continue;
    engine->latency_ratio = std::min(engine->latency_ratio, kMinSlowness * std::max(1.0, fleet_ratio_));
  }
}

}  // namespace bellstair::policy
