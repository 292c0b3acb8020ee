#include "dogwoodport/fleet/membership/target_directory.h"

#include <array>
#include <tuple>
#include <utility>

namespace dogwoodport::fleet {
namespace {

constexpr std::array<const char*, 9> kChangeNames = {"none",           "joined",   "restarted",
                                                     "leaving",        "changed",  "turned_cold",
                                                     "phase_reported", "doubtful", "gone"};

/// Minimum extension of a cold period that counts as a change. Heartbeats arrive with different
/// delays.
constexpr Duration kMinColdExtension{1'000'000};
/// Heartbeats that a superseded incarnation with an earlier start must have sent since then to be
/// taken for the current one. Fewer may be writes of an ended process that the store executed late.
constexpr std::uint64_t kMinRevivalHeartbeats = 8;

TargetChange Compare(const TargetEntry& before, const TargetEntry& after) {
  if (after.incarnation != before.incarnation) return TargetChange::kRestarted;
  if (after.phase != before.phase) {
    return after.phase == TargetPhase::kDraining ? TargetChange::kLeaving : TargetChange::kChanged;
  }
  const bool same = std::tie(after.service, after.address, after.data_centre, after.slots) ==
                    std::tie(before.service, before.address, before.data_centre, before.slots);
  return same ? TargetChange::kNone : TargetChange::kChanged;
}

}  // namespace

const char* NameOf(TargetChange change) noexcept {
  return kChangeNames[static_cast<std::size_t>(change)];
}

bool TargetDirectory::IsOutdated(const TargetEntry& heartbeat) const {
  const auto it = incarnations_.find({heartbeat.id, heartbeat.incarnation});
  if (it == incarnations_.end() || !it->second.sequence) return false;
  const std::uint64_t latest = *it->second.sequence;
  const Target* const current = Find(heartbeat.id);
  // Without a start time, the next incarnation has the same number.
  if (current == nullptr) return heartbeat.incarnation != 0 && heartbeat.sequence <= latest;
  const std::uint64_t incarnation = current->entry.incarnation;
  if (incarnation == heartbeat.incarnation) return heartbeat.sequence < latest;
  if (incarnation < heartbeat.incarnation) return heartbeat.sequence <= latest;
  return heartbeat.sequence < latest + kMinRevivalHeartbeats;
}

TargetChange TargetDirectory::Apply(const TargetEntry& heartbeat, TimePoint now) {
  if (IsOutdated(heartbeat)) return TargetChange::kNone;
  Incarnation& incarnation = incarnations_[{heartbeat.id, heartbeat.incarnation}];
  incarnation.sequence = heartbeat.sequence;
  incarnation.last_seen_at = now;
  TargetEntry entry = heartbeat;
  // The heartbeat may have been sent before the target announced that it is leaving.
  if (incarnation.marked_leaving) entry.phase = TargetPhase::kDraining;
  const auto [it, joined] = targets_.try_emplace(entry.id);
  Target& target = it->second;
  TargetChange change = joined ? TargetChange::kJoined : Compare(target.entry, entry);
  if (change == TargetChange::kNone && heartbeat.phase != target.heartbeat_phase) {
    change = TargetChange::kPhaseReported;
  }
  const TimePoint cold_until = now + entry.cold_remaining;
  const bool turned_cold =
      entry.cold_remaining > Duration{0} &&
      (!target.cold(now) || cold_until >= target.cold_until + kMinColdExtension);
  if (change == TargetChange::kNone && turned_cold) change = TargetChange::kTurnedCold;
  if (joined || change == TargetChange::kRestarted || entry.cold_remaining > Duration{0}) {
    target.cold_until = cold_until;
  }
  if (change == TargetChange::kNone && target.doubtful) change = TargetChange::kChanged;
  SetDoubtful(target, false);
  if (!joined && target.entry.service != entry.service) {
    by_service_[target.entry.service].erase(entry.id);
  }
  target.entry = entry;
  target.heartbeat_phase = heartbeat.phase;
  by_service_[entry.service][entry.id] = &target;
  if (change != TargetChange::kNone) ++version_;
  return change;
}

bool TargetDirectory::HasIncarnation(const TargetIncarnation& target) const {
  const Target* const found = Find(target.id);
  return found != nullptr && found->entry.incarnation == target.incarnation;
}

TargetChange TargetDirectory::MarkLeaving(const TargetIncarnation& target, TimePoint now) {
  Incarnation& incarnation = incarnations_[target];
  if (std::exchange(incarnation.marked_leaving, true)) return TargetChange::kNone;
  incarnation.last_seen_at = now;
  if (!HasIncarnation(target)) return TargetChange::kNone;
  TargetPhase& phase = targets_.at(target.id).entry.phase;
  if (phase == TargetPhase::kDraining) return TargetChange::kNone;
  phase = TargetPhase::kDraining;
  ++version_;
  return TargetChange::kLeaving;
}

std::vector<TargetIncarnation> TargetDirectory::LeavingTargets() const {
  std::vector<TargetIncarnation> result;
  for (const auto& [target, incarnation] : incarnations_) {
    if (!incarnation.marked_leaving || !HasIncarnation(target)) continue;
    if (targets_.at(target.id).heartbeat_phase == TargetPhase::kReady) result.push_back(target);
  }
  return result;
}

void TargetDirectory::ForgetIncarnations(TimePoint now, Duration retention) {
  for (auto it = incarnations_.begin(); it != incarnations_.end();) {
    const bool needed = now - it->second.last_seen_at <= retention || HasIncarnation(it->first);
    it = needed ? std::next(it) : incarnations_.erase(it);
  }
}

TargetChange TargetDirectory::Remove(const std::string& id, TimePoint now, bool may_be_alive) {
  const auto it = targets_.find(id);
  if (it == targets_.end()) return TargetChange::kNone;
  ++version_;
  if (may_be_alive && it->second.entry.phase == TargetPhase::kReady) {
    SetDoubtful(it->second, true);
    return TargetChange::kDoubtful;
  }
  Erase(it, now);
  return TargetChange::kGone;
}

void TargetDirectory::SetDoubtful(Target& target, bool doubtful) {
  if (target.doubtful && !doubtful) --doubtful_count_;
  if (!target.doubtful && doubtful) ++doubtful_count_;
  target.doubtful = doubtful;
}

void TargetDirectory::Erase(std::map<std::string, Target>::iterator it, TimePoint now) {
  incarnations_[{it->first, it->second.entry.incarnation}].last_seen_at = now;
  SetDoubtful(it->second, false);
  by_service_[it->second.entry.service].erase(it->first);
  targets_.erase(it);
}

std::vector<std::string> TargetDirectory::RemoveDoubtful(TimePoint now) {
  std::vector<std::string> removed;
  for (auto it = targets_.begin(); it != targets_.end();) {
    const auto current = it++;
    if (!current->second.doubtful) continue;
    removed.push_back(current->first);
    Erase(current, now);
    ++version_;
  }
  return removed;
}

const std::map<std::string, const Target*>& TargetDirectory::OfService(
    const std::string& service) const {
  static const std::map<std::string, const Target*> none;
  const auto it = by_service_.find(service);
  return it == by_service_.end() ? none : it->second;
}

const Target* TargetDirectory::Find(const std::string& id) const {
  const auto it = targets_.find(id);
  return it == targets_.end() ? nullptr : &it->second;
}

}  // namespace dogwoodport::fleet
