#pragma once

/// @file
/// Records of the control log and their JSON encoding.

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "dogwoodport/core/config.h"
#include "dogwoodport/core/delegation.h"
#include "dogwoodport/core/error.h"
#include "dogwoodport/core/types.h"

namespace dogwoodport {

/// The text of a record is malformed: it is not JSON, or a field is missing or out of range. Every
/// reader detects the same fault in the same text, so all of them skip it.
class RecordError : public Error {
 public:
  using Error::Error;
};

/// The record has a type or a field that is unknown to this version. A newer version may apply it,
/// so skipping it could make the states of instances diverge.
class UnknownRecordError : public RecordError {
 public:
  using RecordError::RecordError;
};

/// Replaces the entire configuration document.
struct ConfigChange {
  std::uint64_t expected_version = 0;
  nlohmann::json document;
};

/// Changes parts of the configuration document with a JSON Patch (RFC 6902), so that changing one
/// of thousands of targets does not require sending all of them.
struct ConfigPatch {
  std::uint64_t expected_version = 0;
  nlohmann::json operations;
};

/// Sets the permit group and the coordinator of a data centre.
struct DelegationChange {
  DataCentreId data_centre;
  /// Offset of the delegation that this one replaces; 0 if there is none.
  std::uint64_t expected_epoch = 0;
  std::vector<Member> members;
  InstanceId coordinator;
};

/// Assignments that the coordinator of a data centre committed with its permit group. A move to the
/// target with id 0 releases the shard.
struct AssignmentBatch {
  DataCentreId data_centre;
  /// Offset of the delegation under which the moves were committed.
  std::uint64_t delegation = 0;
  std::vector<Assignment> moves;
};

/// Whether a data centre receives requests.
enum class DataCentreState {
  kInService,
  /// Receives no new requests. Other data centres can take its shards once it has released them.
  kWithdrawn,
  /// Has stopped serving the shards of services with `on_isolation: yield`.
  kYielded,
  /// Declared lost by an operator. Other data centres may take all its shards.
  kLost,
};

struct DataCentreChange {
  std::string data_centre;
  std::uint64_t expected_version = 0;
  DataCentreState state = DataCentreState::kInService;
};

/// Whether a target receives new requests.
enum class TargetState { kInService, kDraining };

struct TargetChange {
  std::string target;
  std::uint64_t expected_version = 0;
  TargetState state = TargetState::kInService;
};

/// Action of a `SecretChange`.
enum class SecretAction { kAdd, kWithdraw };

/// Adds or withdraws one secret of an account. A withdrawn key id never becomes valid again, even
/// if a later configuration document lists it.
struct SecretChange {
  std::string account;
  std::uint64_t expected_version = 0;
  SecretAction action = SecretAction::kAdd;
  /// Salt and hash are empty if the secret is withdrawn.
  SecretConfig secret;
};

/// Whether requests with a fingerprint are refused.
enum class QuarantineState { kQuarantined, kReleased };

struct QuarantineChange {
  std::uint64_t fingerprint = 0;
  std::uint64_t expected_version = 0;
  QuarantineState state = QuarantineState::kQuarantined;
};

/// Whether a hot key gets its own shard or returns to the shard of its hash.
enum class SplitAction { kSplit, kMerge };

/// Gives a hot key its own shard, or merges it back. `ControlState` numbers the new shard.
struct ShardSplit {
  ServiceId service;
  std::uint64_t key_hash = 0;
  /// Expected version of the service's split table.
  std::uint64_t expected_version = 0;
  SplitAction action = SplitAction::kSplit;
};

/// One part of a snapshot of the control state; see `snapshot.h`.
struct SnapshotChunk {
  std::uint64_t id = 0;
  /// Offset of the first record that the snapshot does not contain.
  std::uint64_t base_offset = 0;
  std::uint32_t index = 0;
  std::uint32_t count = 0;
  /// XXH3 64-bit hash of the complete snapshot text.
  std::uint64_t checksum = 0;
  std::string payload;

  MSGPACK_DEFINE_ARRAY(id, base_offset, index, count, checksum, payload)
};

/// Body of a record. The field `type` of the record's JSON object contains the name of its type.
using RecordBody =
    std::variant<ConfigChange, ConfigPatch, DelegationChange, AssignmentBatch, DataCentreChange,
                 TargetChange, SecretChange, QuarantineChange, ShardSplit, SnapshotChunk>;

/// A record of the log. Writer, incarnation and sequence number together identify it, so that a
/// retried append takes effect only once.
struct Record {
  InstanceId writer;
  Incarnation incarnation;
  /// Sequence number of the writer's record, starting at 1.
  std::uint64_t sequence = 0;
  /// Name of the operator or instance, for the audit.
  std::string actor;
  std::string reason;
  /// Unix time of the writer in milliseconds.
  std::int64_t time_ms = 0;
  RecordBody body;
};

/// Returns the name of a body's type, e.g. "config_change".
std::string_view RecordTypeName(const RecordBody& body) noexcept;

/// Returns `record` as one line of JSON. Complexity: linear in the size.
///
/// @code
/// log.Append({EncodeRecord(record)});
/// @endcode
std::string EncodeRecord(const Record& record);

/// Decodes a record. Throws `UnknownRecordError` if a type, field or enumeration name is unknown to
/// this version, and `RecordError` for any other malformed text.
Record DecodeRecord(std::string_view text);

}  // namespace dogwoodport
