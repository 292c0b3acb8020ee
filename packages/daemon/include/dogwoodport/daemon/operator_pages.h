#pragma once

/// @file
/// HTTP pages for operators, served on a separate address.

#include "dogwoodport/core/router.h"
#include "dogwoodport/daemon/metrics.h"
#include "dogwoodport/daemon/settings.h"
#include "dogwoodport/mesh/mesh.h"

namespace dogwoodport {

/// Data shown on the pages in addition to the router state.
struct PageContext {
  const Settings& settings;
  EntryCounters entry;
  MeshCounters mesh;
  TargetClientCounters targets;
  std::size_t running_forwards = 0;
};

/// Serves one request of an operator. All pages are read-only. Pages other than live, ready and
/// metrics require the operator secret.
Reply ServePage(const EntryRequest& in, Router& router, TimePoint now, const PageContext& context,
                const Metrics& metrics);

/// Returns whether `authorization` is `Bearer <secret>` with the operator secret of the settings.
/// The hashes are compared in constant time.
bool IsOperator(const Settings& settings, const std::string* authorization);

}  // namespace dogwoodport
