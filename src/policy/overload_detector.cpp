#include "policy/overload_detector.hpp"

#include <algorithm>

namespace bellstair::policy {
namespace {
constexpr double kOverloadLatencyRatio = 1.5;  // of the fleet
constexpr double kMinLimitFactor = 0.5;
constexpr double kLimitDecrease = 0.85;  // factor in a period of overload
constexpr double kLimitIncrease = 0.05;  // added in any other period
}  // namespace

bool OverloadDetector::is_overloaded() const {
  const double level = load_.level();
  if (level < 0) return latency_.fleet_ratio() > kOverloadLatencyRatio;
  return level > kOverloadThreadsPerCore * limit_factor_;
}

void OverloadDetector::adapt() {
  // With priorities, short classes stay quick without this. A broker with a small pool receives too few
  // answers to measure the ratio.
  if (context_.settings.priorities || fleet_.has_small_pool()) return;
  limit_factor_ = latency_.fleet_ratio() > kOverloadLatencyRatio
                      ? std::max(kMinLimitFactor, limit_factor_ * kLimitDecrease)
                      : std::min(1.0, limit_factor_ + kLimitIncrease);
}

}  // namespace bellstair::policy
