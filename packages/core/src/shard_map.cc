#include "dogwoodport/core/shard_map.h"

#include <xxhash.h>

#include <algorithm>

namespace dogwoodport {

std::uint64_t HashKey(std::string_view key) noexcept {
  const std::uint64_t hash = XXH3_64bits(key.data(), key.size());
  return hash == 0 ? 1 : hash;
}

std::uint32_t HashShard(std::uint64_t key_hash, std::uint32_t shard_count) noexcept {
  return static_cast<std::uint32_t>(((key_hash >> 32) * shard_count) >> 32);
}

const ShardMap::Service* ShardMap::FindService(ServiceId id) const noexcept {
  const auto it = std::lower_bound(services_.begin(), services_.end(), id,
                                   [](const Service& s, ServiceId i) { return s.id < i; });
  return it != services_.end() && it->id == id ? &*it : nullptr;
}

ShardMap::Service& ShardMap::ServiceOf(ServiceId id) {
  auto it = std::lower_bound(services_.begin(), services_.end(), id,
                             [](const Service& s, ServiceId i) { return s.id < i; });
  if (it == services_.end() || it->id != id) {
    it = services_.insert(it, Service{id, 0, {}, {}});
  }
  return *it;
}

void ShardMap::SetShardCount(ServiceId service, std::uint32_t shard_count) {
  Service& s = ServiceOf(service);
  s.shard_count = shard_count;
  if (s.entries.size() < shard_count) s.entries.resize(shard_count);
}

std::uint32_t ShardMap::ShardCount(ServiceId service) const noexcept {
  const Service* s = FindService(service);
  return s == nullptr ? 0 : s->shard_count;
}

ShardRef ShardMap::Find(ServiceId service, std::uint64_t key_hash) const noexcept {
  const Service* s = FindService(service);
  if (s == nullptr || s->shard_count == 0) return {};
  const auto it =
      std::lower_bound(s->single_keys.begin(), s->single_keys.end(), key_hash,
                       [](const SingleKey& k, std::uint64_t h) { return k.key_hash < h; });
  if (it != s->single_keys.end() && it->key_hash == key_hash) {
    return {ShardId{service, it->index}, &it->entry};
  }
  const std::uint32_t index = HashShard(key_hash, s->shard_count);
  return {ShardId{service, index}, &s->entries[index]};
}

const ShardEntry* ShardMap::Get(ShardId shard) const noexcept {
  const Service* s = FindService(shard.service);
  if (s == nullptr) return nullptr;
  if (shard.index < kFirstSingleKeyShard) {
    return shard.index < s->entries.size() ? &s->entries[shard.index] : nullptr;
  }
  for (const SingleKey& key : s->single_keys) {
    if (key.index == shard.index) return &key.entry;
  }
  return nullptr;
}

void ShardMap::ApplyEntry(ShardEntry& entry, const ShardChange& change) {
  entry.state = change.kind == ChangeKind::kCommit ? ShardState::kCommitted : ShardState::kPrepared;
  entry.target = change.target;
  entry.epoch = change.epoch;
  entry.key_hash = change.key_hash;
}

void ShardMap::Apply(const ShardChange& change) {
  sequence_ = change.sequence;
  Service& s = ServiceOf(change.shard.service);
  const std::uint32_t index = change.shard.index;
  if (index < kFirstSingleKeyShard) {
    if (index >= s.entries.size()) s.entries.resize(index + 1);
    if (change.kind == ChangeKind::kDrop) {
      s.entries[index] = ShardEntry{};
    } else {
      ApplyEntry(s.entries[index], change);
    }
    return;
  }
  std::erase_if(s.single_keys, [index](const SingleKey& k) { return k.index == index; });
  if (change.kind == ChangeKind::kDrop) return;
  SingleKey key{change.key_hash, index, {}};
  ApplyEntry(key.entry, change);
  const auto it =
      std::lower_bound(s.single_keys.begin(), s.single_keys.end(), change.key_hash,
                       [](const SingleKey& k, std::uint64_t h) { return k.key_hash < h; });
  s.single_keys.insert(it, key);
}

void ShardMap::Install(Epoch sequence, const std::vector<ShardChange>& entries) {
  for (Service& s : services_) {
    std::fill(s.entries.begin(), s.entries.end(), ShardEntry{});
    s.single_keys.clear();
  }
  for (const ShardChange& entry : entries) Apply(entry);
  sequence_ = sequence;
}

std::vector<ShardChange> ShardMap::Export() const {
  std::vector<ShardChange> entries;
  ForEach([&](ShardId shard, const ShardEntry& e) {
    const ChangeKind kind =
        e.state == ShardState::kCommitted ? ChangeKind::kCommit : ChangeKind::kPrepare;
    entries.push_back({sequence_, kind, shard, e.key_hash, e.target, e.epoch});
  });
  return entries;
}

std::size_t ShardMap::MemoryBytes() const noexcept {
  std::size_t bytes = services_.capacity() * sizeof(Service);
  for (const Service& s : services_) {
    bytes += s.entries.capacity() * sizeof(ShardEntry);
    bytes += s.single_keys.capacity() * sizeof(SingleKey);
  }
  return bytes;
}

ShardHome HomeMap::Home(ShardId shard) const noexcept {
  const auto it = homes_.find(shard.service);
  if (it == homes_.end() || shard.index >= it->second.size()) return {};
  return it->second[shard.index];
}

void HomeMap::Set(ShardId shard, ShardHome home) {
  std::vector<ShardHome>& homes = homes_[shard.service];
  if (shard.index >= homes.size()) homes.resize(shard.index + 1);
  homes[shard.index] = home;
}

std::size_t HomeMap::MemoryBytes() const noexcept {
  std::size_t bytes = 0;
  for (const auto& [service, homes] : homes_) bytes += homes.capacity() * sizeof(ShardHome);
  return bytes;
}

}  // namespace dogwoodport
