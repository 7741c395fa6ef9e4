// When engines began, on the broker's own steady clock.
//
// Slow start goes by an engine's age, and the change log tells a start as a moment of Unix time, by the clock
// of another machine. Either clock may be off or step. What holds without them: an engine has not begun after
// the news of it came; and it began later than a little before the change log's last answer without it. So
// starts are read against each other: the news with the least delay so far are taken to have had none, which
// makes an engine younger than it is, never older, as long as the other side's clock does not step back.
#pragma once

#include <algorithm>
#include <chrono>
#include <optional>

namespace bellstair::core {

using Time = std::chrono::nanoseconds;

class StartClock {
 public:
  // How late an event may enter the change log. A clock that steps back by less than this is not noticed.
  static constexpr Time kMostDelay = std::chrono::seconds(2);

  // Of an engine that was known when the program began: there is only the wall clock, on which the core's
  // clock began.
  [[nodiscard]] Time of_known(Time started_unix, Time now) const {
    return std::clamp(started_unix + offset_.value_or(Time::zero()), Time(1), now);
  }

  // Of an engine that news tell of. `absent`: the change log had not told of it by then.
  [[nodiscard]] Time of_news(Time started_unix, Time now, Time absent) {
    const Time offset = now - started_unix;
    const Time most_age = now - absent + kMostDelay;
    const bool too_old = offset_ && offset - *offset_ > most_age;
    if (!offset_ || too_old) {
      offset_ = offset;
    } else {
      offset_ = std::min(*offset_, offset);
    }
    return std::max(Time(1), started_unix + *offset_);
  }

  // True if the wall clock, on which the core's clock began, was so far off then that starts known before
  // have to be read anew: of_known() goes by the news from then on. Said once.
  [[nodiscard]] bool wall_clock_was_off(Time now, Time absent) {
    if (told_ || !offset_) return false;
    const Time most_age = now - absent + kMostDelay;
    const bool off = *offset_ < Time::zero() || *offset_ > most_age;
    told_ = off;
    return off;
  }

 private:
  std::optional<Time> offset_;  // from a start as told to the core's clock, by news
  bool told_ = false;
};

}  // namespace bellstair::core
