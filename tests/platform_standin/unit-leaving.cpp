#include <csignal>

#include "platform_standin/deployment.h"

namespace dogwoodport::platform::standin {
namespace {

using std::chrono::seconds;

TEST_CASE("no instance sends requests to a target whose responses announce that it is leaving",
          "[leaving]") {
  TestEnvironment env;
  REQUIRE(env.RunUntilServed(200));
  TargetServer& target = *env.fleet.Target(0);
  target.SetLeaving();
  REQUIRE(env.RunUntilServed(100));
  // The operators allow 2 s until all instances have stopped sending.
  env.fleet.Run(seconds(2));
  const std::uint64_t runs_before = target.runs();
  REQUIRE(env.RunUntilServed(200));
  CHECK(target.runs() == runs_before);
  // A restarted instance is notified by the others, although the heartbeats still report the target
  // as ready.
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
