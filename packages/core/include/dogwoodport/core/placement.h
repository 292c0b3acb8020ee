#pragma once

/// @file
/// Choice of a target for each shard: weighted rendezvous hashing with a bound on the load.

#include <cstdint>
#include <vector>

#include "dogwoodport/core/types.h"

namespace dogwoodport {

/// Load bound of a target as a multiple of its fair share.
inline constexpr double kLoadBound = 1.25;
/// A target that exceeded the bound gives shards away until it is below this multiple, so that a
/// load that swings around the bound causes no moves back and forth.
inline constexpr double kLoadSettled = 1.10;
/// A target below this multiple takes back shards that prefer it.
inline constexpr double kLoadLow = 0.75;
/// Time for which a target must exceed the bound before shards move for balance.
inline constexpr Duration kImbalanceHold{2'000'000};
/// Moves for balance per second and service; each makes a shard unavailable for milliseconds.
inline constexpr double kBalanceMovesPerSecond = 32;

/// Returns the weighted rendezvous score of `target` for `shard`. Complexity: constant.
double RendezvousScore(ShardId shard, std::uint64_t target, double weight) noexcept;

/// A target that may own shards.
struct PlacementTarget {
  TargetId id;
  double weight = 1;
};

/// A shard, its load and its owner; `current` is zero when it needs a new owner.
struct PlacementShard {
  ShardId shard;
  double load = 1;
  TargetId current;
};

/// A shard and the target that should own it.
struct PlannedMove {
  ShardId shard;
  TargetId to;
};

/// Plans the moves of one service.
///
/// @code
/// const auto moves = placement.Plan(now, targets, shards);
/// @endcode
class Placement {
 public:
  /// Returns a target for each shard without owner and, within the rate limit, moves for balance.
  /// Complexity: (shards without owner + moved shards) x targets, plus linear in the shards.
  std::vector<PlannedMove> Plan(TimePoint now, const std::vector<PlacementTarget>& targets,
                                const std::vector<PlacementShard>& shards);

 private:
  struct State {
    TargetId id;
    TimePoint over_since{};
    bool over = false;
    bool shedding = false;
  };
  struct Loads;

  void PlaceOrphans(const std::vector<PlacementShard>& shards, Loads& loads,
                    std::vector<PlannedMove>& moves) const;
  void Shed(TimePoint now, const std::vector<PlacementShard>& shards, Loads& loads,
            std::vector<PlannedMove>& moves);
  void Fill(const std::vector<PlacementShard>& shards, Loads& loads,
            std::vector<PlannedMove>& moves);
  void Refill(TimePoint now);
  State& StateOf(TargetId id);

  std::vector<State> states_;
  double move_tokens_ = kBalanceMovesPerSecond;
  TimePoint refilled_at_{};
};

}  // namespace dogwoodport
