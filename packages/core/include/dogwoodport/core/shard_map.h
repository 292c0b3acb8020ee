#pragma once

/// @file
/// Mappings of keys to shards, and of shards to their assignments and home data centres.

#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "dogwoodport/core/ownership_messages.h"
#include "dogwoodport/core/types.h"

namespace dogwoodport {

/// First index of single-key shards, above the indices of all hash shards.
inline constexpr std::uint32_t kFirstSingleKeyShard = 1U << 24;

/// Returns the 64-bit hash of a key, never 0. Complexity: linear in the length of the key.
std::uint64_t HashKey(std::string_view key) noexcept;

/// Returns the index of the hash shard of a key. `shard_count` must not be 0. Complexity: constant.
std::uint32_t HashShard(std::uint64_t key_hash, std::uint32_t shard_count) noexcept;

/// State of a shard. Only a committed shard has an owner.
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

/// Assignment table of one data centre: the result of its changes, applied in order.
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

  /// Returns the shard of a key: its single-key shard if it has one, otherwise its hash shard.
  /// Allocates nothing. Complexity: logarithmic in the numbers of services and single-key shards.
  ShardRef Find(ServiceId service, std::uint64_t key_hash) const noexcept;

  /// Returns the entry of `shard` or null. Complexity: constant for hash shards, linear in the
  /// number of single-key shards otherwise.
  const ShardEntry* Get(ShardId shard) const noexcept;

  /// Applies one change and sets the sequence to that of the change. Complexity: as `Get`.
  void Apply(const ShardChange& change);

  /// Replaces the table. Complexity: linear.
  void Install(Epoch sequence, const std::vector<ShardChange>& entries);

  /// Returns the complete table in the form that `Install` accepts. Complexity: linear.
  std::vector<ShardChange> Export() const;

  /// Calls `visit(ShardId, const ShardEntry&)` for each shard. Complexity: linear.
  template <typename Visitor>
  void ForEach(Visitor&& visit) const {
    for (const Service& service : services_) Visit(service, visit);
  }

  /// Calls `visit(ShardId, const ShardEntry&)` for each shard of one service.
  template <typename Visitor>
  void ForEachOf(ServiceId id, Visitor&& visit) const {
    const Service* service = FindService(id);
    if (service != nullptr) Visit(*service, visit);
  }

  /// Sequence of the latest applied change.
  Epoch sequence() const noexcept { return sequence_; }

  /// Returns the approximate memory use in bytes. Complexity: linear in the number of services.
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

  template <typename Visitor>
  static void Visit(const Service& service, Visitor& visit) {
    for (std::uint32_t i = 0; i < service.entries.size(); ++i) {
      if (service.entries[i].state == ShardState::kUnassigned) continue;
      visit(ShardId{service.id, i}, service.entries[i]);
    }
    for (const SingleKey& key : service.single_keys) {
      visit(ShardId{service.id, key.index}, key.entry);
    }
  }

  const Service* FindService(ServiceId id) const noexcept;
  Service& ServiceOf(ServiceId id);
  static void ApplyEntry(ShardEntry& entry, const ShardChange& change);

  /// Sorted by identifier.
  std::vector<Service> services_;
  Epoch sequence_;
};

/// Home of a hash shard and the epoch of its latest record.
struct ShardHome {
  /// Data centre of the latest record; zero if there is none.
  DataCentreId data_centre;
  Epoch epoch;
  /// Whether that data centre has released the shard.
  bool released = false;

  /// Data centre that holds the shard, or zero if none does.
  DataCentreId holder() const noexcept { return released ? DataCentreId{} : data_centre; }
};

/// Home data centre of each hash shard, as recorded in the log.
class HomeMap {
 public:
  /// Returns the home of a hash shard. Allocates nothing. Complexity: constant.
  ShardHome Home(ShardId shard) const noexcept;

  /// Sets the home of a hash shard. Complexity: amortized constant.
  void Set(ShardId shard, ShardHome home);

  /// Number of calls of `Set`, for the detection of changes.
  std::uint64_t version() const noexcept { return version_; }

  /// Returns the approximate memory use in bytes. Complexity: linear in the number of services.
  std::size_t MemoryBytes() const noexcept;

 private:
  std::unordered_map<ServiceId, std::vector<ShardHome>> homes_;
  std::uint64_t version_ = 0;
};

}  // namespace dogwoodport
