#pragma once

/// @file
/// Sole ownership of keys, as one instance sees it: permit, vote, coordination and look-up.

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

/// The key's owner is a target of this data centre. The request's deadline must not be later than
/// the permit's end.
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

/// Why a key has no owner at the moment.
enum class NoOwnerReason : std::uint8_t {
  kUnknownService,
  /// No data centre holds the shard.
  kNoHome,
  /// The shard's home was declared lost or yielded, and no other has claimed it yet.
  kHomeLost,
  /// This data centre was declared lost.
  kDeclaredLost,
  /// This data centre had no contact with the log for longer than the service's bound.
  kIsolated,
  /// The instance's permit is not valid.
  kNoPermit,
  /// The shard is being moved.
  kMoving,
  /// The shard was never assigned.
  kUnassigned,
};

/// Returns the reason in the form used in logs and metrics, e.g. "no_permit".
std::string_view ToString(NoOwnerReason reason) noexcept;

/// The key must not be served now; the request was not run.
struct NoOwner {
  NoOwnerReason reason = NoOwnerReason::kUnassigned;
};

/// Where a request for a key may go.
using Owner = std::variant<LocalOwner, RemoteHome, NoOwner>;

/// The ownership system of one instance. No call blocks; actions are taken with `TakeActions` after
/// each call that has an outbox.
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

  /// Advances everything that depends on time. Call it every 10 to 50 ms. Complexity: linear in the
  /// shards of the data centre in the coordinator, else constant, but for leases when it is silent.
  void Tick(TimePoint now, Outbox& out);

  /// Learns of a delegation of any data centre, in the order of the log. A new instance must get
  /// all delegations since the last one that an `AssignmentBatch` names, oldest first.
  void OnDelegation(TimePoint now, const Delegation& delegation, Outbox& out);

  /// Learns of an accepted configuration. Complexity: linear in its size.
  void OnConfig(TimePoint now, Config config);

  /// Learns of the recorded state of a data centre.
  void OnDataCentreState(TimePoint now, DataCentreId data_centre, DataCentreState state);

  /// Learns whether a target is leaving.
  void OnTargetState(TimePoint now, TargetId target, bool draining);

  /// Learns of a recorded batch, in the order of the log.
  void OnAssignments(TimePoint now, const AssignmentBatch& record);

  /// Sets the home of the shards of a snapshot without checking what they were before.
  void RestoreAssignments(DataCentreId data_centre, const std::vector<Assignment>& assignments);

  /// Learns that the log was read up to its end by a read that began at `contact`.
  void OnLogContact(TimePoint contact) noexcept;

  /// An operator declares that a majority of the group of the delegation at `offset` is gone.
  void OnGroupLost(TimePoint now, std::uint64_t offset, Outbox& out);

  /// Learns the result of a probe or request.
  void OnTargetReport(TimePoint now, const TargetReport& report);

  /// Learns a target's answer to a `GrantRequest`.
  void OnGrantReply(TimePoint now, const GrantReply& reply);

  /// Returns the owner of a key. Allocates nothing. Complexity: linear in the length of the key,
  /// logarithmic in the numbers of services and single-key shards.
  Owner FindOwner(TimePoint now, ServiceId service, std::string_view key) const noexcept;

  /// As `FindOwner`, for a key hashed with `HashKey`.
  Owner FindOwnerByHash(TimePoint now, ServiceId service, std::uint64_t key_hash) const noexcept;

  /// Returns whether a request for which `owner` was found may still be written. Call it directly
  /// before the write with the time of the write. Complexity: as `FindOwner`.
  bool MayWrite(TimePoint now, const LocalOwner& owner) const noexcept;

  /// The request is being written: a move of its shard is acknowledged only after it has ended.
  void OnRequestStarted(const LocalOwner& owner);

  /// The request no longer runs from `until` on; see `OwnedRequests::End`.
  void OnRequestEnded(const LocalOwner& owner, TimePoint until);

  /// Counts a request for the detection of hot keys and of imbalance.
  void CountRequest(ServiceId service, std::uint64_t key_hash, ShardId shard);

  /// Removes and returns the grants to send to targets and the records to append.
  OwnershipActions TakeActions() { return std::exchange(actions_, {}); }

  /// Gives up the permit at shutdown.
  void Shutdown();

  const Permit& permit() const noexcept { return permit_; }
  const Coordinator& coordinator() const noexcept { return coordinator_; }
  const Config& config() const noexcept { return config_; }
  const HomeMap& homes() const noexcept { return homes_; }

  /// Newest delegation of this data centre, null if none is known.
  const Delegation* delegation() const noexcept { return permit_.newest(); }

  /// Bytes of the state. Complexity: linear in the number of services and groups.
  std::size_t MemoryBytes() const noexcept;

 private:
  struct ServiceCounts {
    HotKeySketch keys;
    std::unordered_map<std::uint32_t, std::uint64_t> shards;
  };

  void Dispatch(TimePoint now, InstanceId from, const Message& message, Outbox& out);
  /// Delivers messages to this instance itself and passes the others on.
  void Flush(TimePoint now, Outbox& local, Outbox& out);
  PermitGroup& GroupOf(DataCentreId data_centre);
  void Acknowledge(TimePoint now, InstanceId to, DataCentreId data_centre, std::uint64_t delegation,
                   Outbox& out);
  void RenewLeases(TimePoint now);
  void ReportLoad(TimePoint now, Outbox& out);
  bool MayHold(DataCentreId home, ServiceId service) const;
  /// Returns whether this data centre holds the shard and is not isolated.
  bool MayServe(TimePoint now, ShardId shard, std::uint64_t key_hash) const;
  NoOwnerReason Refusal(ShardState state) const noexcept;
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
  TimePoint coordinator_heard_{};
  TimePoint next_lease_renewal_{};
  TimePoint next_load_report_{};
};

}  // namespace dogwoodport
