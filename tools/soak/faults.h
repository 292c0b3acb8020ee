#pragma once

/// @file
/// Injects random, overlapping faults into a deployment.

#include <functional>
#include <random>
#include <string>
#include <vector>

#include "dogwoodport/platform/standin/fleet_world.h"

namespace dogwoodport::soak {

/// Injects faults in an order that depends only on the seed.
class FaultInjector {
 public:
  FaultInjector(net::EventLoop& loop, platform::standin::LocalFleet& fleet, std::uint64_t seed,
                std::ostream& history);

  /// Injects faults for `duration`, then repairs those that are still active. Requests that crash
  /// their targets are sent continuously, also after this call.
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
  /// Makes the limited target name its limit, also after it was restarted.
  void NameLimit();
  /// Adds an odd entry to those of the targets, removes the entry of a target that leaves, or makes
  /// the store turn one instance away, and schedules the next one until the end of InjectFaults().
  void DisturbTargetEntries();
  /// Makes a target respond without end, or cuts one off from the store and restarts it under its
  /// id meanwhile, and schedules the next one until the end of InjectFaults().
  void DisturbTargets();
  /// Makes a target refuse a share of its requests and grants, repeat its refusals and, in half of
  /// the cases, omit the ids of control calls in its responses, and schedules the next one until
  /// the end of InjectFaults().
  void RepeatRefusals();
  /// Sends one of a few requests that crash their targets to a random instance, and schedules the
  /// next one.
  void SendCrashingRequests();

  std::size_t RandomIndex(std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_engine_);
  }
  Duration RandomDuration(int min_ms, int max_ms) {
    return std::chrono::milliseconds(
        std::uniform_int_distribution<int>(min_ms, max_ms)(random_engine_));
  }
  /// Runs `repair` after `duration`, or at the end of InjectFaults() if that comes first. The time
  /// until then counts as disturbed.
  void RepairAfter(Duration duration, std::function<void()> repair);
  /// Likewise, but the time does not count as disturbed.
  void ScheduleRepair(Duration duration, std::function<void()> repair);
  /// Sets a fault of a random target to `value` for a random time.
  void InjectTargetFault(double platform::standin::TargetFaults::*field, double value);

  net::EventLoop& loop_;
  platform::standin::LocalFleet& fleet_;
  std::mt19937_64 random_engine_;
  /// Separate engine for the crashing requests, so that the sequence of faults depends on the seed
  /// only.
  std::mt19937_64 crashing_request_random_;
  /// Likewise for the entries of the targets, for the targets, and for repeated refusals.
  std::mt19937_64 target_entry_random_;
  net::TimerId target_entry_timer_;
  std::mt19937_64 target_random_;
  net::TimerId target_timer_;
  std::mt19937_64 refusal_random_;
  net::TimerId refusal_timer_;
  std::ostream& history_;
  std::map<int, std::function<void()>> pending_repairs_;
  int next_repair_id_ = 0;
  /// Target that names a limit from the first fault on, and the limit in requests per second.
  std::size_t limited_target_ = 0;
  double limit_ = 0;
};

}  // namespace dogwoodport::soak
