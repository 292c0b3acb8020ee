#pragma once

/// @file
/// What a target says of itself in its heartbeats.

#include <optional>
#include <string>

#include "dogwoodport/core/types.h"

namespace dogwoodport::fleet {

enum class TargetPhase { kReady, kDraining };

/// One heartbeat.
struct TargetEntry {
  std::string id;
  std::string service;
  /// "ip:port".
  std::string address;
  /// Data centre.
  std::string data_centre;
  std::uint32_t slots = 1;
  TargetPhase phase = TargetPhase::kReady;
  /// How much longer the target is cold, counted from the heartbeat.
  Duration cold_remaining{0};
  /// Unix milliseconds of its start: the incarnation.
  std::uint64_t incarnation = 0;
  /// Heartbeat number within an incarnation.
  std::uint64_t sequence = 0;
};

}  // namespace dogwoodport::fleet
