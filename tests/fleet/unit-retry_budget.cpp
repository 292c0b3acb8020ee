#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <vector>

#include "dogwoodport/fleet/limits/retry_budget.h"

namespace dogwoodport::fleet {
namespace {

constexpr Duration kStep{10'000};

/// Faults of the instances during the load.
enum class Fault { kNone, kRestarts, kAllRestart, kPartitioned };

struct Load {
  const char* name;
  Fault fault;
  std::size_t instances;
  /// Requests per second over all instances. During bursts the rate is ten times as high.
  double rate;
  bool bursts;
};

std::size_t CountIn(const std::vector<TimePoint>& times, TimePoint from, TimePoint to) {
  return static_cast<std::size_t>(std::lower_bound(times.begin(), times.end(), to) -
                                  std::lower_bound(times.begin(), times.end(), from));
}

/// Instances on which each request attempts four retries.
class RetryFleet {
 public:
  RetryFleet(const Load& load, unsigned seed) : load_(load), random_(seed) {
    for (std::size_t i = 0; i < load.instances; ++i) Start(i);
  }

  void Run(Duration span) {
    const TimePoint end = now_ + span;
    for (; now_ < end; now_ += kStep) {
      InjectFaults();
      const bool burst = load_.bursts && now_.time_since_epoch().count() / 3'000'000 % 2 == 1;
      std::poisson_distribution<int> arrivals(load_.rate * (burst ? 10 : 1) * Seconds(kStep));
      const int n = arrivals(random_);
      for (int i = 0; i < n; ++i) Serve(budgets_[Pick(budgets_.size())]);
    }
  }

  /// Maximum number of retries in any window, relative to the number that the limit allows.
  double MaxBudgetUse() const {
    const Duration window = bound_.window;
    double max_use = 0;
    for (const TimePoint begin : retries_) {
      const auto requests = std::max({CountIn(requests_, begin, begin + window),
                                      CountIn(requests_, begin - window, begin),
                                      CountIn(requests_, begin - window / 2, begin + window / 2)});
      const auto retries = static_cast<double>(CountIn(retries_, begin, begin + window));
      max_use = std::max(max_use,
                         retries / (bound_.ratio * static_cast<double>(requests) + bound_.extra));
    }
    return max_use;
  }
  std::size_t retries() const { return retries_.size(); }

 private:
  struct Budget {
    RetryBudget budget;
    TimePoint peers_known_at{};
  };

  std::size_t Pick(std::size_t n) {
    return std::uniform_int_distribution<std::size_t>(0, n - 1)(random_);
  }
  void Start(std::size_t i) {
    budgets_.resize(std::max(budgets_.size(), i + 1), {RetryBudget(bound_), {}});
    budgets_[i] = {RetryBudget(bound_), now_ + Duration{500'000}};
  }
  void InjectFaults() {
    for (Budget& it : budgets_) {
      const bool peers_known = now_ >= it.peers_known_at;
      const std::size_t parts = load_.fault == Fault::kPartitioned ? 2 : 1;
      it.budget.SetInstances(peers_known ? load_.instances / parts : 1);
    }
    if (load_.fault == Fault::kRestarts && Pick(100) == 0) Start(Pick(budgets_.size()));
    if (load_.fault == Fault::kAllRestart && Pick(400) == 0) {
      for (std::size_t i = 0; i < budgets_.size(); ++i) Start(i);
    }
  }
  void Serve(Budget& budget) {
    requests_.push_back(now_);
    budget.budget.OnRequest("s", now_);
    for (int i = 0; i < 4; ++i) {
      if (budget.budget.Take("s", now_)) retries_.push_back(now_);
    }
  }

  Load load_;
  RetryBound bound_;
  std::mt19937 random_;
  TimePoint now_{Duration{60'000'000}};
  std::vector<Budget> budgets_;
  std::vector<TimePoint> requests_;
  std::vector<TimePoint> retries_;
};

TEST_CASE("retries of all instances stay within the limit", "[retry_budget]") {
  const auto load = GENERATE(values<Load>({
      {"steady", Fault::kNone, 10, 100, false},
      {"bursts", Fault::kNone, 10, 30, true},
      {"many instances", Fault::kNone, 79, 300, true},
      {"instances restart", Fault::kRestarts, 10, 100, true},
      {"all instances restart", Fault::kAllRestart, 10, 100, true},
      {"network partition into two halves", Fault::kPartitioned, 10, 100, true},
  }));
  const auto seed = GENERATE(range(1U, 6U));
  INFO(load.name << ", seed " << seed);
  RetryFleet fleet(load, seed);
  fleet.Run(std::chrono::seconds(60));
  CHECK(fleet.retries() > 100);
  CHECK(fleet.MaxBudgetUse() <= 1.0);
}

}  // namespace
}  // namespace dogwoodport::fleet
