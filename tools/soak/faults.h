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
class Faults {
 public:
  Faults(net::EventLoop& loop, platform::standin::FleetWorld& world, std::uint64_t seed,
         std::ostream& out);

  /// Plays faults for `span` and then mends what is still broken. Requests that end their targets
  /// come on and on, also afterwards.
  void Play(Duration span);

 private:
  struct Kind {
    const char* name;
    void (Faults::*start)();
  };
  static const std::vector<Kind>& Kinds();

  void KillInstance();
  void StopInstance();
  void PauseInstance();
  void ReloadInstance();
  void CutStore();
  void SilenceStoreAnswers();
  void DelayStore();
  void ResetStoreConnections();
  void DisturbStore();
  void CompactStore();
  void CrashTarget();
  void RebornTarget();
  void DrainTarget();
  void SilenceTarget();
  void ResetTargetConnections();
  void SlowTarget();
  void FailingTarget();
  void TargetThatLosesAnswers();
  void TargetThatSpoilsAnswers();
  void ChangeConfig();
  void RotateSecret();
  void WithdrawDataCentre();
  /// Sends one of a few requests that end their targets, at any instance, and goes on doing so.
  void KeepSendingDeadly();

  std::size_t Pick(std::size_t n) {
    return std::uniform_int_distribution<std::size_t>(0, n - 1)(random_);
  }
  Duration Span(int least_ms, int most_ms) {
    return std::chrono::milliseconds(
        std::uniform_int_distribution<int>(least_ms, most_ms)(random_));
  }
  /// Runs `mend` after `span`, or at the end of the play if that comes first.
  void MendAfter(Duration span, std::function<void()> mend);
  /// Gives a fault of a target a value for a while.
  void DisturbTarget(double platform::standin::TargetFaults::*field, double value);

  net::EventLoop& loop_;
  platform::standin::FleetWorld& world_;
  std::mt19937_64 random_;
  /// For what goes on beside the faults, whose order depends on the seed alone.
  std::mt19937_64 deadly_random_;
  std::ostream& out_;
  std::map<int, std::function<void()>> mends_;
  int next_mend_ = 0;
};

}  // namespace dogwoodport::soak
