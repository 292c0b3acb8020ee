#pragma once

/// @file
/// Table of the targets that own the keys of the keyed services, as recorded by the coordinator.

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <vector>

#include "dogwoodport/core/types.h"

namespace dogwoodport::fleet {

/// Keys run from 0 to kKeyCount - 1.
inline constexpr std::uint32_t kKeyCount = 65'536;

/// A range of keys and its owner. Both ends are inclusive.
struct KeyRange {
  std::uint16_t first = 0;
  std::uint16_t last = 0;
  /// Id of the owning target; empty while no target may hold the range.
  std::string owner;
  /// Incarnation of the owner.
  std::uint64_t incarnation = 0;
  /// Fencing token of the owner's grants. 0 in a record represents the offset of the record itself.
  std::uint64_t fencing_token = 0;
  /// Target that may still hold the range while it moves; empty if the range is not moving.
  std::string previous;
  std::uint64_t previous_incarnation = 0;
  std::uint64_t previous_token = 0;
  /// Whether requests may be sent to the owner. Instances hold back requests for ranges that are
  /// not ready. The flag reflects the state of the grant and is not a decision of the coordinator.
  bool ready = false;

  std::uint32_t size() const noexcept { return static_cast<std::uint32_t>(last) - first + 1; }

  friend bool operator==(const KeyRange&, const KeyRange&) = default;
  MSGPACK_DEFINE_ARRAY(first, last, owner, incarnation, fencing_token, previous,
                       previous_incarnation, previous_token, ready)
};

/// Ranges of one service in ascending order, without gaps.
using KeyRanges = std::vector<KeyRange>;

/// A coordinator that has been replaced but may still renew grants.
struct EarlierRenewer {
  std::string address;
  std::uint64_t generation = 0;

  MSGPACK_DEFINE_ARRAY(address, generation)
};

/// Complete ownership state decided by the coordinator.
struct KeyTable {
  /// Offset of the record by which the current coordinator took over; also its fencing token.
  std::uint64_t generation = 0;
  /// Address of the coordinator.
  std::string coordinator;
  /// Sequence number of the latest recorded change within the generation.
  std::uint64_t serial = 0;
  /// Sequence number of the state within the generation. Also incremented when ranges become ready.
  std::uint64_t revision = 0;
  std::map<std::string, KeyRanges> services;
  /// See `LendingStart::takeovers`.
  int takeovers = 0;
  /// The coordinators before `coordinator` that may still renew grants; unset if they are not
  /// known. A record with this field also states that `coordinator` renews no grant of a key from
  /// the time on at which it began to record that the key moves.
  std::optional<std::vector<EarlierRenewer>> earlier_renewers;

  MSGPACK_DEFINE_ARRAY(generation, coordinator, serial, revision, services, takeovers,
                       earlier_renewers)

  /// Whether this state is newer than `other`. Complexity: constant.
  bool NewerThan(const KeyTable& other) const noexcept {
    return std::pair(generation, revision) > std::pair(other.generation, other.revision);
  }
  /// Returns the range that contains a key, or nullptr. Complexity: logarithmic.
  const KeyRange* Find(const std::string& service, std::uint16_t key) const;
};

/// Replaces tokens of 0 with the offset of the record. A take-over record also gets its generation.
void ResolveTokens(KeyTable& table, std::uint64_t offset);

/// Difference between two states of one generation.
struct KeyTableChange {
  std::uint64_t generation = 0;
  std::uint64_t from_revision = 0;
  std::uint64_t to_revision = 0;
  std::uint64_t serial = 0;
  /// Ranges that are new or changed. They cover exactly the keys of the ranges that they replace.
  std::map<std::string, KeyRanges> services;

  MSGPACK_DEFINE_ARRAY(generation, from_revision, to_revision, serial, services)
};

/// Returns the change from `before` to `after`, or nothing if their generations or services differ
/// or if a service had no ranges before.
std::optional<KeyTableChange> Difference(const KeyTable& before, const KeyTable& after);

/// Applies a change to the state that it starts from. Returns false and leaves the table unchanged
/// if the table is in a different state.
bool Apply(const KeyTableChange& change, KeyTable& table);

/// Encodes and decodes a change. `DecodeKeyTableChange` throws std::exception on invalid input.
std::string Encode(const KeyTableChange& change);
KeyTableChange DecodeKeyTableChange(const std::string& bytes);

/// Encodes and decodes a record. `DecodeKeyTable` throws std::exception on invalid input.
std::string Encode(const KeyTable& table);
KeyTable DecodeKeyTable(const std::string& bytes);
/// Decodes the record at `offset` and resolves its tokens. Records do not contain whether a grant
/// was confirmed, so ranges that are not moving count as ready. A target that does not hold a key
/// refuses requests for it.
KeyTable DecodeRecordedTable(const std::string& bytes, std::uint64_t offset);

/// Merges adjacent ranges that have the same owner, incarnation and readiness and are not moving. A
/// merged range gets token 0, so that a single grant with a new token covers it.
void MergeNeighbours(KeyRanges& ranges);

}  // namespace dogwoodport::fleet
