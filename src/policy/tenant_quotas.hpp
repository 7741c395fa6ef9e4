// Quotas of tenants: token buckets filled by each tenant's share of the arrivals.
#pragma once

#include <vector>

#include "policy/context.hpp"
#include "policy/fleet.hpp"
#include "policy/overload_detector.hpp"

namespace bellstair::policy {

/// One token is one query. A tenant that the settings don't list has no limit.
class TenantQuotas {
 public:
  TenantQuotas(const Context& context, const Fleet& fleet, const OverloadDetector& overload);

  /// The settings have changed: a tenant in the same place under the same name keeps its tokens, up to its
  /// new bucket's size; any other starts with a burst.
  void reconfigure(const std::vector<TenantSettings>& previous);

  /// A request of any tenant has arrived.
  void record_arrival() { arrivals_ += 1; }

  /// Takes a token; false if the tenant has none left.
  [[nodiscard]] bool take(std::size_t tenant);
  /// Returns the token of a request that was withdrawn before it was sent.
  void give_back(std::size_t tenant);
  void refill(double elapsed_seconds);

  /// Measures the rate of arrivals, once in each control period.
  void measure_arrival_rate(double elapsed_seconds);

 private:
  [[nodiscard]] double refill_rate(std::size_t tenant) const;  // tokens a second
  [[nodiscard]] double burst(std::size_t tenant) const;        // tokens

  const Context& context_;
  const Fleet& fleet_;
  const OverloadDetector& overload_;
  std::vector<double> tokens_;  // by tenant
  double arrivals_ = 0;         // in this period
  double arrival_rate_ = 0;     // requests a second of all tenants, moving average
  double measured_seconds_ = 0;
};

}  // namespace bellstair::policy
