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

/// A record's text is not a record: not JSON, or a field is missing or out of range. Every reader
/// finds the same fault in the same text, so all skip it alike.
class RecordError : public Error {
 public:
  using Error::Error;
};

/// The record has a type or a field that this version does not know. A newer version may act on
/// it, so skipping it could make the state diverge.
class UnknownRecordError : public RecordError {
 public:
  using RecordError::RecordError;
};

/// Replaces the whole configuration document.
struct ConfigChange {
  std::uint64_t expected_version = 0;
  nlohmann::json document;
};

/// Changes parts of the configuration document by a JSON Patch (RFC 6902), so that a change of one
/// of thousands of targets does not resend all of them.
struct ConfigPatch {
  std::uint64_t expected_version = 0;
  nlohmann::json operations;
};

/// Names the permit group and the coordinator of a data centre.
struct DelegationChange {
  DataCentreId data_centre;
  /// Offset of the delegation that this one replaces; 0 when there is none.
  std::uint64_t expected_epoch = 0;
  std::vector<Member> members;
  InstanceId coordinator;
};

/// Moves that the coordinator of a data centre committed with its permit group. A move to the
/// target with id 0 releases the shard.
struct AssignmentBatch {
  DataCentreId data_centre;
  /// Offset of the delegation under which the moves were committed.
  std::uint64_t delegation = 0;
  std::vector<Assignment> moves;
};

/// Whether a data centre receives work.
enum class DataCentreState {
  kInService,
  /// Receives no new work; its shards leave it as it releases them.
  kWithdrawn,
  /// Gave up the shards of its services with `on_isolation: yield`.
  kYielded,
  /// Declared lost by an operator; others may take all its shards.
  kLost,
};

struct DataCentreChange {
  std::string data_centre;
  std::uint64_t expected_version = 0;
  DataCentreState state = DataCentreState::kInService;
};

/// Whether a target receives new work.
enum class TargetState { kInService, kDraining };

struct TargetChange {
  std::string target;
  std::uint64_t expected_version = 0;
  TargetState state = TargetState::kInService;
};

/// What a `SecretChange` does with its secret.
enum class SecretAction { kAdd, kWithdraw };

/// Adds or withdraws one secret of an account. A withdrawn key id is never valid again, whatever a
/// later configuration document lists.
struct SecretChange {
  std::string account;
  std::uint64_t expected_version = 0;
  SecretAction action = SecretAction::kAdd;
  /// Salt and hash are empty when the secret is withdrawn.
  SecretConfig secret;
};

/// Whether requests with a fingerprint are refused.
enum class QuarantineState { kQuarantined, kReleased };

struct QuarantineChange {
  std::uint64_t fingerprint = 0;
  std::uint64_t expected_version = 0;
  QuarantineState state = QuarantineState::kQuarantined;
};

/// Whether a hot key becomes a shard of its own or returns to its hash shard.
enum class SplitAction { kSplit, kMerge };

/// Gives a hot key a shard of its own. The fold numbers the new shard.
struct ShardSplit {
  ServiceId service;
  std::uint64_t key_hash = 0;
  /// Version of the service's list of splits.
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
  /// XXH3 64 of the whole snapshot's text.
  std::uint64_t checksum = 0;
  std::string payload;

  MSGPACK_DEFINE_ARRAY(id, base_offset, index, count, checksum, payload)
};

/// The body of a record; its JSON object carries the type's name in `type`.
using RecordBody =
    std::variant<ConfigChange, ConfigPatch, DelegationChange, AssignmentBatch, DataCentreChange,
                 TargetChange, SecretChange, QuarantineChange, ShardSplit, SnapshotChunk>;

/// A record of the log. The tuple (writer, incarnation, sequence) identifies it, so that a repeated
/// append has no second effect.
struct Record {
  InstanceId writer;
  Incarnation incarnation;
  /// Counts the writer's records from 1.
  std::uint64_t sequence = 0;
  /// Operator or instance by name, for the audit.
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

/// Reads a record. Throws `UnknownRecordError` for a type or field of another version and
/// `RecordError` for anything else that is not a record.
Record DecodeRecord(std::string_view text);

}  // namespace dogwoodport
