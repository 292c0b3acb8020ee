#pragma once

/// @file
/// Messages of the ownership subsystem between instances. Each concerns the permit group of one
/// data centre.

#include <cstdint>
#include <vector>

#include "dogwoodport/core/delegation.h"
#include "dogwoodport/core/detail/type_list.h"
#include "dogwoodport/core/types.h"

namespace dogwoodport {

/// Effect of a change on a shard.
enum class ChangeKind : std::uint8_t {
  /// The shard has no owner until a commit.
  kPrepare,
  /// The target of the change owns the shard.
  kCommit,
  /// The data centre no longer holds the shard.
  kDrop,
};

/// Entry of the totally ordered list of changes to the assignment table of a data centre.
struct ShardChange {
  /// Position in the list. The first component is the delegation that made the change.
  Epoch sequence;
  ChangeKind kind = ChangeKind::kPrepare;
  ShardId shard;
  /// Hash of the key of a single-key shard; 0 for hash shards.
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

  // False positive of clang-tidy on the rewritten comparison of a defaulted operator<=>.
  friend auto operator<=>(const PermitHolder&,             // NOLINT(modernize-use-nullptr)
                          const PermitHolder&) = default;  // NOLINT(modernize-use-nullptr)
  MSGPACK_DEFINE_ARRAY(id, incarnation)
};

/// Requests the renewal of the sender's permit from the members of the group.
struct RenewRequest {
  DataCentreId data_centre;
  Incarnation incarnation;
  std::uint64_t request = 0;
  /// Offset of the newest delegation that the sender has received.
  std::uint64_t delegation = 0;
  /// Sequence up to which the sender has applied the table.
  Epoch applied;
  MSGPACK_DEFINE_ARRAY(data_centre, incarnation, request, delegation, applied)
};

/// Acknowledges a renewal. It counts only when the receiver has applied the table up to `sequence`.
struct RenewAck {
  DataCentreId data_centre;
  Incarnation incarnation;
  std::uint64_t request = 0;
  std::uint64_t delegation = 0;
  Epoch sequence;
  /// Sequence that directly precedes `changes`.
  Epoch previous;
  std::vector<ShardChange> changes;
  /// The acknowledging delegation if the requester does not have it, otherwise empty.
  std::vector<Delegation> newer;
  MSGPACK_DEFINE_ARRAY(data_centre, incarnation, request, delegation, sequence, previous, changes,
                       newer)
};

/// Requests the complete table from a member.
struct TableRequest {
  DataCentreId data_centre;
  MSGPACK_DEFINE_ARRAY(data_centre)
};

/// Complete table of a member: the latest change of each shard.
struct TableReply {
  DataCentreId data_centre;
  Epoch sequence;
  std::vector<ShardChange> entries;
  MSGPACK_DEFINE_ARRAY(data_centre, sequence, entries)
};

/// Changes sent by the coordinator, to be recorded by members and applied by permit holders.
struct ReplicateRequest {
  DataCentreId data_centre;
  std::uint64_t delegation = 0;
  Epoch previous;
  std::vector<ShardChange> changes;
  MSGPACK_DEFINE_ARRAY(data_centre, delegation, previous, changes)
};

/// Installs the table of a delegation at a member and replaces its current table.
struct InstallRequest {
  DataCentreId data_centre;
  Delegation delegation;
  Epoch sequence;
  std::vector<ShardChange> entries;
  MSGPACK_DEFINE_ARRAY(data_centre, delegation, sequence, entries)
};

/// Response to `ReplicateRequest` and `InstallRequest`.
struct ReplicateAck {
  DataCentreId data_centre;
  std::uint64_t delegation = 0;
  Incarnation incarnation;
  /// Sequence that the sender has recorded as a member of the group; zero if it is not a member.
  Epoch recorded;
  /// Sequence that the sender has applied as a permit holder.
  Epoch applied;
  /// Processes whose permits the sender has acknowledged and that may still be valid.
  std::vector<PermitHolder> holders;
  MSGPACK_DEFINE_ARRAY(data_centre, delegation, incarnation, recorded, applied, holders)
};

/// Sent by a new coordinator to ask members of older groups to follow its delegation.
struct TakeoverRequest {
  DataCentreId data_centre;
  Delegation delegation;
  MSGPACK_DEFINE_ARRAY(data_centre, delegation)
};

/// Confirms that the sender follows `delegation` and no longer acknowledges anything for older
/// ones.
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

/// Number of requests for one key or shard in a report interval.
struct LoadCount {
  /// Hash of the key, or index of the shard.
  std::uint64_t id = 0;
  std::uint64_t count = 0;
  MSGPACK_DEFINE_ARRAY(id, count)
};

/// Load that an instance has counted since its previous report, sent to the coordinator.
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
