#include "dogwoodport/core/ownership.h"

#include <algorithm>
#include <array>

namespace dogwoodport {
namespace {

/// Maximum numbers of keys and shards in one load report.
constexpr std::size_t kReportedKeys = 32;
constexpr std::size_t kReportedShards = 64;

}  // namespace

std::string_view ToString(NoOwnerReason reason) noexcept {
  static constexpr std::array<std::string_view, 8> kNames = {
      "unknown_service", "no_home",   "home_lost", "declared_lost",
      "isolated",        "no_permit", "moving",    "unassigned"};
  return kNames.at(static_cast<std::size_t>(reason));
}

Ownership::Ownership(InstanceId self, Incarnation incarnation, DataCentreId data_centre,
                     OwnershipSettings settings, bool test_settings)
    : self_(self),
      incarnation_(incarnation),
      data_centre_(data_centre),
      settings_(settings),
      permit_(data_centre, incarnation, settings_),
      coordinator_(data_centre, self, incarnation, settings_) {
  if (!test_settings) settings_.Validate();
}

template <typename Handler>
void Ownership::Run(TimePoint now, Outbox& out, Handler&& handler) {
  Outbox local;
  handler(local);
  Flush(now, local, out);
}

void Ownership::Flush(TimePoint now, Outbox& local, Outbox& out) {
  while (!local.empty()) {
    for (Envelope& envelope : local.Take()) {
      if (envelope.to == self_) {
        Dispatch(now, self_, envelope.message, local);
      } else {
        out.Send(envelope.to, std::move(envelope.message));
      }
    }
  }
}

void Ownership::OnMessage(TimePoint now, InstanceId from, const Message& message, Outbox& out) {
  Run(now, out, [&](Outbox& local) { Dispatch(now, from, message, local); });
}

PermitGroup& Ownership::GroupOf(DataCentreId data_centre) {
  return groups_.try_emplace(data_centre, data_centre, self_, incarnation_, settings_)
      .first->second;
}

namespace {

template <typename... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

}  // namespace

void Ownership::Dispatch(TimePoint now, InstanceId from, const Message& message, Outbox& out) {
  const auto own = [this](DataCentreId id) { return id == data_centre_; };
  if (delegation() != nullptr && from == delegation()->coordinator) coordinator_seen_at_ = now;
  std::visit(
      Overloaded{
          [&](const RenewRequest& m) { GroupOf(m.data_centre).OnMessage(now, from, m, out); },
          [&](const RenewAck& m) {
            if (own(m.data_centre)) permit_.OnMessage(now, from, m, out);
          },
          [&](const TableRequest& m) { GroupOf(m.data_centre).OnMessage(from, m, out); },
          [&](const TableReply& m) {
            if (own(m.data_centre)) permit_.OnMessage(now, from, m);
          },
          [&](const ReplicateRequest& m) {
            GroupOf(m.data_centre).OnMessage(m);
            if (own(m.data_centre)) permit_.ApplyChanges(m.previous, m.changes);
            Acknowledge(now, from, m.data_centre, m.delegation, out);
          },
          [&](const InstallRequest& m) {
            if (!GroupOf(m.data_centre).OnMessage(m)) return;
            if (own(m.data_centre)) permit_.OnDelegation(m.delegation);
            Acknowledge(now, from, m.data_centre, m.delegation.offset, out);
          },
          [&](const TakeoverRequest& m) { GroupOf(m.data_centre).OnMessage(from, m, out); },
          [&](const TakeoverReply& m) {
            if (own(m.data_centre)) coordinator_.OnMessage(now, from, m, out);
          },
          [&](const ReplicateAck& m) {
            if (own(m.data_centre)) coordinator_.OnMessage(now, from, m, out);
          },
          [&](const ShardLoadReport& m) {
            if (own(m.data_centre)) coordinator_.OnMessage(now, from, m);
          },
          [](const auto&) {}},
      message);
}

void Ownership::Acknowledge(TimePoint now, InstanceId to, DataCentreId data_centre,
                            std::uint64_t delegation, Outbox& out) {
  const PermitGroup& group = GroupOf(data_centre);
  ReplicateAck ack{data_centre, delegation, incarnation_, group.RecordedFor(delegation), {}, {}};
  if (data_centre == data_centre_) {
    const Epoch recorded = group.table().sequence();
    // As a member this instance may have newer changes than its permit; installing them saves a
    // table request.
    if (recorded > permit_.table().sequence()) {
      permit_.InstallTable(recorded, group.table().Export());
    }
    ack.applied = permit_.Applied(now);
  }
  if (ack.recorded != Epoch{}) ack.holders = group.Holders(now);
  out.Send(to, std::move(ack));
}

void Ownership::Tick(TimePoint now, Outbox& out) {
  if (last_tick_ != TimePoint{} && now - last_tick_ > settings_.pause_gap) {
    permit_.Drop();
    leases_.Clear();
    coordinator_.OnPause(now);
  }
  last_tick_ = now;
  Run(now, out, [&](Outbox& local) {
    permit_.Tick(now, local);
    Flush(now, local, out);
    const std::uint64_t newest = delegation() == nullptr ? 0 : delegation()->offset;
    const CoordinatorView view{
        config_, homes_,      data_centres_, draining_, checking_targets_, permit_.valid_until(),
        newest,  log_contact_};
    coordinator_.Tick(now, view, leases_, local, actions_);
    ReportLoad(now, local);
  });
  RenewLeases(now);
}

void Ownership::OnDelegation(TimePoint now, const Delegation& delegation, Outbox& out) {
  std::uint64_t& newest = newest_delegation_[delegation.data_centre];
  newest = std::max(newest, delegation.offset);
  if (delegation.data_centre != data_centre_) return;
  permit_.OnDelegation(delegation);
  if (coordinator_seen_at_ == TimePoint{}) coordinator_seen_at_ = now;
  Run(now, out, [&](Outbox& local) { coordinator_.OnDelegation(now, delegation, local); });
}

void Ownership::OnConfig(TimePoint /*now*/, Config config) {
  config_ = std::move(config);
  service_index_.clear();
  for (std::size_t i = 0; i < config_.services.size(); ++i) {
    const ServiceConfig& service = config_.services[i];
    service_index_.emplace(service.id, i);
    if (service.keyed) permit_.table().SetShardCount(service.id, service.shard_count);
  }
  checking_targets_.clear();
  for (const TargetConfig& target : config_.targets) {
    if (target.checks_grants) checking_targets_.insert(target.id);
  }
}

void Ownership::OnDataCentreState(TimePoint now, DataCentreId data_centre, DataCentreState state) {
  const auto it = data_centres_.find(data_centre);
  if (it != data_centres_.end() && it->second.state == state) return;
  data_centres_[data_centre] = CoordinatorView::DataCentreEntry{state, now};
}

void Ownership::OnTargetState(TimePoint /*now*/, TargetId target, bool draining) {
  if (draining) {
    draining_.insert(target);
  } else {
    draining_.erase(target);
  }
}

const ServiceConfig* Ownership::FindService(ServiceId id) const noexcept {
  const auto it = service_index_.find(id);
  return it == service_index_.end() ? nullptr : &config_.services[it->second];
}

bool Ownership::MayHold(DataCentreId home, ServiceId service) const {
  if (home.value == 0) return false;
  const auto it = data_centres_.find(home);
  if (it == data_centres_.end()) return true;
  if (it->second.state == DataCentreState::kLost) return false;
  if (it->second.state != DataCentreState::kYielded) return true;
  const ServiceConfig* config = FindService(service);
  return config == nullptr || std::holds_alternative<HoldOnIsolation>(config->on_isolation);
}

void Ownership::OnAssignments(TimePoint /*now*/, const AssignmentBatch& record) {
  const auto newest = newest_delegation_.find(record.data_centre);
  // A record of a replaced coordinator may contain shards that its successor has reassigned.
  if (newest == newest_delegation_.end() || newest->second != record.delegation) return;
  std::vector<Assignment> own;
  for (const Assignment& move : record.moves) {
    const ShardHome home = homes_.Home(move.shard);
    if (home.data_centre == record.data_centre) {
      // A duplicate append must not revert a later record.
      if (move.epoch <= home.epoch) continue;
    } else if (MayHold(home.holder(), move.shard.service)) {
      continue;
    }
    homes_.Set(move.shard, {record.data_centre, move.epoch, move.target.value == 0});
    own.push_back(move);
  }
  if (record.data_centre != data_centre_) return;
  coordinator_.OnRecorded(own);
  coordinator_.OnActivated(record.delegation);
}

void Ownership::RestoreAssignments(DataCentreId data_centre,
                                   const std::vector<Assignment>& assignments) {
  for (const Assignment& a : assignments) {
    homes_.Set(a.shard, {data_centre, a.epoch, a.target.value == 0});
  }
  if (data_centre == data_centre_) coordinator_.OnRecorded(assignments);
}

void Ownership::OnLogContact(TimePoint contact) noexcept {
  log_contact_ = std::max(log_contact_, contact);
}

void Ownership::OnGroupLost(TimePoint now, std::uint64_t offset, Outbox& out) {
  Run(now, out, [&](Outbox& local) { coordinator_.OnGroupLost(now, offset, local); });
}

void Ownership::OnTargetReport(TimePoint now, const TargetReport& report) {
  coordinator_.OnTargetReport(now, report);
}

void Ownership::OnGrantReply(TimePoint now, const GrantReply& reply) {
  if (leases_.OnReply(now, reply)) coordinator_.OnGrantReply(reply.request);
}

Owner Ownership::FindOwner(TimePoint now, ServiceId service, std::string_view key) const noexcept {
  return FindOwnerByHash(now, service, HashKey(key));
}

NoOwnerReason Ownership::UnservedReason(ShardState state) const noexcept {
  return state == ShardState::kPrepared ? NoOwnerReason::kMoving : NoOwnerReason::kUnassigned;
}

Owner Ownership::FindOwnerByHash(TimePoint now, ServiceId service,
                                 std::uint64_t key_hash) const noexcept {
  const ServiceConfig* config = FindService(service);
  if (config == nullptr || !config->keyed || config->shard_count == 0) {
    return NoOwner{NoOwnerReason::kUnknownService};
  }
  const ShardId base{service, HashShard(key_hash, config->shard_count)};
  const DataCentreId home = homes_.Home(base).holder();
  if (home.value == 0) return NoOwner{NoOwnerReason::kNoHome};
  if (!MayHold(home, service)) {
    return NoOwner{home == data_centre_ ? NoOwnerReason::kDeclaredLost : NoOwnerReason::kHomeLost};
  }
  if (home != data_centre_) return RemoteHome{home};
  if (IsIsolated(now, *config, log_contact_)) return NoOwner{NoOwnerReason::kIsolated};
  if (!permit_.ValidAt(now)) return NoOwner{NoOwnerReason::kNoPermit};
  const ShardRef ref = permit_.table().Find(service, key_hash);
  if (ref.entry == nullptr || ref.entry->state != ShardState::kCommitted) {
    return NoOwner{
        UnservedReason(ref.entry == nullptr ? ShardState::kUnassigned : ref.entry->state)};
  }
  return LocalOwner{ref.shard, ref.entry->target, ref.entry->epoch, permit_.valid_until()};
}

bool Ownership::MayWrite(TimePoint now, const LocalOwner& owner) const noexcept {
  if (!permit_.ValidAt(now)) return false;
  const ShardEntry* entry = permit_.table().Get(owner.shard);
  if (entry == nullptr || entry->state != ShardState::kCommitted || entry->epoch != owner.epoch) {
    return false;
  }
  return MayServe(now, owner.shard, entry->key_hash);
}

void Ownership::OnRequestStarted(const LocalOwner& owner) {
  permit_.requests().Start(owner.shard, owner.epoch);
}

void Ownership::OnRequestEnded(const LocalOwner& owner, TimePoint until) {
  permit_.requests().End(owner.shard, owner.epoch, until);
}

void Ownership::CountRequest(ServiceId service, std::uint64_t key_hash, ShardId shard) {
  ServiceCounts& counts = counts_[service];
  counts.keys.Add(key_hash);
  ++counts.shards[shard.index];
}

void Ownership::ReportLoad(TimePoint now, Outbox& out) {
  if (now < next_load_report_ || delegation() == nullptr) return;
  next_load_report_ = now + settings_.load_report_interval;
  for (auto& [service, counts] : counts_) {
    if (counts.keys.total() == 0) continue;
    ShardLoadReport report{
        data_centre_, service, counts.keys.total(), counts.keys.Top(kReportedKeys), {}};
    for (const auto& [index, count] : counts.shards) report.shards.push_back({index, count});
    const std::size_t n = std::min(kReportedShards, report.shards.size());
    std::partial_sort(report.shards.begin(), report.shards.begin() + static_cast<std::ptrdiff_t>(n),
                      report.shards.end(),
                      [](const LoadCount& a, const LoadCount& b) { return a.count > b.count; });
    report.shards.resize(n);
    out.Send(delegation()->coordinator, std::move(report));
    counts.keys.Clear();
    counts.shards.clear();
  }
}

bool Ownership::MayServe(TimePoint now, ShardId shard, std::uint64_t key_hash) const {
  const ServiceConfig* config = FindService(shard.service);
  if (config == nullptr || IsIsolated(now, *config, log_contact_)) return false;
  const std::uint32_t base = key_hash == 0 ? shard.index : HashShard(key_hash, config->shard_count);
  const DataCentreId home = homes_.Home(ShardId{shard.service, base}).holder();
  return home == data_centre_ && MayHold(home, shard.service);
}

void Ownership::RenewLeases(TimePoint now) {
  const Delegation* current = delegation();
  if (current == nullptr || now < next_lease_renewal_ || !permit_.ValidAt(now)) return;
  const bool coordinates = current->coordinator == self_;
  const Member* member = FindMember(*current, self_);
  const bool acts_for_coordinator = member != nullptr && !member->witness &&
                                    now - coordinator_seen_at_ > settings_.lease_takeover_timeout;
  if (!coordinates && !acts_for_coordinator) return;
  next_lease_renewal_ = now + settings_.renewal_interval;
  std::unordered_map<TargetId, std::vector<std::pair<ShardId, Epoch>>> shards;
  permit_.table().ForEach([&](ShardId shard, const ShardEntry& entry) {
    if (entry.state != ShardState::kCommitted || !checking_targets_.contains(entry.target)) return;
    if (!MayServe(now, shard, entry.key_hash)) return;
    shards[entry.target].emplace_back(shard, entry.epoch);
  });
  const TimePoint ends_at = std::min(permit_.valid_until(), now + settings_.permit_duration);
  for (const auto& [target, list] : shards) {
    GrantRequest request = leases_.Extend(now, ends_at, target, list);
    // Only a clock reading was requested; the leases follow after its response.
    if (request.grants.empty()) next_lease_renewal_ = now + settings_.resend_interval;
    actions_.grants.push_back(std::move(request));
  }
}

void Ownership::Shutdown() { permit_.Drop(); }

std::size_t Ownership::MemoryBytes() const noexcept {
  std::size_t bytes = permit_.table().MemoryBytes() + coordinator_.MemoryBytes() +
                      homes_.MemoryBytes() + counts_.size() * sizeof(ServiceCounts);
  for (const auto& [id, group] : groups_) bytes += group.MemoryBytes();
  for (const auto& [id, counts] : counts_) {
    bytes += counts.shards.size() * sizeof(std::pair<std::uint32_t, std::uint64_t>);
  }
  return bytes;
}

}  // namespace dogwoodport
