// Checks that accounts stay within their limits over all instances while processes, connections and
// messages fail.

#include "fleet/account_faults.h"

namespace dogwoodport::fleet {
namespace {

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
