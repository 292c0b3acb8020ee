#pragma once

/// @file
/// Decides which target should own which keys.
///
/// Answers a load whose hot keys lie close together and move: a target above its part of the load
/// gives a piece with about the surplus to the least loaded one. Keys of targets that leave are
/// spread over the least loaded ones. Everything else stays where it is.

#include <functional>
#include <string>
#include <vector>

#include "dogwoodport/fleet/ownership/key_load.h"

namespace dogwoodport::fleet {

/// A target that may own keys.
struct OwnerCandidate {
  std::string id;
  std::uint64_t incarnation = 0;
  /// Requests per second that it can serve, in any unit common to all candidates.
  double capacity = 1;
  /// Whether it may be given more keys.
  bool may_grow = true;
};

struct PlannerSettings {
  /// Load over the mean load, relative to capacity, above which a target gives keys away.
  double max_imbalance = 1.25;
  /// Averaging time of the rates in seconds. A load counts as too high only if it is so by more
  /// than the usual deviation of a count over this time.
  double rate_window_s = 2.0;
  /// Requests per second of a target below which imbalance is of no consequence, as a share of its
  /// capacity.
  double idle_load_share = 0.35;
  /// Pieces moved for balance in one plan, as a share of the targets, but at least two.
  double max_moved_share = 0.2;
  /// Surplus that is not worth a move, as a share of the mean load of a target.
  double min_surplus_share = 0.2;
};

/// Returns the ranges as they should be. Ranges whose owner changes have token 0, name the owner
/// before them in `previous` and are not ready. `rates` may be empty when no load is known.
/// Ranges for which `is_pinned` holds keep their owner, even one that is no candidate. Without
/// candidates the ranges come back unchanged. Complexity: buckets times moves.
KeyRanges PlanKeys(const KeyRanges& ranges, const std::vector<OwnerCandidate>& candidates,
                   const BucketRates& rates, const PlannerSettings& settings,
                   const std::function<bool(const KeyRange&)>& is_pinned = nullptr);

/// Returns an even split of all keys by capacity, for a service without ranges.
KeyRanges SplitEvenly(const std::vector<OwnerCandidate>& candidates);

}  // namespace dogwoodport::fleet
