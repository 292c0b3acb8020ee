#include "dogwoodport/fleet/ownership/key_load.h"

#include <algorithm>

namespace dogwoodport::fleet {
namespace {

/// Averaging time. Long enough for about a dozen requests per bucket under load.
constexpr Duration kRateWindow{2'000'000};
/// Rate in requests per second below which a bucket is removed.
constexpr double kIdleRate = 0.02;

}  // namespace

void KeyLoadMeter::Add(const std::string& service, std::uint16_t key, TimePoint now) {
  const auto bucket = static_cast<std::uint16_t>(key / kBucketKeys);
  meters_[service].try_emplace(bucket, kRateWindow).first->second.Add(now);
}

std::map<std::string, std::vector<BucketRate>> KeyLoadMeter::Busiest(TimePoint now,
                                                                     std::size_t max_buckets) {
  std::map<std::string, std::vector<BucketRate>> result;
  for (auto& [service, buckets] : meters_) {
    std::vector<BucketRate>& rates = result[service];
    for (auto it = buckets.begin(); it != buckets.end();) {
      const double rate = it->second.PerSecond(now);
      if (rate < kIdleRate) {
        it = buckets.erase(it);
        continue;
      }
      rates.emplace_back(it->first, static_cast<float>(rate));
      ++it;
    }
    if (rates.size() <= max_buckets) continue;
    std::nth_element(rates.begin(), rates.begin() + static_cast<std::ptrdiff_t>(max_buckets),
                     rates.end(),
                     [](const BucketRate& a, const BucketRate& b) { return a.second > b.second; });
    rates.resize(max_buckets);
  }
  return result;
}

}  // namespace dogwoodport::fleet
