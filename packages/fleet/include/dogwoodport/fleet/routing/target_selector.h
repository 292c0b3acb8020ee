#pragma once

/// @file
/// Selects a target for a request to a service without keys.
///
/// Designed for many short requests to targets whose speeds differ and change. The target with the
/// shortest expected response time wins. Targets in the same data centre are preferred unless a
/// remote one is faster by more than the cost of the distance. A full target is never selected.

#include <cstdint>
#include <optional>
#include <vector>

#include "dogwoodport/core/types.h"

namespace dogwoodport::fleet {

/// Properties of a target that determine its score.
struct Candidate {
  /// Estimated number of requests at the target.
  double load = 0;
  std::uint32_t slots = 1;
  /// Expected duration of one request; zero if unknown.
  Duration latency{0};
  double failure_share = 0;
  double shed_share = 0;
  bool same_data_centre = true;
  bool has_idle_connection = true;
};

/// Weights of the selection. Costs are expressed as additional response time.
struct SelectorSettings {
  /// Cost of a request to another data centre: the round-trip time and the price of the traffic.
  Duration distance_cost{20'000};
  /// Cost of a new connection: a round trip, the work of the target and its price.
  Duration connection_cost{25'000};
  /// Number of requests beyond its slots that a target may receive. It queues them for a short
  /// time.
  double overcommit = 0;
};

/// Returns the index of the best candidate, or nothing if all are full. `typical_latency` is the
/// assumed duration of a request at a target without observations. `random` varies the choice
/// between instances, which would otherwise all select the same target. Complexity: linear.
std::optional<std::size_t> SelectTarget(const std::vector<Candidate>& candidates,
                                        Duration typical_latency, const SelectorSettings& settings,
                                        std::uint64_t random);

}  // namespace dogwoodport::fleet
