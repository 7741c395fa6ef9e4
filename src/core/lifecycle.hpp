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

// Longest shutdown: min(longest deadline, 3 s) + 0.3 s of draining, then 0.3 s of stopping.
//
// starting -> serving: the servers listen and a ready engine is known.
// starting, serving -> draining: a shutdown is requested. New requests are still served.
// draining -> stopping: clients have had time to see it, and every request is answered.
// stopping -> exited: everything is written, or kFlushTimeout has passed.
class Lifecycle {
 public:
  // Draining lasts at least this long: new connections and requests may come for 0.7 s after the signal.
  static constexpr Time kMinDrain = std::chrono::milliseconds(800);
  // The platform kills the program after the longest deadline, counted as at most kMaxDeadline, and
  // kKillGrace.
  static constexpr Time kMaxDeadline = std::chrono::seconds(3);
  static constexpr Time kKillGrace = std::chrono::milliseconds(700);
  // Unanswered requests are given up this long before the kill, so that clients can retry elsewhere.
  static constexpr Time kKillMargin = std::chrono::milliseconds(400);
  static constexpr Time kFlushTimeout = std::chrono::milliseconds(300);

  // `longest_deadline`: of all classes in the configuration file, which the platform's kill goes by.
  explicit Lifecycle(Time longest_deadline = kMaxDeadline) : max_drain_(max_drain_for(longest_deadline)) {}

  void listeners_ready() { listening_ = true; }
  void engine_ready() { engine_known_ = true; }

  // `longest_deadline`: of all classes and unanswered requests now. A version of the settings can't put off
  // the platform's kill: one that made deadlines longer has no effect here.
  void request_shutdown(Time requested_at, Time longest_deadline = kMaxDeadline) {
    if (phase_ != Phase::starting && phase_ != Phase::serving) return;
    max_drain_ = std::min(max_drain_, max_drain_for(longest_deadline));
    phase_ = Phase::draining;
    phase_since_ = requested_at;
  }

  // Moves on by one phase at most. `unanswered`: requests have no answer; `unwritten`: bytes or cancellations
  // have still to be written. True if the phase has changed.
  bool advance(Time now, bool unanswered, bool unwritten) {
    const Phase before = phase_;
    if (phase_ == Phase::starting && listening_ && engine_known_) phase_ = Phase::serving;
    if (phase_ == Phase::draining && !unanswered && now >= phase_since_ + kMinDrain) {
      phase_ = Phase::stopping;
      phase_since_ = now;
    }
    // Not in the step that began to stop: what has to be written and closed shows only after it.
    if (before == Phase::stopping && (!unwritten || now >= phase_since_ + kFlushTimeout))
      phase_ = Phase::exited;
    return phase_ != before;
  }

  [[nodiscard]] Phase phase() const { return phase_; }
  // Unanswered requests are to be given up now.
  [[nodiscard]] bool drain_expired(Time now) const {
    return phase_ == Phase::draining && now >= phase_since_ + max_drain_;
  }
  [[nodiscard]] bool is_serving() const { return phase_ == Phase::serving; }

 private:
  static constexpr Time max_drain_for(Time longest_deadline) {
    return std::max(std::min(longest_deadline, kMaxDeadline) + kKillGrace - kKillMargin, kMinDrain);
  }

  Phase phase_ = Phase::starting;
  bool listening_ = false;
  bool engine_known_ = false;
  Time max_drain_;
  Time phase_since_{};
};

}  // namespace bellstair::core
