#pragma once

/// @file
/// Observations of a target by this instance: requests in flight, latency, failures, load reports.

#include <algorithm>
#include <string>
#include <unordered_map>

#include "dogwoodport/fleet/target_protocol.h"

namespace dogwoodport::fleet {

/// Outcome of a request sent to a target.
enum class SendResult {
  kServed,        ///< Complete response with a status below 500.
  kServerError,   ///< The target ran the request and failed.
  kShed,          ///< The target refused because it was at capacity.
  kNotConnected,  ///< No connection could be opened.
  kBroken,        ///< The connection broke or the response was invalid.
  kTimedOut,      ///< No response before the timeout.
  kCancelled,     ///< The caller disconnected; no conclusion about the target.
};

/// Health and load of one target. Complexity of all calls: constant.
class TargetHealth {
 public:
  void OnSend() noexcept { ++in_flight_; }
  /// Records the outcome of a request. `latency` is measured from the time of sending.
  void OnResult(SendResult result, Duration latency, TimePoint now);
  void OnLoadReport(const LoadReport& report, TimePoint now);
  /// Suspends sending from this instance until `until`, as requested by the target.
  void BackOff(TimePoint until) noexcept { back_off_until_ = std::max(back_off_until_, until); }
  /// Resets failures, ejection, back-off and load report after a restart of the target. Keeps the
  /// latency and the requests in flight.
  void OnRestart() noexcept;

  std::uint32_t in_flight() const noexcept { return in_flight_; }
  /// Adjusts the number of requests in flight from other instances by `n`, according to their
  /// reports.
  void AddOthersInFlight(int n) noexcept { others_in_flight_ = std::max(0, others_in_flight_ + n); }
  /// Average latency of served requests, normalized to the target's normal speed; zero before the
  /// first one.
  Duration latency() const noexcept { return latency_; }
  /// Returns the expected duration of work at `now` relative to that at normal speed. The weight of
  /// the latest report decays with its age, because targets slow down and recover within fractions
  /// of a second.
  double Slowdown(TimePoint now) const noexcept;
  /// Moving average of the fraction of requests that failed, 0 to 1.
  double failure_share() const noexcept { return failure_share_; }
  /// Moving average of the fraction of requests that were refused because of capacity, 0 to 1.
  double shed_share() const noexcept { return shed_share_; }
  /// Whether the target is excluded from selection at `now`.
  bool ejected(TimePoint now) const noexcept { return now < ejected_until_; }
  /// Whether the target has requested a pause that is still in effect at `now`.
  bool backs_off(TimePoint now) const noexcept { return now < back_off_until_; }

  /// Whether the target may have restarted without a heartbeat that reports it. This is assumed if
  /// it was unreachable and has served requests for less than `kPresumedColdStart` since.
  bool MayBeCold(TimePoint now) const noexcept {
    return unreachable_ || now < recovered_at_ + kPresumedColdStart;
  }

  /// Returns the estimated number of requests at the target, both running and waiting.
  double Load(TimePoint now) const noexcept;

 private:
  /// Time after its first response for which a previously unreachable target is presumed to be
  /// cold.
  static constexpr Duration kPresumedColdStart{3'000'000};

  void Eject(TimePoint now);

  std::uint32_t in_flight_ = 0;
  int others_in_flight_ = 0;
  std::uint32_t consecutive_failures_ = 0;
  std::uint32_t ejections_ = 0;
  bool unreachable_ = false;
  double failure_share_ = 0;
  double shed_share_ = 0;
  Duration latency_{0};
  TimePoint ejected_until_{};
  TimePoint back_off_until_{};
  TimePoint recovered_at_{};
  LoadReport report_;
  TimePoint reported_at_{};
};

}  // namespace dogwoodport::fleet
