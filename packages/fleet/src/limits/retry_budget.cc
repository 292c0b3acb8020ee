#include "dogwoodport/fleet/limits/retry_budget.h"

namespace dogwoodport::fleet {
namespace {

/// Part of the ratio that is granted. It is below 1 because a retry may fall into another window
/// than the requests that it was granted for.
constexpr double kRatioShare = 0.75;
/// Parts of the extra sends that may be saved up, and that accrue within one window.
constexpr double kExtraBurstShare = 0.4;
constexpr double kExtraRateShare = 0.4;

}  // namespace

TokenBucket& RetryBudget::BucketOf(const std::string& service, TimePoint now) {
  TokenBucket& bucket = buckets_[service];
  bucket.Update(now);
  const double extra = bound_.extra / static_cast<double>(instances_);
  bucket.Configure(extra * kExtraRateShare / Seconds(bound_.window),
                   std::max(1.0, extra * kExtraBurstShare));
  return bucket;
}

void RetryBudget::OnRequest(const std::string& service, TimePoint now) {
  BucketOf(service, now).Add(bound_.ratio * kRatioShare);
}

bool RetryBudget::Take(const std::string& service, TimePoint now) {
  return BucketOf(service, now).Take(now);
}

}  // namespace dogwoodport::fleet
