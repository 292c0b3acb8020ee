#include "dogwoodport/fleet/limits/account_limiter.h"

#include <algorithm>

namespace dogwoodport::fleet {
namespace {

/// Part of an account's demand that is shared out evenly, so that an instance without recent
/// requests can admit the first ones.
constexpr double kEvenPart = 0.1;
/// Fewest tokens that an instance may keep, so that a small share can admit whole requests.
constexpr double kSmallestCap = 1.0;
/// Tokens that an instance may owe at least while the account is far below its rate.
constexpr double kSmallestDebt = 3.0;
/// While the demand of all instances is below this part of the rate, the shares are of no
/// consequence, and an instance without a token goes into debt.
constexpr double kRelaxedPart = 0.85;
/// Demand below which an account is left out of the reports, in requests per second.
constexpr double kReportedDemand = 0.01;
/// Bounds of the time that a refused caller is told to wait.
constexpr Duration kShortestRetry{100'000};
constexpr Duration kLongestRetry{2'000'000};

}  // namespace

double ShareOf(double own, double others, std::size_t reachable, std::size_t silent) noexcept {
  const auto active = static_cast<double>(reachable + 1);
  const double available = active / (active + static_cast<double>(silent));
  const double total = own + others;
  if (total <= 0) return available / active;
  return available * ((1 - kEvenPart) * own / total + kEvenPart / active);
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
  // The demand that the others know of: with a newer one the shares would add up to more than 1.
  const double share = ShareOf(entry.reported_demand, entry.others_demand, reachable_, silent_);
  const double cap = std::max(kSmallestCap, entry.burst * share);
  entry.bucket.Configure(entry.rate * share, cap);
  if (entry.started) return;
  entry.started = true;
  entry.bucket.Add(std::max(kSmallestCap, entry.burst * EvenShare()));
}

double AccountLimiter::EvenShare() const noexcept {
  return 1.0 / static_cast<double>(reachable_ + silent_ + 1);
}

bool AccountLimiter::MayGoIntoDebt(Entry& entry, TimePoint now) const {
  const double demand = entry.demand.PerSecond(now) + entry.others_demand;
  const double deepest = std::max(kSmallestDebt, entry.burst * EvenShare());
  return silent_ == 0 && demand < kRelaxedPart * entry.rate && entry.bucket.tokens() > -deepest;
}

AccountLimiter::Decision AccountLimiter::Admit(const std::string& account, TimePoint now) {
  const auto it = entries_.find(account);
  if (it == entries_.end()) return {};
  Entry& entry = it->second;
  entry.demand.Add(now);
  if (entry.rate <= 0) return {};
  Refresh(entry, now);
  if (entry.bucket.Take(now)) return {};
  if (MayGoIntoDebt(entry, now)) {
    entry.bucket.Add(-1);
    return {};
  }
  const double missing = 1 - entry.bucket.tokens();
  const double rate = std::max(entry.bucket.rate(), 0.01);
  return {false, std::clamp(FromSeconds(missing / rate), kShortestRetry, kLongestRetry)};
}

std::vector<std::pair<std::string, double>> AccountLimiter::Demand(TimePoint now) {
  std::vector<std::pair<std::string, double>> result;
  for (auto& [name, entry] : entries_) {
    entry.reported_demand = entry.demand.PerSecond(now);
    if (entry.reported_demand > kReportedDemand) {
      result.emplace_back(name, entry.reported_demand);
    }
  }
  return result;
}

}  // namespace dogwoodport::fleet
