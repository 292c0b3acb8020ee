#include "soak/faults.h"

#include <csignal>
#include <ostream>

namespace dogwoodport::soak {

using platform::standin::LocalFleet;
using platform::standin::ProxyFaults;
using platform::standin::StoreMode;
using platform::standin::TargetFaults;

namespace {

/// Requests that crash their targets: interval between them, number of services that receive them,
/// and number of different requests per service.
constexpr Duration kCrashingRequestInterval{900'000};
constexpr std::size_t kCrashingRequestServices = 2;
constexpr std::size_t kCrashingRequestVariants = 2;
/// Interval between disturbances of the targets' entries, and maximum time for which the store
/// turns an instance away.
constexpr Duration kTargetEntryInterval{1'300'000};
constexpr int kMaxRefusalMs = 1'500;
/// Interval between disturbances of targets, and maximum durations of an endless response, of a cut
/// between a target and the store, and of the target's downtime meanwhile.
constexpr Duration kTargetInterval{2'300'000};
constexpr int kMaxEndlessMs = 2'000;
constexpr int kMaxCutMs = 6'000;
constexpr int kMaxCutDowntimeMs = 1'500;
/// Interval between targets that repeat refusals, maximum duration of this fault, and the largest
/// shares of requests and grants that such a target refuses.
constexpr Duration kRepeatedRefusalInterval{1'700'000};
constexpr int kMaxRepeatedRefusalMs = 4'000;
constexpr double kMaxRefusalShare = 0.6;
constexpr double kMaxRefusedGrantShare = 0.3;
/// Time after a pause or a cut until what was held up has arrived.
constexpr Duration kLimitRecoveryTime{1'000'000};

/// Returns values that name no target.
std::vector<std::string> OddEntries() {
  const std::string bad_port =
      R"({"service":"stock","address":"127.0.0.1:70000","zone":"east","slots":4,)"
      R"("state":"ready","sequence":1e30})";
  return {std::string(50'000, '['), R"({"slots":1e999})", bad_port, "\xff\xfe", "null"};
}

}  // namespace

const std::vector<FaultInjector::FaultKind>& FaultInjector::FaultKinds() {
  static const std::vector<FaultKind> fault_kinds = {
      {"kill instance", &FaultInjector::KillInstance},
      {"stop instance", &FaultInjector::StopInstance},
      {"pause instance", &FaultInjector::PauseInstance},
      {"reload instance", &FaultInjector::ReloadInstance},
      {"disconnect an instance from the store", &FaultInjector::DisconnectFromStore},
      {"hold back the store's responses", &FaultInjector::HoldStoreResponses},
      {"delay the store", &FaultInjector::DelayStore},
      {"reset connections to the store", &FaultInjector::ResetStoreConnections},
      {"inject a store fault", &FaultInjector::InjectStoreFault},
      {"compact the store", &FaultInjector::CompactStore},
      {"crash target", &FaultInjector::CrashTarget},
      {"restart target with the same id", &FaultInjector::RestartTargetWithSameId},
      {"drain target", &FaultInjector::DrainTarget},
      {"hold back a target's traffic", &FaultInjector::HoldTargetTraffic},
      {"reset connections to a target", &FaultInjector::ResetTargetConnections},
      {"slow target", &FaultInjector::SlowTarget},
      {"failing target", &FaultInjector::FailTargetRequests},
      {"target drops responses", &FaultInjector::DropTargetResponses},
      {"target corrupts responses", &FaultInjector::CorruptTargetResponses},
      {"change configuration", &FaultInjector::ChangeConfig},
      {"rotate secret", &FaultInjector::RotateSecret},
      {"withdraw data centre", &FaultInjector::WithdrawDataCentre},
  };
  return fault_kinds;
}

FaultInjector::FaultInjector(net::EventLoop& loop, platform::standin::LocalFleet& fleet,
                             std::uint64_t seed, std::ostream& history)
    : loop_(loop),
      fleet_(fleet),
      random_engine_(seed),
      crashing_request_random_(seed),
      target_entry_random_(seed),
      target_random_(seed),
      refusal_random_(seed),
      history_(history) {
  constexpr std::array<double, 3> kLimits = {0.5, 2, 5.3};
  limited_target_ = static_cast<std::size_t>(seed) % fleet_.targets();
  limit_ = kLimits[seed / fleet_.targets() % kLimits.size()];
}

void FaultInjector::InjectFaults(Duration duration) {
  const TimePoint end = loop_.Refresh() + duration;
  const TimePoint start = loop_.now();
  SendCrashingRequests();
  DisturbTargetEntries();
  DisturbTargets();
  RepeatRefusals();
  while (loop_.now() < end) {
    NameLimit();
    const FaultKind& fault_kind = FaultKinds()[RandomIndex(FaultKinds().size())];
    history_ << (loop_.now() - start).count() / 1000 << " ms: " << fault_kind.name << "\n";
    (this->*fault_kind.start)();
    // Injects faults in bursts, with longer pauses between the bursts.
    fleet_.Run(RandomIndex(4) == 0 ? RandomDuration(500, 2'500) : RandomDuration(20, 400));
  }
  loop_.Cancel(target_entry_timer_);
  loop_.Cancel(target_timer_);
  loop_.Cancel(refusal_timer_);
  const auto repairs = std::exchange(pending_repairs_, {});
  for (const auto& [repair_id, repair] : repairs) repair();
}

void FaultInjector::NameLimit() {
  auto* const target = fleet_.Target(limited_target_);
  if (target != nullptr && !target->request_limit()) target->SetRequestLimit(limit_);
}

void FaultInjector::SendCrashingRequests() {
  fleet_.SendCrashingRequest(
      crashing_request_random_() % fleet_.instances(),
      crashing_request_random_() % kCrashingRequestServices,
      static_cast<int>(crashing_request_random_() % kCrashingRequestVariants));
  loop_.RunAfter(kCrashingRequestInterval, [this] { SendCrashingRequests(); });
}

void FaultInjector::DisturbTargetEntries() {
  const auto pick = [this](std::size_t count) {
    return static_cast<std::size_t>(target_entry_random_() % count);
  };
  const std::size_t target = pick(fleet_.targets());
  const std::size_t instance = pick(fleet_.instances());
  switch (pick(3)) {
    case 0: {
      const auto* const server = fleet_.Target(target);
      const std::string id = server == nullptr ? "odd" : server->settings().id;
      const std::vector<std::string> values = OddEntries();
      fleet_.store().PutTarget(id, values[pick(values.size())]);
      break;
    }
    case 1:
      fleet_.RemoveTarget(target);
      break;
    default:
      fleet_.SetStoreRefuses(instance, true);
      const auto refusal = static_cast<int>(pick(kMaxRefusalMs));
      RepairAfter(std::chrono::milliseconds(refusal),
                  [this, instance] { fleet_.SetStoreRefuses(instance, false); });
  }
  target_entry_timer_ = loop_.RunAfter(kTargetEntryInterval, [this] { DisturbTargetEntries(); });
}

void FaultInjector::DisturbTargets() {
  const auto pick_ms = [this](int max_ms) {
    return std::chrono::milliseconds(target_random_() % static_cast<unsigned>(max_ms));
  };
  const std::size_t target = target_random_() % fleet_.targets();
  if (target_random_() % 2 == 0) {
    ProxyFaults proxy_faults;
    proxy_faults.head = "HTTP/1.1 200 OK\r\n";
    if (target_random_() % 2 == 0) proxy_faults.head += "\r\n";
    proxy_faults.endless = std::string(1024, 'x');
    const Duration duration = pick_ms(kMaxEndlessMs);
    fleet_.TargetProxy(target).SetFaults(proxy_faults);
    fleet_.checker().SuspendTargetLimits(loop_.now() + duration + kLimitRecoveryTime);
    RepairAfter(duration, [this, target] {
      fleet_.TargetProxy(target).SetFaults({});
      fleet_.TargetProxy(target).ResetConnections();
    });
  } else {
    fleet_.SetTargetCutOff(target, true);
    fleet_.CrashTarget(target, pick_ms(kMaxCutDowntimeMs), true);
    RepairAfter(pick_ms(kMaxCutMs), [this, target] { fleet_.SetTargetCutOff(target, false); });
  }
  target_timer_ = loop_.RunAfter(kTargetInterval, [this] { DisturbTargets(); });
}

void FaultInjector::RepeatRefusals() {
  std::uniform_real_distribution<double> share;
  const std::size_t target = refusal_random_() % fleet_.targets();
  const Duration duration = std::chrono::milliseconds(
      std::uniform_int_distribution<int>(0, kMaxRepeatedRefusalMs)(refusal_random_));
  TargetFaults faults;
  faults.refusal_share = kMaxRefusalShare * share(refusal_random_);
  faults.refused_grant_share = kMaxRefusedGrantShare * share(refusal_random_);
  faults.omit_call_ids = refusal_random_() % 2 == 0;
  const auto set = [this, target](bool repeats, const TargetFaults& to) {
    fleet_.TargetProxy(target).SetRepeatsRefusals(repeats);
    if (auto* const server = fleet_.Target(target)) {
      server->faults().refusal_share = to.refusal_share;
      server->faults().refused_grant_share = to.refused_grant_share;
      server->faults().omit_call_ids = to.omit_call_ids;
    }
  };
  set(true, faults);
  // The instances can exchange their state meanwhile, so that this is no disturbance.
  ScheduleRepair(duration, [set] { set(false, TargetFaults{}); });
  refusal_timer_ = loop_.RunAfter(kRepeatedRefusalInterval, [this] { RepeatRefusals(); });
}

void FaultInjector::RepairAfter(Duration duration, std::function<void()> repair) {
  fleet_.RecordDisturbance(duration);
  ScheduleRepair(duration, std::move(repair));
}

void FaultInjector::ScheduleRepair(Duration duration, std::function<void()> repair) {
  const int repair_id = next_repair_id_++;
  pending_repairs_[repair_id] = std::move(repair);
  loop_.RunAfter(duration, [this, repair_id] {
    const auto it = pending_repairs_.find(repair_id);
    if (it == pending_repairs_.end()) return;
    const auto call = std::move(it->second);
    pending_repairs_.erase(it);
    call();
  });
}

void FaultInjector::KillInstance() {
  fleet_.RecordDisturbance(Duration{1'000'000});
  fleet_.Signal(RandomIndex(fleet_.instances()), SIGKILL);
}

void FaultInjector::StopInstance() {
  fleet_.RecordDisturbance(Duration{7'000'000});
  fleet_.Signal(RandomIndex(fleet_.instances()), SIGTERM);
}

void FaultInjector::PauseInstance() {
  const std::size_t i = RandomIndex(fleet_.instances());
  fleet_.Signal(i, SIGSTOP);
  const Duration pause = RandomDuration(50, 4'000);
  fleet_.checker().SuspendTargetLimits(loop_.now() + pause + kLimitRecoveryTime);
  RepairAfter(pause, [this, i] { fleet_.Signal(i, SIGCONT); });
}

void FaultInjector::ReloadInstance() { fleet_.Signal(RandomIndex(fleet_.instances()), SIGHUP); }

void FaultInjector::DisconnectFromStore() {
  const std::size_t i = RandomIndex(fleet_.instances());
  ProxyFaults proxy_faults;
  proxy_faults.hold_to_server = proxy_faults.hold_from_server = true;
  proxy_faults.reset_new_connections = RandomIndex(2) == 0;
  fleet_.StoreProxy(i).SetFaults(proxy_faults);
  RepairAfter(RandomDuration(200, 6'000), [this, i] {
    fleet_.StoreProxy(i).SetFaults({});
    fleet_.StoreProxy(i).ResetConnections();
  });
}

void FaultInjector::HoldStoreResponses() {
  const std::size_t i = RandomIndex(fleet_.instances());
  ProxyFaults proxy_faults;
  proxy_faults.hold_from_server = true;
  fleet_.StoreProxy(i).SetFaults(proxy_faults);
  RepairAfter(RandomDuration(200, 4'000), [this, i] { fleet_.StoreProxy(i).SetFaults({}); });
}

void FaultInjector::DelayStore() {
  const std::size_t i = RandomIndex(fleet_.instances());
  ProxyFaults delayed;
  delayed.delay = RandomDuration(20, 300);
  fleet_.StoreProxy(i).SetFaults(delayed);
  RepairAfter(RandomDuration(500, 4'000), [this, i] { fleet_.StoreProxy(i).SetFaults({}); });
}

void FaultInjector::ResetStoreConnections() {
  fleet_.RecordDisturbance(Duration{0});
  fleet_.StoreProxy(RandomIndex(fleet_.instances())).ResetConnections();
}

void FaultInjector::InjectStoreFault() {
  constexpr std::array<StoreMode, 4> kModes = {StoreMode::kBusy, StoreMode::kUnresponsive,
                                               StoreMode::kDropsResponses,
                                               StoreMode::kDelaysAppends};
  fleet_.store().SetMode(kModes[RandomIndex(kModes.size())]);
  RepairAfter(RandomDuration(200, 4'000), [this] { fleet_.store().SetMode(StoreMode::kNormal); });
}

void FaultInjector::CompactStore() { fleet_.store().Compact(); }

void FaultInjector::CrashTarget() {
  fleet_.RecordDisturbance(Duration{0});
  fleet_.CrashTarget(RandomIndex(fleet_.targets()), RandomDuration(100, 3'000), false);
}

void FaultInjector::RestartTargetWithSameId() {
  fleet_.RecordDisturbance(Duration{0});
  fleet_.CrashTarget(RandomIndex(fleet_.targets()), RandomDuration(10, 1'500), true);
}

void FaultInjector::DrainTarget() { fleet_.DrainTarget(RandomIndex(fleet_.targets())); }

void FaultInjector::HoldTargetTraffic() {
  const std::size_t i = RandomIndex(fleet_.targets());
  ProxyFaults proxy_faults;
  proxy_faults.hold_to_server = RandomIndex(2) == 0;
  proxy_faults.hold_from_server = !proxy_faults.hold_to_server || RandomIndex(2) == 0;
  fleet_.TargetProxy(i).SetFaults(proxy_faults);
  const Duration duration = RandomDuration(100, 3'000);
  if (i == limited_target_) {
    fleet_.checker().SuspendTargetLimits(loop_.now() + duration + kLimitRecoveryTime);
  }
  RepairAfter(duration, [this, i] {
    fleet_.TargetProxy(i).SetFaults({});
    fleet_.TargetProxy(i).ResetConnections();
  });
}

void FaultInjector::ResetTargetConnections() {
  fleet_.RecordDisturbance(Duration{0});
  fleet_.TargetProxy(RandomIndex(fleet_.targets())).ResetConnections();
}

void FaultInjector::InjectTargetFault(double TargetFaults::*field, double value) {
  const std::size_t i = RandomIndex(fleet_.targets());
  const auto set = [this, i, field](double to) {
    if (auto* const server = fleet_.Target(i)) server->faults().*field = to;
  };
  set(value);
  RepairAfter(RandomDuration(500, 4'000), [set, field] { set(TargetFaults{}.*field); });
}

void FaultInjector::SlowTarget() {
  InjectTargetFault(&TargetFaults::slowdown_factor, 2.0 + static_cast<double>(RandomIndex(20)));
}

void FaultInjector::FailTargetRequests() { InjectTargetFault(&TargetFaults::failure_share, 0.5); }

void FaultInjector::DropTargetResponses() {
  InjectTargetFault(&TargetFaults::drop_response_share, 0.3);
}

void FaultInjector::CorruptTargetResponses() {
  InjectTargetFault(&TargetFaults::corrupt_response_share, 0.3);
}

void FaultInjector::ChangeConfig() { fleet_.PublishConfig(); }

void FaultInjector::RotateSecret() {
  // Skips the first account, which has a rate limit, and kUnchangedAccount.
  fleet_.RotateSecret(1 + RandomIndex(LocalFleet::kUnchangedAccount - 1));
}

void FaultInjector::WithdrawDataCentre() {
  const std::string name = fleet_.data_centres()[RandomIndex(fleet_.data_centres().size())];
  fleet_.SetDataCentreWithdrawn(name, true);
  RepairAfter(RandomDuration(500, 8'000),
              [this, name] { fleet_.SetDataCentreWithdrawn(name, false); });
}

}  // namespace dogwoodport::soak
