// The phases of the program, from start to exit.
#pragma once

#include <algorithm>
#include <chrono>

namespace bellstair::core {

using Time = std::chrono::nanoseconds;

enum class Phase { starting, serving, draining, stopping, exited };

[[nodiscard]] constexpr const char* name(Phase phase) {
  switch (phase) {
    case Phase::starting:
      return "starting";
    case Phase::serving:
      return "serving";
    case Phase::draining:
      return "draining";
    case Phase::stopping:
      return "stopping";
    case Phase::exited:
      return "exited";
  }
  return "?";
}

// starting -> serving once the fronts listen and an engine is known; any of both -> draining on a request to
// stop; draining -> stopping once clients have had time to turn away and nothing taken is unanswered;
// stopping -> exited once all that is left has been written.
class Lifecycle {
 public:
  // After the request to stop, connections and requests go on coming for 0.7 s at the most.
  static constexpr Time kLinger = std::chrono::milliseconds(800);
  // The platform kills the program no sooner than the longest deadline, counted as 3 s at the most, and 0.7 s
  // after the request to stop. What is not answered by then is given up so long before that clients hear of
  // it, and ask elsewhere.
  static constexpr Time kMaxDeadline = std::chrono::seconds(3);
  static constexpr Time kKill = std::chrono::milliseconds(700), kBeforeKill = std::chrono::milliseconds(400);
  // What is left to write, and what engines still have to be told, gets this long.
  static constexpr Time kFlush = std::chrono::milliseconds(300);

  // `deadline`: the longest of all classes, as the platform's own configuration has them: its kill goes by
  // them.
  explicit Lifecycle(Time deadline = kMaxDeadline) : most_drain_(drain_for(deadline)) {}

  void listening() { listening_ = true; }
  void fleet_known() { fleet_known_ = true; }
  // `deadline`: the longest that counts by now. A version of the settings may have made it shorter; one that
  // makes it longer does not move the kill. What comes into force later moves nothing any more.
  void stop(Time now, Time deadline = kMaxDeadline) {
    if (phase_ != Phase::starting && phase_ != Phase::serving) return;
    most_drain_ = std::min(most_drain_, drain_for(deadline));
    phase_ = Phase::draining;
    since_ = now;
  }
  // Moves on as far as what is unanswered (`owed`) and unwritten allows. True if the phase has changed.
  bool advance(Time now, bool owed, bool unwritten) {
    const Phase before = phase_;
    if (phase_ == Phase::starting && listening_ && fleet_known_) phase_ = Phase::serving;
    if (phase_ == Phase::draining && !owed && now >= since_ + kLinger) {
      phase_ = Phase::stopping;
      since_ = now;
    }
    // Not in the step in which it began to stop: what there is to write and to close shows only after that.
    if (before == Phase::stopping && (!unwritten || now >= since_ + kFlush)) phase_ = Phase::exited;
    return phase_ != before;
  }

  [[nodiscard]] Phase phase() const { return phase_; }
  [[nodiscard]] bool overdue(Time now) const {
    return phase_ == Phase::draining && now >= since_ + most_drain_;
  }
  [[nodiscard]] bool green() const { return phase_ == Phase::serving; }

 private:
  static constexpr Time drain_for(Time deadline) {
    return std::max(std::min(deadline, kMaxDeadline) + kKill - kBeforeKill, kLinger);
  }

  Phase phase_ = Phase::starting;
  bool listening_ = false, fleet_known_ = false;
  Time most_drain_, since_{};
};

}  // namespace bellstair::core
