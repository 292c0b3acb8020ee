#pragma once

/// @file
/// The permit group of a data centre and the assignments that it agrees on.

#include <cstdint>
#include <vector>

#include "dogwoodport/core/types.h"

namespace dogwoodport {

/// One run of an instance as a member of a permit group.
struct Member {
  InstanceId id;
  Incarnation incarnation;
  /// A witness belongs to another data centre: it acknowledges, but is never an authority for
  /// orders.
  bool witness = false;

  friend bool operator==(const Member&, const Member&) = default;
  MSGPACK_DEFINE_ARRAY(id, incarnation, witness)
};

/// Names the permit group and the coordinator of a data centre. Made only by a record of the log.
struct Delegation {
  DataCentreId data_centre;
  /// Offset of the record in the log; the first part of the epochs that this delegation gives out.
  std::uint64_t offset = 0;
  std::vector<Member> members;
  InstanceId coordinator;

  friend bool operator==(const Delegation&, const Delegation&) = default;
  MSGPACK_DEFINE_ARRAY(data_centre, offset, members, coordinator)
};

/// The owner of a shard and the fencing token under which it owns it.
struct Assignment {
  ShardId shard;
  TargetId target;
  Epoch epoch;

  friend bool operator==(const Assignment&, const Assignment&) = default;
  MSGPACK_DEFINE_ARRAY(shard, target, epoch)
};

}  // namespace dogwoodport
