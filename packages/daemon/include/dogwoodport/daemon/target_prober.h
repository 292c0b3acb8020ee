#pragma once

/// @file
/// Client calls of the target protocol: health, load and grants.

#include <cstdint>
#include <optional>

#include "dogwoodport/core/router.h"
#include "dogwoodport/gateway/target_client.h"

namespace dogwoodport {

/// Result of a probe: health, and the load report if the target sent one.
struct ProbeResponse {
  HealthReport health;
  bool has_load = false;
  std::uint32_t in_flight = 0;
  Duration load_age{0};
};

/// Reads `/-/health` on a new connection, then `/-/load`. Blocks for at most 500 ms per request. A
/// target with a malformed health response counts as unreachable.
ProbeResponse Probe(TargetClient& client, const ProbeTarget& target);

/// Sends `PUT /-/grants`. Returns nothing if no valid response arrives within 500 ms.
std::optional<GrantReply> PutGrants(TargetClient& client, const SendGrants& grants);

}  // namespace dogwoodport
