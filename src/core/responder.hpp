// Gives each request its one final answer.
#pragma once

#include <string>

#include "core/guard.hpp"
#include "core/hook_stage.hpp"
#include "core/request_table.hpp"
#include "core/stall_tracker.hpp"
#include "core/step_context.hpp"
#include "core/tagged_request_log.hpp"

namespace bellstair::core {

// A request is answered at most once; the caller erases it from the table once it is complete.
class Responder {
 public:
  // `settings`: those in force; they are replaced in place.
  Responder(StepContext& context, RequestTable& requests, HookStage& hook_stage, const Guard& guard,
            const policy::Settings& settings)
      : context_(context),
        requests_(requests),
        hook_stage_(hook_stage),
        guard_(guard),
        settings_(settings),
        tagged_log_(context, settings) {}

  // Answers a submission that was not admitted: rejected, or failed if its ticket is in use.
  void deny_admission(const Submission& submission, GuardDecision decision);

  void serve(RequestId id, Request& request, std::string body, std::string shape);
  // `retry_after`: how long the client should stay away.
  void reject(RequestId id, Request& request, Time retry_after);
  // The same, by the scheduler's decision. Where a retry may do harm, the request fails instead.
  void reject(RequestId id, Request& request, const policy::Reject& decision);
  void fail(RequestId id, Request& request, const policy::Fail& decision);
  void time_out(RequestId id, Request& request);
  // Rejects it where a retry is harmless, else fails it.
  void give_up(RequestId id, Request& request);

  // Answers that fell due while the process did not run are no violations.
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
