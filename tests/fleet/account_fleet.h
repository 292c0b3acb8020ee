#pragma once

/// @file
/// Plays a client account on the instances of a fleet, in virtual time, while instances, their
/// messages, the coordinator and its way to the store fail.

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

namespace dogwoodport::fleet {

inline TimePoint At(double seconds) { return TimePoint(FromSeconds(1000 + seconds)); }

/// Tolerance of the operators' rule.
inline constexpr AccountTolerance kTolerance{Duration{5'000'000}, 0.1, 20};

/// Length of a step.
inline constexpr Duration kStep{10'000};
inline constexpr double kStepsPerSecond = 100;
/// Steps between the periodic work of an instance.
inline constexpr std::size_t kTickSteps = 10;
/// Steps between two looks at what the fleet could admit.
inline constexpr std::size_t kMeasuredSteps = 5;
/// Steps of the operators' window.
inline constexpr std::size_t kWindowSteps = 500;

/// How messages fail.
struct Network {
  /// Parts of the messages that are lost, delivered twice, and delivered seconds later.
  double lost = 0;
  double doubled = 0;
  double late = 0;
};

class AccountFleet {
 public:
  /// Fleets of more than 17 have six data centres with two relays each.
  AccountFleet(std::size_t n, double rate, double burst, std::uint64_t seed)
      : rate_(rate), burst_(burst), random_(seed), members_(n) {
    for (std::size_t i = 0; i < n; ++i) Start(i);
    TakeOver(0);
    for (Member& it : members_) it.follows = record_->generation;
  }

  Network network;
  /// Instances that callers use, the first ones; 0 stands for all.
  std::size_t used = 0;
  /// Whether `most_possible` is wanted.
  bool measures = true;

  /// Plays `seconds` while `asked` requests a second arrive.
  void Play(double seconds, double asked) {
    const int steps = static_cast<int>(seconds * kStepsPerSecond);
    for (int i = 0; i < steps; ++i) Step(asked);
  }

  std::size_t size() const { return members_.size(); }
  std::size_t coordinator() const { return record_->coordinator; }

  /// The process of an instance ends, and starts again, with nothing in memory.
  void Stop(std::size_t i) { members_[i].running = false; }
  void Start(std::size_t i) {
    Member& member = members_[i];
    member = Member{};
    member.running = true;
    member.incarnation = ++last_incarnation_;
    member.tokens = std::make_unique<AccountTokens>(kTolerance);
    member.tokens->SetIdentity(std::to_string(i), member.incarnation);
    member.tokens->Configure("a", rate_, burst_);
  }
  /// The process stands still; what arrives meanwhile is read when it goes on.
  void SetFrozen(std::size_t i, bool frozen) {
    members_[i].frozen = frozen;
    if (frozen) return;
    for (Datagram& it : std::exchange(members_[i].inbox, {})) datagrams_.emplace(now_, it);
  }
  /// The instance is cut off from the store, and from the other instances.
  void SetCut(std::size_t i, bool from_store, bool from_others) {
    members_[i].reaches_store = !from_store;
    members_[i].reaches_others = !from_others;
  }

  /// An instance appends the record of a take-over, if it reaches the store.
  void TakeOver(std::size_t i) {
    Member& member = members_[i];
    if (!member.running || member.frozen || !member.reaches_store || member.tokens->leading()) {
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
      const bool is_old = member.follows == record_->generation &&
                          now_ - member.follows_since >= member.tokens->LoansEndAfter();
      record.takeovers = is_old ? 1 : record_->takeovers + 1;
      start.takeovers = record.takeovers;
    }
    record_ = record;
    Follow(member, start.generation);
    member.tokens->Lead(start);
  }

  /// Requests admitted in each step, and those that arrived.
  const std::vector<double>& admitted() const { return admitted_; }
  /// Requests that one bucket for the whole fleet would admit.
  double wanted() const { return wanted_; }
  /// Largest sum of what was admitted in a window that ends at a step and what all instances
  /// together could still admit at that step without hearing anything.
  double most_possible() const { return most_possible_; }

  /// Requests that rate and burst and the operators' tolerance allow in a window.
  double bound() const {
    return rate_ * Seconds(kTolerance.window) + burst_ + kTolerance.Allows(rate_, burst_);
  }

 private:
  struct Datagram {
    std::size_t to = 0;
    LoanMessage message;
  };

  struct Member {
    std::unique_ptr<AccountTokens> tokens;
    std::uint64_t incarnation = 0;
    bool running = false;
    bool frozen = false;
    bool reaches_store = true;
    bool reaches_others = true;
    /// Newest generation that it knows of, and since when.
    std::uint64_t follows = 0;
    TimePoint follows_since{};
    /// What its lenders were chosen for: the generation that it follows, and whether it leads.
    std::optional<std::pair<std::uint64_t, bool>> lenders_of;
    TimePoint confirm_at{};
    std::deque<TimePoint> waiting;
    /// What has arrived while it was frozen.
    std::vector<Datagram> inbox;
  };
  struct Record {
    std::size_t coordinator = 0;
    std::uint64_t generation = 0;
    int takeovers = 0;
  };
  bool IsLarge() const { return members_.size() > 17; }
  static std::size_t DataCentre(std::size_t i) { return i % 6; }
  static bool IsRelay(std::size_t i) { return i >= 6 && i < 18; }

  bool Chance(double p) { return std::uniform_real_distribution<double>()(random_) < p; }

  void Follow(Member& member, std::uint64_t generation) {
    if (generation <= member.follows) return;
    member.follows = generation;
    member.follows_since = now_;
  }

  /// Instances hear who leads in the reports and digests, which take about half a second to reach
  /// all.
  void Hear(std::size_t i) {
    Member& member = members_[i];
    const Member& newest = members_[record_->coordinator];
    const bool heard = newest.running && !newest.frozen && newest.reaches_others;
    const bool is_behind = member.follows != record_->generation;
    if (is_behind && heard && member.reaches_others && Chance(0.4))
      Follow(member, record_->generation);
    const std::pair state(member.follows == record_->generation ? record_->generation : 0,
                          member.tokens->leading());
    if (std::exchange(member.lenders_of, state) == std::optional(state)) return;
    if (member.tokens->leading()) {
      member.tokens->SetLenders({}, member.follows, LoanRole::kBorrower);
      return;
    }
    const std::string coordinator =
        member.follows == record_->generation ? std::to_string(record_->coordinator) : "";
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
    member.tokens->SetLenders(std::move(lenders), member.follows, role);
  }

  void ConfirmRole(std::size_t i) {
    Member& member = members_[i];
    if (!member.tokens->leading() || !member.reaches_store || now_ < member.confirm_at) return;
    member.confirm_at = now_ + Duration{300'000};
    if (record_->coordinator == i && record_->generation == member.follows) {
      member.tokens->Confirm(now_);
      if (now_ - member.follows_since >= member.tokens->LoansEndAfter()) record_->takeovers = 0;
    } else {
      member.tokens->Follow(now_);
    }
  }

  void Send(std::size_t from) {
    for (LoanMessage& it : members_[from].tokens->TakeMessages()) {
      const std::size_t to = std::stoul(it.to);
      if (!members_[from].reaches_others || Chance(network.lost)) continue;
      for (int copies = Chance(network.doubled) ? 2 : 1; copies > 0; --copies) {
        const double latest = Chance(network.late) ? 4.0 : 0.004;
        const double delay = std::uniform_real_distribution<double>(0.001, latest)(random_);
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
      Member& member = members_[datagram.to];
      if (!member.running || !member.reaches_others) continue;
      if (member.frozen) {
        member.inbox.push_back(datagram);
        continue;
      }
      if (const auto* const request = std::get_if<LoanRequest>(&datagram.message.body)) {
        member.tokens->OnRequest(*request, at);
      } else {
        member.tokens->OnGrant(std::get<LoanGrant>(datagram.message.body), at);
      }
      Retry(member, at);
      const TimePoint end = std::exchange(now_, at);
      member.tokens->Tick(now_);
      Send(datagram.to);
      now_ = end;
    }
  }

  void Retry(Member& member, TimePoint now) {
    while (!member.waiting.empty()) {
      const bool late = now - member.waiting.front() > Duration{150'000};
      const auto verdict =
          late ? AccountTokens::Verdict::kUnknown : member.tokens->Admit("a", true, now).verdict;
      if (verdict == AccountTokens::Verdict::kWait) break;
      member.waiting.pop_front();
      if (verdict == AccountTokens::Verdict::kAdmitted) ++step_admitted_;
    }
    member.tokens->SetWaiting("a", member.waiting.size());
  }

  void Step(double asked) {
    now_ += kStep;
    step_admitted_ = 0;
    Arrive(asked);
    const std::size_t step = admitted_.size();
    for (std::size_t i = 0; i < members_.size(); ++i) {
      Member& member = members_[i];
      if (!member.running || member.frozen) continue;
      const bool is_due = (step + i) % kTickSteps == 0;
      if (is_due) {
        Hear(i);
        ConfirmRole(i);
      }
      if (!is_due && member.waiting.empty()) continue;
      member.tokens->Tick(now_);
      Send(i);
    }
    Deliver();
    for (Member& it : members_) {
      if (it.running && !it.frozen && !it.waiting.empty()) Retry(it, now_);
    }
    admitted_.push_back(step_admitted_);
    Measure();
  }

  void Arrive(double asked) {
    ideal_.Configure(rate_, burst_);
    if (admitted_.empty()) ideal_.Add(burst_);
    std::poisson_distribution<int> arrivals(asked / kStepsPerSecond);
    for (int n = arrivals(random_); n > 0; --n) {
      if (ideal_.Take(now_)) ++wanted_;
      Member& member = members_[random_() % (used == 0 ? members_.size() : used)];
      if (!member.running || member.frozen) continue;
      const auto verdict = member.tokens->Admit("a", false, now_).verdict;
      if (verdict == AccountTokens::Verdict::kAdmitted) ++step_admitted_;
      if (verdict != AccountTokens::Verdict::kWait) continue;
      member.waiting.push_back(now_);
      member.tokens->SetWaiting("a", member.waiting.size());
    }
  }

  void Measure() {
    window_admitted_ += step_admitted_;
    if (admitted_.size() > kWindowSteps) {
      window_admitted_ -= admitted_[admitted_.size() - 1 - kWindowSteps];
    }
    if (!measures || admitted_.size() % kMeasuredSteps != 0) return;
    double possible = window_admitted_;
    for (Member& it : members_) {
      // A frozen process may go on at any moment.
      if (it.running) possible += it.tokens->Free("a", now_);
    }
    most_possible_ = std::max(most_possible_, possible);
  }

  double rate_;
  double burst_;
  std::mt19937_64 random_;
  std::vector<Member> members_;
  std::optional<Record> record_;
  std::uint64_t last_generation_ = 0;
  std::uint64_t last_incarnation_ = 0;
  std::multimap<TimePoint, Datagram> datagrams_;
  TimePoint now_ = At(0);
  TokenBucket ideal_;
  double wanted_ = 0;
  double step_admitted_ = 0;
  double window_admitted_ = 0;
  double most_possible_ = 0;
  std::vector<double> admitted_;
};

}  // namespace dogwoodport::fleet
