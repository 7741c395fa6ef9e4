// Converts start times of engines to the broker's steady clock, for slow start.
//
// The change log reports a start in Unix time of another machine's wall clock. Both that clock and this
// machine's may be wrong or step. Two bounds hold regardless: an engine started before the event that reports
// it, and at most kMaxDelay before the change log's previous answer.
#pragma once

#include <algorithm>
#include <chrono>
#include <utility>

namespace bellstair::core {

using Time = std::chrono::nanoseconds;

// `started_unix` is Unix time; all other times are steady clock times. Results are above 0, because 0 means
// "long ago".
class StartClock {
 public:
  // Maximum delay of an event in the change log. A smaller clock error is not detected.
  static constexpr Time kMaxDelay = std::chrono::seconds(2);
  // Maximum error of a wall clock: an engine that started longer ago, by the wall clock, is not new.
  static constexpr Time kMaxClockError = std::chrono::hours(24);

  // Must be called for each start that is known when the program begins, before start_of_known().
  void add_known_start(Time started_unix) { newest_known_ = std::max(newest_known_, started_unix); }

  // Returns the start of an engine that is known when the program begins. Only differences between the starts
  // are reliable: the newest counts as just started, each other one as older by the difference of their Unix
  // times.
  [[nodiscard]] Time start_of_known(Time started_unix, Time now) const {
    const Time by_wall_clock = started_unix + offset_;
    const bool certainly_old = now - by_wall_clock > kMaxClockError;
    return std::clamp(certainly_old ? by_wall_clock : now - (newest_known_ - started_unix), Time(1), now);
  }

  // Returns the start of an engine that a watch event reports. `absent_at`: when it was not yet listed. A
  // start outside its bounds reveals a clock error: the event then counts as reported without delay.
  [[nodiscard]] Time start_of_new(Time started_unix, Time now, Time absent_at) {
    const Time age = now - (started_unix + offset_);
    const Time max_age = now - absent_at + kMaxDelay;
    if (age < Time::zero() || age > max_age) {
      offset_ = now - started_unix;
      offset_changed_ = true;
    }
    return std::max(Time(1), started_unix + offset_);
  }

  // Returns true once after start_of_new() has detected a clock error: all other starts must be corrected.
  [[nodiscard]] bool take_offset_changed() { return std::exchange(offset_changed_, false); }

  [[nodiscard]] Time corrected_start(Time started_unix, Time now) const {
    return std::clamp(started_unix + offset_, Time(1), now);
  }

 private:
  Time offset_{};  // steady clock minus Unix time; the steady clock starts at the wall clock's time
  Time newest_known_{};
  bool offset_changed_ = false;
};

}  // namespace bellstair::core
