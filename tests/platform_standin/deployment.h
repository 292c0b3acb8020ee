#pragma once

/// @file
/// The daemon as processes of its own on stand-ins of the platform. What is checked does not depend
/// on the speed of the machine: limits of time only end a run that hangs.

#include <catch2/catch.hpp>

#include "dogwoodport/platform/standin/fleet_world.h"

namespace dogwoodport::platform::standin {

inline constexpr Duration kTimeout{60'000'000};

/// A deployment and its loop.
struct TestEnvironment {
  explicit TestEnvironment(LocalFleetSettings settings = {}) : fleet(loop, settings) {
    REQUIRE(fleet.RunUntilReady(kTimeout));
    fleet.StartCallers();
  }

  /// Runs until callers were served `n` more times.
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
