#pragma once

/// @file
/// Contents of a target's heartbeat.

#include <optional>
#include <string>

#include "dogwoodport/core/types.h"

namespace dogwoodport::fleet {

enum class TargetPhase { kReady, kDraining };

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
