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

/// Tracks the error rate and the health of each engine. An ejection lasts for a random time around a duration
/// that doubles each time a trial fails.
class OutlierDetector {
 public:
  /// `on_ejected` is called each time an engine is ejected, from within eject() after its health has changed.
  OutlierDetector(Context& context, Fleet& fleet, std::function<void(Engine&)> on_ejected)
      : context_(context), fleet_(fleet), on_ejected_(std::move(on_ejected)) {}

  /// Records an error or a lost connection: moves the engine's error rate towards 1 by the fraction `weight`
  /// of the distance, and ejects the engine if its rate is far above the fleet's or if it is on trial.
  void record_failure(Engine& engine, double weight);
  /// Records a served query, which lowers the engine's error rate.
  void record_success(Engine& engine);
  /// Makes an engine on trial healthy again. Called for each served query.
  void pass_trial(Engine& engine);
  void eject(Engine& engine, EjectionReason reason);

  /// Whether the engine's health allows sending it the request. Once the ejection is over, puts the engine on
  /// trial: it then gets one idempotent query at a time.
  [[nodiscard]] bool try_admit(const Request& request, Engine& engine) const;

 private:
  void log(const Engine& engine, const char* text) const;

  Context& context_;
  Fleet& fleet_;
  std::function<void(Engine&)> on_ejected_;
  double fleet_error_rate_ = 0;
};

}  // namespace bellstair::policy
