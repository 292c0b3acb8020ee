#pragma once

/// @file
/// Selects a target among those of a service in the data centre.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <variant>

#include "dogwoodport/core/target_table.h"

namespace dogwoodport {

/// Default policy: lowest expected response time by this instance's own measurements. Load reports
/// break ties.
struct EvidencePolicy {};

/// Baseline policy for comparison: round robin.
struct RoundRobin {
  std::size_t next = 0;
};

/// Baseline policy for comparison: fewest requests of this instance in flight.
struct LeastInFlight {
  std::size_t next = 0;
};

using SelectionPolicy = std::variant<EvidencePolicy, RoundRobin, LeastInFlight>;

/// Parameters of a selection.
struct SelectionQuery {
  TimePoint now;
  /// Targets that the request has already been sent to.
  std::span<const TargetId> excluded;
  /// Whether slow and ejected targets may be selected because no other target is available.
  bool allow_slow = false;
};

/// Returns the number of slots of `row` that this instance may use now. Complexity: constant
/// without loans.
std::uint32_t FreeSlots(const TargetRow& row, const SlotLedger& ledger, TimePoint now) noexcept;

/// Returns the expected response time in microseconds: the larger of the measured latency and the
/// age of the oldest attempt, because a slowdown shows first in requests without a response.
double ExpectedLatency(const TargetRow& row, const ServiceRow& service, TimePoint now) noexcept;

/// Returns the index of the selected target, or nothing if no usable target has a free slot.
/// Complexity: linear in the targets of the service; allocates nothing.
std::optional<std::size_t> SelectTarget(SelectionPolicy& policy, const SelectionQuery& query,
                                        const TargetTable& table, const ServiceRow& service,
                                        const SlotLedger& ledger);

/// Records a load report and checks its plausibility. A report is distrusted if it shows fewer
/// requests than this instance alone has had in flight since before the measurement, or if it shows
/// an idle target whose latency is high. Complexity: linear in the attempts on the target.
void ApplyLoadReport(TargetRow& row, const ServiceRow& service, TimePoint now,
                     std::uint32_t in_flight, Duration age);

}  // namespace dogwoodport
