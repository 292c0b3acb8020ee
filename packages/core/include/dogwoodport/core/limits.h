#pragma once

/// @file
/// Facade of the rate limits: admits requests of client accounts within their rate and burst over
/// all instances, by conserved token loans or, as the baseline, by static shares.

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

#include "dogwoodport/core/config.h"
#include "dogwoodport/core/delegation.h"
#include "dogwoodport/core/limit_messages.h"
#include "dogwoodport/core/message.h"
#include "dogwoodport/core/token_ledger.h"

namespace dogwoodport {

/// How long an instance uses the smaller of its old and new share after a change: the longest
/// validity of a permit under the old delegation (1,500 ms) plus 1% clock drift.
inline constexpr Duration kShareHold{1'515'000};

/// Gap between two ticks after which the instance counts as paused and drops its tokens.
inline constexpr Duration kLimitPauseGap{250'000};

/// Why a request was not admitted.
enum class LimitReason : std::uint8_t {
  kNoTokens,        ///< the account is over its rate, or no peer could lend in time
  kNoPermit,        ///< the instance has no valid permit or no share yet
  kUnknownAccount,  ///< not in the configuration
  kDeadline,        ///< the request's deadline passed while it waited
};

/// Returns the stable name of `reason`, as used in refusals and metrics.
const char* Name(LimitReason reason) noexcept;

/// The request may be forwarded now.
struct Admitted {};

/// The request waits for tokens; `Limits::TakeDecisions` gives its outcome.
struct Queued {};

/// The request gets its refusal now; nothing was run.
struct LimitRefused {
  Duration retry_after{0};
  LimitReason reason = LimitReason::kNoTokens;
};

using Admission = std::variant<Admitted, Queued, LimitRefused>;

/// Outcome of a request that was `Queued`; never `Queued` itself.
struct LimitDecision {
  std::uint64_t request = 0;
  Admission outcome;
};

/// Tokens are lent between instances.
struct TokenLoans {
  /// Round trips for loans over all accounts that an instance starts, and that it answers, per
  /// second, sustained. At the design size 40 + 40 messages/s of up to 160 bytes stay under
  /// 13 KB/s.
  double messages_per_second = 400;
  /// Data centres with more instances than this borrow through an exchange instance.
  std::uint32_t direct_peers = 16;
};

/// Baseline: each instance has rate/N and burst/N and lends nothing.
struct StaticShares {};

using LimitPolicy = std::variant<TokenLoans, StaticShares>;

/// Settings of `Limits`.
struct LimitSettings {
  InstanceId self;
  Incarnation incarnation;
  DataCentreId data_centre;
  LimitPolicy policy = TokenLoans{};
  /// Longest time that a request waits for tokens; covers two round trips between data centres.
  Duration max_wait{25'000};
  /// Requests of one account that may wait for tokens at once.
  std::uint32_t max_waiting = 64;
};

/// Counters of one account at this instance, for `/-/limits`.
struct LimitStatus {
  double rate = 0;
  double cap = 0;
  double balance = 0;
  double borrowed = 0;
  double outstanding = 0;
  std::size_t waiting = 0;
  std::uint64_t admitted = 0;
  std::uint64_t refused = 0;
};

/// Rate limits of all accounts at one instance. Call `Tick` at least every 5 ms, and directly after
/// `Admit` returned `Queued`.
///
/// @code
/// const Admission a = limits.Admit(now, account, request_id, deadline);
/// if (std::holds_alternative<Admitted>(a)) Forward(request_id);
/// @endcode
class Limits {
 public:
  Limits(const LimitSettings& settings, TimePoint now);

  /// Takes a new configuration. A share of a data centre that grows stays at its old value until
  /// `OnConfigConfirmed`; a changed rate or burst scales balances down if needed and never up.
  /// Complexity: linear in the accounts.
  void OnConfig(TimePoint now, const Config& config);

  /// States that every data centre in service follows configuration `version` or a later one.
  void OnConfigConfirmed(TimePoint now, std::uint64_t version);

  /// Takes a delegation of any data centre; older ones than known are ignored. Members that are not
  /// witnesses share the data centre's tokens evenly.
  /// `followers` are instances of the data centre outside its permit group that share as well.
  void OnDelegation(TimePoint now, const Delegation& delegation,
                    const std::vector<InstanceId>& followers = {});

  /// States that the instance holds a permit under the delegation at `offset` until `valid_until`.
  /// A permit under a delegation may be reported only after its coordinator took over from a
  /// majority of the old group: the wait for the old group's permits starts here.
  void OnPermit(TimePoint now, std::uint64_t offset, TimePoint valid_until);

  /// Decides on a request. Complexity: constant on average, without a message.
  Admission Admit(TimePoint now, AccountId account, std::uint64_t request, TimePoint deadline);

  /// Forgets a queued request, e.g. when its caller went away.
  void Cancel(TimePoint now, AccountId account, std::uint64_t request);

  void OnMessage(TimePoint now, InstanceId from, const LoanRequest& message, Outbox& out);
  void OnMessage(TimePoint now, InstanceId from, const LoanGrant& message, Outbox& out);
  void Tick(TimePoint now, Outbox& out);

  /// Removes and returns outcomes of queued requests.
  std::vector<LimitDecision> TakeDecisions() { return std::exchange(decisions_, {}); }

  /// Drops all tokens; also called by `Tick` and `Admit` after a gap of kLimitPauseGap.
  void OnPause(TimePoint now);

  /// Returns the counters of `account`, nothing if it is unknown.
  std::optional<LimitStatus> Status(TimePoint now, AccountId account);

  /// Part of every account's rate that this instance generates now, 0 to 1.
  double share() const noexcept { return share_in_use_; }

 private:
  struct Waiting {
    std::uint64_t request = 0;
    TimePoint until;
    bool deadline_first = false;
  };

  /// What a borrower knows about the tokens that a peer can lend.
  struct LenderEstimate {
    double left = 0;
    TimePoint at;
    /// Empty answers in a row; each one doubles the time until the peer is asked again.
    std::uint32_t empty_answers = 0;
    TimePoint skip_until;
  };

  struct Account {
    explicit Account(TimePoint now) : ledger(now), last_arrival(now) {}
    AccountId id;
    double rate = 0;
    double burst = 0;
    TokenLedger ledger;
    /// Arrivals per second, exponentially weighted; includes what peers asked of an exchange.
    double demand = 0;
    TimePoint last_arrival;
    bool active = false;
    TimePoint next_request;
    std::uint32_t empty_answers = 0;
    std::unordered_map<InstanceId, LenderEstimate> lenders;
    std::deque<Waiting> waiting;
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
  };

  struct Peer {
    InstanceId id;
    bool local = false;
    TimePoint silent_until;
  };

  struct PendingRequest {
    std::uint32_t sequence = 0;
    InstanceId peer;
    TimePoint sent_at;
  };

  /// Bounds a message rate; holds at most 50 ms worth of messages.
  struct MessageBudget {
    double tokens = 0;
    TimePoint updated_at;
    bool Take(TimePoint now, double per_second);
  };

  bool Usable(TimePoint now);
  void UpdateShare(TimePoint now);
  void ApplyShares(TimePoint now);
  double TargetMemberPart() const;
  void LowerMemberPart();
  void RebuildPeers();
  void AddDemand(Account& account, TimePoint now, double requests);
  double Demand(const Account& account, TimePoint now) const;
  double Shortfall(const Account& account, TimePoint now) const;
  void Activate(Account& account);
  void ServeWaiting(Account& account, TimePoint now);
  void RefuseWaiting(Account& account, LimitReason reason);
  LimitRefused MakeRefusal(Account& account, LimitReason reason);
  bool UsesExchange() const;
  bool IsExchange(AccountId account) const;
  std::vector<InstanceId> Candidates(AccountId account) const;
  double EstimateLeft(const Account& account, InstanceId peer, TimePoint now) const;
  std::optional<InstanceId> NextLender(Account& account, double wanted, TimePoint now);
  bool MayWait(const Account& account) const;
  double Keep(const Account& account, TimePoint now) const;
  void RequestLoans(TimePoint now, const TokenLoans& policy, Outbox& out);
  std::optional<PendingRequest> TakePending(std::uint32_t sequence);
  void TakeGrant(Account& account, const TokenAmount& amount, const PendingRequest& request,
                 TimePoint now);

  LimitSettings settings_;
  std::unordered_map<AccountId, std::unique_ptr<Account>> accounts_;
  std::vector<Account*> active_;
  /// Instances of one data centre that share its tokens.
  struct Sharers {
    std::uint64_t offset = 0;
    std::vector<InstanceId> instances;
  };
  std::unordered_map<DataCentreId, Sharers> sharers_;
  std::unordered_map<InstanceId, Peer> peers_;
  std::vector<PendingRequest> pending_;
  std::vector<LimitDecision> decisions_;
  std::uint64_t config_version_ = 0;
  std::uint64_t confirmed_version_ = 0;
  double config_part_ = 0;         // the data centre's share in the configuration
  double config_part_in_use_ = 0;  // not above any share that another data centre may count on
  double member_part_in_use_ = 0;
  double share_in_use_ = 0;
  std::uint64_t own_offset_ = 0;
  std::uint64_t permit_offset_ = 0;
  TimePoint permit_until_;
  std::optional<TimePoint> hold_until_;
  TimePoint last_tick_;
  std::uint32_t next_sequence_ = 1;
  std::uint32_t lender_cursor_ = 0;
  MessageBudget request_budget_;
  MessageBudget grant_budget_;
};

}  // namespace dogwoodport
