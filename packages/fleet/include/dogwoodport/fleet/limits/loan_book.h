#pragma once

/// @file
/// Record of the tokens that a lender has lent to each borrower.

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "dogwoodport/core/types.h"
#include "dogwoodport/fleet/limits/token_loan.h"

namespace dogwoodport::fleet {

/// Tokens of one account that a borrower has used or returned since its previous report.
struct Settlement {
  AccountHash account = 0;
  std::uint32_t used = 0;
  std::uint32_t returned = 0;
};

/// Lending sessions, one per borrower. A session ends when its borrower restarts or when its loans
/// expire. Tokens that are still outstanding then count as used, because the borrower may have used
/// them.
class LoanBook {
 public:
  /// State of one account in the session of a borrower.
  struct Line {
    /// Totals of the session.
    std::uint32_t granted = 0;
    std::uint32_t used = 0;
    std::uint32_t returned = 0;
    /// Values last reported by the borrower.
    std::uint32_t lent = 0;
    std::uint32_t needed = 0;
    std::uint32_t prefetch = 0;
    float demand = 0;

    std::uint32_t outstanding() const noexcept { return granted - used - returned; }
    /// Tokens that the borrower can use itself, assuming that the latest grant has arrived.
    std::uint32_t in_hand() const noexcept {
      return outstanding() > lent ? outstanding() - lent : 0;
    }
    /// Tokens that the borrower lacks for its waiting requests.
    std::uint32_t unmet_need() const noexcept {
      return needed > in_hand() ? needed - in_hand() : 0;
    }
    /// Tokens that the borrower lacks for its waiting requests and its prefetch target.
    std::uint32_t unmet_total() const noexcept {
      return needed + prefetch > in_hand() ? needed + prefetch - in_hand() : 0;
    }
  };

  /// Processes a request and opens a session if there is none. Returns the settlements that result,
  /// including those of a session that ends. Returns nothing if the request comes from an earlier
  /// incarnation of the borrower. `is_own_session` is set if the session in the request was opened
  /// by the current incarnation of this lender.
  std::optional<std::vector<Settlement>> Receive(const LoanRequest& request, bool is_own_session,
                                                 TimePoint now);

  /// Ends the sessions whose loans have expired.
  std::vector<Settlement> Expire(TimePoint now);

  /// Ends all sessions.
  std::vector<Settlement> Clear();

  /// Lends `n` more tokens. The borrower must have a session.
  void Lend(const std::string& borrower, AccountHash account, std::uint32_t n);

  /// Returns the state of an account of a borrower, or nullptr.
  const Line* Find(const std::string& borrower, AccountHash account) const;

  /// Builds a grant with the totals of the given accounts. The grant also repeats the totals of
  /// some other accounts of which the borrower should hold tokens, because it can neither use nor
  /// return a loan whose grant was lost. The loans of the session are valid for `validity` from the
  /// borrower's latest request, and count as outstanding until `outstanding_until`. Without a
  /// session the grant states that nothing can be lent.
  LoanGrant MakeGrant(const std::string& borrower, const std::vector<AccountHash>& accounts,
                      Duration validity, TimePoint outstanding_until);

  /// Returns the outstanding tokens of an account, and the total demand of all borrowers.
  std::uint32_t Outstanding(AccountHash account) const;
  double Demand(AccountHash account) const;

 private:
  struct Session {
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0;
    std::int64_t stamp_us = 0;
    TimePoint outstanding_until{};
    std::map<AccountHash, Line> lines;
    /// Account whose total was last repeated in a grant.
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
