#pragma once

/// @file
/// The targets as their heartbeats describe them.

#include <compare>
#include <map>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <vector>

#include "dogwoodport/fleet/membership/target_entry.h"

namespace dogwoodport::fleet {

/// A target and what this instance has learned of it.
struct Target {
  /// Latest heartbeat; its phase also follows what the target says in its answers.
  TargetEntry entry;
  /// Phase by the heartbeat alone.
  TargetPhase heartbeat_phase = TargetPhase::kReady;
  TimePoint cold_until{};
  /// Set when the entry was removed while the store may have lost heartbeats; the target counts as
  /// gone from then on.
  std::optional<TimePoint> doubtful_until;

  bool cold(TimePoint now) const noexcept { return now < cold_until; }
};

/// What a heartbeat changed.
enum class TargetChange {
  kNone,
  kJoined,
  kRestarted,
  kLeaving,
  kChanged,
  kTurnedCold,  ///< Cold again within its incarnation.
  kDoubtful,
  kGone,
};

/// Name of a change for logs.
const char* NameOf(TargetChange change) noexcept;

/// A target that said in an answer that it leaves.
struct LeavingTarget {
  std::string id;
  std::uint64_t incarnation = 0;

  // clang-tidy 14 takes the 0 that a defaulted comparison is compared with for a pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const LeavingTarget&, const LeavingTarget&) = default;
  MSGPACK_DEFINE_ARRAY(id, incarnation)
};

/// All targets by id.
class TargetDirectory {
 public:
  /// Applies a heartbeat; older ones than the known one are ignored.
  TargetChange Apply(const TargetEntry& heartbeat, TimePoint now);

  /// Notes that a target has said that it leaves. It counts as draining from now on, whatever older
  /// heartbeats say, also if its entry goes and comes back. Returns kNone if that was known.
  TargetChange MarkLeaving(const LeavingTarget& target, TimePoint now);
  /// Marked targets whose heartbeats do not say yet that they leave, for the other instances.
  std::vector<LeavingTarget> LeavingTargets() const;
  /// Forgets marks older than `retention` of targets whose entry has gone.
  void ForgetLeavingMarks(TimePoint now, Duration retention);

  /// Applies the removal of an entry. While `store_was_unavailable`, targets that live may have
  /// lost their entries too and write them again; the target stays until `grace` has passed.
  TargetChange Remove(const std::string& id, TimePoint now, bool store_was_unavailable,
                      Duration grace_period);

  /// Removes doubtful targets whose grace has passed and returns their ids.
  std::vector<std::string> Expire(TimePoint now);

  const Target* Find(const std::string& id) const;
  const std::map<std::string, Target>& targets() const noexcept { return targets_; }
  /// Targets of a service by id. Complexity: logarithmic in the services.
  const std::map<std::string, const Target*>& OfService(const std::string& service) const;
  /// Grows with each change other than kNone.
  std::uint64_t version() const noexcept { return version_; }

 private:
  /// Whether the known entry of a target is that of the incarnation that leaves.
  bool HasIncarnation(const LeavingTarget& target) const;
  void Erase(std::map<std::string, Target>::iterator it);

  std::map<std::string, Target> targets_;
  std::map<std::string, std::map<std::string, const Target*>> by_service_;
  /// Time of the mark, by target.
  std::map<LeavingTarget, TimePoint> leaving_marks_;
  std::uint64_t version_ = 1;
};

}  // namespace dogwoodport::fleet
