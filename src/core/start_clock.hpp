// When engines began, on the broker's own steady clock.
//
// Slow start goes by an engine's age, and the change log tells a start as a moment of Unix time, by the clock
// of another machine. Either clock may be off or step. What holds without them: an engine has not begun after
// the news of it came; it began later than a little before the change log's last answer without it; and it is
// older than a newer one by as much as their starts lie apart.
//
// Starts that news tell of are read by the wall clock as it stood when the program began, as long as they lie
// between the two bounds. News that do not tell how far it is off: they are taken to have come without delay,
// which makes an engine younger than it is, and starts are read against each other from then on.
//
// Of what was known when the program began only the order is proof: the newest is taken to have just begun,
// and the others to be older by as much as they are told to be. The wall clock is believed only where it is
// beyond doubt.
#pragma once

#include <algorithm>
#include <chrono>
#include <utility>

namespace bellstair::core {

using Time = std::chrono::nanoseconds;

class StartClock {
 public:
  // How late an event may enter the change log. A clock that is off by less is not noticed.
  static constexpr Time kMaxDelay = std::chrono::seconds(2);
  // A wall clock is off by less: an engine that began longer ago by it is not new.
  static constexpr Time kMaxOff = std::chrono::hours(24);

  // To be told of each start that was known when the program began, before any of them is read.
  void note_known(Time started_unix) { newest_known_ = std::max(newest_known_, started_unix); }

  // Of an engine that was known when the program began: nothing tells when it was not there yet.
  [[nodiscard]] Time of_known(Time started_unix, Time now) const {
    const Time by_wall_clock = started_unix + offset_;
    const bool surely_old = now - by_wall_clock > kMaxOff;
    return std::clamp(surely_old ? by_wall_clock : now - (newest_known_ - started_unix), Time(1), now);
  }

  // Of one that was read before, once news have told how far the clock is off.
  [[nodiscard]] Time read_anew(Time started_unix, Time now) const {
    return std::clamp(started_unix + offset_, Time(1), now);
  }

  // Of an engine that news tell of. `absent`: the change log had not told of it by then.
  [[nodiscard]] Time of_news(Time started_unix, Time now, Time absent) {
    const Time age = now - (started_unix + offset_);
    const Time most_age = now - absent + kMaxDelay;
    if (age < Time::zero() || age > most_age) {
      offset_ = now - started_unix;
      was_off_ = true;
    }
    return std::max(Time(1), started_unix + offset_);
  }

  // True once after news have shown a clock to be off: starts known before are to be read anew.
  [[nodiscard]] bool take_was_off() { return std::exchange(was_off_, false); }

 private:
  Time offset_{};  // from a start as told to the core's clock, which began at the wall clock's Unix time
  Time newest_known_{};
  bool was_off_ = false;
};

}  // namespace bellstair::core
