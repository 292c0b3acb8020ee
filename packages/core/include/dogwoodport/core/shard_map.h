#pragma once

/// @file
/// Maps keys to shards, shards to their assignment, and shards to their home data centre.

#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "dogwoodport/core/ownership_messages.h"
#include "dogwoodport/core/types.h"

namespace dogwoodport {

/// Shards of a single key have indices from here on, so that they never meet a hash shard.
inline constexpr std::uint32_t kFirstSingleKeyShard = 1U << 24;

/// Returns the 64-bit hash of a key. Never 0. Complexity: linear in the length of the key.
std::uint64_t HashKey(std::string_view key) noexcept;

/// Returns the hash shard of a key. Complexity: constant. `shard_count` must not be 0.
std::uint32_t HashShard(std::uint64_t key_hash, std::uint32_t shard_count) noexcept;

/// Whether a shard has an owner.
enum class ShardState : std::uint8_t { kUnassigned, kPrepared, kCommitted };

/// Assignment of one shard in one data centre.
struct ShardEntry {
  ShardState state = ShardState::kUnassigned;
  /// Owner if committed, intended owner if prepared.
  TargetId target;
  Epoch epoch;
  std::uint64_t key_hash = 0;
};

/// A shard and its assignment; `entry` is null if the table does not have the shard.
struct ShardRef {
  ShardId shard;
  const ShardEntry* entry = nullptr;
};

/// Assignment table of one data centre: the result of its changes in order.
///
/// @code
/// ShardMap map;
/// map.SetShardCount(service, 1024);
/// map.Apply(change);
/// const ShardRef ref = map.Find(service, HashKey("ledger-17"));
/// @endcode
class ShardMap {
 public:
  /// Sets the number of hash shards of a service. It must never change while the service exists.
  void SetShardCount(ServiceId service, std::uint32_t shard_count);

  /// Returns the number of hash shards of a service, 0 if unknown. Complexity: logarithmic in the
  /// number of services.
  std::uint32_t ShardCount(ServiceId service) const noexcept;

  /// Returns the shard of a key: its own one if it is hot, otherwise its hash shard. Allocates
  /// nothing. Complexity: logarithmic in the numbers of services and of single-key shards.
  ShardRef Find(ServiceId service, std::uint64_t key_hash) const noexcept;

  /// Returns the entry of `shard` or null. Complexity: constant for hash shards, linear in the
  /// number of single-key shards otherwise.
  const ShardEntry* Get(ShardId shard) const noexcept;

  /// Applies one change and moves the sequence to it. Complexity: as `Get`.
  void Apply(const ShardChange& change);

  /// Replaces the table. Complexity: linear.
  void Install(Epoch sequence, const std::vector<ShardChange>& entries);

  /// Returns the whole table in a form that `Install` takes. Complexity: linear.
  std::vector<ShardChange> Export() const;

  /// Calls `visit(ShardId, const ShardEntry&)` for each shard. Complexity: linear.
  template <typename Visitor>
  void ForEach(Visitor&& visit) const {
    for (const Service& service : services_) {
      for (std::uint32_t i = 0; i < service.entries.size(); ++i) {
        if (service.entries[i].state == ShardState::kUnassigned) continue;
        visit(ShardId{service.id, i}, service.entries[i]);
      }
      for (const SingleKey& key : service.single_keys) {
        visit(ShardId{service.id, key.index}, key.entry);
      }
    }
  }

  /// Sequence of the last change applied.
  Epoch sequence() const noexcept { return sequence_; }

  /// Bytes of the tables. Complexity: linear in the number of services.
  std::size_t MemoryBytes() const noexcept;

 private:
  struct SingleKey {
    std::uint64_t key_hash = 0;
    std::uint32_t index = 0;
    ShardEntry entry;
  };
  struct Service {
    ServiceId id;
    std::uint32_t shard_count = 0;
    std::vector<ShardEntry> entries;
    /// Sorted by hash.
    std::vector<SingleKey> single_keys;
  };

  const Service* FindService(ServiceId id) const noexcept;
  Service& ServiceOf(ServiceId id);
  static void ApplyEntry(ShardEntry& entry, const ShardChange& change);

  /// Sorted by identifier.
  std::vector<Service> services_;
  Epoch sequence_;
};

/// Home of a hash shard and the epoch of the record that last concerned it.
struct ShardHome {
  /// Data centre that recorded last; zero if none did.
  DataCentreId data_centre;
  Epoch epoch;
  /// Whether that data centre released the shard.
  bool released = false;

  /// Data centre that holds the shard; zero if none does.
  DataCentreId holder() const noexcept { return released ? DataCentreId{} : data_centre; }
};

/// Home data centre of each hash shard, as recorded in the log.
class HomeMap {
 public:
  /// Returns the home of a hash shard. Allocates nothing. Complexity: constant.
  ShardHome Home(ShardId shard) const noexcept;

  /// Sets the home of a hash shard. Complexity: amortized constant.
  void Set(ShardId shard, ShardHome home);

  /// Bytes of the tables. Complexity: linear in the number of services.
  std::size_t MemoryBytes() const noexcept;

 private:
  std::unordered_map<ServiceId, std::vector<ShardHome>> homes_;
};

}  // namespace dogwoodport
