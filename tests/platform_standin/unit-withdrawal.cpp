#include "platform_standin/deployment.h"

namespace dogwoodport::platform::standin {
namespace {

using std::chrono::seconds;

TEST_CASE("a withdrawn secret is rejected, whether or not the store is reachable", "[withdrawal]") {
  TestEnvironment env;
  REQUIRE(env.RunUntilServed(100));
  const bool cut_off = GENERATE(false, true);
  if (cut_off) {
    ProxyFaults held;
    held.hold_to_server = held.hold_from_server = true;
    for (std::size_t i = 0; i < env.fleet.instances(); ++i) env.fleet.StoreProxy(i).SetFaults(held);
  }
  env.fleet.RotateSecret(1);
  env.fleet.TakeCounts();
  env.fleet.Run(seconds(7));
  env.RequireNoViolations();
  // Callers that still use the old secret are rejected; without the store, all callers are
  // rejected.
  const AttemptCounts counts = env.fleet.TakeCounts();
  CHECK(counts.count(cut_off ? AttemptOutcome::kRefused : AttemptOutcome::kFailed) == 1);
  if (!cut_off) return;
  for (std::size_t i = 0; i < env.fleet.instances(); ++i) {
    env.fleet.StoreProxy(i).SetFaults({});
    env.fleet.StoreProxy(i).ResetConnections();
  }
  REQUIRE(env.fleet.RunUntilReady(kTimeout));
  CHECK(env.RunUntilServed(100));
  env.RequireNoViolations();
}

TEST_CASE("a withdrawn data centre receives no requests until it is returned to service",
          "[withdrawal]") {
  TestEnvironment env;
  REQUIRE(env.RunUntilServed(100));
  env.fleet.SetDataCentreWithdrawn("east", true);
  env.fleet.Run(seconds(10));
  env.RequireNoViolations();
  CHECK(env.RunUntilServed(100));
  env.fleet.SetDataCentreWithdrawn("east", false);
  CHECK(env.RunUntilServed(100));
  env.RequireNoViolations();
}

}  // namespace
}  // namespace dogwoodport::platform::standin
