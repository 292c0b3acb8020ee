#pragma once

/// @file
/// Permit group of a data centre, and the shard assignments that the group agrees on.

#include <cstdint>
#include <vector>

#include "dogwoodport/core/types.h"

namespace dogwoodport {

/// Member of a permit group: one run of an instance, identified by its incarnation.
struct Member {
  InstanceId id;
  Incarnation incarnation;
  /// Whether the member is a witness. A witness belongs to another data centre. It acknowledges
  /// permits and changes, but is never an authority for orders.
  bool witness = false;

  friend bool operator==(const Member&, const Member&) = default;
  MSGPACK_DEFINE_ARRAY(id, incarnation, witness)
};

/// Names the permit group and the coordinator of a data centre. Created only by a record in the
/// log.
struct Delegation {
  DataCentreId data_centre;
  /// Offset of the record in the log; the first component of all epochs issued under this
  /// delegation.
  std::uint64_t offset = 0;
  std::vector<Member> members;
  InstanceId coordinator;

  friend bool operator==(const Delegation&, const Delegation&) = default;
  MSGPACK_DEFINE_ARRAY(data_centre, offset, members, coordinator)
};

/// Owner of a shard and the fencing token of its ownership.
struct Assignment {
  ShardId shard;
  TargetId target;
  Epoch epoch;

  friend bool operator==(const Assignment&, const Assignment&) = default;
  MSGPACK_DEFINE_ARRAY(shard, target, epoch)
};

}  // namespace dogwoodport
