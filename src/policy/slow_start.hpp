// Slow start: the capacity of engines that are warming up, and the work that may be sent to them.
#pragma once

#include <vector>

#include "policy/context.hpp"
#include "policy/engine_state.hpp"
#include "policy/slow_start_budget.hpp"

namespace bellstair::policy {

/// Decides which work may be sent to an engine that is warming up. Work is in core-seconds.
class SlowStart {
 public:
  explicit SlowStart(Context& context) : context_(context) {}

  /// Records the first call of this process. Work sent by a previous process is unknown for one window, in
  /// which nothing may be sent to an engine that is warming up.
  void begin() { began_at_ = context_.now; }

  [[nodiscard]] bool is_warming_up(const Engine& engine) const;

  /// The smallest fraction of its capacity that the engine has had during the last `lookback`.
  [[nodiscard]] double capacity_fraction(const Engine& engine, Time lookback = Time::zero()) const;

  [[nodiscard]] bool allows(Engine& engine, double work) const;
  void charge(Engine& engine, double work) const;

  /// Grants permits at random, for the `elapsed_seconds` since the last draw. Makes one random draw for each
  /// engine that is warming up.
  void draw_permits(double elapsed_seconds, const std::vector<Engine*>& engines,
                    const slow_start::Demand& demand);

  /// The engines at which this broker has a valid permit.
  [[nodiscard]] const std::vector<Engine*>& engines_with_permit();

  /// Drops references to engines that are about to be removed.
  void drop_removed();

 private:
  [[nodiscard]] slow_start::Capacity capacity(const Engine& engine) const;
  [[nodiscard]] bool in_first_window() const;
  [[nodiscard]] bool is_limited(const Engine& engine) const;

  Context& context_;
  std::vector<Engine*> engines_with_permit_;
  Time began_at_{};
};

}  // namespace bellstair::policy
