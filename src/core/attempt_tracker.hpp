// Tracks attempts of requests from the scheduler's decision until they have ended.
#pragma once

#include <map>

#include "core/endpoint_registry.hpp"
#include "core/guard.hpp"
#include "core/request_table.hpp"
#include "core/responder.hpp"
#include "core/scheduler_driver.hpp"
#include "core/step_context.hpp"
#include "core/timers.hpp"

namespace bellstair::core {

// Stages: connecting -> in_flight -> ended. An attempt that is cancelled in either of the first two ends when
// its AttemptEnded is received.
class AttemptTracker {
 public:
  AttemptTracker(StepContext& context, RequestTable& requests, const EndpointRegistry& endpoints,
                 Guard& guard, Timers& timers, SchedulerDriver& scheduler, Responder& responder)
      : context_(context),
        requests_(requests),
        endpoints_(endpoints),
        guard_(guard),
        timers_(timers),
        scheduler_(scheduler),
        responder_(responder) {}

  // Apply decisions of the scheduler. Decisions on requests that are no longer in the table are ignored.
  void start(const policy::SendAttempt& send);
  void cancel(const policy::CancelAttempt& cancel);
  void set_terms(const policy::AttemptTerms& terms);

  // Handle events. An event is ignored if the attempt has already ended, and all but ended() if it is being
  // cancelled.
  void connected(AttemptId id);
  void progressed(AttemptId id);
  void expired(AttemptId id);
  void ended(AttemptEnded& ended);
  // An ended attempt that might have run on has ended at its engine, too.
  void stopped(AttemptId id);
  // Drops the records of ended attempts that can't be running any more.
  void remove_expired_lingering();

  // Cancels the request's attempts that are still connecting.
  void cancel_connecting(RequestId id, Request& request);
  // Cancels all connecting attempts whose engines are not ready.
  void cancel_connecting_to_unready();
  void cancel_all(RequestId id, Request& request);

 private:
  [[nodiscard]] Attempt make_attempt(const policy::SendAttempt& send, const Request& request) const;
  [[nodiscard]] GuardDecision may_start(AttemptId id, const Request& request) const;
  void transmit(AttemptId id, Request& request, Attempt& attempt);
  void cancel(AttemptId id, Attempt& attempt);
  // Records the result and notifies the scheduler. `ended`: null if the attempt was not started.
  void conclude(AttemptId id, Request& request, policy::AttemptResult result, AttemptEnded* ended);
  void record_end(AttemptId id, Request& request, Attempt& attempt, policy::AttemptResult result,
                  const AttemptEnded* ended);
  void deliver_result(RequestId id, Request& request, policy::AttemptResult result, AttemptEnded& ended);

  // An attempt that has ended here, but may still be running at its engine. Its request may be gone.
  struct LingeringAttempt {
    std::uint64_t ordering_key = 0;
    Time may_run_until{};
  };
  // How long other attempts of the request may still be running.
  [[nodiscard]] Time latest_lingering(RequestId request) const;

  StepContext& context_;
  RequestTable& requests_;
  const EndpointRegistry& endpoints_;
  Guard& guard_;
  Timers& timers_;
  SchedulerDriver& scheduler_;
  Responder& responder_;
  std::map<AttemptId, LingeringAttempt> lingering_;
};

}  // namespace bellstair::core
