#pragma once

/// @file
/// Placement of shards on targets by weighted rendezvous hashing with bounded loads.

#include <cstdint>
#include <vector>

#include "dogwoodport/core/types.h"

namespace dogwoodport {

/// Load bound of a target, as a multiple of its fair share.
inline constexpr double kLoadBound = 1.25;
/// Multiple of its fair share down to which a target that exceeded the bound sheds shards. The
/// hysteresis prevents moves back and forth when the load oscillates around the bound.
inline constexpr double kShedLoadBound = 1.10;
/// Multiple of its fair share below which a target receives shards for which it has the highest
/// score.
inline constexpr double kUnderloadBound = 0.75;
/// Time for which a target must exceed the bound before shards are moved for balance.
inline constexpr Duration kImbalanceHold{2'000'000};
/// Maximum rate of moves for balance per service. Each move makes a shard unavailable for some
/// milliseconds.
inline constexpr double kBalanceMovesPerSecond = 32;

/// Returns the weighted rendezvous score of `target` for `shard`. Complexity: constant.
double RendezvousScore(ShardId shard, std::uint64_t target, double weight) noexcept;

/// Target that may own shards.
struct PlacementTarget {
  TargetId id;
  double weight = 1;
};

/// Shard with its load and its owner. `current` is zero if the shard needs a new owner.
struct PlacementShard {
  ShardId shard;
  double load = 1;
  TargetId current;
};

/// Planned move of a shard to a target.
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
  /// Returns a target for each shard without owner. If all shards have owners and `balance` is set,
  /// returns moves for balance within the rate limit. Complexity: (shards without owner + shards
  /// considered for balance) x targets, plus linear in the shards.
  std::vector<PlannedMove> Plan(TimePoint now, const std::vector<PlacementTarget>& targets,
                                const std::vector<PlacementShard>& shards, bool balance = true);

 private:
  struct State {
    TargetId id;
    TimePoint over_since{};
    bool over = false;
    bool shedding = false;
  };
  struct Loads;

  void PlaceUnowned(const std::vector<PlacementShard>& shards, Loads& loads,
                    std::vector<PlannedMove>& moves) const;
  void Shed(TimePoint now, const std::vector<PlacementShard>& shards, Loads& loads,
            std::vector<PlannedMove>& moves);
  void FillUnderloaded(const std::vector<PlacementShard>& shards, Loads& loads,
                       std::vector<PlannedMove>& moves);
  void RefillMoveTokens(TimePoint now);
  State& StateOf(TargetId id);

  std::vector<State> states_;
  double move_tokens_ = kBalanceMovesPerSecond;
  TimePoint refilled_at_{};
};

}  // namespace dogwoodport
