#include "platform_standin/deployment.h"

namespace dogwoodport::platform::standin {
namespace {

// Guards against keys that are granted to others while their holder is at work, because the second
// response to a grant was taken for the response to the release.
TEST_CASE("a repeated response to a grant does not confirm a release", "[repeated_response]") {
  TestEnvironment env;
  REQUIRE(env.RunUntilServed(300));
  TargetServer& target = *env.fleet.Target(kFirstKeyedTarget);
  target.faults().repeat_grant_responses = true;
  // Its keys move, and unlike a target that drains, it does not end.
  env.fleet.SetDataCentreWithdrawn(target.settings().data_centre, true);
  REQUIRE(env.fleet.RunUntil([&] { return target.repeated_grant_responses() > 0; }, kTimeout));
  REQUIRE(env.RunUntilServed(300));
  env.RequireNoViolations();
}

}  // namespace
}  // namespace dogwoodport::platform::standin
