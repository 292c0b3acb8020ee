#include <catch2/catch.hpp>

#include "dogwoodport/fleet/limits/target_limits.h"
#include "fleet/account_fleet.h"

namespace dogwoodport::fleet {
namespace {

const TargetIncarnation kTarget{"t", 1};

TEST_CASE("the latest response of a target decides its limit", "[target_limits]") {
  TargetLimits limits;
  CHECK_FALSE(limits.RateOf(kTarget));
  limits.OnResponse(kTarget, std::nullopt, At(0), At(0.1));
  CHECK(limits.TakeChanges().empty());
  limits.OnResponse(kTarget, 5, At(0.1), At(0.2));
  CHECK(limits.RateOf(kTarget) == 5);
  CHECK(limits.TakeChanges().size() == 1);
  limits.OnResponse(kTarget, 2.5, At(0.2), At(0.3));
  CHECK(limits.RateOf(kTarget) == 2.5);
  limits.OnResponse(kTarget, std::nullopt, At(0.4), At(0.5));
  CHECK_FALSE(limits.RateOf(kTarget));
  CHECK(limits.TakeChanges().size() == 2);
}

TEST_CASE("a response to a request sent before the limit was last named does not end the limit",
          "[target_limits]") {
  TargetLimits limits;
  limits.OnResponse(kTarget, 5, At(0), At(1));
  limits.OnResponse(kTarget, std::nullopt, At(0.5), At(1.1));
  CHECK(limits.RateOf(kTarget) == 5);
}

TEST_CASE("a limit belongs to one incarnation of its target", "[target_limits]") {
  TargetLimits limits;
  limits.OnResponse(kTarget, 5, At(0), At(1));
  CHECK_FALSE(limits.RateOf({"t", 2}));
}

TEST_CASE("the usage of targets with a limit is counted", "[target_limits]") {
  TargetLimits limits;
  limits.OnSend(kTarget);
  limits.OnResponse(kTarget, 5, At(0), At(1));
  limits.OnSend(kTarget);
  const auto usage = limits.TakeUsage(At(3));
  REQUIRE(usage.size() == 1);
  CHECK(usage[0].sent == 1);
  CHECK(usage[0].rate == 5);
  CHECK(usage[0].age == Duration{2'000'000});
  CHECK(limits.TakeUsage(At(4))[0].sent == 0);
}

}  // namespace
}  // namespace dogwoodport::fleet
