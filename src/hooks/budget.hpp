// The CPU time of the event loop that hooks may use: a token bucket for all hooks, which may fall into debt
// by one slice; a bound for each turn of the loop; and among hooks the least attained service first (L.
// Kleinrock, Queueing Systems II, 1976, section 4.6), so that an endless hook does not starve a short one.
#pragma once

#include <algorithm>
#include <optional>
#include <unordered_map>

#include "hooks/spec.hpp"

namespace bellstair::hooks {

// What one call has used so far.
struct CallUsage {
  Time cpu{};
  std::uint64_t instructions = 0;
};

// The limit of the hook that the call has reached, or Failure::none.
[[nodiscard]] inline HookFailureKind exceeded_limit(const Spec& spec, const CallUsage& usage) {
  if (usage.cpu >= spec.cpu_limit) return HookFailureKind::time;
  if (usage.instructions >= spec.instruction_limit) return HookFailureKind::instructions;
  return HookFailureKind::none;
}
// The duration of the call's next slice: a whole one, or what is left of its CPU time.
[[nodiscard]] inline Time next_slice(const Spec& spec, const CallUsage& usage) {
  return std::max<Time>(std::min(spec.slice, spec.cpu_limit - usage.cpu), std::chrono::microseconds(1));
}

class Budget {
 public:
  void set_limits(const Limits& limits) { limits_ = limits; }
  void begin_turn(Time now);
  // Whether a slice may begin now; begins a new turn if the last one is over.
  [[nodiscard]] bool may_run(Time now);
  // When a slice may begin at the earliest, in a new turn.
  [[nodiscard]] Time next_available(Time now) const;
  void charge(Time now, HookId hook, Time cpu);
  // A hook gets work after it had none: it starts no lower than the hooks that have work already.
  void on_active(HookId hook, bool others_active);
  [[nodiscard]] Time attained(HookId hook) const;
  void forget(HookId hook) { attained_.erase(hook); }

 private:
  static constexpr Time kMaxTurnDuration = std::chrono::milliseconds(1);  // after it a new turn is assumed
  [[nodiscard]] Time tokens(Time now) const;

  Limits limits_;
  Time tokens_{}, charged_at_{}, turn_begun_{}, turn_used_{}, least_attained_{};
  bool charged_ = false;
  std::unordered_map<HookId, Time> attained_;
};

}  // namespace bellstair::hooks
