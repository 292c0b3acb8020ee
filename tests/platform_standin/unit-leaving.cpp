#include <csignal>

#include "platform_standin/deployment.h"

namespace dogwoodport::platform::standin {
namespace {

using std::chrono::seconds;

TEST_CASE("a target that says in its answers that it leaves gets nothing more from any instance",
          "[leaving]") {
  TestEnvironment env;
  REQUIRE(env.RunUntilServed(200));
  TargetServer& target = *env.fleet.Target(0);
  target.SetLeaving();
  REQUIRE(env.RunUntilServed(100));
  // The operators allow two seconds.
  env.fleet.Run(seconds(2));
  const std::uint64_t runs_before = target.runs();
  REQUIRE(env.RunUntilServed(200));
  CHECK(target.runs() == runs_before);
  // An instance that starts again learns it from the others, while the heartbeats still say ready.
  env.fleet.Signal(0, SIGKILL);
  REQUIRE(env.fleet.RunUntilReady(kTimeout));
  env.fleet.Run(seconds(2));
  const std::uint64_t runs_after_restart = target.runs();
  REQUIRE(env.RunUntilServed(300));
  CHECK(target.runs() == runs_after_restart);
  env.RequireNoViolations();
}

}  // namespace
}  // namespace dogwoodport::platform::standin
