#pragma once

/// @file
/// Splits the request rate that a cold target bears among the instances.

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "dogwoodport/fleet/limits/token_bucket.h"

namespace dogwoodport::fleet {

/// Returns this instance's part of a cold target's rate: the target's rate divided by the number
/// of senders, or 0 if this instance is none of them. All instances choose the same senders, by
/// the highest hashes of instance and target, as long as they know the same instances.
///
/// @param instances  addresses of the other instances, those that are silent included: views of who
/// is reachable differ, and two views would choose more senders together
/// @param most_senders  each sender may be one request ahead of its rate, so their number is bound
double ColdShare(const std::string& target_id, const std::string& self,
                 const std::vector<std::string>& instances, std::size_t max_senders);

/// One bucket a cold target; starts empty.
class ColdLimiter {
 public:
  /// Sets this instance's rate for a target.
  void Configure(const std::string& target_id, double rate, TimePoint now);
  void Forget(const std::string& target_id) { buckets_.erase(target_id); }
  /// Whether a request may be sent now.
  bool Available(const std::string& target_id, TimePoint now);
  /// Counts a request that is sent.
  void Take(const std::string& target_id, TimePoint now);

 private:
  std::unordered_map<std::string, TokenBucket> buckets_;
};

}  // namespace dogwoodport::fleet
