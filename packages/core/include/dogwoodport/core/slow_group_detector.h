#pragma once

/// @file
/// Detects targets that slow down, and groups of targets that slow down together because of an
/// unknown shared dependency, such as a power feed.

#include <cstdint>
#include <vector>

#include "dogwoodport/core/target_table.h"

namespace dogwoodport {

/// Settings of detection and recovery.
struct SlowGroupSettings {
  /// Slowdown factor assumed by the likelihood ratio test.
  double slowdown = 5.0;
  /// Log-likelihood ratio above which a target is considered slow: odds of about 150 to 1.
  double threshold = 5.0;
  /// Maximum fraction of a service's targets that may be ejected at the same time.
  double max_ejected = 0.30;
  /// Slowdowns of several targets within this interval count as one event.
  Duration co_occurrence{2'000'000};
  /// Time for which the other targets of a group are at risk after one of them slowed down.
  Duration risk_time{1'000'000};
  /// Minimum fraction of the events of a target that another target must share to be in its group.
  double group_confidence = 0.6;
  /// Minimum number of events before a group is used.
  std::uint32_t group_events = 2;
  /// Duration of the first ejection. Each further one within `flap_window` after recovery lasts
  /// twice as long as the previous one, up to `max_ejection`.
  Duration min_ejection{500'000};
  Duration max_ejection{8'000'000};
  Duration flap_window{10'000'000};
  /// Number of consecutive fast probes that end an ejection.
  std::uint32_t fast_probes = 2;
  /// A probe is fast if its latency is below this multiple of the typical probe latency.
  double fast_probe_factor = 2.5;
};

/// Maintains the slow states of a `TargetTable` and the detected groups.
///
/// The evidence is a cumulative sum of log-likelihood ratios of exponentially distributed
/// latencies. Attempts without a response contribute their age, so that a target that rarely
/// responds is detected early.
class SlowGroupDetector {
 public:
  explicit SlowGroupDetector(SlowGroupSettings settings = {}) : settings_(settings) {}

  /// Records the latency of a response. Complexity: constant.
  void OnLatency(TimePoint now, TargetTable& table, std::size_t index, double latency_us);

  /// Adopts a slow state detected by another instance. Complexity: linear in the targets if the
  /// episode is new, otherwise constant.
  void OnPeerState(TimePoint now, TargetTable& table, std::size_t index, SlowState state,
                   std::uint32_t episode);

  /// Adds the evidence of another instance, which halves in about 100 ms. Complexity: constant.
  static void OnPeerEvidence(TargetRow& row, double increase) noexcept;

  /// Returns the evidence not yet sent to the other instances and marks it as sent, or returns 0 if
  /// it is too little for a message. Complexity: constant.
  static double TakeUnsentEvidence(TargetRow& row) noexcept;

  /// Records a probe and ends the slow state after enough fast ones. Returns whether the state has
  /// just ended, in which case the caller must start a ramp. Complexity: constant.
  bool OnProbe(TimePoint now, TargetTable& table, std::size_t index, double latency_us);

  /// Ends the slow state of a target, e.g. because it is cold. Complexity: constant.
  static void Recover(TimePoint now, TargetRow& row);

  /// Evaluates attempts without a response and ends expired at-risk states. Complexity: linear in
  /// the targets and attempts.
  void Tick(TimePoint now, TargetTable& table);

  /// Returns an estimate in [0, 1] of the probability that `other` slows down if `target` does.
  /// Complexity: constant.
  double GroupConfidence(std::size_t target, std::size_t other) const noexcept;

  /// Returns whether the target is so slow that its shards should be moved.
  static bool ShouldMove(const TargetRow& row) noexcept { return row.slow >= SlowState::kSlow; }

 private:
  void MarkSlow(TimePoint now, TargetTable& table, std::size_t index);
  void RecordEvent(TimePoint now, const TargetTable& table, std::size_t index);
  void MarkGroupAtRisk(TimePoint now, TargetTable& table, std::size_t index);
  bool MayEject(const TargetTable& table, const ServiceRow& service) const;
  void Resize(std::size_t n);

  SlowGroupSettings settings_;
  /// Number of events of each target, and of events shared by two targets (row-major matrix).
  std::vector<std::uint16_t> events_;
  std::vector<std::uint16_t> common_;
  std::vector<TimePoint> last_event_;
  std::size_t size_ = 0;
  double probe_us_ = 0;
};

}  // namespace dogwoodport
