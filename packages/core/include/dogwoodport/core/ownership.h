#pragma once

/// @file
/// Exclusive ownership of keys as seen by one instance: permit, vote, coordination and look-up.

#include <cstdint>
#include <map>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include "dogwoodport/core/config.h"
#include "dogwoodport/core/coordinator.h"
#include "dogwoodport/core/hot_keys.h"
#include "dogwoodport/core/message.h"
#include "dogwoodport/core/ownership_settings.h"
#include "dogwoodport/core/permit.h"
#include "dogwoodport/core/permit_group.h"
#include "dogwoodport/core/shard_map.h"
#include "dogwoodport/core/target_leases.h"

namespace dogwoodport {

/// The owner of the key is a target in this data centre. The deadline of the request must not be
/// later than `permit_expires_at`.
struct LocalOwner {
  ShardId shard;
  TargetId target;
  Epoch epoch;
  TimePoint permit_expires_at;
};

/// The key is served by the instances of another data centre.
struct RemoteHome {
  DataCentreId data_centre;
};

/// Reason why a key cannot currently be served.
enum class NoOwnerReason : std::uint8_t {
  kUnknownService,
  /// No data centre holds the shard.
  kNoHome,
  /// The shard's home was declared lost or yielded, and no other has claimed it yet.
  kHomeLost,
  /// This data centre was declared lost.
  kDeclaredLost,
  /// This data centre has been without contact with the log for longer than the bound of the
  /// service.
  kIsolated,
  /// The permit of this instance is not valid.
  kNoPermit,
  /// The shard is being moved.
  kMoving,
  /// The shard has no assignment in this data centre.
  kUnassigned,
};

/// Returns the name of a reason for logs and metrics, e.g. "no_permit".
std::string_view ToString(NoOwnerReason reason) noexcept;

/// The key must not be served now. The request has not been executed.
struct NoOwner {
  NoOwnerReason reason = NoOwnerReason::kUnassigned;
};

/// Result of a look-up: where a request for a key may be sent.
using Owner = std::variant<LocalOwner, RemoteHome, NoOwner>;

/// Ownership subsystem of one instance. No call blocks. The caller must collect actions with
/// `TakeActions` after each call that takes an outbox.
///
/// @code
/// ownership.Tick(now, out);
/// const Owner owner = ownership.FindOwner(now, service, "ledger-17");
/// if (const auto* local = std::get_if<LocalOwner>(&owner)) {
///   if (ownership.MayWrite(now_before_write, *local)) ...
/// }
/// @endcode
class Ownership {
 public:
  /// Throws `OwnershipSettingsError` if the settings are unsafe, unless `test_settings` is set.
  Ownership(InstanceId self, Incarnation incarnation, DataCentreId data_centre,
            OwnershipSettings settings = {}, bool test_settings = false);

  Ownership(const Ownership&) = delete;
  Ownership& operator=(const Ownership&) = delete;

  /// Handles one of `OwnershipMessages`; other messages are ignored.
  void OnMessage(TimePoint now, InstanceId from, const Message& message, Outbox& out);

  /// Runs the work that is due: permit renewals, takeovers, moves, load reports and lease renewals.
  /// Must be called every 10 to 50 ms. Complexity: linear in the shards of the data centre on the
  /// coordinator, and on a member that renews leases because the coordinator has timed out;
  /// otherwise constant.
  void Tick(TimePoint now, Outbox& out);

  /// Adds a delegation of any data centre; called in log order. A new instance must receive all
  /// delegations since the latest one that an `AssignmentBatch` names, oldest first.
  void OnDelegation(TimePoint now, const Delegation& delegation, Outbox& out);

  /// Applies an accepted configuration. Complexity: linear in its size.
  void OnConfig(TimePoint now, Config config);

  /// Applies the recorded state of a data centre.
  void OnDataCentreState(TimePoint now, DataCentreId data_centre, DataCentreState state);

  /// Records whether a target is draining.
  void OnTargetState(TimePoint now, TargetId target, bool draining);

  /// Applies a recorded batch; called in log order. Batches of a delegation that has been replaced
  /// are ignored.
  void OnAssignments(TimePoint now, const AssignmentBatch& record);

  /// Sets the homes of the shards of a snapshot without checking their previous homes.
  void RestoreAssignments(DataCentreId data_centre, const std::vector<Assignment>& assignments);

  /// Records that a read that started at `contact` reached the end of the log.
  void OnLogContact(TimePoint contact) noexcept;

  /// Records that an operator declared a majority of the group of the delegation at `offset` lost.
  void OnGroupLost(TimePoint now, std::uint64_t offset, Outbox& out);

  /// Processes the outcome of a probe or request.
  void OnTargetReport(TimePoint now, const TargetReport& report);

  /// Processes the response of a target to a `GrantRequest`.
  void OnGrantReply(TimePoint now, const GrantReply& reply);

  /// Returns the owner of a key. Allocates nothing. Complexity: linear in the length of the key,
  /// logarithmic in the numbers of services and single-key shards.
  Owner FindOwner(TimePoint now, ServiceId service, std::string_view key) const noexcept;

  /// As `FindOwner`, for a key hashed with `HashKey`.
  Owner FindOwnerByHash(TimePoint now, ServiceId service, std::uint64_t key_hash) const noexcept;

  /// Returns whether a request for which `owner` was found may still be written. Must be called
  /// directly before the write, with the time of the write. Complexity: as `FindOwner`.
  bool MayWrite(TimePoint now, const LocalOwner& owner) const noexcept;

  /// Records that the request is being written. A move of its shard is acknowledged only after the
  /// request has ended.
  void OnRequestStarted(const LocalOwner& owner);

  /// Records that the request does not run after `until`; see `OwnedRequests::End`.
  void OnRequestEnded(const LocalOwner& owner, TimePoint until);

  /// Counts a request for the detection of hot keys and load imbalance.
  void CountRequest(ServiceId service, std::uint64_t key_hash, ShardId shard);

  /// Returns the grants to be sent to targets and the records to be appended, and clears both
  /// lists.
  OwnershipActions TakeActions() { return std::exchange(actions_, {}); }

  /// Drops the permit at shutdown.
  void Shutdown();

  const Permit& permit() const noexcept { return permit_; }
  const Coordinator& coordinator() const noexcept { return coordinator_; }
  const Config& config() const noexcept { return config_; }
  const HomeMap& homes() const noexcept { return homes_; }

  /// Newest delegation of this data centre, or null if none has been received.
  const Delegation* delegation() const noexcept { return permit_.newest(); }

  /// Returns the approximate memory use in bytes. Complexity: linear in the number of services and
  /// groups.
  std::size_t MemoryBytes() const noexcept;

 private:
  struct ServiceCounts {
    HotKeySketch keys;
    std::unordered_map<std::uint32_t, std::uint64_t> shards;
  };

  void Dispatch(TimePoint now, InstanceId from, const Message& message, Outbox& out);
  /// Delivers messages addressed to this instance and appends the others to `out`.
  void Flush(TimePoint now, Outbox& local, Outbox& out);
  PermitGroup& GroupOf(DataCentreId data_centre);
  void Acknowledge(TimePoint now, InstanceId to, DataCentreId data_centre, std::uint64_t delegation,
                   Outbox& out);
  void RenewLeases(TimePoint now);
  void ReportLoad(TimePoint now, Outbox& out);
  bool MayHold(DataCentreId home, ServiceId service) const;
  /// Returns whether this data centre holds the shard and is not isolated.
  bool MayServe(TimePoint now, ShardId shard, std::uint64_t key_hash) const;
  NoOwnerReason UnservedReason(ShardState state) const noexcept;
  const ServiceConfig* FindService(ServiceId id) const noexcept;

  template <typename Handler>
  void Run(TimePoint now, Outbox& out, Handler&& handler);

  InstanceId self_;
  Incarnation incarnation_;
  DataCentreId data_centre_;
  OwnershipSettings settings_;
  Config config_;
  std::unordered_map<ServiceId, std::size_t> service_index_;
  std::unordered_set<TargetId> checking_targets_;
  HomeMap homes_;
  std::unordered_map<DataCentreId, CoordinatorView::DataCentreEntry> data_centres_;
  std::unordered_map<DataCentreId, std::uint64_t> newest_delegation_;
  std::unordered_set<TargetId> draining_;
  Permit permit_;
  std::map<DataCentreId, PermitGroup> groups_;
  Coordinator coordinator_;
  TargetLeases leases_;
  OwnershipActions actions_;
  std::unordered_map<ServiceId, ServiceCounts> counts_;
  TimePoint last_tick_{};
  TimePoint log_contact_{};
  TimePoint coordinator_seen_at_{};
  TimePoint next_lease_renewal_{};
  TimePoint next_load_report_{};
};

}  // namespace dogwoodport
