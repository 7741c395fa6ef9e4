// What all parts of the core share while one event is handled: the time, the effects, counters and the log.
#pragma once

#include <sstream>
#include <string>
#include <utility>

#include "core/counters.hpp"
#include "core/events.hpp"

namespace bellstair::core {

class StepContext {
 public:
  // A new event is handled at `now`. `effects` must stay valid until the next begin().
  void begin(Time now, Effects& effects) {
    now_ = now;
    effects_ = &effects;
  }
  [[nodiscard]] Time now() const { return now_; }

  // Effects are carried out in the order in which they are put.
  void put(Effect effect) { effects_->push_back(std::move(effect)); }

  void log(std::string text, log::Level level = log::Level::info) { put(Log{std::move(text), level}); }
  // Counts and logs a broken invariant. `request`: 0 if it is not about one request.
  void report(Violation violation, RequestId request);

  // Whether trace() writes lines of level "debug".
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
