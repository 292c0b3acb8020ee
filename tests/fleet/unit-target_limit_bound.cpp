// Checks that a target with a limit gets no more than it named from all instances together while
// processes, connections and messages fail.

#include "fleet/account_faults.h"

namespace dogwoodport::fleet {
namespace {

/// Requests that the operators allow in 4 s.
double AllowedBy(double rate) { return 1.5 * 4 * rate + 5; }

void CheckBound(const AccountFleet& fleet, double rate) {
  CHECK(fleet.max_possible() <= fleet.bound());
  CHECK(fleet.max_possible() <= AllowedBy(rate));
}

TEST_CASE("all instances together stay within the limit of a target when instances fail",
          "[target_limit_bound]") {
  const Fault fault = GENERATE(from_range(kFaults));
  const std::size_t n = GENERATE(values<std::size_t>({11, 295}));
  const double rate = GENERATE(values({0.5, 5.3, 27.5}));
  const double load_factor = GENERATE(values({0.9, 12.0}));
  DYNAMIC_SECTION(fault.name << ", " << n << " instances, limit " << rate << ", demand "
                             << load_factor * rate) {
    AccountFleet fleet = AccountFleet::ForTarget(n, rate, 1);
    fleet.Simulate(10, load_factor * rate);
    fault.inject(fleet, load_factor * rate);
    CheckBound(fleet, rate);
  }
}

TEST_CASE("all instances together stay within the limit of a target under random faults",
          "[target_limit_bound]") {
  const std::size_t n = GENERATE(values<std::size_t>({3, 11, 40, 295}));
  const double rate = GENERATE(values({0.5, 5.3, 27.5}));
  const int seed = GENERATE(range(1, 4));
  DYNAMIC_SECTION(n << " instances, limit " << rate << ", seed " << seed) {
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    AccountFleet fleet = AccountFleet::ForTarget(n, rate, static_cast<std::uint64_t>(seed));
    for (int i = 0; i < 40; ++i) {
      InjectFault(fleet, random);
      fleet.Simulate(std::uniform_real_distribution<double>(0, 1)(random), 12 * rate);
    }
    CheckBound(fleet, rate);
  }
}

TEST_CASE("a target with a limit is still used", "[target_limit_bound]") {
  const std::size_t n = GENERATE(values<std::size_t>({3, 11, 40, 295}));
  const double rate = GENERATE(values({0.5, 5.3, 27.5}));
  DYNAMIC_SECTION(n << " instances, limit " << rate) {
    AccountFleet fleet = AccountFleet::ForTarget(n, rate, 1);
    fleet.Simulate(40, 12 * rate);
    const double admitted = std::accumulate(fleet.admitted().begin(), fleet.admitted().end(), 0.0);
    CHECK(admitted >= 0.75 * rate * 40);
  }
}

}  // namespace
}  // namespace dogwoodport::fleet
