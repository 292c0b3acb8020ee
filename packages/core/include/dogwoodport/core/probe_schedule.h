#pragma once

/// @file
/// Which instance probes which target, and when. A probe occupies the target for up to 6 ms, so
/// each one is made by one instance and its result is passed on.

#include <vector>

#include "dogwoodport/core/delegation.h"
#include "dogwoodport/core/target_table.h"

namespace dogwoodport {

/// Intervals of probing.
struct ProbeSettings {
  /// 6 ms of every 1 s are 0.15% of the capacity of a target with 4 slots.
  Duration normal{1'000'000};
  /// Interval for targets that are down, ejected, ramping or under suspicion: 6 ms of 100 ms on a
  /// target that gets little else.
  Duration urgent{100'000};
  /// Another member takes over a probe whose result is overdue by this time.
  Duration takeover{1'000'000};
};

/// Schedule of the probes of one instance.
class ProbeSchedule {
 public:
  ProbeSchedule(InstanceId self, ProbeSettings settings) : self_(self), settings_(settings) {}

  /// Shares the targets out among the members. Complexity: linear in the members.
  void OnDelegation(const Delegation& delegation);

  /// Records a result, own or passed on. Complexity: constant.
  void OnResult(TimePoint now, std::size_t index);

  /// Appends the targets that this instance has to probe now and counts them as probed.
  /// Complexity: linear in targets, and in members for targets that are due.
  void CollectDue(TimePoint now, const TargetTable& table, std::vector<TargetId>& due);

 private:
  struct Slot {
    TimePoint last_result;
    TimePoint last_own_probe;
  };

  bool Urgent(const TargetRow& row) const noexcept;
  /// Place of this instance in the order in which members take over the probes of `target`.
  std::size_t Rank(TargetId target) const noexcept;

  InstanceId self_;
  ProbeSettings settings_;
  std::vector<InstanceId> members_;
  std::vector<Slot> slots_;
};

}  // namespace dogwoodport
