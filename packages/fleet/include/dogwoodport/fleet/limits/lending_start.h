#pragma once

/// @file
/// Information about earlier lenders that a new coordinator starts with.

#include <cstdint>
#include <string>

#include "dogwoodport/core/types.h"

namespace dogwoodport::fleet {

/// Circumstances under which an instance became the coordinator.
struct LendingStart {
  /// Offset of the take-over record in the ownership feed.
  std::uint64_t generation = 0;
  TimePoint took_over_at{};
  /// Time at which the take-over record was sent. The role is confirmed as of this time.
  TimePoint confirmed_at{};
  /// Whether there was no coordinator before, so that no instance can have lent tokens.
  bool first = false;
  /// Argument of `TokenCap` until the loans of all predecessors have expired.
  int takeovers = 1;
  /// Address and generation of the previous coordinator.
  std::string predecessor;
  std::uint64_t predecessor_generation = 0;
  /// Whether the predecessor had recorded that all loans of coordinators before it had expired.
  bool predecessor_settled = false;
};

}  // namespace dogwoodport::fleet
