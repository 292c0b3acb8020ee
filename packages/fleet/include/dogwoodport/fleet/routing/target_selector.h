#pragma once

/// @file
/// Chooses the target of a request among those of a service without keys.
///
/// Answers the load of many short requests on targets of different and changing speed: the target
/// with the shortest expected time to an answer wins, near ones are preferred while they are no
/// slower than the distance costs, and a full target is never chosen.

#include <cstdint>
#include <optional>
#include <vector>

#include "dogwoodport/core/types.h"

namespace dogwoodport::fleet {

/// What the choice looks at.
struct Candidate {
  /// Requests that the target holds, by estimate.
  double load = 0;
  std::uint32_t slots = 1;
  /// Expected time of one request; zero if unknown.
  Duration latency{0};
  double failure_share = 0;
  double shed_share = 0;
  bool same_data_centre = true;
  bool has_idle_connection = true;
};

/// Weights of the choice.
struct SelectorSettings {
  /// Cost of a request that leaves the data centre: the round trip, and its price in bytes.
  Duration distance_cost{20'000};
  /// Cost of a new connection: a round trip, the work of the target, and its price.
  Duration connection_cost{25'000};
  /// Requests beyond its slots that a target is given; it queues them for a short time.
  double overcommit = 0;
};

/// Returns the index of the best candidate, or nothing when all are full. `typical_latency` is the
/// time of a request at a target of which nothing is known. `random` breaks ties between instances,
/// which would otherwise all choose the same target. Complexity: linear.
std::optional<std::size_t> SelectTarget(const std::vector<Candidate>& candidates,
                                        Duration typical_latency, const SelectorSettings& settings,
                                        std::uint64_t random);

}  // namespace dogwoodport::fleet
