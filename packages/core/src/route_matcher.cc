#include "dogwoodport/core/route_matcher.h"

#include <algorithm>

namespace dogwoodport {
namespace {

int HexDigit(char c) noexcept {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

std::string_view PathOf(std::string_view uri) { return uri.substr(0, uri.find_first_of("?#")); }

std::string_view QueryOf(std::string_view uri) {
  const std::size_t at = uri.find('?');
  if (at == std::string_view::npos) return {};
  const std::string_view query = uri.substr(at + 1);
  return query.substr(0, query.find('#'));
}

/// Calls `callback` with each part of `text` between separators until it returns false.
template <typename Callback>
void Split(std::string_view text, char separator, Callback callback) {
  for (;;) {
    const std::size_t at = text.find(separator);
    if (!callback(text.substr(0, at)) || at == std::string_view::npos) return;
    text.remove_prefix(at + 1);
  }
}

/// Returns whether the path has dot segments or malformed encodings. A target may resolve dot
/// segments, percent-encoded or not, which would lead to a path outside the route's prefix.
bool HasDotSegment(std::string_view path) {
  bool found = false;
  Split(path, '/', [&found](std::string_view segment) {
    const std::optional<std::string> decoded = DecodePercent(segment);
    found = !decoded || *decoded == "." || *decoded == "..";
    return !found;
  });
  return found;
}

bool PrefixMatches(std::string_view prefix, std::string_view path) {
  if (path.substr(0, prefix.size()) != prefix) return false;
  if (prefix.empty() || prefix.back() == '/') return true;
  return path.size() == prefix.size() || path[prefix.size()] == '/';
}

bool AllowsMethod(const RouteConfig& route, const std::string& method) {
  return route.methods.empty() ||
         std::find(route.methods.begin(), route.methods.end(), method) != route.methods.end();
}

std::optional<std::string> FindKey(const KeyInPath& location, const Request& request) {
  std::optional<std::string> key;
  std::uint32_t index = 0;
  // Segment 0 follows the leading separator.
  Split(PathOf(request.uri).substr(1), '/', [&](std::string_view segment) {
    if (index++ != location.segment) return true;
    key = DecodePercent(segment);
    return false;
  });
  return key;
}

std::optional<std::string> FindKey(const KeyInQuery& location, const Request& request) {
  return QueryValue(request.uri, location.parameter);
}

std::optional<std::string> FindKey(const KeyInHeader& location, const Request& request) {
  const std::string* value = FindField(request.fields, location.field);
  if (value == nullptr) return std::nullopt;
  return *value;
}

}  // namespace

std::optional<std::string> DecodePercent(std::string_view text) {
  std::string out;
  out.reserve(text.size());
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      out.push_back(text[i]);
      continue;
    }
    if (i + 2 >= text.size()) return std::nullopt;
    const int high = HexDigit(text[i + 1]);
    const int low = HexDigit(text[i + 2]);
    if (high < 0 || low < 0) return std::nullopt;
    out.push_back(static_cast<char>(high * 16 + low));
    i += 2;
  }
  return out;
}

std::optional<std::string> QueryValue(std::string_view uri, std::string_view parameter) {
  std::optional<std::string> value;
  Split(QueryOf(uri), '&', [&](std::string_view item) {
    const std::size_t at = item.find('=');
    if (at == std::string_view::npos || item.substr(0, at) != parameter) return true;
    value = DecodePercent(item.substr(at + 1));
    return false;
  });
  return value;
}

std::variant<RouteMatch, RouteFault> MatchRoute(const Config& config, const Request& request) {
  const std::string_view path = PathOf(request.uri);
  if (path.empty() || path.front() != '/' || HasDotSegment(path)) {
    return RouteFault::kMalformedPath;
  }
  const RouteConfig* best = nullptr;
  bool prefix_matched = false;
  for (const RouteConfig& route : config.routes) {
    if (!PrefixMatches(route.path_prefix, path)) continue;
    prefix_matched = true;
    if (!AllowsMethod(route, request.method)) continue;
    if (best == nullptr || route.path_prefix.size() > best->path_prefix.size()) best = &route;
  }
  if (best == nullptr) {
    return prefix_matched ? RouteFault::kMethodNotAllowed : RouteFault::kUnknownRoute;
  }
  const auto service = std::find_if(config.services.begin(), config.services.end(),
                                    [best](const auto& s) { return s.id == best->service; });
  if (service == config.services.end()) return RouteFault::kUnknownRoute;
  RouteMatch match{best, &*service, {}};
  if (best->key) {
    std::optional<std::string> key = std::visit(
        [&request](const auto& location) { return FindKey(location, request); }, *best->key);
    if (!key || key->empty()) return RouteFault::kKeyMissing;
    match.key = std::move(*key);
  }
  return match;
}

}  // namespace dogwoodport
