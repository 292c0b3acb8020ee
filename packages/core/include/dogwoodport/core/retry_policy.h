#pragma once

/// @file
/// Decides whether a failed request is retried.

#include <algorithm>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "dogwoodport/core/types.h"

namespace dogwoodport {

/// Request whose latest attempt failed.
struct FailedAttempt {
  AccountId account;
  ServiceId service;
  /// Whether the route allows a request to be executed more than once.
  bool repeatable = false;
  /// Targets that have been tried.
  std::vector<TargetId> tried;
  TimePoint deadline;
  /// Expected duration of another attempt, e.g. the median latency of the route.
  Duration expected{0};
};

/// Outcome of `RetryPolicy::Decide`.
enum class RetryDecision : std::uint8_t {
  kRetry,
  kNotRepeatable,
  kNoOtherTarget,
  kPastDeadline,
  kBudgetExhausted
};

/// Maximum ratio of retries to first attempts per account and service.
inline constexpr double kRetryRatio = 0.1;

/// Maximum number of retries that an account and service can accumulate. Allows accounts with few
/// requests to retry.
inline constexpr double kRetryBurst = 10;

/// Retry budget per account and service.
///
/// @code
/// policy.OnRequest(account, service);
/// if (policy.Decide(now, attempt, candidates) == RetryDecision::kRetry) SendAgain();
/// @endcode
class RetryPolicy {
 public:
  /// Records a first attempt, which adds `kRetryRatio` to the budget. Complexity: constant on
  /// average.
  void OnRequest(AccountId account, ServiceId service) {
    double& budget = BudgetOf(account, service);
    budget = std::min(kRetryBurst, budget + kRetryRatio);
  }

  /// Decides whether to try another one of `candidates`. Consumes one retry of the budget if the
  /// result is `kRetry`. Complexity: product of the numbers of candidates and of targets tried.
  RetryDecision Decide(TimePoint now, const FailedAttempt& attempt,
                       const std::vector<TargetId>& candidates) {
    if (!attempt.repeatable) return RetryDecision::kNotRepeatable;
    if (now + attempt.expected >= attempt.deadline) return RetryDecision::kPastDeadline;
    const auto untried = [&](TargetId id) {
      return std::find(attempt.tried.begin(), attempt.tried.end(), id) == attempt.tried.end();
    };
    if (std::none_of(candidates.begin(), candidates.end(), untried)) {
      return RetryDecision::kNoOtherTarget;
    }
    double& budget = BudgetOf(attempt.account, attempt.service);
    if (budget < 1) return RetryDecision::kBudgetExhausted;
    budget -= 1;
    return RetryDecision::kRetry;
  }

 private:
  struct Key {
    AccountId account;
    ServiceId service;
    friend bool operator==(const Key&, const Key&) = default;
  };

  struct KeyHash {
    std::size_t operator()(const Key& key) const noexcept {
      return key.account.value ^ (key.service.value * 0x9E3779B97F4A7C15ULL);
    }
  };

  double& BudgetOf(AccountId account, ServiceId service) {
    return budgets_.try_emplace(Key{account, service}, 1.0).first->second;
  }

  std::unordered_map<Key, double, KeyHash> budgets_;
};

}  // namespace dogwoodport
