#pragma once

/// @file
/// Directory of the targets, maintained from their heartbeats.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dogwoodport/fleet/membership/target_entry.h"

namespace dogwoodport::fleet {

/// State of a target as seen by this instance.
struct Target {
  /// Latest heartbeat. The phase also reflects what the target reports in its responses.
  TargetEntry entry;
  /// Phase according to the heartbeat alone.
  TargetPhase heartbeat_phase = TargetPhase::kReady;
  TimePoint cold_until{};
  /// Set if the entry was removed while the store may have lost heartbeats. The target is
  /// considered gone after this time.
  std::optional<TimePoint> doubtful_until;

  bool cold(TimePoint now) const noexcept { return now < cold_until; }
};

/// Change caused by a heartbeat.
enum class TargetChange {
  kNone,
  kJoined,
  kRestarted,
  kLeaving,
  kChanged,
  kTurnedCold,  ///< Became cold again within the same incarnation.
  kDoubtful,
  kGone,
};

/// Returns the name of a change for logs.
const char* NameOf(TargetChange change) noexcept;

/// All targets by id.
class TargetDirectory {
 public:
  /// Applies a heartbeat. Ignores heartbeats older than the latest one.
  TargetChange Apply(const TargetEntry& heartbeat, TimePoint now);

  /// Records that a target has announced that it is leaving. From then on it counts as draining,
  /// even if older heartbeats say otherwise or its entry is removed and added again. Returns kNone
  /// if the target was already marked.
  TargetChange MarkLeaving(const TargetIncarnation& target, TimePoint now);
  /// Returns the marked targets whose heartbeats do not report yet that they are leaving. They are
  /// reported to the other instances.
  std::vector<TargetIncarnation> LeavingTargets() const;
  /// Removes marks older than `retention` if the target has no entry.
  void ForgetLeavingMarks(TimePoint now, Duration retention);

  /// Applies the removal of an entry. If `store_was_unavailable`, live targets may have lost their
  /// entries as well and will write them again, so the target is kept for `grace_period` unless it
  /// is draining.
  TargetChange Remove(const std::string& id, TimePoint now, bool store_was_unavailable,
                      Duration grace_period);

  /// Removes doubtful targets whose grace period has expired and returns their ids.
  std::vector<std::string> Expire(TimePoint now);

  const Target* Find(const std::string& id) const;
  const std::map<std::string, Target>& targets() const noexcept { return targets_; }
  /// Returns the targets of a service by id. Complexity: logarithmic in the services.
  const std::map<std::string, const Target*>& OfService(const std::string& service) const;
  /// Increases with each change other than kNone.
  std::uint64_t version() const noexcept { return version_; }

 private:
  /// Whether the current entry of a target belongs to the leaving incarnation.
  bool HasIncarnation(const TargetIncarnation& target) const;
  void Erase(std::map<std::string, Target>::iterator it);

  std::map<std::string, Target> targets_;
  std::map<std::string, std::map<std::string, const Target*>> by_service_;
  /// Time at which each target was marked as leaving.
  std::map<TargetIncarnation, TimePoint> leaving_marks_;
  std::uint64_t version_ = 1;
};

}  // namespace dogwoodport::fleet
