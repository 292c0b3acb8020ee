#include "dogwoodport/core/token_ledger.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace dogwoodport {
namespace {

constexpr Duration::rep kGridUs = 1'000;  // limits a ledger to one entry per millisecond

// Expiry times are multiples of 1 ms. A lender rounds up, which delays its accrual, and a borrower
// rounds down, which wastes tokens, so rounding never admits more.
TimePoint GridFloor(TimePoint t) {
  const Duration::rep us = t.time_since_epoch().count();
  return TimePoint(Duration(us - us % kGridUs));
}

TimePoint GridCeil(TimePoint t) { return GridFloor(t + Duration(kGridUs - 1)); }

// Loans are transferred in whole thousandths of a token.
double WholeMillitokens(double tokens) { return std::floor(tokens * 1000) / 1000; }

double Seconds(Duration d) { return static_cast<double>(d.count()) * 1e-6; }

}  // namespace

void TokenLedger::Accrue(TimePoint until) {
  if (until <= updated_at_) return;
  const double room = std::max(0.0, cap_ - balance_ - outstanding_sum_);
  balance_ += std::min(room, rate_ * Seconds(until - updated_at_));
  updated_at_ = until;
}

void TokenLedger::Update(TimePoint now) {
  std::size_t expired = 0;
  for (; expired < outstanding_.size() && outstanding_[expired].until <= now; ++expired) {
    Accrue(outstanding_[expired].until);
    outstanding_sum_ -= outstanding_[expired].tokens;
  }
  if (expired > 0) {
    outstanding_.erase(outstanding_.begin(),
                       outstanding_.begin() + static_cast<std::ptrdiff_t>(expired));
    if (outstanding_.empty()) outstanding_sum_ = 0;
  }
  Accrue(now);
  expired = 0;
  for (; expired < borrowed_.size() && borrowed_[expired].until <= now; ++expired) {
    borrowed_sum_ -= borrowed_[expired].tokens;
  }
  if (expired > 0) {
    borrowed_.erase(borrowed_.begin(), borrowed_.begin() + static_cast<std::ptrdiff_t>(expired));
    if (borrowed_.empty()) borrowed_sum_ = 0;
  }
}

void TokenLedger::SetShare(TimePoint now, double rate, double cap) {
  Update(now);
  rate_ = rate;
  cap_ = cap;
  balance_ = std::min(balance_, std::max(0.0, cap_ - outstanding_sum_));
}

void TokenLedger::TakeBorrowed(double tokens) {
  std::size_t used = 0;
  while (tokens > 0 && used < borrowed_.size()) {
    Entry& entry = borrowed_[used];
    const double part = std::min(tokens, entry.tokens);
    entry.tokens -= part;
    borrowed_sum_ -= part;
    tokens -= part;
    if (entry.tokens > 0) break;
    ++used;
  }
  borrowed_.erase(borrowed_.begin(), borrowed_.begin() + static_cast<std::ptrdiff_t>(used));
  if (borrowed_.empty()) borrowed_sum_ = 0;
}

bool TokenLedger::Take(TimePoint now, double tokens) {
  Update(now);
  if (available() < tokens) return false;
  const double from_loans = std::min(tokens, borrowed_sum_);
  if (from_loans > 0) TakeBorrowed(from_loans);
  balance_ = std::max(0.0, balance_ - (tokens - from_loans));
  return true;
}

Loan TokenLedger::Lend(TimePoint now, double wanted, double reserve, bool relend) {
  Update(now);
  const double own = WholeMillitokens(std::min(wanted, std::max(0.0, balance_ - reserve)));
  if (own > 0) {
    balance_ -= own;
    outstanding_sum_ += own;
    const TimePoint until = GridCeil(now + kOutstandingDuration);
    if (!outstanding_.empty() && outstanding_.back().until == until) {
      outstanding_.back().tokens += own;
    } else {
      outstanding_.push_back(Entry{own, until});
    }
    return Loan{own, kTokenLoanDuration};
  }
  if (!relend || borrowed_sum_ <= reserve) return Loan{};
  const double part = WholeMillitokens(std::min(wanted, borrowed_sum_ - reserve));
  // The tokens that expire first are lent, so their remaining validity limits the whole loan.
  const Duration valid_for = borrowed_.front().until - now;
  TakeBorrowed(part);
  return Loan{part, valid_for};
}

void TokenLedger::Receive(TimePoint now, double tokens, TimePoint expires_at) {
  Update(now);
  const TimePoint until = GridFloor(expires_at);
  if (tokens <= 0 || until <= now) return;
  borrowed_sum_ += tokens;
  auto it = std::lower_bound(borrowed_.begin(), borrowed_.end(), until,
                             [](const Entry& e, TimePoint t) { return e.until < t; });
  if (it != borrowed_.end() && it->until == until) {
    it->tokens += tokens;
  } else {
    borrowed_.insert(it, Entry{tokens, until});
  }
}

void TokenLedger::Drop(TimePoint now) {
  Update(now);
  balance_ = 0;
  borrowed_sum_ = 0;
  borrowed_.clear();
}

}  // namespace dogwoodport
