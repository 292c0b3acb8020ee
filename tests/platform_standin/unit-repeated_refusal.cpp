#include "dogwoodport/net/http_status.h"
#include "platform_standin/deployment.h"

namespace dogwoodport::platform::standin {
namespace {

struct RefusalCase {
  const char* description;
  bool omit_call_ids;
};

/// Returns the number of grants that the keyed targets refused because of their fault.
std::uint64_t RefusedGrants(LocalFleet& fleet) {
  std::uint64_t n = 0;
  for (std::size_t i = kFirstKeyedTarget; i < fleet.targets(); i += kServices) {
    n += fleet.Target(i)->refused_grants();
  }
  return n;
}

// Guards against copies of refusals that are taken for second refusals of requests that are under
// way again.
TEST_CASE("copies of refusals break no guarantee", "[repeated_refusal]") {
  const auto test_case = GENERATE(values<RefusalCase>({
      {"control calls are answered with their ids", false},
      {"control calls are answered without ids", true},
  }));
  INFO(test_case.description);
  LocalFleetSettings settings;
  settings.callers = 24;
  settings.mean_caller_pause = Duration{20'000};
  TestEnvironment env(settings);
  REQUIRE(env.RunUntilServed(200));
  for (std::size_t i = 0; i < env.fleet.targets(); ++i) {
    env.fleet.TargetProxy(i).SetRepeatsRefusals(true);
    TargetFaults& faults = env.fleet.Target(i)->faults();
    faults.omit_call_ids = test_case.omit_call_ids;
    // Keys have one target each, so that instances send such requests again to the same one.
    if (i % kServices != kFirstKeyedTarget) continue;
    faults.refusal_share = 0.5;
    faults.refused_grant_share = 0.3;
  }
  REQUIRE(env.RunUntilServed(600));
  // The keys of a data centre move, so that grants and releases are under way too.
  env.fleet.SetDataCentreWithdrawn(env.fleet.data_centres()[0], true);
  REQUIRE(env.RunUntilServed(600));
  env.fleet.SetDataCentreWithdrawn(env.fleet.data_centres()[0], false);
  REQUIRE(env.RunUntilServed(600));
  REQUIRE(env.fleet.RunUntil([&] { return RefusedGrants(env.fleet) > 0; }, kTimeout));
  REQUIRE(env.fleet.RunUntil([&] { return env.fleet.RepeatedRefusals() >= 10; }, kTimeout));
  // A refusal that names no call is the last response on its connection, so no copy can follow.
  if (test_case.omit_call_ids) CHECK(env.fleet.RepeatedRefusals(net::status::kConflict) == 0);
  env.RequireNoViolations();
}

}  // namespace
}  // namespace dogwoodport::platform::standin
