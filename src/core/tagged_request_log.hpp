// Log lines about answered requests that hooks have tagged, limited in rate.
#pragma once

#include "bellstair/policy/scheduler.hpp"
#include "core/request.hpp"
#include "core/step_context.hpp"

namespace bellstair::core {

class TaggedRequestLog {
 public:
  // `settings`: those in force; they are replaced in place.
  TaggedRequestLog(StepContext& context, const policy::Settings& settings)
      : context_(context), settings_(settings) {}

  // Requests without tags are ignored.
  void write(const Request& request, AnswerKind kind);

 private:
  static constexpr unsigned kMaxLinesPerSecond = 50;

  void begin_second();
  [[nodiscard]] std::string line(const Request& request, AnswerKind kind) const;

  StepContext& context_;
  const policy::Settings& settings_;
  Time second_{};  // its begin
  unsigned lines_ = 0;
  unsigned suppressed_ = 0;
};

}  // namespace bellstair::core
