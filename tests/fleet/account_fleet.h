#pragma once

/// @file
/// Plays client accounts on a fleet whose instances, coordinator and messages fail, in virtual
/// time.

#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>
#include <numeric>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "dogwoodport/fleet/limits/account_exchange.h"
#include "fleet/account_load.h"

namespace dogwoodport::fleet {

/// Instances that report to a coordinator, whose digests reach all.
class AccountFleet {
 public:
  AccountFleet(std::size_t n, double rate, double burst, std::uint64_t seed)
      : rate_(rate), burst_(burst), random_(seed), members_(n) {
    for (std::size_t i = 0; i < n; ++i) Start(i);
  }

  /// Plays `seconds` in steps of 10 ms while `asked` requests a second arrive; returns nothing, see
  /// `admitted`.
  void Play(double seconds, double asked) {
    const int steps = static_cast<int>(seconds * 100);
    for (int i = 0; i < steps; ++i) Step(asked);
  }

  /// The coordinator falls silent, without being replaced yet.
  void LoseCoordinator() { coordinator_ = members_.size(); }
  void SetCoordinator(std::size_t i) { coordinator_ = i; }
  void Start(std::size_t i) {
    members_[i] = std::make_unique<Member>();
    members_[i]->incarnation = ++incarnation_;
    members_[i]->limiter.Configure("a", rate_, burst_);
    members_[i]->exchange.SetAccounts({"a"});
  }
  void StartAll() {
    for (std::size_t i = 0; i < members_.size(); ++i) Start(i);
  }

  /// Requests admitted in each step.
  const std::vector<double>& admitted() const { return admitted_; }

 private:
  struct Member {
    std::uint64_t incarnation = 0;
    TimePoint digest_at{};
    AccountLimiter limiter{kTolerance};
    AccountExchange exchange{limiter};
  };

  void Step(double asked) {
    const TimePoint now = At(static_cast<double>(admitted_.size()) * 0.01);
    const int step = static_cast<int>(admitted_.size());
    for (std::size_t i = 0; i < members_.size(); ++i) Exchange(i, step, now);
    std::poisson_distribution<int> arrivals(asked * 0.01);
    double n = 0;
    for (int i = arrivals(random_); i > 0; --i) {
      Member& member = *members_[random_() % members_.size()];
      if (member.limiter.Admit("a", now).admitted) ++n;
    }
    admitted_.push_back(n);
  }

  /// Reports every 0.74 s, digests every 0.5 s, shares every 0.25 s, as in a fleet of 295.
  void Exchange(std::size_t i, int step, TimePoint now) {
    Member& member = *members_[i];
    const int turn = step + static_cast<int>(i) * 7;
    const bool leads = i == coordinator_;
    const bool led = coordinator_ < members_.size();
    if (turn % 74 == 0 && led && !leads) {
      members_[coordinator_]->exchange.OnReport({std::to_string(i), member.incarnation},
                                                member.exchange.MakeReport(now), now);
    }
    if (leads && step % 50 == 0) {
      const auto digest = member.exchange.MakeDigest(now);
      for (std::size_t other = 0; other < members_.size(); ++other) {
        if (other == i) continue;
        members_[other]->exchange.OnDigest({std::to_string(i), member.incarnation}, digest, now);
        members_[other]->digest_at = now;
      }
    }
    if (turn % 25 != 0) return;
    const bool heard = leads || now - member.digest_at <= Duration{2'200'000};
    const std::size_t others = members_.size() - 1;
    member.limiter.SetInstances(heard ? others : 0, heard ? 0 : others);
    member.exchange.UpdateDemand(now, !leads);
  }

  double rate_;
  double burst_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<Member>> members_;
  std::size_t coordinator_ = 0;
  std::uint64_t incarnation_ = 0;
  std::vector<double> admitted_;
};

}  // namespace dogwoodport::fleet
