// The daemon as a process of its own on stand-ins of the platform. What is checked does not depend
// on the speed of the machine: limits of time only end a run that hangs.
#include <catch2/catch.hpp>

#include "dogwoodport/platform/standin/fleet_world.h"

namespace dogwoodport::platform::standin {
namespace {

using std::chrono::seconds;

constexpr Duration kLimit{60'000'000};

struct Deployment {
  explicit Deployment(WorldSettings settings = {}) : world(loop, settings) {}

  /// Runs until callers were served `n` more times.
  bool RunUntilServed(std::uint64_t n) {
    const std::uint64_t before = world.promises().served();
    return world.RunUntil([&] { return world.promises().served() >= before + n; }, kLimit);
  }

  void RequireKept() {
    for (const std::string& it : world.promises().violations()) UNSCOPED_INFO(it);
    REQUIRE(world.promises().violations().empty());
  }

  net::EventLoop loop;
  FleetWorld world;
};

TEST_CASE("a deployment serves all services and keeps its promises", "[deployment]") {
  Deployment it;
  REQUIRE(it.world.RunUntilReady(kLimit));
  it.world.StartCallers();
  REQUIRE(it.RunUntilServed(500));
  it.RequireKept();
}

TEST_CASE("an instance that is told to stop cuts no request and ends with 0", "[deployment]") {
  Deployment it;
  REQUIRE(it.world.RunUntilReady(kLimit));
  it.world.StartCallers();
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

TEST_CASE("a secret that was withdrawn is refused, in touch with the store or not",
          "[deployment]") {
  Deployment it;
  REQUIRE(it.world.RunUntilReady(kLimit));
  it.world.StartCallers();
  REQUIRE(it.RunUntilServed(100));
  const bool cut_off = GENERATE(false, true);
  if (cut_off) {
    ProxyFaults silent;
    silent.silent_to_server = silent.silent_from_server = true;
    for (std::size_t i = 0; i < it.world.instances(); ++i) it.world.StoreProxy(i).SetFaults(silent);
  }
  it.world.RotateSecret(1);
  it.world.TakeCounts();
  it.world.Run(seconds(7));
  it.RequireKept();
  // Callers that still use the old secret, or all while the store cannot be reached, are refused.
  const AttemptCounts counts = it.world.TakeCounts();
  CHECK(counts.count(cut_off ? AttemptEnd::kRefused : AttemptEnd::kFailed) == 1);
  if (!cut_off) return;
  for (std::size_t i = 0; i < it.world.instances(); ++i) {
    it.world.StoreProxy(i).SetFaults({});
    it.world.StoreProxy(i).ResetAll();
  }
  REQUIRE(it.world.RunUntilReady(kLimit));
  CHECK(it.RunUntilServed(100));
  it.RequireKept();
}

TEST_CASE("a withdrawn data centre gets nothing until it is taken back", "[deployment]") {
  Deployment it;
  REQUIRE(it.world.RunUntilReady(kLimit));
  it.world.StartCallers();
  REQUIRE(it.RunUntilServed(100));
  it.world.SetWithdrawn("east", true);
  it.world.Run(seconds(10));
  it.RequireKept();
  CHECK(it.RunUntilServed(100));
  it.world.SetWithdrawn("east", false);
  CHECK(it.RunUntilServed(100));
  it.RequireKept();
}

TEST_CASE("callers above the rate of their account get its rate and no more", "[deployment]") {
  WorldSettings settings;
  settings.callers = 16;
  settings.callers_pause = Duration{20'000};
  Deployment it(settings);
  it.world.BoundAccount(20);
  REQUIRE(it.world.RunUntilReady(kLimit));
  it.world.StartCallers();
  it.world.Run(seconds(8));
  CHECK(it.world.TakeCounts().count(AttemptEnd::kRefused) == 1);
  it.RequireKept();
}

TEST_CASE("keys of a target that crashes are served again", "[deployment]") {
  Deployment it;
  REQUIRE(it.world.RunUntilReady(kLimit));
  it.world.StartCallers();
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
