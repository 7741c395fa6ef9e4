// Start times of engines on the broker's steady clock, for slow start.
//
// The change log tells a start in Unix time, by another machine's wall clock. That clock and this machine's
// may be off or step. Bounds that hold regardless: an engine did not start after the event that tells of it,
// nor before the change log's previous answer by more than kMaxDelay.
#pragma once

#include <algorithm>
#include <chrono>
#include <utility>

namespace bellstair::core {

using Time = std::chrono::nanoseconds;

// `started_unix` is Unix time, all other times are of the steady clock. Results are above 0, which would mean
// "long ago".
class StartClock {
 public:
  // Delay of an event in the change log. A clock that is off by less goes unnoticed.
  static constexpr Time kMaxDelay = std::chrono::seconds(2);
  // No wall clock is off by more: an engine that started longer ago by it is not new.
  static constexpr Time kMaxClockError = std::chrono::hours(24);

  // To be called for each start that was known when the program began, before start_of_known().
  void note_known(Time started_unix) { newest_known_ = std::max(newest_known_, started_unix); }

  // The start of an engine known when the program began. Only their order is proof: the newest counts as
  // just started, the others as older than it by as much as their Unix times differ.
  [[nodiscard]] Time start_of_known(Time started_unix, Time now) const {
    const Time by_wall_clock = started_unix + offset_;
    const bool surely_old = now - by_wall_clock > kMaxClockError;
    return std::clamp(surely_old ? by_wall_clock : now - (newest_known_ - started_unix), Time(1), now);
  }

  // The start of an engine that a watch event has told of. `absent_at`: it was not listed then. A start
  // outside its bounds shows that a clock is off: the event then counts as told without delay.
  [[nodiscard]] Time start_of_new(Time started_unix, Time now, Time absent_at) {
    const Time age = now - (started_unix + offset_);
    const Time max_age = now - absent_at + kMaxDelay;
    if (age < Time::zero() || age > max_age) {
      offset_ = now - started_unix;
      offset_changed_ = true;
    }
    return std::max(Time(1), started_unix + offset_);
  }

  // True once after start_of_new() has found a clock to be off: all other starts are to be corrected.
  [[nodiscard]] bool take_offset_changed() { return std::exchange(offset_changed_, false); }

  [[nodiscard]] Time corrected_start(Time started_unix, Time now) const {
    return std::clamp(started_unix + offset_, Time(1), now);
  }

 private:
  Time offset_{};  // steady clock less Unix time; the steady clock begins at the wall clock's time
  Time newest_known_{};
  bool offset_changed_ = false;
};

}  // namespace bellstair::core
