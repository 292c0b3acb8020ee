#include "dogwoodport/core/detail/systems.h"

#include <algorithm>
#include <iterator>
#include <type_traits>

namespace dogwoodport::detail {
namespace {

/// Allows three probes within the time after which the coordinator considers a target lost.
constexpr Duration kProbeInterval = kTargetLossTimeout / 4;
/// Maximum number of delegations of one data centre that are retained for the collection of orders.
constexpr std::size_t kMaxHistory = 64;
/// Time for which a takeover must stall before earlier groups are checked for lost majorities. A
/// takeover from running members needs only a few round trips.
constexpr Duration kTakeoverStall{3'000'000};

RoutingSettings MakeRoutingSettings(const InstanceIdentity& self) {
  RoutingSettings out;
  out.self = self.id;
  out.incarnation = self.incarnation;
  out.data_centre = self.data_centre;
  out.probes.normal = kProbeInterval;
  return out;
}

LimitSettings MakeLimitSettings(const InstanceIdentity& self) {
  LimitSettings out;
  out.self = self.id;
  out.incarnation = self.incarnation;
  out.data_centre = self.data_centre;
  return out;
}

template <typename T, typename List>
struct Contains;
template <typename T, typename... Ts>
struct Contains<T, TypeList<Ts...>> : std::disjunction<std::is_same<T, Ts>...> {};

template <typename T>
constexpr bool kIsGroupMessage =
    std::is_same_v<T, OrderWrite> || std::is_same_v<T, OrderWriteAck> ||
    std::is_same_v<T, OrderInstalled> || std::is_same_v<T, OrderCollect> ||
    std::is_same_v<T, OrderCollected> || std::is_same_v<T, OrderOutcome>;

}  // namespace

Systems::Systems(const SystemSettings& in, TimePoint now)
    : settings(in),
      membership(in.self, now),
      follower(in.self, in.name, now),
      proposer(in.self),
      ownership(in.self.id, in.self.incarnation, in.self.data_centre),
      routing(MakeRoutingSettings(in.self)),
      limits(MakeLimitSettings(in.self), now),
      secrets(in.secrets) {
  quarantine.SetInstances(in.peers);
}

Orders& Systems::OrdersOf(DataCentreId data_centre) {
  const auto it = orders_.find(data_centre);
  if (it != orders_.end()) return it->second;
  OrderSettings order_settings;
  order_settings.self = settings.self.id;
  order_settings.incarnation = settings.self.incarnation;
  order_settings.data_centre = data_centre;
  return orders_.emplace(data_centre, Orders(order_settings)).first->second;
}

void Systems::OnMessage(TimePoint now, InstanceId from, const Message& message, Outbox& out) {
  ownership.OnMessage(now, from, message, out);
  std::visit(
      [&](const auto& m) {
        using T = std::decay_t<decltype(m)>;
        if constexpr (std::is_same_v<T, ProbeResult>) {
          ownership.OnTargetReport(now, {m.target, m.reachable});
        }
        if constexpr (Contains<T, MembershipMessages>::value) {
          membership.OnMessage(now, from, m, out);
        } else if constexpr (Contains<T, StateMessages>::value) {
          follower.OnMessage(now, from, m, out);
        } else if constexpr (Contains<T, LimitMessages>::value) {
          limits.OnMessage(now, from, m, out);
        } else if constexpr (Contains<T, RoutingMessages>::value) {
          routing.OnMessage(now, from, m, out);
        } else if constexpr (kIsGroupMessage<T>) {
          OrdersOf(m.data_centre).OnMessage(now, from, m, out);
        } else if constexpr (std::is_same_v<T, OrderTransfer> ||
                             std::is_same_v<T, OrderTransferAck>) {
          OrdersOf(settings.self.data_centre).OnMessage(now, from, m, out);
        } else if constexpr (Contains<T, OrderMessages>::value) {
          quarantine.OnMessage(now, from, m, out);
        }
      },
      message);
  Sync(now, out);
}

void Systems::Tick(TimePoint now, std::int64_t unix_ms, bool leaving, Outbox& out) {
  unix_ms_ = unix_ms;
  const ControlState& state = follower.state();
  membership.SetStatus(state.next_offset(), follower.ready() && !leaving, leaving);
  membership.SetCoordinators(state.delegations());
  membership.Tick(now, out);
  if (membership.TakePause()) {
    limits.OnPause(now);
    proposer.OnPause();
  }
  follower.Tick(now, unix_ms, membership, out);
  Sync(now, out);
  if (const auto contact = follower.last_log_contact()) {
    ownership.OnLogContact(*contact);
    secrets.OnLogContact(*contact);
  }
  ownership.Tick(now, out);
  RecoverLostGroups(now, out);
  PropagatePermit(now);
  routing.Tick(now, out);
  limits.Tick(now, out);
  for (auto& [id, orders] : orders_) orders.Tick(now, out);
  quarantine.Tick(now, out);
  if (!leaving) Propose(now);
  SubmitRecords(now);
  SubmitQuarantine();
}

void Systems::RecoverLostGroups(TimePoint now, Outbox& out) {
  const auto history = history_.find(settings.self.data_centre);
  const bool collecting = ownership.coordinator().phase() == CoordinatorPhase::kCollecting;
  Orders& orders = OrdersOf(settings.self.data_centre);
  const bool stalled = history != history_.end() && (collecting || !orders.ready());
  if (!stalled) {
    takeover_since_.reset();
    return;
  }
  if (!takeover_since_) takeover_since_ = now;
  if (now < *takeover_since_ + kTakeoverStall) return;
  takeover_since_ = now;
  bool lost = false;
  for (std::size_t i = 1; i < history->second.size(); ++i) {
    const Delegation& group = history->second[i];
    if (!GroupLost(group)) continue;
    lost = true;
    if (collecting) ownership.OnGroupLost(now, group.offset, out);
  }
  if (lost && !orders.ready()) orders.OnRecordsLost(now, unix_ms_, out);
}

bool Systems::GroupLost(const Delegation& delegation) const {
  // By declaring a data centre lost, the operator confirms that its instances have ended.
  const DataCentreState state = follower.state().data_centre(delegation.data_centre).state;
  if (state == DataCentreState::kLost) return true;
  const auto ended = [this](const Member& m) {
    if (m.id == settings.self.id) return m.incarnation < settings.self.incarnation;
    const MemberInfo* info = membership.Find(m.id);
    return info != nullptr && m.incarnation < info->incarnation;
  };
  const auto running =
      delegation.members.size() - static_cast<std::size_t>(std::count_if(
                                      delegation.members.begin(), delegation.members.end(), ended));
  return running < MajorityOf(delegation);
}

void Systems::PropagatePermit(TimePoint now) {
  const Delegation* delegation = ownership.delegation();
  if (delegation == nullptr || !ownership.permit().ValidAt(now)) return;
  const TimePoint until = ownership.permit().valid_until();
  limits.OnPermit(now, delegation->offset, until);
  routing.OnPermit(until);
  OrdersOf(settings.self.data_centre).OnPermit(now, until);
}

void Systems::Sync(TimePoint now, Outbox& out) {
  const StateChanges changes = follower.TakeChanges();
  if (follower.state().config() != config_) SyncConfig(now);
  if (changes.replaced) SyncAll(now, out);
  for (const auto& [offset, record] : changes.applied) Apply(now, offset, record.body, out);
}

void Systems::SyncConfig(TimePoint now) {
  config_ = follower.state().config();
  ownership.OnConfig(now, *config_);
  routing.OnConfig(now, *config_);
  limits.OnConfig(now, *config_);
  secrets.OnConfig(*config_);
}

void Systems::SyncAll(TimePoint now, Outbox& out) {
  const ControlState& state = follower.state();
  for (const auto& [id, delegation] : state.delegations()) ApplyDelegation(now, delegation, out);
  std::map<DataCentreId, std::vector<Assignment>> assignments;
  for (const auto& [shard, entry] : state.assignments()) {
    assignments[entry.data_centre].push_back({shard, entry.target, entry.epoch});
  }
  for (const auto& [id, list] : assignments) ownership.RestoreAssignments(id, list);
  for (const DataCentreConfig& entry : config_->data_centres) {
    ApplyDataCentre(now, entry.id, state.data_centre(entry.id).state);
  }
  for (const TargetConfig& entry : config_->targets) {
    const bool draining = state.target(entry.id).state == TargetState::kDraining;
    ownership.OnTargetState(now, entry.id, draining);
    routing.OnTargetState(now, entry.id, draining);
  }
  for (const auto& [fingerprint, entry] : state.quarantined()) {
    quarantine.OnRecord({fingerprint}, entry.version, entry.state == QuarantineState::kQuarantined);
  }
}

void Systems::Apply(TimePoint now, std::uint64_t offset, const RecordBody& body, Outbox& out) {
  if (const auto* change = std::get_if<DelegationChange>(&body)) {
    ApplyDelegation(now, {change->data_centre, offset, change->members, change->coordinator}, out);
  } else if (const auto* batch = std::get_if<AssignmentBatch>(&body)) {
    ownership.OnAssignments(now, *batch);
  } else if (const auto* centre = std::get_if<DataCentreChange>(&body)) {
    ApplyDataCentre(now, DataCentreId::FromName(centre->data_centre), centre->state);
  } else if (const auto* target = std::get_if<TargetChange>(&body)) {
    const TargetId id = TargetId::FromName(target->target);
    const bool draining = target->state == TargetState::kDraining;
    ownership.OnTargetState(now, id, draining);
    routing.OnTargetState(now, id, draining);
  } else if (const auto* entry = std::get_if<QuarantineChange>(&body)) {
    quarantine.OnRecord({entry->fingerprint}, entry->expected_version + 1,
                        entry->state == QuarantineState::kQuarantined);
  }
}

void Systems::ApplyDelegation(TimePoint now, const Delegation& delegation, Outbox& out) {
  std::vector<Delegation>& history = history_[delegation.data_centre];
  const DelegationHistory kind =
      history.empty() ? DelegationHistory::kFirst : DelegationHistory::kReplacesEarlier;
  ownership.OnDelegation(now, delegation, out);
  routing.OnDelegation(now, delegation, kind);
  limits.OnDelegation(now, delegation);
  const bool member = std::any_of(delegation.members.begin(), delegation.members.end(),
                                  [this](const Member& m) { return m.id == settings.self.id; });
  if (member || delegation.data_centre == settings.self.data_centre) {
    OrdersOf(delegation.data_centre).OnDelegation(now, unix_ms_, delegation, history, out);
  }
  history.insert(history.begin(), delegation);
  if (history.size() > kMaxHistory) history.pop_back();
}

void Systems::ApplyDataCentre(TimePoint now, DataCentreId id, DataCentreState state) {
  ownership.OnDataCentreState(now, id, state);
  routing.OnDataCentreState(now, id, state == DataCentreState::kInService);
}

void Systems::Propose(TimePoint now) {
  const auto change = proposer.Tick(now, membership, follower.state());
  if (change) follower.Submit(settings.name, "members or coordinator changed", *change);
}

void Systems::SubmitRecords(TimePoint /*now*/) {
  OwnershipActions actions = ownership.TakeActions();
  std::move(actions.grants.begin(), actions.grants.end(), std::back_inserter(grants_));
  std::move(actions.records.begin(), actions.records.end(), std::back_inserter(unsubmitted_));
  while (!unsubmitted_.empty()) {
    RecordBody body =
        std::visit([](const auto& record) { return RecordBody(record); }, unsubmitted_.front());
    // The coordinator does not have the version of the list of splits, so it is filled in here.
    if (auto* split = std::get_if<ShardSplit>(&body)) {
      const SplitTable* table = follower.state().splits(split->service);
      split->expected_version = table == nullptr ? 0 : table->version;
    }
    if (!follower.Submit(settings.name, "committed by the permit group", std::move(body))) return;
    unsubmitted_.pop_front();
  }
}

void Systems::SubmitQuarantine() {
  for (const Fingerprint& fingerprint : quarantine.TakeAdded()) {
    const QuarantineEntry* entry = follower.state().quarantine(fingerprint.value);
    follower.Submit(settings.name, "two targets were lost with this request in flight",
                    QuarantineChange{fingerprint.value, entry == nullptr ? 0 : entry->version,
                                     QuarantineState::kQuarantined});
  }
}

void Systems::Shutdown(TimePoint now) {
  ownership.Shutdown();
  limits.OnPause(now);
}

bool Systems::Ready(TimePoint now) const {
  if (!follower.ready() || config().version == 0 || !ownership.permit().ValidAt(now)) return false;
  // A new instance has no share of the tokens until the permits of the previous delegation have
  // expired, and would refuse every request until then.
  const auto own =
      std::find_if(config().data_centres.begin(), config().data_centres.end(),
                   [this](const DataCentreConfig& d) { return d.id == settings.self.data_centre; });
  const bool has_share = own != config().data_centres.end() && own->rate_share > 0;
  return !has_share || limits.share() > 0;
}

std::vector<DataCentreId> Systems::InService() const {
  std::vector<DataCentreId> out;
  for (const DataCentreConfig& entry : config().data_centres) {
    if (follower.state().data_centre(entry.id).state == DataCentreState::kInService) {
      out.push_back(entry.id);
    }
  }
  return out;
}

}  // namespace dogwoodport::detail
