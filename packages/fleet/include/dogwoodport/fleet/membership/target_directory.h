#pragma once

/// @file
/// The targets as their heartbeats describe them.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dogwoodport/fleet/membership/target_entry.h"

namespace dogwoodport::fleet {

/// A target and what this instance has learned of it.
struct Target {
  TargetEntry entry;
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

/// All targets by id.
class TargetDirectory {
 public:
  /// Applies a heartbeat; older ones than the known one are ignored.
  TargetChange Apply(const TargetEntry& entry, TimePoint now);

  /// Applies the removal of an entry. While `store_was_away`, targets that live may have lost their
  /// entries too and write them again; the target stays until `grace` has passed.
  TargetChange Remove(const std::string& id, TimePoint now, bool store_was_away, Duration grace);

  /// Removes doubtful targets whose grace has passed and returns their ids.
  std::vector<std::string> Expire(TimePoint now);

  const Target* Find(const std::string& id) const;
  const std::map<std::string, Target>& targets() const noexcept { return targets_; }
  /// Targets of a service by id. Complexity: logarithmic in the services.
  const std::map<std::string, const Target*>& OfService(const std::string& service) const;
  /// Grows with each change other than kNone.
  std::uint64_t version() const noexcept { return version_; }

 private:
  void Erase(std::map<std::string, Target>::iterator it);

  std::map<std::string, Target> targets_;
  std::map<std::string, std::map<std::string, const Target*>> by_service_;
  std::uint64_t version_ = 1;
};

}  // namespace dogwoodport::fleet
