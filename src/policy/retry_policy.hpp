// Whether a request is retried after its last attempt has ended without success.
#pragma once

#include <optional>

#include "policy/context.hpp"
#include "policy/fleet.hpp"
#include "policy/load_shedder.hpp"
#include "policy/retry_budget.hpp"
#include "policy/send_rules.hpp"

namespace bellstair::policy {

/// Decides by the rules on repeats, the retry budget and what other engines have answered.
class RetryPolicy {
 public:
  RetryPolicy(const Context& context, const Fleet& fleet, const SendRules& rules, const LoadShedder& shedder,
              RetryBudgetLimiter& budget)
      : context_(context), fleet_(fleet), rules_(rules), shedder_(shedder), budget_(budget) {}

  /// Why the request is not retried; nothing: it is to be queued again. It is given up where no ready engine
  /// may take it, max_attempts or the retry budget is used up, an earlier attempt may run on for too long, or
  /// two healthy engines have answered it with an error.
  [[nodiscard]] std::optional<UnservedReason> reason_to_give_up(const Request& request) const;

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
