#include <csignal>

#include "platform_standin/deployment.h"

namespace dogwoodport::platform::standin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Maximum number of targets that a request may crash before it is quarantined, and maximum number
/// of further ones afterwards.
constexpr std::size_t kMaxCrashes = 3;
constexpr std::size_t kMaxLateCrashes = 3;

/// Sends the same request `times` times, to all instances in turn.
void SendRepeatedly(LocalFleet& fleet, std::size_t service, int times) {
  for (int i = 0; i < times; ++i) {
    fleet.SendCrashingRequest(static_cast<std::size_t>(i) % fleet.instances(), service, 7);
    fleet.Run(milliseconds(700));
  }
}

TEST_CASE("a request that crashes its targets is quarantined on all instances, also after restarts",
          "[crashing_request]") {
  const std::size_t service = GENERATE(0, 1);
  LocalFleetSettings settings;
  settings.targets = 6;
  TestEnvironment env(settings);
  REQUIRE(env.RunUntilServed(200));
  SendRepeatedly(env.fleet, service, 12);
  const std::size_t initial_crashes = env.fleet.crashed_targets();
  CHECK(initial_crashes >= 1);
  CHECK(initial_crashes <= kMaxCrashes + kMaxLateCrashes);
  // A restarted instance receives the quarantine from the other instances.
  env.fleet.Signal(0, SIGKILL);
  env.fleet.Run(seconds(1));
  REQUIRE(env.fleet.RunUntilReady(kTimeout));
  SendRepeatedly(env.fleet, service, 6);
  // After a restart of all instances, the quarantine is restored from the store.
  for (std::size_t i = 0; i < env.fleet.instances(); ++i) env.fleet.Signal(i, SIGKILL);
  env.fleet.Run(seconds(1));
  REQUIRE(env.fleet.RunUntilReady(kTimeout));
  REQUIRE(env.RunUntilServed(100));
  env.fleet.Run(seconds(3));
  SendRepeatedly(env.fleet, service, 6);
  CHECK(env.fleet.crashed_targets() <= kMaxCrashes + kMaxLateCrashes);
  REQUIRE(env.RunUntilServed(200));
  env.RequireNoViolations();
}

}  // namespace
}  // namespace dogwoodport::platform::standin
