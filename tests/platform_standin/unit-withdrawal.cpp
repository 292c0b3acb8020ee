#include "platform_standin/deployment.h"

namespace dogwoodport::platform::standin {
namespace {

using std::chrono::seconds;

TEST_CASE("a secret that was withdrawn is refused, in touch with the store or not",
          "[withdrawal]") {
  Deployment it;
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

TEST_CASE("a withdrawn data centre gets nothing until it is taken back", "[withdrawal]") {
  Deployment it;
  REQUIRE(it.RunUntilServed(100));
  it.world.SetWithdrawn("east", true);
  it.world.Run(seconds(10));
  it.RequireKept();
  CHECK(it.RunUntilServed(100));
  it.world.SetWithdrawn("east", false);
  CHECK(it.RunUntilServed(100));
  it.RequireKept();
}

}  // namespace
}  // namespace dogwoodport::platform::standin
