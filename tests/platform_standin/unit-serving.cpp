#include "platform_standin/deployment.h"

namespace dogwoodport::platform::standin {
namespace {

using std::chrono::seconds;

TEST_CASE("a deployment serves all services and keeps its promises", "[serving]") {
  Deployment it;
  REQUIRE(it.RunUntilServed(500));
  it.RequireKept();
}

TEST_CASE("keys of a target that crashes are served again", "[serving]") {
  Deployment it;
  REQUIRE(it.RunUntilServed(100));
  it.world.CrashTarget(2, seconds(600), false);
  it.world.Run(seconds(12));
  it.world.TakeCounts();
  REQUIRE(it.RunUntilServed(300));
  const AttemptCounts counts = it.world.TakeCounts();
  CHECK(counts.count(AttemptEnd::kFailed) == 0);
  it.RequireKept();
}

}  // namespace
}  // namespace dogwoodport::platform::standin
