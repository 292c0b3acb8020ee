#pragma once

/// @file
/// Simulates the tokens of one client account, or of one target with a limit, on the instances of a
/// fleet, in virtual time. Instances, messages,
/// the coordinator and its connection to the store can fail.

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <numeric>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "dogwoodport/fleet/limits/account_tokens.h"
#include "dogwoodport/fleet/limits/target_limits.h"

namespace dogwoodport::fleet {

inline TimePoint At(double seconds) { return TimePoint(FromSeconds(1000 + seconds)); }

/// Tolerance of the account limit under test.
inline constexpr RateTolerance kTolerance{Duration{5'000'000}, 0.1, 20};

/// Length of a simulation step.
inline constexpr Duration kStep{10'000};
inline constexpr double kStepsPerSecond = 100;
/// Number of steps between periodic ticks of an instance.
inline constexpr std::size_t kTickSteps = 10;
/// Number of steps between two measurements of what the fleet could admit.
inline constexpr std::size_t kMeasuredSteps = 5;
/// Faults of the network between instances.
struct Network {
  /// Shares of the messages that are lost, delivered twice, and delivered up to 4 s late.
  double lost = 0;
  double duplicated = 0;
  double delayed = 0;
};

class AccountFleet {
 public:
  /// A fleet of more than 17 instances has six data centres with two relays each.
  AccountFleet(std::size_t n, double rate, double burst, std::uint64_t seed)
      : AccountFleet(n, rate, burst, kTolerance, false, seed) {}

  /// A fleet with a target that has named the limit `rate`.
  static AccountFleet ForTarget(std::size_t n, double rate, std::uint64_t seed) {
    return {n, rate, 0, TargetLimits::kTolerance, true, seed};
  }

  std::size_t size() const { return nodes_.size(); }
  std::size_t coordinator() const { return record_->coordinator; }

  Network network;
  /// Number of instances that receive requests, counted from the first; 0 means all.
  std::size_t used_instances = 0;
  /// Whether `max_possible` is measured.
  bool measure_max_possible = true;

  /// Simulates `seconds` with `demand` requests per second.
  void Simulate(double seconds, double demand) {
    const int steps = static_cast<int>(seconds * kStepsPerSecond);
    for (int i = 0; i < steps; ++i) Step(demand);
  }

  /// Stops the process of an instance, or starts a new one without any state in its place.
  void Stop(std::size_t i) { nodes_[i].running = false; }
  void Start(std::size_t i) {
    Node& node = nodes_[i];
    node = Node{};
    node.running = true;
    node.incarnation = ++last_incarnation_;
    node.tokens = std::make_unique<AccountTokens>(tolerance_);
    node.tokens->SetIdentity(std::to_string(i), node.incarnation);
    if (is_target_) {
      node.tokens->ConfigureBudget("a", rate_, tolerance_);
    } else {
      node.tokens->Configure("a", rate_, burst_);
    }
  }
  /// Freezes or resumes a process. Messages that arrive while it is frozen are processed on resume.
  void SetFrozen(std::size_t i, bool frozen) {
    nodes_[i].frozen = frozen;
    if (frozen) return;
    for (Datagram& it : std::exchange(nodes_[i].inbox, {})) datagrams_.emplace(now_, it);
  }
  /// Disconnects an instance from the store and from the other instances.
  void SetDisconnected(std::size_t i, bool from_store, bool from_others) {
    nodes_[i].reaches_store = !from_store;
    nodes_[i].reaches_others = !from_others;
  }

  /// Makes an instance append a take-over record, if it reaches the store.
  void TakeOver(std::size_t i) {
    Node& node = nodes_[i];
    if (!node.running || node.frozen || !node.reaches_store || node.tokens->leading()) {
      return;
    }
    LendingStart start;
    start.first = !record_.has_value();
    start.took_over_at = now_;
    start.generation = ++last_generation_;
    Record record{i, start.generation, 0};
    if (record_) {
      start.predecessor = std::to_string(record_->coordinator);
      start.predecessor_generation = record_->generation;
      start.predecessor_settled = record_->takeovers == 0;
      const bool loans_expired = node.followed_generation == record_->generation &&
                                 now_ - node.followed_since >= node.tokens->EarlierLoansExpireIn();
      record.takeovers = loans_expired ? 1 : record_->takeovers + 1;
      start.takeovers = record.takeovers;
    }
    record_ = record;
    FollowGeneration(node, start.generation);
    node.tokens->BecomeCoordinator(start);
  }

  /// Number of requests admitted in each step.
  const std::vector<double>& admitted() const { return admitted_; }
  /// Number of requests that a single token bucket for the whole fleet would have admitted.
  double ideal_admitted() const { return ideal_admitted_; }
  /// Maximum, over all measured steps, of the requests admitted in the window that ends at the step
  /// plus those that all instances could still admit without receiving further messages.
  double max_possible() const { return max_possible_; }

  /// Number of requests that rate, burst and tolerance allow in a window.
  double bound() const {
    return rate_ * Seconds(tolerance_.window) + burst_ + tolerance_.AllowedExcess(rate_, burst_);
  }

 private:
  AccountFleet(std::size_t n, double rate, double burst, const RateTolerance& tolerance,
               bool is_target, std::uint64_t seed)
      : rate_(rate),
        burst_(burst),
        tolerance_(tolerance),
        is_target_(is_target),
        random_(seed),
        nodes_(n) {
    for (std::size_t i = 0; i < n; ++i) Start(i);
    TakeOver(0);
    for (Node& it : nodes_) it.followed_generation = record_->generation;
  }

  struct Datagram {
    std::size_t to = 0;
    LoanMessage message;
  };

  struct Node {
    std::unique_ptr<AccountTokens> tokens;
    std::uint64_t incarnation = 0;
    bool running = false;
    bool frozen = false;
    bool reaches_store = true;
    bool reaches_others = true;
    /// Newest generation known to the instance, and the time at which it became known.
    std::uint64_t followed_generation = 0;
    TimePoint followed_since{};
    /// Inputs of the last choice of lenders: the followed generation, and whether the node is the
    /// coordinator.
    std::optional<std::pair<std::uint64_t, bool>> lenders_chosen_for;
    TimePoint confirm_at{};
    std::deque<TimePoint> waiting;
    /// Messages that arrived while the process was frozen.
    std::vector<Datagram> inbox;
  };
  struct Record {
    std::size_t coordinator = 0;
    std::uint64_t generation = 0;
    int takeovers = 0;
  };
  bool IsLarge() const { return nodes_.size() > 17; }
  static std::size_t DataCentre(std::size_t i) { return i % 6; }
  static bool IsRelay(std::size_t i) { return i >= 6 && i < 18; }

  bool Chance(double p) { return std::uniform_real_distribution<double>()(random_) < p; }

  void FollowGeneration(Node& node, std::uint64_t generation) {
    if (generation <= node.followed_generation) return;
    node.followed_generation = generation;
    node.followed_since = now_;
  }

  /// Updates the coordinator known to an instance, and its lenders. A new coordinator becomes known
  /// to all instances within about half a second, as by reports and digests in a real fleet.
  void UpdateCoordinatorView(std::size_t i) {
    Node& node = nodes_[i];
    const Node& newest = nodes_[record_->coordinator];
    const bool is_announced = newest.running && !newest.frozen && newest.reaches_others;
    const bool is_behind = node.followed_generation != record_->generation;
    if (is_behind && is_announced && node.reaches_others && Chance(0.4))
      FollowGeneration(node, record_->generation);
    const std::pair state(node.followed_generation == record_->generation ? record_->generation : 0,
                          node.tokens->leading());
    if (std::exchange(node.lenders_chosen_for, state) == std::optional(state)) return;
    if (node.tokens->leading()) {
      node.tokens->SetLenders({}, node.followed_generation, LoanRole::kBorrower);
      return;
    }
    const std::string coordinator =
        node.followed_generation == record_->generation ? std::to_string(record_->coordinator) : "";
    std::vector<std::string> lenders;
    LoanRole role = LoanRole::kBorrower;
    if (IsLarge() && IsRelay(i)) role = LoanRole::kRelay;
    if (IsLarge() && !IsRelay(i)) {
      role = LoanRole::kMember;
      for (std::size_t relay = 6; relay < 18; ++relay) {
        if (DataCentre(relay) == DataCentre(i)) lenders.push_back(std::to_string(relay));
      }
      if ((i / 6) % 2 == 0) std::swap(lenders[0], lenders[1]);
    }
    if (!coordinator.empty()) lenders.push_back(coordinator);
    node.tokens->SetLenders(std::move(lenders), node.followed_generation, role);
  }

  void PollStore(std::size_t i) {
    Node& node = nodes_[i];
    if (!node.tokens->leading() || !node.reaches_store || now_ < node.confirm_at) return;
    node.confirm_at = now_ + Duration{300'000};
    if (record_->coordinator == i && record_->generation == node.followed_generation) {
      node.tokens->ConfirmRole(now_);
      if (now_ - node.followed_since >= node.tokens->EarlierLoansExpireIn()) record_->takeovers = 0;
    } else {
      node.tokens->StepDown(now_);
    }
  }

  void Send(std::size_t from) {
    for (LoanMessage& it : nodes_[from].tokens->TakeMessages()) {
      const std::size_t to = std::stoul(it.to);
      if (!nodes_[from].reaches_others || Chance(network.lost)) continue;
      for (int copies = Chance(network.duplicated) ? 2 : 1; copies > 0; --copies) {
        const double max_delay = Chance(network.delayed) ? 4.0 : 0.004;
        const double delay = std::uniform_real_distribution<double>(0.001, max_delay)(random_);
        datagrams_.emplace(now_ + FromSeconds(delay), Datagram{to, it});
      }
    }
  }

  void Deliver() {
    while (!datagrams_.empty() && datagrams_.begin()->first <= now_) {
      const auto first = datagrams_.begin();
      const TimePoint at = first->first;
      const Datagram datagram = std::move(first->second);
      datagrams_.erase(first);
      Node& node = nodes_[datagram.to];
      if (!node.running || !node.reaches_others) continue;
      if (node.frozen) {
        node.inbox.push_back(datagram);
        continue;
      }
      if (const auto* const request = std::get_if<LoanRequest>(&datagram.message.body)) {
        node.tokens->OnRequest(*request, at);
      } else {
        node.tokens->OnGrant(std::get<LoanGrant>(datagram.message.body), at);
      }
      Retry(node, at);
      const TimePoint end = std::exchange(now_, at);
      node.tokens->Tick(now_);
      Send(datagram.to);
      now_ = end;
    }
  }

  void Retry(Node& node, TimePoint now) {
    while (!node.waiting.empty()) {
      const bool timed_out = now - node.waiting.front() > Duration{150'000};
      const auto verdict = timed_out ? AccountTokens::Verdict::kNoLender
                                     : node.tokens->Admit("a", true, now).verdict;
      if (verdict == AccountTokens::Verdict::kWait) break;
      node.waiting.pop_front();
      if (verdict == AccountTokens::Verdict::kAdmitted) ++step_admitted_;
    }
    node.tokens->SetWaiting("a", node.waiting.size());
  }

  void Step(double demand) {
    now_ += kStep;
    step_admitted_ = 0;
    Arrive(demand);
    const std::size_t step = admitted_.size();
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      Node& node = nodes_[i];
      if (!node.running || node.frozen) continue;
      const bool is_due = (step + i) % kTickSteps == 0;
      if (is_due) {
        UpdateCoordinatorView(i);
        PollStore(i);
      }
      if (!is_due && node.waiting.empty()) continue;
      node.tokens->Tick(now_);
      Send(i);
    }
    Deliver();
    for (Node& it : nodes_) {
      if (it.running && !it.frozen && !it.waiting.empty()) Retry(it, now_);
    }
    admitted_.push_back(step_admitted_);
    Measure();
  }

  void Arrive(double demand) {
    ideal_bucket_.Configure(rate_, burst_);
    if (admitted_.empty()) ideal_bucket_.Add(burst_);
    std::poisson_distribution<int> arrivals(demand / kStepsPerSecond);
    for (int n = arrivals(random_); n > 0; --n) {
      if (ideal_bucket_.Take(now_)) ++ideal_admitted_;
      Node& node = nodes_[random_() % (used_instances == 0 ? nodes_.size() : used_instances)];
      if (!node.running || node.frozen) continue;
      const auto verdict = node.tokens->Admit("a", false, now_).verdict;
      if (verdict == AccountTokens::Verdict::kAdmitted) ++step_admitted_;
      if (verdict != AccountTokens::Verdict::kWait) continue;
      node.waiting.push_back(now_);
      node.tokens->SetWaiting("a", node.waiting.size());
    }
  }

  void Measure() {
    window_admitted_ += step_admitted_;
    const auto window_steps = static_cast<std::size_t>(tolerance_.window / kStep);
    if (admitted_.size() > window_steps) {
      window_admitted_ -= admitted_[admitted_.size() - 1 - window_steps];
    }
    if (!measure_max_possible || admitted_.size() % kMeasuredSteps != 0) return;
    double possible = window_admitted_;
    for (Node& it : nodes_) {
      // A frozen process counts, because it may resume at any time.
      if (it.running) possible += it.tokens->FreeTokens("a", now_);
    }
    max_possible_ = std::max(max_possible_, possible);
  }

  double rate_;
  double burst_;
  RateTolerance tolerance_;
  bool is_target_;
  std::mt19937_64 random_;
  std::vector<Node> nodes_;
  std::optional<Record> record_;
  std::uint64_t last_generation_ = 0;
  std::uint64_t last_incarnation_ = 0;
  std::multimap<TimePoint, Datagram> datagrams_;
  TimePoint now_ = At(0);
  TokenBucket ideal_bucket_;
  double ideal_admitted_ = 0;
  double step_admitted_ = 0;
  double window_admitted_ = 0;
  double max_possible_ = 0;
  std::vector<double> admitted_;
};

}  // namespace dogwoodport::fleet
