#pragma once

/// @file
/// Tokens of one client account at one instance: the instance's own balance, what it lent and what
/// it borrowed.
///
/// For each account and instance, balance + outstanding loans <= cap holds at all times. A lent
/// token stays counted as outstanding until it has certainly expired at the borrower, so over any
/// interval t all instances together admit at most the sum of the caps plus the sum of the rates
/// times t.

#include <vector>

#include "dogwoodport/core/types.h"

namespace dogwoodport {

/// Validity of lent tokens, counted by the borrower from before its request. Covers a round trip
/// between data centres (3 ms) and several waits of a queued request.
inline constexpr Duration kTokenLoanDuration{50'000};

/// kTokenLoanDuration plus 1% clock drift; the lender counts a loan as outstanding for this long.
inline constexpr Duration kOutstandingDuration{50'500};

/// Tokens lent by one call of `TokenLedger::Lend`.
struct Loan {
  double tokens = 0;
  /// Validity counted from the borrower's request.
  Duration valid_for{0};
};

/// Balance and loans of one account at one instance. All calls take a time that never decreases.
///
/// @code
/// TokenLedger ledger(now);
/// ledger.SetShare(now, 100, 20);  // 100 requests/s, cap 20; the balance starts at 0
/// if (ledger.Take(now, 1)) Forward();
/// @endcode
class TokenLedger {
 public:
  explicit TokenLedger(TimePoint now) : updated_at_(now) {}

  /// Sets the instance's own part of rate (tokens/s) and burst (tokens). The balance is cut to the
  /// new cap and never raised. Complexity: linear in the loans held.
  void SetShare(TimePoint now, double rate, double cap);

  /// Accrues until `now` and forgets expired loans. Complexity: amortized constant.
  void Update(TimePoint now);

  /// Takes `tokens`, borrowed ones first, and returns whether there were enough. Complexity: linear
  /// in the loans held, which are at most kTokenLoanDuration in milliseconds.
  bool Take(TimePoint now, double tokens);

  /// Lends up to `wanted` tokens out of the own balance beyond `keep`; if there are none and
  /// `relend` is set, out of borrowed tokens with their remaining validity.
  Loan Lend(TimePoint now, double wanted, double keep, bool relend);

  /// Adds borrowed tokens that are valid before `expires_at`.
  void Receive(TimePoint now, double tokens, TimePoint expires_at);

  /// Drops the balance and borrowed tokens; what was lent stays outstanding.
  void Drop(TimePoint now);

  /// Own and borrowed tokens as of the last update.
  double available() const noexcept { return balance_ + borrowed_sum_; }
  double balance() const noexcept { return balance_; }
  double borrowed() const noexcept { return borrowed_sum_; }
  double outstanding() const noexcept { return outstanding_sum_; }
  double rate() const noexcept { return rate_; }
  double cap() const noexcept { return cap_; }

 private:
  struct Entry {
    double tokens = 0;
    TimePoint until;
  };

  void Accrue(TimePoint until);
  void TakeBorrowed(double tokens);

  double rate_ = 0;
  double cap_ = 0;
  double balance_ = 0;
  double borrowed_sum_ = 0;
  double outstanding_sum_ = 0;
  TimePoint updated_at_;
  std::vector<Entry> borrowed_;     // by expiry
  std::vector<Entry> outstanding_;  // by expiry
};

}  // namespace dogwoodport
