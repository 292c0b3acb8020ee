#include "dogwoodport/core/probe_schedule.h"

namespace dogwoodport {
namespace {

// Suspicion above which a target is probed at the urgent interval: half of the detector's default
// threshold.
constexpr double kUrgentSuspicion = 2.5;

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
  if (index >= probe_times_.size()) probe_times_.resize(index + 1);
  probe_times_[index].last_result = now;
}

bool ProbeSchedule::Urgent(const TargetRow& row) const noexcept {
  return row.down || row.verify_connection || row.slow >= SlowState::kSlow || row.ramp.ramping() ||
         row.suspicion > kUrgentSuspicion;
}

std::size_t ProbeSchedule::Rank(TargetId target) const noexcept {
  const std::uint64_t own = Weight(target, self_);
  std::size_t rank = 0;
  for (const InstanceId member : members_) rank += Weight(target, member) > own ? 1 : 0;
  return rank;
}

void ProbeSchedule::CollectDue(TimePoint now, const TargetTable& table,
                               std::vector<TargetId>& due) {
  if (probe_times_.size() < table.rows().size()) probe_times_.resize(table.rows().size());
  for (std::size_t i = 0; i < table.rows().size(); ++i) {
    const TargetRow& row = table.rows()[i];
    if (!row.configured) continue;
    const Duration interval = Urgent(row) ? settings_.urgent : settings_.normal;
    const ProbeTimes& times = probe_times_[i];
    if (now < times.last_result + interval || now < times.last_own_probe + interval) continue;
    const Duration delay = static_cast<Duration::rep>(Rank(row.config.id)) * settings_.takeover;
    if (now < times.last_result + interval + delay) continue;
    probe_times_[i].last_own_probe = now;
    due.push_back(row.config.id);
  }
}

}  // namespace dogwoodport
