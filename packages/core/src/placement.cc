#include "dogwoodport/core/placement.h"

#include <algorithm>
#include <cmath>
#include <unordered_map>

namespace dogwoodport {
namespace {

constexpr std::size_t kNone = static_cast<std::size_t>(-1);

std::uint64_t Mix(std::uint64_t x) noexcept {
  // Finalizer of SplitMix64 (Steele, Lea, Flood 2014).
  x ^= x >> 30;
  x *= 0xBF58476D1CE4E5B9ULL;
  x ^= x >> 27;
  x *= 0x94D049BB133111EBULL;
  return x ^ (x >> 31);
}

}  // namespace

double RendezvousScore(ShardId shard, std::uint64_t target, double weight) noexcept {
  const std::uint64_t hash = Mix(Mix(shard.service.value + shard.index) ^ target);
  const double unit = (static_cast<double>(hash >> 11) + 0.5) * 0x1p-53;
  return -weight / std::log(unit);
}

struct Placement::Loads {
  Loads(const std::vector<PlacementTarget>& all, const std::vector<PlacementShard>& shards)
      : targets(all), load(all.size(), 0) {
    for (std::size_t i = 0; i < all.size(); ++i) index.emplace(all[i].id, i);
    double weight = 0;
    for (const PlacementTarget& target : all) weight += target.weight;
    double total = 0;
    for (const PlacementShard& shard : shards) {
      total += shard.load;
      const std::size_t i = IndexOf(shard.current);
      if (i != kNone) load[i] += shard.load;
    }
    mean_per_weight = weight > 0 ? total / weight : 0;
  }

  std::size_t IndexOf(TargetId id) const {
    const auto it = index.find(id);
    return it == index.end() ? kNone : it->second;
  }
  double Fair(std::size_t i) const { return mean_per_weight * targets[i].weight; }
  double Ratio(std::size_t i) const { return Fair(i) > 0 ? load[i] / Fair(i) : 0; }

  /// Returns the target with the highest score among those whose load including the shard does not
  /// exceed `bound` times the fair share, or kNone.
  std::size_t BestTarget(const PlacementShard& shard, double bound) const {
    std::size_t best = kNone;
    double best_score = -1;
    for (std::size_t i = 0; i < targets.size(); ++i) {
      if (load[i] + shard.load > bound * Fair(i)) continue;
      const double score = RendezvousScore(shard.shard, targets[i].id.value, targets[i].weight);
      if (score <= best_score) continue;
      best = i;
      best_score = score;
    }
    return best;
  }

  std::size_t LeastLoaded() const {
    std::size_t best = 0;
    for (std::size_t i = 1; i < targets.size(); ++i) {
      if (Ratio(i) < Ratio(best)) best = i;
    }
    return best;
  }

  const std::vector<PlacementTarget>& targets;
  std::vector<double> load;
  std::unordered_map<TargetId, std::size_t> index;
  double mean_per_weight = 0;
};

std::vector<PlannedMove> Placement::Plan(TimePoint now, const std::vector<PlacementTarget>& targets,
                                         const std::vector<PlacementShard>& shards, bool balance) {
  std::vector<PlannedMove> moves;
  if (targets.empty()) return moves;
  Loads loads(targets, shards);
  RefillMoveTokens(now);
  PlaceUnowned(shards, loads, moves);
  // The loads are not representative while shards have no owner.
  if (!moves.empty() || !balance) return moves;
  Shed(now, shards, loads, moves);
  FillUnderloaded(shards, loads, moves);
  return moves;
}

void Placement::PlaceUnowned(const std::vector<PlacementShard>& shards, Loads& loads,
                             std::vector<PlannedMove>& moves) const {
  std::vector<const PlacementShard*> unowned;
  for (const PlacementShard& shard : shards) {
    if (loads.IndexOf(shard.current) == kNone) unowned.push_back(&shard);
  }
  std::stable_sort(
      unowned.begin(), unowned.end(),
      [](const PlacementShard* a, const PlacementShard* b) { return a->load > b->load; });
  for (const PlacementShard* shard : unowned) {
    std::size_t to = loads.BestTarget(*shard, kLoadBound);
    if (to == kNone) to = loads.LeastLoaded();
    loads.load[to] += shard->load;
    moves.push_back({shard->shard, loads.targets[to].id});
  }
}

void Placement::Shed(TimePoint now, const std::vector<PlacementShard>& shards, Loads& loads,
                     std::vector<PlannedMove>& moves) {
  std::vector<std::size_t> shedding;
  for (std::size_t i = 0; i < loads.targets.size(); ++i) {
    State& state = StateOf(loads.targets[i].id);
    const double ratio = loads.Ratio(i);
    if (ratio <= kLoadBound) state.over = false;
    if (ratio > kLoadBound && !state.over) {
      state.over = true;
      state.over_since = now;
    }
    if (state.over && now - state.over_since >= kImbalanceHold) state.shedding = true;
    if (ratio <= kShedLoadBound) state.shedding = false;
    if (state.shedding) shedding.push_back(i);
  }
  for (const std::size_t from : shedding) {
    std::vector<const PlacementShard*> own;
    for (const PlacementShard& shard : shards) {
      if (shard.current == loads.targets[from].id && shard.load > 0) own.push_back(&shard);
    }
    std::stable_sort(own.begin(), own.end(), [](const PlacementShard* a, const PlacementShard* b) {
      return a->load > b->load;
    });
    for (const PlacementShard* shard : own) {
      if (loads.Ratio(from) <= kShedLoadBound || move_tokens_ < 1) break;
      const std::size_t to = loads.BestTarget(*shard, kShedLoadBound);
      if (to == kNone || to == from) continue;
      loads.load[from] -= shard->load;
      loads.load[to] += shard->load;
      move_tokens_ -= 1;
      moves.push_back({shard->shard, loads.targets[to].id});
    }
  }
}

void Placement::FillUnderloaded(const std::vector<PlacementShard>& shards, Loads& loads,
                                std::vector<PlannedMove>& moves) {
  std::vector<bool> low(loads.targets.size());
  bool any = false;
  for (std::size_t i = 0; i < low.size(); ++i) {
    low[i] = loads.Ratio(i) < kUnderloadBound;
    any = any || low[i];
  }
  if (!any) return;
  for (const PlacementShard& shard : shards) {
    if (move_tokens_ < 1) return;
    const std::size_t from = loads.IndexOf(shard.current);
    if (from == kNone || low[from]) continue;
    const std::size_t to = loads.BestTarget(shard, kLoadBound);
    if (to == kNone || !low[to] || loads.load[to] + shard.load > loads.Fair(to)) continue;
    loads.load[from] -= shard.load;
    loads.load[to] += shard.load;
    move_tokens_ -= 1;
    moves.push_back({shard.shard, loads.targets[to].id});
  }
}

void Placement::RefillMoveTokens(TimePoint now) {
  const double seconds = std::chrono::duration<double>(now - refilled_at_).count();
  move_tokens_ = std::min(kBalanceMovesPerSecond, move_tokens_ + seconds * kBalanceMovesPerSecond);
  refilled_at_ = now;
}

Placement::State& Placement::StateOf(TargetId id) {
  for (State& state : states_) {
    if (state.id == id) return state;
  }
  states_.push_back(State{id});
  return states_.back();
}

}  // namespace dogwoodport
