#pragma once

/// @file
/// Keeps each client account within its rate and burst over all instances together.
///
/// A request needs a token of its account. One instance, the coordinator, has a bucket for each
/// account and lends tokens to the others; in a large fleet relays borrow from it and lend to the
/// instances of their data centre. A token is in one place at a time, so nothing that is delayed,
/// lost, repeated or restarted makes two of one: it can only waste tokens.
///
/// What the coordinator has left and what is out together never exceed a cap, so that in any window
/// no more than the cap and what accrues in it is admitted. Who is the coordinator is recorded in
/// the store. It lends only as long as it has confirmed its role lately; its successor waits until
/// that has run out, starts with an empty bucket, and keeps to a smaller cap until what its
/// predecessors have lent is valid no more. The caps and the rate add up to what the operators
/// allow; see `CapOf`.

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

/// What the operators tolerate beyond the rate and burst of an account: in any `window`,
/// `overshoot` times what rate and burst allow in it, and `slack` requests.
struct AccountTolerance {
  Duration window{5'000'000};
  double overshoot = 0;
  double slack = 0;

  /// Requests beyond rate and burst in a window.
  double AllowedExcess(double rate, double burst) const noexcept {
    return (rate * Seconds(window) + burst) * overshoot + slack;
  }
};

/// Rate at which tokens of an account accrue: its own and a part of the tolerance, which makes up
/// for tokens that are lost with an instance.
double AccrualRate(double rate, double burst, const AccountTolerance& tolerance) noexcept;

/// Most tokens that a coordinator may have and have lent. `takeovers` counts those whose loans may
/// still be valid, its own included; 0 if there is none besides the present coordinator. The caps
/// of all numbers add up to the burst and the part of the tolerance that `AccrualOf` leaves.
double TokenCap(double rate, double burst, const AccountTolerance& tolerance,
                int takeovers) noexcept;

/// Times of the loans.
struct LoanSettings {
  /// Time after its latest confirmation for which a coordinator lends.
  Duration role_validity{1'200'000};
  /// Validity of a loan.
  Duration loan_validity{2'500'000};
  /// Added to times that must have run out by another instance's clock, in percent.
  int clock_drift_percent = 5;
  /// Time between the settlements of a borrower.
  Duration settle_interval{100'000};
  /// The same while the coordinator may lend little at a time.
  Duration reduced_cap_settle_interval{5'000};
  /// Time until a request for tokens is repeated while callers wait.
  Duration retry_interval{25'000};
  /// Silence of a lender from which on another one is asked, if there is one.
  Duration lender_timeout{250'000};
  /// The same from which on callers are not kept waiting any more.
  Duration lender_lost_timeout{300'000};
  /// Demand that a borrower's stock covers; one that borrows from a relay needs less.
  Duration prefetch_time{1'500'000};
  Duration member_prefetch_time{300'000};
  /// Part of the cap that the coordinator lends for waiting requests only, and the fewest tokens of
  /// which this holds, up to half of the cap. The stocks of small accounts are of little use.
  double reserve_share = 0.1;
  double min_reserve = 10;
  /// Time within which tokens for waiting requests have to accrue for them to wait.
  Duration max_wait{150'000};
};

/// Part of an instance that is not the coordinator.
enum class LoanRole {
  /// Borrows from the coordinator.
  kBorrower,
  /// Borrows from the coordinator and lends to others.
  kRelay,
  /// Borrows from relays.
  kMember,
};

/// One instance's tokens. All times are on its own clock, which goes on while it is suspended.
class AccountTokens {
 public:
  enum class Verdict {
    kAdmitted,
    /// The account has used its rate and burst.
    kOverLimit,
    /// A lender has been asked, or will be; the caller of `Admit` should try again.
    kWait,
    /// There is no lender, so that nobody knows whether the account has tokens.
    kNoLender,
  };
  struct Decision {
    Verdict verdict = Verdict::kAdmitted;
    /// When a token can be expected.
    Duration retry_after{0};
  };

  explicit AccountTokens(AccountTolerance tolerance = {}, LoanSettings settings = {})
      : tolerance_(tolerance), settings_(settings) {}

  void SetTolerance(AccountTolerance tolerance) noexcept { tolerance_ = tolerance; }
  /// Sets the name under which the others know this instance.
  void SetIdentity(std::string address, std::uint64_t incarnation);

  /// Sets the limits of one account; a rate of 0 means no limit. Returns whether they changed.
  bool Configure(const std::string& account, double rate, double burst);
  /// Forgets accounts that are not in `names`.
  void RetainAccounts(const std::vector<std::string>& names);

  /// This instance is the coordinator from now on.
  void BecomeCoordinator(const LendingStart& start);
  /// Its role was confirmed as of `at`.
  void ConfirmRole(TimePoint at) noexcept { confirmed_at_ = std::max(confirmed_at_, at); }
  /// It is not the coordinator any more.
  void StepDown(TimePoint now);
  bool leading() const noexcept { return start_.has_value(); }

  /// Sets whom to ask for tokens, the preferred one first, and the newest generation that this
  /// instance follows.
  void SetLenders(std::vector<std::string> lenders, std::uint64_t generation, LoanRole role);

  /// Admits or refuses one request. `again` tells that it has been asked for before.
  /// Complexity: constant on average.
  Decision Admit(const std::string& account, bool is_retry, TimePoint now);
  /// Sets how many requests of an account wait for a token.
  void SetWaiting(const std::string& account, std::size_t n);

  void OnRequest(const LoanRequest& request, TimePoint now);
  void OnGrant(const LoanGrant& grant, TimePoint now);
  /// Settles, asks for tokens, and lends what has become free. Called at least every
  /// `LoanSettings::interval`, and every `LoanSettings::repeat` while requests wait here.
  void Tick(TimePoint now);
  /// Messages to be sent.
  std::vector<LoanMessage> TakeMessages();
  /// Whether used tokens should be settled within `LoanSettings::scarce_interval`.
  bool NeedsEarlySettlement() const noexcept { return needs_early_settlement_; }
  /// Time for which a lender has left all requests unanswered.
  Duration TimeWithoutResponse(const std::string& lender, TimePoint now) const;

  /// Tokens with which this instance may admit requests, or lend, without hearing anything. For a
  /// coordinator they grow with time.
  std::uint32_t FreeTokens(const std::string& account, TimePoint now);

  /// What became of the requests of one account since the last call, and where it stands.
  struct AccountUsage {
    std::string account;
    std::uint32_t admitted = 0;
    std::uint32_t over_limit = 0;
    std::uint32_t waited = 0;
    std::uint32_t unknown = 0;
    std::uint32_t free = 0;
    /// Tokens that this instance has lent and that are out.
    std::uint32_t lent = 0;
    double demand = 0;

    std::uint32_t requests() const noexcept { return admitted + over_limit + waited + unknown; }
    bool used() const noexcept { return requests() > 0; }
  };
  /// The `n` accounts with most requests since the last call.
  std::vector<AccountUsage> TakeUsage(std::size_t n, TimePoint now);
  /// Whether this instance is the coordinator and lends.
  bool MayLend(TimePoint now) const;
  /// Argument of `CapOf` at present.
  int Takeovers(TimePoint now) const;
  /// Time after a take-over from which on no loan of an earlier coordinator is valid.
  Duration EarlierLoansExpireIn() const noexcept {
    return WithDrift(WithDrift(settings_.role_validity) + settings_.loan_validity);
  }

 private:
  struct Entry {
    std::string name;
    double rate = 0;
    double burst = 0;
    RateMeter demand{Duration{2'000'000}};
    std::uint32_t waiting = 0;
    /// Until then a lender has nothing, and the time to come back that it named.
    TimePoint exhausted_until{};
    Duration exhausted_retry_after{0};
    /// Bucket of the coordinator.
    double available = 0;
    TimePoint accrued_at{};
    AccountUsage usage;
  };
  /// Tokens of one account that were borrowed; totals of the session.
  struct Holding {
    std::uint32_t granted = 0;
    std::uint32_t used = 0;
    std::uint32_t returned = 0;
    /// What the lender was told last: used and returned tokens, and the demand.
    std::uint32_t reported = 0;
    float reported_demand = 0;

    std::uint32_t held() const noexcept { return granted - used - returned; }
  };
  /// Lender, its incarnation, and number of the session.
  using SessionKey = std::tuple<std::string, std::uint64_t, std::uint64_t>;
  /// What was borrowed in one session.
  struct Session {
    TimePoint valid_until{};
    bool cap_reduced = false;
    std::unordered_map<AccountHash, Holding> holdings;
  };
  /// How a lender has answered.
  struct LenderState {
    TimePoint requested_at{};
    /// First request since the latest answer.
    TimePoint unanswered_since{};
    /// Until then it cannot lend.
    TimePoint cannot_lend_until{};
    /// Session of the answer to the latest request.
    std::int64_t stamp_us = 0;
    SessionKey session;
  };

  Entry* Find(AccountHash account);
  /// Brings the bucket of the coordinator up to date.
  void Accrue(AccountHash account, Entry& entry, TimePoint now);
  Duration WithDrift(Duration d) const noexcept;
  /// Session that loans to others are made from, or nullptr.
  Session* BackingSession(TimePoint now);
  std::uint32_t FreeInSession(const SessionKey& key, const Session& session, AccountHash account,
                              TimePoint now) const;
  /// Takes a token of this instance; returns whether there was one.
  bool TakeToken(AccountHash account, Entry& entry, TimePoint now);
  void Settle(const std::vector<Settlement>& settled);
  /// Ends all loans to others. What is out counts as used.
  void CloseBook();

  /// Tokens that can be lent to a borrower that misses some.
  std::uint32_t Lendable(AccountHash account, const LoanBook::Line& line, TimePoint now);
  std::uint32_t LendableByCoordinator(AccountHash account, const LoanBook::Line& line,
                                      TimePoint now);
  /// Takes `n` tokens that are about to be lent; returns `n`.
  std::uint32_t DebitLent(AccountHash account, std::uint32_t n);
  void SendGrant(const std::string& borrower, const std::vector<AccountHash>& accounts,
                 TimePoint now);
  /// Milliseconds until it is of use that a borrower asks again.
  std::uint32_t RetryAfterMs(AccountHash account, const LoanBook::Line& line, TimePoint now);
  /// Time until there is a token for each waiting request that this instance knows of.
  Duration BacklogTime(AccountHash account, const Entry& entry, std::uint32_t more) const;
  void ServeUnmetNeeds(TimePoint now);

  const std::string* ChooseLender(TimePoint now);
  void RequestTokens(const std::string& lender, TimePoint now);
  /// Makes the line of an account for a session, unless it says nothing that the lender should hear
  /// now.
  std::optional<LoanLine> MakeLine(AccountHash account, Entry& entry, const SessionKey& key,
                                   Session& session, TimePoint now);
  void EraseExpiredSessions(const SessionKey& key, TimePoint now);
  /// Gives back what lenders other than the present one have lent, which came too late to be used.
  void ReturnToOtherLenders(const std::string& lender, TimePoint now);
  LoanRequest MakeRequest(const SessionKey& key, TimePoint now) const;
  /// Requests of borrowers that miss tokens.
  std::uint32_t UnmetRequests(AccountHash account) const;
  bool AllLendersLost(TimePoint now) const;
  /// Time between settlements with a lender.
  Duration SettleIntervalFor(const LenderState& state) const;

  AccountTolerance tolerance_;
  LoanSettings settings_;
  std::string address_;
  std::uint64_t incarnation_ = 0;
  std::unordered_map<AccountHash, Entry> entries_;

  std::optional<LendingStart> start_;
  TimePoint confirmed_at_{};
  /// No predecessor lends from this time on.
  TimePoint lends_from_{};
  /// Newest generation in which this instance could lend.
  std::uint64_t lent_generation_ = 0;

  std::vector<std::string> lenders_;
  std::uint64_t generation_ = 0;
  LoanRole role_ = LoanRole::kBorrower;
  /// Sessions that a lender may still extend are never erased, because their counters would start
  /// anew.
  std::map<SessionKey, Session> sessions_;
  std::unordered_map<std::string, LenderState> lender_states_;
  TimePoint last_settlement_at_{};

  LoanBook book_;
  /// Session that the book's loans are made from.
  SessionKey backing_key_;
  /// Borrowers that miss tokens for waiting requests, and until when these wait.
  struct UnmetNeed {
    std::string borrower;
    AccountHash account = 0;
    TimePoint until{};
  };
  std::vector<UnmetNeed> unmet_needs_;
  /// Requests that wait here, or new ones at borrowers, need tokens.
  bool request_now_ = false;
  std::uint32_t waiting_ = 0;
  /// Tokens of a lender that may lend little at a time have been used.
  bool needs_early_settlement_ = false;
  std::vector<LoanMessage> messages_;
};

}  // namespace dogwoodport::fleet
