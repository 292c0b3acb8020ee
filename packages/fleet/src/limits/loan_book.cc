#include "dogwoodport/fleet/limits/loan_book.h"

#include <algorithm>

namespace dogwoodport::fleet {
namespace {

/// Maximum number of lines in a grant that repeat totals from earlier grants.
constexpr std::size_t kMaxResentLines = 16;

}  // namespace

std::optional<std::vector<Settlement>> LoanBook::Receive(const LoanRequest& request,
                                                         bool is_own_session, TimePoint now) {
  std::vector<Settlement> settled;
  const auto [it, is_new] = sessions_.try_emplace(request.borrower);
  Session& session = it->second;
  if (!is_new && request.incarnation < session.incarnation) return std::nullopt;
  const bool expired = session.outstanding_until != TimePoint{} && now >= session.outstanding_until;
  if (is_new || request.incarnation != session.incarnation || expired) {
    EndSession(session, settled);
    session = Session{};
    session.incarnation = request.incarnation;
    session.number = ++last_session_number_;
  }
  session.stamp_us = std::max(session.stamp_us, request.stamp_us);
  const bool counters_valid = is_own_session && request.session == session.number;
  for (const LoanLine& reported : request.lines) {
    ApplyLine(session, reported, counters_valid, settled);
  }
  return settled;
}

void LoanBook::ApplyLine(Session& session, const LoanLine& reported, bool counters_valid,
                         std::vector<Settlement>& settled) {
  Line& line = session.lines[reported.account];
  Total& total = totals_[reported.account];
  if (counters_valid) {
    // A request that arrives after a later one carries lower totals and must not reduce them.
    const std::uint32_t used = std::max(line.used, reported.used);
    const std::uint32_t returned = std::max(line.returned, reported.returned);
    if (used + returned <= line.granted) {
      const Settlement change{reported.account, used - line.used, returned - line.returned};
      line.used = used;
      line.returned = returned;
      total.outstanding -= change.used + change.returned;
      if (change.used + change.returned > 0) settled.push_back(change);
    }
  }
  total.demand += reported.demand - line.demand;
  line.lent = reported.lent;
  line.needed = reported.needed;
  line.prefetch = reported.prefetch;
  line.demand = reported.demand;
}

void LoanBook::EndSession(Session& session, std::vector<Settlement>& settled) {
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
    if (session.outstanding_until == TimePoint{} || now < session.outstanding_until) {
      ++it;
      continue;
    }
    EndSession(session, settled);
    it = sessions_.erase(it);
  }
  return settled;
}

std::vector<Settlement> LoanBook::Clear() {
  std::vector<Settlement> settled;
  for (auto& [borrower, session] : sessions_) EndSession(session, settled);
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
                              Duration validity, TimePoint outstanding_until) {
  LoanGrant grant;
  const auto it = sessions_.find(borrower);
  if (it == sessions_.end()) return grant;
  Session& session = it->second;
  session.outstanding_until = std::max(session.outstanding_until, outstanding_until);
  grant.borrower_incarnation = session.incarnation;
  grant.session = session.number;
  grant.stamp_us = session.stamp_us;
  grant.valid_us = static_cast<std::uint32_t>(std::max(Duration{0}, validity).count());
  for (const AccountHash account : accounts) {
    grant.lines.push_back({account, session.lines[account].granted, 0});
  }
  ResendLines(session, grant);
  return grant;
}

void LoanBook::ResendLines(Session& session, LoanGrant& grant) {
  const std::size_t max_lines = grant.lines.size() + kMaxResentLines;
  auto it = session.lines.upper_bound(session.last_resent);
  for (std::size_t n = session.lines.size(); n > 0 && grant.lines.size() < max_lines; --n, ++it) {
    if (it == session.lines.end()) it = session.lines.begin();
    if (it->second.in_hand() > 0) grant.lines.push_back({it->first, it->second.granted, 0});
    session.last_resent = it->first;
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
