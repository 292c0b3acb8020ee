#pragma once

/// @file
/// The control state: a fold over the records of the log in offset order. All instances that have
/// applied the same records hold the same state.

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

/// Audit entries that the state keeps.
inline constexpr std::size_t kMaxAuditEntries = 1000;
/// Writers whose latest records are remembered; the writer with the oldest last record goes first.
/// A record of a forgotten writer is still stopped by its expected version when repeated.
inline constexpr std::size_t kMaxWriters = 8192;
/// Quarantine entries that the state keeps; released ones, then the oldest, go first.
inline constexpr std::size_t kMaxQuarantineEntries = 1024;
/// Hot keys of one service that have shards of their own, as many as the hot key sketch counts.
inline constexpr std::size_t kMaxSplits = 256;
/// Most members of a permit group.
inline constexpr std::size_t kMaxGroupMembers = 7;
/// A writer may have this many records in flight; the fold recognises repeats among as many.
inline constexpr std::uint64_t kWriterWindow = 64;

/// A record was applied out of order, or a snapshot's content is not a control state.
class StateError : public Error {
 public:
  using Error::Error;
};

/// What the fold did with a record.
enum class ApplyOutcome {
  kApplied,
  /// Expected version, epoch or incarnation is no longer current: another writer was first.
  kStale,
  /// The same (writer, incarnation, sequence) was folded before.
  kRepeated,
  /// The content is invalid in the present state, e.g. an invalid document or an unknown target.
  kRefused,
};

/// Outcome of one record. `detail` says what differed.
struct ApplyResult {
  ApplyOutcome outcome = ApplyOutcome::kApplied;
  std::string detail;
};

/// Who changed what, when, why, from what to what.
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
  /// Why a record was not applied.
  std::string detail;
};

/// State of an entity with the number of changes that it has had.
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
  /// Key ids that stay invalid even if a document lists them.
  std::vector<std::string> withdrawn;
};

/// A hot key that is a shard of its own.
struct KeySplit {
  std::uint64_t key_hash = 0;
  std::uint32_t index = 0;
};

/// Hot keys of one service. Indices are never given out twice.
struct SplitTable {
  std::uint64_t version = 0;
  std::uint32_t next_index = 0;
  std::vector<KeySplit> splits;
};

/// An assignment and the data centre that holds it.
struct HomedAssignment {
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

/// Which records of a writer the fold has seen.
struct WriterState {
  Incarnation incarnation;
  std::uint64_t highest = 0;
  /// Bit n is set when sequence `highest - n` was seen.
  std::uint64_t seen = 0;
  std::uint64_t last_offset = 0;
};

/// The fold. Not thread-safe.
///
/// @code
/// ControlState state;
/// const ApplyResult result = state.Apply(state.next_offset(), record);
/// @endcode
class ControlState {
 public:
  /// An empty state whose first record is the one at `first_offset`.
  explicit ControlState(std::uint64_t first_offset = 1);

  /// Folds the record at `offset`, which must be `next_offset()`; throws `StateError` otherwise and
  /// changes nothing. Complexity: linear in the record; that of the document for a configuration
  /// change.
  ApplyResult Apply(std::uint64_t offset, const Record& record);

  /// Folds the text of a record. A text that is no record is skipped with an audit entry, as all
  /// readers find the same fault in it. Throws `UnknownRecordError`, and changes nothing, when the
  /// record is of another version.
  ApplyResult ApplyText(std::uint64_t offset, std::string_view text);

  /// Offset of the first record that is not folded yet. Complexity: constant.
  std::uint64_t next_offset() const noexcept { return next_offset_; }

  /// The configuration in force, with exceptions and changes of secrets applied. Never null;
  /// version 0 when none was published. A new object for each change. Complexity: constant.
  const std::shared_ptr<const Config>& config() const noexcept { return config_; }

  /// The configuration document in force as JSON text; empty when none was published.
  const std::string& document() const noexcept { return document_; }

  /// Applies exceptions anew whose end has passed since the configuration was made. Returns whether
  /// the configuration changed. Complexity: constant unless an exception has ended.
  bool RefreshExceptions(std::int64_t unix_ms);

  /// Returns the delegation of a data centre, or null. Complexity: logarithmic.
  const Delegation* delegation(DataCentreId data_centre) const;
  const std::map<DataCentreId, Delegation>& delegations() const noexcept { return delegations_; }

  /// Version and state; version 0 and in service when it never changed. Complexity: logarithmic.
  Versioned<DataCentreState> data_centre(DataCentreId id) const;
  Versioned<TargetState> target(TargetId id) const;

  /// Version of an account's secrets. Complexity: logarithmic.
  std::uint64_t secrets_version(AccountId account) const;

  /// Returns the entry of a fingerprint, or null. Complexity: logarithmic.
  const QuarantineEntry* quarantine(std::uint64_t fingerprint) const;
  const std::map<std::uint64_t, QuarantineEntry>& quarantined() const noexcept {
    return quarantine_;
  }

  /// Returns the hot keys of a service, or null. Complexity: logarithmic.
  const SplitTable* splits(ServiceId service) const;

  /// Assignments as last recorded in the log; the permit groups may have later ones.
  const std::map<ShardId, HomedAssignment>& assignments() const noexcept { return assignments_; }

  /// Returns whether the record of a writer was folded. Complexity: logarithmic.
  bool HasFolded(InstanceId writer, Incarnation incarnation, std::uint64_t sequence) const;

  /// The last `kMaxAuditEntries` records, oldest first.
  const std::deque<AuditEntry>& audit() const noexcept { return audit_; }

  /// Returns the whole state as JSON text, equal for equal states. Complexity: linear.
  std::string Serialize() const;

  /// Makes a state from the text of `Serialize`. Throws `StateError` when it is none.
  static ControlState Deserialize(std::string_view text, std::int64_t unix_ms);

  /// XXH3 64 of `Serialize()`, to compare instances. Complexity: linear.
  std::uint64_t Digest() const;

 private:
  friend class StateFolder;
  friend struct StateFields;

  bool NoteWriter(std::uint64_t offset, const Record& record, ApplyResult& result);
  void EvictWriter();
  void AddAudit(AuditEntry entry);
  void MakeConfig(std::int64_t unix_ms);
  void OverlaySecrets();

  std::uint64_t next_offset_;
  std::uint64_t config_version_ = 0;
  std::string document_;
  /// The document's configuration before changes of secrets.
  std::shared_ptr<const Config> base_config_;
  std::shared_ptr<const Config> config_;
  /// When the next exception ends, of those in force.
  std::optional<std::int64_t> next_exception_end_ms_;
  std::map<DataCentreId, Delegation> delegations_;
  std::map<DataCentreId, Versioned<DataCentreState>> data_centres_;
  std::map<TargetId, Versioned<TargetState>> targets_;
  std::map<AccountId, SecretOverlay> secrets_;
  std::map<std::uint64_t, QuarantineEntry> quarantine_;
  std::map<ServiceId, SplitTable> splits_;
  std::map<ShardId, HomedAssignment> assignments_;
  std::map<InstanceId, WriterState> writers_;
  std::deque<AuditEntry> audit_;
};

}  // namespace dogwoodport
