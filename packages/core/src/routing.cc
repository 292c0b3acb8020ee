#include "dogwoodport/core/routing.h"

#include <algorithm>

namespace dogwoodport {
namespace {

// Maximum wait for a borrowed slot. A loan within a data centre takes one round trip; waiting
// longer costs more than spilling over.
constexpr Duration kBorrowWait{1'500};
// Minimum interval between requests to borrow a slot of a service. A loan serves about ten requests
// before it is returned.
constexpr Duration kServiceBorrowInterval{500};
// Time after which a waiting request is retried if no event triggers it earlier.
constexpr Duration kRetryWait{1'000};
// As above, for requests that wait for an owner. A new owner requires a move of the shard, which
// takes at least this long.
constexpr Duration kOwnerRetryWait{10'000};
// Wait in service times after which slow targets are used: waiting longer is worse than a slow
// target.
constexpr double kSlowTargetWaitFactor = 1.0;
// Utilisation of the own data centre's slots above which there is little to borrow.
constexpr double kMaxUtilisationToBorrow = 0.90;
// Interval at which each instance sends a request to a cold target although its responses are slow.
constexpr Duration kWarmUpInterval{50'000};
constexpr Duration kRetryAfter{1'000'000};
// Gap between ticks above which the process is considered to have been paused (design, section 3).
constexpr Duration kPauseGap{250'000};
constexpr Duration kInFlightInterval{200'000};
constexpr Duration kLoadInterval{100'000};
constexpr Duration kLatencyInterval{500'000};
// Number of peers that receive the in-flight counts each time. It is limited so that the cost does
// not grow with the group.
constexpr std::size_t kFanOut = 8;
constexpr double kErrorGain = 0.1;
// Reciprocal of the weight of a new sample in the smoothed round-trip time.
constexpr std::int64_t kRoundTripDivisor = 4;

double Micros(Duration d) noexcept { return static_cast<double>(d.count()); }

}  // namespace

Routing::Routing(const RoutingSettings& settings)
    : settings_(settings),
      ledger_({.self = settings_.self,
               .incarnation = settings_.incarnation,
               .max_hold = settings_.max_attempt}),
      detector_(settings_.slow),
      probes_(settings_.self, settings_.probes) {}

void Routing::OnConfig(TimePoint now, const Config& config) {
  table_.Apply(config, settings_.data_centre);
  for (const DataCentreConfig& data_centre : config.data_centres) data_centres_.Get(data_centre.id);
  for (const RouteConfig& route : config.routes) RouteIndex(route.id);
  for (TargetRow& row : table_.rows()) {
    row.slot_row = ledger_.AddRow(row.config.id, Resource::kSlot, row.config.slots);
    row.connection_row =
        ledger_.AddRow(row.config.id, Resource::kConnection, row.config.connections);
  }
  own_load_.clear();
  for (const ServiceRow& service : table_.services()) own_load_.push_back(LoadOf(now, service));
}

void Routing::OnDelegation(TimePoint now, const Delegation& delegation, DelegationHistory history) {
  DataCentreRow& row = data_centres_.Get(delegation.data_centre);
  row.coordinator = delegation.coordinator;
  row.members.clear();
  for (const Member& member : delegation.members) {
    if (!member.witness) row.members.push_back(member.id);
  }
  if (delegation.data_centre != settings_.data_centre) return;
  ledger_.OnDelegation(now, delegation, history);
  probes_.OnDelegation(delegation);
  // Otherwise the counts of instances that have left would never be removed.
  peer_in_flight_.clear();
  for (TargetRow& target : table_.rows()) target.peers_in_flight = 0;
}

void Routing::OnTargetState(TimePoint now, TargetId target, bool draining) {
  TargetRow* row = table_.Find(target);
  if (row == nullptr) return;
  if (row->draining && !draining) StartRamp(now, *row, true);
  row->draining = draining;
}

void Routing::OnDataCentreState(TimePoint now, DataCentreId data_centre, bool in_service) {
  DataCentreRow& row = data_centres_.Get(data_centre);
  const bool returned = in_service && !row.in_service;
  row.in_service = in_service;
  if (!returned || data_centre != settings_.data_centre) return;
  for (TargetRow& target : table_.rows()) StartRamp(now, target, true);
}

bool Routing::OwnInService() const noexcept {
  const DataCentreRow* own = data_centres_.Find(settings_.data_centre);
  return own == nullptr || own->in_service;
}

bool Routing::IsCoordinator() const noexcept {
  const DataCentreRow* own = data_centres_.Find(settings_.data_centre);
  return own != nullptr && own->coordinator == settings_.self;
}

std::size_t Routing::RouteIndex(RouteId id) {
  const auto [it, added] = route_index_.try_emplace(id, routes_.size());
  if (added) routes_.push_back(RouteRow{.id = id, .hedge = {}});
  return it->second;
}

Choice Routing::Choose(TimePoint now, const RouteRequest& request, Outbox& out) {
  if (now >= request.deadline) return Refused{RefusalReason::kDeadline, Duration{0}};
  ServiceRow* service = table_.FindService(request.service);
  if (service == nullptr) return Refused{RefusalReason::kUnknownService, Duration{0}};
  if (request.owner) return ChooseOwner(now, request, out);
  return ChooseAny(now, request, *service, out);
}

Choice Routing::ChooseOwner(TimePoint now, const RouteRequest& request, Outbox& out) {
  const auto index = table_.IndexOf(*request.owner);
  if (!index) return Refused{RefusalReason::kUnknownTarget, Duration{0}};
  const bool wait_expired = now - request.arrived >= settings_.max_wait;
  if (!OwnInService()) {
    // The shards of a withdrawn data centre move to others, so the request waits for the new owner.
    if (wait_expired) return Refused{RefusalReason::kWithdrawn, kRetryAfter};
    return Wait{now + kOwnerRetryWait};
  }
  TargetRow& row = table_.rows()[*index];
  if (!AcceptsNewRequests(row, now)) {
    if (wait_expired) return Refused{RefusalReason::kNoTarget, kRetryAfter};
    return Wait{now + kOwnerRetryWait};
  }
  if (const auto chosen = Start(now, *index, request, false)) return *chosen;
  if (wait_expired) return Refused{RefusalReason::kNoCapacity, kRetryAfter};
  ledger_.Borrow(now, row.slot_row, false, out);
  return Wait{now + kRetryWait};
}

Choice Routing::ChooseAny(TimePoint now, const RouteRequest& request, ServiceRow& service,
                          Outbox& out) {
  if (!OwnInService()) {
    if (!request.forwarded && settings_.spill_over) {
      const auto other =
          data_centres_.Choose(now, service.id, settings_.data_centre, service.baseline_us);
      if (other) return SpillOver{*other};
      if (now - request.arrived < settings_.max_wait) return Wait{now + kRetryWait};
    }
    return Refused{RefusalReason::kWithdrawn, kRetryAfter};
  }
  std::optional<std::size_t> index = WarmUpTarget(now, request, service);
  if (!index) {
    const SelectionQuery query{.now = now, .excluded = request.excluded};
    index = SelectTarget(settings_.policy, query, table_, service, ledger_);
  }
  if (index) {
    if (const auto chosen = Start(now, *index, request, false)) return *chosen;
  }
  return ChooseWhenFull(now, request, service, out);
}

Choice Routing::ChooseWhenFull(TimePoint now, const RouteRequest& request, ServiceRow& service,
                               Outbox& out) {
  const ServiceLoad& load = own_load_[service.index];
  const Duration waited = now - request.arrived;
  const bool lendable = load.in_flight < kMaxUtilisationToBorrow * load.usable_slots;
  BorrowSlot(now, service, out);
  if (lendable && waited < kBorrowWait) return Wait{now + kRetryWait / 2};
  if (!request.forwarded && settings_.spill_over) {
    const auto other =
        data_centres_.Choose(now, service.id, settings_.data_centre, service.baseline_us);
    if (other) return SpillOver{*other};
  }
  if (Micros(waited) >= kSlowTargetWaitFactor * service.baseline_us) {
    const SelectionQuery query{.now = now, .excluded = request.excluded, .allow_slow = true};
    const auto index = SelectTarget(settings_.policy, query, table_, service, ledger_);
    if (index) {
      if (const auto chosen = Start(now, *index, request, false)) return *chosen;
    }
  }
  const bool any = std::any_of(service.targets.begin(), service.targets.end(), [&](std::size_t i) {
    return AcceptsNewRequests(table_.rows()[i], now);
  });
  if (!any) return Refused{RefusalReason::kNoTarget, kRetryAfter};
  if (waited >= settings_.max_wait) return Refused{RefusalReason::kNoCapacity, kRetryAfter};
  return Wait{now + kRetryWait};
}

std::optional<std::size_t> Routing::WarmUpTarget(TimePoint now, const RouteRequest& request,
                                                 const ServiceRow& service) {
  // The baseline policies ignore latency, so cold targets receive requests without extra ones.
  if (!request.repeatable || !std::holds_alternative<EvidencePolicy>(settings_.policy)) {
    return std::nullopt;
  }
  for (const std::size_t i : service.targets) {
    TargetRow& row = table_.rows()[i];
    if (!row.ramp.ramping() || now < row.next_warm_up || row.slow != SlowState::kNormal) continue;
    if (std::find(request.excluded.begin(), request.excluded.end(), row.config.id) !=
        request.excluded.end()) {
      continue;
    }
    if (!AcceptsNewRequests(row, now) || FreeSlots(row, ledger_, now) == 0) continue;
    row.next_warm_up = now + kWarmUpInterval;
    return i;
  }
  return std::nullopt;
}

std::optional<Chosen> Routing::Start(TimePoint now, std::size_t target, const RouteRequest& request,
                                     bool is_hedge) {
  TargetRow& row = table_.rows()[target];
  const auto hold = ledger_.Acquire(now, row.slot_row, row.ramp.Limit(row.config.slots));
  if (!hold) return std::nullopt;
  Attempt& attempt = attempts_.Add();
  attempt.target = target;
  attempt.route = RouteIndex(request.route);
  attempt.started = now;
  attempt.deadline = std::min(request.deadline, hold->until);
  attempt.hold = *hold;
  attempt.repeatable = request.repeatable && !request.owner;
  row.attempts.push_back(attempt);
  attempt.is_hedge = is_hedge;
  if (!is_hedge) routes_[attempt.route].hedge.OnAttempt();
  const bool verify = std::exchange(row.verify_connection, false);
  return Chosen{row.config.id, attempt.id, attempt.deadline, verify};
}

void Routing::BorrowSlot(TimePoint now, ServiceRow& service, Outbox& out) {
  if (now < service.next_borrow) return;
  service.next_borrow = now + kServiceBorrowInterval;
  // The next target in turn only identifies the service; a lender may choose another target.
  for (std::size_t i = 0; i < service.targets.size(); ++i) {
    const std::size_t index = service.targets[service.next_target++ % service.targets.size()];
    const TargetRow& row = table_.rows()[index];
    if (!AcceptsNewRequests(row, now) || row.slow >= SlowState::kSlow) continue;
    ledger_.Borrow(now, row.slot_row, true, out);
    return;
  }
}

void Routing::OnRequestStarted(TimePoint now, AttemptId id) {
  Attempt* attempt = attempts_.Find(id);
  if (attempt == nullptr) return;
  TargetRow& row = table_.rows()[attempt->target];
  attempt->started = now;
  // Moves the attempt to the end, because the list is ordered by start time.
  row.attempts.erase(row.attempts.iterator_to(*attempt));
  row.attempts.push_back(*attempt);
}

Attempt* Routing::EndAttempt(TimePoint now, AttemptId id) {
  Attempt* attempt = attempts_.Find(id);
  if (attempt == nullptr) return nullptr;
  TargetRow& row = table_.rows()[attempt->target];
  row.attempts.erase(row.attempts.iterator_to(*attempt));
  ledger_.Release(now, row.slot_row, attempt->hold);
  return attempt;
}

void Routing::RecordOutcome(TimePoint now, const Attempt& attempt, TargetRow& row,
                            const AttemptResult& result) {
  const double latency = Micros(now - attempt.started);
  const ServiceRow& service = table_.services()[row.service];
  const bool failed =
      (result.outcome == Outcome::kFailed || result.outcome == Outcome::kConnectionLost) &&
      !result.quarantined;
  row.error_rate += ((failed ? 1.0 : 0.0) - row.error_rate) * kErrorGain;
  if (result.outcome == Outcome::kAnswered) {
    routes_[attempt.route].hedge.OnLatency(latency);
    const std::uint32_t step = row.ramp.step();
    row.ramp.OnSuccess(now, latency, service.baseline_us, row.config.slots);
    row.changed = row.changed || row.ramp.step() != step;
  }
  if (failed) row.ramp.OnFailure(now);
  // A cancelled attempt would have taken even longer, so its age counts as latency. Short ones say
  // nothing.
  const bool late = result.outcome == Outcome::kCancelled && latency > 2 * service.baseline_us;
  if (late) routes_[attempt.route].hedge.OnLatency(latency);
  if (!settings_.detect_slow || (result.outcome != Outcome::kAnswered && !late)) return;
  detector_.OnLatency(now, table_, attempt.target, latency);
}

std::optional<AttemptId> Routing::OnRequestFinished(TimePoint now, AttemptId id,
                                                    const AttemptResult& result) {
  Attempt* attempt = EndAttempt(now, id);
  if (attempt == nullptr) return std::nullopt;
  TargetRow& row = table_.rows()[attempt->target];
  if (result.outcome != Outcome::kNotSent) RecordOutcome(now, *attempt, row, result);
  if (result.outcome == Outcome::kShed) row.shed_until = now + result.retry_after;
  if (result.outcome == Outcome::kConnectionLost && !result.quarantined) {
    row.verify_connection = true;
  }
  std::optional<AttemptId> loser;
  if (Attempt* rival = attempts_.Find(attempt->rival)) {
    rival->rival = AttemptId{};
    // The other attempt continues if this one failed.
    if (result.outcome == Outcome::kAnswered) loser = rival->id;
  }
  attempts_.Remove(*attempt);
  return loser;
}

void Routing::OnRequestTimedOut(TimePoint now, AttemptId id, bool fresh_connection) {
  Attempt* attempt = EndAttempt(now, id);
  if (attempt == nullptr) return;
  TargetRow& row = table_.rows()[attempt->target];
  if (Attempt* rival = attempts_.Find(attempt->rival)) rival->rival = AttemptId{};
  if (fresh_connection) {
    row.down = true;
  } else {
    row.verify_connection = true;
  }
  attempts_.Remove(*attempt);
}

void Routing::OnConnectionFailed(TimePoint /*now*/, TargetId target) {
  if (TargetRow* row = table_.Find(target)) row->down = true;
}

std::optional<SlotHold> Routing::AcquireConnection(TimePoint now, TargetId target, Outbox& out) {
  const TargetRow* row = table_.Find(target);
  if (row == nullptr) return std::nullopt;
  auto hold = ledger_.Acquire(now, row->connection_row, row->config.connections);
  if (!hold) ledger_.Borrow(now, row->connection_row, false, out);
  // Only borrowed connections must be closed when the loan expires; own ones stay open.
  if (hold && hold->loan == 0) hold->until = TimePoint::max();
  return hold;
}

void Routing::ReleaseConnection(TimePoint now, TargetId target, const SlotHold& hold) {
  const TargetRow* row = table_.Find(target);
  if (row != nullptr) ledger_.Release(now, row->connection_row, hold);
}

std::optional<TimePoint> Routing::HedgeAt(AttemptId id) const {
  const Attempt* attempt = attempts_.Find(id);
  if (attempt == nullptr || !settings_.hedge || !attempt->repeatable) return std::nullopt;
  if (attempt->is_hedge || attempt->rival.value != 0) return std::nullopt;
  const auto delay = routes_[attempt->route].hedge.Delay();
  if (!delay) return std::nullopt;
  return attempt->started + *delay;
}

std::optional<Chosen> Routing::Hedge(TimePoint now, AttemptId id) {
  Attempt* first = attempts_.Find(id);
  if (first == nullptr || !HedgeAt(id) || !OwnInService()) return std::nullopt;
  HedgePolicy& hedge = routes_[first->route].hedge;
  const TargetRow& row = table_.rows()[first->target];
  const TargetId excluded[] = {row.config.id};
  const SelectionQuery query{.now = now, .excluded = excluded};
  const auto index =
      SelectTarget(settings_.policy, query, table_, table_.services()[row.service], ledger_);
  if (!index || !hedge.TakeBudget()) return std::nullopt;
  const RouteRequest request{.service = table_.services()[row.service].id,
                             .route = routes_[first->route].id,
                             .repeatable = true,
                             .deadline = first->deadline};
  const auto chosen = Start(now, *index, request, true);
  if (!chosen) return std::nullopt;
  Attempt* second = attempts_.Find(chosen->attempt);
  second->rival = first->id;
  first->rival = second->id;
  return chosen;
}

void Routing::StartRamp(TimePoint now, TargetRow& row, bool cold) {
  row.ramp.Start(now, row.ramp.episode() + 1, cold);
  row.cold = cold;
  row.next_warm_up = now;
  row.changed = true;
}

void Routing::ApplyState(TimePoint now, TargetRow& row, const HealthReport& report) {
  const bool rebooted = row.boot != 0 && report.boot != 0 && report.boot != row.boot;
  const bool turned_cold = report.state == HealthState::kCold && row.health != HealthState::kCold;
  if (report.boot != 0) row.boot = report.boot;
  row.health = report.state;
  if (!rebooted && !turned_cold) return;
  // A cold target needs requests to warm up, so its ejection ends.
  if (row.slow >= SlowState::kSlow) SlowGroupDetector::Recover(now, row);
  StartRamp(now, row, true);
}

void Routing::ApplyHealth(TimePoint now, std::size_t index, const HealthReport& report) {
  probes_.OnResult(now, index);
  TargetRow& row = table_.rows()[index];
  if (!report.reachable) {
    row.down = true;
    return;
  }
  const bool returned = std::exchange(row.down, false);
  ApplyState(now, row, report);
  if (returned && !row.ramp.ramping()) StartRamp(now, row, true);
  if (!settings_.detect_slow) return;
  // A target whose shards have moved away receives no requests, so probes advance the ramp instead.
  const bool recovering = row.ramp.ramping() && !row.cold && row.slow == SlowState::kNormal;
  if (recovering) row.ramp.OnSuccess(now, 0, 1, row.config.slots);
  if (detector_.OnProbe(now, table_, index, Micros(report.latency))) StartRamp(now, row, false);
}

void Routing::OnHealth(TimePoint now, TargetId target, const HealthReport& report, Outbox& out) {
  const auto index = table_.IndexOf(target);
  if (!index) return;
  ApplyHealth(now, *index, report);
  for (const InstanceId member : data_centres_.Get(settings_.data_centre).members) {
    if (member == settings_.self) continue;
    out.Send(member, ProbeResult{.target = target,
                                 .reachable = report.reachable,
                                 .state = static_cast<std::uint8_t>(report.state),
                                 .boot = report.boot,
                                 .latency_us = report.latency.count()});
  }
}

void Routing::OnLoadReport(TimePoint now, TargetId target, std::uint32_t in_flight, Duration age) {
  TargetRow* row = table_.Find(target);
  if (row == nullptr) return;
  ApplyLoadReport(*row, table_.services()[row->service], now, in_flight, age);
}

std::vector<TargetId> Routing::ProbesDue(TimePoint now) {
  due_.clear();
  probes_.CollectDue(now, table_, due_);
  return due_;
}

void Routing::OnMessage(TimePoint now, InstanceId from, const SlotRequest& message, Outbox& out) {
  const TargetRow* named = table_.Find(message.target);
  if (named == nullptr) return;
  candidates_.clear();
  if (message.resource == static_cast<std::uint8_t>(Resource::kConnection)) {
    candidates_.push_back({named->connection_row, named->config.connections});
  } else {
    candidates_.push_back({named->slot_row, named->ramp.Limit(named->config.slots)});
  }
  if (message.any_of_service) {
    for (const std::size_t i : table_.services()[named->service].targets) {
      const TargetRow& row = table_.rows()[i];
      if (&row == named || !AcceptsNewRequests(row, now) || row.slow >= SlowState::kSlow) continue;
      candidates_.push_back({row.slot_row, row.ramp.Limit(row.config.slots)});
    }
  }
  ledger_.OnRequest(now, from, message, candidates_, out);
}

void Routing::OnMessage(TimePoint now, InstanceId from, const SlotLoan& message, Outbox& out) {
  ledger_.OnLoan(now, from, message, out);
}

void Routing::OnMessage(TimePoint /*now*/, InstanceId from, const SlotReturn& message,
                        Outbox& /*out*/) {
  ledger_.OnReturn(from, message);
}

void Routing::OnMessage(TimePoint now, InstanceId from, const TargetEvidence& message,
                        Outbox& /*out*/) {
  std::vector<std::uint32_t>& counts = peer_in_flight_[from];
  counts.resize(table_.rows().size());
  for (const EvidenceRow& evidence : message.rows) {
    const auto index = table_.IndexOf(evidence.target);
    if (!index) continue;
    TargetRow& row = table_.rows()[*index];
    row.peers_in_flight += evidence.in_flight;
    row.peers_in_flight -= std::min(row.peers_in_flight, counts[*index]);
    counts[*index] = evidence.in_flight;
    row.ramp.Merge(now, evidence.ramp_episode, evidence.ramp_limit);
    if (!settings_.detect_slow) continue;
    const auto state = static_cast<SlowState>(evidence.slow_state & 3);
    SlowGroupDetector::OnPeerEvidence(row, evidence.evidence / 10.0);
    detector_.OnPeerState(now, table_, *index, state, evidence.slow_episode);
  }
}

void Routing::OnMessage(TimePoint now, InstanceId /*from*/, const ProbeResult& message,
                        Outbox& /*out*/) {
  const auto index = table_.IndexOf(message.target);
  if (!index || message.state > static_cast<std::uint8_t>(HealthState::kDraining)) return;
  ApplyHealth(now, *index,
              HealthReport{.reachable = message.reachable,
                           .state = static_cast<HealthState>(message.state),
                           .boot = message.boot,
                           .latency = Duration{message.latency_us}});
}

void Routing::OnMessage(TimePoint now, InstanceId from, const DataCentreLoad& message,
                        Outbox& out) {
  if (message.data_centre == settings_.data_centre) return;
  DataCentreLoad load = message;
  DataCentreRow& row = data_centres_.Get(message.data_centre);
  if (load.round_trip_us == 0) load.round_trip_us = row.round_trip_us;
  data_centres_.OnLoad(now, load);
  for (ServiceRow& service : table_.services()) {
    service.ejected_elsewhere =
        data_centres_.EjectedElsewhere(now, service.id, settings_.data_centre);
  }
  const std::vector<InstanceId>& own = data_centres_.Get(settings_.data_centre).members;
  const bool relayed = std::find(own.begin(), own.end(), from) != own.end();
  if (relayed || !IsCoordinator()) return;
  for (const InstanceId member : own) {
    if (member != settings_.self) out.Send(member, load);
  }
}

void Routing::OnMessage(TimePoint now, InstanceId from, const LatencyProbe& message, Outbox& out) {
  if (!message.reply) {
    out.Send(from, LatencyProbe{settings_.data_centre, message.sequence, true});
    return;
  }
  const auto it = latency_probes_.find(message.data_centre);
  if (it == latency_probes_.end() || it->second.first != message.sequence) return;
  const std::int64_t sample = (now - it->second.second).count();
  std::int64_t& smoothed = data_centres_.Get(message.data_centre).round_trip_us;
  smoothed = smoothed == 0 ? sample : smoothed + (sample - smoothed) / kRoundTripDivisor;
  latency_probes_.erase(it);
}

ServiceLoad Routing::LoadOf(TimePoint now, const ServiceRow& service) const {
  ServiceLoad load{.service = service.id};
  for (const std::size_t i : service.targets) {
    const TargetRow& row = table_.rows()[i];
    load.ejected += row.slow == SlowState::kEjected ? 1 : 0;
    if (!AcceptsNewRequests(row, now) || row.slow >= SlowState::kSlow) continue;
    load.usable_slots += row.ramp.Limit(row.config.slots);
    load.in_flight += static_cast<std::uint32_t>(row.attempts.size()) + row.peers_in_flight;
  }
  return load;
}

EvidenceRow Routing::EvidenceOf(const TargetRow& row) const {
  return EvidenceRow{.target = row.config.id,
                     .in_flight = static_cast<std::uint32_t>(row.attempts.size()),
                     .slow_state = static_cast<std::uint8_t>(row.slow),
                     .slow_episode = row.slow_episode,
                     .ramp_episode = row.ramp.episode(),
                     .ramp_limit = row.ramp.step()};
}

void Routing::SendChanges(Outbox& out) {
  TargetEvidence message;
  for (TargetRow& row : table_.rows()) {
    const double evidence = SlowGroupDetector::TakeUnsentEvidence(row);
    if (!std::exchange(row.changed, false) && evidence == 0) continue;
    message.rows.push_back(EvidenceOf(row));
    message.rows.back().evidence = static_cast<std::uint8_t>(std::min(evidence * 10, 255.0));
  }
  if (message.rows.empty()) return;
  for (const InstanceId member : data_centres_.Get(settings_.data_centre).members) {
    if (member != settings_.self) out.Send(member, message);
  }
}

void Routing::SendInFlight(Outbox& out) {
  const std::vector<InstanceId>& members = data_centres_.Get(settings_.data_centre).members;
  TargetEvidence message;
  for (const TargetRow& row : table_.rows()) {
    if (row.configured) message.rows.push_back(EvidenceOf(row));
  }
  const std::size_t n = std::min(kFanOut, members.size());
  for (std::size_t i = 0; i < n; ++i) {
    const InstanceId member = members[next_peer_++ % members.size()];
    if (member != settings_.self) out.Send(member, message);
  }
}

void Routing::SendLoad(TimePoint now, Outbox& out) {
  const DataCentreLoad load{
      .data_centre = settings_.data_centre, .round_trip_us = 0, .services = own_load_};
  const bool measure = now >= next_latency_;
  if (measure) next_latency_ = now + kLatencyInterval;
  for (const DataCentreRow& row : data_centres_.rows()) {
    if (row.id == settings_.data_centre || row.members.empty()) continue;
    out.Send(row.coordinator, load);
    if (!measure) continue;
    latency_probes_[row.id] = {next_latency_probe_, now};
    out.Send(row.coordinator, LatencyProbe{settings_.data_centre, next_latency_probe_++, false});
  }
}

void Routing::Tick(TimePoint now, Outbox& out) {
  if (last_tick_ != TimePoint{} && now - last_tick_ > kPauseGap) ledger_.OnPause(now);
  last_tick_ = now;
  ledger_.Tick(now, out);
  if (settings_.detect_slow) detector_.Tick(now, table_);
  SendChanges(out);
  for (std::size_t i = 0; i < table_.services().size(); ++i) {
    own_load_[i] = LoadOf(now, table_.services()[i]);
  }
  if (now >= next_in_flight_) {
    next_in_flight_ = now + kInFlightInterval;
    SendInFlight(out);
  }
  if (IsCoordinator() && now >= next_load_) {
    next_load_ = now + kLoadInterval;
    SendLoad(now, out);
  }
}

std::vector<TargetId> Routing::TargetsToRelieve() const {
  std::vector<TargetId> targets;
  for (const TargetRow& row : table_.rows()) {
    if (SlowGroupDetector::ShouldMove(row)) targets.push_back(row.config.id);
  }
  return targets;
}

}  // namespace dogwoodport
