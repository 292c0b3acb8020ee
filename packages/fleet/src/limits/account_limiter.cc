#include "dogwoodport/fleet/limits/account_limiter.h"

#include <algorithm>
#include <utility>

namespace dogwoodport::fleet {
namespace {

/// Part of an account's demand that is shared out evenly, so that an instance without recent
/// requests can admit the first ones.
constexpr double kEvenPart = 0.1;
/// Fewest tokens that an instance may keep, so that a small share can admit whole requests.
constexpr double kSmallestCap = 1.0;
/// Part of the burst that the instances' buckets may hold; the rest is in the pool only.
constexpr double kBucketPart = 0.3;
/// Tokens that an instance may owe while the pool has some. It bounds what is admitted before the
/// others know.
constexpr double kSmallestDebt = 8.0;
/// Part of the tolerance that is used as rate. The rest covers what the others do not know yet.
constexpr double kUsedTolerance = 0.4;
constexpr double kUsedToleranceOfLarge = 0.2;
/// Part of the burst below which the pool counts as low. The larger one holds for accounts whose
/// tolerance is less than a request for every fifth instance: what the instances admit before they
/// report is more than the tolerance covers then.
constexpr double kPoolReserve = 0.2;
constexpr double kPoolReserveOfSmall = 0.4;
constexpr double kSmallTolerance = 0.2;
/// Part of the pool that all instances together may use between two reports, and requests that each
/// may admit in any case: its part of the tolerance, within these bounds.
constexpr double kUnreportedPart = 0.5;
constexpr double kFewestUnreported = 1.0;
constexpr double kEnoughUnreported = 3.0;
/// Instances above which reports pass the coordinator and relays, and what all instances admit
/// before they report can exceed the tolerance of an account.
constexpr double kSmallFleet = 100;
/// Instances of which one may be silent, so that the pool counts as known.
constexpr std::size_t kSilentFactor = 10;
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

void AccountLimiter::OnOthersAdmitted(const std::string& account, double n, TimePoint now) {
  const auto it = entries_.find(account);
  if (it == entries_.end()) return;
  Refresh(it->second, now);
  it->second.pool -= n;
}

void AccountLimiter::OnUnknown(TimePoint now) {
  for (auto& [name, entry] : entries_) {
    if (entry.pool_at == TimePoint{}) continue;
    Refresh(entry, now);
    entry.pool = std::min(entry.pool, 0.0);
  }
}

void AccountLimiter::Refresh(Entry& entry, TimePoint now) noexcept {
  entry.bucket.Update(now);  // Tokens up to now accrue at the old share.
  // The demand that the others know of: with a newer one the shares would add up to more than 1. In
  // a large fleet that takes so long that only the lowest one of the last reports is known to all.
  const double own =
      IsLargeFleet() ? std::min(entry.low_demand, entry.low_demand_before) : entry.reported.demand;
  const double others = entry.others_demand + (entry.reported.demand - own);
  const double share = ShareOf(own, others, reachable_, silent_);
  const double cap = std::max(kSmallestCap, kBucketPart * entry.burst * share);
  entry.bucket.Configure(TargetRate(entry) * share, cap);
  const double most = std::max(1.0, entry.burst);
  const bool is_new = entry.pool_at == TimePoint{};
  const double accrued = is_new ? most : TargetRate(entry) * Seconds(now - entry.pool_at);
  // A long excess is not held against what follows.
  entry.pool = std::clamp(entry.pool + accrued, -most, most);
  entry.pool_at = now;
}

double AccountLimiter::Instances() const noexcept {
  return static_cast<double>(reachable_ + silent_ + 1);
}

bool AccountLimiter::IsLargeFleet() const noexcept { return Instances() > kSmallFleet; }

double AccountLimiter::TargetRate(const Entry& entry) const noexcept {
  const double used = IsLargeFleet() ? kUsedToleranceOfLarge : kUsedTolerance;
  return entry.rate + used * Tolerated(entry) / Seconds(tolerance_.window);
}

double AccountLimiter::Tolerated(const Entry& entry) const noexcept {
  return (entry.rate * Seconds(tolerance_.window) + entry.burst) * tolerance_.overshoot +
         tolerance_.slack;
}

double AccountLimiter::MostUnreported(const Entry& entry) const noexcept {
  const double part = IsLargeFleet() ? Tolerated(entry) / Instances() : kEnoughUnreported;
  return std::max(std::clamp(part, kFewestUnreported, kEnoughUnreported),
                  kUnreportedPart * entry.pool / Instances());
}

bool AccountLimiter::IsOpen(const Entry& entry, TimePoint now) const {
  const bool alone = reachable_ + silent_ == 0;
  const bool known = alone || now - known_at_ <= kPoolAge;
  const bool most_report = known && silent_ * kSilentFactor <= reachable_ + 1;
  const double even = entry.burst / Instances();
  const bool reported = alone || entry.admitted - entry.reported.admitted < MostUnreported(entry);
  const bool small = Tolerated(entry) < kSmallTolerance * Instances();
  const double reserve = small ? kPoolReserveOfSmall : kPoolReserve;
  return most_report && reported && entry.pool >= reserve * std::max(1.0, entry.burst) &&
         entry.bucket.tokens() > -std::max(kSmallestDebt, even);
}

AccountLimiter::Decision AccountLimiter::Admit(const std::string& account, TimePoint now) {
  const auto it = entries_.find(account);
  if (it == entries_.end()) return {};
  Entry& entry = it->second;
  entry.demand.Add(now);
  if (entry.rate <= 0) return {};
  Refresh(entry, now);
  const bool open = IsOpen(entry, now);
  if (open || entry.bucket.tokens() >= 1) {
    ++(open ? entry.by_pool : entry.by_share);
    entry.bucket.Add(-1);
    entry.pool -= 1;
    ++entry.admitted;
    const double unreported = entry.admitted - entry.reported.admitted;
    report_is_urgent_ = report_is_urgent_ || 2 * unreported >= MostUnreported(entry);
    return {};
  }
  const double missing = 1 - entry.bucket.tokens();
  const double rate = std::max(entry.bucket.rate(), 0.01);
  return {false, std::clamp(FromSeconds(missing / rate), kShortestRetry, kLongestRetry)};
}

std::vector<AccountUse> AccountLimiter::Report(TimePoint now) {
  std::vector<AccountUse> result;
  report_is_urgent_ = false;
  for (auto& [name, entry] : entries_) {
    const AccountUse use{name, entry.demand.PerSecond(now), entry.admitted};
    const bool changed = use.admitted != entry.reported.admitted;
    entry.reported = use;
    if (now - entry.low_since >= kShareSpan) {
      entry.low_demand_before = entry.low_demand;
      entry.low_demand = use.demand;
      entry.low_since = now;
    }
    entry.low_demand = std::min(entry.low_demand, use.demand);
    if (use.demand > kReportedDemand || changed) result.push_back(use);
  }
  return result;
}

std::vector<AccountStatus> AccountLimiter::TakeStatus(std::size_t n) {
  std::vector<AccountStatus> result;
  for (auto& [name, entry] : entries_) {
    if (entry.by_pool + entry.by_share == 0) continue;
    result.push_back({name, std::exchange(entry.by_pool, 0), std::exchange(entry.by_share, 0),
                      entry.bucket.rate(), entry.others_demand, entry.pool});
  }
  const auto last = result.begin() + static_cast<std::ptrdiff_t>(std::min(n, result.size()));
  std::partial_sort(result.begin(), last, result.end(),
                    [](const AccountStatus& a, const AccountStatus& b) {
                      return a.by_pool + a.by_share > b.by_pool + b.by_share;
                    });
  result.erase(last, result.end());
  return result;
}

AccountUse AccountLimiter::Reported(const std::string& account) const {
  const auto it = entries_.find(account);
  return it == entries_.end() ? AccountUse{} : it->second.reported;
}

}  // namespace dogwoodport::fleet
