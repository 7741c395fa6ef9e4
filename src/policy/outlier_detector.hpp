// Outlier detection: ejects engines that fail, and admits them again after a trial.
#pragma once

#include <cstdint>
#include <functional>

#include "policy/context.hpp"
#include "policy/fleet.hpp"
#include "policy/request.hpp"

namespace bellstair::policy {

/// Why an engine is ejected.
enum class EjectionReason : std::uint8_t {
  query_errors,
  no_response,
  at_capacity,
  health_check_failed,
  connection_refused,
};

/// Weight of one error in an engine's error rate.
inline constexpr double kErrorWeight = 0.25;

/// Keeps engines' error rates and health. Ejections last for a random time that doubles while trials fail.
class OutlierDetector {
 public:
  /// `on_ejected` is called each time an engine is ejected, from within eject() after its health has changed.
  OutlierDetector(Context& context, Fleet& fleet, std::function<void(Engine&)> on_ejected)
      : context_(context), fleet_(fleet), on_ejected_(std::move(on_ejected)) {}

  /// An error or a lost connection: raises the engine's rate by `weight` of what it lacks to 1, and ejects it
  /// if the rate is far above the fleet's or the engine is on trial.
  void record_failure(Engine& engine, double weight);
  /// A served query.
  void record_success(Engine& engine);
  /// To be called for each served query: an engine on trial becomes healthy.
  void pass_trial(Engine& engine);
  void eject(Engine& engine, EjectionReason reason);

  /// Whether the request may go to the engine by its health. Begins a trial, of one idempotent query at a
  /// time, once the ejection is over.
  [[nodiscard]] bool try_admit(const Request& request, Engine& engine) const;

 private:
  void log(const Engine& engine, const char* text) const;

  Context& context_;
  Fleet& fleet_;
  std::function<void(Engine&)> on_ejected_;
  double fleet_error_rate_ = 0;
};

}  // namespace bellstair::policy
