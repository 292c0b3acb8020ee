#pragma once

/// @file
/// Slow start of a cold target: doubles its admitted concurrency (1, 2, 4, ...) up to its slots.

#include <algorithm>
#include <cstdint>

#include "dogwoodport/core/types.h"

namespace dogwoodport {

/// Slow-start ramp of one target. All instances of the data centre use the same limit. It selects
/// the units of the slot ledger that may be used, so the total over all instances stays within it.
///
/// @code
/// ColdStartRamp ramp;
/// ramp.Start(now, 1);
/// ramp.OnSuccess(now, latency, expected, slots);
/// const std::uint32_t admitted = ramp.Limit(slots);
/// @endcode
class ColdStartRamp {
 public:
  /// Minimum duration of one step. Prevents fast responses from a cache from ending the ramp before
  /// the target is warm.
  static constexpr Duration kMinStep{50'000};
  /// Fast responses needed per admitted request before a step up. A cold target may respond fast by
  /// chance; a step up after a single fast response made it fail.
  static constexpr std::uint32_t kResponsesPerUnit = 4;
  /// Responses slower than this multiple of the expected latency do not advance the ramp.
  static constexpr double kSlowFactor = 2.0;

  /// Starts the ramp of `episode` at 1. Has no effect unless `episode` is higher than the current
  /// one. `cold` is false for a target that recovered from a slowdown, whose slots are known to
  /// work. Complexity: constant.
  void Start(TimePoint now, std::uint64_t episode, bool cold = true) noexcept {
    if (episode <= episode_) return;
    responses_per_unit_ = cold ? kResponsesPerUnit : 1;
    episode_ = episode;
    limit_ = 1;
    successes_ = 0;
    step_started_ = now;
  }

  /// Records a response. A slow response cancels a fast one. Doubles the limit once the surplus of
  /// fast responses reaches `kResponsesPerUnit` times the limit (1 times the limit after a
  /// slowdown) and the step has lasted `kMinStep`. If no expected latency is known (0), all
  /// responses count as fast. Complexity: constant.
  void OnSuccess(TimePoint now, double latency_us, double expected_us,
                 std::uint32_t slots) noexcept {
    if (limit_ == 0) return;
    if (expected_us > 0 && latency_us > kSlowFactor * expected_us) {
      successes_ -= successes_ > 0 ? 1 : 0;
      return;
    }
    ++successes_;
    if (successes_ < responses_per_unit_ * limit_ || now < step_started_ + kMinStep) return;
    limit_ = limit_ * 2 >= slots ? 0 : limit_ * 2;
    successes_ = 0;
    step_started_ = now;
  }

  /// Halves the limit after an error of the target, to no less than 1. Complexity: constant.
  void OnFailure(TimePoint now) noexcept {
    if (limit_ == 0) return;
    limit_ = std::max<std::uint32_t>(1, limit_ / 2);
    successes_ = 0;
    step_started_ = now;
  }

  /// Adopts the state of another instance of the data centre if its episode is newer, or if it is
  /// further advanced in the same episode.
  void Merge(TimePoint now, std::uint64_t episode, std::uint32_t limit) noexcept {
    if (episode < episode_ || episode == 0) return;
    const bool newer = episode > episode_;
    const bool further = limit_ != 0 && (limit == 0 || limit > limit_);
    if (!newer && !further) return;
    episode_ = episode;
    limit_ = limit;
    successes_ = 0;
    step_started_ = now;
  }

  /// Returns the admitted concurrency of a target that has `slots` slots. Complexity: constant.
  std::uint32_t Limit(std::uint32_t slots) const noexcept {
    return limit_ == 0 ? slots : std::min(limit_, slots);
  }

  bool ramping() const noexcept { return limit_ != 0; }
  std::uint64_t episode() const noexcept { return episode_; }
  /// Current limit of the ramp, or 0 if the target is warm.
  std::uint32_t step() const noexcept { return limit_; }

 private:
  std::uint64_t episode_ = 0;
  std::uint32_t limit_ = 0;
  std::uint32_t successes_ = 0;
  std::uint32_t responses_per_unit_ = kResponsesPerUnit;
  TimePoint step_started_;
};

}  // namespace dogwoodport
