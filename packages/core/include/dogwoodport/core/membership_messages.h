#pragma once

/// @file
/// Messages between instances of the membership subsystem.

#include <cstdint>
#include <vector>

#include "dogwoodport/core/detail/type_list.h"
#include "dogwoodport/core/types.h"

namespace dogwoodport {

/// Says that a process lives. Sent to the members of the sender's data centre and by coordinators
/// to each other.
struct Heartbeat {
  Incarnation incarnation;
  DataCentreId data_centre;
  /// Counts the heartbeats of this incarnation.
  std::uint64_t sequence = 0;
  /// First offset of the log that the sender's control state lacks.
  std::uint64_t state_offset = 0;
  bool ready = false;
  /// The sender is shutting down and takes no new work.
  bool leaving = false;

  MSGPACK_DEFINE_ARRAY(incarnation, data_centre, sequence, state_offset, ready, leaving)
};

/// A member of another data centre as its coordinator sees it.
struct MemberSummary {
  InstanceId id;
  Incarnation incarnation;
  bool ready = false;

  friend bool operator==(const MemberSummary&, const MemberSummary&) = default;
  MSGPACK_DEFINE_ARRAY(id, incarnation, ready)
};

/// The live members of a data centre. A coordinator sends its own to the other coordinators, which
/// pass it on to the members of their data centres.
struct DataCentreView {
  DataCentreId data_centre;
  /// Epoch of the delegation that made the sender coordinator; a later one outranks all sequences.
  std::uint64_t delegation = 0;
  std::uint64_t sequence = 0;
  std::vector<MemberSummary> members;

  MSGPACK_DEFINE_ARRAY(data_centre, delegation, sequence, members)
};

/// All messages of this subsystem, in the order of their type index.
using MembershipMessages = detail::TypeList<Heartbeat, DataCentreView>;

}  // namespace dogwoodport
