#pragma once

/// @file
/// Finds the keys with the most requests in constant memory.

#include <array>
#include <cstdint>
#include <vector>

#include "dogwoodport/core/ownership_messages.h"

namespace dogwoodport {

/// Counters of the sketch; the count of a key is too high by at most total / 256.
inline constexpr std::size_t kHotKeyCounters = 256;

/// Space-saving sketch (Metwally, Agrawal, El Abbadi 2005) of the keys of one service.
///
/// @code
/// sketch.Add(HashKey("ledger-17"));
/// for (const LoadCount& key : sketch.Top(32)) ...
/// @endcode
class HotKeySketch {
 public:
  /// Counts a request. Complexity: linear in the number of counters, constant for a key that was
  /// counted a short while ago. Allocates nothing.
  void Add(std::uint64_t key_hash) noexcept;

  /// Returns the `n` keys with the highest guaranteed counts, highest first.
  std::vector<LoadCount> Top(std::size_t n) const;

  std::uint64_t total() const noexcept { return total_; }

  /// Forgets everything. Complexity: linear in the number of counters.
  void Clear() noexcept;

 private:
  struct Counter {
    std::uint64_t key_hash = 0;
    std::uint64_t count = 0;
    std::uint64_t error = 0;
  };
  /// Open addressing from hash to counter; 0 is free.
  static constexpr std::size_t kSlots = 1024;

  std::size_t FindSlot(std::uint64_t key_hash) const noexcept;
  void EraseSlot(std::uint64_t key_hash) noexcept;
  std::size_t Smallest() noexcept;

  std::array<Counter, kHotKeyCounters> counters_{};
  std::array<std::uint16_t, kSlots> slots_{};
  std::size_t used_ = 0;
  /// Where the search for a smallest counter goes on, and the value it looks for.
  std::size_t hand_ = 0;
  std::uint64_t smallest_ = 0;
  std::uint64_t total_ = 0;
};

/// What to do with a hot key.
struct HotKeyProposal {
  std::uint64_t key_hash = 0;
  /// True gives the key a shard of its own, false returns it to its hash shard.
  bool split = true;
};

/// Part of a service's requests above which a key gets a shard of its own.
inline constexpr double kSplitShare = 0.005;
/// Part of a service's requests below which it returns; lower than `kSplitShare` as hysteresis.
inline constexpr double kMergeShare = 0.001;
/// Time below `kMergeShare` before a key returns to its hash shard.
inline constexpr Duration kMergeHold{10'000'000};
/// Upper bound of single-key shards of a service.
inline constexpr std::size_t kMaxSingleKeyShards = 128;

/// Decides on splits and merges of one service from the load of its keys.
class HotKeyPlanner {
 public:
  /// Returns proposals. `keys` holds the recent load of hot keys, `split` the keys that have a
  /// shard of their own. Complexity: product of the two sizes.
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
