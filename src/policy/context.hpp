// The context shared by all decisions: active settings, time, random source and the actions decided on.
#pragma once

#include <random>
#include <utility>
#include <vector>

#include "bellstair/policy/actions.hpp"
#include "bellstair/policy/settings.hpp"

namespace bellstair::policy {

/// Time between two timer events.
inline constexpr Time kTickInterval = std::chrono::milliseconds(20);

/// The state of one call of Scheduler::handle() and the broker's random source.
struct Context {
  const Settings& settings;
  std::mt19937_64 random;
  Time now{};    // of this call
  Time stall{};  // time without a call before this one; 0 unless the broker was stalled
  std::vector<Action>* actions = nullptr;  // of this call

  void emit(Action action) const { actions->push_back(std::move(action)); }

  /// Uniform in [0, 1).
  double uniform() { return std::generate_canonical<double, 32>(random); }
};

}  // namespace bellstair::policy
