// How much work (core-seconds) may be sent to an engine that is warming up, so that all brokers together stay
// below what it bears without talking to each other. A query that fits a broker's even share is sent while
// the sum in a sliding window stays within that share. A larger one needs a permit: permits are granted at
// random moments, at least a window apart, and are not saved up.
#pragma once

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <deque>
#include <utility>

#include "bellstair/policy/types.hpp"

namespace bellstair::policy {

namespace slow_start {

inline constexpr double kBudgetFraction = 0.8;     // of what overloads an engine, from all brokers together
inline constexpr double kEvenShareFraction = 0.4;  // part of it for even shares, where these hold a query
inline constexpr Time kPermitDuration = std::chrono::seconds(1);  // in which a permit can be used
inline constexpr double kMaxElapsedSeconds = 0.1;  // for one draw: a stalled broker gains no permits
// Permits a second of all brokers together, by how many of them a window bears at once. Where it bears more,
// their mean work is the limit.
inline constexpr std::array<double, 6> kMaxPermitsPerSecond = {0, 0.02, 0.15, 0.5, 0.9, 1.4};

/// How many queries of mean work a window may hold whose budget is `n` of them (the operators' rule): by
/// chance twice the root of n and 2 more, or below 30 three times it and 3.
[[nodiscard]] inline double max_queries_in_window(double n) {
  return n < 30 ? n + 3 * std::sqrt(n) + 3 : n + 2 * std::sqrt(n) + 2;
}

/// What an engine bears, and how many brokers share it.
struct Capacity {
  double budget = 0;  // core-seconds that overload it when they are sent within the window
  double window_seconds = 1;
  double brokers = 1;
  [[nodiscard]] double even_share() const { return kEvenShareFraction * budget / brokers; }
};

/// The work of the queries that arrive, in core-seconds.
struct Demand {
  double lightest_class = 0;
  double heaviest_class = 0;
  double mean = 0;
};

/// How many permits of `work` a window bears at once, beside even shares of `even_fraction` of the budget.
[[nodiscard]] inline std::size_t permits_borne(const Capacity& capacity, const Demand& demand, double work,
                                               double even_fraction) {
  const double max_work = max_queries_in_window(capacity.budget / demand.mean) * demand.mean;
  return static_cast<std::size_t>(std::max(0.0, (max_work - even_fraction * capacity.budget) / work));
}

/// One broker's permits at an engine.
struct PermitRate {
  double work_per_second = 0;  // of all permits
  double work_per_permit = 0;
};

[[nodiscard]] inline PermitRate permit_rate(const Capacity& capacity, const Demand& demand) {
  const bool even_shares_used = demand.lightest_class <= capacity.even_share();
  const double fraction = even_shares_used ? kBudgetFraction - kEvenShareFraction : kBudgetFraction;
  double rate = fraction * capacity.budget / capacity.window_seconds / capacity.brokers;
  const double permit_seconds = std::chrono::duration<double>(kPermitDuration).count();
  const double work = std::max(demand.heaviest_class, rate * permit_seconds);
  const auto borne = permits_borne(capacity, demand, work, kBudgetFraction - fraction);
  if (borne < kMaxPermitsPerSecond.size())
    rate = std::min(rate, kMaxPermitsPerSecond[borne] * work / capacity.brokers);
  return {rate, work};
}

}  // namespace slow_start

/// Core-seconds sent within a sliding window.
class SlidingSum {
 public:
  void add(Time at, double work) {
    entries_.emplace_back(at, work);
    sum_ += work;
  }

  /// The sum in the `window` that ends at `now`; forgets what is older.
  [[nodiscard]] double within(Time now, Time window) {
    while (!entries_.empty() && entries_.front().first <= now - window) {
      sum_ -= entries_.front().second;
      entries_.pop_front();
    }
    if (entries_.empty()) sum_ = 0;
    return sum_;
  }

 private:
  std::deque<std::pair<Time, double>> entries_;
  double sum_ = 0;
};

/// What this broker has sent to one engine that is warming up, and may still send. Work is in core-seconds.
class SlowStartBudget {
 public:
  [[nodiscard]] bool allows(Time now, Time window, double work, double even_share) {
    if (work <= even_share) return sent_.within(now, window) + work <= even_share;
    return now < permit_expires_at_ && work <= permit_work_left_;
  }

  void charge(Time now, double work, double even_share) {
    if (work <= even_share) {
      sent_.add(now, work);
    } else {
      permit_work_left_ -= work;
    }
  }

  [[nodiscard]] bool may_grant_permit(Time now, Time window) const {
    return now >= permit_granted_at_ + window;
  }

  void grant_permit(Time now, double work) {
    permit_granted_at_ = now;
    permit_expires_at_ = now + slow_start::kPermitDuration;
    permit_work_left_ = work;
  }

  [[nodiscard]] bool has_permit(Time now) const { return now < permit_expires_at_; }

 private:
  SlidingSum sent_;  // against the even share
  Time permit_granted_at_{};
  Time permit_expires_at_{};
  double permit_work_left_ = 0;
};

}  // namespace bellstair::policy
