#pragma once

/// @file
/// Hedging: when to send a second attempt of a repeatable request, and how many of them.

#include <algorithm>
#include <cstdint>
#include <optional>

#include "dogwoodport/core/types.h"

namespace dogwoodport {

/// Streaming estimate of a quantile in constant memory. For a high quantile, the estimate rises by
/// a large step for each value above it and falls by a small step for each value below it.
class QuantileEstimator {
 public:
  explicit QuantileEstimator(double quantile) : quantile_(quantile) {}

  /// Adds a positive value. Complexity: constant.
  void Add(double value) noexcept {
    ++count_;
    if (estimate_ == 0) {
      estimate_ = value;
      return;
    }
    // Relative steps make the estimate converge equally fast for 1 ms and for 1 s.
    const double gain = count_ < kFastCount ? kFastGain : kGain;
    estimate_ *= value > estimate_ ? 1.0 + gain * quantile_ : 1.0 - gain * (1.0 - quantile_);
  }

  double estimate() const noexcept { return estimate_; }
  std::uint64_t count() const noexcept { return count_; }

 private:
  static constexpr double kGain = 0.02;
  static constexpr double kFastGain = 0.2;
  static constexpr std::uint64_t kFastCount = 200;

  double quantile_;
  double estimate_ = 0;
  std::uint64_t count_ = 0;
};

/// Hedging policy of one route.
///
/// @code
/// HedgePolicy policy;
/// policy.OnAttempt();
/// policy.OnLatency(12'000);
/// if (const auto delay = policy.Delay()) { /* after `delay`: */ policy.TakeBudget(); }
/// @endcode
class HedgePolicy {
 public:
  /// Extra attempts per first attempt.
  static constexpr double kBudget = 0.05;
  /// Maximum budget that accumulates for bursts, such as the slowdown of some targets.
  static constexpr double kMaxBudget = 50;
  /// Number of latencies needed before the p95 estimate is used.
  static constexpr std::uint64_t kMinSamples = 100;

  /// Records a first attempt, which adds `kBudget` to the budget. Complexity: constant.
  void OnAttempt() noexcept { budget_ = std::min(kMaxBudget, budget_ + kBudget); }

  /// Records the latency of an attempt, or its age when it was cancelled.
  void OnLatency(double latency_us) noexcept { p95_.Add(latency_us); }

  /// Returns the delay after which to hedge, or nothing before `kMinSamples` latencies.
  /// Complexity: constant.
  std::optional<Duration> Delay() const noexcept {
    if (p95_.count() < kMinSamples) return std::nullopt;
    return Duration{static_cast<Duration::rep>(p95_.estimate())};
  }

  /// Consumes one extra attempt of the budget. Returns false if there is none. Complexity:
  /// constant.
  bool TakeBudget() noexcept {
    if (budget_ < 1.0) return false;
    budget_ -= 1.0;
    return true;
  }

 private:
  QuantileEstimator p95_{0.95};
  double budget_ = 0;
};

}  // namespace dogwoodport
