#include "platform_standin/deployment.h"

namespace dogwoodport::platform::standin {
namespace {

/// First target of the keyed service.
constexpr std::size_t kFirstKeyedTarget = 2;

// Guards against keys that are granted to others while their holder is at work, because the second
// response to a grant was taken for the response to the release.
TEST_CASE("a repeated response to a grant does not confirm a release", "[repeated_response]") {
  TestEnvironment env;
  REQUIRE(env.RunUntilServed(300));
  TargetFaults& faults = env.fleet.Target(kFirstKeyedTarget)->faults();
  faults.slowdown_factor = 50;
  faults.repeat_grant_responses = true;
  REQUIRE(env.RunUntilServed(100));
  env.fleet.DrainTarget(kFirstKeyedTarget);
  const auto has_repeated = [&] {
    const TargetServer* const target = env.fleet.Target(kFirstKeyedTarget);
    return target != nullptr && target->repeated_grant_responses() > 0;
  };
  REQUIRE(env.fleet.RunUntil(has_repeated, kTimeout));
  REQUIRE(env.RunUntilServed(300));
  env.RequireNoViolations();
}

}  // namespace
}  // namespace dogwoodport::platform::standin
