#pragma once

/// @file
/// The control state: the result of applying the records of the log in offset order. Instances that
/// have applied the same records hold equal states.

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "dogwoodport/core/config.h"
#include "dogwoodport/core/delegation.h"
#include "dogwoodport/core/error.h"
#include "dogwoodport/core/record.h"
#include "dogwoodport/core/types.h"

namespace dogwoodport {

/// Maximum number of audit entries retained in the state.
inline constexpr std::size_t kMaxAuditEntries = 1000;
/// Maximum number of writers whose recent sequence numbers are retained. The writer whose last
/// record is oldest is evicted first. A duplicate record of an evicted writer is still rejected by
/// its expected version.
inline constexpr std::size_t kMaxWriters = 8192;
/// Maximum number of quarantine entries retained in the state. Released entries are evicted first,
/// then the oldest.
inline constexpr std::size_t kMaxQuarantineEntries = 1024;
/// Maximum number of hot keys per service that have their own shard; equal to `kHotKeyCounters`,
/// the number of keys that the sketch counts.
inline constexpr std::size_t kMaxSplits = 256;
/// Maximum number of members of a permit group.
inline constexpr std::size_t kMaxGroupMembers = 7;
/// Maximum number of records that a writer may have in flight, and the number of its latest
/// sequence numbers among which duplicates are detected.
inline constexpr std::uint64_t kWriterWindow = 64;

/// Thrown if a record is applied out of order, or if a snapshot does not contain a valid control
/// state.
class StateError : public Error {
 public:
  using Error::Error;
};

/// Outcome of applying a record.
enum class ApplyOutcome {
  kApplied,
  /// The expected version, epoch or incarnation is no longer current, because another record
  /// changed it first.
  kStale,
  /// A record with the same writer, incarnation and sequence number has been processed before, or
  /// the sequence number is too old to tell; see `kWriterWindow`.
  kRepeated,
  /// The content is invalid in the current state, e.g. an invalid document or an unknown target.
  kRefused,
};

/// Outcome of applying one record. `detail` gives the reason if it was not applied.
struct ApplyResult {
  ApplyOutcome outcome = ApplyOutcome::kApplied;
  std::string detail;
};

/// Audit entry of one record: writer, actor and time, the change with the values before and after
/// it, and its reason.
struct AuditEntry {
  std::uint64_t offset = 0;
  std::int64_t time_ms = 0;
  InstanceId writer;
  Incarnation incarnation;
  std::uint64_t sequence = 0;
  std::string actor;
  /// Type and entity, e.g. "target_change khata-3".
  std::string what;
  std::string from;
  std::string to;
  std::string reason;
  ApplyOutcome outcome = ApplyOutcome::kApplied;
  /// Reason why the record was not applied.
  std::string detail;
};

/// State of an entity and its version, the number of changes applied to it.
template <typename State>
struct Versioned {
  std::uint64_t version = 0;
  State state{};

  friend bool operator==(const Versioned&, const Versioned&) = default;
};

/// Secrets of an account that differ from the configuration document.
struct SecretOverlay {
  std::uint64_t version = 0;
  std::vector<SecretConfig> added;
  /// Key ids that remain invalid even if a document lists them.
  std::vector<std::string> withdrawn;
};

/// A hot key that has its own shard.
struct KeySplit {
  std::uint64_t key_hash = 0;
  std::uint32_t index = 0;
};

/// Hot keys of one service. Shard indices are never reused.
struct SplitTable {
  std::uint64_t version = 0;
  std::uint32_t next_index = 0;
  std::vector<KeySplit> splits;
};

/// An assignment as recorded in the log, and the data centre that holds the shard.
struct RecordedAssignment {
  DataCentreId data_centre;
  TargetId target;
  Epoch epoch;
};

/// State of a quarantined fingerprint.
struct QuarantineEntry {
  std::uint64_t version = 0;
  QuarantineState state = QuarantineState::kQuarantined;
  /// Offset of the last change.
  std::uint64_t offset = 0;
};

/// Sequence numbers of one writer that have been processed, whatever the outcome.
struct WriterState {
  Incarnation incarnation;
  std::uint64_t highest = 0;
  /// Bit n is set if sequence number `highest - n` has been processed. Older numbers count as
  /// processed.
  std::uint64_t seen = 0;
  std::uint64_t last_offset = 0;
};

/// Snapshots found in the log up to the current offset.
struct SnapshotProgress {
  /// Base offset of the last snapshot whose chunks were all read; 0 if there is none.
  std::uint64_t base = 0;
  /// The snapshot whose chunks are being read, and the index of the next chunk.
  std::uint64_t partial_id = 0;
  std::uint32_t next_chunk = 0;
};

/// Applies records in offset order and holds the resulting state. Not thread-safe.
///
/// @code
/// ControlState state;
/// const ApplyResult result = state.Apply(state.next_offset(), record);
/// @endcode
class ControlState {
 public:
  /// Creates an empty state. The first record to apply is the one at `first_offset`.
  explicit ControlState(std::uint64_t first_offset = 1);

  /// Applies the record at `offset`, which must be `next_offset()`. Otherwise throws `StateError`
  /// and leaves the state unchanged. Complexity: linear in the size of the record; for a
  /// configuration change, that of reading the document.
  ApplyResult Apply(std::uint64_t offset, const Record& record);

  /// Decodes and applies a record. Malformed text is skipped and an audit entry added; this is safe
  /// because all readers detect the same fault. If the record was written by another version,
  /// throws `UnknownRecordError` and leaves the state unchanged.
  ApplyResult ApplyText(std::uint64_t offset, std::string_view text);

  /// Returns the offset of the next record to apply. Complexity: constant.
  std::uint64_t next_offset() const noexcept { return next_offset_; }

  /// Returns the current configuration, with exceptions and changes of secrets applied. Never null;
  /// has version 0 if none has been published. Each change creates a new object. Complexity:
  /// constant.
  const std::shared_ptr<const Config>& config() const noexcept { return config_; }

  /// Returns the current configuration document as JSON text; empty if none has been published.
  const std::string& document() const noexcept { return document_; }

  /// Rebuilds the configuration if an exception has ended since it was built. Returns whether it
  /// was rebuilt. Complexity: constant unless an exception has ended.
  bool RefreshExceptions(std::int64_t unix_ms);

  /// Returns the delegation of a data centre, or nullptr. Complexity: logarithmic.
  const Delegation* delegation(DataCentreId data_centre) const;
  const std::map<DataCentreId, Delegation>& delegations() const noexcept { return delegations_; }

  /// Returns version and state; version 0 and in service if there has been no change. Complexity:
  /// logarithmic.
  Versioned<DataCentreState> data_centre(DataCentreId id) const;
  Versioned<TargetState> target(TargetId id) const;

  /// Returns the version of an account's secrets. Complexity: logarithmic.
  std::uint64_t secrets_version(AccountId account) const;

  /// Returns the entry of a fingerprint, or nullptr. Complexity: logarithmic.
  const QuarantineEntry* quarantine(std::uint64_t fingerprint) const;
  const std::map<std::uint64_t, QuarantineEntry>& quarantined() const noexcept {
    return quarantine_;
  }

  /// Returns the hot keys of a service, or nullptr. Complexity: logarithmic.
  const SplitTable* splits(ServiceId service) const;

  /// Returns the assignments last recorded in the log. The permit groups may have newer ones.
  const std::map<ShardId, RecordedAssignment>& assignments() const noexcept { return assignments_; }

  /// Returns whether a record of a writer has been processed, whatever its outcome. Complexity:
  /// logarithmic.
  bool HasProcessed(InstanceId writer, Incarnation incarnation, std::uint64_t sequence) const;

  /// Returns the audit entries of the last `kMaxAuditEntries` records, oldest first.
  const std::deque<AuditEntry>& audit() const noexcept { return audit_; }

  /// Returns the base offset of the last complete snapshot in the log; 0 if there is none.
  /// Complexity: constant.
  std::uint64_t snapshot_base() const noexcept { return snapshot_.base; }

  /// Returns the complete state as JSON text. Equal states give equal texts. Complexity: linear.
  std::string Serialize() const;

  /// Restores a state from the output of `Serialize`. Throws `StateError` if `text` is not a valid
  /// state.
  static ControlState Deserialize(std::string_view text, std::int64_t unix_ms);

  /// Returns the XXH3 64-bit hash of `Serialize()`, for comparing instances. Complexity: linear.
  std::uint64_t Digest() const;

 private:
  friend class RecordApplier;
  friend struct StateFields;

  bool TrackWriter(std::uint64_t offset, const Record& record, ApplyResult& result);
  void EvictWriter();
  void AddAudit(AuditEntry entry);
  void RebuildConfig(std::int64_t unix_ms);
  void OverlaySecrets();

  std::uint64_t next_offset_;
  std::uint64_t config_version_ = 0;
  std::string document_;
  /// Configuration of the document, without the changes of secrets.
  std::shared_ptr<const Config> base_config_;
  std::shared_ptr<const Config> config_;
  /// Earliest end of the exceptions that have not ended.
  std::optional<std::int64_t> next_exception_end_ms_;
  std::map<DataCentreId, Delegation> delegations_;
  std::map<DataCentreId, Versioned<DataCentreState>> data_centres_;
  std::map<TargetId, Versioned<TargetState>> targets_;
  std::map<AccountId, SecretOverlay> secrets_;
  std::map<std::uint64_t, QuarantineEntry> quarantine_;
  std::map<ServiceId, SplitTable> splits_;
  std::map<ShardId, RecordedAssignment> assignments_;
  std::map<InstanceId, WriterState> writers_;
  std::deque<AuditEntry> audit_;
  SnapshotProgress snapshot_;
};

}  // namespace dogwoodport
