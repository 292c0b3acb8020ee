// Lending and borrowing of client account tokens by an instance.

#include <algorithm>
#include <utility>

#include "dogwoodport/fleet/detail/name_hash.h"
#include "dogwoodport/fleet/instance.h"

namespace dogwoodport::fleet {

using detail::HashOf;

void Instance::UpdateLending() {
  const TimePoint now = loop_.now();
  AccountTokens& tokens = view_.accounts;
  if (followed_generation_ != view_.keys.generation) {
    followed_generation_ = view_.keys.generation;
    followed_since_ = now;
  }
  if (coordinator_.leading()) {
    const LendingStart& start = coordinator_.lending_start();
    if (!tokens.leading() || lending_generation_ != start.generation) {
      lending_generation_ = start.generation;
      log_.Write(LogLevel::kInfo, "lending_started",
                 {{"generation", start.generation},
                  {"first", start.first},
                  {"takeovers", start.takeovers},
                  {"predecessor", start.predecessor}});
      tokens.BecomeCoordinator(start);
    }
    tokens.ConfirmRole(coordinator_.confirmed_at());
    tokens.SetLenders({}, followed_generation_, LoanRole::kBorrower);
    return;
  }
  if (tokens.leading()) tokens.StepDown(now);
  const std::string coordinator = peers_.Coordinator();
  std::vector<std::string> lenders;
  LoanRole role = LoanRole::kBorrower;
  const std::vector<std::string>& relays = peers_.relays();
  if (peers_.IsLarge()) {
    const bool is_relay =
        std::find(relays.begin(), relays.end(), settings_.peer_address) != relays.end();
    role = is_relay ? LoanRole::kRelay : LoanRole::kMember;
    if (!is_relay) {
      for (const std::string& it : relays) {
        const auto peer = peers_.peers().find(it);
        const bool is_near = peer != peers_.peers().end() &&
                             peer->second.report.data_centre == settings_.data_centre;
        if (is_near) lenders.push_back(it);
      }
      // The members of a data centre are distributed over its relays.
      if (!lenders.empty()) {
        const std::size_t first = HashOf(settings_.peer_address) % lenders.size();
        std::rotate(lenders.begin(), lenders.begin() + static_cast<std::ptrdiff_t>(first),
                    lenders.end());
      }
      if (lenders.empty()) role = LoanRole::kBorrower;
    }
  }
  if (!coordinator.empty()) lenders.push_back(coordinator);
  tokens.SetLenders(std::move(lenders), followed_generation_, role);
}

void Instance::ExchangeTokens() {
  view_.accounts.Tick(loop_.now());
  for (const LoanMessage& it : view_.accounts.TakeMessages()) peers_.SendLoan(it);
  if (!view_.accounts.NeedsEarlySettlement() || settle_timer_ != net::TimerId{}) return;
  settle_timer_ = loop_.RunAfter(LoanSettings{}.reduced_cap_settle_interval, [this] {
    settle_timer_ = net::TimerId{};
    ExchangeTokens();
  });
}

bool Instance::EarlierLoansEnded(std::uint64_t generation) const {
  return generation != 0 && generation == followed_generation_ &&
         loop_.now() - followed_since_ >= view_.accounts.EarlierLoansExpireIn();
}

}  // namespace dogwoodport::fleet
