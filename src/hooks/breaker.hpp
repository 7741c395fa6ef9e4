// The circuit breaker of one hook (M. Nygard, "Release It!", 2007, chapter 5). The time that it stays open
// grows exponentially while trials fail. It reads no clock.
#pragma once

#include <cstdint>

#include "hooks/spec.hpp"

namespace bellstair::hooks {

class Breaker {
 public:
  enum class State : std::uint8_t { closed, open, half_open };

  explicit Breaker(const Limits& limits) : limits_(&limits) {}

  // Returns whether a call may start. While the breaker is half-open, one trial call at a time may start.
  [[nodiscard]] bool admit(Time now);
  // Record the outcome of an admitted call. They return true if the state has changed.
  bool on_success(Time now);
  bool on_failure(Time now);
  void abandon_trial() { trial_pending_ = false; }  // the trial ended without an outcome
  // Ends the renewal that is requested when the breaker opens. `loads`: whether the new machine could load
  // the script.
  void on_machine_renewed(bool loads, Time now);

  [[nodiscard]] State state() const { return state_; }
  [[nodiscard]] Time open_until() const { return open_until_; }  // time of the earliest trial
  [[nodiscard]] Time open_duration() const { return open_duration_; }
  [[nodiscard]] unsigned openings() const { return openings_; }

 private:
  static constexpr unsigned kWindowCalls = 32;
  void open(Time now);

  const Limits* limits_;
  State state_ = State::closed;
  std::uint32_t outcomes_ = 0;  // one bit for each of the last calls; 1 is a failure
  unsigned recorded_ = 0, consecutive_failures_ = 0, successful_trials_ = 0, openings_ = 0;
  bool trial_pending_ = false, machine_renewed_ = true;
  Time open_until_{}, open_duration_{}, closed_at_{};
};

[[nodiscard]] constexpr const char* name(Breaker::State state) {
  switch (state) {
    case Breaker::State::closed:
      return "closed";
    case Breaker::State::open:
      return "open";
    case Breaker::State::half_open:
      return "half-open";
  }
  return "?";
}

}  // namespace bellstair::hooks
