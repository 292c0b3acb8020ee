#include <csignal>

#include "platform_standin/deployment.h"

namespace dogwoodport::platform::standin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Targets that a request may end before it is known, and those that it may end after that.
constexpr std::size_t kMostLosses = 3;
constexpr std::size_t kMostLater = 3;

/// Sends the same request again and again, at all instances in turn.
void SendAgain(FleetWorld& world, std::size_t service, int times) {
  for (int i = 0; i < times; ++i) {
    world.SendDeadly(static_cast<std::size_t>(i) % world.instances(), service, 7);
    world.Run(milliseconds(700));
  }
}

TEST_CASE("a request that ends its targets is stopped on all instances, also after restarts",
          "[crashing_request]") {
  const std::size_t service = GENERATE(0, 1);
  WorldSettings settings;
  settings.targets = 6;
  Deployment it(settings);
  REQUIRE(it.RunUntilServed(200));
  SendAgain(it.world, service, 12);
  const std::size_t first = it.world.deadly_runs();
  CHECK(first >= 1);
  CHECK(first <= kMostLosses + kMostLater);
  // The others tell an instance that starts again.
  it.world.Signal(0, SIGKILL);
  it.world.Run(seconds(1));
  REQUIRE(it.world.RunUntilReady(kLimit));
  SendAgain(it.world, service, 6);
  // The store remembers it when all instances have lost their memory.
  for (std::size_t i = 0; i < it.world.instances(); ++i) it.world.Signal(i, SIGKILL);
  it.world.Run(seconds(1));
  REQUIRE(it.world.RunUntilReady(kLimit));
  REQUIRE(it.RunUntilServed(100));
  it.world.Run(seconds(3));
  SendAgain(it.world, service, 6);
  CHECK(it.world.deadly_runs() <= kMostLosses + kMostLater);
  REQUIRE(it.RunUntilServed(200));
  it.RequireKept();
}

}  // namespace
}  // namespace dogwoodport::platform::standin
