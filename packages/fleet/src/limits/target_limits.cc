#include "dogwoodport/fleet/limits/target_limits.h"

#include <cmath>
#include <utility>

#include "token_rounding.h"

namespace dogwoodport::fleet {
namespace {

/// Smallest rate at which tokens accrue for a target that takes almost no requests. A few must be
/// sent, because the end of a limit shows in responses only.
constexpr double kMinRate = 0.01;
/// Changes of a limit by less than this fraction are not reported as changes.
constexpr double kMinRelativeChange = 0.1;
/// Maximum delay of a report between instances that are in contact. An end of a limit that another
/// instance reports must be later by this than the latest response that named the limit.
constexpr Duration kMaxReportDelay{1'000'000};
/// A reported limit with a known rate replaces the time of its observation only if it is later by
/// this, so that reports which several instances pass on do not make it ever newer.
constexpr Duration kMinRefresh{300'000};
/// Time for which a changed limit is included in every report.
constexpr Duration kResendTime{3'000'000};
/// Maximum number of changed limits in a report, and of others that are reported in turn.
constexpr std::size_t kMaxChangedReports = 64;
constexpr std::size_t kMaxReportsInTurn = 8;
/// Time for which a token is requested after a request was sent to another target.
constexpr Duration kWantTime{150'000};
/// Time for which the limit of a target without an entry is kept. Entries return after an outage of
/// the store.
constexpr Duration kRetention{60'000'000};
/// Limits of the retry time given to a refused caller.
constexpr Duration kMinRetryAfter{100'000};
constexpr Duration kMaxRetryAfter{30'000'000};

/// Returns the name of a target's token budget. Names of client accounts contain no control
/// characters.
std::string BudgetName(const TargetIncarnation& target) {
  return "\x1ftarget|" + target.id + "|" + std::to_string(target.incarnation);
}

bool IsNotable(std::optional<double> before, std::optional<double> after) {
  if (before.has_value() != after.has_value()) return true;
  return before && std::abs(*after - *before) > kMinRelativeChange * *before;
}

}  // namespace

TargetLimits::Limit* TargetLimits::FindLimited(const TargetIncarnation& target) {
  if (limited_ == 0) return nullptr;
  const auto it = limits_.find(target);
  return it == limits_.end() || !it->second.rate ? nullptr : &it->second;
}

const TargetLimits::Limit* TargetLimits::FindLimited(const TargetIncarnation& target) const {
  const auto it = limits_.find(target);
  return it == limits_.end() || !it->second.rate ? nullptr : &it->second;
}

void TargetLimits::OnResponse(const TargetIncarnation& target, std::optional<double> rate,
                              TimePoint sent_at, TimePoint now) {
  if (rate) {
    Set(target, rate, now, true, now);
    return;
  }
  const auto it = limits_.find(target);
  if (it != limits_.end() && sent_at > it->second.observed_at) {
    Set(target, std::nullopt, sent_at, true, now);
  }
}

void TargetLimits::OnReport(const std::vector<TargetLimitReport>& reports, TimePoint now) {
  for (const TargetLimitReport& it : reports) {
    const TimePoint observed_at = now - std::chrono::milliseconds(it.age_ms);
    const std::optional<double> rate = it.limited ? std::optional(it.rate) : std::nullopt;
    const auto known = limits_.find(it.target);
    if (known != limits_.end()) {
      const Limit& limit = known->second;
      Duration min_difference = limit.rate == rate ? kMinRefresh : Duration{0};
      if (limit.rate && !rate) min_difference = kMaxReportDelay;
      if (observed_at - limit.observed_at <= min_difference) continue;
    }
    Set(it.target, rate, observed_at, false, now);
  }
}

void TargetLimits::Set(const TargetIncarnation& target, std::optional<double> rate,
                       TimePoint observed_at, bool is_first_hand, TimePoint now) {
  Limit& limit = limits_[target];
  limit.observed_at = observed_at;
  if (limit.rate == rate) return;
  if (limit.budget.empty()) limit.budget = BudgetName(target);
  const std::optional<double> previous = std::exchange(limit.rate, rate);
  if (IsNotable(previous, rate)) {
    limit.changed_at = now;
    changes_.push_back({target, previous, rate, is_first_hand});
  }
  if (rate && !previous) ++limited_;
  if (previous && !rate) --limited_;
  if (rate) {
    tokens_.ConfigureBudget(limit.budget, std::max(kMinRate, *rate), kTolerance);
  } else {
    tokens_.RemoveBudget(limit.budget);
  }
}

std::vector<TargetLimitReport> TargetLimits::MakeReport(TimePoint now) {
  std::vector<TargetLimitReport> result;
  const auto add = [&](const TargetIncarnation& target, const Limit& limit) {
    const Duration age = std::max(Duration{0}, now - limit.observed_at);
    result.push_back({target, limit.rate.has_value(), limit.rate.value_or(0),
                      static_cast<std::uint32_t>(age.count() / 1000)});
  };
  const auto is_recent = [now](const Limit& limit) { return now - limit.changed_at < kResendTime; };
  for (const auto& [target, limit] : limits_) {
    if (is_recent(limit) && result.size() < kMaxChangedReports) add(target, limit);
  }
  const std::size_t max_reports = result.size() + kMaxReportsInTurn;
  auto it = limits_.upper_bound(last_reported_);
  for (std::size_t n = limits_.size(); n > 0 && result.size() < max_reports; --n, ++it) {
    if (it == limits_.end()) it = limits_.begin();
    last_reported_ = it->first;
    if (!is_recent(it->second)) add(it->first, it->second);
  }
  return result;
}

void TargetLimits::Retain(const TargetDirectory& directory, TimePoint now) {
  for (auto it = limits_.begin(); it != limits_.end();) {
    const auto& [target, limit] = *it;
    const Target* const entry = directory.Find(target.id);
    const bool is_current = entry == nullptr ? now - limit.observed_at <= kRetention
                                             : entry->entry.incarnation <= target.incarnation;
    if (is_current) {
      ++it;
      continue;
    }
    if (limit.rate) {
      tokens_.RemoveBudget(limit.budget);
      --limited_;
    }
    it = limits_.erase(it);
  }
}

std::optional<double> TargetLimits::RateOf(const TargetIncarnation& target) const {
  const Limit* const limit = FindLimited(target);
  return limit == nullptr ? std::nullopt : limit->rate;
}

void TargetLimits::RequestToken(Limit& limit, TimePoint now) {
  if (limit.wanted_until < now) tokens_.AddDemand(limit.budget, now);
  limit.wanted_until = now + kWantTime;
}

bool TargetLimits::MaySend(const TargetIncarnation& target, TimePoint now) {
  Limit* const limit = FindLimited(target);
  if (limit == nullptr || tokens_.FreeTokens(limit->budget, now) > 0) return true;
  ++limit->held_back;
  ++held_back_;
  RequestToken(*limit, now);
  return false;
}

bool TargetLimits::Take(const TargetIncarnation& target, TimePoint now) {
  Limit* const limit = FindLimited(target);
  if (limit == nullptr) return true;
  if (!tokens_.TryTake(limit->budget, now)) {
    RequestToken(*limit, now);
    return false;
  }
  ++limit->sent;
  limit->sends.Add(now);
  limit->wanted_until = TimePoint{};
  return true;
}

void TargetLimits::SetQueued(const std::map<TargetIncarnation, std::uint32_t>& queued,
                             TimePoint now) {
  if (limited_ == 0) return;
  for (auto& [target, limit] : limits_) {
    const auto it = queued.find(target);
    limit.queued = it == queued.end() ? 0 : it->second;
  }
  Tick(now);
}

void TargetLimits::Tick(TimePoint now) {
  if (limited_ == 0) return;
  for (auto& [target, limit] : limits_) {
    if (!limit.rate) continue;
    const bool is_wanted = now < limit.wanted_until && tokens_.FreeTokens(limit.budget, now) == 0;
    tokens_.SetWaiting(limit.budget, std::max<std::size_t>(limit.queued, is_wanted ? 1 : 0));
  }
}

Duration TargetLimits::ExpectedWait(const TargetIncarnation& target, std::size_t ahead,
                                    TimePoint now) const {
  const Limit* const limit = FindLimited(target);
  if (limit == nullptr) return Duration{0};
  // The whole limit, as if the other instances had no requests for the target. The lender may have
  // a token for the first request.
  const double rate = std::max(kMinRate, *limit->rate);
  const Duration own_backlog = FromSeconds(static_cast<double>(ahead) / rate);
  return std::max(own_backlog, tokens_.ReportedWait(limit->budget, now));
}

Duration TargetLimits::ReserveReturn(const TargetIncarnation& target, std::size_t ahead,
                                     TimePoint latest, TimePoint now) {
  Limit* const limit = FindLimited(target);
  if (limit == nullptr) return kMinRetryAfter;
  const double own_rate = std::max(
      {kMinRate, limit->sends.PerSecond(now), *limit->rate / static_cast<double>(instances_)});
  const TimePoint next_return = limit->last_return + FromSeconds(1 / own_rate);
  const TimePoint at = std::max(now + ExpectedWait(target, ahead + 1, now), next_return);
  if (at <= latest) limit->last_return = at;
  return std::clamp<Duration>(at - now, kMinRetryAfter, kMaxRetryAfter);
}

std::vector<TargetLimitChange> TargetLimits::TakeChanges() { return std::exchange(changes_, {}); }

std::vector<TargetLimitUsage> TargetLimits::TakeUsage(TimePoint now) {
  std::vector<TargetLimitUsage> result;
  for (auto& [target, limit] : limits_) {
    const std::uint32_t sent = std::exchange(limit.sent, 0);
    const std::uint32_t held_back = std::exchange(limit.held_back, 0);
    if (!limit.rate) continue;
    result.push_back({target, *limit.rate, sent, held_back, limit.queued,
                      tokens_.FreeTokens(limit.budget, now), now - limit.observed_at});
  }
  return result;
}

}  // namespace dogwoodport::fleet
