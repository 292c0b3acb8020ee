#pragma once

/// @file
/// The coordinator grants key ranges to targets and moves ranges between them. Any instance can
/// take over the role.
///
/// An instance takes the role by a conditional append to the ownership feed. The offset of that
/// record is the generation, and record offsets serve as fencing tokens. A new coordinator first
/// renews the grant of each range to its current owner with its own, higher token. This is always
/// safe and fences the previous coordinator. A range moves only after its holder has responded to a
/// release, or after the maximum time for which it may still hold the range. Each move is recorded
/// before it begins.
///
/// What a target holds follows from the grants that were sent to it, not from its entry in the
/// store: an entry may show an incarnation long after the next one has taken the renewals that were
/// meant for it.

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "dogwoodport/fleet/event_log.h"
#include "dogwoodport/fleet/limits/lending_start.h"
#include "dogwoodport/fleet/membership/target_directory.h"
#include "dogwoodport/fleet/ownership/key_planner.h"
#include "dogwoodport/fleet/state/metadata_store.h"
#include "dogwoodport/fleet/target_protocol.h"
#include "dogwoodport/net/http_caller.h"

namespace dogwoodport::fleet {

/// Durations and limits of the ownership protocol.
struct CoordinatorSettings {
  /// Duration of a lease. Longer than a take-over by another instance takes.
  Duration lease{5'000'000};
  Duration renewal_interval{1'250'000};
  /// Maximum duration of a call to a target. A call that has not arrived by then is reset.
  Duration call_timeout{800'000};
  /// Percentage by which the clock of a target may be slow when it measures a lease.
  int clock_drift_percent = 2;
  /// Safety margin for network delay and late callbacks.
  Duration margin{300'000};
  /// Time without confirmation of its role after which a coordinator stops renewing grants.
  /// Together with the maximum hold time of a grant it stays below the 15 s within which operators
  /// expect a recovery.
  Duration unconfirmed_renewal_limit{8'500'000};
  /// Time without confirmation of its role after which a coordinator stops planning, so that
  /// nothing moves while the store is unavailable. Longer than `confirm_wait`.
  Duration unconfirmed_plan_limit{4'500'000};
  /// Interval between plans.
  Duration plan_interval{1'000'000};
  /// Time after a take-over during which no range moves, so that the grants of earlier coordinators
  /// are fenced first.
  Duration settling_time{1'200'000};
  /// The keys of a service without owners are split once no target has joined for
  /// `first_split_quiet_time`, and after `first_split_max_wait` at the latest. An earlier split
  /// would leave targets that join later without keys.
  Duration first_split_quiet_time{1'000'000};
  Duration first_split_max_wait{4'000'000};
  /// Wait time of the long poll that confirms the role. Must be well below
  /// `LoanSettings::role_validity`.
  Duration confirm_wait{300'000};
  PlannerSettings planner;
};

/// Interfaces through which the coordinator accesses the rest of the instance.
struct CoordinatorPorts {
  MetadataStore* store = nullptr;
  const TargetProtocol* protocol = nullptr;
  const TargetDirectory* directory = nullptr;
  EventLog* log = nullptr;
  std::function<TimePoint()> now;
  /// Calls a target.
  std::function<void(const std::string& address, const net::HttpRequest& request, Duration timeout,
                     net::CallConnection connection, net::HttpCaller::Callback done)>
      call;
  /// Returns the names of the keyed services.
  std::function<std::vector<std::string>()> services;
  /// Returns the requests per second by bucket, summed over all instances.
  std::function<BucketRates(const std::string& service)> load;
  /// Returns the requests per second that a target can serve.
  std::function<double(const Target& target)> capacity;
  /// Whether a target may own keys, and whether it may be assigned more of them.
  std::function<bool(const Target& target)> may_own;
  std::function<bool(const Target& target)> may_grow;
  /// Whether the instances at these addresses, or all instances if unset, follow this one, so that
  /// they do not renew grants.
  std::function<bool(const std::optional<std::vector<std::string>>& addresses)> others_follow;
  /// Whether all loans of coordinators before the one of `generation` have expired. If unset, no
  /// loans are assumed to have expired.
  std::function<bool(std::uint64_t generation)> earlier_loans_expired;
  /// Called when the table has changed.
  std::function<void(const KeyTable& table)> on_table;
};

class KeyCoordinator {
 public:
  KeyCoordinator(CoordinatorPorts ports, CoordinatorSettings settings, std::string self);
  ~KeyCoordinator();
  KeyCoordinator(const KeyCoordinator&) = delete;
  KeyCoordinator& operator=(const KeyCoordinator&) = delete;

  /// Starts an attempt to take the role; `leading` reports the outcome. Has no effect while an
  /// attempt is running.
  void TakeOver();
  /// Notes that the store has a record of `generation`.
  void ObserveGeneration(std::uint64_t generation);
  /// Leaves the role or ends an attempt to take it, and logs `reason`. Nothing is written to the
  /// store, because another instance may already have the role.
  void StepDown(const char* reason);
  /// Renews grants, continues moves and plans new ones. Called periodically, about every
  /// `kTickInterval`.
  void Tick();

  bool leading() const noexcept { return role_ == Role::kLeading; }
  TimePoint took_over_at() const noexcept { return took_over_at_; }
  /// Latest time at which the store is known to have had no other coordinator.
  TimePoint confirmed_at() const noexcept { return confirmed_at_; }
  /// Circumstances under which this instance became the coordinator.
  const LendingStart& lending_start() const noexcept { return lending_start_; }
  bool taking_over() const noexcept { return role_ == Role::kTakingOver; }
  const KeyTable& table() const noexcept { return table_; }

 private:
  enum class Role { kFollowing, kTakingOver, kLeading };
  using RangeId = std::pair<std::string, std::uint32_t>;

  /// State of the grant of one range to its owner.
  struct GrantState {
    std::uint64_t token = 0;
    std::uint64_t incarnation = 0;
    std::uint16_t last = 0;
    bool confirmed = false;
    bool call_in_flight = false;
    TimePoint renew_at{};
  };
  /// State of the release of a range by its previous owner.
  struct ReleaseState {
    /// Number of the move. A response to a release of an earlier move is ignored.
    std::uint64_t move = 0;
    /// Previous owner, as the table knows it. Its grants may also have been taken by a later
    /// incarnation that the directory does not show yet.
    TargetIncarnation holder;
    /// Fencing token of the previous owner's grants. A different token means a different move.
    std::uint64_t holder_token = 0;
    /// Number of the release in flight; 0 if there is none.
    std::uint64_t call = 0;
    /// Incarnation to which the latest release was sent.
    std::optional<std::uint64_t> asked_incarnation;
    /// Whether the previous owner has confirmed the release.
    bool release_confirmed = false;
    /// Whether the previous owner can no longer hold the range, so that the new owner may be
    /// granted it.
    bool released = false;
    /// Data from the response to the release, passed on with the grant to the new owner.
    std::string handover;
    /// Upper bound of the time of this coordinator's last grant to the previous owner.
    TimePoint last_grant_at{};
    /// Whether the previous owner has confirmed this coordinator's token.
    bool token_confirmed = false;
    /// Whether the move was begun by an earlier coordinator.
    bool inherited = false;
    TimePoint next_call_at{};
  };

  /// A release call.
  struct SentRelease {
    std::uint64_t move = 0;
    std::uint64_t call = 0;
  };

  void StartLeading(KeyTable table, std::uint64_t offset, TimePoint sent_at);
  void ReadBeforeTakeOver();
  void AppendTakeOver(KeyTable table, std::uint64_t feed_end);
  /// Adds the previous coordinator to those that may still renew grants, and removes those that no
  /// longer renew any.
  void AddPredecessor(KeyTable& table);
  /// Returns the time from which no coordinator of `generation` or an earlier one renews grants.
  /// The store must have a record of a later generation.
  TimePoint RenewalsEndAt(std::uint64_t generation) const;
  /// Whether no coordinator before this one renews grants, by the reports of the instances.
  bool EarlierRenewersFollow() const;
  void ConfirmRole();
  void OnConfirmed(TimePoint sent_at, const ReadOutcome& outcome);

  void Plan();
  /// Whether an earlier coordinator may already have granted a moving range to its destination
  /// while the previous owner may still hold it. The destination must not change in this state.
  bool MayHaveTwoHolders(const std::string& service, const KeyRange& range) const;
  void ReplaceLostDestinations(const std::string& service, KeyRanges& ranges,
                               const std::vector<OwnerCandidate>& candidates) const;
  /// Whether the first owners of a service may be chosen now.
  bool MaySplit(const std::string& service, const std::vector<OwnerCandidate>& candidates);
  std::vector<OwnerCandidate> Candidates(const std::string& service) const;
  void Record(KeyTable next);
  void AppendPending();
  void ResolvePending();
  /// Adopts a table whose record was in the store as of `confirmed_at`.
  void ApplyRecorded(KeyTable next, std::uint64_t offset, TimePoint confirmed_at);
  /// Completes the moves whose destinations have confirmed their grants. Returns whether there were
  /// any.
  static bool FinishMoves(KeyTable& table);

  void RenewRanges();
  /// Renews the grants of the parts of a range that the pending record leaves with its owner.
  void RenewOwner(const std::string& service, const KeyRange& range, const std::string& handover);
  std::vector<KeyRange> StayingParts(const std::string& service, const KeyRange& range) const;
  void ContinueMove(const std::string& service, KeyRange& range);
  void SendRelease(const std::string& service, const KeyRange& range, ReleaseState& release);
  void OnReleaseResponse(const RangeId& id, const SentRelease& sent,
                         const net::CallOutcome& outcome);
  void SendGrant(const std::string& service, const KeyRange& range, const std::string& handover);
  void OnGrantResponse(const RangeId& id, const std::string& owner, std::uint64_t token,
                       const net::CallOutcome& outcome);
  ReleaseState MakeReleaseState(const KeyRange& range, bool token_confirmed);
  bool IsFree(const ReleaseState& release) const;
  /// Whether the previous owner refuses grants of earlier coordinators. A new incarnation has not
  /// seen the token that the earlier one confirmed.
  bool RefusesEarlierGrants(const ReleaseState& release) const;
  /// Returns the time from which grants of earlier coordinators can no longer take effect or be in
  /// effect at the previous owner.
  TimePoint EarlierGrantsEndAt(const ReleaseState& release) const;
  /// Whether no grant to a target is in flight or may still take effect. Such a grant would undo a
  /// release that arrives before it.
  bool HasNoPendingGrant(const std::string& target) const;
  Duration MaxHoldTime() const;
  /// Returns the time from which the previous owner can no longer hold the range.
  TimePoint FreeAt(const ReleaseState& release) const;
  void Publish();
  void Log(LogLevel level, const char* event, nlohmann::json fields);

  CoordinatorPorts ports_;
  CoordinatorSettings settings_;
  std::string self_;
  Role role_ = Role::kFollowing;
  KeyTable table_;
  std::uint64_t feed_end_ = 0;
  TimePoint took_over_at_{};
  LendingStart lending_start_;
  /// Time from which no earlier coordinator renews grants.
  TimePoint sole_leader_from_{};
  /// Time from which no coordinator renews grants of the ranges that were moving at the take-over.
  TimePoint inherited_renewals_end_at_{};
  /// Generations in the store and the times at which this instance learned of them, in ascending
  /// order.
  std::vector<std::pair<std::uint64_t, TimePoint>> observed_generations_;
  TimePoint confirmed_at_{};
  TimePoint plan_at_{};
  /// Table whose append has no known outcome yet. Until the outcome is known, no destination
  /// receives its first grant, because the record may name a different one.
  std::optional<KeyTable> pending_;
  bool resolving_ = false;
  TimePoint resolve_at_{};
  bool confirming_ = false;
  std::map<RangeId, GrantState> grant_states_;
  std::map<RangeId, ReleaseState> release_states_;
  std::uint64_t last_move_ = 0;
  std::uint64_t last_release_call_ = 0;
  /// Number of grants in flight, by target.
  std::map<std::string, int> grants_in_flight_;
  /// Time until which a grant without a response may take effect and hold keys, by target.
  std::map<std::string, TimePoint> unanswered_grant_until_;
  /// Candidates of each service without owners, and the times at which they joined.
  struct FirstSplit {
    std::size_t candidates = 0;
    TimePoint first_seen_at{};
    TimePoint last_joined_at{};
  };
  std::map<std::string, FirstSplit> first_splits_;
  /// Incremented with each change of role, so that late callbacks can be recognised.
  std::uint64_t term_ = 0;
  /// Reset on destruction, so that later callbacks have no effect.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace dogwoodport::fleet
