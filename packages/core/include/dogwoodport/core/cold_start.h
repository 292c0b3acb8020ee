#pragma once

/// @file
/// Ramp of the admitted concurrency of a target that is cold: 1, 2, 4, ... up to its slots.

#include <algorithm>
#include <cstdint>

#include "dogwoodport/core/types.h"

namespace dogwoodport {

/// Ramp of one target. All instances of the data centre use the same limit, which selects the
/// units of the slot ledger that may be used, so that their sum stays within it.
///
/// @code
/// ColdStartRamp ramp;
/// ramp.Start(now, 1);
/// ramp.OnSuccess(now, latency, expected, slots);
/// const std::uint32_t admitted = ramp.Limit(slots);
/// @endcode
class ColdStartRamp {
 public:
  /// Lower bound of the time on one step, so that the warm-up of a target that answers fast from a
  /// cache is not taken for the end of its cold start.
  static constexpr Duration kMinStep{50'000};
  /// After a single fast answer, which a cold target may give by chance, a step up made it fail.
  static constexpr std::uint32_t kAnswersPerUnit = 4;
  /// Answers slower than this many times the expected latency keep the ramp on its step.
  static constexpr double kSlowFactor = 2.0;

  /// Begins at 1 under `episode`; a lower or equal episode has no effect. Complexity: constant.
  /// `cold` is false for a target that recovered from a slowdown: its slots are known to work.
  void Start(TimePoint now, std::uint64_t episode, bool cold = true) noexcept {
    if (episode <= episode_) return;
    answers_per_unit_ = cold ? kAnswersPerUnit : 1;
    episode_ = episode;
    limit_ = 1;
    successes_ = 0;
    step_started_ = now;
  }

  /// Counts an answer, a slow one against the fast ones; doubles the limit after
  /// `kAnswersPerUnit` times the limit more fast ones than slow ones. Without an expected latency
  /// (0) all answers count as fast. Complexity: constant.
  void OnSuccess(TimePoint now, double latency_us, double expected_us,
                 std::uint32_t slots) noexcept {
    if (limit_ == 0) return;
    if (expected_us > 0 && latency_us > kSlowFactor * expected_us) {
      successes_ -= successes_ > 0 ? 1 : 0;
      return;
    }
    ++successes_;
    if (successes_ < answers_per_unit_ * limit_ || now < step_started_ + kMinStep) return;
    limit_ = limit_ * 2 >= slots ? 0 : limit_ * 2;
    successes_ = 0;
    step_started_ = now;
  }

  /// Goes back one step after an error of the target. Complexity: constant.
  void OnFailure(TimePoint now) noexcept {
    if (limit_ == 0) return;
    limit_ = std::max<std::uint32_t>(1, limit_ / 2);
    successes_ = 0;
    step_started_ = now;
  }

  /// Takes over the step that another instance of the data centre reached.
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

  /// Returns the admitted concurrency of a target with `slots`. Complexity: constant.
  std::uint32_t Limit(std::uint32_t slots) const noexcept {
    return limit_ == 0 ? slots : std::min(limit_, slots);
  }

  bool ramping() const noexcept { return limit_ != 0; }
  std::uint64_t episode() const noexcept { return episode_; }
  /// Step of the ramp, or 0 when the target is warm.
  std::uint32_t step() const noexcept { return limit_; }

 private:
  std::uint64_t episode_ = 0;
  std::uint32_t limit_ = 0;
  std::uint32_t successes_ = 0;
  std::uint32_t answers_per_unit_ = kAnswersPerUnit;
  TimePoint step_started_;
};

}  // namespace dogwoodport
