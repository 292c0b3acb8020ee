#include "dogwoodport/core/hot_keys.h"

#include <algorithm>

namespace dogwoodport {

std::size_t HotKeySketch::FindSlot(std::uint64_t key_hash) const noexcept {
  std::size_t slot = key_hash % kSlots;
  while (slots_[slot] != 0 && counters_[slots_[slot] - 1].key_hash != key_hash) {
    slot = (slot + 1) % kSlots;
  }
  return slot;
}

void HotKeySketch::EraseSlot(std::uint64_t key_hash) noexcept {
  std::size_t hole = FindSlot(key_hash);
  std::size_t slot = hole;
  // Backward-shift deletion keeps probe sequences free of gaps.
  while (true) {
    slot = (slot + 1) % kSlots;
    if (slots_[slot] == 0) break;
    const std::size_t home = counters_[slots_[slot] - 1].key_hash % kSlots;
    if ((slot - home) % kSlots < (slot - hole) % kSlots) continue;
    slots_[hole] = slots_[slot];
    hole = slot;
  }
  slots_[hole] = 0;
}

std::size_t HotKeySketch::FindMinCounter() noexcept {
  // Counts only grow, so after a full round without a match the minimum must be recomputed.
  for (std::size_t i = 0; i < kHotKeyCounters; ++i) {
    scan_position_ = (scan_position_ + 1) % kHotKeyCounters;
    if (counters_[scan_position_].count <= scan_count_) return scan_position_;
  }
  const auto it =
      std::min_element(counters_.begin(), counters_.end(),
                       [](const Counter& a, const Counter& b) { return a.count < b.count; });
  scan_count_ = it->count;
  scan_position_ = static_cast<std::size_t>(it - counters_.begin());
  return scan_position_;
}

void HotKeySketch::Add(std::uint64_t key_hash) noexcept {
  ++total_;
  const std::size_t slot = FindSlot(key_hash);
  if (slots_[slot] != 0) {
    ++counters_[slots_[slot] - 1].count;
    return;
  }
  if (used_ < kHotKeyCounters) {
    counters_[used_] = Counter{key_hash, 1, 0};
    slots_[slot] = static_cast<std::uint16_t>(++used_);
    return;
  }
  const std::size_t i = FindMinCounter();
  EraseSlot(counters_[i].key_hash);
  counters_[i] = Counter{key_hash, counters_[i].count + 1, counters_[i].count};
  slots_[FindSlot(key_hash)] = static_cast<std::uint16_t>(i + 1);
}

std::vector<LoadCount> HotKeySketch::Top(std::size_t n) const {
  std::vector<LoadCount> keys;
  for (std::size_t i = 0; i < used_; ++i) {
    keys.push_back({counters_[i].key_hash, counters_[i].count - counters_[i].error});
  }
  n = std::min(n, keys.size());
  std::partial_sort(keys.begin(), keys.begin() + static_cast<std::ptrdiff_t>(n), keys.end(),
                    [](const LoadCount& a, const LoadCount& b) { return a.count > b.count; });
  keys.resize(n);
  return keys;
}

void HotKeySketch::Clear() noexcept { *this = HotKeySketch{}; }

std::vector<HotKeyProposal> HotKeyPlanner::Plan(TimePoint now, double total,
                                                const std::vector<LoadCount>& keys,
                                                const std::vector<std::uint64_t>& split) {
  std::vector<HotKeyProposal> proposals;
  if (total <= 0) return proposals;
  const auto is_split = [&split](std::uint64_t key) {
    return std::find(split.begin(), split.end(), key) != split.end();
  };
  std::size_t count = split.size();
  for (const LoadCount& key : keys) {
    if (count >= kMaxSingleKeyShards) break;
    if (static_cast<double>(key.count) < kSplitShare * total || is_split(key.id)) continue;
    proposals.push_back({key.id, true});
    ++count;
  }
  std::vector<Cold> cold;
  for (const std::uint64_t key : split) {
    const auto it =
        std::find_if(keys.begin(), keys.end(), [key](const LoadCount& k) { return k.id == key; });
    if (it != keys.end() && static_cast<double>(it->count) >= kMergeShare * total) continue;
    const auto old = std::find_if(cold_.begin(), cold_.end(),
                                  [key](const Cold& c) { return c.key_hash == key; });
    const TimePoint since = old == cold_.end() ? now : old->since;
    if (now - since >= kMergeHold) {
      proposals.push_back({key, false});
    } else {
      cold.push_back({key, since});
    }
  }
  cold_ = std::move(cold);
  return proposals;
}

}  // namespace dogwoodport
