// Lender side of token lending: the coordinator's bucket and loans to other instances.

#include <algorithm>
#include <cmath>
#include <utility>

#include "dogwoodport/fleet/limits/account_tokens.h"
#include "token_rounding.h"

namespace dogwoodport::fleet {
namespace {

/// Shares of the tolerance that go into the accrual rate, into the cap of a coordinator whose
/// predecessors have no valid loans, and into the cap of its successor. The cap of each further
/// successor is a fixed fraction of its predecessor's cap. All shares add up to 1.
constexpr double kRateShare = 0.2;
constexpr double kBaseCapShare = 0.3;
constexpr double kSuccessorCapShare = 0.35;
constexpr double kNextSuccessorFactor = 0.3;
static_assert(kRateShare + kBaseCapShare + kSuccessorCapShare / (1 - kNextSuccessorFactor) <
              1 + 1e-9);
/// Minimum share of the total demand that is attributed to a borrower.
constexpr double kMinDemandShare = 0.02;
/// Fraction of a borrower's share of the bucket that may be lent for prefetching while the bucket
/// does not cover the borrower's unmet need and the reserve.
constexpr double kLowBucketPrefetchShare = 0.5;
/// Time for which requests of borrowers count as waiting without a new report.
constexpr Duration kUnmetNeedValidity{120'000};

/// Whether the predecessor has stopped lending, according to the process at its address. If that
/// process has never lent, it is a new one, and the process that lent has ended. This is accepted
/// only if the predecessor had recorded that all loans of coordinators before it had expired.
bool HasStoppedLending(const LendingStart& start, std::uint64_t ended_generation) {
  return ended_generation == start.predecessor_generation ||
         (ended_generation == 0 && start.predecessor_settled);
}

}  // namespace

double AccrualRate(double rate, double burst, const RateTolerance& tolerance) noexcept {
  return rate + kRateShare * tolerance.AllowedExcess(rate, burst) / Seconds(tolerance.window);
}

double TokenCap(double rate, double burst, const RateTolerance& tolerance, int takeovers) noexcept {
  const double excess = tolerance.AllowedExcess(rate, burst);
  if (takeovers == 0) return burst + kBaseCapShare * excess;
  return kSuccessorCapShare * excess * std::pow(kNextSuccessorFactor, takeovers - 1);
}

double AccountTokens::AccrualRateOf(const Entry& entry) const noexcept {
  return AccrualRate(entry.rate, entry.burst, ToleranceOf(entry));
}

double AccountTokens::TokenCapOf(const Entry& entry, int takeovers) const noexcept {
  return TokenCap(entry.rate, entry.burst, ToleranceOf(entry), takeovers);
}

void AccountTokens::BecomeCoordinator(const LendingStart& start) {
  CloseBook();
  start_ = start;
  const bool no_other_lender =
      start.first || (start.predecessor == address_ && HasStoppedLending(start, lent_generation_));
  confirmed_at_ = start.confirmed_at;
  lends_from_ = no_other_lender ? start.took_over_at
                                : start.took_over_at + WithDrift(settings_.role_validity);
  backing_key_ = SessionKey();
  for (auto& [account, entry] : entries_) {
    entry.available = start.first ? TokenCapOf(entry, 0) : 0;
    entry.accrued_at = lends_from_;
    entry.exhausted_until = TimePoint{};
  }
}

void AccountTokens::StepDown(TimePoint now) {
  if (start_ && now >= lends_from_) lent_generation_ = start_->generation;
  CloseBook();
  start_.reset();
  for (auto& [account, entry] : entries_) entry.accrued_at = TimePoint{};
}

bool AccountTokens::MayLend(TimePoint now) const {
  return start_ && now >= lends_from_ && now - confirmed_at_ < settings_.role_validity;
}

int AccountTokens::Takeovers(TimePoint now) const {
  if (!start_ || start_->first || now >= lends_from_ + WithDrift(settings_.loan_validity)) return 0;
  return std::max(1, start_->takeovers);
}

void AccountTokens::Accrue(AccountHash account, Entry& entry, TimePoint now) {
  // An account that was added after the coordinator started begins with an empty bucket.
  if (entry.accrued_at == TimePoint{}) {
    entry.available = 0;
    entry.accrued_at = std::max(lends_from_, now);
  }
  const double cap = TokenCapOf(entry, Takeovers(now));
  const double room = std::max(0.0, cap - book_.Outstanding(account));
  const Duration since = std::max(Duration{0}, now - entry.accrued_at);
  const double rate = AccrualRateOf(entry);
  entry.available = std::min(room, entry.available + rate * Seconds(since));
  entry.accrued_at = std::max(entry.accrued_at, now);
}

AccountTokens::Session* AccountTokens::BackingSession(TimePoint now) {
  if (start_ || role_ != LoanRole::kRelay) return nullptr;
  const auto find_valid = [&](const SessionKey& key) -> Session* {
    const auto it = sessions_.find(key);
    return it != sessions_.end() && now < it->second.valid_until ? &it->second : nullptr;
  };
  // Until the new coordinator lends, the relay keeps lending the tokens of the predecessor's loans.
  const auto state = lender_states_.find(lenders_.empty() ? std::string() : lenders_.front());
  if (state != lender_states_.end() && state->second.session != backing_key_) {
    if (Session* const session = find_valid(state->second.session)) {
      CloseBook();
      backing_key_ = state->second.session;
      return session;
    }
  }
  return find_valid(backing_key_);
}

std::uint32_t AccountTokens::UnmetRequests(AccountHash account) const {
  std::uint32_t n = 0;
  for (const UnmetNeed& it : unmet_needs_) {
    if (it.account != account) continue;
    const LoanBook::Line* const line = book_.Find(it.borrower, account);
    if (line != nullptr) n += line->unmet_need();
  }
  return n;
}

Duration AccountTokens::BacklogTime(AccountHash account, const Entry& entry,
                                    std::uint32_t more) const {
  const double n = UnmetRequests(account) + entry.waiting + more;
  return FromSeconds(n / std::max(0.01, AccrualRateOf(entry)));
}

void AccountTokens::Settle(const std::vector<Settlement>& settled) {
  const auto backing = sessions_.find(backing_key_);
  for (const Settlement& it : settled) {
    if (start_) {
      if (Entry* const entry = Find(it.account)) entry->available += it.returned;
    } else if (backing != sessions_.end()) {
      backing->second.holdings[it.account].used += it.used;
    }
  }
}

void AccountTokens::CloseBook() {
  Settle(book_.Clear());
  unmet_needs_.clear();
}

std::uint32_t AccountTokens::LendableByCoordinator(AccountHash account, const LoanBook::Line& line,
                                                   TimePoint now) {
  Entry* const entry = Find(account);
  if (entry == nullptr || entry->rate <= 0) return 0;
  Accrue(account, *entry, now);
  const double available = std::max(0.0, std::floor(entry->available) - entry->waiting);
  if (available < 1) return 0;
  const double cap = TokenCapOf(*entry, Takeovers(now));
  const double total = std::max<double>(book_.Demand(account) + entry->demand.PerSecond(now), 0.01);
  const double share = std::clamp(line.demand / total, kMinDemandShare, 1.0);
  const double need = line.unmet_need();
  const double reserve =
      std::max(settings_.reserve_share * cap, std::min(settings_.min_reserve, cap / 2));
  if (Takeovers(now) > 0) return RoundDown(std::min(available, need));
  const double wanted_prefetch =
      std::min<double>(line.unmet_total() - need, (1 - settings_.reserve_share) * cap * share);
  if (available >= need + reserve) {
    return RoundDown(need + std::min(wanted_prefetch, available - need - reserve));
  }
  const double available_share = std::max(1.0, available * share);
  const double prefetch = std::min(wanted_prefetch, kLowBucketPrefetchShare * available * share);
  return RoundDown(std::min(available, std::min(need, available_share) + std::floor(prefetch)));
}

std::uint32_t AccountTokens::Lendable(AccountHash account, const LoanBook::Line& line,
                                      TimePoint now) {
  if (start_) return MayLend(now) ? LendableByCoordinator(account, line, now) : 0;
  const Session* const session = BackingSession(now);
  const Entry* const entry = Find(account);
  if (session == nullptr || entry == nullptr) return 0;
  const std::uint32_t free = FreeInSession(backing_key_, *session, account, now);
  const std::uint32_t available = free > entry->waiting ? free - entry->waiting : 0;
  const std::uint32_t need = std::min(line.unmet_need(), available);
  return session->cap_reduced ? need
                              : need + std::min(line.unmet_total() - need, (available - need) / 2);
}

std::uint32_t AccountTokens::RetryAfterMs(AccountHash account, const LoanBook::Line& line,
                                          TimePoint now) {
  const Entry* const entry = Find(account);
  if (entry == nullptr || line.unmet_need() == 0) return 0;
  Duration wait{0};
  if (start_) {
    const Duration backlog = BacklogTime(account, *entry, 0);
    if (backlog > settings_.max_wait) wait = ClampRetryAfter(backlog);
  } else if (now < entry->exhausted_until) {
    wait = entry->exhausted_retry_after;
  }
  return static_cast<std::uint32_t>(wait.count() / 1000);
}

void AccountTokens::SendGrant(const std::string& borrower, const std::vector<AccountHash>& accounts,
                              TimePoint now) {
  const Session* const backing = BackingSession(now);
  const Duration validity = start_ ? settings_.loan_validity : backing->valid_until - now;
  LoanGrant grant = book_.MakeGrant(borrower, accounts, validity, now + WithDrift(validity));
  grant.lender = address_;
  grant.incarnation = incarnation_;
  grant.cap_reduced = start_ ? Takeovers(now) > 0 : backing->cap_reduced;
  for (GrantLine& it : grant.lines) {
    if (const LoanBook::Line* const line = book_.Find(borrower, it.account)) {
      it.retry_after_ms = RetryAfterMs(it.account, *line, now);
    }
  }
  messages_.push_back({borrower, std::move(grant)});
}

void AccountTokens::OnRequest(const LoanRequest& request, TimePoint now) {
  const bool from_predecessor = start_ && request.borrower == start_->predecessor &&
                                request.generation == start_->generation &&
                                HasStoppedLending(*start_, request.ended_generation);
  if (from_predecessor && now < lends_from_) {
    lends_from_ = now;
    for (auto& [account, entry] : entries_) entry.accrued_at = now;
  }
  const bool can_lend = MayLend(now) || BackingSession(now) != nullptr;
  if (!can_lend) {
    LoanGrant refusal;
    refusal.lender = address_;
    refusal.incarnation = incarnation_;
    refusal.borrower_incarnation = request.incarnation;
    refusal.stamp_us = request.stamp_us;
    messages_.push_back({request.borrower, std::move(refusal)});
    return;
  }
  const bool is_own_session = request.lender_incarnation == incarnation_;
  const auto settled = book_.Receive(request, is_own_session, now);
  if (!settled) return;
  Settle(*settled);
  unmet_needs_.erase(
      std::remove_if(unmet_needs_.begin(), unmet_needs_.end(),
                     [&](const UnmetNeed& it) { return it.borrower == request.borrower; }),
      unmet_needs_.end());
  std::vector<AccountHash> accounts;
  for (const LoanLine& it : request.lines) {
    accounts.push_back(it.account);
    const LoanBook::Line& line = *book_.Find(request.borrower, it.account);
    book_.Lend(request.borrower, it.account,
               DebitLent(it.account, Lendable(it.account, line, now)));
    if (line.unmet_need() == 0) continue;
    unmet_needs_.push_back({request.borrower, it.account, now + kUnmetNeedValidity});
    request_now_ = true;
  }
  SendGrant(request.borrower, accounts, now);
}

std::uint32_t AccountTokens::DebitLent(AccountHash account, std::uint32_t n) {
  if (start_ && n > 0) entries_.at(account).available -= n;
  return n;
}

void AccountTokens::ServeUnmetNeeds(TimePoint now) {
  if (unmet_needs_.empty()) return;
  const bool can_lend = MayLend(now) || BackingSession(now) != nullptr;
  std::vector<UnmetNeed> remaining;
  std::unordered_map<std::string, std::vector<AccountHash>> served;
  for (UnmetNeed& it : std::exchange(unmet_needs_, {})) {
    const LoanBook::Line* const line = book_.Find(it.borrower, it.account);
    if (!can_lend || line == nullptr || now >= it.until) continue;
    if (const std::uint32_t n = Lendable(it.account, *line, now); n > 0) {
      book_.Lend(it.borrower, it.account, DebitLent(it.account, n));
      served[it.borrower].push_back(it.account);
    }
    if (line->unmet_need() > 0) remaining.push_back(std::move(it));
  }
  unmet_needs_ = std::move(remaining);
  for (const auto& [borrower, accounts] : served) SendGrant(borrower, accounts, now);
}

}  // namespace dogwoodport::fleet
