#include "dogwoodport/fleet/membership/target_directory.h"

#include <array>
#include <tuple>

namespace dogwoodport::fleet {
namespace {

constexpr std::array<const char*, 8> kChangeNames = {
    "none", "joined", "restarted", "leaving", "changed", "turned_cold", "doubtful", "gone"};

TargetChange Compare(const TargetEntry& before, const TargetEntry& after) {
  if (after.incarnation != before.incarnation) return TargetChange::kRestarted;
  if (after.phase != before.phase) {
    return after.phase == TargetPhase::kDraining ? TargetChange::kLeaving : TargetChange::kChanged;
  }
  const bool same = std::tie(after.service, after.address, after.data_centre, after.slots) ==
                    std::tie(before.service, before.address, before.data_centre, before.slots);
  return same ? TargetChange::kNone : TargetChange::kChanged;
}

bool IsOlder(const TargetEntry& entry, const TargetEntry& current) {
  return std::tie(entry.incarnation, entry.sequence) <
         std::tie(current.incarnation, current.sequence);
}

}  // namespace

const char* NameOf(TargetChange change) noexcept {
  return kChangeNames[static_cast<std::size_t>(change)];
}

TargetChange TargetDirectory::Apply(const TargetEntry& heartbeat, TimePoint now) {
  TargetEntry entry = heartbeat;
  // The heartbeat may have been sent before the target announced that it is leaving.
  if (leaving_marks_.count({entry.id, entry.incarnation}) > 0) entry.phase = TargetPhase::kDraining;
  const auto [it, joined] = targets_.try_emplace(entry.id);
  Target& target = it->second;
  if (!joined && IsOlder(entry, target.entry)) return TargetChange::kNone;
  TargetChange change = joined ? TargetChange::kJoined : Compare(target.entry, entry);
  const bool turned_cold = entry.cold_remaining > Duration{0} && !target.cold(now);
  if (change == TargetChange::kNone && turned_cold) change = TargetChange::kTurnedCold;
  if (joined || change == TargetChange::kRestarted || entry.cold_remaining > Duration{0}) {
    target.cold_until = now + entry.cold_remaining;
  }
  if (target.doubtful_until) {
    target.doubtful_until.reset();
    if (change == TargetChange::kNone) change = TargetChange::kChanged;
  }
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
  if (!leaving_marks_.try_emplace(target, now).second) return TargetChange::kNone;
  if (!HasIncarnation(target)) return TargetChange::kNone;
  TargetPhase& phase = targets_.at(target.id).entry.phase;
  if (phase == TargetPhase::kDraining) return TargetChange::kNone;
  phase = TargetPhase::kDraining;
  ++version_;
  return TargetChange::kLeaving;
}

std::vector<TargetIncarnation> TargetDirectory::LeavingTargets() const {
  std::vector<TargetIncarnation> result;
  for (const auto& [target, since] : leaving_marks_) {
    const bool is_current = HasIncarnation(target);
    if (is_current && targets_.at(target.id).heartbeat_phase == TargetPhase::kReady) {
      result.push_back(target);
    }
  }
  return result;
}

void TargetDirectory::ForgetLeavingMarks(TimePoint now, Duration retention) {
  for (auto it = leaving_marks_.begin(); it != leaving_marks_.end();) {
    const bool needed = now - it->second <= retention || targets_.count(it->first.id) > 0;
    it = needed ? std::next(it) : leaving_marks_.erase(it);
  }
}

TargetChange TargetDirectory::Remove(const std::string& id, TimePoint now,
                                     bool store_was_unavailable, Duration grace_period) {
  const auto it = targets_.find(id);
  if (it == targets_.end()) return TargetChange::kNone;
  ++version_;
  if (store_was_unavailable && it->second.entry.phase == TargetPhase::kReady) {
    if (!it->second.doubtful_until) it->second.doubtful_until = now + grace_period;
    return TargetChange::kDoubtful;
  }
  Erase(it);
  return TargetChange::kGone;
}

void TargetDirectory::Erase(std::map<std::string, Target>::iterator it) {
  by_service_[it->second.entry.service].erase(it->first);
  targets_.erase(it);
}

std::vector<std::string> TargetDirectory::Expire(TimePoint now) {
  std::vector<std::string> expired;
  for (auto it = targets_.begin(); it != targets_.end();) {
    if (it->second.doubtful_until && *it->second.doubtful_until <= now) {
      expired.push_back(it->first);
      Erase(it++);
      ++version_;
    } else {
      ++it;
    }
  }
  return expired;
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
