#pragma once

/// @file
/// Requests per second by key, in buckets of neighbouring keys.

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "dogwoodport/fleet/limits/token_bucket.h"
#include "dogwoodport/fleet/ownership/key_table.h"

namespace dogwoodport::fleet {

/// Keys in one bucket. Small enough to split a group of hot neighbours among targets.
inline constexpr std::uint32_t kBucketKeys = 8;
inline constexpr std::uint32_t kBucketCount = kKeyCount / kBucketKeys;

/// Rate of one bucket.
using BucketRate = std::pair<std::uint16_t, float>;

/// Rates of a service, one a bucket.
using BucketRates = std::vector<double>;

/// Counts the requests of one instance.
class KeyLoadMeter {
 public:
  void Add(const std::string& service, std::uint16_t key, TimePoint now);
  /// Returns the busiest buckets of each service, at most `most` of them, and forgets idle ones.
  std::map<std::string, std::vector<BucketRate>> Busiest(TimePoint now, std::size_t max_buckets);

 private:
  std::map<std::string, std::map<std::uint16_t, RateMeter>> meters_;
};

}  // namespace dogwoodport::fleet
