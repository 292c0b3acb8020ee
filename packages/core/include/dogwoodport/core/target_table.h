#pragma once

/// @file
/// Tables of the targets of the own data centre and of the attempts in progress on them.

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

/// Identifier of an attempt, unique within one process.
struct AttemptId {
  std::uint64_t value = 0;

  friend auto operator<=>(const AttemptId&, const AttemptId&) = default;
};

/// State reported by the health endpoint of a target.
enum class HealthState : std::uint8_t { kReady = 0, kCold = 1, kDraining = 2 };

/// Whether a target is slow compared with the other targets of its service.
enum class SlowState : std::uint8_t {
  kNormal = 0,
  /// Another target of its group has slowed down; receives less load in case it slows down too.
  kAtRisk = 1,
  kSlow = 2,
  /// Slow and excluded from selection until probes are fast again.
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

/// Latest load report of a target; used to break ties.
struct LoadReading {
  std::uint32_t in_flight = 0;
  TimePoint measured;
  /// Time until which reports are ignored because one contradicted local measurements.
  TimePoint distrusted_until;
  bool known = false;
};

/// Measurements and state of one target.
struct TargetRow {
  TargetConfig config;
  std::size_t service = 0;
  std::size_t slot_row = 0;
  std::size_t connection_row = 0;
  /// Whether the target is part of the current configuration.
  bool configured = true;
  bool draining = false;
  /// Connecting failed, a new connection timed out, or a probe failed.
  bool down = false;
  /// An existing connection timed out or was lost. The next attempt uses a new connection to
  /// determine whether the target failed.
  bool verify_connection = false;

  /// Attempts of this instance, ordered by start time.
  boost::intrusive::list<Attempt, boost::intrusive::constant_time_size<true>> attempts;
  /// Number of attempts of the other instances as last reported.
  std::uint32_t peers_in_flight = 0;

  double latency_us = 0;
  double error_rate = 0;
  LoadReading report;
  ColdStartRamp ramp;
  std::uint64_t boot = 0;
  HealthState health = HealthState::kReady;
  /// Time before which the target receives no new requests because it shed load.
  TimePoint shed_until;

  SlowState slow = SlowState::kNormal;
  /// Cumulative log-likelihood ratio of "slow" versus "normal".
  double suspicion = 0;
  /// `suspicion` plus the contribution of attempts without a response, as of the last tick.
  double evidence = 0;
  /// Part of `evidence` that has been sent to the other instances, and the decaying sum of evidence
  /// received from them.
  double sent_evidence = 0;
  double peer_evidence = 0;
  std::uint32_t slow_episode = 0;
  TimePoint recovered;
  /// End of the at-risk state, or earliest time at which probes may end the slow state.
  TimePoint hold_until;
  Duration ejection{0};
  std::uint32_t fast_probes = 0;
  /// Whether the ramp is that of a cold target, whose responses are slow without a slowdown.
  bool cold = false;
  /// Earliest time at which this instance sends the next warm-up request.
  TimePoint next_warm_up;
  /// Whether the other instances must be notified of a change.
  bool changed = false;
};

/// Measurements of one service over the targets of the data centre.
struct ServiceRow {
  ServiceId id;
  std::size_t index = 0;
  bool keyed = false;
  std::vector<std::size_t> targets;
  /// Number of targets in all data centres.
  std::uint32_t fleet_targets = 0;
  /// Mean latency of targets that are not slow.
  double baseline_us = 0;
  std::uint64_t samples = 0;
  /// Ejected targets in other data centres as last reported.
  std::uint32_t ejected_elsewhere = 0;
  /// Round-robin position and earliest time of the next request to borrow a slot.
  std::size_t next_target = 0;
  TimePoint next_borrow;
};

/// Rows of targets and services. The index of a row never changes while the process runs.
class TargetTable {
 public:
  /// Adds or updates the targets of `data_centre`. Targets that are no longer in `config` receive
  /// no new requests. Complexity: linear in the targets of all data centres.
  void Apply(const Config& config, DataCentreId data_centre);

  /// Returns the row of an entity or its index; null or nothing if the entity is unknown.
  /// Complexity: constant.
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

/// Attempts by identifier. Rows are reused, so a steady load needs no allocations.
class AttemptTable {
 public:
  /// Adds an attempt. Complexity: amortised constant.
  Attempt& Add();
  /// Returns the attempt, or null if it has ended. Complexity: constant.
  Attempt* Find(AttemptId id) noexcept;
  const Attempt* Find(AttemptId id) const noexcept;
  /// Removes an attempt, which must not be linked in a list.
  void Remove(Attempt& attempt);
  std::size_t size() const noexcept { return rows_.size() - free_.size(); }

 private:
  std::deque<Attempt> rows_;
  std::vector<std::uint32_t> free_;
  std::uint64_t generation_ = 1;
};

/// Returns whether the target accepts new requests. Complexity: constant.
inline bool AcceptsNewRequests(const TargetRow& row, TimePoint now) noexcept {
  return row.configured && !row.draining && !row.down && row.health != HealthState::kDraining &&
         now >= row.shed_until;
}

}  // namespace dogwoodport
