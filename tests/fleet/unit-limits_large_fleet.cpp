// Runs the loads of a large fleet with many seeds.

#include "fleet/account_load.h"

namespace dogwoodport::fleet {
namespace {

TEST_CASE("a large fleet admits the rate of an account and no more", "[limits_large_fleet]") {
  const Load load = GENERATE(from_range(kLargeFleetLoads));
  const int seed = GENERATE(range(1, 31));
  CheckLoad(load, static_cast<std::uint64_t>(seed));
}

}  // namespace
}  // namespace dogwoodport::fleet
