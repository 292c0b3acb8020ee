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
  /// Whether the entry was removed while the store may have lost heartbeats.
  bool doubtful = false;

  bool cold(TimePoint now) const noexcept { return now < cold_until; }
};

/// Change caused by a heartbeat.
enum class TargetChange {
  kNone,
  kJoined,
  kRestarted,
  kLeaving,
  kChanged,
  kTurnedCold,     ///< Became cold again, or for longer, within the same incarnation.
  kPhaseReported,  ///< Its heartbeats report a phase that a response had announced.
  kDoubtful,
  kGone,
};

/// Returns the name of a change for logs.
const char* NameOf(TargetChange change) noexcept;

/// All targets by id.
class TargetDirectory {
 public:
  /// Applies a heartbeat. Ignores heartbeats older than the latest one, also after the removal of
  /// the entry. An incarnation that was not seen before is the current one, even if its start time
  /// is earlier, because the target's clock may have been set back. Returns kNone only if the
  /// heartbeat contains nothing new for an instance that has received the previous ones.
  TargetChange Apply(const TargetEntry& heartbeat, TimePoint now);

  /// Records that a target has announced that it is leaving. From then on it counts as draining,
  /// even if older heartbeats say otherwise or its entry is removed and added again. Returns kNone
  /// if the target was already marked.
  TargetChange MarkLeaving(const TargetIncarnation& target, TimePoint now);
  /// Returns the marked targets whose heartbeats do not report yet that they are leaving. They are
  /// reported to the other instances.
  std::vector<TargetIncarnation> LeavingTargets() const;
  /// Forgets incarnations that have had no entry and no new mark for `retention`.
  void ForgetIncarnations(TimePoint now, Duration retention);

  /// Applies the removal of an entry. If `may_be_alive`, the store may have lost the entries of
  /// live targets, which will write them again. The target is then kept as doubtful unless it is
  /// draining.
  TargetChange Remove(const std::string& id, TimePoint now, bool may_be_alive);

  /// Removes the doubtful targets and returns their ids. Complexity: linear in the targets.
  std::vector<std::string> RemoveDoubtful(TimePoint now);
  bool has_doubtful() const noexcept { return doubtful_count_ > 0; }

  const Target* Find(const std::string& id) const;
  const std::map<std::string, Target>& targets() const noexcept { return targets_; }
  /// Returns the targets of a service by id. Complexity: logarithmic in the services.
  const std::map<std::string, const Target*>& OfService(const std::string& service) const;
  /// Increases with each change other than kNone.
  std::uint64_t version() const noexcept { return version_; }

 private:
  /// What is known of an incarnation, also while it has no entry.
  struct Incarnation {
    /// Sequence number of its latest heartbeat.
    std::optional<std::uint64_t> sequence;
    /// Whether it has announced in a response that it is leaving.
    bool marked_leaving = false;
    /// Time of its latest mark or heartbeat, or of the removal of its entry.
    TimePoint last_seen_at{};
  };

  /// Whether the current entry of a target belongs to the given incarnation.
  bool HasIncarnation(const TargetIncarnation& target) const;
  /// Whether a heartbeat is older than what is known of the target.
  bool IsOutdated(const TargetEntry& heartbeat) const;
  void SetDoubtful(Target& target, bool doubtful);
  void Erase(std::map<std::string, Target>::iterator it, TimePoint now);

  std::map<std::string, Target> targets_;
  std::map<std::string, std::map<std::string, const Target*>> by_service_;
  std::map<TargetIncarnation, Incarnation> incarnations_;
  std::size_t doubtful_count_ = 0;
  std::uint64_t version_ = 1;
};

}  // namespace dogwoodport::fleet
