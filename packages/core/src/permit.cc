#include "dogwoodport/core/permit.h"

#include <algorithm>

namespace dogwoodport {
namespace {

/// Maximum number of renewal rounds whose late acknowledgements still count.
constexpr std::size_t kMaxRenewalRounds = 5;

}  // namespace

std::size_t MajorityOf(const Delegation& delegation) noexcept {
  return delegation.members.size() / 2 + 1;
}

const Member* FindMember(const Delegation& delegation, InstanceId id) noexcept {
  for (const Member& member : delegation.members) {
    if (member.id == id) return &member;
  }
  return nullptr;
}

void Permit::OnDelegation(const Delegation& delegation) {
  const auto it =
      std::lower_bound(delegations_.begin(), delegations_.end(), delegation.offset,
                       [](const Delegation& d, std::uint64_t offset) { return d.offset < offset; });
  if (it != delegations_.end() && it->offset == delegation.offset) return;
  delegations_.insert(it, delegation);
  // Requests a renewal at the next tick, since the new group may already be able to acknowledge.
  next_renewal_ = TimePoint{};
}

void Permit::Tick(TimePoint now, Outbox& out) {
  if (now < next_renewal_ || delegations_.empty()) return;
  RequestRenewal(now, out);
  // Without a valid permit the instance cannot serve requests, so it retries more often.
  next_renewal_ = now + (ValidAt(now) ? settings_.renewal_interval : settings_.resend_interval * 2);
}

void Permit::RequestRenewal(TimePoint now, Outbox& out) {
  RenewRequest request{data_centre_, incarnation_, next_request_++, delegations_.back().offset,
                       Applied(now)};
  rounds_.push_back(Round{request.request, now, {}});
  if (rounds_.size() > kMaxRenewalRounds) rounds_.pop_front();
  std::vector<InstanceId> receivers;
  for (const Delegation& delegation : delegations_) {
    for (const Member& member : delegation.members) {
      if (std::find(receivers.begin(), receivers.end(), member.id) != receivers.end()) continue;
      receivers.push_back(member.id);
      out.Send(member.id, request);
    }
  }
}

void Permit::RequestTable(TimePoint now, InstanceId from, Outbox& out) {
  if (now < next_table_request_) return;
  next_table_request_ = now + settings_.resend_interval;
  out.Send(from, TableRequest{data_centre_});
}

void Permit::OnMessage(TimePoint now, InstanceId from, const RenewAck& ack, Outbox& out) {
  for (const Delegation& delegation : ack.newer) OnDelegation(delegation);
  ApplyChanges(ack.previous, ack.changes);
  if (ack.sequence > table_.sequence()) RequestTable(now, from, out);
  for (Round& round : rounds_) {
    if (round.request != ack.request) continue;
    for (const Delegation& delegation : delegations_) {
      if (delegation.offset != ack.delegation) continue;
      const Member* member = FindMember(delegation, from);
      if (member == nullptr || member->incarnation != ack.incarnation) continue;
      round.acks.push_back(Ack{from, ack.delegation, ack.sequence});
    }
  }
  CountRounds();
}

void Permit::OnMessage(TimePoint /*now*/, InstanceId /*from*/, const TableReply& reply) {
  InstallTable(reply.sequence, reply.entries);
}

bool Permit::ApplyChanges(Epoch previous, const std::vector<ShardChange>& changes) {
  if (previous > table_.sequence()) return false;
  for (const ShardChange& change : changes) {
    if (change.sequence > table_.sequence()) table_.Apply(change);
  }
  CountRounds();
  return true;
}

void Permit::InstallTable(Epoch sequence, const std::vector<ShardChange>& entries) {
  if (sequence <= table_.sequence()) return;
  table_.Install(sequence, entries);
  CountRounds();
}

void Permit::Drop() {
  rounds_.clear();
  valid_until_ = TimePoint{};
  next_renewal_ = TimePoint{};
}

bool Permit::HasMajority(const Round& round, const Delegation& delegation) const {
  std::vector<InstanceId> counted;
  for (const Ack& ack : round.acks) {
    // A member may have acknowledged at a sequence that the own table does not contain yet, e.g. of
    // a prepare. Such an acknowledgement does not count until the table contains it.
    if (ack.delegation != delegation.offset || ack.sequence > table_.sequence()) continue;
    if (std::find(counted.begin(), counted.end(), ack.member) != counted.end()) continue;
    counted.push_back(ack.member);
  }
  return counted.size() >= MajorityOf(delegation);
}

void Permit::CountRounds() {
  std::uint64_t acknowledged = 0;
  for (const Round& round : rounds_) {
    for (const Delegation& delegation : delegations_) {
      if (!HasMajority(round, delegation)) continue;
      valid_until_ = std::max(valid_until_, round.sent_at + settings_.permit_duration);
      acknowledged = std::max(acknowledged, delegation.offset);
    }
  }
  std::erase_if(delegations_,
                [acknowledged](const Delegation& d) { return d.offset < acknowledged; });
}

}  // namespace dogwoodport
