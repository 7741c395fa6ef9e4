// Hedging: a second attempt while the first one takes much longer than expected.
#pragma once

#include "policy/class_table.hpp"
#include "policy/context.hpp"
#include "policy/dispatcher.hpp"
#include "policy/endpoint_selector.hpp"
#include "policy/overload_detector.hpp"
#include "policy/request_table.hpp"

namespace bellstair::policy {

/// Hedges within a budget of work, and not under overload, when most attempts are slow. Cancels an attempt
/// that has never reported progress, because a lost one would count as running until its deadline.
class HedgingPolicy {
 public:
  HedgingPolicy(const Context& context, const ClassTable& classes, const OverloadDetector& overload,
                RequestTable& requests, Dispatcher& dispatcher, EndpointSelector& selector)
      : context_(context),
        classes_(classes),
        overload_(overload),
        requests_(requests),
        dispatcher_(dispatcher),
        selector_(selector) {}

  /// Adds a fraction of the class's mean work to the budget, for a request that has arrived.
  void record_request(ClassIndex cls);

  /// Hedges or cancels an attempt in flight if it is overdue.
  void check(RequestId id, std::size_t attempt);

 private:
  [[nodiscard]] bool may_hedge(const Request& request, std::size_t attempt) const;

  const Context& context_;
  const ClassTable& classes_;
  const OverloadDetector& overload_;
  RequestTable& requests_;
  Dispatcher& dispatcher_;
  EndpointSelector& selector_;
  double budget_ = 0;  // core-seconds
};

}  // namespace bellstair::policy
