#include "dogwoodport/core/target_leases.h"

#include <algorithm>

namespace dogwoodport {
namespace {

/// Age above which a pending request is discarded because no response is expected.
constexpr Duration kMaxPendingRequestAge{2'000'000};

}  // namespace

GrantRequest TargetLeases::NewRequest(TimePoint now, TargetId target, const std::string& boot_id) {
  std::erase_if(pending_, [now](const PendingRequest& pending) {
    return now - pending.sent_at > kMaxPendingRequestAge;
  });
  GrantRequest request{target, next_request_++, boot_id, {}};
  pending_.push_back(PendingRequest{request.request, boot_id, now});
  return request;
}

GrantRequest TargetLeases::Extend(TimePoint now, TimePoint ends_at, TargetId target,
                                  const std::vector<std::pair<ShardId, Epoch>>& shards) {
  const Reading& reading = readings_[target];
  if (!reading.known || now - reading.received_at > kClockReadingMaxAge) {
    return NewRequest(now, target, "");
  }
  // The lease never expires after `ends_at`: the reading was taken before it was received, which
  // makes the lease end earlier, and the span is reduced by the drift of a slow target clock.
  const Duration span = ends_at - reading.received_at;
  const Duration safe = span - span * kClockDriftPercent / 100;
  const std::int64_t expires_at = reading.clock_ms + safe.count() / 1000;
  GrantRequest request = NewRequest(now, target, reading.boot_id);
  for (const auto& [shard, epoch] : shards) request.grants.push_back({shard, epoch, expires_at});
  return request;
}

GrantRequest TargetLeases::Release(TimePoint now, TargetId target,
                                   const std::vector<std::pair<ShardId, Epoch>>& shards) {
  GrantRequest request = NewRequest(now, target, readings_[target].boot_id);
  for (const auto& [shard, epoch] : shards) request.grants.push_back({shard, epoch, 0});
  return request;
}

bool TargetLeases::OnReply(TimePoint now, const GrantReply& reply) {
  const auto it =
      std::find_if(pending_.begin(), pending_.end(),
                   [&](const PendingRequest& pending) { return pending.request == reply.request; });
  if (it == pending_.end()) return false;
  const bool same_run = it->boot_id == reply.boot_id;
  readings_[reply.target] = Reading{reply.boot_id, reply.clock_ms, now, true};
  pending_.erase(it);
  return same_run;
}

void TargetLeases::Clear() {
  readings_.clear();
  pending_.clear();
}

}  // namespace dogwoodport
