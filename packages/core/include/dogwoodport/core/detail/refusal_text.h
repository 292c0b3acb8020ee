#pragma once

/// @file
/// Status, code and message of the refusals that the router generates.

#include <cstdint>

#include "dogwoodport/core/orders.h"
#include "dogwoodport/core/route_matcher.h"
#include "dogwoodport/core/routing.h"
#include "dogwoodport/core/secret_store.h"

namespace dogwoodport::detail {

/// Response to a request that the router refused and that no target has run.
struct RefusalText {
  std::uint16_t status;
  /// Stable error code in the JSON body.
  const char* code;
  const char* message;
};

/// Returns the response for a refusal reason. Complexity: constant.
RefusalText TextOf(RouteFault fault);
RefusalText TextOf(SecretFailure failure);
RefusalText TextOf(RefusalReason reason);
RefusalText TextOf(OrderRefusal reason);

}  // namespace dogwoodport::detail
