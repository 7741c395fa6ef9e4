// Limits the work (core-seconds) sent to an engine that is warming up, so that all brokers together do not
// overload it, without any communication between them. A query that fits a broker's even share is sent while
// the sum in a sliding window stays within that share. A larger one needs a permit: permits are granted at
// random times, at least a window apart, and do not accumulate.
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

inline constexpr double kBudgetFraction = 0.8;     // of the work that overloads an engine, for all brokers
inline constexpr double kEvenShareFraction = 0.4;  // of the same work, for even shares if a query fits one
inline constexpr Time kPermitDuration = std::chrono::seconds(1);  // validity of a permit
inline constexpr double kMaxElapsedSeconds = 0.1;  // counted in one draw: a stall adds no permits
// Permits per second of all brokers together, by the number of permits that fit into one window. If more fit
// than are listed, only their mean work is limited.
inline constexpr std::array<double, 6> kMaxPermitsPerSecond = {0, 0.02, 0.15, 0.5, 0.9, 1.4};

/// The operators' rule: the most queries of mean work that may be sent within a window whose budget is `n` of
/// them. Chance may add twice the square root of n and 2 or, if n is below 30, three times the root and 3.
[[nodiscard]] inline double max_queries_in_window(double n) {
  return n < 30 ? n + 3 * std::sqrt(n) + 3 : n + 2 * std::sqrt(n) + 2;
}

/// The capacity of an engine, and the number of brokers that share it.
struct Capacity {
  double budget = 0;  // core-seconds that overload it if sent within the window
  double window_seconds = 1;
  double brokers = 1;
  [[nodiscard]] double even_share() const { return kEvenShareFraction * budget / brokers; }
};

/// The work of an arriving query, in core-seconds.
struct Demand {
  double lightest_class = 0;
  double heaviest_class = 0;
  double mean = 0;
};

/// How many permits of `work` fit into one window beside even shares of `even_fraction` of the budget.
[[nodiscard]] inline std::size_t permits_per_window(const Capacity& capacity, const Demand& demand,
                                                    double work, double even_fraction) {
  const double max_work = max_queries_in_window(capacity.budget / demand.mean) * demand.mean;
  return static_cast<std::size_t>(std::max(0.0, (max_work - even_fraction * capacity.budget) / work));
}

/// The rate at which one broker is granted permits for an engine.
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
  const auto permits = permits_per_window(capacity, demand, work, kBudgetFraction - fraction);
  if (permits < kMaxPermitsPerSecond.size())
    rate = std::min(rate, kMaxPermitsPerSecond[permits] * work / capacity.brokers);
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

  /// The sum in the `window` that ends at `now`; removes older entries.
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

/// The work that this broker has sent to one engine that is warming up, and may still send, in core-seconds.
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
  SlidingSum sent_;  // charged to the even share
  Time permit_granted_at_{};
  Time permit_expires_at_{};
  double permit_work_left_ = 0;
};

}  // namespace bellstair::policy
