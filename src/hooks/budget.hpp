// Who may take how much of the loop's time. One bucket of CPU time for all hooks, filled at a share of the
// clock (a token bucket that may fall into debt by one slice), a lower bound for one turn of the loop, and
// among hooks the one first that has had least ("least attained service"; L. Kleinrock, Queueing Systems II,
// 1976, section 4.6), so that a runaway hook does not starve a short one.
#pragma once

#include <algorithm>
#include <optional>
#include <unordered_map>

#include "hooks/spec.hpp"

namespace bellstair::hooks {

// What one call has used.
struct Use {
  Time cpu{};
  std::uint64_t instructions = 0;
};

// Whether the call may go on.
[[nodiscard]] inline Failure judge(const Spec& spec, const Use& use) {
  if (use.cpu >= spec.time) return Failure::time;
  if (use.instructions >= spec.instructions) return Failure::instructions;
  return Failure::none;
}
// What is left of its time, or a whole slice.
[[nodiscard]] inline Time next_slice(const Spec& spec, const Use& use) {
  return std::max<Time>(std::min(spec.slice, spec.time - use.cpu), std::chrono::microseconds(1));
}

class Budget {
 public:
  void limit(const Limits& limits) { limits_ = limits; }
  void begin_turn(Time now);
  // Whether a slice may begin now.
  [[nodiscard]] bool open(Time now);
  // When one may begin at the earliest, in a turn of its own.
  [[nodiscard]] Time due(Time now) const;
  void charge(Time now, HookId hook, Time cpu);
  // A hook that comes to have work again starts no lower than those that have work already.
  void awake(HookId hook, bool others);
  [[nodiscard]] Time attained(HookId hook) const;
  void forget(HookId hook) { attained_.erase(hook); }

 private:
  static constexpr Time kNewTurn = std::chrono::milliseconds(1);  // a turn that lasts longer is a new one
  [[nodiscard]] Time level(Time now) const;

  Limits limits_;
  Time level_{}, told_{}, turn_begun_{}, turn_used_{}, floor_{};
  bool begun_ = false;
  std::unordered_map<HookId, Time> attained_;
};

}  // namespace bellstair::hooks
