#include "hooks/budget.hpp"

namespace bellstair::hooks {

Time Budget::tokens(Time now) const {
  if (!charged_) return limits_.max_burst;
  const auto filled =
      Time(static_cast<std::int64_t>(static_cast<double>((now - charged_at_).count()) * limits_.cpu_share));
  return std::min(limits_.max_burst, tokens_ + std::max(filled, Time::zero()));
}

void Budget::begin_turn(Time now) {
  turn_started_at_ = now;
  turn_used_ = Time::zero();
}

bool Budget::may_run(Time now) {
  if (now >= turn_started_at_ + kMaxTurnDuration) begin_turn(now);
  return turn_used_ < limits_.max_turn_cpu && tokens(now) > Time::zero();
}

Time Budget::next_available(Time now) const {
  const auto have = tokens(now);
  if (have > Time::zero()) return now;
  const double missing = static_cast<double>((Time(1) - have).count());
  return now + Time(static_cast<std::int64_t>(missing / limits_.cpu_share) + 1);
}

void Budget::charge(Time now, HookId hook, Time cpu) {
  tokens_ = tokens(now) - cpu;
  charged_at_ = now;
  charged_ = true;
  turn_used_ += cpu;
  auto& attained = attained_[hook];
  least_attained_ = std::max(least_attained_, attained);  // the hook that ran had the least attained service
  attained += cpu;
}

void Budget::on_active(HookId hook, bool others_active) {
  auto& attained = attained_[hook];
  if (others_active) attained = std::max(attained, least_attained_);
}

Time Budget::attained(HookId hook) const {
  const auto found = attained_.find(hook);
  return found == attained_.end() ? Time::zero() : found->second;
}

}  // namespace bellstair::hooks
