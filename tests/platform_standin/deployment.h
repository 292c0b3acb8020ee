#pragma once

/// @file
/// The daemon as processes of its own on stand-ins of the platform. What is checked does not depend
/// on the speed of the machine: limits of time only end a run that hangs.

#include <catch2/catch.hpp>

#include "dogwoodport/platform/standin/fleet_world.h"

namespace dogwoodport::platform::standin {

inline constexpr Duration kLimit{60'000'000};

/// A deployment and its loop.
struct Deployment {
  explicit Deployment(WorldSettings settings = {}) : world(loop, settings) {
    REQUIRE(world.RunUntilReady(kLimit));
    world.StartCallers();
  }

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

}  // namespace dogwoodport::platform::standin
