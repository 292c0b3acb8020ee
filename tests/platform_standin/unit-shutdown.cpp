#include "platform_standin/deployment.h"

namespace dogwoodport::platform::standin {
namespace {

TEST_CASE("an instance that receives SIGTERM finishes its requests and exits with status 0",
          "[shutdown]") {
  LocalFleetSettings settings;
  settings.shutdown_grace = GENERATE(values({Duration{6'000'000}, Duration{2'500'000}}));
  INFO("grace period " << settings.shutdown_grace.count() << " us");
  TestEnvironment env(settings);
  REQUIRE(env.RunUntilServed(100));
  env.fleet.TakeCounts();
  env.fleet.Retire(0);
  REQUIRE(env.fleet.RunUntil([&] { return env.fleet.ExitStatus(0).has_value(); }, kTimeout));
  CHECK(env.fleet.ExitStatus(0) == 0);
  const AttemptCounts counts = env.fleet.TakeCounts();
  CHECK(counts.count(AttemptOutcome::kDisconnected) == 0);
  CHECK(counts.count(AttemptOutcome::kServed) == 1);
  env.RequireNoViolations();
}

}  // namespace
}  // namespace dogwoodport::platform::standin
