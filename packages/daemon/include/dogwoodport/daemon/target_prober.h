#pragma once

/// @file
/// Reads health and load of targets and sends them grants, by the target protocol.

#include <cstdint>
#include <optional>

#include "dogwoodport/core/router.h"
#include "dogwoodport/gateway/target_client.h"

namespace dogwoodport {

/// Answer to a probe: health, and the load report if the target gave one.
struct ProbeResponse {
  HealthReport health;
  bool has_load = false;
  std::uint32_t in_flight = 0;
  Duration load_age{0};
};

/// Reads `/-/health` on a new connection, then `/-/load`. Blocks for at most 500 ms for each; a
/// malformed answer counts as unreachable.
ProbeResponse Probe(TargetClient& client, const ProbeTarget& target);

/// Sends `PUT /-/grants`. Returns nothing when the target did not answer within 500 ms.
std::optional<GrantReply> PutGrants(TargetClient& client, const SendGrants& grants);

}  // namespace dogwoodport
