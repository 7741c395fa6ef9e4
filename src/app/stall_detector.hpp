// Detects stalls: times in which the process did not run because it was stopped or its machine was paused.
//
// After a stall, the timers that expired during it fire at once, while the input that arrived during it is
// still unread in the sockets. The state of the core is then outdated. The loop therefore polls its sockets
// several times before it handles events; the input that it reads then may be as old as the last poll before
// the stall.
//
// A gap that the loop's own work fills is no stall: otherwise, whoever sends much would keep the loop in
// recovery, in which no event is handled.
//
// All times are from one steady clock.
#pragma once

#include <chrono>
#include <optional>
#include <utility>

#include "core/events.hpp"

namespace bellstair::app {

class StallDetector {
 public:
  using Time = core::Time;

  // A longer gap between two calls of record_activity() is a stall. Covers one tick, which wakes an idle
  // loop, and one long step of an iteration.
  static constexpr Time kMaxGap = std::chrono::milliseconds(55);
  // Polls after a stall before the loop handles events: a connection accepted in the first poll is read in
  // the second, and an end of stream that follows this input is read in the third.
  static constexpr int kMinPolls = 4;
  // Shortest time after a stall before the loop handles events: a poll that a signal such as SIGCONT
  // interrupts returns at once and reports no input. Two ticks, each with a complete poll, fit into 11 ms.
  static constexpr Time kMinRecovery = std::chrono::milliseconds(11);
  // After this number of polls, and kMinRecovery, the loop handles events in any case; otherwise a process
  // with too little CPU time never would.
  static constexpr int kMaxPolls = 8;
  // Of a busy machine's processor, a thread that works gets one part in this many at least.
  static constexpr int kMaxRunnableThreadsPerCore = 4;

  // Returns the processor time that the loop's thread has used.
  using CpuClock = Time (*)();

  // Without a clock, each gap counts as a stall.
  explicit StallDetector(CpuClock cpu_clock = nullptr) : cpu_clock_(cpu_clock) {}

  // Records that the process is running. Must be called at each step of an iteration.
  void record_activity(Time now) { record_activity(now, previous_poll_); }

  // Must be called after the loop has polled all sockets, before it reads them.
  void polled(Time now) {
    record_activity(now, last_poll_);
    previous_poll_ = last_poll_ == Time::zero() ? now : last_poll_;
    last_poll_ = now;
    cpu_time_at_poll_ = cpu_time();
    ++polls_since_last_detection_;
    ++polls_since_first_detection_;
  }

  // Whether the sockets must be polled again before events are handled at `now`.
  [[nodiscard]] bool must_poll_again(Time now) {
    record_activity(now);
    const bool recovered =
        polls_since_last_detection_ >= kMinPolls && now >= last_detected_at_ + kMinRecovery;
    const bool took_too_long =
        polls_since_first_detection_ >= kMaxPolls && now >= first_detected_at_ + kMinRecovery;
    if (recovered || took_too_long) recovering_ = false;
    return recovering_;
  }

  // The earliest time at which input that is read at `now` may have arrived.
  [[nodiscard]] Time earliest_arrival(Time now) const {
    if (recovering_) return stalled_since_;
    return now - previous_poll_ > kMaxGap ? previous_poll_ : now;
  }

  [[nodiscard]] bool recovering() const { return recovering_; }

  // Returns the stall that was detected, or that became longer, since the last call.
  [[nodiscard]] std::optional<core::ProcessStalled> take_stall() {
    return std::exchange(unreported_stall_, std::nullopt);
  }

 private:
  void record_activity(Time now, Time poll_before) {
    const Time gap = now - last_activity_;
    if (last_activity_ != Time::zero() && gap > kMaxGap &&
        gap - kMaxRunnableThreadsPerCore * cpu_time_since_poll() > kMaxGap)
      record_stall(poll_before, now);
    last_activity_ = now;
  }

  [[nodiscard]] Time cpu_time() const { return cpu_clock_ == nullptr ? Time::zero() : cpu_clock_(); }
  // Of the whole iteration: the work before the gap is short.
  [[nodiscard]] Time cpu_time_since_poll() const { return cpu_time() - cpu_time_at_poll_; }

  void record_stall(Time since, Time now) {
    // Another gap before the loop has handled events continues the same stall.
    if (!std::exchange(recovering_, true)) {
      stalled_since_ = since;
      first_detected_at_ = now;
      polls_since_first_detection_ = 0;
    }
    unreported_stall_ = core::ProcessStalled{stalled_since_, now - stalled_since_};
    last_detected_at_ = now;
    polls_since_last_detection_ = 0;
  }

  CpuClock cpu_clock_;
  Time cpu_time_at_poll_{};
  Time last_activity_{};
  Time last_poll_{};
  Time previous_poll_{};
  Time stalled_since_{};  // the last poll before the stall
  Time first_detected_at_{};
  Time last_detected_at_{};
  int polls_since_last_detection_ = 0;
  int polls_since_first_detection_ = 0;
  bool recovering_ = false;
  std::optional<core::ProcessStalled> unreported_stall_;
};

}  // namespace bellstair::app
