#pragma once

/// @file
/// Tokens of one client account on one instance: its own balance, lent tokens and borrowed tokens.
///
/// For each account and instance, balance + outstanding loans <= cap holds at all times. A lent
/// token counts as outstanding until it must have expired at the borrower. In any interval of
/// length t, all instances together therefore admit at most the sum of the caps plus t times the
/// sum of the rates.

#include <vector>

#include "dogwoodport/core/types.h"

namespace dogwoodport {

/// Validity of lent tokens, which the borrower counts from the time of its request. Covers a round
/// trip between data centres (3 ms) and several waits of a queued request.
inline constexpr Duration kTokenLoanDuration{50'000};

/// Time for which a lender counts a loan as outstanding: kTokenLoanDuration plus 1% clock drift.
inline constexpr Duration kOutstandingDuration{50'500};

/// Tokens lent by one call to `TokenLedger::Lend`.
struct Loan {
  double tokens = 0;
  /// Validity counted from the borrower's request.
  Duration valid_for{0};
};

/// Balance and loans of one account on one instance. The time passed to successive calls must not
/// decrease.
///
/// @code
/// TokenLedger ledger(now);
/// ledger.SetShare(now, 100, 20);  // 100 requests/s, cap 20; the balance starts at 0
/// if (ledger.Take(now, 1)) Forward();
/// @endcode
class TokenLedger {
 public:
  explicit TokenLedger(TimePoint now) : updated_at_(now) {}

  /// Sets the instance's share of the rate (tokens/s) and of the burst (tokens). The balance is
  /// reduced if balance and outstanding loans together exceed the new cap, and never increased.
  /// Complexity: linear in the loans held.
  void SetShare(TimePoint now, double rate, double cap);

  /// Accrues tokens until `now` and removes expired loans. Complexity: amortized constant.
  void Update(TimePoint now);

  /// Takes `tokens`, borrowed ones first. Returns false and takes none if fewer are available.
  /// Complexity: linear in the loans held, of which there is at most one per millisecond of
  /// kTokenLoanDuration.
  bool Take(TimePoint now, double tokens);

  /// Lends up to `wanted` tokens of the balance in excess of `reserve`. If there are none and
  /// `relend` is set, lends borrowed tokens in excess of `reserve` with their remaining validity.
  Loan Lend(TimePoint now, double wanted, double reserve, bool relend);

  /// Adds borrowed tokens that expire at `expires_at`.
  void Receive(TimePoint now, double tokens, TimePoint expires_at);

  /// Drops the balance and the borrowed tokens. Lent tokens remain outstanding.
  void Drop(TimePoint now);

  /// Returns the own and borrowed tokens as of the last update.
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
