#pragma once

/// @file
/// Tables of the targets of an instance's own data centre and of the attempts that run on them.

#include <boost/intrusive/list.hpp>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "dogwoodport/core/cold_start.h"
#include "dogwoodport/core/config.h"
#include "dogwoodport/core/slot_ledger.h"

namespace dogwoodport {

/// Number of an attempt, never used twice by one process.
struct AttemptId {
  std::uint64_t value = 0;

  friend auto operator<=>(const AttemptId&, const AttemptId&) = default;
};

/// State that a target's health endpoint reports.
enum class HealthState : std::uint8_t { kReady = 0, kCold = 1, kDraining = 2 };

/// Whether a target is slow compared with its service.
enum class SlowState : std::uint8_t {
  kNormal = 0,
  /// Its feed group slows down; it gets less load before it follows.
  kAtRisk = 1,
  kSlow = 2,
  /// Slow, and withdrawn from selection until probes are fast again.
  kEjected = 3,
};

/// One attempt of a request on a target.
struct Attempt : boost::intrusive::list_base_hook<> {
  AttemptId id;
  std::size_t target = 0;
  std::size_t route = 0;
  TimePoint started;
  TimePoint deadline;
  SlotHold hold;
  bool repeatable = false;
  bool is_hedge = false;
  /// The other attempt of a hedged request.
  AttemptId rival;
};

/// Load report of a target, used to break ties.
struct LoadReading {
  std::uint32_t in_flight = 0;
  TimePoint measured;
  /// Distrusted reports are ignored until this time.
  TimePoint distrusted_until;
  bool known = false;
};

/// Measurements and state of one target.
struct TargetRow {
  TargetConfig config;
  std::size_t service = 0;
  std::size_t slot_row = 0;
  std::size_t connection_row = 0;
  /// Whether the current configuration has the target.
  bool configured = true;
  bool draining = false;
  /// No new connection can be made, or a fresh one timed out.
  bool down = false;
  /// A connection timed out; the next attempt needs a new one to tell whether the target failed.
  bool verify_connection = false;

  /// Attempts of this instance in the order of their start.
  boost::intrusive::list<Attempt, boost::intrusive::constant_time_size<true>> attempts;
  /// Attempts of the other instances as last reported.
  std::uint32_t peers_in_flight = 0;

  double latency_us = 0;
  double error_rate = 0;
  LoadReading report;
  ColdStartRamp ramp;
  std::uint64_t boot = 0;
  HealthState health = HealthState::kReady;
  /// No new work before this time, after the target shed load.
  TimePoint shed_until;

  SlowState slow = SlowState::kNormal;
  /// Cumulative log-likelihood ratio of "slowed" against "normal".
  double suspicion = 0;
  /// `suspicion` with that of unanswered attempts, as of the last tick.
  double evidence = 0;
  /// Part of `evidence` that the other instances know, and what they know beyond this instance.
  double sent_evidence = 0;
  double peer_evidence = 0;
  std::uint32_t slow_episode = 0;
  TimePoint recovered;
  TimePoint hold_until;
  Duration ejection{0};
  std::uint32_t fast_probes = 0;
  /// The ramp is that of a cold target, whose answers are slow without a slowdown.
  bool cold = false;
  /// Next time at which this instance sends a request to warm the target up.
  TimePoint next_warm_up;
  /// Set when other instances have to be told of a change.
  bool changed = false;
};

/// Measurements of one service over the targets of the data centre.
struct ServiceRow {
  ServiceId id;
  std::size_t index = 0;
  bool keyed = false;
  std::vector<std::size_t> targets;
  /// Number of targets over all data centres.
  std::uint32_t fleet_targets = 0;
  /// Mean latency of targets that are not slowed.
  double baseline_us = 0;
  std::uint64_t samples = 0;
  /// Ejected targets in other data centres as last reported.
  std::uint32_t ejected_elsewhere = 0;
  /// Turn and time of the next request for a slot of another instance.
  std::size_t next_target = 0;
  TimePoint next_borrow;
};

/// Rows of targets and services; a row keeps its index until the process ends.
class TargetTable {
 public:
  /// Adds or updates the targets of `data_centre`; targets that `config` no longer has get no new
  /// work. Complexity: linear in the targets of all data centres.
  void Apply(const Config& config, DataCentreId data_centre);

  /// Return the row of an entity, if known. Complexity: constant.
  TargetRow* Find(TargetId id);
  ServiceRow* FindService(ServiceId id);
  std::optional<std::size_t> IndexOf(TargetId id) const;

  std::deque<TargetRow>& rows() noexcept { return rows_; }
  const std::deque<TargetRow>& rows() const noexcept { return rows_; }
  std::deque<ServiceRow>& services() noexcept { return services_; }
  const std::deque<ServiceRow>& services() const noexcept { return services_; }

 private:
  std::deque<TargetRow> rows_;
  std::deque<ServiceRow> services_;
  std::unordered_map<TargetId, std::size_t> index_;
  std::unordered_map<ServiceId, std::size_t> service_index_;
};

/// Attempts by identifier; rows are reused, so a steady load allocates nothing.
class AttemptTable {
 public:
  /// Returns a new attempt. Complexity: constant, amortized over growth.
  Attempt& Add();
  /// Returns the attempt, or null when it has ended. Complexity: constant.
  Attempt* Find(AttemptId id) noexcept;
  const Attempt* Find(AttemptId id) const noexcept;
  /// Ends an attempt that is in no list.
  void Remove(Attempt& attempt);
  std::size_t size() const noexcept { return rows_.size() - free_.size(); }

 private:
  std::deque<Attempt> rows_;
  std::vector<std::uint32_t> free_;
  std::uint64_t generation_ = 1;
};

/// Returns whether the target takes new work at all.
/// Complexity: constant.
inline bool TakesNewWork(const TargetRow& row, TimePoint now) noexcept {
  return row.configured && !row.draining && !row.down && row.health != HealthState::kDraining &&
         now >= row.shed_until;
}

}  // namespace dogwoodport
