// Tenant quotas: token buckets that are refilled by each tenant's share of the arrivals.
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

  /// Applies settings that have changed from `previous`. A tenant with the same index and name keeps its
  /// tokens, up to the size of its new bucket; any other starts with one burst.
  void reconfigure(const std::vector<TenantSettings>& previous);

  /// Counts a request of any tenant.
  void record_arrival() { arrivals_ += 1; }

  /// Takes a token; false if the tenant has none left.
  [[nodiscard]] bool take_token(std::size_t tenant);
  /// Returns the token of a request that was cancelled before it was sent.
  void return_token(std::size_t tenant);
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
