#pragma once

/// @file
/// What this instance has seen of a target: requests in flight, latency, failures, load reports.

#include <algorithm>
#include <string>
#include <unordered_map>

#include "dogwoodport/fleet/target_protocol.h"

namespace dogwoodport::fleet {

/// How one send ended, as far as it says something about the target.
enum class SendResult {
  kServed,        ///< A complete answer that the target stands for.
  kServerError,   ///< The target ran the request and failed.
  kShed,          ///< The target refused for lack of room.
  kNotConnected,  ///< No connection could be opened.
  kBroken,        ///< The connection broke or the answer was unusable.
  kTimedOut,      ///< No answer in time.
  kCancelled,     ///< The caller left; nothing was learned.
};

/// Observations of one target. Complexity of all calls: constant.
class TargetHealth {
 public:
  void OnSend() noexcept { ++in_flight_; }
  /// `latency` counts from the send.
  void OnResult(SendResult result, Duration latency, TimePoint now);
  void OnLoadReport(const LoadReport& report, TimePoint now);
  /// The target wants no request from this instance until `until`.
  void BackOff(TimePoint until) noexcept { back_off_until_ = std::max(back_off_until_, until); }
  /// Another incarnation has started.
  void OnRestart() noexcept;

  std::uint32_t in_flight() const noexcept { return in_flight_; }
  /// Adds to the requests in flight at other instances, from what they report.
  void AddOthersInFlight(int n) noexcept { others_in_flight_ = std::max(0, others_in_flight_ + n); }
  /// Average time of a served request while the target works at its usual speed; zero before the
  /// first one.
  Duration latency() const noexcept { return latency_; }
  /// Time that work is expected to take at `now`, relative to the usual. The newest report counts
  /// less as it ages, because targets slow down and recover within fractions of a second.
  double Slowdown(TimePoint now) const noexcept;
  /// Recent share of sends that failed, 0 to 1.
  double failure_share() const noexcept { return failure_share_; }
  /// Recent share of sends that were refused for lack of room, 0 to 1.
  double shed_share() const noexcept { return shed_share_; }
  /// Whether requests should go elsewhere at `now`.
  bool ejected(TimePoint now) const noexcept { return now < ejected_until_; }
  /// Whether the target has asked for a pause that is not over at `now`.
  bool backs_off(TimePoint now) const noexcept { return now < back_off_until_; }

  /// Whether the target may have started again without a heartbeat that says so: it could not be
  /// reached, and has served for less than a cold start since. It may be cold.
  bool MayBeCold(TimePoint now) const noexcept {
    return unreachable_ || now < recovered_at_ + kPresumedColdStart;
  }

  /// Requests that the target is estimated to hold, running and waiting.
  double Load(TimePoint now) const noexcept;

 private:
  /// Time for which a target that was unreachable is taken to be cold after its first answer.
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
