#pragma once

/// @file
/// Splits the request rate allowed for a cold target among the instances. A target is cold for a
/// while after it starts.

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "dogwoodport/fleet/limits/token_bucket.h"

namespace dogwoodport::fleet {

/// Returns this instance's share of the request rate of a cold target: 1 divided by the number of
/// senders, or 0 if this instance is not a sender. The senders are the instances with the highest
/// hashes of target and instance, so all instances with the same list of instances choose the same
/// senders.
///
/// @param instances  addresses of the other instances, including unreachable ones: instances differ
/// in their view of which peers are reachable, and different lists would yield more senders in
/// total
/// @param max_senders  maximum number of senders; it is limited because each sender may be one
/// request ahead of its rate
double ColdShare(const std::string& target_id, const std::string& self,
                 const std::vector<std::string>& instances, std::size_t max_senders);

/// Limits requests to cold targets, with one token bucket per target. Buckets start empty.
class ColdLimiter {
 public:
  /// Sets this instance's rate for a target.
  void Configure(const std::string& target_id, double rate, TimePoint now);
  void Forget(const std::string& target_id) { buckets_.erase(target_id); }
  /// Whether a request may be sent now.
  bool Available(const std::string& target_id, TimePoint now);
  /// Consumes a token for a request that is being sent.
  void Take(const std::string& target_id, TimePoint now);

 private:
  std::unordered_map<std::string, TokenBucket> buckets_;
};

}  // namespace dogwoodport::fleet
