#pragma once

/// @file
/// Finds the route of a request and the key that it names.

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "dogwoodport/core/config.h"
#include "dogwoodport/core/request.h"

namespace dogwoodport {

/// Why a request has no route.
enum class RouteFault { kMalformedPath, kUnknownRoute, kMethodNotAllowed, kKeyMissing };

/// The route of a request.
struct RouteMatch {
  const RouteConfig* route = nullptr;
  const ServiceConfig* service = nullptr;
  /// Decoded key; empty when the route has none.
  std::string key;
};

/// Returns the route with the longest matching path prefix that takes the method. A prefix matches
/// whole path segments only. Complexity: linear in the routes. `config` must outlive the result.
///
/// @code
/// const auto match = MatchRoute(config, request);
/// @endcode
std::variant<RouteMatch, RouteFault> MatchRoute(const Config& config, const Request& request);

/// Returns `text` with percent-encoded bytes decoded, or nothing when an encoding is malformed.
/// Complexity: linear.
std::optional<std::string> DecodePercent(std::string_view text);

/// Returns the decoded value of a query parameter, or nothing when it is absent or malformed.
/// Complexity: linear.
std::optional<std::string> QueryValue(std::string_view uri, std::string_view parameter);

}  // namespace dogwoodport
