#pragma once

/// @file
/// Messages between instances of the order subsystem. Each names the data centre whose permit group
/// it concerns, since a witness belongs to the group of another data centre.

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "dogwoodport/core/detail/type_list.h"
#include "dogwoodport/core/types.h"

namespace dogwoodport {

// NOLINTBEGIN(modernize-use-nullptr)  -- see types.h
/// An order: the client account and the 128-bit hash of its idempotency key.
struct OrderId {
  AccountId account;
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  friend auto operator<=>(const OrderId&, const OrderId&) = default;
  MSGPACK_DEFINE_ARRAY(account, high, low)
};
// NOLINTEND(modernize-use-nullptr)

/// Hash of method, path and body, by which a reused idempotency key is noticed.
struct BodyHash {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  friend bool operator==(const BodyHash&, const BodyHash&) = default;
  MSGPACK_DEFINE_ARRAY(high, low)
};

/// What is known of an attempt to run an order; a later one replaces an earlier one.
enum class OrderState : std::uint8_t {
  kIntent,   ///< recorded; bytes may have left
  kUnknown,  ///< bytes may have left and no answer came
  kNotRun,   ///< no byte left, or the target refused; another attempt is allowed
  kDone      ///< the target answered
};

/// What the authority and the permit group keep of an order.
struct OrderRecord {
  OrderId id;
  BodyHash body;
  /// Delegation and counter of the authority that made the attempt.
  Epoch attempt;
  OrderState state = OrderState::kIntent;
  /// Shard or order partition whose home data centre the order belongs to.
  std::uint64_t scope = 0;
  /// Time since the first attempt when the message was sent.
  std::uint32_t age_ms = 0;
  std::uint16_t status = 0;
  /// Whether `answer` is the whole answer; false if it was too long to keep.
  bool answer_kept = false;
  std::string answer;

  MSGPACK_DEFINE_ARRAY(id, body, attempt, state, scope, age_ms, status, answer_kept, answer)
};

/// Asks a member of the permit group to record; taken only under the same delegation.
struct OrderWrite {
  DataCentreId data_centre;
  std::uint64_t delegation = 0;
  std::uint64_t sequence = 0;
  std::vector<OrderRecord> records;

  MSGPACK_DEFINE_ARRAY(data_centre, delegation, sequence, records)
};

/// States that the sender recorded the write with this sequence.
struct OrderWriteAck {
  DataCentreId data_centre;
  std::uint64_t delegation = 0;
  std::uint64_t sequence = 0;

  MSGPACK_DEFINE_ARRAY(data_centre, delegation, sequence)
};

/// States that a majority of the delegation's group holds everything from earlier delegations for
/// the orders whose authority is the sender.
struct OrderInstalled {
  DataCentreId data_centre;
  std::uint64_t delegation = 0;

  MSGPACK_DEFINE_ARRAY(data_centre, delegation)
};

/// Asks a member of the older group `group` for the records, after `after`, of orders whose
/// authority under `delegation` is the sender. Answered only by members that follow `delegation`.
struct OrderCollect {
  DataCentreId data_centre;
  std::uint64_t delegation = 0;
  std::uint64_t group = 0;
  OrderId after;

  MSGPACK_DEFINE_ARRAY(data_centre, delegation, group, after)
};

/// Answer to the `OrderCollect` with the same `after`.
struct OrderCollected {
  DataCentreId data_centre;
  std::uint64_t delegation = 0;
  std::uint64_t group = 0;
  OrderId after;
  bool last = false;
  std::vector<OrderRecord> records;
  /// Authorities of `group` that the member knows to have installed.
  std::vector<InstanceId> installed;

  MSGPACK_DEFINE_ARRAY(data_centre, delegation, group, after, last, records, installed)
};

/// Tells the present authority the outcome of an attempt of an earlier one.
struct OrderOutcome {
  DataCentreId data_centre;
  OrderRecord record;

  MSGPACK_DEFINE_ARRAY(data_centre, record)
};

/// Hands records to the authority in another data centre before a planned withdrawal.
struct OrderTransfer {
  /// Data centre that takes the orders over.
  DataCentreId data_centre;
  /// Data centre that hands the orders over.
  DataCentreId origin;
  /// Run of the sender; with it the sequence is unique.
  Incarnation incarnation;
  std::uint64_t sequence = 0;
  std::vector<OrderRecord> records;

  MSGPACK_DEFINE_ARRAY(data_centre, origin, incarnation, sequence, records)
};

/// States that a majority of the new group holds the transferred records.
struct OrderTransferAck {
  /// Data centre that handed the orders over.
  DataCentreId data_centre;
  Incarnation incarnation;
  std::uint64_t sequence = 0;

  MSGPACK_DEFINE_ARRAY(data_centre, incarnation, sequence)
};

/// Tells all instances that a request fingerprint is in quarantine, or was released.
struct QuarantineNotice {
  std::uint64_t fingerprint = 0;
  /// Counts changes of the fingerprint's state; the higher version holds.
  std::uint64_t version = 0;
  bool active = false;

  MSGPACK_DEFINE_ARRAY(fingerprint, version, active)
};

/// Tells all instances that a target was lost while a fingerprint was in flight, or that a request
/// with the fingerprint has since finished, which clears it.
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
