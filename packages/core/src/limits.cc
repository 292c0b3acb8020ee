#include "dogwoodport/core/limits.h"

#include <algorithm>
#include <cmath>

namespace dogwoodport {
namespace {

// Minimum interval between the loan requests of one instance for one account.
constexpr Duration kRequestInterval{10'000};
// A peer without tokens to lend is skipped for 20 ms, doubled with each empty response up to 320
// ms.
constexpr Duration kEmptyPeerDelay{20'000};
constexpr std::uint32_t kMaxEmptyDoublings = 4;
// With 50 ms, a single request of an account with a low rate counted as 20 per second, so half of
// the account's tokens were borrowed in advance and expired unused.
constexpr Duration kDemandWindow{500'000};
// Time for which a peer that did not respond to a request is skipped.
constexpr Duration kUnresponsivePeerDelay{200'000};
constexpr Duration kNoPermitRetry{500'000};
// Time for which a borrower covers its demand in advance: one request interval and a round trip,
// with a margin.
constexpr double kPrefetchSeconds = 0.03;
// Time for which a lender retains tokens for its own demand.
constexpr double kReserveSeconds = 0.02;
// A lender in another data centre is preferred to a local one only if the fraction of the wanted
// tokens that it covers is larger by more than this.
constexpr double kRemotePenalty = 0.05;
// After this many consecutive empty responses, requests are refused at once instead of queued.
constexpr std::uint32_t kEmptyResponsesBeforeRefusal = 3;
// A lender receives a request only if it is expected to hold this fraction of its cap, so that each
// message yields a useful number of tokens.
constexpr double kMinRequestFraction = 0.1;
constexpr double kOneMillitoken = 0.001;

double Seconds(Duration d) { return static_cast<double>(d.count()) * 1e-6; }

Duration FromSeconds(double s) { return Duration(static_cast<Duration::rep>(std::ceil(s * 1e6))); }

std::uint32_t Millitokens(double tokens) {
  return static_cast<std::uint32_t>(std::clamp(std::round(tokens * 1000), 0.0, 4e9));
}

std::uint64_t Mix(std::uint64_t a, std::uint64_t b) {
  std::uint64_t x = a ^ (b * 0x9E3779B97F4A7C15ULL);
  x = (x ^ (x >> 30)) * 0xBF58476D1CE4E5B9ULL;
  x = (x ^ (x >> 27)) * 0x94D049BB133111EBULL;
  return x ^ (x >> 31);
}

std::optional<InstanceId> ExchangeOf(const std::vector<InstanceId>& members, AccountId account) {
  std::optional<InstanceId> best;
  std::uint64_t best_weight = 0;
  for (const InstanceId id : members) {
    const std::uint64_t weight = Mix(id.value, account.value);
    if (!best || weight > best_weight) {
      best = id;
      best_weight = weight;
    }
  }
  return best;
}

}  // namespace

std::string_view ToString(LimitReason reason) noexcept {
  constexpr std::string_view kNames[] = {"rate_exceeded", "no_permit", "unknown_account",
                                         "deadline"};
  return kNames[static_cast<std::size_t>(reason)];
}

Limits::Limits(const LimitSettings& settings, TimePoint now)
    : settings_(settings), permit_until_(now), last_tick_(now) {}

void Limits::OnConfig(TimePoint now, const Config& config) {
  if (config_version_ != 0 && config.version <= config_version_) return;
  const bool first = config_version_ == 0;
  config_version_ = config.version;
  config_part_ = 0;
  for (const DataCentreConfig& dc : config.data_centres) {
    if (dc.id == settings_.data_centre) config_part_ = dc.rate_share;
  }
  config_part_in_use_ = first ? config_part_ : std::min(config_part_in_use_, config_part_);
  std::unordered_map<AccountId, std::unique_ptr<Account>> kept;
  for (const AccountConfig& account : config.accounts) {
    auto it = accounts_.find(account.id);
    auto entry = it == accounts_.end() ? std::make_unique<Account>(now) : std::move(it->second);
    entry->id = account.id;
    entry->rate = account.rate;
    entry->burst = account.burst;
    kept.emplace(account.id, std::move(entry));
  }
  for (auto& [id, account] : accounts_) {
    if (account) RefuseWaiting(*account, LimitReason::kUnknownAccount);
  }
  accounts_ = std::move(kept);
  active_.clear();
  for (auto& [id, account] : accounts_) {
    if (account->active) active_.push_back(account.get());
  }
  ApplyShares(now);
}

void Limits::OnConfigConfirmed(TimePoint now, std::uint64_t version) {
  confirmed_version_ = std::max(confirmed_version_, version);
  if (confirmed_version_ >= config_version_) config_part_in_use_ = config_part_;
  ApplyShares(now);
}

void Limits::OnDelegation(TimePoint now, const Delegation& delegation,
                          const std::vector<InstanceId>& followers) {
  Sharers& sharers = sharers_[delegation.data_centre];
  if (!sharers.instances.empty() && delegation.offset <= sharers.offset) return;
  sharers.offset = delegation.offset;
  sharers.instances.clear();
  for (const Member& member : delegation.members) {
    if (!member.witness) sharers.instances.push_back(member.id);
  }
  sharers.instances.insert(sharers.instances.end(), followers.begin(), followers.end());
  sharer_count_ = 0;
  for (const auto& [id, entry] : sharers_) sharer_count_ += entry.instances.size();
  const bool own = delegation.data_centre == settings_.data_centre;
  const bool is_static = std::holds_alternative<StaticShares>(settings_.policy);
  if (!own && !is_static) return;
  if (own) own_offset_ = delegation.offset;
  LowerMemberPart();
  hold_until_.reset();
  if (!own && permit_offset_ == own_offset_) hold_until_ = now + kShareHold;
  ApplyShares(now);
}

void Limits::OnPermit(TimePoint now, std::uint64_t offset, TimePoint valid_until) {
  if (offset < own_offset_ && offset < permit_offset_) return;
  if (now >= permit_until_) OnPause(now);
  permit_until_ = std::max(permit_until_, valid_until);
  if (offset == own_offset_ && !hold_until_ &&
      (permit_offset_ != offset || member_part_in_use_ < TargetMemberPart())) {
    hold_until_ = now + kShareHold;
  }
  permit_offset_ = offset;
  UpdateShare(now);
}

void Limits::OnPause(TimePoint now) {
  last_tick_ = now;
  for (auto& [id, account] : accounts_) account->ledger.Drop(now);
}

double Limits::TargetMemberPart() const {
  const auto own = sharers_.find(settings_.data_centre);
  if (own == sharers_.end()) return 0;
  const auto& members = own->second.instances;
  if (std::find(members.begin(), members.end(), settings_.self) == members.end()) return 0;
  std::size_t count = members.size();
  if (std::holds_alternative<StaticShares>(settings_.policy)) {
    count = 0;
    for (const auto& [id, sharers] : sharers_) count += sharers.instances.size();
  }
  return 1.0 / static_cast<double>(count);
}

void Limits::LowerMemberPart() {
  member_part_in_use_ = std::min(member_part_in_use_, TargetMemberPart());
}

void Limits::UpdateShare(TimePoint now) {
  if (!hold_until_ || now < *hold_until_) return;
  hold_until_.reset();
  member_part_in_use_ = TargetMemberPart();
  ApplyShares(now);
}

void Limits::ApplyShares(TimePoint now) {
  const bool is_static = std::holds_alternative<StaticShares>(settings_.policy);
  share_in_use_ = member_part_in_use_ * (is_static ? 1.0 : config_part_in_use_);
  for (auto& [id, account] : accounts_) {
    account->ledger.SetShare(now, account->rate * share_in_use_, account->burst * share_in_use_);
  }
}

bool Limits::Usable(TimePoint now) {
  if (now - last_tick_ > kLimitPauseGap) OnPause(now);
  UpdateShare(now);
  return now < permit_until_;
}

void Limits::AddDemand(Account& account, TimePoint now, double requests) {
  account.demand = Demand(account, now) + requests / Seconds(kDemandWindow);
  account.last_arrival = now;
}

double Limits::Demand(const Account& account, TimePoint now) const {
  const double age = Seconds(now - account.last_arrival) / Seconds(kDemandWindow);
  return age <= 0 ? account.demand : account.demand * std::exp(-age);
}

double Limits::Shortfall(const Account& account, TimePoint now) const {
  const auto waiting = static_cast<double>(account.waiting.size());
  const double demand = Demand(account, now);
  const double loan_seconds = Seconds(kTokenLoanDuration);
  // Tokens are not borrowed in advance beyond what accrues in the whole fleet during the validity
  // of a loan, nor for a request that is not expected within it, since they would expire unused.
  const bool expected = demand * loan_seconds >= 1;
  const double prefetch =
      expected ? std::min(demand * kPrefetchSeconds, account.rate * loan_seconds) : 0.0;
  const double wanted = waiting > 0 ? std::max(1.0, waiting + prefetch) : prefetch;
  return wanted - account.ledger.available();
}

double Limits::Reserve(const Account& account, TimePoint now) const {
  return static_cast<double>(account.waiting.size()) + Demand(account, now) * kReserveSeconds;
}

void Limits::Activate(Account& account) {
  if (account.active) return;
  account.active = true;
  active_.push_back(&account);
}

bool Limits::MayWait(const Account& account) const {
  if (account.waiting.size() >= settings_.max_waiting) return false;
  const double needed = static_cast<double>(account.waiting.size()) + 1;
  const double accrued =
      account.ledger.available() + account.ledger.rate() * Seconds(settings_.max_wait);
  if (accrued >= needed && account.ledger.cap() >= 1) return true;
  if (std::holds_alternative<StaticShares>(settings_.policy)) return false;
  return account.empty_responses < kEmptyResponsesBeforeRefusal && sharer_count_ > 1 &&
         needed <= account.burst;
}

LimitRefused Limits::MakeRefusal(Account& account, LimitReason reason) {
  ++account.refused;
  if (reason == LimitReason::kNoPermit) return LimitRefused{kNoPermitRetry, reason};
  const double needed = static_cast<double>(account.waiting.size()) + 1;
  const double wait = account.rate > 0 ? std::min(needed / account.rate, 3600.0) : 3600.0;
  return LimitRefused{FromSeconds(wait), reason};
}

Admission Limits::Admit(TimePoint now, AccountId account_id, std::uint64_t request,
                        TimePoint deadline) {
  const auto it = accounts_.find(account_id);
  if (it == accounts_.end()) return LimitRefused{Duration{0}, LimitReason::kUnknownAccount};
  Account& account = *it->second;
  if (!Usable(now)) return MakeRefusal(account, LimitReason::kNoPermit);
  AddDemand(account, now, 1);
  if (account.waiting.empty() && account.ledger.Take(now, 1)) {
    ++account.admitted;
    if (!account.active && account.ledger.available() < account.demand * kReserveSeconds) {
      Activate(account);
    }
    return Admitted{};
  }
  account.ledger.Update(now);
  Activate(account);
  if (!MayWait(account)) return MakeRefusal(account, LimitReason::kNoTokens);
  const TimePoint until = now + settings_.max_wait;
  account.waiting.push_back(Waiting{request, std::min(until, deadline), deadline < until});
  return Queued{};
}

void Limits::Cancel(TimePoint /*now*/, AccountId account, std::uint64_t request) {
  const auto it = accounts_.find(account);
  if (it == accounts_.end()) return;
  std::erase_if(it->second->waiting, [&](const Waiting& w) { return w.request == request; });
}

void Limits::ServeWaiting(Account& account, TimePoint now) {
  std::erase_if(account.waiting, [&](const Waiting& w) {
    if (now < w.until) return false;
    const auto reason = w.deadline_first ? LimitReason::kDeadline : LimitReason::kNoTokens;
    decisions_.push_back({w.request, MakeRefusal(account, reason)});
    return true;
  });
  while (!account.waiting.empty() && account.ledger.Take(now, 1)) {
    ++account.admitted;
    decisions_.push_back({account.waiting.front().request, Admitted{}});
    account.waiting.pop_front();
  }
}

void Limits::RefuseWaiting(Account& account, LimitReason reason) {
  for (const Waiting& w : account.waiting) {
    decisions_.push_back({w.request, MakeRefusal(account, reason)});
  }
  account.waiting.clear();
}

bool Limits::UsesExchange() const {
  const auto* loans = std::get_if<TokenLoans>(&settings_.policy);
  const auto own = sharers_.find(settings_.data_centre);
  return loans != nullptr && own != sharers_.end() &&
         own->second.instances.size() > loans->direct_peers;
}

bool Limits::IsExchange(AccountId account) const {
  return UsesExchange() &&
         ExchangeOf(sharers_.at(settings_.data_centre).instances, account) == settings_.self;
}

std::vector<Limits::Candidate> Limits::Candidates(AccountId account) const {
  std::vector<Candidate> candidates;
  const bool exchange_mode = UsesExchange();
  if (exchange_mode) {
    const auto& members = sharers_.at(settings_.data_centre).instances;
    const InstanceId exchange = *ExchangeOf(members, account);
    if (exchange != settings_.self) return {{exchange, true}};
  }
  for (const auto& [data_centre, sharers] : sharers_) {
    const bool local = data_centre == settings_.data_centre;
    if (exchange_mode && !local) {
      const auto exchange = ExchangeOf(sharers.instances, account);
      if (exchange) candidates.push_back({*exchange, false});
      continue;
    }
    for (const InstanceId id : sharers.instances) {
      if (id != settings_.self) candidates.push_back({id, local});
    }
  }
  return candidates;
}

double Limits::EstimateRemaining(const Account& account, InstanceId peer, TimePoint now) const {
  // Assumes equal shares of all peers. The share of this instance cannot be used instead, since it
  // is 0 while the instance is new.
  const auto sharers = static_cast<double>(sharer_count_);
  const double cap = account.burst / sharers;
  const auto it = account.lenders.find(peer);
  if (it == account.lenders.end()) return cap;
  const double accrued = account.rate / sharers * Seconds(now - it->second.at);
  return std::max(it->second.remaining, std::min(cap, it->second.remaining + accrued));
}

std::optional<InstanceId> Limits::NextLender(Account& account, double wanted, TimePoint now) {
  const std::vector<Candidate> candidates = Candidates(account.id);
  const bool to_exchange = UsesExchange() && candidates.size() == 1;
  std::optional<InstanceId> best;
  double best_score = -1;
  const double min_remaining = std::max(
      kOneMillitoken,
      std::min(wanted, account.burst / static_cast<double>(sharer_count_) * kMinRequestFraction));
  ++lender_cursor_;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const auto& [id, local] = candidates[(i + lender_cursor_) % candidates.size()];
    const auto unresponsive = unresponsive_until_.find(id);
    if (unresponsive != unresponsive_until_.end() && now < unresponsive->second) continue;
    const auto known = account.lenders.find(id);
    if (known != account.lenders.end() && now < known->second.skip_until) continue;
    const double remaining = to_exchange ? wanted : EstimateRemaining(account, id, now);
    if (remaining < min_remaining) continue;
    const double score = std::min(1.0, remaining / wanted) + (local ? kRemotePenalty : 0.0);
    if (score > best_score) {
      best = id;
      best_score = score;
    }
  }
  return best;
}

bool Limits::MessageBudget::Take(TimePoint now, double per_second) {
  const double max_tokens = std::max(2.0, per_second * 0.05);
  tokens = std::min(max_tokens, tokens + per_second * Seconds(now - updated_at));
  updated_at = now;
  if (tokens < 1) return false;
  tokens -= 1;
  return true;
}

void Limits::RequestLoans(TimePoint now, const TokenLoans& policy, Outbox& out) {
  std::vector<std::pair<InstanceId, LoanRequest>> requests;
  for (Account* account : active_) {
    const double wanted = Shortfall(*account, now);
    if (wanted < kOneMillitoken || now < account->next_request) continue;
    const auto lender = NextLender(*account, wanted, now);
    if (!lender) continue;
    auto it = std::find_if(requests.begin(), requests.end(),
                           [&](const auto& r) { return r.first == *lender; });
    if (it == requests.end()) {
      if (!request_budget_.Take(now, policy.messages_per_second)) break;
      requests.emplace_back(*lender, LoanRequest{settings_.incarnation, next_sequence_++, {}});
      pending_.push_back(PendingRequest{requests.back().second.sequence, *lender, now});
      it = std::prev(requests.end());
    }
    // Rounded up, since a token that lacks a thousandth admits no request.
    it->second.wanted.push_back(TokenAmount{account->id, Millitokens(wanted + kOneMillitoken)});
    account->next_request = now + kRequestInterval;
    // Until the response arrives the peer is assumed to be empty, so the next request goes to
    // another one.
    LenderEstimate& estimate = account->lenders[*lender];
    estimate.remaining = 0;
    estimate.at = now;
  }
  for (auto& [peer, request] : requests) out.Send(peer, std::move(request));
}

void Limits::OnMessage(TimePoint now, InstanceId from, const LoanRequest& message, Outbox& out) {
  const auto* policy = std::get_if<TokenLoans>(&settings_.policy);
  if (policy == nullptr || !Usable(now)) return;
  if (!grant_budget_.Take(now, policy->messages_per_second)) return;
  LoanGrant grant{message.incarnation, message.sequence, {}};
  for (const TokenAmount& wanted : message.wanted) {
    const auto it = accounts_.find(wanted.account);
    if (it == accounts_.end()) continue;
    Account& account = *it->second;
    const double tokens = wanted.millitokens / 1000.0;
    const bool exchange = IsExchange(account.id);
    const double reserve =
        exchange ? static_cast<double>(account.waiting.size()) : Reserve(account, now);
    const Loan loan = account.ledger.Lend(now, tokens, reserve, exchange);
    if (exchange) {
      AddDemand(account, now, tokens);
      Activate(account);
    }
    const double remaining = std::max(0.0, account.ledger.balance() - reserve);
    grant.lent.push_back({account.id, Millitokens(loan.tokens),
                          static_cast<std::uint32_t>(loan.valid_for.count()),
                          Millitokens(remaining)});
  }
  out.Send(from, std::move(grant));
}

std::optional<Limits::PendingRequest> Limits::TakePending(std::uint32_t sequence) {
  const auto it = std::find_if(pending_.begin(), pending_.end(),
                               [&](const PendingRequest& p) { return p.sequence == sequence; });
  if (it == pending_.end()) return std::nullopt;
  const PendingRequest request = *it;
  pending_.erase(it);
  return request;
}

void Limits::ApplyGrant(Account& account, const TokenAmount& amount, const PendingRequest& request,
                        TimePoint now) {
  const Duration valid_for = std::min(kTokenLoanDuration, Duration(amount.valid_for_us));
  account.ledger.Receive(now, amount.millitokens / 1000.0, request.sent_at + valid_for);
  LenderEstimate& lender = account.lenders[request.peer];
  lender.remaining = amount.remaining_millitokens / 1000.0;
  lender.at = now;
  if (amount.millitokens > 0) {
    account.empty_responses = 0;
    lender.empty_responses = 0;
  } else {
    ++account.empty_responses;
    lender.skip_until = now + kEmptyPeerDelay * (1 << lender.empty_responses);
    lender.empty_responses = std::min(lender.empty_responses + 1, kMaxEmptyDoublings);
  }
  ServeWaiting(account, now);
}

void Limits::OnMessage(TimePoint now, InstanceId from, const LoanGrant& message, Outbox& out) {
  if (message.incarnation != settings_.incarnation) return;
  // A duplicated grant has no pending request, so its tokens are not counted twice.
  const auto request = TakePending(message.sequence);
  if (!request || request->peer != from || !Usable(now)) return;
  for (const TokenAmount& amount : message.lent) {
    const auto it = accounts_.find(amount.account);
    if (it != accounts_.end()) ApplyGrant(*it->second, amount, *request, now);
  }
  if (const auto* policy = std::get_if<TokenLoans>(&settings_.policy)) {
    RequestLoans(now, *policy, out);
  }
}

void Limits::Tick(TimePoint now, Outbox& out) {
  const bool usable = Usable(now);
  last_tick_ = now;
  std::erase_if(pending_, [&](const PendingRequest& p) {
    if (now - p.sent_at < kTokenLoanDuration) return false;
    unresponsive_until_[p.peer] = now + kUnresponsivePeerDelay;
    return true;
  });
  std::erase_if(unresponsive_until_, [&](const auto& entry) { return entry.second <= now; });
  for (Account* account : active_) {
    account->ledger.Update(now);
    usable ? ServeWaiting(*account, now) : RefuseWaiting(*account, LimitReason::kNoPermit);
  }
  std::erase_if(active_, [&](Account* account) {
    account->active = !account->waiting.empty() || Shortfall(*account, now) > 0;
    return !account->active;
  });
  if (active_.empty() || !usable) return;
  // The order rotates so that the message budget is not always used for the same accounts.
  std::rotate(active_.begin(), active_.begin() + 1, active_.end());
  if (const auto* policy = std::get_if<TokenLoans>(&settings_.policy)) {
    RequestLoans(now, *policy, out);
  }
}

std::optional<LimitStatus> Limits::Status(TimePoint now, AccountId id) {
  const auto it = accounts_.find(id);
  if (it == accounts_.end()) return std::nullopt;
  Account& account = *it->second;
  account.ledger.Update(now);
  const TokenLedger& ledger = account.ledger;
  return LimitStatus{ledger.rate(),     ledger.cap(),         ledger.balance(),
                     ledger.borrowed(), ledger.outstanding(), account.waiting.size(),
                     account.admitted,  account.refused};
}

}  // namespace dogwoodport
