#pragma once

/// @file
/// Messages that the routing subsystem exchanges between instances.

#include <cstdint>
#include <vector>

#include "dogwoodport/core/detail/type_list.h"
#include "dogwoodport/core/types.h"

namespace dogwoodport {

/// Resource of a target that can be lent.
enum class Resource : std::uint8_t { kSlot = 0, kConnection = 1 };

/// Requests a loan of one unit of a target's resource from a member of the same data centre.
struct SlotRequest {
  TargetId target;
  std::uint8_t resource = 0;
  Incarnation borrower;
  std::uint64_t sequence = 0;
  /// Number of members that forwarded the request because they had nothing to lend. If not zero,
  /// `from` is the instance that originally sent it.
  std::uint8_t passed_on = 0;
  InstanceId from;
  /// Whether a slot of any other target of the same service is acceptable.
  bool any_of_service = false;

  MSGPACK_DEFINE_ARRAY(target, resource, borrower, sequence, passed_on, from, any_of_service)
};

/// Lends one unit. The validity of the loan starts at the time of the borrower's request. The
/// message is repeated while the loan is outstanding, so that a borrower that no longer holds the
/// loan can return it.
struct SlotLoan {
  TargetId target;
  std::uint8_t resource = 0;
  Incarnation borrower;
  std::uint64_t sequence = 0;
  Incarnation lender;
  std::uint64_t number = 0;

  MSGPACK_DEFINE_ARRAY(target, resource, borrower, sequence, lender, number)
};

/// Returns a loan before it expires.
struct SlotReturn {
  TargetId target;
  std::uint8_t resource = 0;
  Incarnation borrower;
  Incarnation lender;
  std::uint64_t number = 0;

  MSGPACK_DEFINE_ARRAY(target, resource, borrower, lender, number)
};

/// Measurements of one target by one instance of its data centre.
struct EvidenceRow {
  TargetId target;
  std::uint32_t in_flight = 0;
  /// A `SlowState`.
  std::uint8_t slow_state = 0;
  /// Number of slowdowns detected so far; a higher number supersedes a lower one.
  std::uint32_t slow_episode = 0;
  /// Increase of the log-likelihood ratio of a slowdown since the last message, in units of 0.1.
  std::uint8_t evidence = 0;
  /// Number of slow-start ramps so far, each started after a boot, a cold state, an outage, a
  /// slowdown or a withdrawal of the data centre; a higher number supersedes a lower one.
  std::uint64_t ramp_episode = 0;
  /// Admitted concurrency of the ramp; 0 if the target is warm.
  std::uint32_t ramp_limit = 0;

  MSGPACK_DEFINE_ARRAY(target, in_flight, slow_state, slow_episode, evidence, ramp_episode,
                       ramp_limit)
};

/// Shares measurements with the instances of the same data centre.
struct TargetEvidence {
  std::vector<EvidenceRow> rows;

  MSGPACK_DEFINE_ARRAY(rows)
};

/// Shares the result of a probe with the instances of the same data centre.
struct ProbeResult {
  TargetId target;
  bool reachable = false;
  /// A `HealthState`.
  std::uint8_t state = 0;
  std::uint64_t boot = 0;
  std::int64_t latency_us = 0;

  MSGPACK_DEFINE_ARRAY(target, reachable, state, boot, latency_us)
};

/// Load of one service in a data centre.
struct ServiceLoad {
  ServiceId service;
  std::uint32_t usable_slots = 0;
  std::uint32_t in_flight = 0;
  std::uint32_t ejected = 0;

  MSGPACK_DEFINE_ARRAY(service, usable_slots, in_flight, ejected)
};

/// Load of a data centre, sent by its coordinator to the other coordinators, which relay it to
/// their members.
struct DataCentreLoad {
  DataCentreId data_centre;
  /// Round trip measured by the relaying coordinator; 0 in messages between coordinators.
  std::int64_t round_trip_us = 0;
  std::vector<ServiceLoad> services;

  MSGPACK_DEFINE_ARRAY(data_centre, round_trip_us, services)
};

/// Measures the round-trip time between two coordinators. The receiver echoes the sequence number
/// with `reply` set.
struct LatencyProbe {
  DataCentreId data_centre;
  std::uint64_t sequence = 0;
  bool reply = false;

  MSGPACK_DEFINE_ARRAY(data_centre, sequence, reply)
};

/// All messages of this subsystem; the position of a type is its type index.
using RoutingMessages = detail::TypeList<SlotRequest, SlotLoan, SlotReturn, TargetEvidence,
                                         ProbeResult, DataCentreLoad, LatencyProbe>;

}  // namespace dogwoodport
