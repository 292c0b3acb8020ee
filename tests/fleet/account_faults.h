#pragma once

/// @file
/// Faults of a simulated fleet that shares the tokens of an account or a target.

#include <functional>
#include <random>
#include <vector>

#include "fleet/account_fleet.h"

namespace dogwoodport::fleet {

/// A fault that is injected after 10 s.
struct Fault {
  const char* name;
  std::function<void(AccountFleet&, double demand)> inject;
};

inline const std::vector<Fault> kFaults = {
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

/// Injects one random fault or repair.
inline void InjectFault(AccountFleet& fleet, std::mt19937_64& random) {
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

}  // namespace dogwoodport::fleet
