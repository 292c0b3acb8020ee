#include "platform_standin/deployment.h"

namespace dogwoodport::platform::standin {
namespace {

using std::chrono::seconds;

TEST_CASE("a deployment serves all services without violating guarantees", "[serving]") {
  TestEnvironment env;
  REQUIRE(env.RunUntilServed(500));
  env.RequireNoViolations();
}

TEST_CASE("the keys of a crashed target are reassigned and served", "[serving]") {
  TestEnvironment env;
  REQUIRE(env.RunUntilServed(100));
  env.fleet.CrashTarget(2, seconds(600), false);
  env.fleet.Run(seconds(12));
  env.fleet.TakeCounts();
  REQUIRE(env.RunUntilServed(300));
  const AttemptCounts counts = env.fleet.TakeCounts();
  CHECK(counts.count(AttemptOutcome::kFailed) == 0);
  env.RequireNoViolations();
}

}  // namespace
}  // namespace dogwoodport::platform::standin
