#pragma once

/// @file
/// Decides whether a failed request is sent again.

#include <algorithm>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "dogwoodport/core/types.h"

namespace dogwoodport {

/// A failed attempt of a request.
struct FailedAttempt {
  AccountId account;
  ServiceId service;
  /// Whether the route allows a request to run more than once.
  bool repeatable = false;
  /// Targets that the request was sent to.
  std::vector<TargetId> tried;
  TimePoint deadline;
  /// Time that another attempt is expected to take, e.g. the route's median.
  Duration expected{0};
};

/// Outcome of `RetryPolicy::Decide`.
enum class RetryDecision : std::uint8_t {
  kRetry,
  kNotRepeatable,
  kNoOtherTarget,
  kPastDeadline,
  kBudgetSpent
};

/// Part of the requests of an account and service that may be retries.
inline constexpr double kRetryRatio = 0.1;

/// Retries that may follow each other without new requests; lets a quiet account retry at all.
inline constexpr double kRetryBurst = 10;

/// Retry budget per account and service.
///
/// @code
/// policy.OnRequest(account, service);
/// if (policy.Decide(now, attempt, candidates) == RetryDecision::kRetry) SendAgain();
/// @endcode
class RetryPolicy {
 public:
  /// Counts a first attempt, which earns kRetryRatio of a retry. Complexity: constant on average.
  void OnRequest(AccountId account, ServiceId service) {
    double& budget = BudgetOf(account, service);
    budget = std::min(kRetryBurst, budget + kRetryRatio);
  }

  /// Decides on another attempt at one of `candidates` and charges the budget on `kRetry`.
  /// Complexity: product of the numbers of candidates and of targets tried.
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
    if (budget < 1) return RetryDecision::kBudgetSpent;
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
