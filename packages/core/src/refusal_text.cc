#include "dogwoodport/core/detail/refusal_text.h"

namespace dogwoodport::detail {

RefusalText TextOf(RouteFault fault) {
  switch (fault) {
    case RouteFault::kMalformedPath:
      return {400, "malformed_path", "the path is malformed"};
    case RouteFault::kUnknownRoute:
      return {404, "unknown_route", "no route for this path"};
    case RouteFault::kMethodNotAllowed:
      return {405, "method_not_allowed", "the route does not take this method"};
    case RouteFault::kKeyMissing:
      break;
  }
  return {400, "key_missing", "the request does not name a key"};
}

RefusalText TextOf(SecretFailure failure) {
  switch (failure) {
    case SecretFailure::kMissing:
      return {401, "secret_missing", "the route needs a secret"};
    case SecretFailure::kMalformed:
      return {401, "secret_malformed", "the secret is malformed"};
    case SecretFailure::kStale:
      return {503, "secrets_stale", "secrets can't be checked at the moment"};
    case SecretFailure::kUnknown:
      break;
  }
  return {401, "secret_unknown", "the secret is unknown"};
}

RefusalText TextOf(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kUnknownService:
    case RefusalReason::kUnknownTarget:
    case RefusalReason::kNoTarget:
      return {503, "no_target", "no target of the service can be used"};
    case RefusalReason::kWithdrawn:
      return {503, "withdrawn", "the data centre is withdrawn"};
    case RefusalReason::kNoCapacity:
      return {503, "no_capacity", "all targets of the service are busy"};
    case RefusalReason::kDeadline:
      break;
  }
  return {504, "deadline", "the deadline passed before a target was free"};
}

RefusalText TextOf(OrderRefusal reason) {
  switch (reason) {
    case OrderRefusal::kConflict:
      return {409, "idempotency_conflict", "the idempotency key was used with another request"};
    case OrderRefusal::kNotFresh:
      return {503, "not_fresh", "earlier orders are unknown; send Dogwood-First-Sent"};
    case OrderRefusal::kDeadline:
      return {504, "deadline", "the deadline passed before the order was recorded"};
    case OrderRefusal::kTableFull:
      return {503, "order_table_full", "no memory for further orders"};
    default:
      return {503, "order_not_taken", "the order can't be taken at the moment"};
  }
}

}  // namespace dogwoodport::detail
