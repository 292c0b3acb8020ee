#include "platform_standin/deployment.h"

namespace dogwoodport::platform::standin {
namespace {

TEST_CASE("an instance that is told to stop cuts no request and ends with 0", "[shutdown]") {
  Deployment it;
  REQUIRE(it.RunUntilServed(100));
  it.world.TakeCounts();
  it.world.Retire(0);
  REQUIRE(it.world.RunUntil([&] { return it.world.ExitStatus(0).has_value(); }, kLimit));
  CHECK(it.world.ExitStatus(0) == 0);
  const AttemptCounts counts = it.world.TakeCounts();
  CHECK(counts.count(AttemptEnd::kCut) == 0);
  CHECK(counts.count(AttemptEnd::kServed) == 1);
  it.RequireKept();
}

}  // namespace
}  // namespace dogwoodport::platform::standin
