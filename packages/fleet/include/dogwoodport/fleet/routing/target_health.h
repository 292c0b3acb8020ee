#pragma once

/// @file
/// What this instance has seen of a target: requests in flight, latency, failures, load reports.

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
  /// A heartbeat has arrived or another incarnation has started.
  void OnHeartbeat(TimePoint now) noexcept;
  void OnRestart() noexcept;

  std::uint32_t in_flight() const noexcept { return in_flight_; }
  /// Requests in flight at other instances, from their reports.
  std::uint32_t others_in_flight() const noexcept { return others_in_flight_; }
  void set_others_in_flight(std::uint32_t n) noexcept { others_in_flight_ = n; }
  /// Average time of a served request; zero before the first one.
  Duration latency() const noexcept { return latency_; }
  /// Recent share of sends that failed, 0 to 1.
  double failure_share() const noexcept { return failures_; }
  /// Recent share of sends that were refused for lack of room, 0 to 1.
  double shed_share() const noexcept { return sheds_; }
  /// Whether requests should go elsewhere at `now`.
  bool ejected(TimePoint now) const noexcept { return now < ejected_until_; }
  TimePoint ejected_until() const noexcept { return ejected_until_; }

  /// Requests that the target is estimated to hold, running and waiting.
  double Load(TimePoint now) const noexcept;

 private:
  void Eject(TimePoint now);

  std::uint32_t in_flight_ = 0;
  std::uint32_t others_in_flight_ = 0;
  std::uint32_t consecutive_failures_ = 0;
  std::uint32_t ejections_ = 0;
  bool unreachable_ = false;
  double failures_ = 0;
  double sheds_ = 0;
  Duration latency_{0};
  TimePoint ejected_until_{};
  LoadReport report_;
  TimePoint reported_at_{};
};

}  // namespace dogwoodport::fleet
