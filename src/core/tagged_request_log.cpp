#include "core/tagged_request_log.hpp"

#include <string>

namespace bellstair::core {
using namespace std::chrono_literals;

void TaggedRequestLog::write(const Request& request, AnswerKind kind) {
  if (request.tags.empty()) return;
  if (context_.now() >= interval_start_ + 1s) begin_interval();
  if (++lines_ > kMaxLinesPerSecond) {
    ++suppressed_;
    return;
  }
  context_.log(line(request, kind));
}

void TaggedRequestLog::begin_interval() {
  if (suppressed_ > 0)
    context_.log("tagged: " + std::to_string(suppressed_) + " further requests were not logged");
  interval_start_ = context_.now();
  lines_ = 0;
  suppressed_ = 0;
}

std::string TaggedRequestLog::line(const Request& request, AnswerKind kind) const {
  std::string tags;
  for (const auto& tag : request.tags) tags += (tags.empty() ? "" : ",") + tag;
  const auto& submission = request.submission;
  // A version of the settings may have removed the tenant.
  const bool tenant_known = submission.tenant < settings_.tenants.size();
  const auto tenant = tenant_known ? settings_.tenants[submission.tenant].name : std::string();
  const auto milliseconds = (context_.now() - request.received_at) / 1ms;
  return "tagged: tags=" + tags + " class=" + settings_.classes[submission.cls].name + " tenant=" + tenant +
         " end=" + name(kind) + " ms=" + std::to_string(milliseconds) +
         " attempts=" + std::to_string(request.attempts.size());
}

}  // namespace bellstair::core
