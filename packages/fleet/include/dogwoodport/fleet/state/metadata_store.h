#pragma once

/// @file
/// Interface to the platform's metadata store: five feeds of keyed records. The newest record of
/// each key is kept permanently. The platform adapter implements it.

#include <functional>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "dogwoodport/core/types.h"

namespace dogwoodport::fleet {

/// Feeds of the store.
enum class Feed {
  kOperators,   ///< Configuration and withdrawn data centres, written by operators.
  kTargets,     ///< Heartbeats, written by the targets.
  kInstances,   ///< Addresses, written by the instances.
  kOwnership,   ///< Owners of the keys, written by the coordinator.
  kQuarantine,  ///< Quarantined requests by fingerprint, written by the coordinator.
};

/// A record of a feed. A record without a value marks its key as deleted.
struct StoreRecord {
  std::uint64_t offset = 0;
  std::string key;
  std::optional<std::string> value;

  MSGPACK_DEFINE_ARRAY(offset, key, value)
};

/// Records from the requested offset on. `end` is the offset of the next record to be appended.
struct StoreRecords {
  std::vector<StoreRecord> records;
  std::uint64_t end = 0;
};

/// The records at the requested offset have been deleted. Only the newest record of each key
/// remains.
struct StoreTrimmed {};

/// The store did not respond, refused the call or responded with an error.
struct StoreUnavailable {
  std::string reason;
};

using ReadOutcome = std::variant<StoreRecords, StoreTrimmed, StoreUnavailable>;

/// The record was appended at `offset`.
struct Appended {
  std::uint64_t offset = 0;
};

/// The end of the feed differs from the one expected by the writer.
struct AppendConflict {
  std::uint64_t end = 0;
};

/// In case of StoreUnavailable, the record may have been appended or may still be appended.
using AppendOutcome = std::variant<Appended, AppendConflict, StoreUnavailable>;

/// Asynchronous client of the store. Each callback is called exactly once, from the event loop.
class MetadataStore {
 public:
  virtual ~MetadataStore() = default;

  /// Reads the records from offset `from` on. Waits up to `wait` for the first record.
  virtual void Read(Feed feed, std::uint64_t from, Duration wait,
                    std::function<void(ReadOutcome)> done) = 0;

  /// Reads the newest record of each key.
  virtual void ReadNewest(Feed feed, std::function<void(ReadOutcome)> done) = 0;

  /// Appends a record. An empty `value` deletes the key. If `expected_end` is set, the record is
  /// appended only if the feed ends there.
  virtual void Append(Feed feed, const std::string& key, const std::string& value,
                      std::optional<std::uint64_t> expected_end,
                      std::function<void(AppendOutcome)> done) = 0;

  /// Returns the number of calls since the start, including refused ones.
  virtual std::uint64_t calls() const noexcept = 0;
};

}  // namespace dogwoodport::fleet
