#include "dogwoodport/fleet/limits/account_exchange.h"

#include <algorithm>

#include "dogwoodport/fleet/detail/name_hash.h"

namespace dogwoodport::fleet {
namespace {

/// Time between two reports of a sender above which what it admitted in between does not count.
constexpr Duration kLongestGap{3'000'000};

}  // namespace

void AccountExchange::SetAccounts(const std::vector<std::string>& names) {
  names_.clear();
  for (const std::string& name : names) names_[detail::HashOf(name)] = name;
}

std::vector<AccountReport> AccountExchange::MakeReport(TimePoint now) {
  std::vector<AccountReport> result;
  for (const AccountUse& it : limiter_.Report(now)) {
    result.push_back({detail::HashOf(it.account), static_cast<float>(it.demand), it.admitted});
  }
  return result;
}

void AccountExchange::OnReport(const ReportSender& sender, const std::vector<AccountReport>& report,
                               TimePoint now) {
  Sender& known = senders_[sender.first];
  const bool is_new = now - known.reported_at > kLongestGap;
  known.reported_at = now;
  if (known.incarnation != sender.second) {
    known.uses.clear();
    known.incarnation = sender.second;
  }
  for (auto& [account, use] : known.uses) use.demand = 0;
  for (const AccountReport& account : report) {
    AccountReport& use = known.uses[account.account];
    // What a sender admitted while it did not report here is past, or in the digests.
    if (!is_new && account.admitted > use.admitted) {
      Count(account.account, account.admitted - use.admitted, now);
    }
    use = account;
  }
}

void AccountExchange::Count(std::uint64_t account, std::uint32_t n, TimePoint now) {
  others_admitted_[account] += n;
  const auto name = names_.find(account);
  if (name != names_.end()) limiter_.OnOthersAdmitted(name->second, n, now);
}

void AccountExchange::SetSilent(const std::string& address) {
  const auto it = senders_.find(address);
  if (it == senders_.end()) return;
  for (auto& [account, use] : it->second.uses) use.demand = 0;
}

std::vector<AccountReport> AccountExchange::MakeDigest(TimePoint now) {
  std::unordered_map<std::uint64_t, AccountReport> totals;
  for (const AccountReport& it : MakeReport(now)) totals[it.account] = it;
  for (const auto& [address, sender] : senders_) {
    for (const auto& [account, use] : sender.uses) {
      totals[account].demand += use.demand;
    }
  }
  std::vector<AccountReport> result;
  for (auto& [account, total] : totals) {
    total.account = account;
    total.admitted += others_admitted_[account];
    result.push_back(total);
  }
  return result;
}

void AccountExchange::OnDigest(const ReportSender& sender, const std::vector<AccountReport>& digest,
                               TimePoint now) {
  const bool follows = sender == digest_sender_;
  if (!follows) {
    digested_.clear();
    limiter_.OnUnknown(now);
  }
  limiter_.SetKnown(now);
  digest_sender_ = sender;
  digest_at_ = now;
  for (auto& [account, last] : digested_) last.total.demand = 0;
  for (const AccountReport& it : digest) {
    const auto name = names_.find(it.account);
    if (name == names_.end()) continue;
    const std::uint32_t own = limiter_.Reported(name->second).admitted;
    const auto [last, is_new] = digested_.try_emplace(it.account);
    if (follows || !is_new) {
      const std::int64_t total = std::int64_t{it.admitted} - last->second.total.admitted;
      const std::int64_t own_part = std::int64_t{own} - last->second.own_admitted;
      limiter_.OnOthersAdmitted(
          name->second, static_cast<double>(std::max<std::int64_t>(0, total - own_part)), now);
    }
    last->second = {it, own};
  }
}

void AccountExchange::UpdateDemand(TimePoint now, bool by_digests) {
  if (!by_digests) limiter_.SetKnown(now);
  const bool digested = digest_at_ != TimePoint{} && now - digest_at_ <= kDigestAge;
  for (const auto& [account, name] : names_) {
    double others = 0;
    if (digested) {
      const auto it = digested_.find(account);
      const double total = it == digested_.end() ? 0 : it->second.total.demand;
      others = std::max(0.0, total - limiter_.Reported(name).demand);
    } else {
      for (const auto& [address, sender] : senders_) {
        const auto it = sender.uses.find(account);
        if (it != sender.uses.end()) others += it->second.demand;
      }
    }
    limiter_.SetOthersDemand(name, others);
  }
}

}  // namespace dogwoodport::fleet
