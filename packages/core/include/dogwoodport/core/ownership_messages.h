#pragma once

/// @file
/// Messages between instances of the ownership subsystem. All of them concern the permit group of
/// one data centre.

#include <cstdint>
#include <vector>

#include "dogwoodport/core/delegation.h"
#include "dogwoodport/core/detail/type_list.h"
#include "dogwoodport/core/types.h"

namespace dogwoodport {

/// What a change does to a shard.
enum class ChangeKind : std::uint8_t {
  /// The shard has no owner until a commit.
  kPrepare,
  /// The shard belongs to the change's target.
  kCommit,
  /// The data centre no longer holds the shard.
  kDrop,
};

/// One entry of the totally ordered list of changes of a data centre's assignment table.
struct ShardChange {
  /// Position in the list; the first part is the delegation that made the change.
  Epoch sequence;
  ChangeKind kind = ChangeKind::kPrepare;
  ShardId shard;
  /// Hash of the key for a shard of a single key, otherwise 0.
  std::uint64_t key_hash = 0;
  /// Intended target of a prepare, owner of a commit.
  TargetId target;
  /// Fencing token: the sequence of the prepare.
  Epoch epoch;

  friend bool operator==(const ShardChange&, const ShardChange&) = default;
  MSGPACK_DEFINE_ARRAY(sequence, kind, shard, key_hash, target, epoch)
};

/// A process to which a member has acknowledged a permit that may still be valid.
struct PermitHolder {
  InstanceId id;
  Incarnation incarnation;

  // The check misreads the rewritten comparison of a defaulted operator<=>.
  friend auto operator<=>(const PermitHolder&,             // NOLINT(modernize-use-nullptr)
                          const PermitHolder&) = default;  // NOLINT(modernize-use-nullptr)
  MSGPACK_DEFINE_ARRAY(id, incarnation)
};

/// Asks the members of the group to renew the sender's permit.
struct RenewRequest {
  DataCentreId data_centre;
  Incarnation incarnation;
  std::uint64_t request = 0;
  /// Newest delegation that the sender knows.
  std::uint64_t delegation = 0;
  /// Sequence up to which the sender has applied the table.
  Epoch applied;
  MSGPACK_DEFINE_ARRAY(data_centre, incarnation, request, delegation, applied)
};

/// Acknowledges a renewal. It counts only once the receiver has applied the table up to `sequence`.
struct RenewAck {
  DataCentreId data_centre;
  Incarnation incarnation;
  std::uint64_t request = 0;
  std::uint64_t delegation = 0;
  Epoch sequence;
  /// The changes follow this sequence without a gap.
  Epoch previous;
  std::vector<ShardChange> changes;
  /// The acknowledging delegation, if the requester does not know it yet; otherwise empty.
  std::vector<Delegation> newer;
  MSGPACK_DEFINE_ARRAY(data_centre, incarnation, request, delegation, sequence, previous, changes,
                       newer)
};

/// Asks a member for the whole table.
struct TableRequest {
  DataCentreId data_centre;
  MSGPACK_DEFINE_ARRAY(data_centre)
};

/// The whole table of a member, as the change that last touched each shard.
struct TableReply {
  DataCentreId data_centre;
  Epoch sequence;
  std::vector<ShardChange> entries;
  MSGPACK_DEFINE_ARRAY(data_centre, sequence, entries)
};

/// Changes that the coordinator wants recorded by members and applied by permit holders.
struct ReplicateRequest {
  DataCentreId data_centre;
  std::uint64_t delegation = 0;
  Epoch previous;
  std::vector<ShardChange> changes;
  MSGPACK_DEFINE_ARRAY(data_centre, delegation, previous, changes)
};

/// Installs the table of a delegation at a member, replacing what it has.
struct InstallRequest {
  DataCentreId data_centre;
  Delegation delegation;
  Epoch sequence;
  std::vector<ShardChange> entries;
  MSGPACK_DEFINE_ARRAY(data_centre, delegation, sequence, entries)
};

/// Answer to `ReplicateRequest` and `InstallRequest`.
struct ReplicateAck {
  DataCentreId data_centre;
  std::uint64_t delegation = 0;
  Incarnation incarnation;
  /// Sequence recorded as a member of the group; zero when the sender is none.
  Epoch recorded;
  /// Sequence applied as a permit holder.
  Epoch applied;
  /// Processes whose permit was acknowledged by the sender and may still be valid.
  std::vector<PermitHolder> holders;
  MSGPACK_DEFINE_ARRAY(data_centre, delegation, incarnation, recorded, applied, holders)
};

/// A new coordinator asks members of older groups to follow its delegation.
struct TakeoverRequest {
  DataCentreId data_centre;
  Delegation delegation;
  MSGPACK_DEFINE_ARRAY(data_centre, delegation)
};

/// The sender follows `delegation` and acknowledges nothing for older ones any more.
struct TakeoverReply {
  DataCentreId data_centre;
  std::uint64_t delegation = 0;
  Incarnation incarnation;
  /// Delegation whose table the sender holds.
  std::uint64_t installed = 0;
  Epoch sequence;
  std::vector<ShardChange> entries;
  MSGPACK_DEFINE_ARRAY(data_centre, delegation, incarnation, installed, sequence, entries)
};

/// Requests of one key or shard within a report interval.
struct LoadCount {
  /// Hash of the key, or index of the shard.
  std::uint64_t id = 0;
  std::uint64_t count = 0;
  MSGPACK_DEFINE_ARRAY(id, count)
};

/// Load that an instance saw since its last report, sent to the coordinator.
struct ShardLoadReport {
  DataCentreId data_centre;
  ServiceId service;
  std::uint64_t total = 0;
  std::vector<LoadCount> keys;
  std::vector<LoadCount> shards;
  MSGPACK_DEFINE_ARRAY(data_centre, service, total, keys, shards)
};

/// All messages of this subsystem, in the order of their type index.
using OwnershipMessages =
    detail::TypeList<RenewRequest, RenewAck, TableRequest, TableReply, ReplicateRequest,
                     InstallRequest, ReplicateAck, TakeoverRequest, TakeoverReply, ShardLoadReport>;

}  // namespace dogwoodport

MSGPACK_ADD_ENUM(dogwoodport::ChangeKind)
