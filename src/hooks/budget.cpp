#include "hooks/budget.hpp"

namespace bellstair::hooks {

Time Budget::level(Time now) const {
  if (!begun_) return limits_.burst;
  const auto filled =
      Time(static_cast<std::int64_t>(static_cast<double>((now - told_).count()) * limits_.share));
  return std::min(limits_.burst, level_ + std::max(filled, Time::zero()));
}

void Budget::begin_turn(Time now) {
  turn_begun_ = now;
  turn_used_ = Time::zero();
}

bool Budget::open(Time now) {
  if (now >= turn_begun_ + kNewTurn) begin_turn(now);
  return turn_used_ < limits_.turn && level(now) > Time::zero();
}

Time Budget::due(Time now) const {
  const auto have = level(now);
  if (have > Time::zero()) return now;
  const double missing = static_cast<double>((Time(1) - have).count());
  return now + Time(static_cast<std::int64_t>(missing / limits_.share) + 1);
}

void Budget::charge(Time now, HookId hook, Time cpu) {
  level_ = level(now) - cpu;
  told_ = now;
  begun_ = true;
  turn_used_ += cpu;
  auto& had = attained_[hook];
  floor_ = std::max(floor_, had);  // the one that was called had least of all
  had += cpu;
}

void Budget::awake(HookId hook, bool others) {
  auto& had = attained_[hook];
  if (others) had = std::max(had, floor_);
}

Time Budget::attained(HookId hook) const {
  const auto found = attained_.find(hook);
  return found == attained_.end() ? Time::zero() : found->second;
}

}  // namespace bellstair::hooks
