#pragma once

/// @file
/// State shared by the data path: configuration, targets, key owners and budgets.

#include <map>
#include <set>
#include <string>
#include <unordered_map>

#include "dogwoodport/fleet/limits/account_tokens.h"
#include "dogwoodport/fleet/limits/cold_limiter.h"
#include "dogwoodport/fleet/limits/retry_budget.h"
#include "dogwoodport/fleet/limits/target_limits.h"
#include "dogwoodport/fleet/membership/target_directory.h"
#include "dogwoodport/fleet/ownership/key_load.h"
#include "dogwoodport/fleet/ownership/key_table.h"
#include "dogwoodport/fleet/requests/quarantine.h"
#include "dogwoodport/fleet/routing/target_health.h"
#include "dogwoodport/fleet/routing/target_selector.h"
#include "dogwoodport/fleet/state/routing_config.h"

namespace dogwoodport::fleet {

/// This instance's view of the fleet. Feed readers and peer exchange update it; the forwarder reads
/// it and adds its own observations.
struct FleetView {
  FleetView(RetryBound retry_bound, RateTolerance tolerance)
      : accounts(tolerance), retry_budget(retry_bound) {}

  std::string data_centre;
  /// Unique name of this instance.
  std::string instance;
  /// Number of known instances, including this one.
  std::size_t instance_count = 1;

  RoutingConfigPtr config;
  /// Latest time at which the configuration was confirmed to be at least as new as that in the
  /// store.
  TimePoint config_verified_at{};
  std::set<std::string> withdrawn_data_centres;

  TargetDirectory directory;
  std::unordered_map<std::string, TargetHealth> health;

  KeyTable keys;
  KeyLoadMeter key_load;

  AccountTokens accounts;
  TargetLimits target_limits{accounts};
  RetryBudget retry_budget;
  ColdLimiter cold_limiter;
  Quarantine quarantine;

  /// Whether a target is cold, according to its heartbeats or to local observations.
  bool IsCold(const Target& target, TimePoint now) const;

  /// Whether new requests may be sent to a target, regardless of its load.
  bool Usable(const Target& target, TimePoint now) const;
};

}  // namespace dogwoodport::fleet
