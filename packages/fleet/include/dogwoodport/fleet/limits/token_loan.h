#pragma once

/// @file
/// Messages by which instances lend each other the tokens of client accounts.
///
/// All counters are totals of a session, so that a message that is lost, repeated or overtaken by a
/// later one changes nothing: the receiver keeps the largest value that it has seen.

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <variant>
#include <vector>

namespace dogwoodport::fleet {

/// Hash of an account's name.
using AccountHash = std::uint64_t;

/// What a borrower says of one account.
struct LoanLine {
  AccountHash account = 0;
  /// Tokens that the borrower, or those that it lent to, have used for requests.
  std::uint32_t used = 0;
  /// Tokens that it gives back unused.
  std::uint32_t returned = 0;
  /// Tokens that it has lent to others and that are out.
  std::uint32_t lent = 0;
  /// Requests that wait for a token, here or at those that it lends to.
  std::uint32_t needed = 0;
  /// Tokens that it would like to hold besides.
  std::uint32_t prefetch = 0;
  /// Requests per second that arrive, refused ones included.
  float demand = 0;

  MSGPACK_DEFINE_ARRAY(account, used, returned, lent, needed, prefetch, demand)
};

/// Asks a lender for tokens, and settles earlier loans.
struct LoanRequest {
  /// Address and incarnation of the borrower.
  std::string borrower;
  std::uint64_t incarnation = 0;
  /// Borrower's clock in microseconds; the validity of the loan counts from here.
  std::int64_t stamp_us = 0;
  /// Session that the counters belong to, and the incarnation of its lender; 0 if there is none.
  std::uint64_t session = 0;
  std::uint64_t lender_incarnation = 0;
  /// Newest generation of the coordinator that the borrower follows.
  std::uint64_t generation = 0;
  /// Newest generation in which the borrower was the coordinator and lent tokens; it does so no
  /// more. 0 if there was none.
  std::uint64_t ended_generation = 0;
  std::vector<LoanLine> lines;

  MSGPACK_DEFINE_ARRAY(borrower, incarnation, stamp_us, session, lender_incarnation, generation,
                       ended_generation, lines)
};

/// What a lender says of one account.
struct GrantLine {
  AccountHash account = 0;
  /// Tokens lent in this session so far.
  std::uint32_t granted = 0;
  /// Milliseconds until it is of use to ask again; 0 if waiting requests will get a token soon.
  std::uint32_t retry_after_ms = 0;

  MSGPACK_DEFINE_ARRAY(account, granted, retry_after_ms)
};

/// Lends tokens, and extends the validity of all that the session has lent.
struct LoanGrant {
  /// Address and incarnation of the lender.
  std::string lender;
  std::uint64_t incarnation = 0;
  std::uint64_t borrower_incarnation = 0;
  /// Sessions of a lender are numbered in ascending order. 0: it cannot lend at present.
  std::uint64_t session = 0;
  /// The borrower's stamp in its latest request, and the time from there on for which the tokens of
  /// the session are valid.
  std::int64_t stamp_us = 0;
  std::uint32_t valid_us = 0;
  /// A new coordinator may lend little at a time, so that used tokens should be settled soon.
  bool cap_reduced = false;
  std::vector<GrantLine> lines;

  MSGPACK_DEFINE_ARRAY(lender, incarnation, borrower_incarnation, session, stamp_us, valid_us,
                       cap_reduced, lines)
};

/// A message and the address of the instance that it is for.
struct LoanMessage {
  std::string to;
  std::variant<LoanRequest, LoanGrant> body;
};

}  // namespace dogwoodport::fleet
