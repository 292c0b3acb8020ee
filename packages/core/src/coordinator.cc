#include "dogwoodport/core/coordinator.h"

#include <algorithm>

#include "dogwoodport/core/permit.h"

namespace dogwoodport {
namespace {

/// Number of changes kept for replication. A member that lacks older changes gets the complete
/// table.
constexpr std::size_t kMaxChanges = 4096;
/// Maximum interval between two attempts to reach a peer that does not respond.
constexpr Duration kMaxResendInterval{400'000};

}  // namespace

void Coordinator::OnDelegation(TimePoint now, const Delegation& delegation, Outbox& out) {
  const auto it =
      std::lower_bound(delegations_.begin(), delegations_.end(), delegation.offset,
                       [](const Delegation& d, std::uint64_t offset) { return d.offset < offset; });
  if (it != delegations_.end() && it->offset == delegation.offset) return;
  delegations_.insert(it, delegation);
  const Delegation& newest = delegations_.back();
  if (current_ && current_->offset == newest.offset) return;
  Stop();
  const Member* self = FindMember(newest, self_);
  const bool named = newest.coordinator == self_ && self != nullptr;
  if (named && self->incarnation == incarnation_) StartTakeover(now, out);
}

void Coordinator::OnActivated(std::uint64_t offset) {
  std::erase_if(delegations_, [offset](const Delegation& d) { return d.offset < offset; });
  if (current_ && current_->offset == offset) activation_recorded_ = true;
}

void Coordinator::OnGroupLost(TimePoint now, std::uint64_t offset, Outbox& out) {
  lost_groups_.insert(offset);
  if (phase_ != CoordinatorPhase::kCollecting) return;
  takeover_not_before_ = std::max(takeover_not_before_, now + settings_.PermitWait());
  TryFinishTakeover(now, out);
}

void Coordinator::OnRecorded(const std::vector<Assignment>& moves) {
  for (const Assignment& move : moves) recorded_[move.shard] = move;
}

void Coordinator::Stop() {
  current_.reset();
  phase_ = CoordinatorPhase::kInactive;
  replies_.clear();
  peers_.clear();
  batches_.clear();
  moving_.clear();
  changes_.clear();
  activation_recorded_ = false;
}

void Coordinator::StartTakeover(TimePoint now, Outbox& out) {
  current_ = delegations_.back();
  phase_ = CoordinatorPhase::kCollecting;
  takeover_not_before_ = lost_groups_.empty() ? TimePoint{} : now + settings_.PermitWait();
  SendTakeover(now, out);
  TryFinishTakeover(now, out);
}

void Coordinator::SendTakeover(TimePoint now, Outbox& out) {
  next_takeover_send_ = now + settings_.resend_interval;
  std::vector<InstanceId> receivers;
  for (const Delegation& delegation : delegations_) {
    if (delegation.offset == current_->offset) continue;
    for (const Member& member : delegation.members) {
      if (replies_.contains(member.id)) continue;
      if (std::find(receivers.begin(), receivers.end(), member.id) != receivers.end()) continue;
      receivers.push_back(member.id);
      out.Send(member.id, TakeoverRequest{data_centre_, *current_});
    }
  }
}

void Coordinator::OnMessage(TimePoint now, InstanceId from, const TakeoverReply& reply,
                            Outbox& out) {
  if (phase_ != CoordinatorPhase::kCollecting || reply.delegation != current_->offset) return;
  replies_[from] = reply;
  TryFinishTakeover(now, out);
}

bool Coordinator::CollectTable(std::vector<ShardChange>& entries) const {
  const TakeoverReply* newest = nullptr;
  bool lost = false;
  bool older = false;
  for (auto it = delegations_.rbegin(); it != delegations_.rend(); ++it) {
    if (it->offset == current_->offset) continue;
    older = true;
    std::size_t responded = 0;
    bool installed = false;
    for (const Member& member : it->members) {
      const auto reply = replies_.find(member.id);
      if (reply == replies_.end() || reply->second.incarnation != member.incarnation) continue;
      ++responded;
      if (newest == nullptr || reply->second.sequence > newest->sequence) newest = &reply->second;
      // An installed table contains all changes that older delegations agreed on.
      if (reply->second.installed >= it->offset) installed = true;
    }
    if (lost_groups_.contains(it->offset)) {
      lost = true;
    } else if (responded < MajorityOf(*it)) {
      return false;
    }
    if (installed) break;
    // A majority can no longer install the table of this delegation, so an older delegation holds
    // the current table.
  }
  if (newest != nullptr && newest->installed != 0) {
    entries = newest->entries;
  } else if (lost || !older) {
    entries = RecordedEntries();
  }
  if (!lost) return true;
  // The lost group may have moved these shards in the meantime. Targets refuse epochs older than
  // those moves, so each shard needs a new assignment.
  for (ShardChange& entry : entries) entry.kind = ChangeKind::kPrepare;
  return true;
}

std::vector<ShardChange> Coordinator::RecordedEntries() const {
  std::vector<ShardChange> entries;
  for (const auto& [shard, assignment] : recorded_) {
    if (assignment.target.value == 0) continue;
    entries.push_back(
        {assignment.epoch, ChangeKind::kCommit, shard, 0, assignment.target, assignment.epoch});
  }
  return entries;
}

void Coordinator::TryFinishTakeover(TimePoint now, Outbox& out) {
  if (now < takeover_not_before_) return;
  std::vector<ShardChange> entries;
  if (!CollectTable(entries)) return;
  const bool first = delegations_.size() == 1;
  older_permits_expire_at_ = first ? now : now + settings_.PermitWait();
  Install(now, entries, out);
}

void Coordinator::Install(TimePoint now, const std::vector<ShardChange>& entries, Outbox& out) {
  phase_ = CoordinatorPhase::kInstalling;
  replies_.clear();
  counter_ = 0;
  table_.Install(Epoch{current_->offset, 0}, entries);
  changes_base_ = table_.sequence();
  next_single_key_ = kFirstSingleKeyShard;
  table_.ForEach([this](ShardId shard, const ShardEntry&) {
    next_single_key_ = std::max(next_single_key_, shard.index + 1);
  });
  for (const Member& member : current_->members) {
    Peer peer;
    peer.incarnation = member.incarnation;
    peers_.insert_or_assign(member.id, peer);
  }
  Replicate(now, out);
}

void Coordinator::TryActivate(TimePoint now) {
  if (phase_ != CoordinatorPhase::kInstalling) return;
  if (!Recorded(Epoch{current_->offset, 0})) return;
  phase_ = CoordinatorPhase::kActive;
  active_since_ = now;
  next_plan_ = now;
  next_record_ = now;
}

Epoch Coordinator::MajorityRecorded() const {
  std::vector<Epoch> recorded;
  for (const Member& member : current_->members) {
    const auto peer = peers_.find(member.id);
    const bool counts = peer != peers_.end() && peer->second.incarnation == member.incarnation;
    recorded.push_back(counts ? peer->second.recorded : Epoch{});
  }
  std::sort(recorded.begin(), recorded.end(), std::greater<>());
  return recorded[MajorityOf(*current_) - 1];
}

Epoch Coordinator::Append(ShardChange change) {
  change.sequence = NextEpoch();
  if (change.kind == ChangeKind::kPrepare) change.epoch = change.sequence;
  table_.Apply(change);
  changes_.push_back(change);
  if (changes_.size() > kMaxChanges) {
    changes_base_ = changes_.front().sequence;
    changes_.pop_front();
  }
  return change.sequence;
}

void Coordinator::Replicate(TimePoint now, Outbox& out) {
  for (auto& [id, peer] : peers_) SendTo(now, id, peer, out);
}

void Coordinator::SendTo(TimePoint now, InstanceId id, Peer& peer, Outbox& out) {
  const Member* member = FindMember(*current_, id);
  const bool votes = member != nullptr && member->incarnation == peer.incarnation;
  const Epoch known = votes ? peer.recorded : peer.applied;
  if (known >= table_.sequence()) return;
  if (now >= peer.next_send) {
    // Exponential backoff for peers that do not respond.
    const bool progress = known != peer.known_at_send;
    peer.interval =
        progress ? settings_.resend_interval : std::min(peer.interval * 2, kMaxResendInterval);
    peer.known_at_send = known;
    peer.sent = known;
  }
  if (peer.sent >= table_.sequence()) return;
  peer.next_send = now + std::max(peer.interval, settings_.resend_interval);
  if (peer.sent >= changes_base_) {
    const auto first = std::upper_bound(
        changes_.begin(), changes_.end(), peer.sent,
        [](Epoch sent, const ShardChange& change) { return sent < change.sequence; });
    out.Send(id, ReplicateRequest{data_centre_, current_->offset, peer.sent,
                                  std::vector<ShardChange>(first, changes_.end())});
  } else if (votes) {
    out.Send(id, InstallRequest{data_centre_, *current_, table_.sequence(), table_.Export()});
  } else {
    // Requests the sequence of a permit holder, which gets the missing changes with its next
    // renewal.
    out.Send(id, ReplicateRequest{data_centre_, current_->offset, table_.sequence(), {}});
  }
  peer.sent = table_.sequence();
}

void Coordinator::OnMessage(TimePoint now, InstanceId from, const ReplicateAck& ack,
                            Outbox& /*out*/) {
  if (!current_ || ack.delegation != current_->offset) return;
  Peer& peer = peers_[from];
  if (ack.incarnation < peer.incarnation) return;
  if (ack.incarnation > peer.incarnation) peer = Peer{ack.incarnation};
  if (ack.recorded >= peer.recorded) {
    peer.recorded = ack.recorded;
    peer.holders = ack.holders;
  }
  peer.applied = std::max(peer.applied, ack.applied);
  for (const PermitHolder& holder : ack.holders) {
    Peer& holder_peer = peers_[holder.id];
    if (holder_peer.incarnation < holder.incarnation) holder_peer = Peer{holder.incarnation};
  }
  TryActivate(now);
}

void Coordinator::OnMessage(TimePoint /*now*/, InstanceId /*from*/, const ShardLoadReport& report) {
  if (phase_ == CoordinatorPhase::kActive) loads_[report.service].window.push_back(report);
}

void Coordinator::OnTargetReport(TimePoint now, const TargetReport& report) {
  const auto [it, is_new] = health_.try_emplace(report.target, TargetHealth{now, TimePoint{}});
  if (report.success) {
    it->second.last_success = now;
  } else {
    it->second.last_failure = now;
  }
}

void Coordinator::OnPause(TimePoint now) {
  for (auto& [target, health] : health_) health = TargetHealth{now, TimePoint{}};
}

bool Coordinator::IsLost(TargetId target, TimePoint now) const {
  const auto it = health_.find(target);
  if (it == health_.end()) return false;
  return it->second.last_failure > it->second.last_success &&
         now - it->second.last_success >= settings_.target_loss_timeout;
}

void Coordinator::OnGrantReply(std::uint64_t request) {
  for (Batch& batch : batches_) {
    const auto it = batch.requests.find(request);
    if (it == batch.requests.end()) continue;
    for (Move& move : batch.moves) {
      if (batch.stage == Stage::kWaiting && move.from == it->second) move.released = true;
      if (batch.stage == Stage::kGranting && move.kind == MoveKind::kAssign &&
          move.to == it->second) {
        move.granted = true;
      }
    }
    return;
  }
}

void Coordinator::Tick(TimePoint now, const CoordinatorView& view, TargetLeases& leases,
                       Outbox& out, OwnershipActions& actions) {
  if (!current_) return;
  if (view.newest_delegation > current_->offset) {
    Stop();
    return;
  }
  if (phase_ == CoordinatorPhase::kCollecting) {
    if (now >= next_takeover_send_) SendTakeover(now, out);
    TryFinishTakeover(now, out);
  }
  if (phase_ == CoordinatorPhase::kCollecting) return;
  if (phase_ == CoordinatorPhase::kActive) {
    UpdateLoadAverages(now);
    for (auto it = batches_.begin(); it != batches_.end();) {
      it = Advance(now, *it, view, leases, actions) ? batches_.erase(it) : std::next(it);
    }
    // A coordinator without a valid permit may have been replaced and must not start moves.
    if (now >= next_plan_ && now < view.permit_until) Plan(now, view, actions);
  }
  Replicate(now, out);
}

Coordinator::Move Coordinator::MakeMove(ShardId shard, std::uint64_t key_hash, MoveKind kind,
                                        TargetId to, const CoordinatorView& view) const {
  Move move{shard, key_hash, kind, {}, to, {}, false, false};
  const ShardEntry* entry = table_.Get(shard);
  if (entry == nullptr || entry->state == ShardState::kUnassigned) {
    move.released = true;
  } else if (entry->state == ShardState::kCommitted) {
    move.from = entry->target;
    move.released = !view.checking.contains(entry->target);
  }
  // A prepared shard belongs to an unfinished move. Several targets may hold leases on it, so it is
  // released only when all permits have expired.
  return move;
}

void Coordinator::StartInBatches(TimePoint now, const std::vector<Move>& moves) {
  for (std::size_t i = 0; i < moves.size(); i += settings_.batch_size) {
    const std::size_t end = std::min(moves.size(), i + settings_.batch_size);
    StartBatch(now, std::vector<Move>(moves.begin() + static_cast<std::ptrdiff_t>(i),
                                      moves.begin() + static_cast<std::ptrdiff_t>(end)));
  }
}

void Coordinator::StartBatch(TimePoint now, std::vector<Move> moves) {
  Batch batch;
  for (Move& move : moves) {
    move.epoch = Append({{}, ChangeKind::kPrepare, move.shard, move.key_hash, move.to, {}});
    moving_[move.shard] = move.to;
  }
  moves_started_ += moves.size();
  batch.prepared = table_.sequence();
  batch.stage_since = now;
  batch.moves = std::move(moves);
  batches_.push_back(std::move(batch));
}

bool Coordinator::HoldersApplied(Epoch sequence) const {
  for (const Member& member : current_->members) {
    const auto peer = peers_.find(member.id);
    if (peer == peers_.end() || peer->second.recorded < sequence) continue;
    for (const PermitHolder& holder : peer->second.holders) {
      const auto it = peers_.find(holder.id);
      if (it == peers_.end() || it->second.incarnation != holder.incarnation ||
          it->second.applied < sequence) {
        return false;
      }
    }
  }
  return true;
}

bool Coordinator::Advance(TimePoint now, Batch& batch, const CoordinatorView& view,
                          TargetLeases& leases, OwnershipActions& actions) {
  if (batch.stage == Stage::kPreparing && Recorded(batch.prepared)) {
    batch.stage = Stage::kWaiting;
    batch.stage_since = now;
  }
  if (batch.stage == Stage::kWaiting) AdvanceWaiting(now, batch, leases, actions);
  if (batch.stage == Stage::kGranting) AdvanceGranting(now, batch, view, leases, actions);
  if (batch.stage != Stage::kCommitting || !Recorded(batch.committed)) return false;
  for (const Move& move : batch.moves) {
    moving_.erase(move.shard);
    if (move.key_hash == 0) continue;
    const SplitAction split =
        move.kind == MoveKind::kAssign ? SplitAction::kSplit : SplitAction::kMerge;
    actions.records.emplace_back(ShardSplit{move.shard.service, move.key_hash, 0, split});
  }
  return true;
}

void Coordinator::AdvanceWaiting(TimePoint now, Batch& batch, TargetLeases& leases,
                                 OwnershipActions& actions) {
  const bool released = std::all_of(batch.moves.begin(), batch.moves.end(),
                                    [](const Move& move) { return move.released; });
  const bool all_applied = now >= older_permits_expire_at_ && HoldersApplied(batch.prepared);
  const bool expired = now >= batch.stage_since + settings_.PermitWait();
  if (expired || (released && all_applied) || !settings_.wait_for_permits) {
    batch.stage = Stage::kGranting;
    batch.stage_since = now;
    batch.next_send = TimePoint{};
    batch.requests.clear();
    return;
  }
  if (!released && now >= batch.next_send) SendRelease(now, batch, leases, actions);
}

void Coordinator::SendRelease(TimePoint now, Batch& batch, TargetLeases& leases,
                              OwnershipActions& actions) {
  batch.next_send = now + settings_.resend_interval;
  std::unordered_map<TargetId, std::vector<std::pair<ShardId, Epoch>>> shards;
  for (const Move& move : batch.moves) {
    if (move.released || move.from.value == 0 || IsLost(move.from, now)) continue;
    shards[move.from].emplace_back(move.shard, move.epoch);
  }
  for (const auto& [target, list] : shards) {
    GrantRequest request = leases.Release(now, target, list);
    batch.requests.emplace(request.request, target);
    actions.grants.push_back(std::move(request));
  }
}

void Coordinator::AdvanceGranting(TimePoint now, Batch& batch, const CoordinatorView& view,
                                  TargetLeases& leases, OwnershipActions& actions) {
  bool waits_for_log = false;
  for (Move& move : batch.moves) {
    if (move.kind == MoveKind::kMerge) move.granted = true;
    if (move.kind == MoveKind::kAssign && !view.checking.contains(move.to)) move.granted = true;
    if (move.kind != MoveKind::kRelease) continue;
    if (view.homes.Home(move.shard).holder() != data_centre_) move.granted = true;
    waits_for_log = waits_for_log || !move.granted;
  }
  const bool all = std::all_of(batch.moves.begin(), batch.moves.end(),
                               [](const Move& move) { return move.granted; });
  if (all) {
    Commit(now, batch, view, actions);
    return;
  }
  if (now >= batch.next_send) {
    batch.next_send = now + settings_.resend_interval;
    SendGrants(now, batch, view, leases, actions);
    EmitRelease(now, batch, view, actions);
  }
  if (waits_for_log || now - batch.stage_since < settings_.grant_timeout) return;
  // Shards without a grant stay prepared, and the next plan assigns them again.
  std::erase_if(batch.moves, [this](const Move& move) {
    if (!move.granted) moving_.erase(move.shard);
    return !move.granted;
  });
  Commit(now, batch, view, actions);
}

void Coordinator::SendGrants(TimePoint now, Batch& batch, const CoordinatorView& view,
                             TargetLeases& leases, OwnershipActions& actions) {
  // The lease must not outlast the permit, so that a replaced coordinator cannot extend it.
  const TimePoint ends_at = std::min(view.permit_until, now + settings_.permit_duration);
  if (now >= ends_at) return;
  const auto isolated = [&](ServiceId id) {
    return std::any_of(view.config.services.begin(), view.config.services.end(),
                       [&](const ServiceConfig& service) {
                         return service.id == id && IsIsolated(now, service, view.log_contact);
                       });
  };
  std::unordered_map<TargetId, std::vector<std::pair<ShardId, Epoch>>> shards;
  for (const Move& move : batch.moves) {
    if (move.granted || move.kind != MoveKind::kAssign) continue;
    if (isolated(move.shard.service)) continue;
    shards[move.to].emplace_back(move.shard, move.epoch);
  }
  for (const auto& [target, list] : shards) {
    GrantRequest request = leases.Extend(now, ends_at, target, list);
    // A clock reading grants nothing. Once its response has arrived, the next attempt sends grants.
    if (!request.grants.empty()) batch.requests.emplace(request.request, target);
    actions.grants.push_back(std::move(request));
  }
}

void Coordinator::EmitRelease(TimePoint now, Batch& batch, const CoordinatorView& view,
                              OwnershipActions& actions) {
  AssignmentBatch record{data_centre_, current_->offset, {}};
  for (const Move& move : batch.moves) {
    if (move.kind != MoveKind::kRelease || move.granted) continue;
    record.moves.push_back({move.shard, TargetId{}, move.epoch});
  }
  if (record.moves.empty() || now - view.log_contact > kMaxLogContactAge) return;
  batch.next_send = now + settings_.delegation_record_time;
  actions.records.emplace_back(std::move(record));
}

void Coordinator::Commit(TimePoint now, Batch& batch, const CoordinatorView& /*view*/,
                         OwnershipActions& /*actions*/) {
  for (const Move& move : batch.moves) {
    const ChangeKind kind =
        move.kind == MoveKind::kAssign ? ChangeKind::kCommit : ChangeKind::kDrop;
    Append({{}, kind, move.shard, move.key_hash, move.to, move.epoch});
  }
  batch.committed = table_.sequence();
  batch.stage = Stage::kCommitting;
  batch.stage_since = now;
}

void Coordinator::RemoveInactivePeers() {
  std::unordered_set<InstanceId> retained;
  for (const Member& member : current_->members) retained.insert(member.id);
  for (const auto& [id, peer] : peers_) {
    for (const PermitHolder& holder : peer.holders) retained.insert(holder.id);
  }
  std::erase_if(peers_, [&retained](const auto& item) { return !retained.contains(item.first); });
}

std::size_t Coordinator::MemoryBytes() const noexcept {
  std::size_t bytes = table_.MemoryBytes() + changes_.size() * sizeof(ShardChange) +
                      peers_.size() * sizeof(Peer) + health_.size() * sizeof(TargetHealth) +
                      recorded_.size() * (sizeof(Assignment) + sizeof(ShardId));
  for (const auto& [id, peer] : peers_) bytes += peer.holders.capacity() * sizeof(PermitHolder);
  for (const Batch& batch : batches_) bytes += batch.moves.capacity() * sizeof(Move);
  for (const auto& [id, load] : loads_) {
    bytes += (load.keys.size() + load.shards.size()) * sizeof(std::pair<std::uint64_t, double>);
    bytes += load.desired.capacity() * sizeof(DataCentreId);
  }
  return bytes;
}

}  // namespace dogwoodport
