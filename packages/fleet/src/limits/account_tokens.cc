// Borrower side of token lending: admission and requests to lenders.

#include "dogwoodport/fleet/limits/account_tokens.h"

#include <algorithm>
#include <utility>

#include "dogwoodport/fleet/detail/name_hash.h"
#include "token_rounding.h"

namespace dogwoodport::fleet {

using detail::HashOf;

namespace {

/// Time for which a lender is skipped after it responded that it cannot lend.
constexpr Duration kCannotLendPause{100'000};
/// Time after which a lender that did not respond is tried again.
constexpr Duration kLenderRetryInterval{1'000'000};
/// Maximum time for which a lender's report that it has no tokens is used.
constexpr Duration kMaxExhaustedTime{100'000};
/// Marks a counter whose latest value may not have reached the lender.
constexpr std::uint32_t kNotReported = ~std::uint32_t{0};
/// Retry time returned when no lender is reachable, and together with `Verdict::kWait`.
constexpr Duration kNoLenderRetryAfter{300'000};

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

void AccountTokens::RetainAccounts(const std::vector<std::string>& names) {
  for (auto it = entries_.begin(); it != entries_.end();) {
    const bool configured = it->second.own_tolerance ||
                            std::find(names.begin(), names.end(), it->second.name) != names.end();
    if (!configured) waiting_ -= it->second.waiting;
    it = configured ? std::next(it) : entries_.erase(it);
  }
}

void AccountTokens::ConfigureBudget(const std::string& name, double rate,
                                    const RateTolerance& tolerance) {
  Configure(name, rate, 0);
  entries_.at(HashOf(name)).own_tolerance = tolerance;
}

void AccountTokens::RemoveBudget(const std::string& name) {
  SetWaiting(name, 0);
  entries_.erase(HashOf(name));
}

bool AccountTokens::TryTake(const std::string& name, TimePoint now) {
  const AccountHash hash = HashOf(name);
  Entry* const entry = Find(hash);
  if (entry == nullptr || !TakeToken(hash, *entry, now)) return false;
  entry->demand.Add(now);
  return true;
}

void AccountTokens::AddDemand(const std::string& name, TimePoint now) {
  if (Entry* const entry = Find(HashOf(name))) entry->demand.Add(now);
}

Duration AccountTokens::ReportedWait(const std::string& name, TimePoint now) const {
  const auto it = entries_.find(HashOf(name));
  const bool is_exhausted = it != entries_.end() && now < it->second.exhausted_until;
  return is_exhausted ? it->second.exhausted_retry_after : Duration{0};
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

std::uint32_t AccountTokens::FreeInSession(const SessionKey& key, const Session& session,
                                           AccountHash account, TimePoint now) const {
  if (now >= session.valid_until) return 0;
  const auto it = session.holdings.find(account);
  if (it == session.holdings.end()) return 0;
  const std::uint32_t lent = !start_ && key == backing_key_ ? book_.Outstanding(account) : 0;
  return it->second.held() > lent ? it->second.held() - lent : 0;
}

std::uint32_t AccountTokens::FreeTokens(const std::string& account, TimePoint now) {
  const AccountHash hash = HashOf(account);
  Entry* const entry = Find(hash);
  if (entry == nullptr) return 0;
  std::uint32_t result = 0;
  if (MayLend(now)) {
    Accrue(hash, *entry, now);
    result = RoundDown(entry->available);
  }
  for (const auto& [key, session] : sessions_) result += FreeInSession(key, session, hash, now);
  return result;
}

bool AccountTokens::TakeToken(AccountHash account, Entry& entry, TimePoint now) {
  for (auto& [key, session] : sessions_) {
    if (FreeInSession(key, session, account, now) == 0) continue;
    ++session.holdings[account].used;
    needs_early_settlement_ = needs_early_settlement_ || session.cap_reduced;
    return true;
  }
  if (!MayLend(now)) return false;
  Accrue(account, entry, now);
  if (entry.available < 1) return false;
  entry.available -= 1;
  return true;
}

bool AccountTokens::AllLendersLost(TimePoint now) const {
  return std::all_of(lenders_.begin(), lenders_.end(), [&](const std::string& it) {
    const auto state = lender_states_.find(it);
    if (state != lender_states_.end() && now < state->second.cannot_lend_until) return true;
    return TimeWithoutResponse(it, now) >= settings_.lender_lost_timeout;
  });
}

Duration AccountTokens::TimeWithoutResponse(const std::string& lender, TimePoint now) const {
  const auto it = lender_states_.find(lender);
  const bool answered = it == lender_states_.end() || it->second.unanswered_since == TimePoint{};
  return answered ? Duration{0} : now - it->second.unanswered_since;
}

Duration AccountTokens::SettleIntervalFor(const LenderState& state) const {
  const auto it = sessions_.find(state.session);
  const bool cap_reduced = it != sessions_.end() && it->second.cap_reduced;
  return cap_reduced ? settings_.reduced_cap_settle_interval : settings_.settle_interval;
}

AccountTokens::Decision AccountTokens::Admit(const std::string& account, bool is_retry,
                                             TimePoint now) {
  const AccountHash hash = HashOf(account);
  Entry* const entry = Find(hash);
  if (entry == nullptr) return {};
  if (!is_retry) entry->demand.Add(now);
  if (entry->rate <= 0) return {};
  const bool would_overtake = !is_retry && entry->waiting > 0;
  if (!would_overtake && TakeToken(hash, *entry, now)) {
    ++entry->usage.admitted;
    return {};
  }
  const bool can_lend = MayLend(now);
  const Duration backlog = BacklogTime(hash, *entry, is_retry ? 0 : 1);
  if (now < entry->exhausted_until || (can_lend && backlog > settings_.max_wait)) {
    ++entry->usage.over_limit;
    return {Verdict::kOverLimit,
            ClampRetryAfter(can_lend ? backlog : entry->exhausted_retry_after)};
  }
  if (!can_lend && AllLendersLost(now)) {
    ++entry->usage.unknown;
    return {Verdict::kNoLender, kNoLenderRetryAfter};
  }
  if (!is_retry) {
    ++entry->usage.waited;
    request_now_ = true;
  }
  return {Verdict::kWait, kNoLenderRetryAfter};
}

void AccountTokens::SetWaiting(const std::string& account, std::size_t n) {
  Entry* const entry = Find(HashOf(account));
  if (entry == nullptr) return;
  if (n > entry->waiting) request_now_ = true;
  waiting_ -= entry->waiting;
  entry->waiting = static_cast<std::uint32_t>(n);
  waiting_ += entry->waiting;
}

void AccountTokens::OnGrant(const LoanGrant& grant, TimePoint now) {
  const TimePoint stamp{Duration(grant.stamp_us)};
  if (grant.borrower_incarnation != incarnation_ || stamp > now) return;
  LenderState& state = lender_states_[grant.lender];
  state.unanswered_since = TimePoint{};
  if (grant.session == 0) {
    state.cannot_lend_until = now + kCannotLendPause;
    return;
  }
  state.cannot_lend_until = TimePoint{};
  const SessionKey key(grant.lender, grant.incarnation, grant.session);
  if (grant.stamp_us >= state.stamp_us) {
    state.stamp_us = grant.stamp_us;
    state.session = key;
  }
  Session& session = sessions_[key];
  session.valid_until = std::max(session.valid_until, stamp + Duration(grant.valid_us));
  session.cap_reduced = grant.cap_reduced;
  for (const GrantLine& it : grant.lines) {
    Holding& holding = session.holdings[it.account];
    holding.granted = std::max(holding.granted, it.granted);
    Entry* const entry = Find(it.account);
    if (entry == nullptr) continue;
    if (it.retry_after_ms == 0 && entry->waiting == 0) continue;
    entry->exhausted_retry_after = std::chrono::milliseconds(it.retry_after_ms);
    entry->exhausted_until = it.retry_after_ms == 0
                                 ? TimePoint{}
                                 : now + std::min(kMaxExhaustedTime, entry->exhausted_retry_after);
  }
  EraseExpiredSessions(key, now);
  ServeUnmetNeeds(now);
}

void AccountTokens::EraseExpiredSessions(const SessionKey& key, TimePoint now) {
  // A lender extends only its newest session with a borrower, so older ones are erased once
  // expired.
  const auto& [lender, incarnation, number] = key;
  auto it = sessions_.lower_bound({lender, incarnation, 0});
  while (it != sessions_.end() && it->first < key) {
    it = now >= it->second.valid_until ? sessions_.erase(it) : std::next(it);
  }
}

const std::string* AccountTokens::ChooseLender(TimePoint now) {
  for (const std::string& it : lenders_) {
    LenderState& state = lender_states_[it];
    if (state.unanswered_since != TimePoint{} && now - state.requested_at >= kLenderRetryInterval) {
      state.unanswered_since = TimePoint{};
    }
    const bool timed_out = TimeWithoutResponse(it, now) >= settings_.lender_timeout;
    if (!timed_out && now >= state.cannot_lend_until) return &it;
  }
  return lenders_.empty() ? nullptr : &lenders_.front();
}

std::optional<LoanLine> AccountTokens::MakeLine(AccountHash account, Entry& entry,
                                                const SessionKey& key, Session& session,
                                                TimePoint now) {
  const bool is_relay = role_ == LoanRole::kRelay;
  const double demand = entry.demand.PerSecond(now) + (is_relay ? book_.Demand(account) : 0);
  LoanLine line;
  line.account = account;
  line.lent = key == backing_key_ ? book_.Outstanding(account) : 0;
  line.demand = static_cast<float>(demand);
  line.needed = entry.waiting + UnmetRequests(account);
  line.prefetch = role_ == LoanRole::kMember
                      ? RoundDown(demand * Seconds(settings_.member_prefetch_time))
                      : RoundDown(demand * Seconds(settings_.prefetch_time) - 0.5);
  const bool needs_tokens = line.needed > 0 && now >= entry.exhausted_until;
  const auto it = session.holdings.find(account);
  if (it == session.holdings.end()) {
    return needs_tokens || line.prefetch > 0 ? std::optional(line) : std::nullopt;
  }
  Holding& holding = it->second;
  const std::uint32_t free = FreeInSession(key, session, account, now);
  const std::uint32_t max_free = line.prefetch == 0 ? 0 : 2 * line.prefetch + 1;
  if (line.needed == 0 && free > max_free) holding.returned += free - line.prefetch;
  line.used = holding.used;
  line.returned = holding.returned;
  const bool has_update =
      holding.reported != line.used + line.returned || line.demand < holding.reported_demand / 2;
  if (!needs_tokens && !has_update && 2 * free >= line.prefetch) return std::nullopt;
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

void AccountTokens::ReturnToOtherLenders(const std::string& lender, TimePoint now) {
  for (auto& [key, session] : sessions_) {
    const bool is_current = std::get<0>(key) == lender || key == backing_key_;
    if (is_current || now >= session.valid_until) continue;
    LoanRequest request = MakeRequest(key, now);
    for (auto& [account, holding] : session.holdings) {
      const Entry* const entry = Find(account);
      if (entry != nullptr && entry->waiting == 0) holding.returned += holding.held();
      if (holding.reported == holding.used + holding.returned) continue;
      holding.reported = holding.used + holding.returned;
      request.lines.push_back({account, holding.used, holding.returned, 0, 0, 0, 0});
    }
    if (!request.lines.empty()) messages_.push_back({std::get<0>(key), std::move(request)});
  }
}

void AccountTokens::RequestTokens(const std::string& lender, TimePoint now) {
  LenderState& state = lender_states_[lender];
  const SessionKey key = state.session;
  Session& session = sessions_[key];
  LoanRequest request = MakeRequest(key, now);
  const bool previous_unanswered = state.unanswered_since != TimePoint{};
  for (auto& [account, entry] : entries_) {
    if (entry.rate <= 0) continue;
    const auto it = session.holdings.find(account);
    // The previous request may have been lost, so all counters are reported again.
    if (previous_unanswered && it != session.holdings.end()) it->second.reported = kNotReported;
    const auto line = MakeLine(account, entry, key, session, now);
    if (!line) continue;
    request.lines.push_back(*line);
    if (it == session.holdings.end()) continue;
    it->second.reported = line->used + line->returned;
    it->second.reported_demand = line->demand;
  }
  // A relay keeps its session open even without loans, so that it can lend at once when asked.
  const bool keep_open = role_ == LoanRole::kRelay || !session.holdings.empty();
  const bool is_fresh = session.valid_until - now > settings_.loan_validity / 2;
  // The first request is always sent: it also notifies a successor that this instance no longer
  // lends.
  if (request.lines.empty() && request.session != 0 && (is_fresh || !keep_open)) return;
  state.requested_at = now;
  if (state.unanswered_since == TimePoint{}) state.unanswered_since = now;
  messages_.push_back({lender, std::move(request)});
}

void AccountTokens::Tick(TimePoint now) {
  if (start_ && now >= lends_from_) lent_generation_ = start_->generation;
  if (start_ || BackingSession(now) != nullptr) Settle(book_.Expire(now));
  ServeUnmetNeeds(now);
  if (start_) {
    request_now_ = false;
    return;
  }
  const std::string* const lender = ChooseLender(now);
  if (lender == nullptr) return;
  const LenderState& state = lender_states_[*lender];
  const bool settlement_due = now - last_settlement_at_ >= SettleIntervalFor(state);
  const bool may_be_lost = now - state.requested_at >= settings_.retry_interval;
  const bool retry_due = may_be_lost && (waiting_ > 0 || !unmet_needs_.empty());
  if (!settlement_due && !request_now_ && !retry_due) return;
  // Only one request is outstanding at a time.
  if (state.unanswered_since != TimePoint{} && !may_be_lost) return;
  request_now_ = false;
  needs_early_settlement_ = false;
  last_settlement_at_ = now;
  if (settlement_due && sessions_.size() > 1) ReturnToOtherLenders(*lender, now);
  RequestTokens(*lender, now);
}

std::vector<LoanMessage> AccountTokens::TakeMessages() { return std::exchange(messages_, {}); }

std::vector<AccountTokens::AccountUsage> AccountTokens::TakeUsage(std::size_t n, TimePoint now) {
  std::vector<AccountUsage> result;
  for (auto& [account, entry] : entries_) {
    AccountUsage usage = std::exchange(entry.usage, {});
    if (!usage.used()) continue;
    usage.account = entry.name;
    usage.free = FreeTokens(entry.name, now);
    usage.lent = book_.Outstanding(account);
    usage.demand = entry.demand.PerSecond(now);
    result.push_back(std::move(usage));
  }
  const auto last = result.begin() + static_cast<std::ptrdiff_t>(std::min(n, result.size()));
  std::partial_sort(
      result.begin(), last, result.end(),
      [](const AccountUsage& a, const AccountUsage& b) { return a.requests() > b.requests(); });
  result.erase(last, result.end());
  return result;
}

}  // namespace dogwoodport::fleet
