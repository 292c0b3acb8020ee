#pragma once

/// @file
/// The platform's store as the product uses it: five feeds of records with keys, of which the
/// newest record of each key is kept for good. The adapter implements it.

#include <functional>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "dogwoodport/core/types.h"

namespace dogwoodport::fleet {

/// What the store holds for the product.
enum class Feed {
  kOperators,   ///< Configuration and withdrawn data centres, written by operators.
  kTargets,     ///< Heartbeats of the targets, written by them.
  kInstances,   ///< Addresses of the instances, written by them.
  kOwnership,   ///< Owners of the keys, written by the coordinator.
  kQuarantine,  ///< Requests in quarantine by fingerprint, written by the coordinator.
};

/// One record. Without a value its key was deleted.
struct StoreRecord {
  std::uint64_t offset = 0;
  std::string key;
  std::optional<std::string> value;

  MSGPACK_DEFINE_ARRAY(offset, key, value)
};

/// Records from the requested offset on; `end` is the offset that the next record will get.
struct StoreRecords {
  std::vector<StoreRecord> records;
  std::uint64_t end = 0;
};

/// The records at the requested offset have been deleted; the newest of each key remain.
struct StoreTrimmed {};

/// The store did not answer, refused, or answered with an error.
struct StoreUnavailable {
  std::string reason;
};

using ReadOutcome = std::variant<StoreRecords, StoreTrimmed, StoreUnavailable>;

/// The record was appended at `offset`.
struct Appended {
  std::uint64_t offset = 0;
};

/// The feed did not end where the writer expected.
struct AppendConflict {
  std::uint64_t end = 0;
};

/// StoreUnavailable means that the record may have been appended or may be appended later.
using AppendOutcome = std::variant<Appended, AppendConflict, StoreUnavailable>;

/// Calls to the store. Each callback is called once, from the event loop.
class MetadataStore {
 public:
  virtual ~MetadataStore() = default;

  /// Reads the records from offset `from` on; waits up to `wait` for the first one.
  virtual void Read(Feed feed, std::uint64_t from, Duration wait,
                    std::function<void(ReadOutcome)> done) = 0;

  /// Reads the newest record of each key.
  virtual void ReadNewest(Feed feed, std::function<void(ReadOutcome)> done) = 0;

  /// Appends one record; an empty `value` deletes the key. With `expected_end` it is appended only
  /// if the feed ends there.
  virtual void Append(Feed feed, const std::string& key, const std::string& value,
                      std::optional<std::uint64_t> expected_end,
                      std::function<void(AppendOutcome)> done) = 0;

  /// Calls made since the start, refused ones included.
  virtual std::uint64_t calls() const noexcept = 0;
};

}  // namespace dogwoodport::fleet
