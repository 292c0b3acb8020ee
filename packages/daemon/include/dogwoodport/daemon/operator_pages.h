#pragma once

/// @file
/// Pages of the operators' address.

#include "dogwoodport/core/router.h"
#include "dogwoodport/daemon/metrics.h"
#include "dogwoodport/daemon/settings.h"
#include "dogwoodport/mesh/mesh.h"

namespace dogwoodport {

/// What the pages show besides the router's state.
struct PageContext {
  const Settings& settings;
  EntryCounters entry;
  MeshCounters mesh;
  TargetClientCounters targets;
  std::size_t running_forwards = 0;
};

/// Answers one operator's request. Pages other than live, ready and metrics need the operator's
/// secret. Read-only.
Reply ServePage(const EntryRequest& in, Router& router, TimePoint now, const PageContext& context,
                const Metrics& metrics);

/// Returns whether `authorization` is `Bearer <secret>` with the secret of the settings. The
/// comparison takes the same time wherever the hashes differ.
bool IsOperator(const Settings& settings, const std::string* authorization);

}  // namespace dogwoodport
