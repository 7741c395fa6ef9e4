// Takes a hook out that fails, and puts it back once it has proved itself. The circuit breaker of M. Nygard,
// "Release It!" (2007), chapter 5, with pauses that grow. No clock but the one told.
#pragma once

#include <cstdint>

#include "hooks/spec.hpp"

namespace bellstair::hooks {

class Breaker {
 public:
  enum class State : std::uint8_t { closed, open, trying };

  explicit Breaker(const Limits& limits) : limits_(&limits) {}

  // Whether a call may begin; a trial is out from then on until it is told how it went.
  [[nodiscard]] bool admit(Time now);
  // How a call that was admitted ended. True: the state has changed.
  bool good(Time now);
  bool bad(Time now);
  void void_trial() { trial_out_ = false; }  // it ended, and proves nothing
  void renewed(bool well, Time now);         // the machine that was asked for on opening

  [[nodiscard]] State state() const { return state_; }
  [[nodiscard]] Time until() const { return until_; }  // while open: the earliest trial
  [[nodiscard]] Time pause() const { return pause_; }
  [[nodiscard]] unsigned openings() const { return openings_; }

 private:
  static constexpr unsigned kWindow = 32;
  void open(Time now);

  const Limits* limits_;
  State state_ = State::closed;
  std::uint32_t recent_ = 0;  // a bit for each of the last calls; 1: it failed
  unsigned seen_ = 0, row_ = 0, trials_ = 0, openings_ = 0;
  bool trial_out_ = false, fresh_ = true;
  Time until_{}, pause_{}, closed_at_{};
};

[[nodiscard]] constexpr const char* name(Breaker::State state) {
  switch (state) {
    case Breaker::State::closed:
      return "in";
    case Breaker::State::open:
      return "out";
    case Breaker::State::trying:
      return "on trial";
  }
  return "?";
}

}  // namespace bellstair::hooks
