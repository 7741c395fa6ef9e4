// Defines the phases of the program from start to exit, and when it changes between them.
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

// The longest shutdown takes min(longest deadline, 3 s) + 0.3 s of draining and 0.3 s of stopping.
//
// starting -> serving: the fronts listen and a ready engine is known.
// starting, serving -> draining: a shutdown is requested. New requests are still served.
// draining -> stopping: kMinDrain has passed, and every request is answered.
// stopping -> exited: all data is written, or kFlushTimeout has passed.
class Lifecycle {
 public:
  // Minimum duration of draining: new connections and requests may arrive for 0.7 s after the signal.
  static constexpr Time kMinDrain = std::chrono::milliseconds(800);
  // The platform kills the program this long after the signal: the longest deadline, but at most
  // kMaxDeadline, plus kKillGrace.
  static constexpr Time kMaxDeadline = std::chrono::seconds(3);
  static constexpr Time kKillGrace = std::chrono::milliseconds(700);
  // Unanswered requests are aborted this long before the kill, so that clients can retry elsewhere.
  static constexpr Time kKillMargin = std::chrono::milliseconds(400);
  static constexpr Time kFlushTimeout = std::chrono::milliseconds(300);

  // `longest_deadline`: maximum of all classes in the configuration file; the platform's kill timeout depends
  // on it.
  explicit Lifecycle(Time longest_deadline = kMaxDeadline) : max_drain_(max_drain_for(longest_deadline)) {}

  void listeners_ready() { listening_ = true; }
  void engine_ready() { engine_known_ = true; }

  // `longest_deadline`: the current maximum of all classes and unanswered requests. A settings version can't
  // delay the platform's kill, so deadlines that it made longer have no effect here.
  void request_shutdown(Time requested_at, Time longest_deadline = kMaxDeadline) {
    if (phase_ != Phase::starting && phase_ != Phase::serving) return;
    max_drain_ = std::min(max_drain_, max_drain_for(longest_deadline));
    phase_ = Phase::draining;
    phase_since_ = requested_at;
  }

  // Changes to the next phase if its conditions hold. `unanswered`: there are unanswered requests;
  // `unwritten`: data or cancellations still have to be written. Returns whether the phase has changed.
  bool advance(Time now, bool unanswered, bool unwritten) {
    const Phase before = phase_;
    if (phase_ == Phase::starting && listening_ && engine_known_) phase_ = Phase::serving;
    if (phase_ == Phase::draining && !unanswered && now >= phase_since_ + kMinDrain) {
      phase_ = Phase::stopping;
      phase_since_ = now;
    }
    // Never in the call that entered `stopping`: pending writes and closes are known only in the next call.
    if (before == Phase::stopping && (!unwritten || now >= phase_since_ + kFlushTimeout))
      phase_ = Phase::exited;
    return phase_ != before;
  }

  [[nodiscard]] Phase phase() const { return phase_; }
  // Whether draining has reached its time limit, so that unanswered requests must be aborted.
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
