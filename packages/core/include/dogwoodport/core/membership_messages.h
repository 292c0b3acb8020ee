#pragma once

/// @file
/// Messages that instances exchange to track membership.

#include <cstdint>
#include <vector>

#include "dogwoodport/core/detail/type_list.h"
#include "dogwoodport/core/types.h"

namespace dogwoodport {

/// Reports that a process is alive, and its status. Sent to the members of the sender's data
/// centre; coordinators also send it to each other.
struct Heartbeat {
  Incarnation incarnation;
  DataCentreId data_centre;
  /// Number of this heartbeat within the incarnation, from 1.
  std::uint64_t sequence = 0;
  /// First offset of the log that the sender's control state lacks.
  std::uint64_t state_offset = 0;
  bool ready = false;
  /// Whether the sender is shutting down and accepts no new work.
  bool leaving = false;

  MSGPACK_DEFINE_ARRAY(incarnation, data_centre, sequence, state_offset, ready, leaving)
};

/// Member of a data centre as reported by its coordinator.
struct MemberSummary {
  InstanceId id;
  Incarnation incarnation;
  bool ready = false;

  friend bool operator==(const MemberSummary&, const MemberSummary&) = default;
  MSGPACK_DEFINE_ARRAY(id, incarnation, ready)
};

/// Usable and ready members of a data centre. A coordinator sends the view of its own data centre
/// to the other coordinators, which forward it to the members of their data centres.
struct DataCentreView {
  DataCentreId data_centre;
  /// Log offset of the delegation that made the sender coordinator. A view with a later delegation
  /// replaces one with an earlier delegation, whatever their sequences.
  std::uint64_t delegation = 0;
  std::uint64_t sequence = 0;
  std::vector<MemberSummary> members;

  MSGPACK_DEFINE_ARRAY(data_centre, delegation, sequence, members)
};

/// All messages of membership, in the order of their type index.
using MembershipMessages = detail::TypeList<Heartbeat, DataCentreView>;

}  // namespace dogwoodport
