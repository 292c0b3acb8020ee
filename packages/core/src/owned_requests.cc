#include "dogwoodport/core/owned_requests.h"

#include <algorithm>

namespace dogwoodport {

void OwnedRequests::Start(ShardId shard, Epoch epoch) { ++running_[{shard, epoch}]; }

void OwnedRequests::End(ShardId shard, Epoch epoch, TimePoint until) {
  ending_.push_back({until, {shard, epoch}});
}

void OwnedRequests::Release(const Key& key) {
  const auto it = running_.find(key);
  if (it == running_.end()) return;
  if (--it->second == 0) running_.erase(it);
}

Epoch OwnedRequests::Acknowledged(TimePoint now, const ShardMap& table) {
  std::erase_if(ending_, [&](const Ending& ending) {
    if (ending.until > now) return false;
    Release(ending.key);
    return true;
  });
  const bool current = std::all_of(running_.begin(), running_.end(), [&](const auto& item) {
    const ShardEntry* entry = table.Get(item.first.first);
    return entry != nullptr && entry->state == ShardState::kCommitted &&
           entry->epoch == item.first.second;
  });
  if (current) acknowledged_ = table.sequence();
  return acknowledged_;
}

}  // namespace dogwoodport
