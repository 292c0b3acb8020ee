#pragma once

/// @file
/// A fleet of `Limits` in virtual time with a simplified control plane, for tests, replays and
/// measurements of the rate limits.

#include <algorithm>
#include <cmath>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "dogwoodport/core/limits.h"
#include "dogwoodport/standin/message_bus.h"

namespace dogwoodport::standin {

/// One token bucket for a whole account: the reference that the instances together must not exceed.
/// A level below 0 means that some interval had more than burst + rate * t admissions.
class ReferenceBucket {
 public:
  /// Sets the limits in force from `now` on.
  void Set(TimePoint now, double rate, double burst) {
    Refill(now);
    if (!set_) level_ = burst;
    level_ = std::min(level_, burst);
    rate_ = rate;
    burst_ = burst;
    set_ = true;
  }

  /// Counts an admission and returns the level after it.
  double Admit(TimePoint now) {
    Refill(now);
    level_ -= 1;
    lowest_ = std::min(lowest_, level_);
    return level_;
  }

  /// Admits a request if the level allows it.
  bool TryAdmit(TimePoint now) {
    Refill(now);
    if (level_ < 1) return false;
    level_ -= 1;
    return true;
  }

  /// Most admissions over burst + rate * t in any interval; 0 if there were none.
  double excess() const noexcept { return std::max(0.0, -lowest_); }

 private:
  void Refill(TimePoint now) {
    level_ = std::min(burst_, level_ + rate_ * static_cast<double>((now - at_).count()) * 1e-6);
    at_ = now;
  }

  double rate_ = 0;
  double burst_ = 0;
  double level_ = 0;
  double lowest_ = 0;
  bool set_ = false;
  TimePoint at_;
};

/// Size and behaviour of a `LimitFleet`.
struct LimitFleetSettings {
  /// Instances of each data centre.
  std::vector<std::uint32_t> instances;
  std::vector<AccountConfig> accounts;
  LimitPolicy policy = TokenLoans{};
  LinkSettings links;
  std::uint64_t seed = 1;
  Duration step{1'000};
  /// Longest time until an instance learns of a record of the log.
  Duration max_log_lag{250'000};
};

/// Requests of one account.
struct AccountCounts {
  std::uint64_t sent = 0;
  std::uint64_t admitted = 0;
  std::uint64_t refused = 0;
  /// Admitted by a single bucket for the whole fleet.
  std::uint64_t reference_admitted = 0;
  /// Refused although the single bucket admitted the request.
  std::uint64_t wrongful = 0;
};

/// Simulates the instances, their permits and delegations.
class LimitFleet {
 public:
  explicit LimitFleet(LimitFleetSettings settings)
      : settings_(std::move(settings)),
        bus_(settings_.links, settings_.seed ^ 0x5bd1e995),
        random_(settings_.seed) {
    const double share = 1.0 / static_cast<double>(settings_.instances.size());
    for (std::size_t dc = 0; dc < settings_.instances.size(); ++dc) {
      const std::string name = "dc-" + std::to_string(dc);
      config_.data_centres.push_back({DataCentreId::FromName(name), name, share});
      members_.emplace_back();
      for (std::uint32_t i = 0; i < settings_.instances[dc]; ++i) AddInstance(dc);
    }
    config_.accounts = settings_.accounts;
    config_.version = 1;
    for (const AccountConfig& account : config_.accounts) {
      reference_[account.id].Set(now_, account.rate, account.burst);
      checker_[account.id].Set(now_, account.rate, account.burst);
    }
    for (auto& node : nodes_) node->limits->OnConfig(now_, config_);
    for (std::size_t dc = 0; dc < members_.size(); ++dc) Delegate(dc, Duration{0});
  }

  TimePoint now() const noexcept { return now_; }
  MessageBus& bus() noexcept { return bus_; }
  const Config& config() const noexcept { return config_; }
  std::mt19937_64& random() noexcept { return random_; }

  /// Instances that ever existed; the index is used by the other calls.
  std::size_t size() const noexcept { return nodes_.size(); }
  bool alive(std::size_t i) const { return nodes_[i]->alive; }
  /// Whether the load balancer sends requests to instance `i`: it runs and has had a permit.
  bool ready(std::size_t i) const {
    const Node& node = *nodes_[i];
    return node.alive && now_ >= node.paused_until && node.next_renewal > TimePoint{};
  }
  std::size_t zone(std::size_t i) const { return nodes_[i]->zone; }
  InstanceId id(std::size_t i) const { return nodes_[i]->id; }
  Limits& limits(std::size_t i) { return *nodes_[i]->limits; }

  /// Sends one request of `account` to instance `i`.
  void Send(std::size_t i, AccountId account) {
    Node& node = *nodes_[i];
    AccountCounts& counts = counts_[account];
    ++counts.sent;
    const bool reference = reference_[account].TryAdmit(now_);
    if (reference) ++counts.reference_admitted;
    if (!node.alive || now_ < node.paused_until) {
      ++counts.refused;  // the load balancer's connection fails; not counted as wrongful
      return;
    }
    const std::uint64_t request = next_request_++;
    const Admission a = node.limits->Admit(now_, account, request, now_ + Duration(1'000'000));
    if (std::holds_alternative<Queued>(a)) {
      waiting_[request] = Waiting{account, reference};
      Tick(node);
    } else {
      Count(account, std::holds_alternative<Admitted>(a), reference);
    }
  }

  /// Advances virtual time by one step.
  void Step() {
    now_ += settings_.step;
    bus_.RunUntil(now_);
    while (!control_.empty() && control_.begin()->first <= now_) {
      auto item = control_.extract(control_.begin());
      item.mapped()();
    }
    for (auto& node : nodes_) {
      if (!node->alive || now_ < node->paused_until) continue;
      for (auto& deliver : std::exchange(node->backlog, {})) deliver();
      RenewPermit(*node);
      Tick(*node);
    }
  }

  void Run(Duration d) {
    for (const TimePoint end = now_ + d; now_ < end;) Step();
  }

  /// Stops instance `i`; its data centre gets a delegation without it after `detected`.
  void Lose(std::size_t i, Duration detected = Duration(1'500'000)) {
    Node& node = *nodes_[i];
    node.alive = false;
    bus_.Detach(node.id);
    std::erase(members_[node.zone], i);
    Delegate(node.zone, detected);
  }

  /// Adds an instance to data centre `zone`, with a delegation after `detected`.
  std::size_t Add(std::size_t zone, Duration detected = Duration(500'000)) {
    const std::size_t i = AddInstance(zone);
    nodes_[i]->limits->OnConfig(now_, config_);
    for (std::size_t dc = 0; dc < members_.size(); ++dc) {
      if (latest_[dc]) nodes_[i]->limits->OnDelegation(now_, *latest_[dc]);
    }
    Delegate(zone, detected);
    return i;
  }

  /// Removes instance `i` from its group although it goes on running, as when it is cut off.
  void CutOff(std::size_t i) {
    bus_.SetSide(nodes_[i]->id, 1000 + static_cast<std::uint32_t>(i));
    nodes_[i]->cut_off = true;
    std::erase(members_[nodes_[i]->zone], i);
    Delegate(nodes_[i]->zone, Duration(1'500'000));
  }

  /// Stops instance `i` from running until `now + d`; messages wait for it.
  void Pause(std::size_t i, Duration d) { nodes_[i]->paused_until = now_ + d; }

  /// Cuts data centre `zone` off from the others and from the log.
  void Partition(std::size_t zone) {
    for (auto& node : nodes_) {
      if (node->zone != zone) continue;
      bus_.SetSide(node->id, 1 + static_cast<std::uint32_t>(zone));
    }
    isolated_zone_ = zone;
  }

  void Heal() {
    bus_.Heal();
    isolated_zone_.reset();
    for (auto& deferred : std::exchange(deferred_, {})) deferred();
  }

  /// Publishes another configuration; instances learn of it after their lag. The reference uses the
  /// larger limits until every instance has learnt of the change.
  void Publish(Config config) {
    const Config old = config_;
    config.version = old.version + 1;
    config_ = config;
    for (const AccountConfig& account : config.accounts) SetChecker(account, old);
    for (auto& node : nodes_) {
      Learn(*node, [this, n = node.get(), config] { n->limits->OnConfig(now_, config); });
    }
    const auto settled = [this, version = config.version] {
      if (version != config_.version) return;
      for (const AccountConfig& account : config_.accounts) {
        checker_[account.id].Set(now_, account.rate, account.burst);
        reference_[account.id].Set(now_, account.rate, account.burst);
      }
      for (auto& node : nodes_) node->limits->OnConfigConfirmed(now_, version);
    };
    control_.emplace(now_ + settings_.max_log_lag * 2, [this, settled] {
      isolated_zone_ ? deferred_.push_back(settled) : settled();
    });
  }

  AccountCounts counts(AccountId account) const {
    const auto it = counts_.find(account);
    return it == counts_.end() ? AccountCounts{} : it->second;
  }
  void ResetCounts() { counts_.clear(); }

  /// Most admissions over the limit in any interval, over all accounts.
  double excess() const {
    double most = 0;
    for (const auto& [id, bucket] : checker_) most = std::max(most, bucket.excess());
    return most;
  }

 private:
  struct Node {
    InstanceId id;
    std::size_t zone = 0;
    std::unique_ptr<Limits> limits;
    bool alive = true;
    bool cut_off = false;
    TimePoint paused_until;
    TimePoint next_renewal;
    std::uint64_t known_offset = 0;
    std::vector<std::function<void()>> backlog;
  };

  struct Waiting {
    AccountId account;
    bool reference = false;
  };

  std::size_t AddInstance(std::size_t zone) {
    const std::size_t i = nodes_.size();
    auto node = std::make_unique<Node>();
    node->id = InstanceId::FromName("instance-" + std::to_string(i));
    node->zone = zone;
    LimitSettings limits;
    limits.self = node->id;
    limits.incarnation = Incarnation{i + 1};
    limits.data_centre = config_.data_centres[zone].id;
    limits.policy = settings_.policy;
    node->limits = std::make_unique<Limits>(limits, now_);
    bus_.Attach(node->id, static_cast<std::uint32_t>(zone),
                [this, n = node.get()](TimePoint at, InstanceId from, const Message& m) {
                  Receive(*n, at, from, m);
                });
    members_[zone].push_back(i);
    nodes_.push_back(std::move(node));
    return i;
  }

  void Receive(Node& node, TimePoint at, InstanceId from, const Message& message) {
    if (at < node.paused_until) {
      node.backlog.push_back([this, &node, from, message] { Receive(node, now_, from, message); });
      return;
    }
    Outbox out;
    if (const auto* r = std::get_if<LoanRequest>(&message)) {
      node.limits->OnMessage(at, from, *r, out);
    }
    if (const auto* g = std::get_if<LoanGrant>(&message)) node.limits->OnMessage(at, from, *g, out);
    bus_.Send(at, node.id, out);
    TakeDecisions(node);
  }

  void Tick(Node& node) {
    Outbox out;
    node.limits->Tick(now_, out);
    bus_.Send(now_, node.id, out);
    TakeDecisions(node);
  }

  void TakeDecisions(Node& node) {
    for (const LimitDecision& d : node.limits->TakeDecisions()) {
      const auto it = waiting_.find(d.request);
      if (it == waiting_.end()) continue;
      Count(it->second.account, std::holds_alternative<Admitted>(d.outcome), it->second.reference);
      waiting_.erase(it);
    }
  }

  void Count(AccountId account, bool admitted, bool reference) {
    AccountCounts& counts = counts_[account];
    if (admitted) {
      ++counts.admitted;
      checker_[account].Admit(now_);
    } else {
      ++counts.refused;
      if (reference) ++counts.wrongful;
    }
  }

  Duration Lag() {
    const Duration::rep most = settings_.max_log_lag.count();
    return Duration(std::uniform_int_distribution<Duration::rep>(0, most)(random_));
  }

  /// Runs `event` at the node after its lag, or when its partition ends.
  void Learn(Node& node, const std::function<void()>& event) {
    control_.emplace(now_ + Lag(), [this, &node, event] {
      if (isolated_zone_ == node.zone) {
        deferred_.push_back(event);
      } else if (now_ < node.paused_until) {
        node.backlog.push_back(event);
      } else if (!node.cut_off) {
        event();
      }
    });
  }

  void Delegate(std::size_t zone, Duration detected) {
    control_.emplace(now_ + detected, [this, zone] {
      const auto delegation = std::make_shared<Delegation>();
      delegation->data_centre = config_.data_centres[zone].id;
      delegation->offset = ++offset_;
      for (const std::size_t i : members_[zone]) {
        delegation->members.push_back(Member{nodes_[i]->id, Incarnation{i + 1}});
      }
      latest_[zone] = *delegation;
      for (auto& node : nodes_) {
        Learn(*node, [this, n = node.get(), delegation, zone] {
          n->limits->OnDelegation(now_, *delegation);
          if (n->zone == zone) n->known_offset = std::max(n->known_offset, delegation->offset);
        });
      }
      // Takeover: from here on permits are given under the new delegation only.
      control_.emplace(now_ + settings_.max_log_lag, [this, zone, offset = offset_] {
        effective_[zone] = std::max(effective_[zone], offset);
      });
    });
  }

  void RenewPermit(Node& node) {
    if (now_ < node.next_renewal || node.cut_off) return;
    const auto effective = effective_.find(node.zone);
    if (effective == effective_.end() || node.known_offset < effective->second) return;
    const auto& members = members_[node.zone];
    const bool member = std::any_of(members.begin(), members.end(),
                                    [&](std::size_t i) { return nodes_[i].get() == &node; });
    if (!member) return;
    node.next_renewal = now_ + Duration(300'000);
    node.limits->OnPermit(now_, effective->second, now_ + Duration(1'500'000));
  }

  void SetChecker(const AccountConfig& account, const Config& old) {
    const auto it = std::find_if(old.accounts.begin(), old.accounts.end(),
                                 [&](const AccountConfig& a) { return a.id == account.id; });
    const double rate = it == old.accounts.end() ? 0 : it->rate;
    const double burst = it == old.accounts.end() ? 0 : it->burst;
    checker_[account.id].Set(now_, std::max(rate, account.rate), std::max(burst, account.burst));
  }

  LimitFleetSettings settings_;
  TimePoint now_{Duration(1'000'000)};
  Config config_;
  MessageBus bus_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<std::vector<std::size_t>> members_;
  std::unordered_map<std::size_t, std::optional<Delegation>> latest_;
  std::unordered_map<std::size_t, std::uint64_t> effective_;
  std::multimap<TimePoint, std::function<void()>> control_;
  std::vector<std::function<void()>> deferred_;
  std::optional<std::size_t> isolated_zone_;
  std::uint64_t offset_ = 0;
  std::uint64_t next_request_ = 1;
  std::unordered_map<std::uint64_t, Waiting> waiting_;
  std::unordered_map<AccountId, AccountCounts> counts_;
  std::unordered_map<AccountId, ReferenceBucket> reference_;
  std::unordered_map<AccountId, ReferenceBucket> checker_;
};

}  // namespace dogwoodport::standin
