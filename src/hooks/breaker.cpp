#include "hooks/breaker.hpp"

#include <algorithm>
#include <bit>

namespace bellstair::hooks {

bool Breaker::admit(Time now) {
  if (state_ == State::closed) return true;
  if (state_ == State::open) {
    if (now < open_until_ || !machine_renewed_) return false;
    state_ = State::half_open;
    successful_trials_ = 0;
    trial_pending_ = false;
  }
  if (trial_pending_) return false;
  trial_pending_ = true;
  return true;
}

void Breaker::open(Time now) {
  // A hook that fails soon after its breaker closed has not recovered: the open duration keeps doubling.
  const bool repeated =
      state_ == State::half_open || (openings_ > 0 && now < closed_at_ + 4 * open_duration_);
  open_duration_ =
      repeated ? std::min(2 * open_duration_, limits_->max_open_duration) : limits_->open_duration;
  state_ = State::open;
  open_until_ = now + open_duration_;
  machine_renewed_ = trial_pending_ = false;
  outcomes_ = 0;
  recorded_ = consecutive_failures_ = 0;
  ++openings_;
}

bool Breaker::on_success(Time now) {
  consecutive_failures_ = 0;
  outcomes_ <<= 1U;
  recorded_ = std::min(recorded_ + 1, kWindowCalls);
  trial_pending_ = false;
  if (state_ != State::half_open || ++successful_trials_ < limits_->success_threshold) return false;
  state_ = State::closed;
  closed_at_ = now;
  return true;
}

bool Breaker::on_failure(Time now) {
  if (state_ == State::open) return false;
  outcomes_ = outcomes_ << 1U | 1U;
  recorded_ = std::min(recorded_ + 1, kWindowCalls);
  const auto failed = static_cast<unsigned>(std::popcount(outcomes_));
  const bool half_failed = recorded_ >= kWindowCalls && failed * 2 >= kWindowCalls;
  if (state_ == State::closed && ++consecutive_failures_ < limits_->failure_threshold && !half_failed)
    return false;
  open(now);
  return true;
}

void Breaker::on_machine_renewed(bool loads, Time now) {
  if (state_ != State::open) return;
  machine_renewed_ = true;
  if (loads) return;
  // The script no longer loads, which counts as a failed trial.
  state_ = State::half_open;
  open(now);
  machine_renewed_ = true;
}

}  // namespace bellstair::hooks
