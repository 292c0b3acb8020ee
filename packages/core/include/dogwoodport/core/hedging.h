#pragma once

/// @file
/// When to send a second attempt of a repeatable request, and how many.

#include <algorithm>
#include <cstdint>
#include <optional>

#include "dogwoodport/core/types.h"

namespace dogwoodport {

/// Running estimate of a quantile: moves up by a large step for each value above it and down by a
/// small one for each value below. Needs no memory of values.
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
    // Steps are relative, so the estimate settles as fast for 1 ms as for 1 s.
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

/// Hedging of one route.
///
/// @code
/// HedgePolicy policy;
/// policy.OnAttempt();
/// policy.OnLatency(12'000);
/// if (const auto delay = policy.Delay()) { /* after it: */ policy.TakeBudget(); }
/// @endcode
class HedgePolicy {
 public:
  /// Extra attempts per first attempt.
  static constexpr double kBudget = 0.05;
  /// Budget that is kept for a burst, which a slowdown of some targets is.
  static constexpr double kMaxSaved = 50;
  /// Latencies needed before the p95 is used.
  static constexpr std::uint64_t kMinSamples = 100;

  /// Counts a first attempt. Complexity: constant.
  void OnAttempt() noexcept { saved_ = std::min(kMaxSaved, saved_ + kBudget); }

  /// Adds the latency of an attempt, or the age at which it was cancelled.
  void OnLatency(double latency_us) noexcept { p95_.Add(latency_us); }

  /// Returns the time after which to hedge, once it is known. Complexity: constant.
  std::optional<Duration> Delay() const noexcept {
    if (p95_.count() < kMinSamples) return std::nullopt;
    return Duration{static_cast<Duration::rep>(p95_.estimate())};
  }

  /// Takes one extra attempt from the budget if it has one. Complexity: constant.
  bool TakeBudget() noexcept {
    if (saved_ < 1.0) return false;
    saved_ -= 1.0;
    return true;
  }

 private:
  QuantileEstimator p95_{0.95};
  double saved_ = 0;
};

}  // namespace dogwoodport
