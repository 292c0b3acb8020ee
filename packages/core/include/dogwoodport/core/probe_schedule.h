#pragma once

/// @file
/// Assignment and timing of target probes. A probe occupies the target for up to 6 ms, so only one
/// instance sends each probe and shares its result with the others.

#include <vector>

#include "dogwoodport/core/delegation.h"
#include "dogwoodport/core/target_table.h"

namespace dogwoodport {

/// Probe intervals.
struct ProbeSettings {
  /// Interval for healthy targets: 6 ms per 1 s is 0.15% of the capacity of a target with 4 slots.
  Duration normal{1'000'000};
  /// Interval for targets that are down, slow, ramping or suspected to be slow, or whose connection
  /// timed out or was lost: 6 ms per 100 ms on a target that receives few requests.
  Duration urgent{100'000};
  /// Time by which a result must be overdue before the next member in order sends the probe.
  Duration takeover{1'000'000};
};

/// Probe schedule of one instance.
class ProbeSchedule {
 public:
  ProbeSchedule(InstanceId self, ProbeSettings settings) : self_(self), settings_(settings) {}

  /// Sets the members among which the targets are distributed. Complexity: linear in the members.
  void OnDelegation(const Delegation& delegation);

  /// Records a result from this instance or another one. Complexity: constant.
  void OnResult(TimePoint now, std::size_t index);

  /// Appends the targets that this instance must probe now and marks them as probed.
  /// Complexity: linear in the targets, and in the members for targets that are due.
  void CollectDue(TimePoint now, const TargetTable& table, std::vector<TargetId>& due);

 private:
  struct ProbeTimes {
    TimePoint last_result;
    TimePoint last_own_probe;
  };

  bool Urgent(const TargetRow& row) const noexcept;
  /// Returns the position of this instance in the order in which members take over the probes of
  /// `target`.
  std::size_t Rank(TargetId target) const noexcept;

  InstanceId self_;
  ProbeSettings settings_;
  std::vector<InstanceId> members_;
  std::vector<ProbeTimes> probe_times_;
};

}  // namespace dogwoodport
