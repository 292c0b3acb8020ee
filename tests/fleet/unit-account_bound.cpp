// Checks that accounts stay within their limits over all instances while processes, connections and
// messages fail.

#include <functional>

#include "fleet/account_fleet.h"

namespace dogwoodport::fleet {
namespace {

/// A fault that is injected after 10 s.
struct Fault {
  const char* name;
  std::function<void(AccountFleet&, double demand)> inject;
};

const std::vector<Fault> kFaults = {
    {"no fault", [](AccountFleet& fleet, double demand) { fleet.Simulate(10, demand); }},
    {"the coordinator fails",
     [](AccountFleet& fleet, double demand) {
       fleet.Stop(0);
       fleet.Simulate(4, demand);
       fleet.TakeOver(1);
       fleet.Simulate(6, demand);
     }},
    {"the coordinator changes every second",
     [](AccountFleet& fleet, double demand) {
       for (std::size_t i = 1; i <= 10; ++i) {
         fleet.TakeOver(i);
         fleet.Simulate(1, demand);
       }
     }},
    {"all instances restart",
     [](AccountFleet& fleet, double demand) {
       for (std::size_t i = 0; i < fleet.size(); ++i) fleet.Start(i);
       fleet.Simulate(1, demand);
       fleet.TakeOver(1);
       fleet.Simulate(8, demand);
     }},
};

struct Account {
  const char* name;
  double rate;
  double demand;
};

const std::vector<Account> kAccounts = {
    {"a large account within its rate", 569, 500},
    {"a large account at several times its rate", 569, 3'700},
    {"an account within its rate", 65, 55},
    {"an account at several times its rate", 65, 420},
    {"a small account at several times its rate", 10, 75},
};

void CheckBound(const AccountFleet& fleet) { CHECK(fleet.max_possible() <= fleet.bound()); }

TEST_CASE("a large fleet stays within the account limit when instances fail", "[account_bound]") {
  const Fault fault = GENERATE(from_range(kFaults));
  const Account account = GENERATE(from_range(kAccounts));
  const int seed = GENERATE(range(1, 2));
  DYNAMIC_SECTION(fault.name << ", " << account.name << ", seed " << seed) {
    AccountFleet fleet(295, account.rate, account.rate, static_cast<std::uint64_t>(seed));
    fleet.Simulate(10, account.demand);
    fault.inject(fleet, account.demand);
    CheckBound(fleet);
  }
}

/// Injects one random fault or repair.
void InjectFault(AccountFleet& fleet, std::mt19937_64& random) {
  const auto chance = [&](double p) {
    return std::uniform_real_distribution<double>()(random) < p;
  };
  const bool at_coordinator = chance(0.4);
  const std::size_t i = at_coordinator ? fleet.coordinator() : random() % fleet.size();
  switch (random() % 8) {
    case 0:
      fleet.Stop(i);
      break;
    case 1:
      fleet.Start(i);
      break;
    case 2:
      fleet.SetFrozen(i, chance(0.5));
      break;
    case 3:
      fleet.SetDisconnected(i, chance(0.5), chance(0.5));
      break;
    case 4:
      for (std::size_t k = 0; k < fleet.size(); ++k) {
        if (chance(0.5)) fleet.Start(k);
      }
      break;
    case 5:
      fleet.network = {chance(0.5) ? 0.3 : 0, chance(0.5) ? 0.3 : 0, chance(0.5) ? 0.2 : 0};
      break;
    case 6:
      for (std::size_t k = 0; k < fleet.size(); ++k) {
        fleet.SetDisconnected(k, false, false);
        fleet.SetFrozen(k, false);
      }
      break;
    default:
      fleet.TakeOver(random() % fleet.size());
  }
}

TEST_CASE("a fleet stays within the account limit under random faults", "[account_bound]") {
  const std::size_t n = GENERATE(values<std::size_t>({3, 11, 40}));
  const double rate = GENERATE(values({5.0, 65.0, 569.0}));
  const double load_factor = GENERATE(values({0.9, 8.0}));
  const int seed = GENERATE(range(1, 4));
  DYNAMIC_SECTION(n << " instances, rate " << rate << ", demand " << load_factor * rate << ", seed "
                    << seed) {
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    AccountFleet fleet(n, rate, rate, static_cast<std::uint64_t>(seed));
    fleet.Simulate(3, load_factor * rate);
    for (int i = 0; i < 40; ++i) {
      InjectFault(fleet, random);
      fleet.Simulate(std::uniform_real_distribution<double>(0, 1)(random), load_factor * rate);
    }
    CheckBound(fleet);
  }
}

}  // namespace
}  // namespace dogwoodport::fleet
