#include "policy/slow_start.hpp"

#include <algorithm>

#include "policy/units.hpp"

namespace bellstair::policy {
namespace {
constexpr double kFullCapacity = 0.85;  // core-seconds per second and core
}  // namespace

bool SlowStart::is_warming_up(const Engine& engine) const {
  const Time started_at = engine.start.started_at();
  return started_at > Time::zero() && context_.now < started_at + context_.settings.slow_start_duration;
}

double SlowStart::capacity_fraction(const Engine& engine, Time lookback) const {
  if (!is_warming_up(engine)) return 1;
  const auto& settings = context_.settings;
  const double age_seconds = std::max(0.0, to_seconds(context_.now - engine.start.started_at() - lookback));
  const double age = age_seconds / to_seconds(settings.slow_start_duration);
  return settings.slow_start_capacity + (1 - settings.slow_start_capacity) * std::min(1.0, age);
}

slow_start::Capacity SlowStart::capacity(const Engine& engine) const {
  const auto& settings = context_.settings;
  const Time window = settings.slow_start_overload_window;
  const double budget = settings.slow_start_overload_factor * capacity_fraction(engine, window) *
                        kFullCapacity * cores_of(settings, engine) * to_seconds(window);
  return {budget, to_seconds(window), static_cast<double>(settings.brokers)};
}

bool SlowStart::in_first_window() const {
  return context_.now < began_at_ + context_.settings.slow_start_overload_window;
}

bool SlowStart::is_limited(const Engine& engine) const {
  return context_.settings.slow_start_overload_factor > 0 && is_warming_up(engine);
}

bool SlowStart::allows(Engine& engine, double work) const {
  if (!is_limited(engine)) return true;
  if (in_first_window()) return false;
  return engine.slow_start_budget.allows(context_.now, context_.settings.slow_start_overload_window, work,
                                         capacity(engine).even_share());
}

void SlowStart::charge(Engine& engine, double work) const {
  if (!is_warming_up(engine)) return;
  engine.slow_start_budget.charge(context_.now, work, capacity(engine).even_share());
}

void SlowStart::draw_permits(double elapsed_seconds, const std::vector<Engine*>& engines,
                             const slow_start::Demand& demand) {
  const Time window = context_.settings.slow_start_overload_window;
  for (auto* engine : engines) {
    if (!is_limited(*engine)) continue;
    const auto rate = slow_start::permit_rate(capacity(*engine), demand);
    const double seconds = std::min(elapsed_seconds, slow_start::kMaxElapsedSeconds);
    const bool drawn = context_.uniform() < seconds * rate.work_per_second / rate.work_per_permit;
    if (!drawn || in_first_window()) continue;
    if (!engine->slow_start_budget.may_grant_permit(context_.now, window)) continue;
    engine->slow_start_budget.grant_permit(context_.now, rate.work_per_permit);
    engines_with_permit_.push_back(engine);
  }
}

const std::vector<Engine*>& SlowStart::engines_with_permit() {
  std::erase_if(engines_with_permit_,
                [this](const Engine* engine) { return !engine->slow_start_budget.has_permit(context_.now); });
  return engines_with_permit_;
}

void SlowStart::drop_removed() {
  std::erase_if(engines_with_permit_, [](const Engine* engine) { return is_removable(*engine); });
}

}  // namespace bellstair::policy
