#include "soak/faults.h"

#include <csignal>
#include <ostream>

namespace dogwoodport::soak {

using platform::standin::FleetWorld;
using platform::standin::ProxyFaults;
using platform::standin::StoreMode;
using platform::standin::TargetFaults;

namespace {

/// Requests that end their targets: pause between them, services that get them, and different ones
/// of each service.
constexpr Duration kDeadlyPause{900'000};
constexpr std::size_t kDeadlyServices = 2;
constexpr std::size_t kDeadlyRequests = 2;

}  // namespace

const std::vector<Faults::Kind>& Faults::Kinds() {
  static const std::vector<Kind> kinds = {
      {"kill instance", &Faults::KillInstance},
      {"stop instance", &Faults::StopInstance},
      {"pause instance", &Faults::PauseInstance},
      {"reload instance", &Faults::ReloadInstance},
      {"cut an instance from the store", &Faults::CutStore},
      {"silence the store's answers", &Faults::SilenceStoreAnswers},
      {"delay the store", &Faults::DelayStore},
      {"reset connections to the store", &Faults::ResetStoreConnections},
      {"disturb the store", &Faults::DisturbStore},
      {"compact the store", &Faults::CompactStore},
      {"crash target", &Faults::CrashTarget},
      {"start target again under its id", &Faults::RebornTarget},
      {"drain target", &Faults::DrainTarget},
      {"silence target", &Faults::SilenceTarget},
      {"reset connections to a target", &Faults::ResetTargetConnections},
      {"slow target", &Faults::SlowTarget},
      {"failing target", &Faults::FailingTarget},
      {"target loses answers", &Faults::TargetThatLosesAnswers},
      {"target spoils answers", &Faults::TargetThatSpoilsAnswers},
      {"change configuration", &Faults::ChangeConfig},
      {"rotate secret", &Faults::RotateSecret},
      {"withdraw data centre", &Faults::WithdrawDataCentre},
  };
  return kinds;
}

Faults::Faults(net::EventLoop& loop, platform::standin::FleetWorld& world, std::uint64_t seed,
               std::ostream& out)
    : loop_(loop), world_(world), random_(seed), deadly_random_(seed), out_(out) {}

void Faults::Play(Duration span) {
  const TimePoint end = loop_.Refresh() + span;
  const TimePoint start = loop_.now();
  KeepSendingDeadly();
  while (loop_.now() < end) {
    const Kind& kind = Kinds()[Pick(Kinds().size())];
    out_ << (loop_.now() - start).count() / 1000 << " ms: " << kind.name << "\n";
    (this->*kind.start)();
    // Series of faults close together, with calmer times between them.
    world_.Run(Pick(4) == 0 ? Span(500, 2'500) : Span(20, 400));
  }
  const auto mends = std::exchange(mends_, {});
  for (const auto& [number, mend] : mends) mend();
}

void Faults::KeepSendingDeadly() {
  world_.SendDeadly(deadly_random_() % world_.instances(), deadly_random_() % kDeadlyServices,
                    static_cast<int>(deadly_random_() % kDeadlyRequests));
  loop_.RunAfter(kDeadlyPause, [this] { KeepSendingDeadly(); });
}

void Faults::MendAfter(Duration span, std::function<void()> mend) {
  world_.OnDisturbance(span);
  const int number = next_mend_++;
  mends_[number] = std::move(mend);
  loop_.RunAfter(span, [this, number] {
    const auto it = mends_.find(number);
    if (it == mends_.end()) return;
    const auto call = std::move(it->second);
    mends_.erase(it);
    call();
  });
}

void Faults::KillInstance() {
  world_.OnDisturbance(Duration{1'000'000});
  world_.Signal(Pick(world_.instances()), SIGKILL);
}

void Faults::StopInstance() {
  world_.OnDisturbance(Duration{7'000'000});
  world_.Signal(Pick(world_.instances()), SIGTERM);
}

void Faults::PauseInstance() {
  const std::size_t i = Pick(world_.instances());
  world_.Signal(i, SIGSTOP);
  MendAfter(Span(50, 4'000), [this, i] { world_.Signal(i, SIGCONT); });
}

void Faults::ReloadInstance() { world_.Signal(Pick(world_.instances()), SIGHUP); }

void Faults::CutStore() {
  const std::size_t i = Pick(world_.instances());
  ProxyFaults cut;
  cut.silent_to_server = cut.silent_from_server = true;
  cut.refuses = Pick(2) == 0;
  world_.StoreProxy(i).SetFaults(cut);
  MendAfter(Span(200, 6'000), [this, i] {
    world_.StoreProxy(i).SetFaults({});
    world_.StoreProxy(i).ResetAll();
  });
}

void Faults::SilenceStoreAnswers() {
  const std::size_t i = Pick(world_.instances());
  ProxyFaults cut;
  cut.silent_from_server = true;
  world_.StoreProxy(i).SetFaults(cut);
  MendAfter(Span(200, 4'000), [this, i] { world_.StoreProxy(i).SetFaults({}); });
}

void Faults::DelayStore() {
  const std::size_t i = Pick(world_.instances());
  ProxyFaults slow;
  slow.delay = Span(20, 300);
  world_.StoreProxy(i).SetFaults(slow);
  MendAfter(Span(500, 4'000), [this, i] { world_.StoreProxy(i).SetFaults({}); });
}

void Faults::ResetStoreConnections() {
  world_.OnDisturbance(Duration{0});
  world_.StoreProxy(Pick(world_.instances())).ResetAll();
}

void Faults::DisturbStore() {
  constexpr std::array<StoreMode, 4> kModes = {StoreMode::kBusy, StoreMode::kSilent,
                                               StoreMode::kLosesAnswers, StoreMode::kLate};
  world_.store().SetMode(kModes[Pick(kModes.size())]);
  MendAfter(Span(200, 4'000), [this] { world_.store().SetMode(StoreMode::kWorks); });
}

void Faults::CompactStore() { world_.store().Compact(); }

void Faults::CrashTarget() {
  world_.OnDisturbance(Duration{0});
  world_.CrashTarget(Pick(world_.targets()), Span(100, 3'000), false);
}

void Faults::RebornTarget() {
  world_.OnDisturbance(Duration{0});
  world_.CrashTarget(Pick(world_.targets()), Span(10, 1'500), true);
}

void Faults::DrainTarget() { world_.DrainTarget(Pick(world_.targets())); }

void Faults::SilenceTarget() {
  const std::size_t i = Pick(world_.targets());
  ProxyFaults cut;
  cut.silent_to_server = Pick(2) == 0;
  cut.silent_from_server = !cut.silent_to_server || Pick(2) == 0;
  world_.TargetProxy(i).SetFaults(cut);
  MendAfter(Span(100, 3'000), [this, i] {
    world_.TargetProxy(i).SetFaults({});
    world_.TargetProxy(i).ResetAll();
  });
}

void Faults::ResetTargetConnections() {
  world_.OnDisturbance(Duration{0});
  world_.TargetProxy(Pick(world_.targets())).ResetAll();
}

void Faults::DisturbTarget(double TargetFaults::*field, double value) {
  const std::size_t i = Pick(world_.targets());
  const auto set = [this, i, field](double to) {
    if (auto* const server = world_.Target(i)) server->faults().*field = to;
  };
  set(value);
  MendAfter(Span(500, 4'000), [set, field] { set(TargetFaults{}.*field); });
}

void Faults::SlowTarget() {
  DisturbTarget(&TargetFaults::slowness, 2.0 + static_cast<double>(Pick(20)));
}

void Faults::FailingTarget() { DisturbTarget(&TargetFaults::fails, 0.5); }

void Faults::TargetThatLosesAnswers() { DisturbTarget(&TargetFaults::loses_answers, 0.3); }

void Faults::TargetThatSpoilsAnswers() { DisturbTarget(&TargetFaults::spoils, 0.3); }

void Faults::ChangeConfig() { world_.PublishConfig(); }

void Faults::RotateSecret() {
  // The first account is bounded, the last one plain.
  world_.RotateSecret(1 + Pick(FleetWorld::kPlainAccount - 1));
}

void Faults::WithdrawDataCentre() {
  const std::string name = world_.data_centres()[Pick(world_.data_centres().size())];
  world_.SetWithdrawn(name, true);
  MendAfter(Span(500, 8'000), [this, name] { world_.SetWithdrawn(name, false); });
}

}  // namespace dogwoodport::soak
