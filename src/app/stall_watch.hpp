// Notices that the process has not run for a while: it was stopped, or its machine was paused.
//
// After a stall the timers that ran out meanwhile fire at once, while what has come meanwhile still lies in
// the sockets: a client's request and its end, an engine's answer, a change of the fleet. A decision taken
// then goes by a state that is out of date by the length of the stall. The loop therefore looks at its
// sockets again, several times, before it acts; and a request read then may be as old as the last look
// before.
//
// All times are those of one steady clock.
#pragma once

#include <chrono>
#include <optional>
#include <utility>

namespace bellstair::app {

class StallWatch {
 public:
  using Time = std::chrono::nanoseconds;

  // The longest time between two marks that counts as usual: a tick of the loop, which wakes it where nothing
  // else does, and a long step.
  static constexpr Time kUsual = std::chrono::milliseconds(55);
  // After a stall nothing is decided before so many looks: what was accepted in the first is read in the
  // second, and an end that follows what was read there in the third.
  static constexpr int kLooks = 4;
  // Nor sooner than this: a look that a signal interrupts, as one does that goes on after a stop, comes back
  // at once and has seen nothing. Two ticks hold a whole look each.
  static constexpr Time kSettle = std::chrono::milliseconds(11);
  // After so many looks the loop acts in any case: a process that is stopped again and again, as one that is
  // short of processor time, would never decide anything.
  static constexpr int kMaxLooks = 8;

  struct Stall {
    Time since{};   // the last look before it
    Time length{};  // until it was noticed
  };

  // The process runs. To be called at each step of a turn, so that a turn that is long because there is much
  // to do does not pass for a stall.
  void mark(Time now) { mark(now, previous_); }

  // The loop has just looked at all sockets, and goes on to read them.
  void looked(Time now) {
    mark(now, last_);
    previous_ = last_ == Time::zero() ? now : last_;
    last_ = now;
    ++looks_;
    ++all_looks_;
  }

  // Whether the sockets have to be looked at again before anything is decided at `now`.
  [[nodiscard]] bool look_again(Time now) {
    mark(now);
    const bool settled = looks_ >= kLooks && now >= noticed_at_ + kSettle;
    if (settled || all_looks_ >= kMaxLooks) settling_ = false;
    return settling_;
  }

  // The earliest moment at which what is read at `now` may have come.
  [[nodiscard]] Time came_after(Time now) const {
    if (settling_) return since_;
    return now - previous_ > kUsual ? previous_ : now;
  }

  // The stall noticed since the last call, or found to have gone on.
  [[nodiscard]] std::optional<Stall> take_stall() { return std::exchange(noticed_, std::nullopt); }

 private:
  void mark(Time now, Time look_before) {
    if (marked_ != Time::zero() && now - marked_ > kUsual) stalled(look_before, now);
    marked_ = now;
  }

  void stalled(Time since, Time now) {
    // One that follows before the loop has acted is the same stall, which goes on.
    if (!std::exchange(settling_, true)) {
      since_ = since;
      all_looks_ = 0;
    }
    noticed_ = Stall{since_, now - since_};
    noticed_at_ = now;
    looks_ = 0;
  }

  Time marked_{};
  Time last_{}, previous_{};  // looks
  Time since_{};              // the last look before the stall
  Time noticed_at_{};
  int looks_ = 0, all_looks_ = 0;  // since it was noticed last, and first
  bool settling_ = false;
  std::optional<Stall> noticed_;
};

}  // namespace bellstair::app
