#pragma once

/// @file
/// The coordinator grants keys to targets and moves them. Any instance can take the role over.
///
/// The role is taken by a conditional append to the ownership feed; the offset of that record is
/// the generation, and offsets are the fencing tokens. A new coordinator first grants each range to
/// its present owner again with its own, higher token, which is safe at any time and fences the
/// coordinator before it. A range moves only after its holder has answered a release, or after the
/// longest time for which it may still hold the range. Each move is recorded before it begins.

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "dogwoodport/fleet/event_log.h"
#include "dogwoodport/fleet/limits/lending_start.h"
#include "dogwoodport/fleet/membership/target_directory.h"
#include "dogwoodport/fleet/ownership/key_planner.h"
#include "dogwoodport/fleet/state/metadata_store.h"
#include "dogwoodport/fleet/target_protocol.h"

namespace dogwoodport::fleet {

/// Times of the ownership protocol.
struct CoordinatorSettings {
  /// Lease of a grant. Longer than the take-over by another instance takes.
  Duration lease{5'000'000};
  Duration renewal_interval{1'250'000};
  /// Longest time of a call to a target. A call that has not arrived by then is reset.
  Duration call_timeout{800'000};
  /// A target's clock that measures a lease may be slow by this part, in percent.
  int clock_drift_percent = 2;
  /// Margin for the time on the network and for late callbacks.
  Duration margin{300'000};
  /// A coordinator that could not confirm its role in the store for this long stops renewing. With
  /// the longest hold of a grant it stays below the 15 s in which operators expect a recovery.
  Duration unconfirmed_renewal_limit{8'500'000};
  /// The same for plans: nothing moves while the store does not answer. Longer than the wait of the
  /// long poll that confirms the role.
  Duration unconfirmed_plan_limit{4'500'000};
  /// Time between plans.
  Duration plan_interval{1'000'000};
  /// After a take-over nothing moves for this long, so that the grants are fenced first.
  Duration settling_time{1'200'000};
  /// A service without owners gets its first ones when no target has joined for this long, at the
  /// latest after the longest wait; an early split would leave the later targets without keys.
  Duration first_split_quiet_time{1'000'000};
  Duration first_split_max_wait{4'000'000};
  /// Wait of the long poll that confirms the role. A fraction of `LoanSettings::role`.
  Duration confirm_wait{300'000};
  PlannerSettings planner;
};

/// What the coordinator needs from its surroundings.
struct CoordinatorPorts {
  MetadataStore* store = nullptr;
  const TargetProtocol* protocol = nullptr;
  const TargetDirectory* directory = nullptr;
  EventLog* log = nullptr;
  std::function<TimePoint()> now;
  /// Calls a target; the response is unset when there was none in time.
  std::function<void(const std::string& address, const net::HttpRequest& request, Duration timeout,
                     std::function<void(std::optional<net::HttpResponse>)>)>
      call;
  /// Names of the keyed services.
  std::function<std::vector<std::string>()> services;
  /// Requests per second by bucket over all instances.
  std::function<BucketRates(const std::string& service)> load;
  /// Requests per second that a target can serve.
  std::function<double(const Target& target)> capacity;
  /// Whether a target may own keys, and whether it may be given more.
  std::function<bool(const Target& target)> may_own;
  std::function<bool(const Target& target)> may_grow;
  /// Whether every instance that may have been the coordinator before follows this one, so that
  /// none renews grants any more.
  std::function<bool()> others_follow;
  /// Whether no loan of a coordinator before the one of `generation` can be valid any more. Without
  /// it none is known to have ended.
  std::function<bool(std::uint64_t generation)> earlier_loans_expired;
  /// The table has changed.
  std::function<void(const KeyTable& table)> on_table;
};

class KeyCoordinator {
 public:
  KeyCoordinator(CoordinatorPorts ports, CoordinatorSettings settings, std::string self);
  ~KeyCoordinator();
  KeyCoordinator(const KeyCoordinator&) = delete;
  KeyCoordinator& operator=(const KeyCoordinator&) = delete;

  /// Tries to take the role; the outcome shows in `leading`. Ignored while an attempt is running.
  void TakeOver();
  /// Gives the role up without telling the store, because another instance has it.
  void StepDown(const char* reason);
  /// Renews grants, continues moves and plans new ones. Called every kTickInterval or so.
  void Tick();

  bool leading() const noexcept { return role_ == Role::kLeading; }
  TimePoint took_over_at() const noexcept { return took_over_at_; }
  /// The store had no other coordinator at this time.
  TimePoint confirmed_at() const noexcept { return confirmed_at_; }
  /// How this instance came to lead.
  const LendingStart& lending_start() const noexcept { return lending_start_; }
  bool taking_over() const noexcept { return role_ == Role::kTakingOver; }
  const KeyTable& table() const noexcept { return table_; }

 private:
  enum class Role { kFollowing, kTakingOver, kLeading };
  using RangeId = std::pair<std::string, std::uint32_t>;

  /// Progress of the grant of one range.
  struct GrantState {
    std::uint64_t token = 0;
    std::uint64_t incarnation = 0;
    std::uint16_t last = 0;
    bool confirmed = false;
    bool call_in_flight = false;
    TimePoint renew_at{};
  };
  /// Progress of taking a range from the target that had it before.
  struct ReleaseState {
    /// Token of the holder's grants; another one stands for another move.
    std::uint64_t holder_token = 0;
    bool call_in_flight = false;
    bool release_confirmed = false;
    bool released = false;
    std::string handover;
    /// Moment from which no grant of an earlier coordinator can come true any more.
    TimePoint earlier_grants_done_at{};
    /// Moment of this coordinator's last grant to the target, at the latest.
    TimePoint last_grant_at{};
    /// The target has not confirmed this coordinator's token, so that the coordinator before may
    /// have renewed its grant.
    bool token_unconfirmed = false;
    TimePoint next_call_at{};
  };

  void StartLeading(KeyTable table, std::uint64_t offset, TimePoint sent_at);
  void ReadBeforeTakeOver();
  void AppendTakeOver(KeyTable table, std::uint64_t feed_end);
  void ConfirmRole();
  void OnConfirmed(TimePoint sent_at, const ReadOutcome& outcome);

  void Plan();
  /// Whether the coordinator before this one may have granted a moving range to its destination
  /// already, while the target before may still hold it. The destination must not change then.
  bool MayHaveTwoHolders(const std::string& service, const KeyRange& range) const;
  void ReplaceLostDestinations(const std::string& service, KeyRanges& ranges,
                               const std::vector<OwnerCandidate>& candidates) const;
  /// Whether the first owners of a service should be chosen now.
  bool MaySplit(const std::string& service, const std::vector<OwnerCandidate>& candidates);
  std::vector<OwnerCandidate> Candidates(const std::string& service) const;
  void Record(KeyTable next);
  void AppendPending();
  void ResolvePending();
  /// Continues with a record that was in the store as of `confirmed_at`.
  void ApplyRecorded(KeyTable next, std::uint64_t offset, TimePoint confirmed_at);
  /// Completes the moves whose destinations have confirmed their grants; returns whether there were
  /// any.
  static bool FinishMoves(KeyTable& table);

  void RenewRanges();
  void ContinueMove(const std::string& service, KeyRange& range);
  void SendRelease(const std::string& service, const KeyRange& range, ReleaseState& release);
  void SendGrant(const std::string& service, const KeyRange& range, const std::string& handover);
  void OnGrantResponse(const RangeId& id, const std::string& owner, std::uint64_t token,
                       const std::optional<net::HttpResponse>& response);
  ReleaseState MakeReleaseState(const KeyRange& range, bool confirmed) const;
  bool IsFree(const KeyRange& range, const ReleaseState& release) const;
  /// Whether no grant to a target is under way or may come true later; a release that such a grant
  /// overtakes would be undone by it.
  bool HasNoPendingGrant(const std::string& target) const;
  Duration MaxHoldTime() const;
  /// Moment from which the target cannot hold the range any more.
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
  /// Moment from which on no earlier coordinator renews.
  TimePoint sole_leader_from_{};
  TimePoint confirmed_at_{};
  TimePoint plan_at_{};
  /// Record whose append has no known outcome yet. Until it has one, no destination gets a first
  /// grant, because the record may name another one.
  std::optional<KeyTable> pending_;
  bool resolving_ = false;
  TimePoint resolve_at_{};
  bool confirming_ = false;
  std::map<RangeId, GrantState> grant_states_;
  std::map<RangeId, ReleaseState> release_states_;
  /// By target: grants that are under way.
  std::map<std::string, int> grants_in_flight_;
  /// By target: until when a grant that got no answer may come true and hold keys.
  std::map<std::string, TimePoint> unanswered_grant_until_;
  /// By service without owners: its candidates and when they became known.
  struct FirstSplit {
    std::size_t candidates = 0;
    TimePoint first_seen_at{};
    TimePoint last_joined_at{};
  };
  std::map<std::string, FirstSplit> first_splits_;
  /// Grows with each change of role, so that late callbacks are recognised.
  std::uint64_t term_ = 0;
  /// Expires with this object, so that callbacks after its end do nothing.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace dogwoodport::fleet
