// Notices that the process has not run for a while: it was stopped, or its machine was paused.
//
// After a stall, timers that expired meanwhile fire at once, while what has arrived meanwhile still lies in
// the sockets. A decision taken then would go by an outdated state. The loop therefore polls its sockets
// again, several times, before it decides; and what it reads then may be as old as the last poll before the
// stall.
//
// All times are those of one steady clock.
#pragma once

#include <chrono>
#include <optional>
#include <utility>

#include "core/events.hpp"

namespace bellstair::app {

class StallDetector {
 public:
  using Time = core::Time;

  // Between two marks; a longer gap is a stall. A tick of the loop, which wakes it where nothing else does,
  // and a long step.
  static constexpr Time kMaxGap = std::chrono::milliseconds(55);
  // After a stall nothing is decided before so many polls: what was accepted in the first is read in the
  // second, and an end of stream that follows what was read there in the third.
  static constexpr int kMinPolls = 4;
  // Nor sooner than this: a poll that a signal interrupts, as after SIGCONT, returns at once and has seen
  // nothing. Two ticks hold a whole poll each.
  static constexpr Time kMinRecovery = std::chrono::milliseconds(11);
  // After so many polls the loop decides in any case, or a process that is short of processor time never
  // would.
  static constexpr int kMaxPolls = 8;

  // The process runs. To be called at each step of a turn, so that a turn that is long because there is much
  // to do does not pass for a stall.
  void mark(Time now) { mark(now, previous_poll_); }

  // The loop has just polled all sockets, and goes on to read them.
  void polled(Time now) {
    mark(now, last_poll_);
    previous_poll_ = last_poll_ == Time::zero() ? now : last_poll_;
    last_poll_ = now;
    ++polls_since_noticed_;
    ++polls_since_stall_;
  }

  // Whether the sockets have to be polled again before anything is decided at `now`.
  [[nodiscard]] bool must_poll_again(Time now) {
    mark(now);
    const bool recovered = polls_since_noticed_ >= kMinPolls && now >= noticed_at_ + kMinRecovery;
    if (recovered || polls_since_stall_ >= kMaxPolls) recovering_ = false;
    return recovering_;
  }

  // The earliest moment at which what is read at `now` may have arrived.
  [[nodiscard]] Time earliest_arrival(Time now) const {
    if (recovering_) return stalled_since_;
    return now - previous_poll_ > kMaxGap ? previous_poll_ : now;
  }

  // The stall noticed since the last call, or found to have gone on.
  [[nodiscard]] std::optional<core::ProcessStalled> take_stall() {
    return std::exchange(noticed_, std::nullopt);
  }

 private:
  void mark(Time now, Time poll_before) {
    if (last_mark_ != Time::zero() && now - last_mark_ > kMaxGap) note_stall(poll_before, now);
    last_mark_ = now;
  }

  void note_stall(Time since, Time now) {
    // One that follows before the loop has decided is the same stall, which goes on.
    if (!std::exchange(recovering_, true)) {
      stalled_since_ = since;
      polls_since_stall_ = 0;
    }
    noticed_ = core::ProcessStalled{stalled_since_, now - stalled_since_};
    noticed_at_ = now;
    polls_since_noticed_ = 0;
  }

  Time last_mark_{};
  Time last_poll_{};
  Time previous_poll_{};
  Time stalled_since_{};         // the last poll before the stall
  Time noticed_at_{};            // last
  int polls_since_noticed_ = 0;  // last
  int polls_since_stall_ = 0;    // since it was noticed first
  bool recovering_ = false;
  std::optional<core::ProcessStalled> noticed_;
};

}  // namespace bellstair::app
