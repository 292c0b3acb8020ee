#pragma once

/// @file
/// Messages by which instances lend each other tokens of client accounts.
///
/// All counters are totals of a session and the receiver keeps the highest value received. Lost,
/// duplicated and reordered messages therefore do not corrupt the counts.

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <variant>
#include <vector>

namespace dogwoodport::fleet {

/// Hash of an account's name.
using AccountHash = std::uint64_t;

/// State of one account as reported by a borrower.
struct LoanLine {
  AccountHash account = 0;
  /// Tokens used for requests by the borrower and by those it lends to.
  std::uint32_t used = 0;
  /// Tokens returned unused.
  std::uint32_t returned = 0;
  /// Outstanding tokens that the borrower has lent to others.
  std::uint32_t lent = 0;
  /// Requests that wait for a token at the borrower or at those it lends to.
  std::uint32_t needed = 0;
  /// Tokens that the borrower would like to hold in addition to `needed`.
  std::uint32_t prefetch = 0;
  /// Requests arriving per second, including refused ones.
  float demand = 0;

  MSGPACK_DEFINE_ARRAY(account, used, returned, lent, needed, prefetch, demand)
};

/// Requests tokens from a lender and settles earlier loans.
struct LoanRequest {
  /// Address and incarnation of the borrower.
  std::string borrower;
  std::uint64_t incarnation = 0;
  /// Time on the borrower's clock in microseconds. The validity of the loan counts from here.
  std::int64_t stamp_us = 0;
  /// Session to which the counters belong, and the incarnation of its lender; 0 if there is none.
  std::uint64_t session = 0;
  std::uint64_t lender_incarnation = 0;
  /// Newest generation of the coordinator that the borrower follows.
  std::uint64_t generation = 0;
  /// Newest generation in which the borrower was the coordinator and lent tokens; 0 if there is
  /// none. The borrower no longer lends in that generation.
  std::uint64_t ended_generation = 0;
  std::vector<LoanLine> lines;

  MSGPACK_DEFINE_ARRAY(borrower, incarnation, stamp_us, session, lender_incarnation, generation,
                       ended_generation, lines)
};

/// State of one account as reported by a lender.
struct GrantLine {
  AccountHash account = 0;
  /// Tokens lent in this session so far.
  std::uint32_t granted = 0;
  /// Milliseconds after which the borrower should retry; 0 if waiting requests will soon get a
  /// token.
  std::uint32_t retry_after_ms = 0;

  MSGPACK_DEFINE_ARRAY(account, granted, retry_after_ms)
};

/// Lends tokens and extends the validity of all loans of the session.
struct LoanGrant {
  /// Address and incarnation of the lender.
  std::string lender;
  std::uint64_t incarnation = 0;
  std::uint64_t borrower_incarnation = 0;
  /// Sessions of a lender are numbered in ascending order. 0 means that it cannot lend now.
  std::uint64_t session = 0;
  /// Timestamp of the borrower's latest request, and the validity of the session's loans counted
  /// from that time.
  std::int64_t stamp_us = 0;
  std::uint32_t valid_us = 0;
  /// Whether the lender works with a reduced cap after a take-over. Used tokens should then be
  /// reported soon, so that they can be lent again.
  bool cap_reduced = false;
  std::vector<GrantLine> lines;

  MSGPACK_DEFINE_ARRAY(lender, incarnation, borrower_incarnation, session, stamp_us, valid_us,
                       cap_reduced, lines)
};

/// A message and the address of the receiving instance.
struct LoanMessage {
  std::string to;
  std::variant<LoanRequest, LoanGrant> body;
};

}  // namespace dogwoodport::fleet
