#pragma once

/// @file
/// Proposes delegations for the data centre of this instance: the first one, one with a new
/// coordinator if the current one is lost, and one with changed members if the usable instances
/// differ from the group.

#include <optional>
#include <vector>

#include "dogwoodport/core/control_state.h"
#include "dogwoodport/core/membership.h"
#include "dogwoodport/core/record.h"

namespace dogwoodport {

/// Time for which a new instance discovers others before it proposes the first delegation, so that
/// the group does not start with a single member. Covers two heartbeats of each other instance.
inline constexpr Duration kFirstDelegationWait{500'000};
/// Time for which the set of usable members must differ from the group before the coordinator
/// proposes another group. Together with `kDeadAfter` it tolerates a short partition.
inline constexpr Duration kMemberChangeWait{1'000'000};
/// Proposal delay per rank of a member in the group, and its upper limit.
inline constexpr Duration kProposalRankDelay{100'000};
inline constexpr Duration kMaxProposalDelay{300'000};
/// Time after which this instance retries a proposal that had no outcome.
inline constexpr Duration kProposalTimeout{3'000'000};

/// Decides when this instance proposes a delegation, and its members and coordinator. The log
/// arbitrates between proposals: of those with the same expected epoch only the first is accepted,
/// the others are stale.
///
/// @code
/// if (auto change = proposer.Tick(now, membership, state)) follower.Submit(..., *change);
/// @endcode
class DelegationProposer {
 public:
  explicit DelegationProposer(const InstanceIdentity& self) : self_(self) {}

  /// Returns a proposal if one is due. Complexity: linear in the members of the data centre.
  std::optional<DelegationChange> Tick(TimePoint now, const Membership& membership,
                                       const ControlState& state);

  /// Restarts the wait for a pending change after a pause of the process.
  void OnPause();

 private:
  std::vector<Member> ChooseGroup(TimePoint now, const Membership& membership,
                                  const ControlState& state) const;
  bool CoordinatorLost(TimePoint now, const Membership& membership,
                       const Delegation& delegation) const;
  std::optional<DelegationChange> Propose(TimePoint now, std::uint64_t expected,
                                          std::vector<Member> group, InstanceId coordinator);
  Duration RankDelay(const std::vector<Member>& group) const;

  InstanceIdentity self_;
  std::optional<TimePoint> due_since_;
  std::vector<Member> pending_group_;
  /// Expected epoch and time of the latest proposal.
  std::optional<std::uint64_t> proposed_;
  TimePoint proposed_at_;
};

/// Returns the members of a group formed from the instances in `usable`: at most seven, selected by
/// rendezvous weight; if there are two, `witness` is added as the third. Complexity: O(n log n).
std::vector<Member> MakeGroup(DataCentreId data_centre, const std::vector<MemberSummary>& usable,
                              const std::optional<MemberSummary>& witness);

}  // namespace dogwoodport
