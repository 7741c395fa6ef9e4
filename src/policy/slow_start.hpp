// Slow start: how much work may go to an engine that has just begun, so that all gateways together stay under
// what it bears, without a word to each other. Work is in core-seconds.
//
// A query that a gateway's even share of the budget holds goes while the sum in the sliding window stays
// within that share: whatever all gateways do at once, their light queries stay under a part of the whole. An
// even share may hold no query. For those gateways have turns at moments drawn from their seeds, all together
// under a part of the whole, a window apart at the least; none are saved up.
#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <deque>
#include <utility>

#include "bellstair/policy/scheduler.hpp"

namespace bellstair::policy {

namespace slow_start {

inline constexpr double kSentPart = 0.8;  // of what tips an engine over, from all gateways together;
inline constexpr double kEvenPart = 0.4;  // half of it as even shares, where these hold a query
inline constexpr Time kTurn = std::chrono::seconds(1);  // how long a turn can be used
inline constexpr double kTurnStep = 0.1;                // s; time without a call of its own brings no turns
// Turns a second of all gateways together, by how many of them a window bears at once: with more, chance
// alone would have too many fall into one. Where it bears more than this lists, their mean work is what
// counts.
inline constexpr std::array<double, 6> kMaxTurns = {0, 0.02, 0.15, 0.5, 0.9, 1.4};

// How many queries of mean work a window may hold whose budget is n of them (the operators' rule): chance may
// pass it by twice the root of n and 2, or where n lies under 30 by three times it and 3.
[[nodiscard]] inline double most_in_window(double n) {
  return n < 30 ? n + 3 * std::sqrt(n) + 3 : n + 2 * std::sqrt(n) + 2;
}

// What an engine bears, and by how many gateways it is shared.
struct Capacity {
  double budget = 0;    // work that tips it over when it is sent within the window
  double window = 1;    // s
  double gateways = 1;  // that send to it
  [[nodiscard]] double even_share() const { return kEvenPart * budget / gateways; }
};

// The queries that come: of each class's usual work.
struct Demand {
  double lightest = 0, heaviest = 0;  // of the classes
  double mean = 0;                    // of the queries of late
};

// How many turns of so much work a window bears at once, beside even shares of this part of the budget.
[[nodiscard]] inline std::size_t turns_borne(const Capacity& capacity, const Demand& demand, double work,
                                             double even_part) {
  const double most = most_in_window(capacity.budget / demand.mean) * demand.mean;
  return static_cast<std::size_t>(std::max(0.0, (most - even_part * capacity.budget) / work));
}

// A gateway's turns at an engine: the work of all that come to it in a second, and of one.
struct TurnRate {
  double work_per_second = 0, work = 0;
};
[[nodiscard]] inline TurnRate turn_rate(const Capacity& capacity, const Demand& demand) {
  const bool shares_are_used = demand.lightest <= capacity.even_share();
  const double part = shares_are_used ? kSentPart - kEvenPart : kSentPart;
  double share = part * capacity.budget / capacity.window / capacity.gateways;  // a second
  const double work = std::max(demand.heaviest, share * std::chrono::duration<double>(kTurn).count());
  const auto borne = turns_borne(capacity, demand, work, kSentPart - part);
  if (borne < kMaxTurns.size()) share = std::min(share, kMaxTurns[borne] * work / capacity.gateways);
  return {share, work};
}

}  // namespace slow_start

// Core-seconds sent, at each moment of a window that slides.
class SlidingSum {
 public:
  void add(Time at, double work) {
    sent_.emplace_back(at, work);
    sum_ += work;
  }
  // In the `window` that ends now. What lies before it is forgotten.
  [[nodiscard]] double within(Time now, Time window) {
    for (; !sent_.empty() && sent_.front().first <= now - window; sent_.pop_front())
      sum_ -= sent_.front().second;
    return sent_.empty() ? sum_ = 0 : sum_;
  }

 private:
  std::deque<std::pair<Time, double>> sent_;
  double sum_ = 0;
};

// What one gateway has sent to one cold engine, and may still send.
class ColdBudget {
 public:
  [[nodiscard]] bool holds(Time now, Time window, double work, double even_share) {
    if (work <= even_share) return sent_.within(now, window) + work <= even_share;
    return now < turn_until_ && work <= turn_left_;
  }
  void charge(Time now, double work, double even_share) {
    if (work <= even_share) {
      sent_.add(now, work);
    } else {
      turn_left_ -= work;
    }
  }

  [[nodiscard]] bool may_begin_turn(Time now, Time window) const { return now >= turn_from_ + window; }
  void begin_turn(Time now, double work) {
    turn_from_ = now;
    turn_until_ = now + slow_start::kTurn;
    turn_left_ = work;
  }
  [[nodiscard]] bool in_turn(Time now) const { return now < turn_until_; }

 private:
  SlidingSum sent_;  // what the even share was used for
  Time turn_from_{}, turn_until_{};
  double turn_left_ = 0;
};

}  // namespace bellstair::policy
