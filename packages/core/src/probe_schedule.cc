#include "dogwoodport/core/probe_schedule.h"

namespace dogwoodport {
namespace {

// Half of the detector's default threshold.
constexpr double kSuspicious = 2.5;

std::uint64_t Weight(TargetId target, InstanceId member) noexcept {
  return (target.value ^ (member.value >> 1)) * 0x9E3779B97F4A7C15ULL;
}

}  // namespace

void ProbeSchedule::OnDelegation(const Delegation& delegation) {
  members_.clear();
  for (const Member& member : delegation.members) {
    if (!member.witness) members_.push_back(member.id);
  }
}

void ProbeSchedule::OnResult(TimePoint now, std::size_t index) {
  if (index >= slots_.size()) slots_.resize(index + 1);
  slots_[index].last_result = now;
}

bool ProbeSchedule::Urgent(const TargetRow& row) const noexcept {
  return row.down || row.verify_connection || row.slow >= SlowState::kSlow || row.ramp.ramping() ||
         row.suspicion > kSuspicious;
}

std::size_t ProbeSchedule::Rank(TargetId target) const noexcept {
  const std::uint64_t own = Weight(target, self_);
  std::size_t rank = 0;
  for (const InstanceId member : members_) rank += Weight(target, member) > own ? 1 : 0;
  return rank;
}

void ProbeSchedule::CollectDue(TimePoint now, const TargetTable& table,
                               std::vector<TargetId>& due) {
  if (slots_.size() < table.rows().size()) slots_.resize(table.rows().size());
  for (std::size_t i = 0; i < table.rows().size(); ++i) {
    const TargetRow& row = table.rows()[i];
    if (!row.configured) continue;
    const Duration interval = Urgent(row) ? settings_.urgent : settings_.normal;
    const Slot& slot = slots_[i];
    if (now < slot.last_result + interval || now < slot.last_own_probe + interval) continue;
    const Duration delay = static_cast<Duration::rep>(Rank(row.config.id)) * settings_.takeover;
    if (now < slot.last_result + interval + delay) continue;
    slots_[i].last_own_probe = now;
    due.push_back(row.config.id);
  }
}

}  // namespace dogwoodport
