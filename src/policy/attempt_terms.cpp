#include "policy/attempt_terms.hpp"

namespace bellstair::policy {
namespace {
// Memory granted, as a multiple of the expected need. A query that is granted less than it needs spills.
constexpr double kGrantOverMean = 3.2;
constexpr double kGrantOverEstimate = 2.0;
constexpr double kGrantOverEstimateReserved = 1.6;  // other queries can't use granted memory

constexpr std::uint8_t kHighestRankPriority = 3;
constexpr std::uint8_t kSmallQueryPriority = 2;
constexpr std::uint8_t kUsualPriority = 1;
constexpr std::uint8_t kBigQueryPriority = 0;
constexpr double kSmallQuerySize = 0.7;  // relative sizes
constexpr double kBigQuerySize = 2.5;
}  // namespace

AttemptTerms AttemptTermsPolicy::terms(const Request& request) const {
  return {request.arrival.request, memory_grant_mb(request), priority(request)};
}

// The error of estimates differs by class. They are corrected by the ratio that answers have shown.
double AttemptTermsPolicy::memory_grant_mb(const Request& request) const {
  const auto& estimates = classes_[request.arrival.cls].estimates;
  const double estimate = request.arrival.estimated_memory_mb;
  if (!(estimate > 0)) return kGrantOverMean * estimates.mean_memory_mb();
  const bool overcommits = context_.settings.memory_shortage == MemoryShortage::overcommit;
  const double factor = overcommits ? kGrantOverEstimate : kGrantOverEstimateReserved;
  return factor * estimates.memory_correction() * estimate;
}

std::uint8_t AttemptTermsPolicy::priority(const Request& request) const {
  if (request.arrival.cls == classes_.highest_rank()) return kHighestRankPriority;
  if (request.relative_size < kSmallQuerySize) return kSmallQueryPriority;
  return request.relative_size < kBigQuerySize ? kUsualPriority : kBigQueryPriority;
}

}  // namespace bellstair::policy
