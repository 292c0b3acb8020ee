#include "dogwoodport/core/permit_group.h"

#include <algorithm>

#include "dogwoodport/core/permit.h"

namespace dogwoodport {
namespace {

/// Maximum number of changes retained for permit holders that lag behind. Holders that lack older
/// changes get the whole table.
constexpr std::size_t kMaxRecentChanges = 4096;

}  // namespace

bool PermitGroup::HasVote(std::uint64_t delegation) const noexcept {
  if (!installed_ || installed_->offset != delegation || promised_ != delegation) return false;
  const Member* self = FindMember(*installed_, self_);
  return self != nullptr && self->incarnation == incarnation_;
}

Epoch PermitGroup::RecordedFor(std::uint64_t delegation) const noexcept {
  return HasVote(delegation) ? table_.sequence() : Epoch{};
}

void PermitGroup::OnMessage(TimePoint now, InstanceId from, const RenewRequest& request,
                            Outbox& out) {
  if (!installed_ || !HasVote(installed_->offset)) return;
  std::erase_if(holders_, [&](const auto& h) { return now - h.second > settings_.PermitWait(); });
  holders_[PermitHolder{from, request.incarnation}] = now;
  RenewAck ack{data_centre_,
               incarnation_,
               request.request,
               installed_->offset,
               table_.sequence(),
               request.applied,
               {},
               {}};
  if (request.applied >= changes_base_) {
    const auto first = std::upper_bound(
        changes_.begin(), changes_.end(), request.applied,
        [](Epoch applied, const ShardChange& change) { return applied < change.sequence; });
    ack.changes.assign(first, changes_.end());
  }
  if (request.delegation < installed_->offset) ack.newer.push_back(*installed_);
  out.Send(from, std::move(ack));
}

void PermitGroup::OnMessage(InstanceId from, const TableRequest& /*request*/, Outbox& out) const {
  if (!installed_) return;
  out.Send(from, TableReply{data_centre_, table_.sequence(), table_.Export()});
}

void PermitGroup::Record(const ShardChange& change) {
  table_.Apply(change);
  changes_.push_back(change);
  if (changes_.size() <= kMaxRecentChanges) return;
  changes_base_ = changes_.front().sequence;
  changes_.pop_front();
}

bool PermitGroup::OnMessage(const ReplicateRequest& request) {
  if (!HasVote(request.delegation) || request.previous > table_.sequence()) return false;
  for (const ShardChange& change : request.changes) {
    if (change.sequence > table_.sequence()) Record(change);
  }
  return true;
}

bool PermitGroup::OnMessage(const InstallRequest& request) {
  const std::uint64_t offset = request.delegation.offset;
  if (offset < promised_) return false;
  if (installed_ && installed_->offset == offset && request.sequence <= table_.sequence()) {
    return true;
  }
  promised_ = offset;
  installed_ = request.delegation;
  table_.Install(request.sequence, request.entries);
  changes_.clear();
  changes_base_ = request.sequence;
  return true;
}

void PermitGroup::OnMessage(InstanceId from, const TakeoverRequest& request, Outbox& out) {
  const std::uint64_t offset = request.delegation.offset;
  if (offset < promised_) return;
  promised_ = offset;
  out.Send(from,
           TakeoverReply{data_centre_, offset, incarnation_, installed_ ? installed_->offset : 0,
                         table_.sequence(), table_.Export()});
}

std::vector<PermitHolder> PermitGroup::Holders(TimePoint now) const {
  std::vector<PermitHolder> holders;
  for (const auto& [holder, acknowledged_at] : holders_) {
    if (now - acknowledged_at <= settings_.PermitWait()) holders.push_back(holder);
  }
  return holders;
}

std::size_t PermitGroup::MemoryBytes() const noexcept {
  return table_.MemoryBytes() + changes_.size() * sizeof(ShardChange) +
         holders_.size() * sizeof(std::pair<PermitHolder, TimePoint>);
}

}  // namespace dogwoodport
