#include "dogwoodport/core/membership.h"

#include <algorithm>
#include <set>
#include <utility>

namespace dogwoodport {

Membership::Membership(const InstanceIdentity& self, TimePoint now)
    : self_(self), last_tick_(now), last_heartbeat_sent_(now) {}

void Membership::SetPlatformList(TimePoint now, const std::vector<PlatformMember>& list) {
  std::map<InstanceId, Listed> listed;
  for (const PlatformMember& entry : list) {
    Listed& updated = listed[entry.id];
    updated.data_centre = entry.data_centre;
    if (!entry.leaving) continue;
    const auto previous = listed_.find(entry.id);
    const bool was_leaving = previous != listed_.end() && previous->second.leaving_since;
    updated.leaving_since = was_leaving ? previous->second.leaving_since : now;
  }
  listed_ = std::move(listed);
}

void Membership::SetCoordinators(const std::map<DataCentreId, Delegation>& delegations) {
  delegations_ = delegations;
}

void Membership::SetStatus(std::uint64_t state_offset, bool ready, bool leaving) {
  state_offset_ = state_offset;
  ready_ = ready;
  leaving_ = leaving;
}

void Membership::OnMessage(TimePoint now, InstanceId from, const Heartbeat& message,
                           Outbox& /*out*/) {
  if (from == self_.id) return;
  MemberInfo& member = members_[from];
  if (message.incarnation < member.incarnation) return;
  if (message.incarnation > member.incarnation || member.sequence == 0) {
    member = {message.incarnation, message.data_centre, now, now};
  }
  // Ignores delayed heartbeats, which could otherwise make a dead process appear alive.
  if (message.sequence <= member.sequence) return;
  member.last_heartbeat = now;
  member.sequence = message.sequence;
  member.state_offset = message.state_offset;
  member.ready = message.ready;
  member.leaving = message.leaving;
}

void Membership::OnMessage(TimePoint now, InstanceId from, const DataCentreView& message,
                           Outbox& out) {
  if (message.data_centre == self_.data_centre || from == self_.id) return;
  RemoteView& remote = views_[message.data_centre];
  const auto rank = [](const DataCentreView& v) { return std::pair(v.delegation, v.sequence); };
  if (rank(message) <= rank(remote.view)) return;
  const bool changed = remote.view.members != message.members;
  remote.view = message;
  remote.seen = now;
  const bool due = changed || now - remote.forwarded_at >= kViewRefreshInterval;
  // Forwards only views that came from another data centre, so that views do not circulate.
  if (due && is_coordinator() && !IsOwnMember(from)) ForwardView(now, remote, out);
}

void Membership::ForwardView(TimePoint now, RemoteView& remote, Outbox& out) {
  remote.forwarded_at = now;
  for (const auto& [id, member] : members_) {
    if (member.data_centre != self_.data_centre) continue;
    if (liveness(now, id) != Liveness::kDead) out.Send(id, remote.view);
  }
}

void Membership::Tick(TimePoint now, Outbox& out) {
  const Duration gap = now - last_tick_;
  last_tick_ = now;
  if (gap > kPauseGap) {
    paused_ = true;
    // Heartbeats that arrived during the pause have not been delivered yet, so the pause does not
    // count as time without heartbeats.
    for (auto& [id, member] : members_) member.last_heartbeat += gap;
  }
  if (heartbeat_sent_ && now - last_heartbeat_sent_ < kHeartbeatInterval) return;
  last_heartbeat_sent_ = now;
  heartbeat_sent_ = true;
  SendHeartbeats(now, out);
  if (is_coordinator()) SendView(now, out);
  RemoveExpiredMembers(now);
}

void Membership::SendHeartbeats(TimePoint now, Outbox& out) {
  std::set<InstanceId> receivers;
  for (const auto& [id, entry] : listed_) {
    if (entry.data_centre == self_.data_centre) receivers.insert(id);
  }
  for (const auto& [id, member] : members_) {
    const bool own = member.data_centre == self_.data_centre;
    if (own && liveness(now, id) != Liveness::kDead) receivers.insert(id);
  }
  for (const auto& [data_centre, delegation] : delegations_) {
    if (is_coordinator()) receivers.insert(delegation.coordinator);
  }
  receivers.erase(self_.id);
  ++sequence_;
  for (const InstanceId id : receivers) {
    out.Send(id, Heartbeat{self_.incarnation, self_.data_centre, sequence_, state_offset_, ready_,
                           leaving_});
  }
}

void Membership::SendView(TimePoint now, Outbox& out) {
  DataCentreView view{self_.data_centre, delegations_.at(self_.data_centre).offset,
                      ++view_sequence_, UsableMembers(now, self_.data_centre)};
  for (const auto& [data_centre, delegation] : delegations_) {
    if (delegation.coordinator != self_.id) out.Send(delegation.coordinator, view);
  }
}

void Membership::RemoveExpiredMembers(TimePoint now) {
  std::erase_if(members_, [&](const auto& entry) {
    return now - entry.second.last_heartbeat > kDeadMemberRetention &&
           !listed_.contains(entry.first);
  });
}

bool Membership::TakePause() noexcept { return std::exchange(paused_, false); }

Liveness Membership::liveness(TimePoint now, InstanceId id) const {
  if (id == self_.id) return Liveness::kAlive;
  const MemberInfo* member = Find(id);
  if (member == nullptr) return Liveness::kUnknown;
  const Duration since_heartbeat = now - member->last_heartbeat;
  if (since_heartbeat >= kDeadAfter) return Liveness::kDead;
  return since_heartbeat >= kSuspectAfter ? Liveness::kSuspect : Liveness::kAlive;
}

bool Membership::IsUsable(TimePoint now, InstanceId id) const {
  if (id == self_.id) return !leaving_;
  const Liveness state = liveness(now, id);
  if (state != Liveness::kAlive && state != Liveness::kSuspect) return false;
  const MemberInfo* member = Find(id);
  if (member->leaving) return false;
  // The list lags behind. An incarnation whose first heartbeat came after the entry changed to
  // leaving is newer than the entry, and an instance without an entry is new.
  const auto it = listed_.find(id);
  return it == listed_.end() || !it->second.leaving_since ||
         member->first_heartbeat > *it->second.leaving_since;
}

const MemberInfo* Membership::Find(InstanceId id) const {
  const auto it = members_.find(id);
  return it == members_.end() ? nullptr : &it->second;
}

std::vector<MemberSummary> Membership::UsableMembers(TimePoint now,
                                                     DataCentreId data_centre) const {
  std::vector<MemberSummary> list;
  if (data_centre != self_.data_centre) {
    const auto it = views_.find(data_centre);
    if (it != views_.end() && now - it->second.seen <= kViewExpiry) list = it->second.view.members;
    return list;
  }
  if (ready_ && !leaving_) list.push_back({self_.id, self_.incarnation, true});
  for (const auto& [id, member] : members_) {
    if (member.data_centre != data_centre || !member.ready || !IsUsable(now, id)) continue;
    list.push_back({id, member.incarnation, true});
  }
  std::sort(list.begin(), list.end(),
            [](const MemberSummary& a, const MemberSummary& b) { return a.id < b.id; });
  return list;
}

bool Membership::is_coordinator() const noexcept {
  const auto it = delegations_.find(self_.data_centre);
  if (it == delegations_.end() || it->second.coordinator != self_.id) return false;
  const auto& members = it->second.members;
  return std::any_of(members.begin(), members.end(), [&](const Member& member) {
    return member.id == self_.id && member.incarnation == self_.incarnation;
  });
}

bool Membership::IsOwnMember(InstanceId id) const {
  const MemberInfo* member = Find(id);
  return member != nullptr && member->data_centre == self_.data_centre;
}

}  // namespace dogwoodport
