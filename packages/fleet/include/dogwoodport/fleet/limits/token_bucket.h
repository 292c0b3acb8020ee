#pragma once

/// @file
/// Token bucket on the clock of one process.

#include <algorithm>

#include "dogwoodport/core/types.h"

namespace dogwoodport::fleet {

/// Converts a duration to seconds.
inline double Seconds(Duration d) noexcept { return static_cast<double>(d.count()) / 1e6; }

/// Converts seconds to a duration.
inline Duration FromSeconds(double s) noexcept {
  return Duration{static_cast<Duration::rep>(s * 1e6)};
}

/// Token bucket that starts empty. The times passed to it must not decrease.
class TokenBucket {
 public:
  /// Sets the tokens added per second and the capacity. Tokens above the new capacity are
  /// discarded.
  void Configure(double rate, double cap) noexcept {
    rate_ = rate;
    cap_ = cap;
    tokens_ = std::min(tokens_, cap);
  }

  void Update(TimePoint now) noexcept {
    if (updated_at_ != TimePoint{} && now > updated_at_) {
      tokens_ = std::min(cap_, tokens_ + rate_ * Seconds(now - updated_at_));
    }
    updated_at_ = std::max(updated_at_, now);
  }

  /// Takes one token. Returns false if there is none.
  bool Take(TimePoint now) noexcept {
    Update(now);
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

  void Add(double tokens) noexcept { tokens_ = std::min(cap_, tokens_ + tokens); }
  double tokens() const noexcept { return tokens_; }
  double rate() const noexcept { return rate_; }

 private:
  double rate_ = 0;
  double cap_ = 0;
  double tokens_ = 0;
  TimePoint updated_at_{};
};

/// Measures events per second as an exponentially weighted average over about `window`.
class RateMeter {
 public:
  explicit RateMeter(Duration window = Duration{1'000'000}) : window_(window) {}

  void Add(TimePoint now, double n = 1) noexcept {
    Decay(now);
    sum_ += n;
  }
  double PerSecond(TimePoint now) noexcept {
    Decay(now);
    return sum_ / Seconds(window_);
  }

 private:
  void Decay(TimePoint now) noexcept;

  Duration window_;
  double sum_ = 0;
  TimePoint updated_at_{};
};

}  // namespace dogwoodport::fleet
