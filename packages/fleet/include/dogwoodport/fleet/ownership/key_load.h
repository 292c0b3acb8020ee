#pragma once

/// @file
/// Measures requests per second by key, in buckets of adjacent keys.

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "dogwoodport/fleet/limits/token_bucket.h"
#include "dogwoodport/fleet/ownership/key_table.h"

namespace dogwoodport::fleet {

/// Number of keys in a bucket. Small enough to split a group of adjacent hot keys among targets.
inline constexpr std::uint32_t kBucketKeys = 8;
inline constexpr std::uint32_t kBucketCount = kKeyCount / kBucketKeys;

/// Index and request rate of one bucket.
using BucketRate = std::pair<std::uint16_t, float>;

/// Request rates of a service, indexed by bucket.
using BucketRates = std::vector<double>;

/// Measures the requests that one instance receives, by service and bucket.
class KeyLoadMeter {
 public:
  void Add(const std::string& service, std::uint16_t key, TimePoint now);
  /// Returns up to `max_buckets` of the busiest buckets of each service, and removes idle buckets.
  std::map<std::string, std::vector<BucketRate>> Busiest(TimePoint now, std::size_t max_buckets);

 private:
  std::map<std::string, std::map<std::uint16_t, RateMeter>> meters_;
};

}  // namespace dogwoodport::fleet
