#pragma once

/// @file
/// Facade of the rate limits. Admits requests of client accounts within their rate and burst over
/// all instances together, by lending tokens between instances or, as the baseline, by static
/// shares.

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

/// Time for which an instance uses the smaller of its old and new share after a change: the maximum
/// validity of a permit under the old delegation (1,500 ms) plus 1% clock drift.
inline constexpr Duration kShareHold{1'515'000};

/// Time without a tick after which the instance is considered paused and drops its tokens.
inline constexpr Duration kLimitPauseGap{250'000};

/// Reason for which a request is refused.
enum class LimitReason : std::uint8_t {
  kNoTokens,        ///< the account exceeds its rate, or no peer lent tokens in time
  kNoPermit,        ///< the instance has no valid permit
  kUnknownAccount,  ///< the account is not in the configuration
  kDeadline,        ///< the request's deadline passed while it waited for tokens
};

/// Returns the stable name of `reason`, as used in refusals and metrics.
std::string_view ToString(LimitReason reason) noexcept;

/// The request may be forwarded now.
struct Admitted {};

/// The request waits for tokens. `Limits::TakeDecisions` returns its outcome.
struct Queued {};

/// The request is refused. It has not run.
struct LimitRefused {
  Duration retry_after{0};
  LimitReason reason = LimitReason::kNoTokens;
};

using Admission = std::variant<Admitted, Queued, LimitRefused>;

/// Outcome of a request that was `Queued`. `outcome` is never `Queued`.
struct LimitDecision {
  std::uint64_t request = 0;
  Admission outcome;
};

/// Policy: instances lend tokens to each other.
struct TokenLoans {
  /// Sustained number of loan requests per second, over all accounts, that an instance may send,
  /// and that it responds to. At the design size, 40 + 40 messages/s of up to 160 bytes use less
  /// than 13 KB/s.
  double messages_per_second = 400;
  /// Maximum number of instances in a data centre that borrow from each other directly. In larger
  /// data centres they borrow through one exchange instance per account.
  std::uint32_t direct_peers = 16;
};

/// Baseline policy: each of N instances has 1/N of rate and burst and lends no tokens.
struct StaticShares {};

using LimitPolicy = std::variant<TokenLoans, StaticShares>;

/// Settings of `Limits`.
struct LimitSettings {
  InstanceId self;
  Incarnation incarnation;
  DataCentreId data_centre;
  LimitPolicy policy = TokenLoans{};
  /// Maximum time for which a request waits for tokens. Covers four loan requests. With 25 ms,
  /// requests of the smallest accounts were often refused while a fraction of a token was
  /// available.
  Duration max_wait{45'000};
  /// Maximum number of requests of one account that wait for tokens.
  std::uint32_t max_waiting = 64;
};

/// State and counters of one account on this instance, for `/-/limits`.
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

/// Rate limits of all accounts on one instance. `Tick` must be called at least every 5 ms, and
/// directly after `Admit` returns `Queued`.
///
/// @code
/// const Admission a = limits.Admit(now, account, request_id, deadline);
/// if (std::holds_alternative<Admitted>(a)) Forward(request_id);
/// @endcode
class Limits {
 public:
  Limits(const LimitSettings& settings, TimePoint now);

  /// Applies a new configuration. An increased share of the data centre takes effect only after
  /// `OnConfigConfirmed`. A changed rate or burst never increases a balance, and reduces it if
  /// balance and outstanding loans together exceed the new cap. Complexity: linear in the accounts.
  void OnConfig(TimePoint now, const Config& config);

  /// Records that every data centre in service uses configuration `version` or a later one.
  void OnConfigConfirmed(TimePoint now, std::uint64_t version);

  /// Applies a delegation of any data centre. A delegation that is not newer than the current one
  /// is ignored. The members that are not witnesses share the data centre's tokens evenly.
  /// `followers` are instances of the data centre that are not in its permit group and share too.
  void OnDelegation(TimePoint now, const Delegation& delegation,
                    const std::vector<InstanceId>& followers = {});

  /// Records that the instance holds a permit under the delegation at `offset` until `valid_until`.
  /// A permit under a delegation may be reported only after its coordinator has taken over from a
  /// majority of the old group, since the wait for the expiry of the old group's permits starts
  /// here.
  void OnPermit(TimePoint now, std::uint64_t offset, TimePoint valid_until);

  /// Admits, queues or refuses a request. Sends no message. Complexity: constant on average.
  Admission Admit(TimePoint now, AccountId account, std::uint64_t request, TimePoint deadline);

  /// Removes a queued request, for example because its caller has disconnected.
  void Cancel(TimePoint now, AccountId account, std::uint64_t request);

  void OnMessage(TimePoint now, InstanceId from, const LoanRequest& message, Outbox& out);
  void OnMessage(TimePoint now, InstanceId from, const LoanGrant& message, Outbox& out);
  void Tick(TimePoint now, Outbox& out);

  /// Returns the outcomes of queued requests and clears the list.
  std::vector<LimitDecision> TakeDecisions() { return std::exchange(decisions_, {}); }

  /// Drops the own and borrowed tokens. Also called by `Admit`, `OnMessage` and `Tick` after more
  /// than kLimitPauseGap without a tick, and by `OnPermit` if the previous permit has expired.
  void OnPause(TimePoint now);

  /// Returns the state and counters of `account`, or nothing if it is unknown.
  std::optional<LimitStatus> Status(TimePoint now, AccountId account);

  /// Returns the fraction of each account's rate that currently accrues on this instance, 0 to 1.
  double share() const noexcept { return share_in_use_; }

 private:
  struct Waiting {
    std::uint64_t request = 0;
    TimePoint until;
    bool deadline_first = false;
  };

  /// Estimate of the tokens that a peer can lend.
  struct LenderEstimate {
    double remaining = 0;
    TimePoint at;
    /// Number of consecutive empty responses. Each one doubles the time until the next request to
    /// the peer.
    std::uint32_t empty_responses = 0;
    TimePoint skip_until;
  };

  struct Account {
    explicit Account(TimePoint now) : ledger(now), last_arrival(now) {}
    AccountId id;
    double rate = 0;
    double burst = 0;
    TokenLedger ledger;
    /// Requests per second, exponentially weighted. On an exchange this includes the tokens
    /// requested by peers.
    double demand = 0;
    TimePoint last_arrival;
    bool active = false;
    TimePoint next_request;
    std::uint32_t empty_responses = 0;
    std::unordered_map<InstanceId, LenderEstimate> lenders;
    std::deque<Waiting> waiting;
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
  };

  struct Candidate {
    InstanceId id;
    bool local = false;
  };

  struct PendingRequest {
    std::uint32_t sequence = 0;
    InstanceId peer;
    TimePoint sent_at;
  };

  /// Limits the rate of messages. Bursts are limited to the messages of 50 ms, or to 2 messages if
  /// that is more.
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
  void AddDemand(Account& account, TimePoint now, double requests);
  double Demand(const Account& account, TimePoint now) const;
  double Shortfall(const Account& account, TimePoint now) const;
  void Activate(Account& account);
  void ServeWaiting(Account& account, TimePoint now);
  void RefuseWaiting(Account& account, LimitReason reason);
  LimitRefused MakeRefusal(Account& account, LimitReason reason);
  bool UsesExchange() const;
  bool IsExchange(AccountId account) const;
  std::vector<Candidate> Candidates(AccountId account) const;
  double EstimateRemaining(const Account& account, InstanceId peer, TimePoint now) const;
  std::optional<InstanceId> NextLender(Account& account, double wanted, TimePoint now);
  bool MayWait(const Account& account) const;
  double Reserve(const Account& account, TimePoint now) const;
  void RequestLoans(TimePoint now, const TokenLoans& policy, Outbox& out);
  std::optional<PendingRequest> TakePending(std::uint32_t sequence);
  void ApplyGrant(Account& account, const TokenAmount& amount, const PendingRequest& request,
                  TimePoint now);

  LimitSettings settings_;
  std::unordered_map<AccountId, std::unique_ptr<Account>> accounts_;
  std::vector<Account*> active_;
  /// Instances of one data centre that share its tokens, by the delegation at `offset`.
  struct Sharers {
    std::uint64_t offset = 0;
    std::vector<InstanceId> instances;
  };
  std::unordered_map<DataCentreId, Sharers> sharers_;
  /// Time until which a peer that did not respond to a request is skipped.
  std::unordered_map<InstanceId, TimePoint> unresponsive_until_;
  std::size_t sharer_count_ = 0;
  std::vector<PendingRequest> pending_;
  std::vector<LimitDecision> decisions_;
  std::uint64_t config_version_ = 0;
  std::uint64_t confirmed_version_ = 0;
  double config_part_ = 0;         // share of the data centre in the configuration
  double config_part_in_use_ = 0;  // does not exceed any share that other data centres may assume
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
