#pragma once

/// @file
/// The fleet configuration as typed tables. `ReadConfig` builds it from the published JSON
/// document.

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "dogwoodport/core/types.h"

namespace dogwoodport {

/// A data centre and its share of each client account's rate and burst.
struct DataCentreConfig {
  DataCentreId id;
  std::string name;
  /// Part of each account's rate that the data centre may use while it is isolated; all shares add
  /// up to 1.
  double rate_share = 0;
};

/// An isolated data centre keeps its keys.
struct HoldOnIsolation {};

/// An isolated data centre stops serving the service's keys when it has had no contact with the log
/// service for `bound`.
struct YieldOnIsolation {
  Duration bound{30'000'000};
};

using IsolationPolicy = std::variant<HoldOnIsolation, YieldOnIsolation>;

/// A service that a group of targets implements.
struct ServiceConfig {
  ServiceId id;
  std::string name;
  bool keyed = false;
  std::uint32_t shard_count = 1024;
  IsolationPolicy on_isolation = HoldOnIsolation{};
};

/// The key is the path segment with this index, counted from 0.
struct KeyInPath {
  std::uint32_t segment = 0;
};

/// The key is the value of this query parameter.
struct KeyInQuery {
  std::string parameter;
};

/// The key is the value of this header field.
struct KeyInHeader {
  std::string field;
};

using KeyLocation = std::variant<KeyInPath, KeyInQuery, KeyInHeader>;

/// Maps requests to a service.
struct RouteConfig {
  RouteId id;
  std::string name;
  std::string path_prefix;
  /// Methods that the route accepts; empty for all.
  std::vector<std::string> methods;
  ServiceId service;
  std::optional<KeyLocation> key;
  /// Whether requests may run more than once. If not, each runs at most once and requires an
  /// `Idempotency-Key`.
  bool repeatable = true;
  /// Whether requests are accepted without a secret.
  bool open_to_all = false;
  Duration default_deadline{5'000'000};
};

/// One target of a service.
struct TargetConfig {
  TargetId id;
  std::string name;
  ServiceId service;
  DataCentreId data_centre;
  std::string host;
  std::uint16_t port = 0;
  std::uint32_t slots = 4;
  std::uint32_t connections = 120;
  double weight = 1;
  /// Whether the target refuses requests whose epoch is older than its grant.
  bool checks_grants = false;
  bool honours_deadlines = false;
};

/// A salted hash of a caller's secret. The secret itself is never stored.
struct SecretConfig {
  std::string key_id;
  std::string salt_hex;
  /// SHA-256 of the salt followed by the secret, in hexadecimal.
  std::string hash_hex;
};

/// A client account with its effective limits: defaults and exceptions are already applied.
struct AccountConfig {
  AccountId id;
  std::string name;
  /// Requests per second over all instances.
  double rate = 0;
  /// Requests that may be admitted at once over all instances.
  double burst = 0;
  /// Weight in fair queueing.
  double weight = 1;
  std::vector<SecretConfig> secrets;
};

/// Overrides limits of one account, optionally until a given time.
struct ExceptionConfig {
  std::string account;
  std::optional<double> rate;
  std::optional<double> burst;
  std::optional<double> weight;
  std::string reason;
  /// Unix time in milliseconds at which the exception ends.
  std::optional<std::int64_t> ends_at_ms;
};

/// Limits of an account without an exception.
struct DefaultLimits {
  double rate = 100;
  double burst = 200;
  double weight = 1;
};

/// The complete configuration. `version` counts accepted changes.
struct Config {
  std::uint64_t version = 0;
  DefaultLimits defaults;
  std::vector<DataCentreConfig> data_centres;
  std::vector<ServiceConfig> services;
  std::vector<RouteConfig> routes;
  std::vector<AccountConfig> accounts;
  std::vector<TargetConfig> targets;
  std::vector<ExceptionConfig> exceptions;
};

}  // namespace dogwoodport
