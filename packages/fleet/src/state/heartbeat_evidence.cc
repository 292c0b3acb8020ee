#include "dogwoodport/fleet/state/heartbeat_evidence.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace dogwoodport::fleet {
namespace {

/// Part of `span` by which the heartbeats may be less frequent than expected.
constexpr int kSpanTolerance = 8;

}  // namespace

bool WritersReachedStore(const std::vector<StoreRecord>& records, Duration span,
                         Duration heartbeat_interval) {
  std::set<std::string_view> writers;
  Duration::rep heartbeats = 0;
  for (const StoreRecord& it : records) {
    if (!it.value) continue;
    writers.insert(it.key);
    ++heartbeats;
  }
  if (writers.empty()) return false;
  const Duration covered = heartbeat_interval * heartbeats / writers.size();
  // An entry expires only after several intervals without a heartbeat. A shorter outage is not
  // distinguished from delayed heartbeats.
  return span - covered <= heartbeat_interval / 2 + span / kSpanTolerance;
}

}  // namespace dogwoodport::fleet
