#include "dogwoodport/standin/ownership_world.h"

#include <algorithm>

namespace dogwoodport::standin {
namespace {

constexpr Duration kLogPollInterval{100'000};
constexpr Duration kProbeInterval{200'000};
constexpr Duration kSuperviseInterval{100'000};
constexpr std::size_t kMaxGroup = 7;
constexpr std::size_t kMaxViolations = 5;

std::string BootId(std::uint64_t boot) { return "boot-" + std::to_string(boot); }

}  // namespace

OwnershipWorld::OwnershipWorld(const WorldOptions& options)
    : options_(options),
      random_(options.seed),
      partitioned_(options.data_centres),
      newest_delegation_(options.data_centres),
      members_differ_since_(options.data_centres, Duration{-1}) {
  for (std::uint32_t i = 0; i < options.services; ++i) {
    const std::string name = "service-" + std::to_string(i);
    config_.services.push_back(
        {ServiceId::FromName(name), name, true, options.shards, options.on_isolation});
    MakeKeys(config_.services.back().id);
  }
  for (std::uint32_t d = 0; d < options.data_centres; ++d) {
    const std::string name = "dc-" + std::to_string(d);
    config_.data_centres.push_back(
        {DataCentreId::FromName(name), name, 1.0 / options.data_centres});
    for (std::uint32_t i = 0; i < options.instances; ++i) AddNode(d, i);
    for (std::uint32_t i = 0; i < options.targets; ++i) AddTarget(d, i);
  }
  for (std::size_t i = 0; i < nodes_.size(); ++i) Start(i);
  for (std::size_t d = 0; d < options.data_centres; ++d) WriteDelegation(d);
  At(kProbeInterval, [this] { Probe(); });
  At(kSuperviseInterval, [this] { Supervise(); });
  At(options_.check_interval, [this] { Check(); });
}

double OwnershipWorld::ClockRate() {
  return std::uniform_real_distribution<double>(1 - options_.drift, 1 + options_.drift)(random_);
}

void OwnershipWorld::AddNode(std::size_t d, std::uint32_t number) {
  Node node;
  node.id =
      InstanceId::FromName(config_.data_centres[d].name + "-instance-" + std::to_string(number));
  node.data_centre = d;
  node.clock_offset =
      std::uniform_int_distribution<std::int64_t>(1'000'000'000, 9'000'000'000)(random_);
  node.clock_rate = ClockRate();
  node_index_.emplace(node.id, nodes_.size());
  nodes_.push_back(std::move(node));
}

void OwnershipWorld::AddTarget(std::size_t d, std::uint32_t number) {
  TargetConfig config;
  config.name = config_.data_centres[d].name + "-target-" + std::to_string(number);
  config.id = TargetId::FromName(config.name);
  config.service = config_.services[number % options_.services].id;
  config.data_centre = config_.data_centres[d].id;
  const std::uint32_t every = options_.unchecked_every;
  config.checks_grants = every == 0 || (number / options_.services) % every != 0;
  Target target{config.id, d, config.checks_grants};
  target.clock_rate = ClockRate();
  target.booted_at = -Duration{3'600'000'000} * (number + 1);
  target_index_.emplace(target.id, targets_.size());
  targets_.push_back(std::move(target));
  config_.targets.push_back(std::move(config));
}

void OwnershipWorld::MakeKeys(ServiceId service) {
  std::set<std::uint32_t> covered;
  for (std::uint32_t i = 0; covered.size() < std::min(options_.shards, 64U); ++i) {
    Key key{service, "key-" + std::to_string(i)};
    key.hash = HashKey(key.text);
    if (!covered.insert(HashShard(key.hash, options_.shards)).second) continue;
    keys_.push_back(std::move(key));
  }
}

OwnershipWorld::~OwnershipWorld() = default;

void OwnershipWorld::At(Duration at, std::function<void()> run) {
  events_.push(Event{at, order_++, std::move(run)});
}

Duration OwnershipWorld::Delay() {
  std::uniform_int_distribution<std::int64_t> delay(options_.min_delay.count(),
                                                    options_.max_delay.count());
  const bool late = std::bernoulli_distribution(options_.late)(random_);
  const std::int64_t extra =
      late ? std::uniform_int_distribution<std::int64_t>(0, options_.late_delay.count())(random_)
           : 0;
  return Duration{delay(random_) + extra};
}

TimePoint OwnershipWorld::Clock(const Node& node) const {
  const double local = static_cast<double>(now_.count()) * node.clock_rate;
  return TimePoint{Duration{node.clock_offset + static_cast<std::int64_t>(local)}};
}

std::int64_t OwnershipWorld::TargetClockMs(const Target& target) const {
  const double local = static_cast<double>((now_ - target.booted_at).count()) * target.clock_rate;
  return static_cast<std::int64_t>(local / 1000);
}

bool OwnershipWorld::Connected(const Node& a, const Node& b) const {
  if (a.isolated || b.isolated) return false;
  return a.data_centre == b.data_centre ||
         (!partitioned_[a.data_centre] && !partitioned_[b.data_centre]);
}

bool OwnershipWorld::LogReachable(const Node& node) const {
  return log_up_ && !partitioned_[node.data_centre] && !node.isolated;
}

void OwnershipWorld::Run(Duration span) {
  const Duration end = now_ + span;
  while (!events_.empty() && events_.top().at <= end) {
    const Event event = events_.top();
    events_.pop();
    now_ = std::max(now_, event.at);
    event.run();
  }
  now_ = end;
}

bool OwnershipWorld::RunUntilServed(Duration limit) {
  for (const Duration end = now_ + limit; now_ < end;) {
    Run(options_.tick);
    if (UnservedKeys() == 0) return true;
  }
  return false;
}

void OwnershipWorld::Deliver(std::size_t index, std::uint64_t incarnation,
                             std::function<void()> run) {
  Node& node = nodes_[index];
  if (node.ownership == nullptr || node.incarnation != incarnation) return;
  if (Paused(node)) {
    node.backlog.push_back([this, index, incarnation, run = std::move(run)] {
      if (nodes_[index].incarnation == incarnation) run();
    });
    return;
  }
  run();
  if (node.ownership != nullptr) Act(index);
}

void OwnershipWorld::Start(std::size_t index) {
  Node& node = nodes_[index];
  ++node.incarnation;
  node.ownership = std::make_unique<Ownership>(node.id, Incarnation{node.incarnation},
                                               config_.data_centres[node.data_centre].id,
                                               options_.settings, true);
  node.ownership->OnConfig(Clock(node), config_);
  node.log_position = 0;
  node.backlog.clear();
  node.paused_until = Duration{};
  const std::uint64_t incarnation = node.incarnation;
  const Duration phase{
      std::uniform_int_distribution<std::int64_t>(0, options_.tick.count())(random_)};
  At(now_ + phase, [this, index, incarnation] { TickNode(index, incarnation); });
  At(now_ + phase, [this, index, incarnation] { ReadLog(index, incarnation); });
}

void OwnershipWorld::TickNode(std::size_t index, std::uint64_t incarnation) {
  if (nodes_[index].incarnation != incarnation || !up(index)) return;
  Deliver(index, incarnation, [this, index] {
    Outbox out;
    nodes_[index].ownership->Tick(Clock(nodes_[index]), out);
    Send(index, out);
  });
  const Duration next = std::max(now_ + options_.tick, nodes_[index].paused_until);
  At(next, [this, index, incarnation] { TickNode(index, incarnation); });
}

void OwnershipWorld::ReadLog(std::size_t index, std::uint64_t incarnation) {
  Node& node = nodes_[index];
  if (node.incarnation != incarnation || !up(index)) return;
  const TimePoint contact = Clock(node);
  if (LogReachable(node) && !Paused(node)) {
    const std::size_t end = log_.size();
    At(now_ + options_.log_delay, [this, index, incarnation, end, contact] {
      Deliver(index, incarnation, [this, index, end, contact] {
        Node& reader = nodes_[index];
        while (reader.log_position < end) Apply(index, log_[reader.log_position++]);
        reader.ownership->OnLogContact(contact);
      });
    });
  }
  At(now_ + kLogPollInterval, [this, index, incarnation] { ReadLog(index, incarnation); });
}

void OwnershipWorld::Apply(std::size_t index, const LogRecord& record) {
  Ownership& ownership = *nodes_[index].ownership;
  const TimePoint now = Clock(nodes_[index]);
  Outbox out;
  if (const auto* delegation = std::get_if<Delegation>(&record)) {
    ownership.OnDelegation(now, *delegation, out);
  } else if (const auto* assignments = std::get_if<AssignmentBatch>(&record)) {
    ownership.OnAssignments(now, *assignments);
  } else if (const auto* state = std::get_if<StateRecord>(&record)) {
    ownership.OnDataCentreState(now, state->data_centre, state->state);
  } else if (const auto* target = std::get_if<TargetRecord>(&record)) {
    ownership.OnTargetState(now, target->target, target->draining);
  }
  Send(index, out);
}

void OwnershipWorld::Send(std::size_t from, Outbox& out) {
  for (const Envelope& envelope : out.Take()) {
    ++messages_;
    const std::size_t to = node_index_.at(envelope.to);
    const bool twice = std::bernoulli_distribution(options_.duplication)(random_);
    for (int copy = 0; copy < (twice ? 2 : 1); ++copy) {
      if (std::bernoulli_distribution(options_.loss)(random_)) continue;
      if (!Connected(nodes_[from], nodes_[to])) continue;
      const InstanceId sender = nodes_[from].id;
      // A message may reach a later incarnation of its receiver.
      At(now_ + Delay(), [this, from, to, sender, message = envelope.message] {
        if (!up(to) || !Connected(nodes_[from], nodes_[to])) return;
        Deliver(to, nodes_[to].incarnation, [this, to, sender, message] {
          Outbox answers;
          nodes_[to].ownership->OnMessage(Clock(nodes_[to]), sender, message, answers);
          Send(to, answers);
        });
      });
    }
  }
}

void OwnershipWorld::Act(std::size_t from) {
  OwnershipActions actions = nodes_[from].ownership->TakeActions();
  for (const GrantRequest& request : actions.grants) SendGrant(from, request);
  for (const OwnershipRecord& record : actions.records) {
    const auto* assignments = std::get_if<AssignmentBatch>(&record);
    if (assignments == nullptr || !LogReachable(nodes_[from])) continue;
    At(now_ + options_.log_delay, [this, record = *assignments] {
      if (log_up_) log_.emplace_back(record);
    });
  }
}

void OwnershipWorld::SendGrant(std::size_t from, const GrantRequest& request) {
  const std::size_t target = target_index_.at(request.target);
  const std::uint64_t incarnation = nodes_[from].incarnation;
  if (nodes_[from].isolated || std::bernoulli_distribution(options_.loss)(random_)) return;
  At(now_ + Delay(),
     [this, from, incarnation, target, request] { TakeGrant(from, incarnation, target, request); });
}

void OwnershipWorld::TakeGrant(std::size_t from, std::uint64_t incarnation, std::size_t index,
                               const GrantRequest& request) {
  Target& target = targets_[index];
  if (target.frozen) {
    target.backlog.push_back([this, from, incarnation, index, request] {
      TakeGrant(from, incarnation, index, request);
    });
    return;
  }
  const GrantReply reply{target.id, request.request, BootId(target.boot), TargetClockMs(target)};
  for (const Grant& grant : request.grants) {
    if (request.boot_id != reply.boot_id) break;
    HeldGrant& held = target.grants[grant.shard];
    if (grant.epoch < held.epoch) continue;
    const bool extends = grant.epoch == held.epoch;
    held.expires_at_ms =
        extends ? std::max(held.expires_at_ms, grant.expires_at_ms) : grant.expires_at_ms;
    held.epoch = grant.epoch;
  }
  if (std::bernoulli_distribution(options_.loss)(random_)) return;
  At(now_ + Delay(), [this, from, incarnation, reply] {
    if (nodes_[from].isolated) return;
    Deliver(from, incarnation, [this, from, reply] {
      nodes_[from].ownership->OnGrantReply(Clock(nodes_[from]), reply);
    });
  });
}

void OwnershipWorld::Probe() {
  for (const Target& target : targets_) {
    const bool success = !target.frozen;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (nodes_[i].data_centre != target.data_centre || !up(i) || nodes_[i].isolated) continue;
      const TargetReport report{target.id, success};
      At(now_ + Delay(), [this, i, incarnation = nodes_[i].incarnation, report] {
        Deliver(i, incarnation, [this, i, report] {
          nodes_[i].ownership->OnTargetReport(Clock(nodes_[i]), report);
        });
      });
    }
  }
  At(now_ + kProbeInterval, [this] { Probe(); });
}

std::size_t OwnershipWorld::CoordinatorOf(std::size_t data_centre) const {
  const auto& delegation = std::get<Delegation>(log_[newest_delegation_[data_centre] - 1]);
  return node_index_.at(delegation.coordinator);
}

std::size_t OwnershipWorld::TargetIndex(TargetId id) const { return target_index_.at(id); }

void OwnershipWorld::Supervise() {
  At(now_ + kSuperviseInterval, [this] { Supervise(); });
  if (!options_.propose_delegations) return;
  for (std::size_t d = 0; d < partitioned_.size(); ++d) {
    const auto& delegation = std::get<Delegation>(log_[newest_delegation_[d] - 1]);
    const auto usable = [&](const Member& member) {
      const Node& node = nodes_[node_index_.at(member.id)];
      const bool same = node.incarnation == member.incarnation.value && node.ownership != nullptr;
      return same && !node.isolated && !Paused(node);
    };
    const std::size_t count = static_cast<std::size_t>(
        std::count_if(delegation.members.begin(), delegation.members.end(), usable));
    std::size_t available = 0;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      const Node& node = nodes_[i];
      available += node.data_centre == d && up(i) && !node.isolated && !Paused(node) ? 1 : 0;
    }
    const bool as_named =
        count == delegation.members.size() && count == std::min(available, kMaxGroup);
    if (as_named || available == 0) {
      members_differ_since_[d] = Duration{-1};
      continue;
    }
    if (members_differ_since_[d] < Duration{}) members_differ_since_[d] = now_;
    const Duration silence = now_ - members_differ_since_[d];
    const Duration due = options_.settings.coordinator_timeout + options_.settings.proposer_delay;
    if (silence < due || !log_up_ || partitioned_[d]) continue;
    members_differ_since_[d] = Duration{-1};
    At(now_ + options_.log_delay, [this, d] { WriteDelegation(d); });
  }
}

void OwnershipWorld::WriteDelegation(std::size_t d, std::optional<std::size_t> coordinator) {
  Delegation delegation;
  delegation.data_centre = config_.data_centres[d].id;
  delegation.offset = log_.size() + 1;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    const Node& node = nodes_[i];
    if (node.data_centre != d || !up(i) || node.isolated || Paused(node)) continue;
    if (delegation.members.size() == kMaxGroup) break;
    delegation.members.push_back({node.id, Incarnation{node.incarnation}});
    if (coordinator == i) delegation.coordinator = node.id;
  }
  if (delegation.members.empty()) return;
  if (delegation.coordinator.value == 0) {
    delegation.coordinator = delegation.members.front().id;
    if (newest_delegation_[d] != 0) {
      const InstanceId old = nodes_[CoordinatorOf(d)].id;
      if (FindMember(delegation, old) != nullptr) delegation.coordinator = old;
    }
  }
  log_.emplace_back(delegation);
  newest_delegation_[d] = log_.size();
}

bool OwnershipWorld::MajorityGone(const Delegation& delegation) const {
  const auto gone = [this](const Member& member) {
    const Node& node = nodes_[node_index_.at(member.id)];
    return node.ownership == nullptr || node.incarnation != member.incarnation.value;
  };
  const auto lost = std::count_if(delegation.members.begin(), delegation.members.end(), gone);
  return delegation.members.size() - static_cast<std::size_t>(lost) < MajorityOf(delegation);
}

bool OwnershipWorld::DeclareLostGroups(std::size_t d) {
  bool declared = false;
  for (std::size_t offset = 1; offset < newest_delegation_[d]; ++offset) {
    const auto* delegation = std::get_if<Delegation>(&log_[offset - 1]);
    if (delegation == nullptr || delegation->data_centre != config_.data_centres[d].id) continue;
    if (!MajorityGone(*delegation)) continue;
    declared = true;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (!up(i)) continue;
      Outbox out;
      nodes_[i].ownership->OnGroupLost(Clock(nodes_[i]), offset, out);
      Send(i, out);
    }
  }
  // What the lost group committed and the log does not have is gone with it.
  if (declared) std::erase_if(committed_, [d](const auto& item) { return item.first.first == d; });
  return declared;
}

void OwnershipWorld::Crash(std::size_t instance) { nodes_[instance].ownership.reset(); }

void OwnershipWorld::Restart(std::size_t instance) { Start(instance); }

void OwnershipWorld::Pause(std::size_t index, Duration span) {
  Node& node = nodes_[index];
  node.paused_until = std::max(node.paused_until, now_ + span);
  At(node.paused_until, [this, index, incarnation = node.incarnation] {
    Node& resumed = nodes_[index];
    if (resumed.incarnation != incarnation || Paused(resumed) || !up(index)) return;
    for (const auto& run : std::exchange(resumed.backlog, {})) run();
    Act(index);
  });
}

void OwnershipWorld::Isolate(std::size_t instance, bool isolated) {
  nodes_[instance].isolated = isolated;
}

void OwnershipWorld::Partition(std::size_t data_centre, bool partitioned) {
  partitioned_[data_centre] = partitioned;
}

void OwnershipWorld::Freeze(std::size_t target, bool frozen) {
  targets_[target].frozen = frozen;
  if (frozen) return;
  for (const auto& run : std::exchange(targets_[target].backlog, {})) run();
}

void OwnershipWorld::RestartTarget(std::size_t target) {
  targets_[target].grants.clear();
  targets_[target].booted_at = now_;
  ++targets_[target].boot;
}

void OwnershipWorld::WriteState(std::size_t data_centre, DataCentreState state) {
  log_.emplace_back(StateRecord{config_.data_centres[data_centre].id, state});
}

void OwnershipWorld::WriteTargetState(std::size_t target, bool draining) {
  log_.emplace_back(TargetRecord{targets_[target].id, draining});
}

void OwnershipWorld::Violate(const std::string& text) {
  if (violations_.size() >= kMaxViolations) return;
  violations_.push_back("at " + std::to_string(now_.count() / 1000) + " ms: " + text);
}

void OwnershipWorld::Check() {
  At(now_ + options_.check_interval, [this] { Check(); });
  CheckCommitted();
  for (std::uint32_t i = 0; i < options_.requests; ++i) Request();
  CheckRouting();
  CheckTargets();
}

void OwnershipWorld::CheckRouting() {
  for (Key& key : keys_) {
    const LocalOwner* first = nullptr;
    Owner owner;
    for (Node& node : nodes_) {
      if (node.ownership == nullptr) continue;
      const Owner seen = node.ownership->FindOwnerByHash(Clock(node), key.service, key.hash);
      const auto* local = std::get_if<LocalOwner>(&seen);
      if (local == nullptr) continue;
      if (first != nullptr && first->target != local->target) {
        Violate("two instances route " + key.text + " to different targets");
      }
      owner = seen;
      first = std::get_if<LocalOwner>(&owner);
    }
    if (Serves(key)) {
      key.unserved_since.reset();
      continue;
    }
    if (!key.unserved_since) key.unserved_since = now_;
    key.unavailable.longest = std::max(key.unavailable.longest, now_ - *key.unserved_since);
    key.unavailable.total += options_.check_interval;
  }
}

bool OwnershipWorld::Serves(const Key& key) {
  for (Node& node : nodes_) {
    if (node.ownership == nullptr || Paused(node) || node.isolated) continue;
    const Owner owner = node.ownership->FindOwnerByHash(Clock(node), key.service, key.hash);
    const auto* local = std::get_if<LocalOwner>(&owner);
    if (local == nullptr) continue;
    const Target& target = targets_[target_index_.at(local->target)];
    if (target.frozen) continue;
    if (!target.checks) return true;
    const auto grant = target.grants.find(local->shard);
    if (grant == target.grants.end() || grant->second.epoch != local->epoch) continue;
    if (grant->second.expires_at_ms > TargetClockMs(target)) return true;
  }
  return false;
}

void OwnershipWorld::CheckTargets() {
  std::map<ShardId, TargetId> holders;
  for (const Target& target : targets_) {
    for (const auto& [shard, grant] : target.grants) {
      // Shards of single keys are numbered by each data centre on its own.
      if (shard.index >= kFirstSingleKeyShard && partitioned_.size() > 1) continue;
      if (!target.checks || grant.expires_at_ms <= TargetClockMs(target)) continue;
      const auto [it, is_new] = holders.emplace(shard, target.id);
      if (!is_new) Violate("two targets hold grants of shard " + std::to_string(shard.index));
    }
  }
}

void OwnershipWorld::CheckCommitted() {
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (!up(i)) continue;
    const Coordinator& coordinator = nodes_[i].ownership->coordinator();
    if (coordinator.phase() != CoordinatorPhase::kActive) continue;
    const std::size_t d = nodes_[i].data_centre;
    const ShardMap& table = coordinator.table();
    for (const auto& [id, assignment] : committed_) {
      const auto& [data_centre, shard] = id;
      const std::uint64_t delegation = table.sequence().delegation;
      if (data_centre != d || delegation < assignment.epoch.delegation) continue;
      const ShardEntry* entry = table.Get(shard);
      const bool kept = entry != nullptr && entry->state != ShardState::kUnassigned;
      if (kept && entry->epoch < assignment.epoch) {
        Violate("assignment " + ToString(assignment.epoch) + " of shard " +
                std::to_string(shard.index) + " was replaced by " + ToString(entry->epoch));
      }
      const bool ours =
          nodes_[i].ownership->homes().Home(shard).holder() == config_.data_centres[d].id;
      if (!kept && ours && shard.index < kFirstSingleKeyShard && assignment.target.value != 0) {
        Violate("assignment of shard " + std::to_string(shard.index) + " was lost");
      }
    }
    const bool recorded = coordinator.MajorityRecorded() >= table.sequence();
    if (!recorded) continue;
    std::erase_if(committed_, [&](const auto& item) {
      const ShardEntry* entry = table.Get(item.first.second);
      return item.first.first == d && (entry == nullptr || entry->state == ShardState::kUnassigned);
    });
    table.ForEach([&](ShardId shard, const ShardEntry& entry) {
      if (entry.state != ShardState::kCommitted) return;
      Assignment& known = committed_[{d, shard}];
      if (known.epoch < entry.epoch) known = {shard, entry.target, entry.epoch};
    });
  }
}

void OwnershipWorld::Request() {
  const std::size_t i = random_() % nodes_.size();
  Node& node = nodes_[i];
  if (!up(i) || Paused(node)) return;
  const Key& known = keys_[random_() % keys_.size()];
  const std::string key = choose_key_ ? choose_key_(random_) : known.text;
  const Owner owner = node.ownership->FindOwner(Clock(node), known.service, key);
  const auto* found = std::get_if<LocalOwner>(&owner);
  if (found == nullptr) return;
  node.ownership->CountRequest(known.service, HashKey(key), found->shard);
  // The instance may be paused between the look-up and the write.
  At(now_ + Delay(), [this, i, incarnation = node.incarnation, local = *found] {
    Deliver(i, incarnation, [this, i, local] {
      if (!nodes_[i].ownership->MayWrite(Clock(nodes_[i]), local)) return;
      ++executed_[local.target];
      const Target& target = targets_[target_index_.at(local.target)];
      const auto it = committed_.find({nodes_[i].data_centre, local.shard});
      if (target.checks || it == committed_.end()) return;
      if (it->second.epoch > local.epoch && it->second.target != local.target) {
        Violate("a target without grants ran a request after shard " +
                std::to_string(local.shard.index) + " had another owner");
      }
    });
  });
}

void OwnershipWorld::ResetUnavailability() {
  for (Key& key : keys_) {
    key.unavailable = {};
    key.unserved_since.reset();
  }
}

Unavailability OwnershipWorld::WorstUnavailability() const {
  Unavailability worst;
  for (const Key& key : keys_) {
    worst.longest = std::max(worst.longest, key.unavailable.longest);
    worst.total = std::max(worst.total, key.unavailable.total);
  }
  return worst;
}

std::size_t OwnershipWorld::UnservedKeys() {
  return static_cast<std::size_t>(
      std::count_if(keys_.begin(), keys_.end(), [this](const Key& key) { return !Serves(key); }));
}

std::vector<TargetId> OwnershipWorld::Owners() {
  std::vector<TargetId> owners;
  for (const Key& key : keys_) {
    TargetId target;
    for (Node& node : nodes_) {
      if (node.ownership == nullptr || node.isolated) continue;
      const Owner owner = node.ownership->FindOwnerByHash(Clock(node), key.service, key.hash);
      if (const auto* local = std::get_if<LocalOwner>(&owner)) target = local->target;
    }
    owners.push_back(target);
  }
  return owners;
}

}  // namespace dogwoodport::standin
