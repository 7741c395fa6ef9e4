#include "policy/tenant_quotas.hpp"

#include <algorithm>

namespace bellstair::policy {
namespace {
constexpr double kQuotaSlack = 1.3;    // multiple of its quota that a tenant may use
constexpr double kBurstSeconds = 2.0;  // of refill that the bucket of a tenant holds
constexpr double kMinBurst = 3;        // added to the bucket: a quiet broker's requests arrive in bursts
constexpr double kRateWindowSeconds = 20.0;  // of the moving average of arrivals
constexpr double kMaxRateGrowth = 1.3;       // limit on the rate of one period, as a multiple of the average
constexpr double kWarmUpPeriods = 3;         // during which the growth of the rate is not limited
}  // namespace

TenantQuotas::TenantQuotas(const Context& context, const Fleet& fleet, const OverloadDetector& overload)
    : context_(context), fleet_(fleet), overload_(overload) {
  for (const auto& tenant : context.settings.tenants)
    arrival_rate_ += tenant.quota_per_s / context.settings.brokers;
  reconfigure({});
}

void TenantQuotas::reconfigure(const std::vector<TenantSettings>& previous) {
  const auto& tenants = context_.settings.tenants;
  std::vector<double> tokens;
  for (std::size_t t = 0; t < tenants.size(); ++t) {
    const bool same = t < previous.size() && previous[t].name == tenants[t].name;
    tokens.push_back(same ? std::min(tokens_[t], burst(t) + kMinBurst) : burst(t));
  }
  tokens_ = std::move(tokens);
}

bool TenantQuotas::take_token(std::size_t tenant) {
  if (tenant >= tokens_.size()) return true;
  if (tokens_[tenant] < 1) return false;
  tokens_[tenant] -= 1;
  return true;
}

void TenantQuotas::return_token(std::size_t tenant) {
  if (tenant < tokens_.size()) tokens_[tenant] += 1;
}

void TenantQuotas::refill(double elapsed_seconds) {
  for (std::size_t t = 0; t < tokens_.size(); ++t) {
    const double refilled = tokens_[t] + refill_rate(t) * elapsed_seconds;
    tokens_[t] = std::min(refilled, burst(t) + kMinBurst);
  }
}

// The rate grows slowly, and not under overload, so that a burst of one tenant does not raise its own quota.
void TenantQuotas::measure_arrival_rate(double elapsed_seconds) {
  const double rate = arrivals_ / elapsed_seconds;
  measured_seconds_ = std::min(measured_seconds_ + elapsed_seconds, kRateWindowSeconds);
  const double limit =
      overload_.is_overloaded() ? arrival_rate_ : kMaxRateGrowth * arrival_rate_ + 1 / elapsed_seconds;
  const bool warmed_up = kWarmUpPeriods * elapsed_seconds < measured_seconds_;
  const double counted = warmed_up ? std::min(rate, limit) : rate;
  arrival_rate_ += elapsed_seconds / measured_seconds_ * (counted - arrival_rate_);
  arrivals_ = 0;
}

double TenantQuotas::refill_rate(std::size_t tenant) const {
  const auto& settings = context_.settings.tenants[tenant];
  const double share = settings.quota_fraction * arrival_rate_;
  // With few queries, an ordinary burst would exceed a quota measured from the arrivals.
  if (fleet_.has_small_pool())
    return kQuotaSlack * std::max(share, settings.quota_per_s / context_.settings.brokers);
  return (overload_.is_overloaded() ? 1 : kQuotaSlack) * share;
}

double TenantQuotas::burst(std::size_t tenant) const { return refill_rate(tenant) * kBurstSeconds; }

}  // namespace bellstair::policy
