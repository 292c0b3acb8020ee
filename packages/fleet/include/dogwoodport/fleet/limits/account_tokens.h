#pragma once

/// @file
/// Enforces the rate and burst of each client account over all instances together.
///
/// Each request consumes one token of its account. One instance, the coordinator, holds a token
/// bucket per account and lends tokens to the other instances. In a large fleet, relays borrow from
/// the coordinator and lend to the instances of their data centre. A token is in one place at a
/// time, so lost, delayed or duplicated messages and restarts never duplicate a token; at worst
/// they waste some.
///
/// The tokens in the coordinator's bucket and the outstanding loans together never exceed a cap. In
/// any window the fleet therefore admits at most the cap plus the tokens that accrue in the window.
/// The store records which instance is the coordinator. A coordinator lends only while the
/// confirmation of its role is recent. Its successor waits until that confirmation has expired,
/// starts with an empty bucket, and keeps to a smaller cap until the loans of its predecessors have
/// expired. The caps and the accrual together stay within the bound set by the operators; see
/// `TokenCap`.
///
/// Other bounds over all instances use the same tokens as budgets of their own; see
/// target_limits.h.

#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "dogwoodport/fleet/limits/lending_start.h"
#include "dogwoodport/fleet/limits/loan_book.h"
#include "dogwoodport/fleet/limits/token_bucket.h"
#include "dogwoodport/fleet/limits/token_loan.h"

namespace dogwoodport::fleet {

/// Excess over a rate and burst that is tolerated. In any `window`, the
/// fleet may admit `overshoot` times what rate and burst allow in it, and `slack` requests, in
/// addition.
struct RateTolerance {
  Duration window{5'000'000};
  double overshoot = 0;
  double slack = 0;

  /// Returns the number of requests allowed beyond rate and burst in a window.
  double AllowedExcess(double rate, double burst) const noexcept {
    return (rate * Seconds(window) + burst) * overshoot + slack;
  }
};

/// Returns the rate at which tokens of an account accrue: its configured rate plus a share of the
/// tolerance. The share compensates for tokens that are lost with an instance.
double AccrualRate(double rate, double burst, const RateTolerance& tolerance) noexcept;

/// Returns the maximum number of tokens that a coordinator may hold and have lent out together.
/// `takeovers` is the number of take-overs whose loans may still be valid, including the current
/// one. It is 0 if no loan of an earlier coordinator can be valid. The caps for all values of
/// `takeovers` add up to the burst plus the part of the tolerance that `AccrualRate` does not use.
double TokenCap(double rate, double burst, const RateTolerance& tolerance, int takeovers) noexcept;

/// Durations and limits of the lending protocol.
struct LoanSettings {
  /// Time for which a coordinator may lend after the latest confirmation of its role.
  Duration role_validity{1'200'000};
  /// Validity of a loan, counted from the borrower's request.
  Duration loan_validity{2'500'000};
  /// Percentage added to a duration that must have expired on the clock of another instance.
  int clock_drift_percent = 5;
  /// Interval at which a borrower reports used tokens to its lender.
  Duration settle_interval{100'000};
  /// The same interval while the lender works with a reduced cap after a take-over.
  Duration reduced_cap_settle_interval{5'000};
  /// Interval at which a borrower retries a request for tokens while callers wait.
  Duration retry_interval{25'000};
  /// Time without a response after which a borrower turns to another lender, if there is one.
  Duration lender_timeout{250'000};
  /// Time without a response from any lender after which callers are refused instead of waiting.
  Duration lender_lost_timeout{300'000};
  /// Time for which a borrower's prefetched tokens last at its current demand. For a member, which
  /// borrows from a relay, a shorter time is enough.
  Duration prefetch_time{1'500'000};
  Duration member_prefetch_time{300'000};
  /// Part of the bucket that the coordinator lends only for waiting requests: a share of the cap,
  /// but at least `min_reserve` tokens, or half of the cap if that is less. Prefetching is of
  /// little use to small accounts.
  double reserve_share = 0.1;
  double min_reserve = 10;
  /// Requests wait for a token only if the tokens for all of them accrue within this time.
  Duration max_wait{150'000};
};

/// Lending role of an instance that is not the coordinator.
enum class LoanRole {
  /// Borrows from the coordinator.
  kBorrower,
  /// Borrows from the coordinator and lends to others.
  kRelay,
  /// Borrows from relays.
  kMember,
};

/// Tokens held, borrowed and lent by one instance. All times are on the instance's own clock, which
/// keeps running while the process is suspended.
class AccountTokens {
 public:
  enum class Verdict {
    kAdmitted,
    /// The account has used its rate and burst.
    kOverLimit,
    /// A token has been or will be requested from a lender. The caller of `Admit` should retry.
    kWait,
    /// No lender is reachable, so it is not known whether the account has tokens.
    kNoLender,
  };
  struct Decision {
    Verdict verdict = Verdict::kAdmitted;
    /// Time after which the caller can expect a token.
    Duration retry_after{0};
  };

  explicit AccountTokens(RateTolerance tolerance = {}, LoanSettings settings = {})
      : tolerance_(tolerance), settings_(settings) {}

  void SetTolerance(RateTolerance tolerance) noexcept { tolerance_ = tolerance; }
  /// Sets the address and incarnation by which other instances identify this one.
  void SetIdentity(std::string address, std::uint64_t incarnation);

  /// Sets the limits of one account; a rate of 0 means unlimited. Returns whether they changed.
  bool Configure(const std::string& account, double rate, double burst);
  /// Removes all accounts that are not in `names`.
  void RetainAccounts(const std::vector<std::string>& names);

  /// Adds or changes a budget that is not a client account's. It has no burst. Its bucket starts
  /// empty. `rate` must be positive.
  void ConfigureBudget(const std::string& name, double rate, const RateTolerance& tolerance);
  void RemoveBudget(const std::string& name);
  /// Uses one token of a budget. Returns false if this instance has none.
  bool TryTake(const std::string& name, TimePoint now);
  /// Counts a request that would use a token of a budget if there were one.
  void AddDemand(const std::string& name, TimePoint now);
  /// Returns the time after which a waiting request can expect a token, according to the latest
  /// response of the lender; 0 if the lender has not reported that it has no tokens.
  Duration ReportedWait(const std::string& name, TimePoint now) const;

  /// Makes this instance the coordinator.
  void BecomeCoordinator(const LendingStart& start);
  /// Records that the store confirmed the coordinator role of this instance as of `at`.
  void ConfirmRole(TimePoint at) noexcept { confirmed_at_ = std::max(confirmed_at_, at); }
  /// Ends the coordinator role of this instance.
  void StepDown(TimePoint now);
  bool leading() const noexcept { return start_.has_value(); }

  /// Sets the lenders in order of preference, and the newest generation of the coordinator that
  /// this instance follows.
  void SetLenders(std::vector<std::string> lenders, std::uint64_t generation, LoanRole role);

  /// Admits or refuses one request. `is_retry` is set if the request has been passed to `Admit`
  /// before.
  /// Complexity: constant on average.
  Decision Admit(const std::string& account, bool is_retry, TimePoint now);
  /// Sets the number of requests of an account or budget that wait for a token.
  void SetWaiting(const std::string& account, std::size_t n);

  void OnRequest(const LoanRequest& request, TimePoint now);
  void OnGrant(const LoanGrant& grant, TimePoint now);
  /// Reports used tokens, requests new ones, and lends tokens that have become free. Must be called
  /// at least every `LoanSettings::settle_interval`, and every `LoanSettings::retry_interval` while
  /// requests wait on this instance.
  void Tick(TimePoint now);
  /// Returns the messages to be sent and clears the list.
  std::vector<LoanMessage> TakeMessages();
  /// Whether used tokens should be reported within `LoanSettings::reduced_cap_settle_interval`.
  bool NeedsEarlySettlement() const noexcept { return needs_early_settlement_; }
  /// Returns the time since the oldest request to which the lender has not responded, or 0.
  Duration TimeWithoutResponse(const std::string& lender, TimePoint now) const;

  /// Returns the number of tokens that this instance can use or lend without receiving further
  /// messages. On a coordinator the number grows with time.
  std::uint32_t FreeTokens(const std::string& account, TimePoint now);

  /// Outcomes of the requests of one account since the last call, and its current tokens.
  struct AccountUsage {
    std::string account;
    std::uint32_t admitted = 0;
    std::uint32_t over_limit = 0;
    std::uint32_t waited = 0;
    /// Requests refused because no lender was reachable.
    std::uint32_t unknown = 0;
    std::uint32_t free = 0;
    /// Outstanding tokens that this instance has lent to others.
    std::uint32_t lent = 0;
    double demand = 0;

    std::uint32_t requests() const noexcept { return admitted + over_limit + waited + unknown; }
    bool used() const noexcept { return requests() > 0; }
  };
  /// Returns the `n` accounts with the most requests since the last call, and resets the counters.
  std::vector<AccountUsage> TakeUsage(std::size_t n, TimePoint now);
  /// Whether this instance is the coordinator and may lend at `now`.
  bool MayLend(TimePoint now) const;
  /// Returns the current `takeovers` argument of `TokenCap`.
  int Takeovers(TimePoint now) const;
  /// Returns the time after a take-over at which all loans of earlier coordinators have expired.
  Duration EarlierLoansExpireIn() const noexcept {
    return WithDrift(WithDrift(settings_.role_validity) + settings_.loan_validity);
  }

 private:
  struct Entry {
    std::string name;
    double rate = 0;
    double burst = 0;
    /// Set if the entry is not a client account. Accounts share one tolerance.
    std::optional<RateTolerance> own_tolerance;
    RateMeter demand{Duration{2'000'000}};
    std::uint32_t waiting = 0;
    /// Time until which the lender has reported that it has no tokens, and the retry time that it
    /// named.
    TimePoint exhausted_until{};
    Duration exhausted_retry_after{0};
    /// Coordinator only: the token bucket.
    double available = 0;
    TimePoint accrued_at{};
    AccountUsage usage;
  };
  /// Borrowed tokens of one account in one session. The counters are totals of the session.
  struct Holding {
    std::uint32_t granted = 0;
    std::uint32_t used = 0;
    std::uint32_t returned = 0;
    /// Values last reported to the lender: the sum of used and returned tokens, and the demand.
    std::uint32_t reported = 0;
    float reported_demand = 0;

    std::uint32_t held() const noexcept { return granted - used - returned; }
  };
  /// Address and incarnation of the lender, and the number of the session.
  using SessionKey = std::tuple<std::string, std::uint64_t, std::uint64_t>;
  /// Loans received in one session.
  struct Session {
    TimePoint valid_until{};
    bool cap_reduced = false;
    std::unordered_map<AccountHash, Holding> holdings;
  };
  /// Communication with one lender.
  struct LenderState {
    TimePoint requested_at{};
    /// Time of the first request since the latest response; unset if none is unanswered.
    TimePoint unanswered_since{};
    /// Time until which the lender is assumed to be unable to lend, because it responded so.
    TimePoint cannot_lend_until{};
    /// Timestamp and session of the response to the latest request.
    std::int64_t stamp_us = 0;
    SessionKey session;
  };

  Entry* Find(AccountHash account);
  const RateTolerance& ToleranceOf(const Entry& entry) const noexcept {
    return entry.own_tolerance ? *entry.own_tolerance : tolerance_;
  }
  double AccrualRateOf(const Entry& entry) const noexcept;
  double TokenCapOf(const Entry& entry, int takeovers) const noexcept;
  /// Adds the tokens that have accrued in the coordinator's bucket since the last call.
  void Accrue(AccountHash account, Entry& entry, TimePoint now);
  Duration WithDrift(Duration d) const noexcept;
  /// Returns the session whose tokens are lent to others, or nullptr.
  Session* BackingSession(TimePoint now);
  std::uint32_t FreeInSession(const SessionKey& key, const Session& session, AccountHash account,
                              TimePoint now) const;
  /// Uses one token that this instance holds. Returns false if there is none.
  bool TakeToken(AccountHash account, Entry& entry, TimePoint now);
  void Settle(const std::vector<Settlement>& settled);
  /// Ends all loans to others. Outstanding tokens count as used.
  void CloseBook();

  /// Returns the number of tokens that can be lent now to a borrower with an unmet need.
  std::uint32_t Lendable(AccountHash account, const LoanBook::Line& line, TimePoint now);
  std::uint32_t LendableByCoordinator(AccountHash account, const LoanBook::Line& line,
                                      TimePoint now);
  /// Debits `n` tokens that are about to be lent from the coordinator's bucket; returns `n`.
  std::uint32_t DebitLent(AccountHash account, std::uint32_t n);
  void SendGrant(const std::string& borrower, const std::vector<AccountHash>& accounts,
                 TimePoint now);
  /// Returns the milliseconds after which a borrower should retry.
  std::uint32_t RetryAfterMs(AccountHash account, const LoanBook::Line& line, TimePoint now);
  /// Returns the time until enough tokens have accrued for all waiting requests known to this
  /// instance and `more` further ones.
  Duration BacklogTime(AccountHash account, const Entry& entry, std::uint32_t more) const;
  void ServeUnmetNeeds(TimePoint now);

  const std::string* ChooseLender(TimePoint now);
  void RequestTokens(const std::string& lender, TimePoint now);
  /// Builds the line of an account for a request in a session, or nothing if the lender needs no
  /// update on the account now.
  std::optional<LoanLine> MakeLine(AccountHash account, Entry& entry, const SessionKey& key,
                                   Session& session, TimePoint now);
  void EraseExpiredSessions(const SessionKey& key, TimePoint now);
  /// Returns unused tokens of lenders other than `lender`. Their grants arrived too late to be
  /// used.
  void ReturnToOtherLenders(const std::string& lender, TimePoint now);
  LoanRequest MakeRequest(const SessionKey& key, TimePoint now) const;
  /// Returns the number of requests waiting at borrowers for which no token has been lent yet.
  std::uint32_t UnmetRequests(AccountHash account) const;
  bool AllLendersLost(TimePoint now) const;
  /// Returns the interval between settlements with a lender.
  Duration SettleIntervalFor(const LenderState& state) const;

  RateTolerance tolerance_;
  LoanSettings settings_;
  std::string address_;
  std::uint64_t incarnation_ = 0;
  std::unordered_map<AccountHash, Entry> entries_;

  std::optional<LendingStart> start_;
  TimePoint confirmed_at_{};
  /// Time from which no predecessor lends.
  TimePoint lends_from_{};
  /// Newest generation in which this instance was able to lend.
  std::uint64_t lent_generation_ = 0;

  std::vector<std::string> lenders_;
  std::uint64_t generation_ = 0;
  LoanRole role_ = LoanRole::kBorrower;
  /// A session that its lender may still extend is never erased, because its counters would restart
  /// at zero.
  std::map<SessionKey, Session> sessions_;
  std::unordered_map<std::string, LenderState> lender_states_;
  TimePoint last_settlement_at_{};

  LoanBook book_;
  /// Session whose tokens are lent to others.
  SessionKey backing_key_;
  /// A borrower that lacks tokens for waiting requests, and the time until which these wait.
  struct UnmetNeed {
    std::string borrower;
    AccountHash account = 0;
    TimePoint until{};
  };
  std::vector<UnmetNeed> unmet_needs_;
  /// Whether new requests, on this instance or at borrowers, need tokens at once.
  bool request_now_ = false;
  std::uint32_t waiting_ = 0;
  /// Whether tokens from a lender with a reduced cap have been used since the last settlement.
  bool needs_early_settlement_ = false;
  std::vector<LoanMessage> messages_;
};

}  // namespace dogwoodport::fleet
