#pragma once

/// @file
/// Facade of the routing subsystem, which selects a target for each request.
///
/// A `Routing` object lives as long as one run of an instance. It performs no I/O: its user
/// passes in events with the current time and sends the messages placed in the `Outbox`.

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

/// Identity, settings and feature switches of a `Routing` object.
struct RoutingSettings {
  InstanceId self;
  Incarnation incarnation;
  DataCentreId data_centre;
  SelectionPolicy policy = EvidencePolicy{};
  bool detect_slow = true;
  bool hedge = true;
  bool spill_over = true;
  /// Maximum duration of an attempt. A larger value delays the time at which the slot shares of a
  /// new delegation become fully usable.
  Duration max_attempt{5'000'000};
  /// Maximum wait for a slot before a request is refused.
  Duration max_wait{1'000'000};
  SlowGroupSettings slow{};
  ProbeSettings probes{};
};

/// A request that needs a target.
struct RouteRequest {
  ServiceId service;
  RouteId route;
  /// Owner of the key's shard, for keyed services. The request is sent to no other target.
  std::optional<TargetId> owner;
  bool repeatable = false;
  TimePoint arrived;
  TimePoint deadline;
  /// Whether the request was forwarded by another instance; it is not spilled over again.
  bool forwarded = false;
  /// Targets that earlier attempts were sent to.
  std::span<const TargetId> excluded;
};

/// Send the request to `target`. The attempt holds a slot until `OnRequestFinished` or
/// `OnRequestTimedOut` is called.
struct Chosen {
  TargetId target;
  AttemptId attempt;
  /// Time by which the attempt must be cancelled, because another instance may use its slot
  /// afterwards.
  TimePoint deadline;
  /// Use a new connection to determine whether the target failed, because an existing connection to
  /// it timed out or was lost.
  bool new_connection = false;
};

/// Forward the request to an instance of `data_centre`.
struct SpillOver {
  DataCentreId data_centre;
};

/// Call `Choose` again at `until`, or when an attempt of this instance ends.
struct Wait {
  TimePoint until;
};

/// Reason why no target was chosen.
enum class RefusalReason {
  kUnknownService,
  kUnknownTarget,
  kWithdrawn,
  kNoTarget,
  kNoCapacity,
  kDeadline
};

/// Refuse the request, which no target has run.
struct Refused {
  RefusalReason reason;
  Duration retry_after;
};

using Choice = std::variant<Chosen, SpillOver, Wait, Refused>;

/// Outcome of an attempt.
enum class Outcome {
  kAnswered,
  /// The target responded with an error (5xx) or with an invalid response.
  kFailed,
  /// The target responded that it sheds load.
  kShed,
  kConnectionLost,
  /// This instance cancelled it.
  kCancelled,
  /// No byte was sent.
  kNotSent,
};

/// Outcome of an attempt, with details.
struct AttemptResult {
  Outcome outcome = Outcome::kAnswered;
  /// For `kShed`: time during which the target receives no new requests.
  Duration retry_after{0};
  /// Whether the request is quarantined, in which case the loss of its connection does not count
  /// against the target.
  bool quarantined = false;
};

/// Response of a target's health endpoint to a probe on a new connection.
struct HealthReport {
  bool reachable = false;
  HealthState state = HealthState::kReady;
  /// Hash of the boot identifier; 0 if unknown.
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

  /// Decides how to proceed with a request. Complexity: linear in the service's targets of this
  /// data centre; makes no allocations if a target is chosen under steady load.
  Choice Choose(TimePoint now, const RouteRequest& request, Outbox& out);

  /// Records that the request was sent at `now`. Complexity: constant.
  void OnRequestStarted(TimePoint now, AttemptId attempt);

  /// Ends an attempt. If it was answered, returns the other attempt of a hedged request, which must
  /// be cancelled at its target and then finished with `kCancelled`. Has no effect for an unknown
  /// attempt. Complexity: constant.
  std::optional<AttemptId> OnRequestFinished(TimePoint now, AttemptId attempt,
                                             const AttemptResult& result);

  /// Ends an attempt that timed out, whose connection must be closed. The target is considered down
  /// only if the connection was new. Complexity: constant.
  void OnRequestTimedOut(TimePoint now, AttemptId attempt, bool fresh_connection);

  /// Records that connecting to a target failed. It receives no requests until a probe succeeds.
  void OnConnectionFailed(TimePoint now, TargetId target);

  /// Acquires one of the target's connections. If this instance has none free, returns nothing and
  /// requests a loan.
  std::optional<SlotHold> AcquireConnection(TimePoint now, TargetId target, Outbox& out);
  void ReleaseConnection(TimePoint now, TargetId target, const SlotHold& hold);

  /// Returns the time at which to hedge the attempt, or nothing if it may not be hedged.
  /// Complexity: constant.
  std::optional<TimePoint> HedgeAt(AttemptId attempt) const;

  /// Starts a second attempt on another target if the budget allows it. Complexity: as `Choose`.
  std::optional<Chosen> Hedge(TimePoint now, AttemptId attempt);

  /// Records the result of a probe by this instance and sends it to the other members of the data
  /// centre. Complexity: linear in the members.
  void OnHealth(TimePoint now, TargetId target, const HealthReport& report, Outbox& out);
  void OnLoadReport(TimePoint now, TargetId target, std::uint32_t in_flight, Duration age);

  /// Returns the targets that this instance must probe now, each on a new connection.
  std::vector<TargetId> ProbesDue(TimePoint now);

  void OnConfig(TimePoint now, const Config& config);
  /// Applies a delegation of any data centre. Must be called after a majority of the previous group
  /// follows it.
  void OnDelegation(TimePoint now, const Delegation& delegation, DelegationHistory history);
  /// Allows the use of this instance's own slots until the permit expires at `until`.
  void OnPermit(TimePoint until) { ledger_.SetPermit(until); }
  void OnTargetState(TimePoint now, TargetId target, bool draining);
  /// Sets whether a data centre is in service. The targets of the own data centre are considered
  /// cold when it returns to service.
  void OnDataCentreState(TimePoint now, DataCentreId data_centre, bool in_service);

  void OnMessage(TimePoint now, InstanceId from, const SlotRequest& message, Outbox& out);
  void OnMessage(TimePoint now, InstanceId from, const SlotLoan& message, Outbox& out);
  void OnMessage(TimePoint now, InstanceId from, const SlotReturn& message, Outbox& out);
  void OnMessage(TimePoint now, InstanceId from, const TargetEvidence& message, Outbox& out);
  void OnMessage(TimePoint now, InstanceId from, const ProbeResult& message, Outbox& out);
  void OnMessage(TimePoint now, InstanceId from, const DataCentreLoad& message, Outbox& out);
  void OnMessage(TimePoint now, InstanceId from, const LatencyProbe& message, Outbox& out);

  /// Processes everything that depends on time. Must be called every 10 ms.
  void Tick(TimePoint now, Outbox& out);

  /// Returns the targets whose shards should be moved to others, as a hint for the ownership
  /// subsystem.
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
  Choice ChooseWhenFull(TimePoint now, const RouteRequest& request, ServiceRow& service,
                        Outbox& out);
  std::optional<std::size_t> WarmUpTarget(TimePoint now, const RouteRequest& request,
                                          const ServiceRow& service);
  std::optional<Chosen> Start(TimePoint now, std::size_t target, const RouteRequest& request,
                              bool is_hedge);
  void BorrowSlot(TimePoint now, ServiceRow& service, Outbox& out);
  Attempt* EndAttempt(TimePoint now, AttemptId id);
  void RecordOutcome(TimePoint now, const Attempt& attempt, TargetRow& row,
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
  /// Declared before `table_` because it must outlive the lists of attempts in the target table.
  AttemptTable attempts_;
  TargetTable table_;
  SlotLedger ledger_;
  SlowGroupDetector detector_;
  ProbeSchedule probes_;
  DataCentreTable data_centres_;
  std::vector<RouteRow> routes_;
  std::unordered_map<RouteId, std::size_t> route_index_;
  /// Load of the own data centre, indexed by service row, as of the last tick.
  std::vector<ServiceLoad> own_load_;
  /// In-flight counts last reported by each peer, indexed by target row.
  std::unordered_map<InstanceId, std::vector<std::uint32_t>> peer_in_flight_;
  /// Latest unanswered latency probe to each data centre: sequence number and time of sending.
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
