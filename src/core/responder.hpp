// Sends the final answer to each request.
#pragma once

#include <string>

#include "core/guard.hpp"
#include "core/hook_stage.hpp"
#include "core/request_table.hpp"
#include "core/stall_tracker.hpp"
#include "core/step_context.hpp"
#include "core/tagged_request_log.hpp"

namespace bellstair::core {

// A request is answered at most once. The caller then erases it from the table if it is complete.
class Responder {
 public:
  // `settings`: the active settings, which ConfigurationUpdater replaces in place.
  Responder(StepContext& context, RequestTable& requests, HookStage& hook_stage, const Guard& guard,
            const policy::Settings& settings)
      : context_(context),
        requests_(requests),
        hook_stage_(hook_stage),
        guard_(guard),
        settings_(settings),
        tagged_log_(context, settings) {}

  // Answers a submission that was not admitted: it is rejected, or fails if its ticket is in use.
  void deny_admission(const Submission& submission, GuardDecision decision);

  void serve(RequestId id, Request& request, std::string body, std::string shape);
  // `retry_after`: how long the client should wait before it retries.
  void reject(RequestId id, Request& request, Time retry_after);
  // Rejects the request as the scheduler decided. If a retry is unsafe, the request fails instead.
  void reject(RequestId id, Request& request, const policy::Reject& decision);
  void fail(RequestId id, Request& request, const policy::Fail& decision);
  void time_out(RequestId id, Request& request);
  // Rejects the request if a retry is safe, else fails it.
  void reject_or_fail(RequestId id, Request& request);

  // Late answers that the stall explains are not reported as violations.
  void record_stall(const ProcessStalled& stall) { stalls_.record(stall); }

 private:
  struct Outcome {
    AnswerKind kind = AnswerKind::failed;
    Time retry_after{};
    std::string body;
    std::string shape;
  };
  void answer(RequestId id, Request& request, Outcome outcome);
  [[nodiscard]] bool may_reject(const Request& request) const;
  [[nodiscard]] bool is_late(const Request& request) const;

  StepContext& context_;
  RequestTable& requests_;
  HookStage& hook_stage_;
  const Guard& guard_;
  const policy::Settings& settings_;
  TaggedRequestLog tagged_log_;
  StallTracker stalls_;
};

}  // namespace bellstair::core
