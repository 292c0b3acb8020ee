#include <csignal>

#include "platform_standin/deployment.h"

namespace dogwoodport::platform::standin {
namespace {

using std::chrono::milliseconds;
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

// Guards against an outage that one instance had alone and that was taken for one of the store.
TEST_CASE("a target whose entry is removed gets no requests although the store turned one away",
          "[leaving]") {
  TestEnvironment env;
  REQUIRE(env.RunUntilServed(200));
  // One of the three is the coordinator.
  for (std::size_t i = 0; i < env.fleet.instances(); ++i) {
    INFO("instance " << i);
    env.fleet.SetStoreRefuses(i, true);
    env.fleet.Run(milliseconds(1'200));
    env.fleet.SetStoreRefuses(i, false);
    // A reader retries within 0.4 s.
    env.fleet.Run(milliseconds(500));
    const TargetServer& target = *env.fleet.Target(i);
    env.fleet.RemoveTarget(i);
    // The operators allow 2 s until all instances have stopped sending.
    env.fleet.Run(seconds(2));
    const std::size_t arrivals_before = target.arrivals().size();
    env.fleet.Run(milliseconds(900));
    CHECK(target.arrivals().size() == arrivals_before);
    REQUIRE(env.RunUntilServed(100));
  }
  env.RequireNoViolations();
}

}  // namespace
}  // namespace dogwoodport::platform::standin
