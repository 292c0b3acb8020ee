#include "dogwoodport/fleet/limits/account_limiter.h"

#include <algorithm>

namespace dogwoodport::fleet {
namespace {

/// Demand that every instance is taken to have in addition, in requests per second, so that one
/// without recent requests can admit the first ones.
constexpr double kDemandFloor = 0.5;
/// Fewest tokens that an instance may keep, so that a small share can admit whole requests.
constexpr double kSmallestCap = 1.0;
/// Bounds of the time that a refused caller is told to wait.
constexpr Duration kShortestRetry{100'000};
constexpr Duration kLongestRetry{2'000'000};

}  // namespace

double ShareOf(double own, double others, std::size_t reachable, std::size_t silent) noexcept {
  const auto active = static_cast<double>(reachable + 1);
  const double available = active / (active + static_cast<double>(silent));
  return available * (own + kDemandFloor) / (own + others + active * kDemandFloor);
}

bool AccountLimiter::Configure(const std::string& account, double rate, double burst) {
  Entry& entry = entries_[account];
  if (entry.rate == rate && entry.burst == burst) return false;
  entry.rate = rate;
  entry.burst = burst;
  return true;
}

void AccountLimiter::Keep(const std::vector<std::string>& names) {
  for (auto it = entries_.begin(); it != entries_.end();) {
    const bool known = std::find(names.begin(), names.end(), it->first) != names.end();
    it = known ? std::next(it) : entries_.erase(it);
  }
}

void AccountLimiter::SetInstances(std::size_t reachable, std::size_t silent) noexcept {
  reachable_ = reachable;
  silent_ = silent;
}

void AccountLimiter::SetOthersDemand(const std::string& account, double per_second) {
  if (const auto it = entries_.find(account); it != entries_.end()) {
    it->second.others_demand = per_second;
  }
}

void AccountLimiter::Refresh(Entry& entry, TimePoint now) noexcept {
  entry.bucket.Update(now);  // Tokens up to now accrue at the old share.
  const double share =
      ShareOf(entry.demand.PerSecond(now), entry.others_demand, reachable_, silent_);
  entry.bucket.Configure(entry.rate * share, std::max(kSmallestCap, entry.burst * share));
}

AccountLimiter::Decision AccountLimiter::Admit(const std::string& account, TimePoint now) {
  const auto it = entries_.find(account);
  if (it == entries_.end()) return {};
  Entry& entry = it->second;
  entry.demand.Add(now);
  if (entry.rate <= 0) return {};
  Refresh(entry, now);
  if (entry.bucket.Take(now)) return {};
  const double missing = 1 - entry.bucket.tokens();
  const double rate = std::max(entry.bucket.rate(), 0.01);
  return {false, std::clamp(FromSeconds(missing / rate), kShortestRetry, kLongestRetry)};
}

void AccountLimiter::Return(const std::string& account) {
  const auto it = entries_.find(account);
  if (it != entries_.end() && it->second.rate > 0) it->second.bucket.Add(1);
}

std::vector<std::pair<std::string, double>> AccountLimiter::Demand(TimePoint now) {
  std::vector<std::pair<std::string, double>> result;
  for (auto& [name, entry] : entries_) {
    const double demand = entry.demand.PerSecond(now);
    if (demand > 0.01) result.emplace_back(name, demand);
  }
  return result;
}

}  // namespace dogwoodport::fleet
