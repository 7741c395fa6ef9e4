// Writes a rate-limited log line for each answered request that hooks have tagged.
#pragma once

#include "bellstair/policy/scheduler.hpp"
#include "core/request.hpp"
#include "core/step_context.hpp"

namespace bellstair::core {

class TaggedRequestLog {
 public:
  // `settings`: the active settings, which ConfigurationUpdater replaces in place.
  TaggedRequestLog(StepContext& context, const policy::Settings& settings)
      : context_(context), settings_(settings) {}

  // Requests without tags are ignored.
  void write(const Request& request, AnswerKind kind);

 private:
  static constexpr unsigned kMaxLinesPerSecond = 50;

  void begin_interval();
  [[nodiscard]] std::string line(const Request& request, AnswerKind kind) const;

  StepContext& context_;
  const policy::Settings& settings_;
  Time interval_start_{};  // start of the current one-second interval
  unsigned lines_ = 0;
  unsigned suppressed_ = 0;
};

}  // namespace bellstair::core
