#include "dogwoodport/fleet/limits/loan_book.h"

#include <algorithm>

namespace dogwoodport::fleet {
namespace {

/// Lines in a grant that repeat what an earlier one has said.
constexpr std::size_t kRetoldLines = 16;

}  // namespace

std::optional<std::vector<Settlement>> LoanBook::Receive(const LoanRequest& request, bool is_ours,
                                                         TimePoint now) {
  std::vector<Settlement> settled;
  const auto [it, is_new] = sessions_.try_emplace(request.borrower);
  Session& session = it->second;
  if (!is_new && request.incarnation < session.incarnation) return std::nullopt;
  const bool lapsed = session.counted_until != TimePoint{} && now >= session.counted_until;
  if (is_new || request.incarnation != session.incarnation || lapsed) {
    End(session, settled);
    session = Session{};
    session.incarnation = request.incarnation;
    session.number = ++last_number_;
  }
  session.stamp_us = std::max(session.stamp_us, request.stamp_us);
  const bool counts = is_ours && request.session == session.number;
  for (const LoanLine& said : request.lines) {
    Apply(session, said, counts, settled);
  }
  return settled;
}

void LoanBook::Apply(Session& session, const LoanLine& said, bool counts,
                     std::vector<Settlement>& settled) {
  Line& line = session.lines[said.account];
  Total& total = totals_[said.account];
  if (counts) {
    // A request that was overtaken by a later one says less than is known.
    const std::uint32_t used = std::max(line.used, said.used);
    const std::uint32_t returned = std::max(line.returned, said.returned);
    if (used + returned <= line.granted) {
      const Settlement change{said.account, used - line.used, returned - line.returned};
      line.used = used;
      line.returned = returned;
      total.outstanding -= change.used + change.returned;
      if (change.used + change.returned > 0) settled.push_back(change);
    }
  }
  total.demand += said.demand - line.demand;
  line.lent = said.lent;
  line.needed = said.needed;
  line.stock = said.stock;
  line.demand = said.demand;
}

void LoanBook::End(Session& session, std::vector<Settlement>& settled) {
  for (auto& [account, line] : session.lines) {
    Total& total = totals_[account];
    total.outstanding -= line.outstanding();
    total.demand -= line.demand;
    if (line.outstanding() > 0) settled.push_back({account, line.outstanding(), 0});
  }
  session.lines.clear();
}

std::vector<Settlement> LoanBook::Expire(TimePoint now) {
  std::vector<Settlement> settled;
  for (auto it = sessions_.begin(); it != sessions_.end();) {
    Session& session = it->second;
    if (session.counted_until == TimePoint{} || now < session.counted_until) {
      ++it;
      continue;
    }
    End(session, settled);
    it = sessions_.erase(it);
  }
  return settled;
}

std::vector<Settlement> LoanBook::Clear() {
  std::vector<Settlement> settled;
  for (auto& [borrower, session] : sessions_) End(session, settled);
  sessions_.clear();
  totals_.clear();
  return settled;
}

void LoanBook::Lend(const std::string& borrower, AccountHash account, std::uint32_t n) {
  sessions_.at(borrower).lines[account].granted += n;
  totals_[account].outstanding += n;
}

const LoanBook::Line* LoanBook::Find(const std::string& borrower, AccountHash account) const {
  const auto session = sessions_.find(borrower);
  if (session == sessions_.end()) return nullptr;
  const auto line = session->second.lines.find(account);
  return line == session->second.lines.end() ? nullptr : &line->second;
}

LoanGrant LoanBook::MakeGrant(const std::string& borrower, const std::vector<AccountHash>& accounts,
                              Duration valid, TimePoint counted_until) {
  LoanGrant grant;
  const auto it = sessions_.find(borrower);
  if (it == sessions_.end()) return grant;
  Session& session = it->second;
  session.counted_until = std::max(session.counted_until, counted_until);
  grant.borrower_incarnation = session.incarnation;
  grant.session = session.number;
  grant.stamp_us = session.stamp_us;
  grant.valid_us = static_cast<std::uint32_t>(std::max(Duration{0}, valid).count());
  for (const AccountHash account : accounts) {
    grant.lines.push_back({account, session.lines[account].granted, 0});
  }
  TellAgain(session, grant);
  return grant;
}

void LoanBook::TellAgain(Session& session, LoanGrant& grant) {
  const std::size_t most = grant.lines.size() + kRetoldLines;
  auto it = session.lines.upper_bound(session.retold);
  for (std::size_t n = session.lines.size(); n > 0 && grant.lines.size() < most; --n, ++it) {
    if (it == session.lines.end()) it = session.lines.begin();
    if (it->second.in_hand() > 0) grant.lines.push_back({it->first, it->second.granted, 0});
    session.retold = it->first;
  }
}

std::uint32_t LoanBook::Outstanding(AccountHash account) const {
  const auto it = totals_.find(account);
  return it == totals_.end() ? 0 : it->second.outstanding;
}

double LoanBook::Demand(AccountHash account) const {
  const auto it = totals_.find(account);
  return it == totals_.end() ? 0 : std::max(0.0, it->second.demand);
}

}  // namespace dogwoodport::fleet
