#pragma once

/// @file
/// What a new coordinator knows of those that lent tokens before it.

#include <cstdint>
#include <string>

#include "dogwoodport/core/types.h"

namespace dogwoodport::fleet {

/// How a coordinator came to lead.
struct LendingStart {
  std::uint64_t generation = 0;
  TimePoint took_over_at{};
  /// The record of the take-over was sent then, so that the role is certain as of this time.
  TimePoint confirmed_at{};
  /// No coordinator was before it, so that nobody can have lent.
  bool first = false;
  /// Argument of `CapOf` until the loans of its predecessors have run out.
  int takeovers = 1;
  /// Address and generation of the coordinator before.
  std::string predecessor;
  std::uint64_t predecessor_generation = 0;
  /// The predecessor had recorded that no loans of those before it were valid any more.
  bool predecessor_settled = false;
};

}  // namespace dogwoodport::fleet
