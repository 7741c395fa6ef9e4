#include "hooks/breaker.hpp"

#include <algorithm>
#include <bit>

namespace bellstair::hooks {

bool Breaker::admit(Time now) {
  if (state_ == State::closed) return true;
  if (state_ == State::open) {
    if (now < until_ || !fresh_) return false;
    state_ = State::trying;
    trials_ = 0;
    trial_out_ = false;
  }
  if (trial_out_) return false;
  trial_out_ = true;
  return true;
}

void Breaker::open(Time now) {
  // One that fails soon after it was put back has proved little: its pause goes on growing.
  const bool again = state_ == State::trying || (openings_ > 0 && now < closed_at_ + 4 * pause_);
  pause_ = again ? std::min(2 * pause_, limits_->most_pause) : limits_->pause;
  state_ = State::open;
  until_ = now + pause_;
  fresh_ = trial_out_ = false;
  recent_ = 0;
  seen_ = row_ = 0;
  ++openings_;
}

bool Breaker::good(Time now) {
  row_ = 0;
  recent_ <<= 1U;
  seen_ = std::min(seen_ + 1, kWindow);
  trial_out_ = false;
  if (state_ != State::trying || ++trials_ < limits_->trials) return false;
  state_ = State::closed;
  closed_at_ = now;
  return true;
}

bool Breaker::bad(Time now) {
  if (state_ == State::open) return false;
  recent_ = recent_ << 1U | 1U;
  seen_ = std::min(seen_ + 1, kWindow);
  const auto failed = static_cast<unsigned>(std::popcount(recent_));
  const bool half = seen_ >= kWindow && failed * 2 >= kWindow;
  if (state_ == State::closed && ++row_ < limits_->failures && !half) return false;
  open(now);
  return true;
}

void Breaker::renewed(bool well, Time now) {
  if (state_ != State::open) return;
  fresh_ = true;
  if (well) return;
  // Its script does not even load any more: as if a trial had failed.
  state_ = State::trying;
  open(now);
  fresh_ = true;
}

}  // namespace bellstair::hooks
