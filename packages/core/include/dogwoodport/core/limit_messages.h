#pragma once

/// @file
/// Messages of the rate limits between instances.

#include <cstdint>
#include <vector>

#include "dogwoodport/core/detail/type_list.h"
#include "dogwoodport/core/types.h"

namespace dogwoodport {

/// Tokens of one account in a request or grant.
struct TokenAmount {
  AccountId account;
  /// Thousandths of a token. Fractions are lent too, since a share may be less than one token.
  std::uint32_t millitokens = 0;
  /// In a grant: validity of the tokens in microseconds, counted from the time of the request.
  std::uint32_t valid_for_us = 0;
  /// In a grant: tokens that the lender can still lend. The borrower uses this to choose its next
  /// lender.
  std::uint32_t remaining_millitokens = 0;

  MSGPACK_DEFINE_ARRAY(account, millitokens, valid_for_us, remaining_millitokens)
};

/// Requests tokens of one or more accounts from another instance.
struct LoanRequest {
  /// Incarnation of the borrower, so that a grant to an earlier incarnation is not accepted by a
  /// later one.
  Incarnation incarnation;
  std::uint32_t sequence = 0;
  std::vector<TokenAmount> wanted;

  MSGPACK_DEFINE_ARRAY(incarnation, sequence, wanted)
};

/// Response to the `LoanRequest` with the same sequence. Amounts may be 0.
struct LoanGrant {
  Incarnation incarnation;
  std::uint32_t sequence = 0;
  std::vector<TokenAmount> lent;

  MSGPACK_DEFINE_ARRAY(incarnation, sequence, lent)
};

/// All messages of the rate limits, in the order of their type index.
using LimitMessages = detail::TypeList<LoanRequest, LoanGrant>;

}  // namespace dogwoodport
