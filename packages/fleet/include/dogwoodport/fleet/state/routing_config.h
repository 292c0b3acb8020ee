#pragma once

/// @file
/// Routing configuration as used by the data path.

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "dogwoodport/core/types.h"

namespace dogwoodport::fleet {

/// Whether a request may be retried after it may have run.
enum class RequestKind {
  kIdempotent,     ///< May run more than once.
  kNonIdempotent,  ///< Runs at most once.
};

/// Share of a route's traffic that goes to one service.
struct Split {
  std::string service;
  double weight = 1;
};

struct Route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string path_prefix;
  RequestKind kind = RequestKind::kNonIdempotent;
  /// Maximum time until the caller receives a response.
  Duration timeout{0};
  /// Time within which a response should reach the caller.
  Duration latency_objective{0};
  /// 0 is the highest priority.
  int priority = 0;
  /// Maximum number of targets to which one request may be sent.
  int max_attempts = 1;
  /// Requests need no secret.
  bool is_public = false;
  std::vector<Split> splits;
};

struct Service {
  std::string name;
  std::string health_path;
  /// Maximum number of connections that a target accepts from all instances together; 0 if not
  /// specified.
  std::uint32_t max_connections = 0;
  /// Time for which a target is cold after its start.
  Duration cold_start{0};
  /// Requests per second that a cold target can serve.
  double cold_rate = 0;
  /// Whether each key has a single owner among the targets.
  bool keyed = false;
};

/// A client account.
struct Account {
  std::string name;
  std::vector<std::string> secrets;
  /// Overrides the priority of the route, if set.
  std::optional<int> priority;
  /// Requests per second over all instances; 0 means unlimited.
  double rate = 0;
  double burst = 0;
};

/// Limits on connections and requests of callers.
struct CallerLimits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = 64ULL * 1024 * 1024;
  Duration header_timeout{3'000'000};
  Duration idle_timeout{15'000'000};
};

/// One version of the configuration with its lookup tables. Immutable.
class RoutingConfig {
 public:
  RoutingConfig() = default;
  /// Without `accounts`, requests need no secret. With an empty list, no secret is valid.
  RoutingConfig(std::uint64_t config_version, std::vector<Route> routes,
                std::vector<Service> services, std::optional<std::vector<Account>> accounts,
                CallerLimits limits);

  std::uint64_t version() const noexcept { return version_; }
  const CallerLimits& limits() const noexcept { return limits_; }
  const std::vector<Account>& accounts() const noexcept { return accounts_; }
  const std::map<std::string, Service>& services() const noexcept { return services_; }
  const std::vector<Route>& routes() const noexcept { return routes_; }

  /// Returns the route of `host` with the longest path prefix that matches `path`, or nullptr.
  /// Complexity: linear in the routes of the host.
  const Route* FindRoute(std::string_view host, std::string_view path) const;

  /// Returns the service called `name`, or nullptr. Complexity: logarithmic.
  const Service* FindService(const std::string& name) const;

  /// Returns the account that holds `secret`, or nullptr. Complexity: constant on average.
  const Account* FindAccount(const std::string& secret) const;

  /// Whether requests need the secret of an account, unless their route is public.
  bool requires_secrets() const noexcept { return requires_secrets_; }

 private:
  std::uint64_t version_ = 0;
  std::vector<Route> routes_;
  std::map<std::string, Service> services_;
  std::vector<Account> accounts_;
  bool requires_secrets_ = false;
  CallerLimits limits_;
  std::unordered_map<std::string, std::vector<std::size_t>> routes_by_host_;
  std::unordered_map<std::string, std::size_t> accounts_by_secret_;
};

using RoutingConfigPtr = std::shared_ptr<const RoutingConfig>;

}  // namespace dogwoodport::fleet
