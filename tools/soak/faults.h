#pragma once

/// @file
/// Random faults on a deployment, in overlapping series.

#include <functional>
#include <random>
#include <string>
#include <vector>

#include "dogwoodport/platform/standin/fleet_world.h"

namespace dogwoodport::soak {

/// Plays faults until it is told to stop.
class FaultInjector {
 public:
  FaultInjector(net::EventLoop& loop, platform::standin::LocalFleet& fleet, std::uint64_t seed,
                std::ostream& history);

  /// Plays faults for `span` and then mends what is still broken. Requests that end their targets
  /// come on and on, also afterwards.
  void InjectFaults(Duration duration);

 private:
  struct FaultKind {
    const char* name;
    void (FaultInjector::*start)();
  };
  static const std::vector<FaultKind>& FaultKinds();

  void KillInstance();
  void StopInstance();
  void PauseInstance();
  void ReloadInstance();
  void DisconnectFromStore();
  void HoldStoreResponses();
  void DelayStore();
  void ResetStoreConnections();
  void InjectStoreFault();
  void CompactStore();
  void CrashTarget();
  void RestartTargetWithSameId();
  void DrainTarget();
  void HoldTargetTraffic();
  void ResetTargetConnections();
  void SlowTarget();
  void FailTargetRequests();
  void DropTargetResponses();
  void CorruptTargetResponses();
  void ChangeConfig();
  void RotateSecret();
  void WithdrawDataCentre();
  /// Sends one of a few requests that end their targets, at any instance, and goes on doing so.
  void SendCrashingRequests();

  std::size_t RandomIndex(std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_engine_);
  }
  Duration RandomDuration(int min_ms, int max_ms) {
    return std::chrono::milliseconds(
        std::uniform_int_distribution<int>(min_ms, max_ms)(random_engine_));
  }
  /// Runs `mend` after `span`, or at the end of the play if that comes first.
  void RepairAfter(Duration duration, std::function<void()> repair);
  /// Gives a fault of a target a value for a while.
  void InjectTargetFault(double platform::standin::TargetFaults::*field, double value);

  net::EventLoop& loop_;
  platform::standin::LocalFleet& fleet_;
  std::mt19937_64 random_engine_;
  /// For what goes on beside the faults, whose order depends on the seed alone.
  std::mt19937_64 crashing_request_random_;
  std::ostream& history_;
  std::map<int, std::function<void()>> pending_repairs_;
  int next_repair_id_ = 0;
};

}  // namespace dogwoodport::soak
