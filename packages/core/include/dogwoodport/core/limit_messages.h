#pragma once

/// @file
/// Messages between instances of the limit subsystem.

#include <cstdint>
#include <vector>

#include "dogwoodport/core/detail/type_list.h"
#include "dogwoodport/core/types.h"

namespace dogwoodport {

/// Number of tokens of one account.
struct TokenAmount {
  AccountId account;
  /// Thousandths of a token; fractions are lent as well, since a share may be less than one
  /// request.
  std::uint32_t millitokens = 0;
  /// In a grant: how long the tokens stay valid, in microseconds from the moment of the request.
  std::uint32_t valid_for_us = 0;
  /// In a grant: what the lender could still lend; the borrower uses it to choose its next lender.
  std::uint32_t left_millitokens = 0;

  MSGPACK_DEFINE_ARRAY(account, millitokens, valid_for_us, left_millitokens)
};

/// Asks another instance for tokens of one or more accounts.
struct LoanRequest {
  /// Run of the borrower, so that a grant to an earlier run is not taken by a later one.
  Incarnation incarnation;
  std::uint32_t sequence = 0;
  std::vector<TokenAmount> wanted;

  MSGPACK_DEFINE_ARRAY(incarnation, sequence, wanted)
};

/// Lends tokens in answer to the request with the same sequence; amounts may be 0.
struct LoanGrant {
  Incarnation incarnation;
  std::uint32_t sequence = 0;
  std::vector<TokenAmount> lent;

  MSGPACK_DEFINE_ARRAY(incarnation, sequence, lent)
};

/// All messages of this subsystem, in the order of their type index.
using LimitMessages = detail::TypeList<LoanRequest, LoanGrant>;

}  // namespace dogwoodport
