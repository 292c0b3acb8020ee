#pragma once

/// @file
/// Matches requests to routes and extracts their keys.

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "dogwoodport/core/config.h"
#include "dogwoodport/core/request.h"

namespace dogwoodport {

/// Reason why a request has no route or no key.
enum class RouteFault { kMalformedPath, kUnknownRoute, kMethodNotAllowed, kKeyMissing };

/// Route and key of a request.
struct RouteMatch {
  const RouteConfig* route = nullptr;
  const ServiceConfig* service = nullptr;
  /// Decoded key; empty if the route has no key.
  std::string key;
};

/// Returns the route with the longest matching path prefix that allows the method. A prefix matches
/// only whole path segments. The result refers to `config`, which must outlive it. Complexity:
/// linear in the routes.
///
/// @code
/// const auto match = MatchRoute(config, request);
/// @endcode
std::variant<RouteMatch, RouteFault> MatchRoute(const Config& config, const Request& request);

/// Decodes percent-encoded bytes. Returns nothing if the encoding is malformed.
/// Complexity: linear.
std::optional<std::string> DecodePercent(std::string_view text);

/// Returns the decoded value of a query parameter, or nothing if it is absent or malformed.
/// Complexity: linear.
std::optional<std::string> QueryValue(std::string_view uri, std::string_view parameter);

}  // namespace dogwoodport
