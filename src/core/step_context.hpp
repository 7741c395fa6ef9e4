// Provides the time, the effects, the counters and the log to all modules of the core while an event is
// handled.
#pragma once

#include <sstream>
#include <string>
#include <utility>

#include "core/counters.hpp"
#include "core/events.hpp"

namespace bellstair::core {

class StepContext {
 public:
  // Starts the handling of an event at `now`. `effects` must stay valid until the next begin().
  void begin(Time now, Effects& effects) {
    now_ = now;
    effects_ = &effects;
  }
  [[nodiscard]] Time now() const { return now_; }

  // Appends an effect. The caller of the reducer carries out effects in this order.
  void put(Effect effect) { effects_->push_back(std::move(effect)); }

  void log(std::string text, log::Level level = log::Level::info) { put(Log{std::move(text), level}); }
  // Counts and logs a broken invariant. `request`: 0 if it concerns no single request.
  void report(Violation violation, RequestId request);

  // Sets whether trace() writes log lines of level "debug".
  void enable_tracing(bool enabled) { tracing_ = enabled; }
  template <class... Parts>
  void trace(RequestId request, const Parts&... parts) {
    if (!tracing_) return;
    std::ostringstream line;
    line << "request " << request << ' ';
    (line << ... << parts);
    log(std::move(line).str(), log::Level::debug);
  }

  [[nodiscard]] Counters& counters() { return counters_; }
  [[nodiscard]] const Counters& counters() const { return counters_; }

 private:
  Time now_{};
  Effects* effects_ = nullptr;
  Counters counters_;
  bool tracing_ = false;
};

}  // namespace bellstair::core
