#include "dogwoodport/core/delegation_proposer.h"

#include <algorithm>

namespace dogwoodport {
namespace {

std::uint64_t GroupWeight(DataCentreId data_centre, InstanceId instance) {
  return detail::HashText(std::to_string(data_centre.value) + "/" + std::to_string(instance.value));
}

bool ContainsRun(const std::vector<Member>& members, const InstanceIdentity& who) {
  return std::any_of(members.begin(), members.end(), [&who](const Member& m) {
    return m.id == who.id && m.incarnation == who.incarnation;
  });
}

}  // namespace

std::vector<Member> MakeGroup(DataCentreId data_centre, const std::vector<MemberSummary>& usable,
                              const std::optional<MemberSummary>& witness) {
  std::vector<MemberSummary> ranked = usable;
  if (ranked.size() > kMaxGroupMembers) {
    std::sort(ranked.begin(), ranked.end(), [&](const auto& a, const auto& b) {
      return GroupWeight(data_centre, a.id) > GroupWeight(data_centre, b.id);
    });
    ranked.resize(kMaxGroupMembers);
  }
  std::vector<Member> group;
  group.reserve(ranked.size() + 1);
  for (const MemberSummary& member : ranked) {
    group.push_back({member.id, member.incarnation, false});
  }
  std::sort(group.begin(), group.end(),
            [](const Member& a, const Member& b) { return a.id < b.id; });
  if (group.size() == 2 && witness) group.push_back({witness->id, witness->incarnation, true});
  return group;
}

std::vector<Member> DelegationProposer::ChooseGroup(TimePoint now, const Membership& membership,
                                                    const ControlState& state) const {
  const std::vector<MemberSummary> usable = membership.UsableMembers(now, self_.data_centre);
  std::optional<MemberSummary> witness;
  if (usable.size() == 2) {
    const Delegation* current = state.delegation(self_.data_centre);
    for (const DataCentreConfig& other : state.config()->data_centres) {
      if (other.id == self_.data_centre) continue;
      for (const MemberSummary& candidate : membership.UsableMembers(now, other.id)) {
        // Keeps the current witness while it is usable, so that the group does not change.
        const bool is_current_witness =
            current != nullptr &&
            ContainsRun(current->members, {candidate.id, candidate.incarnation, other.id});
        if (!witness || is_current_witness) witness = candidate;
      }
    }
  }
  return MakeGroup(self_.data_centre, usable, witness);
}

bool DelegationProposer::CoordinatorLost(TimePoint now, const Membership& membership,
                                         const Delegation& delegation) const {
  const auto named = std::find_if(delegation.members.begin(), delegation.members.end(),
                                  [&](const Member& m) { return m.id == delegation.coordinator; });
  if (named == delegation.members.end()) return true;
  if (named->id == self_.id) return named->incarnation != self_.incarnation;
  const MemberInfo* info = membership.Find(named->id);
  if (info == nullptr) return true;
  return info->incarnation != named->incarnation || info->leaving ||
         membership.liveness(now, named->id) == Liveness::kDead;
}

Duration DelegationProposer::RankDelay(const std::vector<Member>& group) const {
  const auto it = std::find_if(group.begin(), group.end(),
                               [this](const Member& m) { return m.id == self_.id; });
  const auto rank = static_cast<std::int64_t>(it - group.begin());
  return std::min(kProposalRankDelay * rank, kMaxProposalDelay);
}

std::optional<DelegationChange> DelegationProposer::Propose(TimePoint now, std::uint64_t expected,
                                                            std::vector<Member> group,
                                                            InstanceId coordinator) {
  if (proposed_ == expected && now < proposed_at_ + kProposalTimeout) return std::nullopt;
  proposed_ = expected;
  proposed_at_ = now;
  due_since_.reset();
  return DelegationChange{self_.data_centre, expected, std::move(group), coordinator};
}

std::optional<DelegationChange> DelegationProposer::Tick(TimePoint now,
                                                         const Membership& membership,
                                                         const ControlState& state) {
  std::vector<Member> group = ChooseGroup(now, membership, state);
  if (state.config()->version == 0 || !ContainsRun(group, self_)) {
    due_since_.reset();
    return std::nullopt;
  }
  const Delegation* current = state.delegation(self_.data_centre);
  const bool lost = current != nullptr && CoordinatorLost(now, membership, *current);
  const bool coordinates = current != nullptr && !lost && current->coordinator == self_.id;
  const bool changed = coordinates && current->members != group;
  if (current != nullptr && !lost && !changed) {
    due_since_.reset();
    return std::nullopt;
  }
  // The wait before a change of members restarts whenever the group changes. The wait after the
  // loss of the coordinator does not.
  if (!due_since_ || (changed && group != pending_group_)) {
    due_since_ = now;
    pending_group_ = group;
  }
  const Duration wait = current == nullptr ? kFirstDelegationWait + RankDelay(group)
                        : lost             ? RankDelay(group)
                                           : kMemberChangeWait;
  if (now < *due_since_ + wait) return std::nullopt;
  return Propose(now, current == nullptr ? 0 : current->offset, std::move(group), self_.id);
}

void DelegationProposer::OnPause() { due_since_.reset(); }

}  // namespace dogwoodport
