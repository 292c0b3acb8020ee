#pragma once

/// @file
/// Runs the daemon as separate processes against simulated platform services. The checks do not
/// depend on the speed of the machine; timeouts only abort a run that hangs.

#include <catch2/catch.hpp>

#include "dogwoodport/platform/standin/fleet_world.h"

namespace dogwoodport::platform::standin {

inline constexpr Duration kTimeout{60'000'000};

/// Targets of the keyed service are every `kServices`-th one, from this one on.
inline constexpr std::size_t kFirstKeyedTarget = 2;
inline constexpr std::size_t kServices = 3;

/// Deployment with its event loop.
struct TestEnvironment {
  explicit TestEnvironment(LocalFleetSettings settings = {}) : fleet(loop, settings) {
    REQUIRE(fleet.RunUntilReady(kTimeout));
    fleet.StartCallers();
  }

  /// Runs until `count` further requests of the callers were served.
  bool RunUntilServed(std::uint64_t count) {
    const std::uint64_t before = fleet.checker().served();
    return fleet.RunUntil([&] { return fleet.checker().served() >= before + count; }, kTimeout);
  }

  void RequireNoViolations() {
    for (const std::string& violation : fleet.checker().violations()) UNSCOPED_INFO(violation);
    REQUIRE(fleet.checker().violations().empty());
  }

  net::EventLoop loop;
  LocalFleet fleet;
};

}  // namespace dogwoodport::platform::standin
