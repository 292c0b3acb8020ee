#pragma once

/// @file
/// Limits how many requests are retried on a second target, over all instances together.

#include <string>
#include <unordered_map>

#include "dogwoodport/fleet/limits/token_bucket.h"

namespace dogwoodport::fleet {

/// Limit set by the operators: in any window, a service receives at most `ratio` times its requests
/// plus `extra` sends beyond the first send of each request.
struct RetryBound {
  double ratio = 0.2;
  double extra = 60;
  Duration window{10'000'000};
};

/// This instance's share of the limit. Each request adds a part of `ratio` to the budget, and a
/// part of `extra`, divided equally among the instances, accrues over time. Both are kept below the
/// limit, because saved-up budget can be spent in the same sliding window as newly accrued budget.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBound bound) : bound_(bound) {}

  void SetBound(RetryBound bound) noexcept { bound_ = bound; }
  /// Sets the number of instances that share the limit.
  void SetInstances(std::size_t instances) noexcept {
    instances_ = std::max<std::size_t>(1, instances);
  }
  /// Counts a request to `service`.
  void OnRequest(const std::string& service, TimePoint now);
  /// Takes the budget for one retry. Returns false if the budget is exhausted.
  bool Take(const std::string& service, TimePoint now);

 private:
  TokenBucket& BucketOf(const std::string& service, TimePoint now);

  RetryBound bound_;
  std::size_t instances_ = 1;
  std::unordered_map<std::string, TokenBucket> buckets_;
};

}  // namespace dogwoodport::fleet
