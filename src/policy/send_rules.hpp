// The rules for sending attempts and for rejecting requests.
#pragma once

#include "policy/class_table.hpp"
#include "policy/context.hpp"
#include "policy/ordering_keys.hpp"
#include "policy/retry_budget.hpp"
#include "policy/slow_start.hpp"

namespace bellstair::policy {

/// Whether the request may be rejected. A rejection promises the client that a retry is safe.
[[nodiscard]] bool may_reject(const Settings& settings, const Request& request);

/// Decides whether a request may be sent to an engine now. Checks placement, idempotency, order, time left,
/// the number of attempts, the retry budget and slow start.
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

  /// Whether the state of its earlier attempts allows another attempt now.
  [[nodiscard]] bool may_add_attempt(const Request& request) const;
  /// Whether the request's class may run in the engine's zone and on its kind of machine.
  [[nodiscard]] bool may_be_placed(const Request& request, const Engine& engine) const;
  /// Whether the retry rules allow an attempt at this engine after the earlier ones.
  [[nodiscard]] bool allows_attempt_at(const Request& request, const Engine& engine) const;
  /// Whether the request is the first of its ordering key and, before its first attempt, the key isn't
  /// blocked.
  [[nodiscard]] bool is_next_for_key(const Request& request) const;

  /// Core-seconds charged to slow start. A query below its class's mean work is charged the mean.
  [[nodiscard]] double slow_start_work(const Request& request) const;

 private:
  const Context& context_;
  const ClassTable& classes_;
  const OrderingKeys& ordering_keys_;
  const SlowStart& slow_start_;
  RetryBudgetLimiter& retry_budget_;
};

}  // namespace bellstair::policy
