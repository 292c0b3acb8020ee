#pragma once

/// @file
/// Decides which target should own which keys.
///
/// Hot keys are expected to be adjacent and to change over time. A target whose load is too high
/// gives a piece of about its surplus load to the least loaded target. Keys of targets that leave
/// are spread over the least loaded targets. All other keys keep their owner.

#include <functional>
#include <string>
#include <vector>

#include "dogwoodport/fleet/ownership/key_load.h"

namespace dogwoodport::fleet {

/// A target that may own keys.
struct OwnerCandidate {
  std::string id;
  std::uint64_t incarnation = 0;
  /// Requests per second that the target can serve. The unit must be the same for all candidates.
  double capacity = 1;
  /// Whether the target may be assigned more keys.
  bool may_grow = true;
};

struct PlannerSettings {
  /// Ratio of a target's load to the mean load, relative to capacity, above which it gives away
  /// keys.
  double max_imbalance = 1.25;
  /// Averaging time of the rates in seconds. A load counts as too high only if it exceeds the limit
  /// by more than the standard deviation of a request count over this time.
  double rate_window_s = 2.0;
  /// Load of a target, as a share of its capacity, below which its imbalance is ignored.
  double idle_load_share = 0.35;
  /// Maximum number of pieces moved for balance in one plan, as a share of the number of targets;
  /// at least two pieces may always move.
  double max_moved_share = 0.2;
  /// Minimum surplus that justifies a move, as a share of the mean load of a target.
  double min_surplus_share = 0.2;
};

/// Returns the planned ranges. A range whose owner changes has token 0, names its previous owner in
/// `previous`, and is not ready. `rates` may be empty if no load is known. Ranges for which
/// `is_pinned` returns true keep their owner even if it is not a candidate. Without candidates the
/// ranges are returned unchanged.
/// Complexity: number of buckets times number of moves.
KeyRanges PlanKeys(const KeyRanges& ranges, const std::vector<OwnerCandidate>& candidates,
                   const BucketRates& rates, const PlannerSettings& settings,
                   const std::function<bool(const KeyRange&)>& is_pinned = nullptr);

/// Splits all keys among the candidates by capacity, for a service without ranges.
KeyRanges SplitEvenly(const std::vector<OwnerCandidate>& candidates);

}  // namespace dogwoodport::fleet
