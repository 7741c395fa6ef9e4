// The rules that every send and every rejection keeps.
#pragma once

#include "policy/class_table.hpp"
#include "policy/context.hpp"
#include "policy/ordering_keys.hpp"
#include "policy/retry_budget.hpp"
#include "policy/slow_start.hpp"

namespace bellstair::policy {

/// Whether the client may be told that trying again does no harm.
[[nodiscard]] bool may_reject(const Settings& settings, const Request& request);

/// Whether a request may be sent to an engine now: by placement, idempotency, order, time left, the number of
/// attempts, the retry budget and slow start.
class SendRules {
 public:
  SendRules(const Context& context, const ClassTable& classes, const OrderingKeys& ordering_keys,
            const SlowStart& slow_start, RetryBudgetLimiter& retry_budget)
      : context_(context),
        classes_(classes),
        ordering_keys_(ordering_keys),
        slow_start_(slow_start),
        retry_budget_(retry_budget) {}

  [[nodiscard]] bool may_start_attempt(const Request& request, Engine& engine) const;

  /// Whether its earlier attempts leave room for another one now.
  [[nodiscard]] bool may_add_attempt(const Request& request) const;
  /// Whether its class may run in the engine's zone and on its kind of machine.
  [[nodiscard]] bool may_be_placed(const Request& request, const Engine& engine) const;
  /// Whether its earlier attempts allow one at this engine.
  [[nodiscard]] bool allows_attempt_at(const Request& request, const Engine& engine) const;
  /// Whether its ordering key allows it to go.
  [[nodiscard]] bool is_next_for_key(const Request& request) const;

  /// Core-seconds that slow start counts: a small query is charged as its class's usual one.
  [[nodiscard]] double slow_start_work(const Request& request) const;

 private:
  const Context& context_;
  const ClassTable& classes_;
  const OrderingKeys& ordering_keys_;
  const SlowStart& slow_start_;
  RetryBudgetLimiter& retry_budget_;
};

}  // namespace bellstair::policy
