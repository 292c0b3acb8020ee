#pragma once

/// @file
/// What a lender has lent to each borrower.

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "dogwoodport/core/types.h"
#include "dogwoodport/fleet/limits/token_loan.h"

namespace dogwoodport::fleet {

/// A borrower's account of tokens that it has used or given back since it said so before.
struct Settlement {
  AccountHash account = 0;
  std::uint32_t used = 0;
  std::uint32_t returned = 0;
};

/// Sessions of the borrowers. A session ends when its borrower starts again, or when what was lent
/// in it is valid no more; what is still out then counts as used, because nobody knows better.
class LoanBook {
 public:
  /// Where a borrower stands with one account.
  struct Line {
    /// Totals of the session.
    std::uint32_t granted = 0;
    std::uint32_t used = 0;
    std::uint32_t returned = 0;
    /// What the borrower said last.
    std::uint32_t lent = 0;
    std::uint32_t needed = 0;
    std::uint32_t prefetch = 0;
    float demand = 0;

    std::uint32_t outstanding() const noexcept { return granted - used - returned; }
    /// Tokens that the borrower has, or will have once the latest grant has arrived.
    std::uint32_t in_hand() const noexcept {
      return outstanding() > lent ? outstanding() - lent : 0;
    }
    /// Tokens that are missing for waiting requests, and for these and the stock.
    std::uint32_t unmet_need() const noexcept {
      return needed > in_hand() ? needed - in_hand() : 0;
    }
    std::uint32_t unmet_total() const noexcept {
      return needed + prefetch > in_hand() ? needed + prefetch - in_hand() : 0;
    }
  };

  /// Takes note of a request; opens a session if there is none. Returns what it settles, the loans
  /// of a session that ends included; nothing if it comes from an earlier life of the borrower.
  /// `is_ours` tells that the session in the request is one of this lender's present life.
  std::optional<std::vector<Settlement>> Receive(const LoanRequest& request, bool is_own_session,
                                                 TimePoint now);

  /// Ends the sessions whose loans are valid no more.
  std::vector<Settlement> Expire(TimePoint now);

  /// Ends all sessions.
  std::vector<Settlement> Clear();

  /// Lends `n` more tokens. The borrower must have a session.
  void Lend(const std::string& borrower, AccountHash account, std::uint32_t n);

  /// The line of a borrower, or nullptr.
  const Line* Find(const std::string& borrower, AccountHash account) const;

  /// Makes the grant that tells a borrower where it stands, with some lines more of what is in its
  /// hands: it cannot use or give back a loan whose grant was lost. The loans of its session are
  /// valid for `valid` from its latest request on, and count as out until `counted_until`. Without
  /// a session the grant says that nothing can be lent.
  LoanGrant MakeGrant(const std::string& borrower, const std::vector<AccountHash>& accounts,
                      Duration validity, TimePoint outstanding_until);

  /// Tokens of an account that are out, and the demand of all borrowers.
  std::uint32_t Outstanding(AccountHash account) const;
  double Demand(AccountHash account) const;

 private:
  struct Session {
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0;
    std::int64_t stamp_us = 0;
    TimePoint outstanding_until{};
    std::map<AccountHash, Line> lines;
    /// Account that was told again last.
    AccountHash last_resent = 0;
  };
  struct Total {
    std::uint32_t outstanding = 0;
    double demand = 0;
  };

  void EndSession(Session& session, std::vector<Settlement>& settled);
  static void ResendLines(Session& session, LoanGrant& grant);
  void ApplyLine(Session& session, const LoanLine& reported, bool counters_valid,
                 std::vector<Settlement>& settled);

  std::unordered_map<std::string, Session> sessions_;
  std::unordered_map<AccountHash, Total> totals_;
  std::uint64_t last_session_number_ = 0;
};

}  // namespace dogwoodport::fleet
