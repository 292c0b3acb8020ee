#include "dogwoodport/fleet/ownership/key_load.h"

#include <algorithm>

namespace dogwoodport::fleet {
namespace {

/// Averaging time: long enough for a dozen requests a bucket under load.
constexpr Duration kWindow{2'000'000};
/// Rate below which a bucket is forgotten, in requests per second.
constexpr double kIdleRate = 0.02;

}  // namespace

void KeyLoadMeter::Add(const std::string& service, std::uint16_t key, TimePoint now) {
  const auto bucket = static_cast<std::uint16_t>(key / kBucketKeys);
  meters_[service].try_emplace(bucket, kWindow).first->second.Add(now);
}

std::map<std::string, std::vector<BucketRate>> KeyLoadMeter::Busiest(TimePoint now,
                                                                     std::size_t most) {
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
    if (rates.size() <= most) continue;
    std::nth_element(rates.begin(), rates.begin() + static_cast<std::ptrdiff_t>(most), rates.end(),
                     [](const BucketRate& a, const BucketRate& b) { return a.second > b.second; });
    rates.resize(most);
  }
  return result;
}

}  // namespace dogwoodport::fleet
