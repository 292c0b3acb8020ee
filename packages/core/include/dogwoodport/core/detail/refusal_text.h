#pragma once

/// @file
/// Status, code and text of the refusals that the router makes itself.

#include <cstdint>

#include "dogwoodport/core/orders.h"
#include "dogwoodport/core/route_matcher.h"
#include "dogwoodport/core/routing.h"
#include "dogwoodport/core/secret_store.h"

namespace dogwoodport::detail {

/// How a refusal appears to the caller. The request did not run.
struct RefusalText {
  std::uint16_t status;
  /// Stable code of the refusal's JSON body.
  const char* code;
  const char* message;
};

/// Returns the text for a reason. Complexity: constant.
RefusalText TextOf(RouteFault fault);
RefusalText TextOf(SecretFailure failure);
RefusalText TextOf(RefusalReason reason);
RefusalText TextOf(OrderRefusal reason);

}  // namespace dogwoodport::detail
