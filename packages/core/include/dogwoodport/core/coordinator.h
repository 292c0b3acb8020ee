#pragma once

/// @file
/// Coordinator of a data centre: takes over from older permit groups and moves shards.

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include "dogwoodport/core/config.h"
#include "dogwoodport/core/hot_keys.h"
#include "dogwoodport/core/message.h"
#include "dogwoodport/core/ownership_settings.h"
#include "dogwoodport/core/placement.h"
#include "dogwoodport/core/record.h"
#include "dogwoodport/core/shard_map.h"
#include "dogwoodport/core/target_leases.h"

namespace dogwoodport {

/// Body of a record that the caller must append to the log. In an `AssignmentBatch`, a move to
/// target 0 releases the shard, and a move of a shard whose home is unset or lost claims the shard;
/// an empty batch records that the coordinator of the delegation is active. A `ShardSplit` serves
/// the audit only, because the permit group decides on splits; the caller fills in the expected
/// version.
using OwnershipRecord = std::variant<AssignmentBatch, ShardSplit>;

/// Work for the caller of the coordinator in addition to the messages in the outbox.
struct OwnershipActions {
  std::vector<GrantRequest> grants;
  std::vector<OwnershipRecord> records;
};

/// Outcome of a probe of, or a request to, a target.
struct TargetReport {
  TargetId target;
  bool success = false;
};

/// State of the instance that the coordinator reads but does not own. It is determined by other
/// subsystems or by the log.
struct CoordinatorView {
  const Config& config;
  const HomeMap& homes;
  /// State of a data centre and the time at which this instance received it.
  struct DataCentreEntry {
    DataCentreState state = DataCentreState::kInService;
    TimePoint since{};
  };
  const std::unordered_map<DataCentreId, DataCentreEntry>& data_centres;
  const std::unordered_set<TargetId>& draining;
  /// Targets that check grants.
  const std::unordered_set<TargetId>& checking;
  /// Expiry of the instance's own permit, which limits the leases that it grants.
  TimePoint permit_until;
  /// Offset of the newest delegation that the permit has received, possibly from a member before
  /// the log was read. A replaced coordinator must not grant leases that are backed by a permit
  /// under a newer delegation.
  std::uint64_t newest_delegation = 0;
  /// Start time of the latest read that reached the end of the log.
  TimePoint log_contact{};
};

/// Maximum time since the log was read up to its end for it to count as reachable. Moves between
/// data centres require the log. Moves for balance are postponed while it is unreachable as well:
/// if the coordinator is lost during a move, the shard has no owner until a record names a new
/// coordinator.
inline constexpr Duration kMaxLogContactAge{2'000'000};

/// Returns whether the data centre has been without contact with the log for longer than the policy
/// of the service allows, so that its instances must stop serving it. Complexity: constant.
bool IsIsolated(TimePoint now, const ServiceConfig& service, TimePoint log_contact) noexcept;

/// Phase of a coordinator, from the start of a takeover until it plans and carries out moves.
enum class CoordinatorPhase : std::uint8_t { kInactive, kCollecting, kInstalling, kActive };

/// Carries out takeovers and shard moves. Each instance has one object. It is active only while the
/// newest delegation of the data centre names this instance and incarnation as coordinator.
class Coordinator {
 public:
  /// `settings` must outlive the coordinator.
  Coordinator(DataCentreId data_centre, InstanceId self, Incarnation incarnation,
              const OwnershipSettings& settings)
      : data_centre_(data_centre), self_(self), incarnation_(incarnation), settings_(settings) {}

  /// Adds a delegation of the data centre; called in log order. Older delegations are kept until
  /// `OnActivated`, because a takeover collects the table from their members.
  void OnDelegation(TimePoint now, const Delegation& delegation, Outbox& out);

  /// Records that, according to the log, the delegation at `offset` has completed its takeover.
  void OnActivated(std::uint64_t offset);

  /// Records that an operator declared the members of the delegation at `offset` lost. The takeover
  /// then continues without their majority, from the recorded assignments, once all permits have
  /// expired.
  void OnGroupLost(TimePoint now, std::uint64_t offset, Outbox& out);

  /// Stores assignments of this data centre that have been recorded in the log.
  void OnRecorded(const std::vector<Assignment>& moves);

  void OnMessage(TimePoint now, InstanceId from, const TakeoverReply& reply, Outbox& out);
  void OnMessage(TimePoint now, InstanceId from, const ReplicateAck& ack, Outbox& out);
  void OnMessage(TimePoint now, InstanceId from, const ShardLoadReport& report);

  /// Updates the health of a target.
  void OnTargetReport(TimePoint now, const TargetReport& report);

  /// Records that a target has processed the grant request `request`.
  void OnGrantReply(std::uint64_t request);

  /// Advances the takeover and the batches, and plans moves. Complexity: linear in the shards and
  /// targets of the data centre if a plan is due, otherwise in the open batches and the peers.
  void Tick(TimePoint now, const CoordinatorView& view, TargetLeases& leases, Outbox& out,
            OwnershipActions& actions);

  /// Restarts the loss timeout of all targets after a pause in which no reports were processed.
  void OnPause(TimePoint now);

  CoordinatorPhase phase() const noexcept { return phase_; }

  /// Number of moves that have not been committed.
  std::size_t open_moves() const noexcept { return moving_.size(); }

  /// Total number of moves started.
  std::uint64_t moves_started() const noexcept { return moves_started_; }

  /// Returns the sequence up to which a majority of the group has recorded the table. Complexity:
  /// O(n log n) in the size of the group.
  Epoch MajorityRecorded() const;

  const ShardMap& table() const noexcept { return table_; }

  /// Returns the approximate memory use in bytes. Complexity: linear in the open batches, peers and
  /// services.
  std::size_t MemoryBytes() const noexcept;

 private:
  enum class MoveKind : std::uint8_t { kAssign, kMerge, kRelease };
  struct Move {
    ShardId shard;
    std::uint64_t key_hash = 0;
    MoveKind kind = MoveKind::kAssign;
    TargetId from;
    TargetId to;
    Epoch epoch;
    /// Whether the shard can move before permits and leases expire: the previous owner released it
    /// or does not check grants, or there was none.
    bool released = false;
    bool granted = false;
  };
  enum class Stage : std::uint8_t { kPreparing, kWaiting, kGranting, kCommitting };
  struct Batch {
    std::vector<Move> moves;
    Epoch prepared;
    Epoch committed;
    Stage stage = Stage::kPreparing;
    TimePoint stage_since{};
    TimePoint next_send{};
    /// Grant requests sent in the current stage, with their targets.
    std::map<std::uint64_t, TargetId> requests;
  };
  struct Peer {
    Incarnation incarnation;
    Epoch recorded;
    Epoch applied;
    Epoch sent;
    /// Sequence that the peer had confirmed when the latest attempt to reach it was made.
    Epoch known_at_send;
    TimePoint next_send{};
    Duration interval{};
    std::vector<PermitHolder> holders;
  };
  struct TargetHealth {
    TimePoint last_success{};
    TimePoint last_failure{};
  };
  struct ServiceLoad {
    HotKeyPlanner planner;
    Placement placement;
    std::unordered_map<std::uint64_t, double> keys;
    std::unordered_map<std::uint64_t, double> shards;
    double total = 0;
    double reported = 0;
    std::vector<ShardLoadReport> window;
    /// Desired home of each hash shard, cached until the candidates change.
    std::vector<DataCentreId> candidates;
    std::vector<DataCentreId> desired;
    /// Inputs of the latest plan.
    std::vector<TargetId> planned_targets;
    Epoch planned_sequence;
    std::uint64_t planned_homes = 0;
    TimePoint next_full_plan{};
  };
  struct Child {
    ShardId shard;
    std::uint64_t key_hash = 0;
  };

  void Stop();
  void StartTakeover(TimePoint now, Outbox& out);
  void SendTakeover(TimePoint now, Outbox& out);
  void TryFinishTakeover(TimePoint now, Outbox& out);
  bool CollectTable(std::vector<ShardChange>& entries) const;
  std::vector<ShardChange> RecordedEntries() const;
  void Install(TimePoint now, const std::vector<ShardChange>& entries, Outbox& out);
  void TryActivate(TimePoint now);

  Epoch NextEpoch() noexcept { return Epoch{current_->offset, ++counter_}; }
  Epoch Append(ShardChange change);
  void Replicate(TimePoint now, Outbox& out);
  void SendTo(TimePoint now, InstanceId id, Peer& peer, Outbox& out);

  Move MakeMove(ShardId shard, std::uint64_t key_hash, MoveKind kind, TargetId to,
                const CoordinatorView& view) const;
  void StartBatch(TimePoint now, std::vector<Move> moves);
  void StartInBatches(TimePoint now, const std::vector<Move>& moves);
  bool Advance(TimePoint now, Batch& batch, const CoordinatorView& view, TargetLeases& leases,
               OwnershipActions& actions);
  void AdvanceWaiting(TimePoint now, Batch& batch, TargetLeases& leases, OwnershipActions& actions);
  void AdvanceGranting(TimePoint now, Batch& batch, const CoordinatorView& view,
                       TargetLeases& leases, OwnershipActions& actions);
  bool HoldersApplied(Epoch sequence) const;
  /// Removes peers that are not members of the group and no longer hold a permit.
  void RemoveInactivePeers();
  bool Recorded(Epoch sequence) const { return MajorityRecorded() >= sequence; }
  void Commit(TimePoint now, Batch& batch, const CoordinatorView& view, OwnershipActions& actions);
  void SendRelease(TimePoint now, Batch& batch, TargetLeases& leases, OwnershipActions& actions);
  void SendGrants(TimePoint now, Batch& batch, const CoordinatorView& view, TargetLeases& leases,
                  OwnershipActions& actions);
  void EmitRelease(TimePoint now, Batch& batch, const CoordinatorView& view,
                   OwnershipActions& actions);

  void Plan(TimePoint now, const CoordinatorView& view, OwnershipActions& actions);
  void PlanService(TimePoint now, const ServiceConfig& service, const CoordinatorView& view,
                   OwnershipActions& actions);
  /// Returns whether the inputs of a plan may have changed since the latest one, and stores them if
  /// so.
  bool NeedsPlan(TimePoint now, const ServiceConfig& service, const CoordinatorView& view,
                 ServiceLoad& load) const;
  void PlanHomes(TimePoint now, const ServiceConfig& service, const CoordinatorView& view,
                 OwnershipActions& actions);
  void DropShardsHomedElsewhere(const ServiceConfig& service, const CoordinatorView& view);
  void PlanTargets(TimePoint now, const ServiceConfig& service, const CoordinatorView& view,
                   ServiceLoad& load);
  void PlanHotKeys(TimePoint now, const ServiceConfig& service, const CoordinatorView& view,
                   ServiceLoad& load, OwnershipActions& actions);
  const std::vector<DataCentreId>& DesiredHomes(const ServiceConfig& service,
                                                const CoordinatorView& view);
  std::unordered_map<std::uint32_t, std::vector<Child>> ChildrenOf(
      const ServiceConfig& service) const;
  void PlanReleases(TimePoint now, const ServiceConfig& service,
                    const std::vector<std::uint32_t>& leaving, const CoordinatorView& view);
  void EmitClaims(TimePoint now, const ServiceConfig& service,
                  const std::vector<std::uint32_t>& claims, const CoordinatorView& view,
                  OwnershipActions& actions);
  std::vector<PlacementTarget> UsableTargets(TimePoint now, ServiceId service,
                                             const CoordinatorView& view) const;
  std::vector<PlacementShard> PlacementShards(const ServiceConfig& service,
                                              const CoordinatorView& view,
                                              const ServiceLoad& load) const;
  void UpdateLoadAverages(TimePoint now);
  bool Claimable(TimePoint now, const ServiceConfig& service, DataCentreId home,
                 const CoordinatorView& view) const;
  bool IsLost(TargetId target, TimePoint now) const;
  void EmitUnrecorded(TimePoint now, const CoordinatorView& view, OwnershipActions& actions);

  DataCentreId data_centre_;
  InstanceId self_;
  Incarnation incarnation_;
  const OwnershipSettings& settings_;
  std::vector<Delegation> delegations_;
  std::unordered_set<std::uint64_t> lost_groups_;
  std::optional<Delegation> current_;
  CoordinatorPhase phase_ = CoordinatorPhase::kInactive;
  std::map<InstanceId, TakeoverReply> replies_;
  TimePoint next_takeover_send_{};
  /// Earliest end of the takeover, because permits of a lost group may be valid until then.
  TimePoint takeover_not_before_{};
  /// Time by which all permits of older delegations have expired.
  TimePoint older_permits_expire_at_{};
  TimePoint active_since_{};
  ShardMap table_;
  std::deque<ShardChange> changes_;
  Epoch changes_base_;
  std::uint64_t counter_ = 0;
  std::map<InstanceId, Peer> peers_;
  std::deque<Batch> batches_;
  std::unordered_map<ShardId, TargetId> moving_;
  std::uint64_t moves_started_ = 0;
  std::uint32_t next_single_key_ = kFirstSingleKeyShard;
  std::unordered_map<TargetId, TargetHealth> health_;
  std::unordered_map<ServiceId, ServiceLoad> loads_;
  std::unordered_map<ShardId, Assignment> recorded_;
  TimePoint next_plan_{};
  TimePoint next_load_update_{};
  /// Time of the latest claim of each shard.
  std::unordered_map<ShardId, TimePoint> last_claims_;
  TimePoint next_record_{};
  bool activation_recorded_ = false;
};

/// Returns the data centre that should hold a shard, chosen by rendezvous hashing over
/// `candidates`; zero if there are none. Complexity: linear in the candidates.
DataCentreId DesiredHome(ShardId shard, const std::vector<DataCentreId>& candidates) noexcept;

/// Returns the data centres in service that have targets of the service. Complexity: product of
/// data centres and targets.
std::vector<DataCentreId> HomeCandidates(const ServiceConfig& service, const CoordinatorView& view);

}  // namespace dogwoodport
