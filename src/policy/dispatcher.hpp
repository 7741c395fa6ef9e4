// Sends requests to engines and records the end of attempts.
#pragma once

#include "policy/attempt_terms.hpp"
#include "policy/class_table.hpp"
#include "policy/context.hpp"
#include "policy/fleet.hpp"
#include "policy/ordering_keys.hpp"
#include "policy/request_table.hpp"
#include "policy/retry_budget.hpp"
#include "policy/send_rules.hpp"
#include "policy/slow_start.hpp"
#include "policy/thread_budget_controller.hpp"

namespace bellstair::policy {

/// The modules that the dispatcher reads and updates.
struct DispatcherInputs {
  const SendRules& rules;
  const SlowStart& slow_start;
  const AttemptTermsPolicy& terms;
  Fleet& fleet;
  ClassTable& classes;
  RequestTable& requests;
  OrderingKeys& ordering_keys;
  RetryBudgetLimiter& retry_budget;
  ThreadBudgetController& thread_budgets;
};

/// Starts and ends attempts. No other module sends requests to engines.
class Dispatcher {
 public:
  Dispatcher(const Context& context, DispatcherInputs inputs) : context_(context), in_(inputs) {}

  /// Sends the request if the rules allow it; returns whether it was sent. The caller removes it from
  /// its queue.
  bool send(Request& request, Engine& engine);

  /// Records the end of an attempt. Returns false if the attempt is unknown or has already ended.
  [[nodiscard]] bool end_attempt(Request& request, Engine& engine, const AttemptOutcome& outcome);

  /// Cancels an attempt of an idempotent request if another attempt is awaited or a retry is allowed. The
  /// retry is sent after the cancellation is confirmed.
  void cancel_for_retry(RequestId id, std::size_t attempt);
  /// Calls cancel_for_retry() for each attempt in flight at the engine.
  void cancel_all_for_retry(const Engine& engine);

 private:
  void add_attempt(Request& request, Engine& engine);
  void block_ordering_key(const Request& request, const AttemptOutcome& outcome);

  const Context& context_;
  DispatcherInputs in_;
};

}  // namespace bellstair::policy
