#include <catch2/catch.hpp>
#include <numeric>
#include <random>

#include "dogwoodport/fleet/limits/account_limiter.h"
#include "dogwoodport/fleet/limits/cold_limiter.h"
#include "dogwoodport/fleet/limits/retry_budget.h"

namespace dogwoodport::fleet {
namespace {

TimePoint At(double seconds) { return TimePoint(FromSeconds(1000 + seconds)); }

/// Instances that report their demand to each other every 250 ms.
struct Fleet {
  explicit Fleet(std::size_t n, double rate, double burst) : limiters(n) {
    for (AccountLimiter& it : limiters) {
      it.Configure("a", rate, burst);
      it.SetInstances(n - 1, 0);
    }
  }

  void Report(TimePoint now) {
    std::vector<double> demand;
    for (AccountLimiter& it : limiters) {
      const auto all = it.Demand(now);
      demand.push_back(all.empty() ? 0 : all[0].second);
    }
    const double total = std::accumulate(demand.begin(), demand.end(), 0.0);
    for (std::size_t i = 0; i < limiters.size(); ++i) {
      limiters[i].SetOthersDemand("a", total - demand[i]);
    }
  }

  std::vector<AccountLimiter> limiters;
};

struct Load {
  const char* what;
  std::size_t instances;
  double rate;
  double asked;
  /// Instances that the account's callers use.
  std::size_t used;
};

// Bounds: the operators' rule allows (rate * 5 s + burst) * 1.1 + 20 in any five seconds, and wants
// requests below the rate admitted.
TEST_CASE("a client account gets its rate over all instances and no more", "[limits]") {
  const auto load = GENERATE(values<Load>({
      {"below the rate, everywhere", 11, 100, 60, 11},
      {"below the rate, few requests an instance", 79, 30, 18, 79},
      {"below the rate, one instance", 11, 100, 60, 1},
      {"eight times the rate, everywhere", 11, 100, 800, 11},
      {"eight times the rate, one instance", 11, 100, 800, 1},
      {"eight times the rate, many instances", 79, 30, 240, 79},
      {"just above the rate", 11, 100, 120, 6},
  }));
  INFO(load.what);
  Fleet fleet(load.instances, load.rate, load.rate);
  std::mt19937_64 random(7);
  std::uniform_int_distribution<std::size_t> instance(0, load.used - 1);
  constexpr double kStep = 0.01;
  std::vector<double> admitted;
  double asked = 0;
  for (int step = 0; step < 2000; ++step) {
    const TimePoint now = At(step * kStep);
    if (step % 25 == 0) fleet.Report(now);
    std::poisson_distribution<int> arrivals(load.asked * kStep);
    double n = 0;
    for (int i = arrivals(random); i > 0; --i) {
      ++asked;
      if (fleet.limiters[instance(random)].Admit("a", now).admitted) ++n;
    }
    admitted.push_back(n);
  }
  const double bound = (load.rate * 5 + load.rate) * 1.1 + 20;
  for (std::size_t at = 0; at + 500 <= admitted.size(); ++at) {
    REQUIRE(std::accumulate(admitted.begin() + static_cast<std::ptrdiff_t>(at),
                            admitted.begin() + static_cast<std::ptrdiff_t>(at + 500),
                            0.0) <= bound);
  }
  const double total = std::accumulate(admitted.begin(), admitted.end(), 0.0);
  if (load.asked < load.rate) CHECK(total >= 0.99 * asked);
  if (load.asked > load.rate) CHECK(total >= 0.9 * load.rate * 20);
}

TEST_CASE("an instance that hears nobody keeps to its even part", "[limits]") {
  AccountLimiter limiter;
  limiter.Configure("a", 110, 110);
  limiter.SetInstances(0, 10);
  int admitted = 0;
  for (int step = 0; step < 10'000; ++step) {
    if (limiter.Admit("a", At(step * 0.001)).admitted) ++admitted;
  }
  CHECK(admitted <= 10 * 10 + 10 + 1);
}

TEST_CASE("a refusal names the time of the next token", "[limits]") {
  AccountLimiter limiter;
  limiter.Configure("a", 2, 1);
  AccountLimiter::Decision decision;
  for (int i = 0; i < 5; ++i) decision = limiter.Admit("a", At(0));
  CHECK_FALSE(decision.admitted);
  CHECK(decision.retry_after >= std::chrono::milliseconds(100));
  CHECK(decision.retry_after <= std::chrono::seconds(2));
  CHECK(limiter.Admit("unknown", At(0)).admitted);
}

TEST_CASE("repetitions stay within the operators' bound over all instances", "[limits]") {
  const auto instances = GENERATE(values<std::size_t>({1, 11, 79}));
  const RetryBound bound{0.2, 60, std::chrono::seconds(10)};
  std::vector<RetryBudget> budgets(instances, RetryBudget(bound));
  for (RetryBudget& it : budgets) it.SetInstances(instances);
  std::mt19937_64 random(3);
  std::vector<double> sends;
  for (int step = 0; step < 6000; ++step) {
    double n = 0;
    // 100 requests a second, each of which would be repeated as often as allowed.
    RetryBudget& budget = budgets[random() % instances];
    budget.OnRequest("s", At(step * 0.01));
    for (RetryBudget& it : budgets) {
      while (it.Take("s", At(step * 0.01))) ++n;
    }
    sends.push_back(n);
  }
  for (std::size_t at = 0; at + 1000 <= sends.size(); ++at) {
    const double n = std::accumulate(sends.begin() + static_cast<std::ptrdiff_t>(at),
                                     sends.begin() + static_cast<std::ptrdiff_t>(at + 1000), 0.0);
    REQUIRE(n <= 0.2 * 1000 + 60);
  }
  CHECK(std::accumulate(sends.begin(), sends.end(), 0.0) >= 0.1 * 6000);
}

TEST_CASE("a cold target gets its rate from a bounded number of senders", "[limits]") {
  const auto n = GENERATE(values<std::size_t>({1, 5, 79}));
  std::vector<std::string> all;
  for (std::size_t i = 0; i < n; ++i) all.push_back("10.0.0." + std::to_string(i) + ":7");
  double sum = 0;
  std::size_t senders = 0;
  for (const std::string& self : all) {
    std::vector<std::string> others;
    for (const std::string& it : all) {
      if (it != self) others.push_back(it);
    }
    const double share = ColdShare("t", self, others, 8);
    sum += share;
    senders += share > 0 ? 1 : 0;
  }
  CHECK(sum == Approx(1.0));
  CHECK(senders == std::min<std::size_t>(n, 8));
}

TEST_CASE("a cold limiter starts empty and keeps one token", "[limits]") {
  ColdLimiter limiter;
  CHECK_FALSE(limiter.Available("t", At(0)));
  limiter.Configure("t", 2, At(0));
  CHECK_FALSE(limiter.Available("t", At(0.1)));
  CHECK(limiter.Available("t", At(5)));
  limiter.Take("t", At(5));
  CHECK_FALSE(limiter.Available("t", At(5.1)));
}

}  // namespace
}  // namespace dogwoodport::fleet
