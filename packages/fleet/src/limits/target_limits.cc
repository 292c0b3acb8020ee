#include "dogwoodport/fleet/limits/target_limits.h"

#include <utility>

namespace dogwoodport::fleet {

void TargetLimits::OnResponse(const TargetIncarnation& target, std::optional<double> rate,
                              TimePoint sent_at, TimePoint now) {
  if (rate) {
    Set(target, rate, now);
    return;
  }
  const auto it = limits_.find(target);
  if (it != limits_.end() && sent_at > it->second.observed_at) Set(target, std::nullopt, sent_at);
}

void TargetLimits::Set(const TargetIncarnation& target, std::optional<double> rate,
                       TimePoint observed_at) {
  Limit& limit = limits_[target];
  limit.observed_at = observed_at;
  if (limit.rate == rate) return;
  changes_.push_back({target, std::exchange(limit.rate, rate), rate});
}

void TargetLimits::OnSend(const TargetIncarnation& target) {
  const auto it = limits_.find(target);
  if (it != limits_.end()) ++it->second.sent;
}

std::optional<double> TargetLimits::RateOf(const TargetIncarnation& target) const {
  const auto it = limits_.find(target);
  return it == limits_.end() ? std::nullopt : it->second.rate;
}

std::vector<TargetLimitChange> TargetLimits::TakeChanges() { return std::exchange(changes_, {}); }

std::vector<TargetLimitUsage> TargetLimits::TakeUsage(TimePoint now) {
  std::vector<TargetLimitUsage> result;
  for (auto& [target, limit] : limits_) {
    const std::uint32_t sent = std::exchange(limit.sent, 0);
    if (limit.rate) result.push_back({target, *limit.rate, sent, now - limit.observed_at});
  }
  return result;
}

}  // namespace dogwoodport::fleet
