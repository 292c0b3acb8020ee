#include "dogwoodport/core/target_selector.h"

#include <algorithm>

namespace dogwoodport {
namespace {

// Relative difference of scores below which they are tied: the noise of an average of about ten
// latencies.
constexpr double kTieBand = 0.10;
// Time for which load reports are ignored after one that contradicted local measurements.
constexpr Duration kDistrustPeriod{3'000'000};
// Older load reports say nothing about the current load.
constexpr Duration kMaxReportAge{5'000'000};
// A latency above this multiple of the service's baseline contradicts a report of an idle target.
constexpr double kContradictionFactor = 3.0;
// Factor on the score of a target at risk: it is selected only if the scores of all others are
// worse by this factor.
constexpr double kRiskPenalty = 3.0;
constexpr double kErrorPenalty = 10.0;

bool Excluded(const SelectionQuery& query, const TargetRow& row) noexcept {
  return std::find(query.excluded.begin(), query.excluded.end(), row.config.id) !=
         query.excluded.end();
}

bool Usable(const SelectionQuery& query, const TargetRow& row) noexcept {
  if (!AcceptsNewRequests(row, query.now) || Excluded(query, row)) return false;
  return query.allow_slow || row.slow < SlowState::kSlow;
}

double Score(const TargetRow& row, const ServiceRow& service, std::uint32_t free,
             TimePoint now) noexcept {
  const double load =
      static_cast<double>(row.attempts.size()) / static_cast<double>(row.attempts.size() + free);
  double score = ExpectedLatency(row, service, now) * (1.0 + load) / row.config.weight;
  if (row.slow == SlowState::kAtRisk) score *= kRiskPenalty;
  return score * (1.0 + kErrorPenalty * row.error_rate);
}

double ReportedLoad(const TargetRow& row, TimePoint now) noexcept {
  const LoadReading& report = row.report;
  const bool usable =
      report.known && now >= report.distrusted_until && now < report.measured + kMaxReportAge;
  const std::uint32_t n =
      usable ? report.in_flight
             : static_cast<std::uint32_t>(row.attempts.size()) + row.peers_in_flight;
  return static_cast<double>(n) / row.config.slots;
}

/// Visitor that selects a target according to a `SelectionPolicy`.
struct Selector {
  const SelectionQuery& query;
  const TargetTable& table;
  const ServiceRow& service;
  const SlotLedger& ledger;

  std::optional<std::size_t> operator()(EvidencePolicy& /*policy*/) const {
    std::optional<std::size_t> best;
    double best_score = 0;
    for (const std::size_t index : service.targets) {
      const TargetRow& row = table.rows()[index];
      if (!Usable(query, row)) continue;
      const std::uint32_t free = FreeSlots(row, ledger, query.now);
      if (free == 0) continue;
      const double score = Score(row, service, free, query.now);
      if (best && !Better(row, score, table.rows()[*best], best_score)) continue;
      best = index;
      best_score = score;
    }
    return best;
  }

  std::optional<std::size_t> operator()(RoundRobin& policy) const {
    const std::size_t n = service.targets.size();
    for (std::size_t i = 0; i < n; ++i) {
      const std::size_t index = service.targets[policy.next++ % n];
      const TargetRow& row = table.rows()[index];
      if (Usable(query, row) && FreeSlots(row, ledger, query.now) > 0) return index;
    }
    return std::nullopt;
  }

  std::optional<std::size_t> operator()(LeastInFlight& policy) const {
    std::optional<std::size_t> best;
    const std::size_t n = service.targets.size();
    ++policy.next;
    for (std::size_t i = 0; i < n; ++i) {
      const std::size_t index = service.targets[(policy.next + i) % n];
      const TargetRow& row = table.rows()[index];
      if (!Usable(query, row) || FreeSlots(row, ledger, query.now) == 0) continue;
      if (!best || row.attempts.size() < table.rows()[*best].attempts.size()) best = index;
    }
    return best;
  }

 private:
  bool Better(const TargetRow& row, double score, const TargetRow& best,
              double best_score) const noexcept {
    if (score < best_score * (1.0 - kTieBand)) return true;
    if (score > best_score * (1.0 + kTieBand)) return false;
    return ReportedLoad(row, query.now) < ReportedLoad(best, query.now);
  }
};

}  // namespace

std::uint32_t FreeSlots(const TargetRow& row, const SlotLedger& ledger, TimePoint now) noexcept {
  return ledger.Free(now, row.slot_row, row.ramp.Limit(row.config.slots));
}

double ExpectedLatency(const TargetRow& row, const ServiceRow& service, TimePoint now) noexcept {
  double latency = row.latency_us > 0 ? row.latency_us : std::max(service.baseline_us, 1.0);
  if (!row.attempts.empty()) {
    const auto age = static_cast<double>((now - row.attempts.front().started).count());
    latency = std::max(latency, age);
  }
  return latency;
}

std::optional<std::size_t> SelectTarget(SelectionPolicy& policy, const SelectionQuery& query,
                                        const TargetTable& table, const ServiceRow& service,
                                        const SlotLedger& ledger) {
  if (service.targets.empty()) return std::nullopt;
  return std::visit(Selector{query, table, service, ledger}, policy);
}

void ApplyLoadReport(TargetRow& row, const ServiceRow& service, TimePoint now,
                     std::uint32_t in_flight, Duration age) {
  const TimePoint measured = now - age;
  std::uint32_t min_count = 0;
  for (const Attempt& attempt : row.attempts) min_count += attempt.started <= measured ? 1 : 0;
  const bool idle = in_flight * 2 < row.config.slots;
  const bool slow = service.baseline_us > 0 &&
                    ExpectedLatency(row, service, now) > kContradictionFactor * service.baseline_us;
  row.report.known = true;
  row.report.in_flight = in_flight;
  row.report.measured = measured;
  if (in_flight < min_count || (idle && slow)) row.report.distrusted_until = now + kDistrustPeriod;
}

}  // namespace dogwoodport
