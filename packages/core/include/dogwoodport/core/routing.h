#pragma once

/// @file
/// Choice of a target for each request: the facade over the systems of the routing subsystem.
///
/// One `Routing` belongs to one run of an instance. It does no I/O: the caller passes events with
/// the time and sends the messages that it finds in the `Outbox`.

#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <variant>
#include <vector>

#include "dogwoodport/core/hedging.h"
#include "dogwoodport/core/probe_schedule.h"
#include "dogwoodport/core/slow_group_detector.h"
#include "dogwoodport/core/spill_over.h"
#include "dogwoodport/core/target_selector.h"

namespace dogwoodport {

/// Identity, rules and switches of a `Routing`.
struct RoutingSettings {
  InstanceId self;
  Incarnation incarnation;
  DataCentreId data_centre;
  SelectionPolicy policy = EvidencePolicy{};
  bool detect_slow = true;
  bool hedge = true;
  bool spill_over = true;
  /// Longest attempt. A larger value lengthens the time until a new delegation's shares are whole.
  Duration max_attempt{5'000'000};
  /// Longest wait for a slot before a request is refused.
  Duration max_wait{1'000'000};
  SlowGroupSettings slow{};
  ProbeSettings probes{};
};

/// A request that needs a target.
struct RouteRequest {
  ServiceId service;
  RouteId route;
  /// Owner of the key's shard, for keyed services; the request goes there or nowhere.
  std::optional<TargetId> owner;
  bool repeatable = false;
  TimePoint arrived;
  TimePoint deadline;
  /// Came from another data centre by spill-over and is not sent on.
  bool forwarded = false;
  /// Targets that earlier attempts were sent to.
  std::span<const TargetId> excluded;
};

/// The attempt holds a slot from now on; it ends with `OnRequestFinished` or `OnRequestTimedOut`.
struct Chosen {
  TargetId target;
  AttemptId attempt;
  /// The attempt is cancelled by then, since its slot may be used by another instance afterwards.
  TimePoint deadline;
  /// A connection to the target went silent: use a new one, to learn whether the target failed.
  bool new_connection = false;
};

/// Forward the request to an instance of this data centre.
struct SpillOver {
  DataCentreId data_centre;
};

/// Ask again at `until`, or when an attempt of this instance ends.
struct Wait {
  TimePoint until;
};

/// Why no target was chosen.
enum class RefusalReason {
  kUnknownService,
  kUnknownTarget,
  kWithdrawn,
  kNoTarget,
  kNoCapacity,
  kDeadline
};

/// The request has not run and will not.
struct Refused {
  RefusalReason reason;
  Duration retry_after;
};

using Choice = std::variant<Chosen, SpillOver, Wait, Refused>;

/// How an attempt ended.
enum class Outcome {
  kAnswered,
  /// The target answered that it failed (5xx).
  kFailed,
  /// The target answered that it sheds load.
  kShed,
  kConnectionLost,
  /// This instance cancelled it.
  kCancelled,
  /// No byte was sent.
  kNotSent,
};

/// End of an attempt.
struct AttemptResult {
  Outcome outcome = Outcome::kAnswered;
  /// With `kShed`: no new work before then.
  Duration retry_after{0};
  /// The request is in quarantine, so that the loss says nothing about the target.
  bool quarantined = false;
};

/// Answer of a target's health endpoint to a probe, made on a new connection.
struct HealthReport {
  bool reachable = false;
  HealthState state = HealthState::kReady;
  /// Hash of the boot identifier; 0 when unknown.
  std::uint64_t boot = 0;
  Duration latency{0};
};

/// Routing decisions of one instance.
///
/// @code
/// Routing routing(settings);
/// routing.OnConfig(now, config);
/// routing.OnDelegation(now, delegation, DelegationHistory::kFirst);
/// const Choice choice = routing.Choose(now, request, out);
/// if (const auto* chosen = std::get_if<Chosen>(&choice)) {
///   routing.OnRequestStarted(now, chosen->attempt);
///   routing.OnRequestFinished(now, chosen->attempt, {.outcome = Outcome::kAnswered});
/// }
/// @endcode
class Routing {
 public:
  explicit Routing(const RoutingSettings& settings);

  /// Chooses what to do with a request. Complexity: linear in the service's targets of this data
  /// centre; allocates nothing when a target is chosen in steady load.
  Choice Choose(TimePoint now, const RouteRequest& request, Outbox& out);

  /// Marks the moment at which the request was written. Complexity: constant.
  void OnRequestStarted(TimePoint now, AttemptId attempt);

  /// Ends an attempt. Returns the other attempt of a hedged request, to be cancelled at the target
  /// and then finished with `kCancelled`. An unknown attempt has no effect. Complexity: constant.
  std::optional<AttemptId> OnRequestFinished(TimePoint now, AttemptId attempt,
                                             const AttemptResult& result);

  /// Ends an attempt whose answer did not come; its connection is to be closed. The target is
  /// taken for failed only when the connection was fresh. Complexity: constant.
  void OnRequestTimedOut(TimePoint now, AttemptId attempt, bool fresh_connection);

  /// A new connection could not be made: the target gets nothing until a probe succeeds.
  void OnConnectionFailed(TimePoint now, TargetId target);

  /// Takes one of the target's connections; null when this instance's share is used up.
  std::optional<SlotHold> AcquireConnection(TimePoint now, TargetId target, Outbox& out);
  void ReleaseConnection(TimePoint now, TargetId target, const SlotHold& hold);

  /// Returns when to hedge the attempt, if it may be hedged. Complexity: constant.
  std::optional<TimePoint> HedgeAt(AttemptId attempt) const;

  /// Starts a second attempt on another target within the budget. As `Choose`.
  std::optional<Chosen> Hedge(TimePoint now, AttemptId attempt);

  /// Result of an own probe; passed on to the data centre. Linear in the members.
  void OnHealth(TimePoint now, TargetId target, const HealthReport& report, Outbox& out);
  void OnLoadReport(TimePoint now, TargetId target, std::uint32_t in_flight, Duration age);

  /// Returns the targets that this instance has to probe now, each on a new connection.
  std::vector<TargetId> ProbesDue(TimePoint now);

  void OnConfig(TimePoint now, const Config& config);
  /// Takes over a delegation of any data centre once a majority of the old group follows it.
  void OnDelegation(TimePoint now, const Delegation& delegation, DelegationHistory history);
  /// Own slots are used only under a permit, until `until`.
  void OnPermit(TimePoint until) { ledger_.SetPermit(until); }
  void OnTargetState(TimePoint now, TargetId target, bool draining);
  /// A data centre that returns is taken for cold.
  void OnDataCentreState(TimePoint now, DataCentreId data_centre, bool in_service);

  void OnMessage(TimePoint now, InstanceId from, const SlotRequest& message, Outbox& out);
  void OnMessage(TimePoint now, InstanceId from, const SlotLoan& message, Outbox& out);
  void OnMessage(TimePoint now, InstanceId from, const SlotReturn& message, Outbox& out);
  void OnMessage(TimePoint now, InstanceId from, const TargetEvidence& message, Outbox& out);
  void OnMessage(TimePoint now, InstanceId from, const ProbeResult& message, Outbox& out);
  void OnMessage(TimePoint now, InstanceId from, const DataCentreLoad& message, Outbox& out);
  void OnMessage(TimePoint now, InstanceId from, const LatencyProbe& message, Outbox& out);

  /// Runs the systems over the tables; called every 10 ms.
  void Tick(TimePoint now, Outbox& out);

  /// Returns the targets whose shards should move to others, as advice to the ownership subsystem.
  std::vector<TargetId> TargetsToRelieve() const;

  const TargetTable& targets() const noexcept { return table_; }
  const SlotLedger& ledger() const noexcept { return ledger_; }
  const SlowGroupDetector& detector() const noexcept { return detector_; }
  const DataCentreTable& data_centres() const noexcept { return data_centres_; }

 private:
  struct RouteRow {
    RouteId id;
    HedgePolicy hedge;
  };

  bool OwnInService() const noexcept;
  std::size_t RouteIndex(RouteId id);
  Choice ChooseOwner(TimePoint now, const RouteRequest& request, Outbox& out);
  Choice ChooseAny(TimePoint now, const RouteRequest& request, ServiceRow& service, Outbox& out);
  Choice ChooseFull(TimePoint now, const RouteRequest& request, ServiceRow& service, Outbox& out);
  std::optional<std::size_t> WarmUpTarget(TimePoint now, const RouteRequest& request,
                                          const ServiceRow& service);
  std::optional<Chosen> Start(TimePoint now, std::size_t target, const RouteRequest& request,
                              bool is_hedge);
  void BorrowFor(TimePoint now, ServiceRow& service, Outbox& out);
  Attempt* End(TimePoint now, AttemptId id);
  void MeasureEnd(TimePoint now, const Attempt& attempt, TargetRow& row,
                  const AttemptResult& result);
  void StartRamp(TimePoint now, TargetRow& row, bool cold);
  void ApplyHealth(TimePoint now, std::size_t index, const HealthReport& report);
  void ApplyState(TimePoint now, TargetRow& row, const HealthReport& report);
  ServiceLoad LoadOf(TimePoint now, const ServiceRow& service) const;
  EvidenceRow EvidenceOf(const TargetRow& row) const;
  void SendChanges(Outbox& out);
  void SendInFlight(Outbox& out);
  void SendLoad(TimePoint now, Outbox& out);
  bool IsCoordinator() const noexcept;

  RoutingSettings settings_;
  /// Outlives the lists of attempts in the target table.
  AttemptTable attempts_;
  TargetTable table_;
  SlotLedger ledger_;
  SlowGroupDetector detector_;
  ProbeSchedule probes_;
  DataCentreTable data_centres_;
  std::vector<RouteRow> routes_;
  std::unordered_map<RouteId, std::size_t> route_index_;
  /// Load of the own data centre by service row, as of the last tick.
  std::vector<ServiceLoad> own_load_;
  /// In-flight counts that each peer reported last, by target row.
  std::unordered_map<InstanceId, std::vector<std::uint32_t>> peer_in_flight_;
  /// Latency probes sent and not answered: data centre, sequence, time.
  std::unordered_map<DataCentreId, std::pair<std::uint64_t, TimePoint>> latency_probes_;
  std::uint64_t next_latency_probe_ = 1;
  std::size_t next_peer_ = 0;
  std::vector<TargetId> due_;
  std::vector<SlotLedger::Candidate> candidates_;
  TimePoint last_tick_;
  TimePoint next_in_flight_;
  TimePoint next_load_;
  TimePoint next_latency_;
};

}  // namespace dogwoodport
