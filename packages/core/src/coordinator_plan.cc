// Planning of shard moves. The moves are carried out in coordinator.cc.

#include <algorithm>

#include "dogwoodport/core/coordinator.h"

namespace dogwoodport {
namespace {

/// Maximum number of hash shards released at a time by a data centre that stays in service.
constexpr std::size_t kMaxReleasedShards = 64;
/// Interval between two claims of the same shard; longer than an append takes.
constexpr Duration kClaimInterval{500'000};
/// Interval between two batches of assignments that have not been recorded.
constexpr Duration kRecordInterval{500'000};
/// Interval between two plans of a service while their inputs, other than the time, are unchanged.
/// A plan takes 1.3 ms for 16,384 shards, four times the budget of a tick.
constexpr Duration kFullPlanInterval{500'000};
/// Weight of the latest report interval in the load averages.
constexpr double kLoadSmoothing = 0.5;

void Smooth(std::unordered_map<std::uint64_t, double>& average,
            const std::unordered_map<std::uint64_t, double>& sum) {
  for (auto& [id, value] : average) value *= 1 - kLoadSmoothing;
  for (const auto& [id, value] : sum) average[id] += value * kLoadSmoothing;
  std::erase_if(average, [](const auto& item) { return item.second < 0.5; });
}

DataCentreState StateOf(DataCentreId id, const CoordinatorView& view) {
  const auto it = view.data_centres.find(id);
  return it == view.data_centres.end() ? DataCentreState::kInService : it->second.state;
}

bool LogReachable(TimePoint now, const CoordinatorView& view) {
  return now - view.log_contact <= kMaxLogContactAge;
}

}  // namespace

bool IsIsolated(TimePoint now, const ServiceConfig& service, TimePoint log_contact) noexcept {
  const auto* yields = std::get_if<YieldOnIsolation>(&service.on_isolation);
  return yields != nullptr && now - log_contact > yields->bound;
}

DataCentreId DesiredHome(ShardId shard, const std::vector<DataCentreId>& candidates) noexcept {
  DataCentreId best;
  double best_score = -1;
  for (const DataCentreId candidate : candidates) {
    const double score = RendezvousScore(shard, candidate.value, 1);
    if (score <= best_score) continue;
    best = candidate;
    best_score = score;
  }
  return best;
}

std::vector<DataCentreId> HomeCandidates(const ServiceConfig& service,
                                         const CoordinatorView& view) {
  std::vector<DataCentreId> candidates;
  for (const DataCentreConfig& data_centre : view.config.data_centres) {
    if (StateOf(data_centre.id, view) != DataCentreState::kInService) continue;
    const bool has_targets = std::any_of(
        view.config.targets.begin(), view.config.targets.end(), [&](const TargetConfig& target) {
          return target.service == service.id && target.data_centre == data_centre.id;
        });
    if (has_targets) candidates.push_back(data_centre.id);
  }
  return candidates;
}

void Coordinator::Plan(TimePoint now, const CoordinatorView& view, OwnershipActions& actions) {
  next_plan_ = now + settings_.plan_interval;
  if (StateOf(data_centre_, view) == DataCentreState::kLost) return;
  for (const ServiceConfig& service : view.config.services) {
    if (service.keyed) PlanService(now, service, view, actions);
  }
  EmitUnrecorded(now, view, actions);
}

void Coordinator::PlanService(TimePoint now, const ServiceConfig& service,
                              const CoordinatorView& view, OwnershipActions& actions) {
  if (IsIsolated(now, service, view.log_contact)) return;
  ServiceLoad& load = loads_[service.id];
  if (!NeedsPlan(now, service, view, load)) return;
  DropShardsHomedElsewhere(service, view);
  PlanHomes(now, service, view, actions);
  PlanTargets(now, service, view, load);
  if (LogReachable(now, view)) PlanHotKeys(now, service, view, load, actions);
}

bool Coordinator::NeedsPlan(TimePoint now, const ServiceConfig& service,
                            const CoordinatorView& view, ServiceLoad& load) const {
  std::vector<TargetId> targets;
  for (const PlacementTarget& target : UsableTargets(now, service.id, view)) {
    targets.push_back(target.id);
  }
  const bool same = targets == load.planned_targets && table_.sequence() == load.planned_sequence &&
                    view.homes.version() == load.planned_homes;
  if (same && now < load.next_full_plan) return false;
  load.planned_targets = std::move(targets);
  load.planned_sequence = table_.sequence();
  load.planned_homes = view.homes.version();
  load.next_full_plan = now + kFullPlanInterval;
  return true;
}

const std::vector<DataCentreId>& Coordinator::DesiredHomes(const ServiceConfig& service,
                                                           const CoordinatorView& view) {
  ServiceLoad& load = loads_[service.id];
  std::vector<DataCentreId> candidates = HomeCandidates(service, view);
  if (candidates == load.candidates && load.desired.size() == service.shard_count) {
    return load.desired;
  }
  load.candidates = std::move(candidates);
  load.desired.resize(service.shard_count);
  for (std::uint32_t i = 0; i < service.shard_count; ++i) {
    load.desired[i] = DesiredHome(ShardId{service.id, i}, load.candidates);
  }
  return load.desired;
}

std::unordered_map<std::uint32_t, std::vector<Coordinator::Child>> Coordinator::ChildrenOf(
    const ServiceConfig& service) const {
  std::unordered_map<std::uint32_t, std::vector<Child>> children;
  table_.ForEachOf(service.id, [&](ShardId shard, const ShardEntry& entry) {
    if (entry.key_hash == 0) return;
    children[HashShard(entry.key_hash, service.shard_count)].push_back({shard, entry.key_hash});
  });
  return children;
}

void Coordinator::DropShardsHomedElsewhere(const ServiceConfig& service,
                                           const CoordinatorView& view) {
  std::vector<Child> foreign;
  table_.ForEachOf(service.id, [&](ShardId shard, const ShardEntry& entry) {
    if (moving_.contains(shard)) return;
    const bool single = entry.key_hash != 0;
    const std::uint32_t base =
        single ? HashShard(entry.key_hash, service.shard_count) : shard.index;
    const ShardId parent{service.id, base};
    if (view.homes.Home(parent).holder() == data_centre_) return;
    foreign.push_back({shard, entry.key_hash});
  });
  for (const Child& child : foreign) {
    Append({{}, ChangeKind::kDrop, child.shard, child.key_hash, {}, {}});
  }
}

bool Coordinator::Claimable(TimePoint now, const ServiceConfig& service, DataCentreId home,
                            const CoordinatorView& view) const {
  if (home.value == 0) return true;
  const auto it = view.data_centres.find(home);
  if (it == view.data_centres.end()) return false;
  const TimePoint since = it->second.since;
  if (it->second.state == DataCentreState::kLost) return now >= since + settings_.PermitWait();
  if (it->second.state != DataCentreState::kYielded) return false;
  const auto* yields = std::get_if<YieldOnIsolation>(&service.on_isolation);
  if (yields == nullptr) return false;
  const Duration bound = yields->bound + yields->bound * kClockDriftPercent / 100;
  return now >= since + bound + settings_.PermitWait();
}

void Coordinator::PlanHomes(TimePoint now, const ServiceConfig& service,
                            const CoordinatorView& view, OwnershipActions& actions) {
  if (!LogReachable(now, view)) return;
  const std::vector<DataCentreId>& desired = DesiredHomes(service, view);
  std::vector<std::uint32_t> claims;
  std::vector<std::uint32_t> leaving;
  for (std::uint32_t i = 0; i < service.shard_count; ++i) {
    const DataCentreId home = view.homes.Home(ShardId{service.id, i}).holder();
    if (home != data_centre_) {
      if (desired[i] != data_centre_ || !Claimable(now, service, home, view)) continue;
      TimePoint& last_claim = last_claims_.try_emplace(ShardId{service.id, i}).first->second;
      if (last_claim != TimePoint{} && now - last_claim < kClaimInterval) continue;
      last_claim = now;
      claims.push_back(i);
      continue;
    }
    last_claims_.erase(ShardId{service.id, i});
    if (desired[i] != data_centre_ && desired[i].value != 0) leaving.push_back(i);
  }
  EmitClaims(now, service, claims, view, actions);
  if (!leaving.empty()) PlanReleases(now, service, leaving, view);
}

void Coordinator::EmitClaims(TimePoint now, const ServiceConfig& service,
                             const std::vector<std::uint32_t>& claims, const CoordinatorView& view,
                             OwnershipActions& actions) {
  if (claims.empty()) return;
  const std::vector<PlacementTarget> targets = UsableTargets(now, service.id, view);
  if (targets.empty()) return;
  AssignmentBatch record{data_centre_, current_->offset, {}};
  for (const std::uint32_t index : claims) {
    record.moves.push_back({ShardId{service.id, index}, targets.front().id, NextEpoch()});
    if (record.moves.size() < settings_.batch_size) continue;
    actions.records.emplace_back(std::exchange(record, {data_centre_, current_->offset, {}}));
  }
  if (!record.moves.empty()) actions.records.emplace_back(std::move(record));
}

void Coordinator::PlanReleases(TimePoint now, const ServiceConfig& service,
                               const std::vector<std::uint32_t>& leaving,
                               const CoordinatorView& view) {
  const bool withdrawn = StateOf(data_centre_, view) != DataCentreState::kInService;
  const bool releasing = std::any_of(batches_.begin(), batches_.end(), [](const Batch& batch) {
    return std::any_of(batch.moves.begin(), batch.moves.end(),
                       [](const Move& move) { return move.kind == MoveKind::kRelease; });
  });
  if (releasing && !withdrawn) return;
  const std::size_t limit = withdrawn ? service.shard_count : kMaxReleasedShards;
  const auto children = ChildrenOf(service);
  std::vector<Move> moves;
  std::size_t count = 0;
  for (const std::uint32_t index : leaving) {
    const ShardId shard{service.id, index};
    if (count == limit) break;
    if (moving_.contains(shard)) continue;
    const auto own = children.find(index);
    if (own != children.end()) {
      const bool busy = std::any_of(own->second.begin(), own->second.end(),
                                    [this](const Child& c) { return moving_.contains(c.shard); });
      if (busy) continue;
      for (const Child& child : own->second) {
        moves.push_back(MakeMove(child.shard, child.key_hash, MoveKind::kMerge, {}, view));
      }
    }
    moves.push_back(MakeMove(shard, 0, MoveKind::kRelease, {}, view));
    ++count;
  }
  StartInBatches(now, moves);
}

std::vector<PlacementTarget> Coordinator::UsableTargets(TimePoint now, ServiceId service,
                                                        const CoordinatorView& view) const {
  std::vector<PlacementTarget> targets;
  for (const TargetConfig& target : view.config.targets) {
    if (target.service != service || target.data_centre != data_centre_) continue;
    if (view.draining.contains(target.id) || IsLost(target.id, now)) continue;
    targets.push_back({target.id, target.weight});
  }
  return targets;
}

std::vector<PlacementShard> Coordinator::PlacementShards(const ServiceConfig& service,
                                                         const CoordinatorView& view,
                                                         const ServiceLoad& load) const {
  // The load that is not reported for individual shards is divided evenly among the other shards.
  const double others =
      std::max(1.0, service.shard_count - static_cast<double>(load.shards.size()));
  const double rest = std::max(load.total - load.reported, 0.0) / others;
  const double floor = load.total > 0 ? load.total / service.shard_count * 0.01 : 1;
  std::vector<PlacementShard> shards;
  const auto add = [&](ShardId shard, const ShardEntry* entry, double unreported) {
    const auto it = load.shards.find(shard.index);
    PlacementShard item{shard, floor + (it == load.shards.end() ? unreported : it->second), {}};
    const auto moving = moving_.find(shard);
    if (moving != moving_.end()) {
      item.current = moving->second;
    } else if (entry != nullptr && entry->state == ShardState::kCommitted) {
      item.current = entry->target;
    }
    shards.push_back(item);
  };
  for (std::uint32_t i = 0; i < service.shard_count; ++i) {
    const ShardId shard{service.id, i};
    if (view.homes.Home(shard).holder() != data_centre_) continue;
    add(shard, table_.Get(shard), rest);
  }
  table_.ForEachOf(service.id, [&](ShardId shard, const ShardEntry& entry) {
    if (entry.key_hash != 0) add(shard, &entry, 0);
  });
  return shards;
}

void Coordinator::PlanTargets(TimePoint now, const ServiceConfig& service,
                              const CoordinatorView& view, ServiceLoad& load) {
  const std::vector<PlacementTarget> targets = UsableTargets(now, service.id, view);
  if (targets.empty()) return;
  const std::vector<PlacementShard> shards = PlacementShards(service, view, load);
  std::vector<Move> moves;
  for (const PlannedMove& planned :
       load.placement.Plan(now, targets, shards, LogReachable(now, view))) {
    if (moving_.contains(planned.shard)) continue;
    const ShardEntry* entry = table_.Get(planned.shard);
    const std::uint64_t key_hash = entry == nullptr ? 0 : entry->key_hash;
    moves.push_back(MakeMove(planned.shard, key_hash, MoveKind::kAssign, planned.to, view));
  }
  StartInBatches(now, moves);
}

void Coordinator::PlanHotKeys(TimePoint now, const ServiceConfig& service,
                              const CoordinatorView& view, ServiceLoad& load,
                              OwnershipActions& /*actions*/) {
  std::vector<LoadCount> keys;
  for (const auto& [id, value] : load.keys) {
    keys.push_back({id, static_cast<std::uint64_t>(value)});
  }
  std::sort(keys.begin(), keys.end(), [](const LoadCount& a, const LoadCount& b) {
    return a.count != b.count ? a.count > b.count : a.id < b.id;
  });
  std::vector<std::uint64_t> split;
  std::unordered_map<std::uint64_t, ShardId> shard_of;
  table_.ForEachOf(service.id, [&](ShardId shard, const ShardEntry& entry) {
    if (entry.key_hash == 0) return;
    split.push_back(entry.key_hash);
    shard_of.emplace(entry.key_hash, shard);
  });
  std::vector<Move> moves;
  std::unordered_set<std::uint32_t> parents;
  for (const HotKeyProposal& proposal : load.planner.Plan(now, load.total, keys, split)) {
    const std::uint32_t index = HashShard(proposal.key_hash, service.shard_count);
    const ShardId parent{service.id, index};
    const ShardEntry* entry = table_.Get(parent);
    const bool owned = entry != nullptr && entry->state == ShardState::kCommitted;
    if (!owned || moving_.contains(parent) || !parents.insert(index).second) continue;
    if (proposal.split) {
      const ShardId child{service.id, next_single_key_++};
      moves.push_back(MakeMove(child, proposal.key_hash, MoveKind::kAssign, entry->target, view));
    } else {
      const ShardId child = shard_of.at(proposal.key_hash);
      if (moving_.contains(child)) continue;
      moves.push_back(MakeMove(child, proposal.key_hash, MoveKind::kMerge, {}, view));
    }
    // The hash shard gets a new epoch so that its target refuses delayed requests for the key.
    moves.push_back(MakeMove(parent, 0, MoveKind::kAssign, entry->target, view));
  }
  if (!moves.empty()) StartBatch(now, std::move(moves));
}

void Coordinator::UpdateLoadAverages(TimePoint now) {
  if (now < next_load_update_) return;
  next_load_update_ = now + settings_.load_report_interval;
  RemoveInactivePeers();
  for (auto& [service, load] : loads_) {
    std::unordered_map<std::uint64_t, double> keys;
    std::unordered_map<std::uint64_t, double> shards;
    double total = 0;
    for (const ShardLoadReport& report : load.window) {
      total += static_cast<double>(report.total);
      for (const LoadCount& key : report.keys) keys[key.id] += static_cast<double>(key.count);
      for (const LoadCount& s : report.shards) shards[s.id] += static_cast<double>(s.count);
    }
    load.window.clear();
    load.total = load.total * (1 - kLoadSmoothing) + total * kLoadSmoothing;
    Smooth(load.keys, keys);
    Smooth(load.shards, shards);
    load.reported = 0;
    for (const auto& [id, value] : load.shards) load.reported += value;
  }
}

void Coordinator::EmitUnrecorded(TimePoint now, const CoordinatorView& view,
                                 OwnershipActions& actions) {
  if (now < next_record_ || !LogReachable(now, view)) return;
  next_record_ = now + kRecordInterval;
  AssignmentBatch record{data_centre_, current_->offset, {}};
  table_.ForEach([&](ShardId shard, const ShardEntry& entry) {
    const bool excluded = entry.state != ShardState::kCommitted || entry.key_hash != 0;
    if (excluded || moving_.contains(shard) || record.moves.size() >= settings_.batch_size) return;
    const auto it = recorded_.find(shard);
    if (it != recorded_.end() && it->second.epoch == entry.epoch) return;
    record.moves.push_back({shard, entry.target, entry.epoch});
  });
  if (record.moves.empty() && activation_recorded_) return;
  actions.records.emplace_back(std::move(record));
}

}  // namespace dogwoodport
