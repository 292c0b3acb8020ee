#pragma once

/// @file
/// The coordinator of a data centre: takes over from older groups and moves shards.

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

/// A body that the ownership system asks its caller to append to the log. An `AssignmentBatch` with
/// a move to target 0 releases the shard; a move of a shard without home, or whose home was lost,
/// claims it; an empty batch says that the delegation's coordinator is active. A `ShardSplit` is
/// for the audit only, as the permit group decides on splits; the caller fills in the expected
/// version.
using OwnershipRecord = std::variant<AssignmentBatch, ShardSplit>;

/// What a coordinator asks its caller to do, beside sending messages.
struct OwnershipActions {
  std::vector<GrantRequest> grants;
  std::vector<OwnershipRecord> records;
};

/// Result of a probe of a target or of a request to it.
struct TargetReport {
  TargetId target;
  bool success = false;
};

/// What the coordinator reads of its instance: state that other systems or the log determine.
struct CoordinatorView {
  const Config& config;
  const HomeMap& homes;
  /// State of each data centre and when this instance read it.
  struct DataCentreEntry {
    DataCentreState state = DataCentreState::kInService;
    TimePoint since{};
  };
  const std::unordered_map<DataCentreId, DataCentreEntry>& data_centres;
  const std::unordered_set<TargetId>& draining;
  /// Targets that check grants.
  const std::unordered_set<TargetId>& checking;
  /// End of the instance's own permit, which bounds the leases that it grants.
  TimePoint permit_until;
  /// Whether the log was read a short while ago; moves between data centres need it.
  bool log_reachable = false;
};

/// State of a coordinator.
enum class CoordinatorPhase : std::uint8_t { kInactive, kCollecting, kInstalling, kActive };

/// Drives takeovers and moves. One object per instance; it is active only while the newest
/// delegation of its data centre names the instance and its incarnation.
class Coordinator {
 public:
  /// `settings` must outlive the coordinator.
  Coordinator(DataCentreId data_centre, InstanceId self, Incarnation incarnation,
              const OwnershipSettings& settings)
      : data_centre_(data_centre), self_(self), incarnation_(incarnation), settings_(settings) {}

  /// Learns of a delegation of the data centre, in the order of the log. Older ones are kept until
  /// `OnActivated`, because a takeover reads from them.
  void OnDelegation(TimePoint now, const Delegation& delegation, Outbox& out);

  /// Learns from the log that the delegation at `offset` took over.
  void OnActivated(std::uint64_t offset);

  /// An operator declares that the members of the delegation at `offset` are gone. The takeover
  /// then goes on without their majority, from the recorded assignments, after all permits have
  /// expired.
  void OnGroupLost(TimePoint now, std::uint64_t offset, Outbox& out);

  /// Learns of recorded assignments of this data centre.
  void OnRecorded(const std::vector<Assignment>& moves);

  void OnMessage(TimePoint now, InstanceId from, const TakeoverReply& reply, Outbox& out);
  void OnMessage(TimePoint now, InstanceId from, const ReplicateAck& ack, Outbox& out);
  void OnMessage(TimePoint now, InstanceId from, const ShardLoadReport& report);

  /// Learns the result of a probe.
  void OnTargetReport(TimePoint now, const TargetReport& report);

  /// Learns that a target processed the request `request`.
  void OnGrantReply(std::uint64_t request);

  /// Advances takeover, batches and plans. Complexity: linear in shards and targets of the data
  /// centre when a plan is due, else in the open batches and followers.
  void Tick(TimePoint now, const CoordinatorView& view, TargetLeases& leases, Outbox& out,
            OwnershipActions& actions);

  /// Forgets when targets answered, after a pause in which no reports were processed.
  void OnPause(TimePoint now);

  CoordinatorPhase phase() const noexcept { return phase_; }

  /// Number of moves that are not committed yet.
  std::size_t open_moves() const noexcept { return moving_.size(); }

  /// Moves started so far.
  std::uint64_t moves_started() const noexcept { return moves_started_; }

  /// Sequence that a majority of the group has recorded. Complexity: linear in the group.
  Epoch MajorityRecorded() const;

  const ShardMap& table() const noexcept { return table_; }

  /// Bytes of the state. Complexity: linear in the open batches.
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
    /// True once the old owner can no longer serve the shard for reasons other than time.
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
    /// Grant requests of the current stage.
    std::map<std::uint64_t, TargetId> requests;
  };
  struct Peer {
    Incarnation incarnation;
    Epoch recorded;
    Epoch applied;
    Epoch sent;
    /// What the peer knew at the last attempt to reach it.
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
    /// Desired home of each hash shard, kept while the candidates stay the same.
    std::vector<DataCentreId> candidates;
    std::vector<DataCentreId> desired;
  };
  struct Child {
    ShardId shard;
    std::uint64_t key_hash = 0;
  };

  void Stop();
  void StartTakeover(TimePoint now, Outbox& out);
  void SendTakeover(TimePoint now, Outbox& out);
  void TryFinishTakeover(TimePoint now, Outbox& out);
  bool CollectBase(std::vector<ShardChange>& entries) const;
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
  /// Removes peers that neither vote nor hold a permit any more.
  void ForgetFollowers();
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
  void PlanHomes(TimePoint now, const ServiceConfig& service, const CoordinatorView& view,
                 OwnershipActions& actions);
  void DropForeign(const ServiceConfig& service, const CoordinatorView& view);
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
  void RollLoad(TimePoint now);
  bool Claimable(TimePoint now, const ServiceConfig& service, DataCentreId home,
                 const CoordinatorView& view) const;
  bool Lost(TargetId target, TimePoint now) const;
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
  /// The takeover must not finish earlier, because permits of a lost group may still be valid.
  TimePoint takeover_not_before_{};
  /// From here on no permit of an older delegation is valid.
  TimePoint old_permits_end_{};
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
  TimePoint next_load_roll_{};
  /// When a claim of a shard was last emitted.
  std::unordered_map<ShardId, TimePoint> claimed_;
  TimePoint next_record_{};
  bool activation_recorded_ = false;
};

/// Returns the data centre that should hold a shard: rendezvous hashing over the data centres in
/// service that have targets of the service; zero if there is none. Complexity: product of data
/// centres and targets.
DataCentreId DesiredHome(ShardId shard, const std::vector<DataCentreId>& candidates) noexcept;

/// Returns the data centres in service that have targets of the service.
std::vector<DataCentreId> HomeCandidates(const ServiceConfig& service, const CoordinatorView& view);

}  // namespace dogwoodport
