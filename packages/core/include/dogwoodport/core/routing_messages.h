#pragma once

/// @file
/// Messages between instances of the routing subsystem.

#include <cstdint>
#include <vector>

#include "dogwoodport/core/detail/type_list.h"
#include "dogwoodport/core/types.h"

namespace dogwoodport {

/// What a loan is about.
enum class Resource : std::uint8_t { kSlot = 0, kConnection = 1 };

/// Asks a member of the same data centre to lend one unit of a target's resource.
struct SlotRequest {
  TargetId target;
  std::uint8_t resource = 0;
  Incarnation borrower;
  std::uint64_t sequence = 0;
  /// Members that passed the request on because they had nothing to lend; if any, `from` is the
  /// instance that asked first.
  std::uint8_t passed_on = 0;
  InstanceId from;
  /// A slot of any target of the same service will do.
  bool any_of_service = false;

  MSGPACK_DEFINE_ARRAY(target, resource, borrower, sequence, passed_on, from, any_of_service)
};

/// Lends one unit for a time that counts from the borrower's request. Sent
/// again while the loan is outstanding, so that a borrower that no longer holds it can say so.
struct SlotLoan {
  TargetId target;
  std::uint8_t resource = 0;
  Incarnation borrower;
  std::uint64_t sequence = 0;
  Incarnation lender;
  std::uint64_t number = 0;

  MSGPACK_DEFINE_ARRAY(target, resource, borrower, sequence, lender, number)
};

/// Gives a loan back before it expires.
struct SlotReturn {
  TargetId target;
  std::uint8_t resource = 0;
  Incarnation borrower;
  Incarnation lender;
  std::uint64_t number = 0;

  MSGPACK_DEFINE_ARRAY(target, resource, borrower, lender, number)
};

/// What one instance measured of one target of its data centre.
struct EvidenceRow {
  TargetId target;
  std::uint32_t in_flight = 0;
  /// Value of `SlowState`.
  std::uint8_t slow_state = 0;
  /// Number of slow states so far; a higher one replaces a lower one.
  std::uint32_t slow_episode = 0;
  /// Increase of the log-likelihood ratio of a slowdown since the last message, in tenths.
  std::uint8_t evidence = 0;
  /// Start of the ramp, counted by boot or detection; a higher one replaces a lower one.
  std::uint64_t ramp_episode = 0;
  /// Admitted concurrency of the ramp; 0 when the target is warm.
  std::uint32_t ramp_limit = 0;

  MSGPACK_DEFINE_ARRAY(target, in_flight, slow_state, slow_episode, evidence, ramp_episode,
                       ramp_limit)
};

/// Passes measurements to the instances of the same data centre.
struct TargetEvidence {
  std::vector<EvidenceRow> rows;

  MSGPACK_DEFINE_ARRAY(rows)
};

/// Passes the result of a probe to the instances of the same data centre.
struct ProbeResult {
  TargetId target;
  bool reachable = false;
  /// Value of `HealthState`.
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
  /// Measured by the relaying coordinator; 0 on the way to it.
  std::int64_t round_trip_us = 0;
  std::vector<ServiceLoad> services;

  MSGPACK_DEFINE_ARRAY(data_centre, round_trip_us, services)
};

/// Measures the round trip between two coordinators; the receiver of a request echoes it.
struct LatencyProbe {
  DataCentreId data_centre;
  std::uint64_t sequence = 0;
  bool reply = false;

  MSGPACK_DEFINE_ARRAY(data_centre, sequence, reply)
};

/// All messages of this subsystem, in the order of their type index.
using RoutingMessages = detail::TypeList<SlotRequest, SlotLoan, SlotReturn, TargetEvidence,
                                         ProbeResult, DataCentreLoad, LatencyProbe>;

}  // namespace dogwoodport
