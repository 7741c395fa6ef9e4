// Decides whether a request is retried after its last attempt has ended without success.
#pragma once

#include <optional>

#include "policy/context.hpp"
#include "policy/fleet.hpp"
#include "policy/load_shedder.hpp"
#include "policy/retry_budget.hpp"
#include "policy/send_rules.hpp"

namespace bellstair::policy {

/// Decides by the retry rules, the retry budget and the results of earlier attempts.
class RetryPolicy {
 public:
  RetryPolicy(const Context& context, const Fleet& fleet, const SendRules& rules, const LoadShedder& shedder,
              RetryBudgetLimiter& budget)
      : context_(context), fleet_(fleet), rules_(rules), shedder_(shedder), budget_(budget) {}

  /// Returns why the request is not retried, or nullopt if it is to be queued again. It is not retried if no
  /// ready engine may run it, max_attempts or the retry budget is used up, an earlier attempt may keep
  /// running for too long, or two healthy engines have answered it with an error.
  [[nodiscard]] std::optional<UnservedReason> reason_not_to_retry(const Request& request) const;

 private:
  [[nodiscard]] bool may_retry(const Request& request) const;
  [[nodiscard]] bool is_at_fault(const Request& request) const;

  const Context& context_;
  const Fleet& fleet_;
  const SendRules& rules_;
  const LoadShedder& shedder_;
  RetryBudgetLimiter& budget_;
};

}  // namespace bellstair::policy
