#pragma once

/// @file
/// Bounds how many requests are sent to a second target, over all instances together.

#include <string>
#include <unordered_map>

#include "dogwoodport/fleet/limits/token_bucket.h"

namespace dogwoodport::fleet {

/// Bound of the operators: in any window, a service gets at most `ratio` times its requests plus
/// `extra` sends beyond the first of each request.
struct RetryBound {
  double ratio = 0.2;
  double extra = 60;
  Duration window{10'000'000};
};

/// This instance's part of the bound. A part of the ratio comes with each request, an equal part of
/// the extra sends over time. Both are kept below the bound, because the window slides and a part
/// that was saved up may be spent in the same window as one that accrues.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBound bound) : bound_(bound) {}

  void SetBound(RetryBound bound) noexcept { bound_ = bound; }
  /// Sets the number of instances that share the bound.
  void SetInstances(std::size_t instances) noexcept {
    instances_ = std::max<std::size_t>(1, instances);
  }
  /// Counts a request to `service`.
  void OnRequest(const std::string& service, TimePoint now);
  /// Takes the right to send one request once more.
  bool Take(const std::string& service, TimePoint now);

 private:
  TokenBucket& BucketOf(const std::string& service, TimePoint now);

  RetryBound bound_;
  std::size_t instances_ = 1;
  std::unordered_map<std::string, TokenBucket> buckets_;
};

}  // namespace dogwoodport::fleet
