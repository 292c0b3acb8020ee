#pragma once

/// @file
/// Proposes delegations of the own data centre: the first one, one with a new coordinator when the
/// present one is lost, and one with the members that are alive.

#include <optional>
#include <vector>

#include "dogwoodport/core/control_state.h"
#include "dogwoodport/core/membership.h"
#include "dogwoodport/core/record.h"

namespace dogwoodport {

/// Time that a new instance listens for others before it proposes a first delegation, so that the
/// group does not begin with one member. Two heartbeats of each other instance fit in.
inline constexpr Duration kFirstDelegationWait{500'000};
/// Time for which the set of usable members must differ from the group before the coordinator
/// proposes another group. Together with `kDeadAfter` it lets a short partition pass.
inline constexpr Duration kMemberChangeWait{1'000'000};
/// Delay between two members that propose, and the greatest delay.
inline constexpr Duration kProposalRankDelay{100'000};
inline constexpr Duration kMaxProposalDelay{300'000};
/// Time after which an own proposal without outcome is made again.
inline constexpr Duration kProposalTimeout{3'000'000};

/// Decides when this instance proposes a delegation and whom it names. The log arbitrates between
/// proposals: all but the first with the same expected epoch are stale.
///
/// @code
/// if (auto change = proposer.Tick(now, membership, state)) follower.Submit(..., *change);
/// @endcode
class DelegationProposer {
 public:
  explicit DelegationProposer(const InstanceIdentity& self) : self_(self) {}

  /// Returns a proposal when one is due. Complexity: linear in the members of the data centre.
  std::optional<DelegationChange> Tick(TimePoint now, const Membership& membership,
                                       const ControlState& state);

  /// Forgets how long a change has lasted, after a pause.
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
  std::vector<Member> wanted_;
  /// Expected epoch of the last proposal and when it was made.
  std::optional<std::uint64_t> proposed_;
  TimePoint proposed_at_;
};

/// Returns the members that a group of `usable` instances has: at most seven by rendezvous weight,
/// and with two instances a witness as the third. Complexity: n log n.
std::vector<Member> MakeGroup(DataCentreId data_centre, const std::vector<MemberSummary>& usable,
                              const std::optional<MemberSummary>& witness);

}  // namespace dogwoodport
