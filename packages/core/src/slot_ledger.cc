#include "dogwoodport/core/slot_ledger.h"

#include <algorithm>

namespace dogwoodport {
namespace {

// At a shorter interval, two requests would be sent within one round trip in a data centre.
constexpr Duration kBorrowInterval{2'000};
// A loan that became idle more recently may be intended for a request that is about to take it.
constexpr Duration kMinIdle{1'000};
// Limits the number of messages that one request causes in a large group.
constexpr std::uint8_t kMaxForwards = 6;
constexpr std::size_t kNoRow = static_cast<std::size_t>(-1);

Duration WithDrift(Duration d) {
  return Duration{static_cast<Duration::rep>(static_cast<double>(d.count()) * kClockDrift)};
}

std::uint64_t Weight(TargetId target, InstanceId member) noexcept {
  std::uint64_t h = (target.value ^ (member.value * 0x9E3779B97F4A7C15ULL));
  h ^= h >> 31;
  h *= 0xBF58476D1CE4E5B9ULL;
  return h ^ (h >> 29);
}

}  // namespace

std::size_t SlotLedger::AddRow(TargetId target, Resource resource, std::uint32_t total) {
  const auto [it, added] = index_.try_emplace(target, std::array<std::size_t, 2>{kNoRow, kNoRow});
  std::size_t& row = it->second[static_cast<std::size_t>(resource)];
  if (row == kNoRow) {
    row = rows_.size();
    rows_.push_back(Row{.target = target, .resource = resource});
    for (Division& division : divisions_) AddRank(division, target);
  }
  rows_[row].total = total;
  return row;
}

std::optional<std::size_t> SlotLedger::FindRow(TargetId target, Resource resource) const {
  const auto it = index_.find(target);
  if (it == index_.end()) return std::nullopt;
  const std::size_t row = it->second[static_cast<std::size_t>(resource)];
  return row == kNoRow ? std::nullopt : std::optional(row);
}

void SlotLedger::OnDelegation(TimePoint now, const Delegation& delegation,
                              DelegationHistory history) {
  if (delegation.offset < delegation_) return;
  delegation_ = delegation.offset;
  const TimePoint earlier_attempts_end =
      now + WithDrift(settings_.permit_duration + LoanDuration());
  if (divisions_.empty() && history == DelegationHistory::kReplacesEarlier) {
    // A new instance uses no units of its own while members of the earlier delegation may use them.
    Division no_share{.until = earlier_attempts_end};
    for (const Row& row : rows_) AddRank(no_share, row.target);
    divisions_.push_back(std::move(no_share));
  } else if (!divisions_.empty()) {
    divisions_.back().until = earlier_attempts_end;
  }
  Division division{.members = {}, .self_is_member = false, .until = TimePoint::max()};
  for (const Member& member : delegation.members) {
    if (member.witness) continue;
    division.members.push_back(member.id);
    if (member.id == settings_.self && member.incarnation == settings_.incarnation) {
      division.self_is_member = true;
    }
  }
  for (const Row& row : rows_) AddRank(division, row.target);
  divisions_.push_back(std::move(division));
}

void SlotLedger::AddRank(Division& division, TargetId target) const {
  const std::uint64_t own = Weight(target, settings_.self);
  std::uint32_t rank = 0;
  for (const InstanceId member : division.members) {
    const std::uint64_t weight = Weight(target, member);
    if (weight > own || (weight == own && member.value < settings_.self.value)) ++rank;
  }
  division.ranks.push_back(rank);
}

std::uint32_t SlotLedger::ShareUnder(const Division& division, std::size_t row,
                                     std::uint32_t limit) const noexcept {
  if (!division.self_is_member) return 0;
  const std::uint32_t units = std::min(limit, rows_[row].total);
  const std::uint32_t rank = division.ranks[row];
  // Unit k belongs to the member whose rank is k modulo the number of members.
  if (units <= rank) return 0;
  return (units - rank - 1) / static_cast<std::uint32_t>(division.members.size()) + 1;
}

std::uint32_t SlotLedger::Share(TimePoint now, std::size_t row,
                                std::uint32_t limit) const noexcept {
  if (divisions_.empty() || now >= permit_until_) return 0;
  std::uint32_t share = UINT32_MAX;
  for (const Division& division : divisions_) {
    if (now >= division.until) continue;
    share = std::min(share, ShareUnder(division, row, limit));
  }
  return share;
}

std::uint32_t SlotLedger::OwnFree(TimePoint now, const Row& row,
                                  std::uint32_t limit) const noexcept {
  const std::uint32_t share = Share(now, static_cast<std::size_t>(&row - rows_.data()), limit);
  std::uint32_t used = row.own_in_use;
  for (const LoanOut& loan : row.out) used += now < loan.expires ? 1 : 0;
  return share > used ? share - used : 0;
}

std::uint32_t SlotLedger::Free(TimePoint now, std::size_t row, std::uint32_t limit) const noexcept {
  std::uint32_t n = OwnFree(now, rows_[row], limit);
  for (const LoanIn& loan : rows_[row].in) n += Startable(now, loan) ? 1 : 0;
  return n;
}

std::uint32_t SlotLedger::InUse(std::size_t row) const noexcept {
  std::uint32_t n = rows_[row].own_in_use;
  for (const LoanIn& loan : rows_[row].in) n += loan.busy ? 1 : 0;
  return n;
}

std::uint32_t SlotLedger::Claimed(TimePoint now, std::size_t row) const noexcept {
  return InUse(row) + Free(now, row, rows_[row].total);
}

std::optional<SlotHold> SlotLedger::Acquire(TimePoint now, std::size_t row, std::uint32_t limit) {
  Row& r = rows_[row];
  if (OwnFree(now, r, limit) > 0) {
    ++r.own_in_use;
    return SlotHold{.until = now + settings_.max_hold};
  }
  for (LoanIn& loan : r.in) {
    if (!Startable(now, loan)) continue;
    loan.busy = true;
    return SlotHold{.loan = loan.number, .lender = loan.lender, .until = now + settings_.max_hold};
  }
  return std::nullopt;
}

void SlotLedger::Release(TimePoint now, std::size_t row, const SlotHold& hold) {
  Row& r = rows_[row];
  if (hold.loan == 0) {
    if (r.own_in_use > 0) --r.own_in_use;
    return;
  }
  for (LoanIn& loan : r.in) {
    if (loan.number != hold.loan || loan.lender != hold.lender) continue;
    loan.busy = false;
    loan.idle_since = now;
  }
}

void SlotLedger::OnPause(TimePoint now) {
  for (Row& row : rows_) {
    for (LoanIn& loan : row.in) {
      if (!loan.busy) loan.expires = std::min(loan.expires, now);
    }
  }
}

void SlotLedger::Borrow(TimePoint now, std::size_t row, bool any_of_service, Outbox& out) {
  Row& r = rows_[row];
  if (divisions_.empty() || now < r.next_borrow) return;
  const std::vector<InstanceId>& members = divisions_.back().members;
  if (members.empty()) return;
  for (std::size_t i = 0; i < members.size(); ++i) {
    const InstanceId peer = members[r.next_peer++ % members.size()];
    if (peer == settings_.self) continue;
    const std::uint64_t sequence = next_sequence_++;
    pending_[sequence % pending_.size()] = Pending{sequence, now};
    r.next_borrow = now + kBorrowInterval;
    out.Send(peer, SlotRequest{.target = r.target,
                               .resource = static_cast<std::uint8_t>(r.resource),
                               .borrower = settings_.incarnation,
                               .sequence = sequence,
                               .any_of_service = any_of_service});
    return;
  }
}

bool SlotLedger::Lend(TimePoint now, InstanceId borrower, std::size_t row,
                      const SlotRequest& request, std::uint32_t limit, Outbox& out) {
  Row& r = rows_[row];
  if (OwnFree(now, r, limit) == 0) return false;
  if (r.in.empty() && r.out.empty()) active_.push_back(row);
  r.out.push_back(LoanOut{.borrower = borrower,
                          .incarnation = request.borrower,
                          .sequence = request.sequence,
                          .number = next_loan_++,
                          .expires = now + WithDrift(LoanDuration()),
                          .next_query = now + settings_.query_interval});
  out.Send(borrower, SlotLoan{.target = r.target,
                              .resource = request.resource,
                              .borrower = request.borrower,
                              .sequence = request.sequence,
                              .lender = settings_.incarnation,
                              .number = r.out.back().number});
  return true;
}

void SlotLedger::OnRequest(TimePoint now, InstanceId from, const SlotRequest& request,
                           std::span<const Candidate> candidates, Outbox& out) {
  const InstanceId borrower = request.passed_on > 0 ? request.from : from;
  if (borrower == settings_.self) return;
  const auto is_duplicate = [&](const LoanOut& loan) {
    return loan.borrower == borrower && loan.incarnation == request.borrower &&
           loan.sequence == request.sequence;
  };
  for (const Candidate& candidate : candidates) {
    const Row& row = rows_[candidate.row];
    // A duplicated request must not receive a second unit.
    if (std::any_of(row.out.begin(), row.out.end(), is_duplicate)) return;
  }
  for (const Candidate& candidate : candidates) {
    if (Lend(now, borrower, candidate.row, request, candidate.limit, out)) return;
  }
  for (const Candidate& candidate : candidates) {
    if (ReturnIdle(now, borrower, rows_[candidate.row], request, out)) return;
  }
  PassOn(borrower, request, out);
}

bool SlotLedger::ReturnIdle(TimePoint now, InstanceId borrower, Row& row,
                            const SlotRequest& request, Outbox& out) {
  const auto idle = std::find_if(row.in.begin(), row.in.end(), [&](const LoanIn& loan) {
    return !loan.busy && now >= loan.idle_since + kMinIdle;
  });
  if (idle == row.in.end()) return false;
  const InstanceId lender = idle->lender;
  SendReturn(row, lender, idle->incarnation, idle->number, out);
  row.in.erase(idle);
  // If the borrower is the lender of this loan, the return alone gives it the unit.
  if (lender == borrower || request.passed_on >= kMaxForwards) return true;
  SlotRequest next = request;
  next.target = row.target;
  next.from = borrower;
  ++next.passed_on;
  out.Send(lender, next);
  return true;
}

void SlotLedger::PassOn(InstanceId borrower, const SlotRequest& request, Outbox& out) const {
  if (divisions_.empty()) return;
  const std::vector<InstanceId>& members = divisions_.back().members;
  if (request.passed_on >= kMaxForwards || request.passed_on + 2U >= members.size()) return;
  const auto self = std::find(members.begin(), members.end(), settings_.self);
  if (self == members.end()) return;
  SlotRequest next = request;
  next.from = borrower;
  ++next.passed_on;
  auto i = static_cast<std::size_t>(self - members.begin());
  do {
    i = (i + 1) % members.size();
  } while (members[i] == borrower);
  if (members[i] != settings_.self) out.Send(members[i], next);
}

void SlotLedger::SendReturn(const Row& row, InstanceId lender, Incarnation incarnation,
                            std::uint64_t number, Outbox& out) const {
  out.Send(lender, SlotReturn{.target = row.target,
                              .resource = static_cast<std::uint8_t>(row.resource),
                              .borrower = settings_.incarnation,
                              .lender = incarnation,
                              .number = number});
}

void SlotLedger::OnLoan(TimePoint now, InstanceId from, const SlotLoan& loan, Outbox& out) {
  // A loan to an earlier incarnation must not be returned before it expires, since an attempt of
  // that incarnation may still be running at the target.
  if (loan.borrower != settings_.incarnation) return;
  const auto index = FindRow(loan.target, static_cast<Resource>(loan.resource & 1));
  if (!index) return;
  Row& r = rows_[*index];
  for (const LoanIn& held : r.in) {
    const bool same = held.incarnation == loan.lender && held.number == loan.number;
    if (held.lender == from && same) return;
  }
  auto& [incarnation, highest] = latest_loans_[from];
  if (loan.lender.value < incarnation.value) return;
  if (loan.lender.value > incarnation.value) highest = 0;
  incarnation = loan.lender;
  const bool is_new = loan.number > highest;
  highest = std::max(highest, loan.number);
  // The validity counts from this instance's request, so the expiry of a loan is unknown without a
  // matching request.
  Pending& pending = pending_[loan.sequence % pending_.size()];
  if (!is_new || loan.sequence == 0 || loan.sequence != pending.sequence) {
    SendReturn(r, from, loan.lender, loan.number, out);
    return;
  }
  if (r.in.empty() && r.out.empty()) active_.push_back(*index);
  pending.sequence = 0;
  r.in.push_back(LoanIn{.lender = from,
                        .incarnation = loan.lender,
                        .number = loan.number,
                        .expires = pending.requested + LoanDuration(),
                        .idle_since = now});
}

void SlotLedger::OnReturn(InstanceId from, const SlotReturn& message) {
  const auto index = FindRow(message.target, static_cast<Resource>(message.resource & 1));
  if (!index || message.lender != settings_.incarnation) return;
  std::erase_if(rows_[*index].out, [&](const LoanOut& loan) {
    return loan.borrower == from && loan.incarnation == message.borrower &&
           loan.number == message.number;
  });
}

void SlotLedger::TickRow(TimePoint now, Row& row, Outbox& out) {
  std::erase_if(row.in, [&](const LoanIn& loan) {
    if (loan.busy) return false;
    const bool is_unusable = !Startable(now, loan);
    if (!is_unusable && now < loan.idle_since + settings_.idle_return) return false;
    SendReturn(row, loan.lender, loan.incarnation, loan.number, out);
    return true;
  });
  std::erase_if(row.out, [&](const LoanOut& loan) { return now >= loan.expires; });
  for (LoanOut& loan : row.out) {
    if (now < loan.next_query) continue;
    loan.next_query = now + settings_.query_interval;
    out.Send(loan.borrower, SlotLoan{.target = row.target,
                                     .resource = static_cast<std::uint8_t>(row.resource),
                                     .borrower = loan.incarnation,
                                     .sequence = loan.sequence,
                                     .lender = settings_.incarnation,
                                     .number = loan.number});
  }
}

void SlotLedger::Tick(TimePoint now, Outbox& out) {
  std::erase_if(divisions_, [&](const Division& division) { return now >= division.until; });
  for (const std::size_t row : active_) TickRow(now, rows_[row], out);
  std::erase_if(active_,
                [&](std::size_t row) { return rows_[row].in.empty() && rows_[row].out.empty(); });
}

}  // namespace dogwoodport
