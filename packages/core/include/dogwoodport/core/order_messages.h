#pragma once

/// @file
/// Messages of the order subsystem between instances. The messages about orders contain the data
/// centre whose permit group they concern, since a witness belongs to the group of another data
/// centre.

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "dogwoodport/core/detail/type_list.h"
#include "dogwoodport/core/types.h"

namespace dogwoodport {

// NOLINTBEGIN(modernize-use-nullptr)  -- see types.h
/// Identifies an order by the client account and the 128-bit hash of the idempotency key.
struct OrderId {
  AccountId account;
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  friend auto operator<=>(const OrderId&, const OrderId&) = default;
  MSGPACK_DEFINE_ARRAY(account, high, low)
};
// NOLINTEND(modernize-use-nullptr)

/// Hash of method, path and body. Detects the reuse of an idempotency key for another request.
struct BodyHash {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  friend bool operator==(const BodyHash&, const BodyHash&) = default;
  MSGPACK_DEFINE_ARRAY(high, low)
};

/// State of an attempt to run an order. Within an attempt, a later enumerator replaces an earlier
/// one.
enum class OrderState : std::uint8_t {
  kIntent,   ///< the intent is recorded; bytes may have been sent
  kUnknown,  ///< bytes may have been sent, and no response was received
  kNotRun,   ///< no byte was sent, or the target refused; a new attempt is allowed
  kDone      ///< the target responded
};

/// Record of an order, stored by its authority and the permit group.
struct OrderRecord {
  OrderId id;
  BodyHash body;
  /// Delegation and counter of the authority that made the attempt.
  Epoch attempt;
  OrderState state = OrderState::kIntent;
  /// Shard or order partition of the order, whose home data centre is responsible for it.
  std::uint64_t scope = 0;
  /// Time from the first attempt to the sending of the message.
  std::uint32_t age_ms = 0;
  std::uint16_t status = 0;
  /// Whether `answer` contains the complete response. False if the response was not stored, for
  /// example because it was too long.
  bool answer_kept = false;
  std::string answer;

  MSGPACK_DEFINE_ARRAY(id, body, attempt, state, scope, age_ms, status, answer_kept, answer)
};

/// Requests a member of the permit group to store records. Accepted only under the same delegation.
struct OrderWrite {
  DataCentreId data_centre;
  std::uint64_t delegation = 0;
  std::uint64_t sequence = 0;
  std::vector<OrderRecord> records;

  MSGPACK_DEFINE_ARRAY(data_centre, delegation, sequence, records)
};

/// Confirms that the sender has stored the records of the write with this sequence.
struct OrderWriteAck {
  DataCentreId data_centre;
  std::uint64_t delegation = 0;
  std::uint64_t sequence = 0;

  MSGPACK_DEFINE_ARRAY(data_centre, delegation, sequence)
};

/// Notifies the group that a majority of it stores all records of earlier delegations for the
/// orders whose authority is the sender.
struct OrderInstalled {
  DataCentreId data_centre;
  std::uint64_t delegation = 0;

  MSGPACK_DEFINE_ARRAY(data_centre, delegation)
};

/// Requests from a member of the earlier group `group` the records after `after` of orders whose
/// authority under `delegation` is the sender. Only members that follow `delegation` respond.
struct OrderCollect {
  DataCentreId data_centre;
  std::uint64_t delegation = 0;
  std::uint64_t group = 0;
  OrderId after;

  MSGPACK_DEFINE_ARRAY(data_centre, delegation, group, after)
};

/// Response to the `OrderCollect` with the same `after`.
struct OrderCollected {
  DataCentreId data_centre;
  std::uint64_t delegation = 0;
  std::uint64_t group = 0;
  OrderId after;
  bool last = false;
  std::vector<OrderRecord> records;
  /// Authorities of `group` from which the member has received `OrderInstalled`.
  std::vector<InstanceId> installed;

  MSGPACK_DEFINE_ARRAY(data_centre, delegation, group, after, last, records, installed)
};

/// Reports the outcome of an attempt by an earlier authority to the current one.
struct OrderOutcome {
  DataCentreId data_centre;
  OrderRecord record;

  MSGPACK_DEFINE_ARRAY(data_centre, record)
};

/// Transfers records to the authority in another data centre before a planned withdrawal.
struct OrderTransfer {
  /// Data centre that receives the orders.
  DataCentreId data_centre;
  /// Data centre that transfers the orders.
  DataCentreId origin;
  /// Incarnation of the sender. Together with it the sequence is unique.
  Incarnation incarnation;
  std::uint64_t sequence = 0;
  std::vector<OrderRecord> records;

  MSGPACK_DEFINE_ARRAY(data_centre, origin, incarnation, sequence, records)
};

/// Confirms that a majority of the new group stores the transferred records.
struct OrderTransferAck {
  /// Data centre that transferred the orders.
  DataCentreId data_centre;
  Incarnation incarnation;
  std::uint64_t sequence = 0;

  MSGPACK_DEFINE_ARRAY(data_centre, incarnation, sequence)
};

/// Notifies all instances that a request fingerprint is quarantined or was released.
struct QuarantineNotice {
  std::uint64_t fingerprint = 0;
  /// Counts changes of the fingerprint's state. The highest version takes precedence.
  std::uint64_t version = 0;
  bool active = false;

  MSGPACK_DEFINE_ARRAY(fingerprint, version, active)
};

/// Notifies all instances that a target was lost while a fingerprint was in flight, or that a
/// target has since responded to a request with it, which clears the suspicion.
struct LossNotice {
  std::uint64_t fingerprint = 0;
  TargetId target;
  bool cleared = false;

  MSGPACK_DEFINE_ARRAY(fingerprint, target, cleared)
};

/// All messages of this subsystem, in the order of their type index.
using OrderMessages =
    detail::TypeList<OrderWrite, OrderWriteAck, OrderInstalled, OrderCollect, OrderCollected,
                     OrderOutcome, OrderTransfer, OrderTransferAck, QuarantineNotice, LossNotice>;

}  // namespace dogwoodport

MSGPACK_ADD_ENUM(dogwoodport::OrderState)
