#pragma once

/// @file
/// Detection of targets that slow down, and of groups that slow down together because they share
/// something unknown, such as a power feed.

#include <cstdint>
#include <vector>

#include "dogwoodport/core/target_table.h"

namespace dogwoodport {

/// Rules of detection and recovery.
struct SlowGroupSettings {
  /// Slowdown that the likelihood ratio tests for.
  double slowdown = 5.0;
  /// Log-likelihood ratio at which a target counts as slow: odds of about 150 to 1.
  double threshold = 5.0;
  /// Greatest part of a service's targets that is ejected.
  double max_ejected = 0.30;
  /// Targets that slow down within this time of each other count as one event.
  Duration co_occurrence{2'000'000};
  /// Time during which the rest of a group counts as at risk.
  Duration risk_time{1'000'000};
  /// Part of the events in which a target must have followed another one to be in its group.
  double group_confidence = 0.6;
  /// Events seen before a group is believed.
  std::uint32_t group_events = 2;
  /// First ejection; each further one within `flap_window` lasts twice as long, up to the maximum.
  Duration min_ejection{500'000};
  Duration max_ejection{8'000'000};
  Duration flap_window{10'000'000};
  /// Fast probes in a row that end an ejection.
  std::uint32_t fast_probes = 2;
  /// A probe is fast below this multiple of the usual probe latency.
  double fast_probe_factor = 2.5;
};

/// Keeps the slow states in a `TargetTable` and the learnt groups.
///
/// The evidence is a cumulative sum of log-likelihood ratios of exponential latencies. Attempts
/// without an answer count with their age, so that a target that hardly answers shows early.
class SlowGroupDetector {
 public:
  explicit SlowGroupDetector(SlowGroupSettings settings = {}) : settings_(settings) {}

  /// Adds the latency of an answer. Complexity: constant.
  void OnLatency(TimePoint now, TargetTable& table, std::size_t index, double latency_us);

  /// Takes over what another instance found. Complexity: linear in the targets when it is new.
  void OnPeerState(TimePoint now, TargetTable& table, std::size_t index, SlowState state,
                   std::uint32_t episode);

  /// Adds the evidence of another instance, which fades within about 100 ms. Complexity: constant.
  static void OnPeerEvidence(TargetRow& row, double increase) noexcept;

  /// Returns the evidence that the others do not know yet, if it is enough for a message, and
  /// counts it as known. Complexity: constant.
  static double TakeUnsentEvidence(TargetRow& row) noexcept;

  /// Counts a probe; ends an ejection after enough fast ones. Returns whether it ended now, in
  /// which case the caller starts a ramp. Complexity: constant.
  bool OnProbe(TimePoint now, TargetTable& table, std::size_t index, double latency_us);

  /// Ends the slow state of a target, e.g. one that turned out to be cold. Complexity: constant.
  static void Recover(TimePoint now, TargetRow& row);

  /// Looks at unanswered attempts and ends expired states. Linear in targets and attempts.
  void Tick(TimePoint now, TargetTable& table);

  /// Likelihood in [0, 1] that `other` slows down when `target` does. Complexity: constant.
  double GroupConfidence(std::size_t target, std::size_t other) const noexcept;

  /// Returns whether the target is slow enough that its shards should move.
  static bool ShouldMove(const TargetRow& row) noexcept { return row.slow >= SlowState::kSlow; }

 private:
  void Declare(TimePoint now, TargetTable& table, std::size_t index);
  void Learn(TimePoint now, const TargetTable& table, std::size_t index);
  void WarnGroup(TimePoint now, TargetTable& table, std::size_t index);
  bool MayEject(const TargetTable& table, const ServiceRow& service) const;
  void Resize(std::size_t n);

  SlowGroupSettings settings_;
  /// Events of each target, and events that two targets had in common (row-major).
  std::vector<std::uint16_t> events_;
  std::vector<std::uint16_t> common_;
  std::vector<TimePoint> last_event_;
  std::size_t size_ = 0;
  double probe_us_ = 0;
};

}  // namespace dogwoodport
