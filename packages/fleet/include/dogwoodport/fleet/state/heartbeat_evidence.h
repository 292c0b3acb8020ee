#pragma once

/// @file
/// Distinguishes outages of the store from failures that only one reader had.

#include <vector>

#include "dogwoodport/fleet/state/metadata_store.h"

namespace dogwoodport::fleet {

/// Whether the writers of a feed, each of which appends a heartbeat every `heartbeat_interval`,
/// reached the store during all of `span`. `records` are all records that were appended in it. The
/// entries of live writers cannot have expired then. Complexity: linear in the records.
bool WritersReachedStore(const std::vector<StoreRecord>& records, Duration span,
                         Duration heartbeat_interval);

}  // namespace dogwoodport::fleet
