#pragma once

/// @file
/// Contents of a target's heartbeat.

#include <compare>
#include <msgpack.hpp>
#include <optional>
#include <string>

#include "dogwoodport/core/types.h"

namespace dogwoodport::fleet {

enum class TargetPhase { kReady, kDraining };

/// One life of a target, from its start to its end.
struct TargetIncarnation {
  std::string id;
  std::uint64_t incarnation = 0;

  // clang-tidy 14 mistakes the 0 in a defaulted comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const TargetIncarnation&, const TargetIncarnation&) = default;
  MSGPACK_DEFINE_ARRAY(id, incarnation)
};

/// One heartbeat of a target.
struct TargetEntry {
  std::string id;
  std::string service;
  /// "ip:port".
  std::string address;
  std::string data_centre;
  std::uint32_t slots = 1;
  TargetPhase phase = TargetPhase::kReady;
  /// Remaining time for which the target is cold, counted from the heartbeat.
  Duration cold_remaining{0};
  /// Start time of the target in milliseconds of Unix time. It identifies the incarnation.
  std::uint64_t incarnation = 0;
  /// Number of the heartbeat within the incarnation.
  std::uint64_t sequence = 0;
};

}  // namespace dogwoodport::fleet
