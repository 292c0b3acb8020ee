#pragma once

/// @file
/// Everything that the data path knows: configuration, targets, owners of keys, shared budgets.

#include <map>
#include <set>
#include <string>
#include <unordered_map>

#include "dogwoodport/fleet/limits/account_tokens.h"
#include "dogwoodport/fleet/limits/cold_limiter.h"
#include "dogwoodport/fleet/limits/retry_budget.h"
#include "dogwoodport/fleet/membership/target_directory.h"
#include "dogwoodport/fleet/ownership/key_load.h"
#include "dogwoodport/fleet/ownership/key_table.h"
#include "dogwoodport/fleet/requests/quarantine.h"
#include "dogwoodport/fleet/routing/target_health.h"
#include "dogwoodport/fleet/routing/target_selector.h"
#include "dogwoodport/fleet/state/routing_config.h"

namespace dogwoodport::fleet {

/// Beliefs of this instance. Readers of feeds and peers write it, the forwarder reads it and adds
/// what it observes.
struct FleetView {
  FleetView(RetryBound retry_bound, AccountTolerance tolerance)
      : accounts(tolerance), retry_budget(retry_bound) {}

  std::string data_centre;
  /// Name of this instance among all.
  std::string instance;
  /// Known instances, this one included.
  std::size_t instance_count = 1;

  RoutingConfigPtr config;
  /// The configuration is at least as new as the store's was at this time.
  TimePoint config_verified_at{};
  std::set<std::string> withdrawn_data_centres;

  TargetDirectory directory;
  std::unordered_map<std::string, TargetHealth> health;

  KeyTable keys;
  KeyLoadMeter key_load;

  AccountTokens accounts;
  RetryBudget retry_budget;
  ColdLimiter cold_limiter;
  Quarantine quarantine;

  /// Whether a target is cold, by its heartbeats or by what was seen of it.
  bool IsCold(const Target& target, TimePoint now) const;

  /// Whether new requests may be sent to a target, apart from its load.
  bool Usable(const Target& target, TimePoint now) const;
};

}  // namespace dogwoodport::fleet
