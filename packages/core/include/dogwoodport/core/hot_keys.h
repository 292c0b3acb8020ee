#pragma once

/// @file
/// Finds the keys with the most requests in constant memory.

#include <array>
#include <cstdint>
#include <vector>

#include "dogwoodport/core/ownership_messages.h"

namespace dogwoodport {

/// Number of counters of the sketch. The count of a key is overestimated by at most total / 256.
inline constexpr std::size_t kHotKeyCounters = 256;

/// Space-saving sketch (Metwally, Agrawal, El Abbadi 2005) of the keys of one service.
///
/// @code
/// sketch.Add(HashKey("ledger-17"));
/// for (const LoadCount& key : sketch.Top(32)) ...
/// @endcode
class HotKeySketch {
 public:
  /// Counts a request. Complexity: constant for a key that has a counter, otherwise at most linear
  /// in the number of counters. Allocates nothing.
  void Add(std::uint64_t key_hash) noexcept;

  /// Returns the `n` keys with the highest guaranteed counts, highest first.
  std::vector<LoadCount> Top(std::size_t n) const;

  std::uint64_t total() const noexcept { return total_; }

  /// Resets all counters. Complexity: linear in the number of counters.
  void Clear() noexcept;

 private:
  struct Counter {
    std::uint64_t key_hash = 0;
    std::uint64_t count = 0;
    std::uint64_t error = 0;
  };
  /// Size of the open-addressing table, which maps key hashes to counter numbers from 1; 0 marks a
  /// free slot.
  static constexpr std::size_t kSlots = 1024;

  std::size_t FindSlot(std::uint64_t key_hash) const noexcept;
  void EraseSlot(std::uint64_t key_hash) noexcept;
  std::size_t FindMinCounter() noexcept;

  std::array<Counter, kHotKeyCounters> counters_{};
  std::array<std::uint16_t, kSlots> slots_{};
  std::size_t used_ = 0;
  /// Position at which the search for a minimum counter resumes, and the count that it looks for.
  std::size_t scan_position_ = 0;
  std::uint64_t scan_count_ = 0;
  std::uint64_t total_ = 0;
};

/// Proposed split or merge of a key.
struct HotKeyProposal {
  std::uint64_t key_hash = 0;
  /// If true, the key gets a single-key shard; otherwise it returns to its hash shard.
  bool split = true;
};

/// Share of a service's requests at or above which a key gets a single-key shard.
inline constexpr double kSplitShare = 0.005;
/// Share of a service's requests below which a key returns to its hash shard. It is lower than
/// `kSplitShare` to provide hysteresis.
inline constexpr double kMergeShare = 0.001;
/// Time for which a key must stay below `kMergeShare` before it returns to its hash shard.
inline constexpr Duration kMergeHold{10'000'000};
/// Maximum number of single-key shards of a service.
inline constexpr std::size_t kMaxSingleKeyShards = 128;

/// Plans splits and merges of the keys of one service from their load.
class HotKeyPlanner {
 public:
  /// Returns the splits and merges that are due. `keys` holds the recent load of hot keys in
  /// descending order, `split` the keys that have a single-key shard. Complexity: product of the
  /// two sizes.
  std::vector<HotKeyProposal> Plan(TimePoint now, double total, const std::vector<LoadCount>& keys,
                                   const std::vector<std::uint64_t>& split);

 private:
  struct Cold {
    std::uint64_t key_hash = 0;
    TimePoint since{};
  };
  std::vector<Cold> cold_;
};

}  // namespace dogwoodport
