#include "platform_standin/deployment.h"

namespace dogwoodport::platform::standin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// First target of the keyed service.
constexpr std::size_t kKeyedTarget = 2;

// Guards against keys that are granted to others while a restarted target holds them through
// renewals that were meant for its earlier incarnation.
TEST_CASE(
    "a target that restarts while it is cut off from the store is the only holder of its keys",
    "[restarted_owner]") {
  TestEnvironment env;
  REQUIRE(env.RunUntilServed(300));
  env.fleet.SetTargetCutOff(kKeyedTarget, true);
  env.fleet.Run(milliseconds(300));
  env.fleet.CrashTarget(kKeyedTarget, milliseconds(500), true);
  env.fleet.Run(milliseconds(4'700));
  env.fleet.SetTargetCutOff(kKeyedTarget, false);
  env.fleet.Run(seconds(8));
  REQUIRE(env.RunUntilServed(300));
  env.RequireNoViolations();
}

}  // namespace
}  // namespace dogwoodport::platform::standin
