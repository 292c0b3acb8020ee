// Measure 2 (client accounts), withdrawn secrets of measure 6, and the slopes of the limit traffic.

#include <chrono>
#include <cmath>
#include <string>

#include "dogwoodport/core/secret_store.h"
#include "dogwoodport/standin/limit_fleet.h"
#include "measure/report.h"

namespace dogwoodport::measure {
namespace {

using standin::LimitFleet;
using standin::LimitFleetSettings;

constexpr Duration kSecond{1'000'000};
constexpr double kAbuse = 5;  // one account sends five times its rate

struct FleetSize {
  std::string name;
  std::vector<std::uint32_t> instances;
  Duration remote_latency;
};

const std::vector<FleetSize>& Fleets() {
  static const std::vector<FleetSize> fleets = {
      {"hooghly", {3, 3, 3, 2}, Duration(1'500)},
      {"armor", {4, 3, 3}, Duration(1'000)},
  };
  return fleets;
}

struct Outcome {
  double excess = 0;
  double worst_served = 1;
  double abuser_served = 1;
  double wrongful = 0;
};

std::vector<AccountConfig> EightAccounts() {
  std::vector<AccountConfig> accounts;
  const double rates[] = {400, 300, 200, 60, 60, 40, 20, 20};
  for (std::size_t i = 0; i < 8; ++i) {
    const std::string name = "account-" + std::to_string(i);
    accounts.push_back({AccountId::FromName(name), name, rates[i], rates[i]});
  }
  return accounts;
}

/// A ready instance; `first` bounds the choice to the first ready ones, 0 for all.
std::size_t Entry(LimitFleet& fleet, std::size_t first) {
  std::vector<std::size_t> ready;
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    if (fleet.ready(i) && (first == 0 || ready.size() < first)) ready.push_back(i);
  }
  return ready[std::uniform_int_distribution<std::size_t>(0, ready.size() - 1)(fleet.random())];
}

void Load(LimitFleet& fleet, Duration d, std::size_t abuser_entries) {
  const auto accounts = fleet.config().accounts;
  for (const TimePoint end = fleet.now() + d; fleet.now() < end; fleet.Step()) {
    for (std::size_t a = 0; a < accounts.size(); ++a) {
      const double factor = a == 0 ? kAbuse : 0.8;
      std::poisson_distribution<int> requests(accounts[a].rate * factor * 1e-3);
      for (int n = requests(fleet.random()); n > 0; --n) {
        fleet.Send(Entry(fleet, a == 0 ? abuser_entries : 0), accounts[a].id);
      }
    }
  }
}

Outcome RunFleet(const FleetSize& size, LimitPolicy policy, std::size_t entries, bool partition,
                 std::uint64_t seed) {
  LimitFleetSettings settings;
  settings.instances = size.instances;
  settings.accounts = EightAccounts();
  settings.policy = policy;
  settings.links.loss = 0.001;
  settings.links.remote_latency = size.remote_latency;
  settings.seed = seed;
  LimitFleet fleet(settings);
  fleet.Run(4 * kSecond);
  Load(fleet, 8 * kSecond, entries);
  fleet.Lose(2);
  Load(fleet, 6 * kSecond, entries);
  fleet.Add(fleet.zone(2));
  Load(fleet, 8 * kSecond, entries);
  if (partition) fleet.Partition(1);
  Load(fleet, 10 * kSecond, entries);
  if (partition) fleet.Heal();
  Load(fleet, 6 * kSecond, entries);
  Outcome outcome;
  outcome.excess = fleet.excess() < 1e-6 ? 0 : fleet.excess();
  std::uint64_t wrongful = 0;
  std::uint64_t sent = 0;
  for (std::size_t a = 0; a < settings.accounts.size(); ++a) {
    const auto counts = fleet.counts(settings.accounts[a].id);
    const double served =
        static_cast<double>(counts.admitted) /
        static_cast<double>(std::max<std::uint64_t>(1, counts.reference_admitted));
    if (a == 0) {
      outcome.abuser_served = served;
      continue;
    }
    outcome.worst_served = std::min(outcome.worst_served, served);
    wrongful += counts.wrongful;
    sent += counts.sent;
  }
  outcome.wrongful = static_cast<double>(wrongful) / static_cast<double>(sent);
  return outcome;
}

void MeasureMode(const FleetSize& size, const std::string& mode, std::size_t entries,
                 bool partition, std::uint64_t seed, Report& report) {
  const Outcome loans = RunFleet(size, TokenLoans{}, entries, partition, seed);
  const Outcome fixed = RunFleet(size, StaticShares{}, entries, partition, seed);
  const std::string end = (partition ? ".partition." : ".") + size.name + "." + mode;
  report.Add({"2.excess" + end, loans.excess, "requests", 0, Relation::kEqual, fixed.excess, seed});
  report.Add({"2.worst_served" + end, loans.worst_served, "ratio", 0.99, Relation::kAtLeast,
              fixed.worst_served, seed});
  report.Add({"2.abuser_within_rate" + end, loans.abuser_served, "ratio", 0.99, Relation::kAtLeast,
              fixed.abuser_served, seed});
  report.Add({"2.wrongful_refusals" + end, loans.wrongful, "ratio", 0.001, Relation::kAtMost,
              fixed.wrongful, seed});
}

/// The abusive account sends through one, some or all instances while an instance is lost and
/// another added; then again with a data centre cut off for 10 s of 38 s as well.
void MeasureAccounts(std::uint64_t seed, Report& report) {
  for (const FleetSize& size : Fleets()) {
    for (const bool partition : {false, true}) {
      MeasureMode(size, "one", 1, partition, seed, report);
      MeasureMode(size, "some", 3, partition, seed, report);
      MeasureMode(size, "all", 0, partition, seed, report);
    }
  }
}

void MeasureAdmission(std::uint64_t seed, Report& report) {
  LimitFleetSettings settings;
  settings.instances = {1};
  settings.accounts = {{AccountId::FromName("a"), "a", 1e9, 1e9}};
  LimitFleet fleet(settings);
  fleet.Run(5 * kSecond);
  constexpr int kCalls = 1'000'000;
  TimePoint now = fleet.now();
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kCalls; ++i) {
    now += Duration(i % 8 == 0 ? 1 : 0);
    fleet.limits(0).Admit(now, settings.accounts[0].id, 1, now + kSecond);
  }
  const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - start;
  report.Add({"2.micro.admission", took.count() / kCalls, "us", 1, Relation::kAtMost, {}, seed});
}

void MeasureSecrets(std::uint64_t seed, Report& report) {
  Config config;
  config.accounts.push_back({AccountId::FromName("a"), "a"});
  for (const char* secret : {"k1.old", "k2.new"}) {
    config.accounts[0].secrets.push_back({std::string(secret, 2), "00", HashSecret("00", secret)});
  }
  SecretStore store(SecretSettings{{seed, 7}});
  store.OnConfig(config);
  const TimePoint now{};
  std::uint64_t before = 0;
  std::uint64_t after = 0;
  for (int i = 0; i < 10'000; ++i) {
    if (i == 5'000) {
      config.accounts[0].secrets.erase(config.accounts[0].secrets.begin());
      store.OnConfig(config);
    }
    const bool served = std::holds_alternative<AccountId>(store.Check(now, "Bearer k1.old"));
    (i < 5'000 ? before : after) += served ? 1 : 0;
  }
  report.Add({"6.secrets.served_before_withdrawal",
              static_cast<double>(before),
              "requests",
              5'000,
              Relation::kEqual,
              {},
              seed});
  report.Add({"6.secrets.served_after_withdrawal",
              static_cast<double>(after),
              "requests",
              0,
              Relation::kEqual,
              {},
              seed});
}

/// Limit traffic of a fleet over 18 data centres, all accounts at 90% of their rate and the first
/// at five times its rate, 40 requests/s at each instance, within the budget of the design size.
void MeasureSlope(std::uint32_t nodes, std::uint32_t accounts, std::uint64_t seed, Report& report) {
  LimitFleetSettings settings;
  settings.instances.assign(18, nodes / 18);
  settings.policy = TokenLoans{40, 16};
  settings.step = Duration(5'000);
  settings.seed = seed;
  const double rate = 40.0 * nodes / accounts;
  for (std::uint32_t a = 0; a < accounts; ++a) {
    const std::string name = "account-" + std::to_string(a);
    settings.accounts.push_back({AccountId::FromName(name), name, rate, rate});
  }
  LimitFleet fleet(settings);
  fleet.Run(4 * kSecond);
  std::unordered_map<InstanceId, double> bytes;
  std::uint64_t messages = 0;
  fleet.bus().OnSent([&](InstanceId from, InstanceId /*to*/, const Message& message) {
    msgpack::sbuffer buffer;
    if (const auto* r = std::get_if<LoanRequest>(&message)) msgpack::pack(buffer, *r);
    if (const auto* g = std::get_if<LoanGrant>(&message)) msgpack::pack(buffer, *g);
    constexpr double kEnvelopeBytes = 32;
    bytes[from] += static_cast<double>(buffer.size()) + kEnvelopeBytes;
    ++messages;
  });
  constexpr double kMeasuredSeconds = 2;
  const auto per_step = static_cast<double>(settings.step.count()) * 1e-6;
  std::uniform_int_distribution<std::size_t> entry(0, fleet.size() - 1);
  for (const TimePoint end = fleet.now() + 2 * kSecond; fleet.now() < end; fleet.Step()) {
    for (std::uint32_t a = 0; a < accounts; ++a) {
      std::poisson_distribution<int> requests(rate * per_step * (a == 0 ? kAbuse : 0.9));
      for (int n = requests(fleet.random()); n > 0; --n) {
        fleet.Send(entry(fleet.random()), settings.accounts[a].id);
      }
    }
  }
  double total = 0;
  double most = 0;
  for (const auto& [id, sent] : bytes) {
    total += sent;
    most = std::max(most, sent);
  }
  const auto size = static_cast<double>(fleet.size());
  const std::string end = "." + std::to_string(nodes) + "x" + std::to_string(accounts);
  report.Add({"8.slope.limits.bytes_mean" + end,
              total / size / kMeasuredSeconds,
              "B/s",
              13'000,
              Relation::kAtMost,
              {},
              seed});
  report.Add({"8.slope.limits.bytes_max" + end,
              most / kMeasuredSeconds,
              "B/s",
              13'000,
              Relation::kAtMost,
              {},
              seed});
  report.Add({"8.slope.limits.messages" + end,
              static_cast<double>(messages) / size / kMeasuredSeconds,
              "1/s",
              80,
              Relation::kAtMost,
              {},
              seed});
}

const Registration limits_part("limits", [](std::uint64_t seed, Report& report) {
  MeasureAccounts(seed, report);
  MeasureAdmission(seed, report);
  MeasureSecrets(seed, report);
});

const Registration slopes_part("limits-slope", [](std::uint64_t seed, Report& report) {
  for (const auto& [nodes, accounts] :
       {std::pair{90U, 8U}, {900U, 8U}, {7'900U, 8U}, {900U, 64U}, {900U, 256U}}) {
    MeasureSlope(nodes, accounts, seed, report);
  }
});

}  // namespace
}  // namespace dogwoodport::measure
