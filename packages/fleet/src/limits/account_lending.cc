// The lender's side of the tokens: bucket of the coordinator, loans to others.

#include <algorithm>
#include <cmath>
#include <utility>

#include "dogwoodport/fleet/limits/account_tokens.h"
#include "token_rounding.h"

namespace dogwoodport::fleet {
namespace {

/// Parts of the tolerance that are used as rate, in the cap of an undisturbed coordinator, and in
/// that of its successor; each further successor has a fixed part of the cap before it. All add up
/// to 1.
constexpr double kRatePart = 0.2;
constexpr double kCapPart = 0.3;
constexpr double kSuccessorPart = 0.35;
constexpr double kNextSuccessor = 0.3;
static_assert(kRatePart + kCapPart + kSuccessorPart / (1 - kNextSuccessor) < 1 + 1e-9);
/// Smallest part of the demand that a borrower counts with.
constexpr double kSmallestShare = 0.02;
/// Part of a borrower's share that fills its stock while tokens are scarce.
constexpr double kScarceStockPart = 0.5;
/// Time for which requests of borrowers count as waiting unless they say so again.
constexpr Duration kMissingTime{120'000};

/// Whether the predecessor lends no more, by the word of the process at its address. A new process
/// there, which has not lent, shows that the one before has ended.
bool HasEnded(const LendingStart& start, std::uint64_t ended_generation) {
  return ended_generation == start.predecessor_generation ||
         (ended_generation == 0 && start.predecessor_settled);
}

}  // namespace

double AccrualOf(double rate, double burst, const AccountTolerance& tolerance) noexcept {
  return rate + kRatePart * tolerance.Allows(rate, burst) / Seconds(tolerance.window);
}

double CapOf(double rate, double burst, const AccountTolerance& tolerance, int takeovers) noexcept {
  const double allows = tolerance.Allows(rate, burst);
  if (takeovers == 0) return burst + kCapPart * allows;
  return kSuccessorPart * allows * std::pow(kNextSuccessor, takeovers - 1);
}

void AccountTokens::Lead(const LendingStart& start) {
  CloseBook();
  start_ = start;
  const bool alone =
      start.first || (start.predecessor == address_ && HasEnded(start, lent_generation_));
  confirmed_at_ = start.confirmed_at;
  lends_from_ = alone ? start.took_over_at : start.took_over_at + WithDrift(settings_.role);
  backing_ = SessionKey();
  for (auto& [account, entry] : entries_) {
    entry.available = start.first ? CapOf(entry.rate, entry.burst, tolerance_, 0) : 0;
    entry.accrued_at = lends_from_;
    entry.dry_until = TimePoint{};
  }
}

void AccountTokens::Follow(TimePoint now) {
  if (start_ && now >= lends_from_) lent_generation_ = start_->generation;
  CloseBook();
  start_.reset();
  for (auto& [account, entry] : entries_) entry.accrued_at = TimePoint{};
}

bool AccountTokens::MayLend(TimePoint now) const {
  return start_ && now >= lends_from_ && now - confirmed_at_ < settings_.role;
}

int AccountTokens::Takeovers(TimePoint now) const {
  if (!start_ || start_->first || now >= lends_from_ + WithDrift(settings_.loan)) return 0;
  return std::max(1, start_->takeovers);
}

void AccountTokens::Accrue(AccountHash account, Entry& entry, TimePoint now) {
  // An account that was not known at the start begins with an empty bucket.
  if (entry.accrued_at == TimePoint{}) {
    entry.available = 0;
    entry.accrued_at = std::max(lends_from_, now);
  }
  const double cap = CapOf(entry.rate, entry.burst, tolerance_, Takeovers(now));
  const double room = std::max(0.0, cap - book_.Outstanding(account));
  const Duration since = std::max(Duration{0}, now - entry.accrued_at);
  const double rate = AccrualOf(entry.rate, entry.burst, tolerance_);
  entry.available = std::min(room, entry.available + rate * Seconds(since));
  entry.accrued_at = std::max(entry.accrued_at, now);
}

AccountTokens::Session* AccountTokens::Backing(TimePoint now) {
  if (start_ || role_ != LoanRole::kRelay) return nullptr;
  const auto find = [&](const SessionKey& key) -> Session* {
    const auto it = sessions_.find(key);
    return it != sessions_.end() && now < it->second.valid_until ? &it->second : nullptr;
  };
  // Until a new coordinator lends, the loans of the one before are lent on.
  const auto contact = contacts_.find(lenders_.empty() ? std::string() : lenders_.front());
  if (contact != contacts_.end() && contact->second.session != backing_) {
    if (Session* const session = find(contact->second.session)) {
      CloseBook();
      backing_ = contact->second.session;
      return session;
    }
  }
  return find(backing_);
}

std::uint32_t AccountTokens::MissingOf(AccountHash account) const {
  std::uint32_t n = 0;
  for (const Missing& it : missing_) {
    if (it.account != account) continue;
    const LoanBook::Line* const line = book_.Find(it.borrower, account);
    if (line != nullptr) n += line->need();
  }
  return n;
}

Duration AccountTokens::Backlog(AccountHash account, const Entry& entry, std::uint32_t more) const {
  const double n = MissingOf(account) + entry.waiting + more;
  return FromSeconds(n / std::max(0.01, AccrualOf(entry.rate, entry.burst, tolerance_)));
}

void AccountTokens::Settle(const std::vector<Settlement>& settled) {
  const auto backing = sessions_.find(backing_);
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
  missing_.clear();
}

std::uint32_t AccountTokens::LendableByCoordinator(AccountHash account, const LoanBook::Line& line,
                                                   TimePoint now) {
  Entry* const entry = Find(account);
  if (entry == nullptr || entry->rate <= 0) return 0;
  Accrue(account, *entry, now);
  const double available = std::max(0.0, std::floor(entry->available) - entry->waiting);
  if (available < 1) return 0;
  const double cap = CapOf(entry->rate, entry->burst, tolerance_, Takeovers(now));
  const double total = std::max<double>(book_.Demand(account) + entry->demand.PerSecond(now), 0.01);
  const double share = std::clamp(line.demand / total, kSmallestShare, 1.0);
  const double need = line.need();
  const double reserve =
      std::max(settings_.reserve * cap, std::min(settings_.smallest_reserve, cap / 2));
  if (Takeovers(now) > 0) return RoundDown(std::min(available, need));
  const double wanted =
      std::min<double>(line.missing() - need, (1 - settings_.reserve) * cap * share);
  if (available >= need + reserve) {
    return RoundDown(need + std::min(wanted, available - need - reserve));
  }
  const double part = std::max(1.0, available * share);
  const double stock = std::min(wanted, kScarceStockPart * available * share);
  return RoundDown(std::min(available, std::min(need, part) + std::floor(stock)));
}

std::uint32_t AccountTokens::Lendable(AccountHash account, const LoanBook::Line& line,
                                      TimePoint now) {
  if (start_) return MayLend(now) ? LendableByCoordinator(account, line, now) : 0;
  const Session* const session = Backing(now);
  const Entry* const entry = Find(account);
  if (session == nullptr || entry == nullptr) return 0;
  const std::uint32_t free = FreeIn(backing_, *session, account, now);
  const std::uint32_t available = free > entry->waiting ? free - entry->waiting : 0;
  const std::uint32_t need = std::min(line.need(), available);
  return session->scarce ? need : need + std::min(line.missing() - need, (available - need) / 2);
}

std::uint32_t AccountTokens::WaitFor(AccountHash account, const LoanBook::Line& line,
                                     TimePoint now) {
  const Entry* const entry = Find(account);
  if (entry == nullptr || line.need() == 0) return 0;
  Duration wait{0};
  if (start_) {
    const Duration backlog = Backlog(account, *entry, 0);
    if (backlog > settings_.longest_wait) wait = RetryIn(backlog);
  } else if (now < entry->dry_until) {
    wait = entry->dry_wait;
  }
  return static_cast<std::uint32_t>(wait.count() / 1000);
}

void AccountTokens::SendGrant(const std::string& borrower, const std::vector<AccountHash>& accounts,
                              TimePoint now) {
  const Session* const backing = Backing(now);
  const Duration valid = start_ ? settings_.loan : backing->valid_until - now;
  LoanGrant grant = book_.MakeGrant(borrower, accounts, valid, now + WithDrift(valid));
  grant.lender = address_;
  grant.incarnation = incarnation_;
  grant.scarce = start_ ? Takeovers(now) > 0 : backing->scarce;
  for (GrantLine& it : grant.lines) {
    if (const LoanBook::Line* const line = book_.Find(borrower, it.account)) {
      it.wait_ms = WaitFor(it.account, *line, now);
    }
  }
  messages_.push_back({borrower, std::move(grant)});
}

void AccountTokens::OnRequest(const LoanRequest& request, TimePoint now) {
  const bool from_predecessor = start_ && request.borrower == start_->predecessor &&
                                request.generation == start_->generation &&
                                HasEnded(*start_, request.ended_generation);
  if (from_predecessor && now < lends_from_) {
    lends_from_ = now;
    for (auto& [account, entry] : entries_) entry.accrued_at = now;
  }
  const bool lends = MayLend(now) || Backing(now) != nullptr;
  if (!lends) {
    LoanGrant closed;
    closed.lender = address_;
    closed.incarnation = incarnation_;
    closed.borrower_incarnation = request.incarnation;
    closed.stamp_us = request.stamp_us;
    messages_.push_back({request.borrower, std::move(closed)});
    return;
  }
  const bool is_ours = request.lender_incarnation == incarnation_;
  const auto settled = book_.Receive(request, is_ours, now);
  if (!settled) return;
  Settle(*settled);
  missing_.erase(std::remove_if(missing_.begin(), missing_.end(),
                                [&](const Missing& it) { return it.borrower == request.borrower; }),
                 missing_.end());
  std::vector<AccountHash> accounts;
  for (const LoanLine& it : request.lines) {
    accounts.push_back(it.account);
    const LoanBook::Line& line = *book_.Find(request.borrower, it.account);
    book_.Lend(request.borrower, it.account, Lent(it.account, Lendable(it.account, line, now)));
    if (line.need() == 0) continue;
    missing_.push_back({request.borrower, it.account, now + kMissingTime});
    ask_now_ = true;
  }
  SendGrant(request.borrower, accounts, now);
}

std::uint32_t AccountTokens::Lent(AccountHash account, std::uint32_t n) {
  if (start_ && n > 0) entries_.at(account).available -= n;
  return n;
}

void AccountTokens::ServeMissing(TimePoint now) {
  if (missing_.empty()) return;
  const bool lends = MayLend(now) || Backing(now) != nullptr;
  std::vector<Missing> left;
  std::unordered_map<std::string, std::vector<AccountHash>> served;
  for (Missing& it : std::exchange(missing_, {})) {
    const LoanBook::Line* const line = book_.Find(it.borrower, it.account);
    if (!lends || line == nullptr || now >= it.until) continue;
    if (const std::uint32_t n = Lendable(it.account, *line, now); n > 0) {
      book_.Lend(it.borrower, it.account, Lent(it.account, n));
      served[it.borrower].push_back(it.account);
    }
    if (line->need() > 0) left.push_back(std::move(it));
  }
  missing_ = std::move(left);
  for (const auto& [borrower, accounts] : served) SendGrant(borrower, accounts, now);
}

}  // namespace dogwoodport::fleet
