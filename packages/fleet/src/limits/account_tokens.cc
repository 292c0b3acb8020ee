// The borrower's side of the tokens: admission, requests to lenders.

#include "dogwoodport/fleet/limits/account_tokens.h"

#include <algorithm>
#include <utility>

#include "dogwoodport/fleet/detail/name_hash.h"
#include "token_rounding.h"

namespace dogwoodport::fleet {

using detail::HashOf;

namespace {

/// Time for which a lender that cannot lend is not asked again.
constexpr Duration kClosedPause{100'000};
/// Time after which a lender that was silent is tried again.
constexpr Duration kRetryLender{1'000'000};
/// Longest time for which the word of a lender that it has nothing holds.
constexpr Duration kLongestDry{100'000};
/// Stands for a counter that the lender may not have been told.
constexpr std::uint32_t kNotTold = ~std::uint32_t{0};
/// When the caller of a request should come back that found no lender.
constexpr Duration kUnknownRetry{300'000};

}  // namespace

void AccountTokens::SetIdentity(std::string address, std::uint64_t incarnation) {
  address_ = std::move(address);
  incarnation_ = incarnation;
}

bool AccountTokens::Configure(const std::string& account, double rate, double burst) {
  Entry& entry = entries_[HashOf(account)];
  entry.name = account;
  if (entry.rate == rate && entry.burst == burst) return false;
  entry.rate = rate;
  entry.burst = burst;
  return true;
}

void AccountTokens::Keep(const std::vector<std::string>& names) {
  for (auto it = entries_.begin(); it != entries_.end();) {
    const bool known = std::find(names.begin(), names.end(), it->second.name) != names.end();
    if (!known) waiting_ -= it->second.waiting;
    it = known ? std::next(it) : entries_.erase(it);
  }
}

AccountTokens::Entry* AccountTokens::Find(AccountHash account) {
  const auto it = entries_.find(account);
  return it == entries_.end() ? nullptr : &it->second;
}

Duration AccountTokens::WithDrift(Duration d) const noexcept {
  return d + d * settings_.clock_drift_percent / 100;
}

void AccountTokens::SetLenders(std::vector<std::string> lenders, std::uint64_t generation,
                               LoanRole role) {
  lenders_ = std::move(lenders);
  generation_ = generation;
  role_ = role;
}

std::uint32_t AccountTokens::FreeIn(const SessionKey& key, const Session& session,
                                    AccountHash account, TimePoint now) const {
  if (now >= session.valid_until) return 0;
  const auto it = session.holdings.find(account);
  if (it == session.holdings.end()) return 0;
  const std::uint32_t lent = !start_ && key == backing_ ? book_.Outstanding(account) : 0;
  return it->second.held() > lent ? it->second.held() - lent : 0;
}

std::uint32_t AccountTokens::Free(const std::string& account, TimePoint now) {
  const AccountHash hash = HashOf(account);
  Entry* const entry = Find(hash);
  if (entry == nullptr) return 0;
  std::uint32_t result = 0;
  if (MayLend(now)) {
    Accrue(hash, *entry, now);
    result = RoundDown(entry->available);
  }
  for (const auto& [key, session] : sessions_) result += FreeIn(key, session, hash, now);
  return result;
}

bool AccountTokens::Take(AccountHash account, Entry& entry, TimePoint now) {
  for (auto& [key, session] : sessions_) {
    if (FreeIn(key, session, account, now) == 0) continue;
    ++session.holdings[account].used;
    unsettled_ = unsettled_ || session.scarce;
    return true;
  }
  if (!MayLend(now)) return false;
  Accrue(account, entry, now);
  if (entry.available < 1) return false;
  entry.available -= 1;
  return true;
}

bool AccountTokens::IsLost(TimePoint now) const {
  return std::all_of(lenders_.begin(), lenders_.end(), [&](const std::string& it) {
    const auto contact = contacts_.find(it);
    if (contact != contacts_.end() && now < contact->second.closed_until) return true;
    return SilenceOf(it, now) >= settings_.lost;
  });
}

Duration AccountTokens::SilenceOf(const std::string& lender, TimePoint now) const {
  const auto it = contacts_.find(lender);
  const bool answered = it == contacts_.end() || it->second.unanswered_since == TimePoint{};
  return answered ? Duration{0} : now - it->second.unanswered_since;
}

Duration AccountTokens::IntervalOf(const Contact& contact) const {
  const auto it = sessions_.find(contact.session);
  const bool scarce = it != sessions_.end() && it->second.scarce;
  return scarce ? settings_.scarce_interval : settings_.interval;
}

AccountTokens::Decision AccountTokens::Admit(const std::string& account, bool again,
                                             TimePoint now) {
  const AccountHash hash = HashOf(account);
  Entry* const entry = Find(hash);
  if (entry == nullptr) return {};
  if (!again) entry->demand.Add(now);
  if (entry->rate <= 0) return {};
  const bool overtakes = !again && entry->waiting > 0;
  if (!overtakes && Take(hash, *entry, now)) {
    ++entry->status.admitted;
    return {};
  }
  const bool lends = MayLend(now);
  const Duration backlog = Backlog(hash, *entry, again ? 0 : 1);
  if (now < entry->dry_until || (lends && backlog > settings_.longest_wait)) {
    ++entry->status.over_limit;
    return {Verdict::kOverLimit, RetryIn(lends ? backlog : entry->dry_wait)};
  }
  if (!lends && IsLost(now)) {
    ++entry->status.unknown;
    return {Verdict::kUnknown, kUnknownRetry};
  }
  if (!again) {
    ++entry->status.waited;
    ask_now_ = true;
  }
  return {Verdict::kWait, kUnknownRetry};
}

void AccountTokens::SetWaiting(const std::string& account, std::size_t n) {
  Entry* const entry = Find(HashOf(account));
  if (entry == nullptr) return;
  waiting_ -= entry->waiting;
  entry->waiting = static_cast<std::uint32_t>(n);
  waiting_ += entry->waiting;
}

void AccountTokens::OnGrant(const LoanGrant& grant, TimePoint now) {
  const TimePoint stamp{Duration(grant.stamp_us)};
  if (grant.borrower_incarnation != incarnation_ || stamp > now) return;
  Contact& contact = contacts_[grant.lender];
  contact.unanswered_since = TimePoint{};
  if (grant.session == 0) {
    contact.closed_until = now + kClosedPause;
    return;
  }
  contact.closed_until = TimePoint{};
  const SessionKey key(grant.lender, grant.incarnation, grant.session);
  if (grant.stamp_us >= contact.stamp_us) {
    contact.stamp_us = grant.stamp_us;
    contact.session = key;
  }
  Session& session = sessions_[key];
  session.valid_until = std::max(session.valid_until, stamp + Duration(grant.valid_us));
  session.scarce = grant.scarce;
  for (const GrantLine& it : grant.lines) {
    Holding& holding = session.holdings[it.account];
    holding.granted = std::max(holding.granted, it.granted);
    Entry* const entry = Find(it.account);
    if (entry == nullptr) continue;
    if (it.wait_ms == 0 && entry->waiting == 0) continue;
    entry->dry_wait = std::chrono::milliseconds(it.wait_ms);
    entry->dry_until = it.wait_ms == 0 ? TimePoint{} : now + std::min(kLongestDry, entry->dry_wait);
  }
  DropOlder(key, now);
  ServeMissing(now);
}

void AccountTokens::DropOlder(const SessionKey& key, TimePoint now) {
  // A lender extends its newest session with a borrower only.
  const auto& [lender, incarnation, number] = key;
  auto it = sessions_.lower_bound({lender, incarnation, 0});
  while (it != sessions_.end() && it->first < key) {
    it = now >= it->second.valid_until ? sessions_.erase(it) : std::next(it);
  }
}

const std::string* AccountTokens::ChooseLender(TimePoint now) {
  for (const std::string& it : lenders_) {
    Contact& contact = contacts_[it];
    if (contact.unanswered_since != TimePoint{} && now - contact.asked_at >= kRetryLender) {
      contact.unanswered_since = TimePoint{};
    }
    const bool silent = SilenceOf(it, now) >= settings_.silence;
    if (!silent && now >= contact.closed_until) return &it;
  }
  return lenders_.empty() ? nullptr : &lenders_.front();
}

std::optional<LoanLine> AccountTokens::Describe(AccountHash account, Entry& entry,
                                                const SessionKey& key, Session& session,
                                                TimePoint now) {
  const bool relay = role_ == LoanRole::kRelay;
  const double demand = entry.demand.PerSecond(now) + (relay ? book_.Demand(account) : 0);
  LoanLine line;
  line.account = account;
  line.lent = key == backing_ ? book_.Outstanding(account) : 0;
  line.demand = static_cast<float>(demand);
  line.needed = entry.waiting + MissingOf(account);
  line.stock = role_ == LoanRole::kMember ? RoundDown(demand * Seconds(settings_.stock_at_relay))
                                          : RoundDown(demand * Seconds(settings_.stock) - 0.5);
  const bool needs = line.needed > 0 && now >= entry.dry_until;
  const auto it = session.holdings.find(account);
  if (it == session.holdings.end()) {
    return needs || line.stock > 0 ? std::optional(line) : std::nullopt;
  }
  Holding& holding = it->second;
  const std::uint32_t free = FreeIn(key, session, account, now);
  const std::uint32_t most = line.stock == 0 ? 0 : 2 * line.stock + 1;
  if (line.needed == 0 && free > most) holding.returned += free - line.stock;
  line.used = holding.used;
  line.returned = holding.returned;
  const bool is_news =
      holding.told != line.used + line.returned || line.demand < holding.told_demand / 2;
  if (!needs && !is_news && 2 * free >= line.stock) return std::nullopt;
  return line;
}

LoanRequest AccountTokens::MakeRequest(const SessionKey& key, TimePoint now) const {
  LoanRequest request;
  request.borrower = address_;
  request.incarnation = incarnation_;
  request.stamp_us = now.time_since_epoch().count();
  request.lender_incarnation = std::get<1>(key);
  request.session = std::get<2>(key);
  request.generation = generation_;
  request.ended_generation = lent_generation_;
  return request;
}

void AccountTokens::ReturnElsewhere(const std::string& lender, TimePoint now) {
  for (auto& [key, session] : sessions_) {
    const bool is_current = std::get<0>(key) == lender || key == backing_;
    if (is_current || now >= session.valid_until) continue;
    LoanRequest request = MakeRequest(key, now);
    for (auto& [account, holding] : session.holdings) {
      const Entry* const entry = Find(account);
      if (entry != nullptr && entry->waiting == 0) holding.returned += holding.held();
      if (holding.told == holding.used + holding.returned) continue;
      holding.told = holding.used + holding.returned;
      request.lines.push_back({account, holding.used, holding.returned, 0, 0, 0, 0});
    }
    if (!request.lines.empty()) messages_.push_back({std::get<0>(key), std::move(request)});
  }
}

void AccountTokens::Ask(const std::string& lender, TimePoint now) {
  Contact& contact = contacts_[lender];
  const SessionKey key = contact.session;
  Session& session = sessions_[key];
  LoanRequest request = MakeRequest(key, now);
  const bool is_repeat = contact.unanswered_since != TimePoint{};
  for (auto& [account, entry] : entries_) {
    if (entry.rate <= 0) continue;
    const auto it = session.holdings.find(account);
    // The request before may have been lost.
    if (is_repeat && it != session.holdings.end()) it->second.told = kNotTold;
    const auto line = Describe(account, entry, key, session, now);
    if (!line) continue;
    request.lines.push_back(*line);
    if (it == session.holdings.end()) continue;
    it->second.told = line->used + line->returned;
    it->second.told_demand = line->demand;
  }
  // A relay keeps a session open, so that it can lend as soon as it is asked.
  const bool keeps = role_ == LoanRole::kRelay || !session.holdings.empty();
  const bool is_fresh = session.valid_until - now > settings_.loan / 2;
  // The first request also tells a successor that this instance does not lend any more.
  if (request.lines.empty() && request.session != 0 && (is_fresh || !keeps)) return;
  contact.asked_at = now;
  if (contact.unanswered_since == TimePoint{}) contact.unanswered_since = now;
  messages_.push_back({lender, std::move(request)});
}

void AccountTokens::Tick(TimePoint now) {
  if (start_ && now >= lends_from_) lent_generation_ = start_->generation;
  if (start_ || Backing(now) != nullptr) Settle(book_.Expire(now));
  ServeMissing(now);
  if (start_) {
    ask_now_ = false;
    return;
  }
  const std::string* const lender = ChooseLender(now);
  if (lender == nullptr) return;
  const Contact& contact = contacts_[*lender];
  const bool due = now - settled_at_ >= IntervalOf(contact);
  const bool may_be_lost = now - contact.asked_at >= settings_.repeat;
  const bool repeats = may_be_lost && (waiting_ > 0 || !missing_.empty());
  if (!due && !ask_now_ && !repeats) return;
  // One request at a time.
  if (contact.unanswered_since != TimePoint{} && !may_be_lost) return;
  ask_now_ = false;
  unsettled_ = false;
  settled_at_ = now;
  if (due && sessions_.size() > 1) ReturnElsewhere(*lender, now);
  Ask(*lender, now);
}

std::vector<LoanMessage> AccountTokens::TakeMessages() { return std::exchange(messages_, {}); }

std::vector<AccountTokens::Status> AccountTokens::TakeStatus(std::size_t n, TimePoint now) {
  std::vector<Status> result;
  for (auto& [account, entry] : entries_) {
    Status status = std::exchange(entry.status, {});
    if (!status.used()) continue;
    status.account = entry.name;
    status.free = Free(entry.name, now);
    status.lent = book_.Outstanding(account);
    status.demand = entry.demand.PerSecond(now);
    result.push_back(std::move(status));
  }
  const auto last = result.begin() + static_cast<std::ptrdiff_t>(std::min(n, result.size()));
  std::partial_sort(result.begin(), last, result.end(),
                    [](const Status& a, const Status& b) { return a.requests() > b.requests(); });
  result.erase(last, result.end());
  return result;
}

}  // namespace dogwoodport::fleet
