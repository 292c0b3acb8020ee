#pragma once

/// @file
/// Which target owns which keys of the keyed services, as the coordinator records it.

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

/// A range of keys and its owner, both ends inclusive.
struct KeyRange {
  std::uint16_t first = 0;
  std::uint16_t last = 0;
  /// Target; empty while no target may hold the range.
  std::string owner;
  /// Incarnation of the owner.
  std::uint64_t incarnation = 0;
  /// Fencing token of the owner's grants; 0 in a record stands for the record's own offset.
  std::uint64_t fencing_token = 0;
  /// Target that may still hold the range, which is moving; empty otherwise.
  std::string previous;
  std::uint64_t previous_incarnation = 0;
  std::uint64_t previous_token = 0;
  /// Whether requests may be sent to the owner. Not part of a decision: routers hold back requests
  /// for ranges that are not ready.
  bool ready = false;

  std::uint32_t size() const noexcept { return static_cast<std::uint32_t>(last) - first + 1; }

  friend bool operator==(const KeyRange&, const KeyRange&) = default;
  MSGPACK_DEFINE_ARRAY(first, last, owner, incarnation, fencing_token, previous,
                       previous_incarnation, previous_token, ready)
};

/// Ranges of one service in ascending order, without gaps.
using KeyRanges = std::vector<KeyRange>;

/// Everything that the coordinator decides.
struct KeyTable {
  /// Offset of the record by which the present coordinator took over: its fencing token.
  std::uint64_t generation = 0;
  /// Address of the coordinator.
  std::string coordinator;
  /// Number of the change within the generation.
  std::uint64_t serial = 0;
  /// Number of the state within the generation; also grows when ranges become ready.
  std::uint64_t revision = 0;
  std::map<std::string, KeyRanges> services;
  /// See `LendingStart::takeovers`.
  int takeovers = 0;

  MSGPACK_DEFINE_ARRAY(generation, coordinator, serial, revision, services, takeovers)

  /// Whether `other` is an older state. Complexity: constant.
  bool NewerThan(const KeyTable& other) const noexcept {
    return std::pair(generation, revision) > std::pair(other.generation, other.revision);
  }
  /// Returns the range of a key, or nullptr. Complexity: logarithmic.
  const KeyRange* Find(const std::string& service, std::uint16_t key) const;
};

/// Replaces the tokens 0 by the offset of the record; a take-over record also gets its generation.
void ResolveTokens(KeyTable& table, std::uint64_t offset);

/// Difference between two states of one generation.
struct KeyTableChange {
  std::uint64_t generation = 0;
  std::uint64_t from_revision = 0;
  std::uint64_t to_revision = 0;
  std::uint64_t serial = 0;
  /// Ranges that are new. They cover exactly what the ranges that they replace covered.
  std::map<std::string, KeyRanges> services;

  MSGPACK_DEFINE_ARRAY(generation, from_revision, to_revision, serial, services)
};

/// Returns the change from `before` to `after`, or nothing if they differ in their generation or
/// their services.
std::optional<KeyTableChange> Difference(const KeyTable& before, const KeyTable& after);

/// Applies a change to the state that it starts from; returns false, and leaves the table as it is,
/// if the table has another state.
bool Apply(const KeyTableChange& change, KeyTable& table);

/// Codec of the changes. `DecodeKeyTableChange` throws std::exception on other bytes.
std::string Encode(const KeyTableChange& change);
KeyTableChange DecodeKeyTableChange(const std::string& bytes);

/// Codec of the records. `Decode` throws std::exception on other bytes.
std::string Encode(const KeyTable& table);
KeyTable DecodeKeyTable(const std::string& bytes);
/// Decodes the record at `offset` and resolves its tokens. Whether a grant was confirmed is not
/// recorded, so ranges that are not moving count as ready; a target that holds no key says so.
KeyTable DecodeRecordedTable(const std::string& bytes, std::uint64_t offset);

/// Merges neighbours with the same owner that are not moving. A merged range gets token 0, so that
/// one grant with a new token covers it.
void MergeNeighbours(KeyRanges& ranges);

}  // namespace dogwoodport::fleet
