// Limits the CPU time of the event loop that hooks may use. One token bucket covers all hooks and may go
// negative by one slice; each turn of the loop has a limit too. Among hooks, the one with the least attained
// service runs first (L. Kleinrock, Queueing Systems II, 1976, section 4.6), so an endless hook does not
// starve a short one.
#pragma once

#include <algorithm>
#include <optional>
#include <unordered_map>

#include "hooks/spec.hpp"

namespace bellstair::hooks {

// The resources that one call has used so far.
struct CallUsage {
  Time cpu{};
  std::uint64_t instructions = 0;
};

// Returns the limit that the call has reached, or HookFailureKind::none.
[[nodiscard]] inline HookFailureKind exceeded_limit(const Spec& spec, const CallUsage& usage) {
  if (usage.cpu >= spec.cpu_limit) return HookFailureKind::time;
  if (usage.instructions >= spec.instruction_limit) return HookFailureKind::instructions;
  return HookFailureKind::none;
}
// Returns the duration of the call's next slice: a full slice, or the rest of its CPU time if that is less.
[[nodiscard]] inline Time next_slice(const Spec& spec, const CallUsage& usage) {
  return std::max<Time>(std::min(spec.slice, spec.cpu_limit - usage.cpu), std::chrono::microseconds(1));
}

class Budget {
 public:
  void set_limits(const Limits& limits) { limits_ = limits; }
  void begin_turn(Time now);
  // Returns whether a slice may start now. Begins a new turn if the last one has ended.
  [[nodiscard]] bool may_run(Time now);
  // Returns the earliest time at which a slice may start, in a new turn.
  [[nodiscard]] Time next_available(Time now) const;
  void charge(Time now, HookId hook, Time cpu);
  // Called when an idle hook gets a call. If other hooks have calls, its attained service starts no lower
  // than the lowest of theirs, so that idle time gives it no advantage.
  void on_active(HookId hook, bool others_active);
  [[nodiscard]] Time attained(HookId hook) const;
  void remove(HookId hook) { attained_.erase(hook); }

 private:
  static constexpr Time kMaxTurnDuration = std::chrono::milliseconds(1);  // then a new turn begins
  [[nodiscard]] Time tokens(Time now) const;

  Limits limits_;
  Time tokens_{}, charged_at_{}, turn_started_at_{}, turn_used_{}, least_attained_{};
  bool charged_ = false;
  std::unordered_map<HookId, Time> attained_;
};

}  // namespace bellstair::hooks
