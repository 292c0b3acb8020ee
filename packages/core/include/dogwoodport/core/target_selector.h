#pragma once

/// @file
/// Choice of a target among those of a service in the data centre.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <variant>

#include "dogwoodport/core/target_table.h"

namespace dogwoodport {

/// Expected time to an answer by own evidence; load reports break ties. The default.
struct EvidencePolicy {};

/// Baseline: targets in turn.
struct RoundRobin {
  std::size_t next = 0;
};

/// Baseline: fewest requests of this instance in flight.
struct LeastInFlight {
  std::size_t next = 0;
};

using SelectionPolicy = std::variant<EvidencePolicy, RoundRobin, LeastInFlight>;

/// What a selection looks at besides the tables.
struct SelectionQuery {
  TimePoint now;
  /// Targets that the request was already sent to.
  std::span<const TargetId> excluded;
  /// Whether slowed and ejected targets may be chosen because nothing else is left.
  bool allow_slow = false;
};

/// Returns how many slots of `row` this instance may take now. Complexity: constant without loans.
std::uint32_t FreeSlots(const TargetRow& row, const SlotLedger& ledger, TimePoint now) noexcept;

/// Returns the expected time to an answer in microseconds: the measured latency, or the age of the
/// oldest attempt where that is larger, since a slowed target shows in unanswered requests first.
double ExpectedLatency(const TargetRow& row, const ServiceRow& service, TimePoint now) noexcept;

/// Returns the index of the target to use, or nothing when none has a free slot.
/// Complexity: linear in the targets of the service; allocates nothing.
std::optional<std::size_t> SelectTarget(SelectionPolicy& policy, const SelectionQuery& query,
                                        const TargetTable& table, const ServiceRow& service,
                                        const SlotLedger& ledger);

/// Records a load report and decides whether to trust it: a report that shows fewer requests than
/// this instance alone has had in flight since before it was measured is wrong, as is an idle one
/// of a target whose latency is high. Complexity: linear in the attempts on the target.
void ApplyLoadReport(TargetRow& row, const ServiceRow& service, TimePoint now,
                     std::uint32_t in_flight, Duration age);

}  // namespace dogwoodport
