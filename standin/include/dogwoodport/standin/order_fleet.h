#pragma once

/// @file
/// The instances of one data centre with `Orders`, their targets and callers that retry, in virtual
/// time, for tests, replays and measurements.

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "dogwoodport/core/orders.h"
#include "dogwoodport/standin/message_bus.h"

namespace dogwoodport::standin {

/// Steps of an order after which a fault can be injected.
enum class OrderStep { kBegin, kMaySend, kFirstByte, kRun, kAnswer };

/// Behaviour of an `OrderFleet`.
struct OrderFleetSettings {
  std::uint32_t instances = 3;
  IntentPolicy policy = MajorityIntents{};
  LinkSettings links;
  std::uint64_t seed = 1;
  Duration max_log_lag{250'000};
  /// Time after the loss of an instance until the delegation without it is in the log.
  Duration detection{1'500'000};
  /// Mean time until a target answers.
  Duration service_time{5'000};
  /// Part of the answers that are lost on the way from the target.
  double answer_loss = 0;
  /// Whether callers send `Dogwood-First-Sent`.
  bool callers_prove_freshness = false;
  /// Time after which a caller without an answer tries again, and after which it stops trying.
  Duration caller_timeout{400'000};
  Duration caller_patience{10'000'000};
};

/// Outcome of an order as its caller saw it.
enum class CallerOutcome { kPending, kDone, kUnknown, kConflict, kGaveUp };

/// Totals over all orders.
struct OrderCounts {
  std::uint64_t sent = 0;
  std::uint64_t done = 0;
  std::uint64_t unknown = 0;
  std::uint64_t gave_up = 0;
  std::uint64_t ran = 0;
  std::uint64_t ran_twice = 0;
  /// Requests refused as "not run" whose bytes had left.
  std::uint64_t false_not_run = 0;
  /// First attempts of new orders refused because the order could not be shown to be new.
  std::uint64_t fresh_refused = 0;
};

/// Simulates one permit group.
class OrderFleet {
 public:
  /// Called after each step of each order; may disturb the fleet.
  using Hook = std::function<void(OrderFleet& fleet, OrderStep step, std::size_t instance)>;

  explicit OrderFleet(const OrderFleetSettings& settings)
      : settings_(settings),
        bus_(settings_.links, settings_.seed ^ 0x2545f491),
        random_(settings_.seed) {
    for (std::uint32_t i = 0; i < settings_.instances; ++i) AddNode(i);
    Delegate(Duration{0});
  }

  TimePoint now() const noexcept { return now_; }
  std::int64_t wall_ms() const noexcept { return now_.time_since_epoch().count() / 1'000; }
  std::size_t size() const noexcept { return nodes_.size(); }
  bool alive(std::size_t i) const { return nodes_[i]->alive; }
  Orders& orders(std::size_t i) { return *nodes_[i]->orders; }
  InstanceId id(std::size_t i) const { return nodes_[i]->id; }
  MessageBus& bus() noexcept { return bus_; }
  std::mt19937_64& random() noexcept { return random_; }
  const std::vector<Delegation>& delegations() const noexcept { return delegations_; }
  void SetHook(Hook hook) { hook_ = std::move(hook); }

  /// Index of the authority for `order` under the latest delegation.
  std::size_t AuthorityOf(const OrderId& order) const {
    const auto authority = OrderAuthority(delegations_.back(), order);
    for (std::size_t i = nodes_.size(); i-- > 0;) {
      if (authority && nodes_[i]->id == *authority && nodes_[i]->alive) return i;
    }
    return nodes_.size();
  }

  /// A caller sends a new order and retries until it has an outcome. Returns its number.
  std::size_t SendOrder(const std::string& body = "body") {
    const std::size_t n = callers_.size();
    Caller caller;
    caller.id = MakeOrderId(AccountId::FromName("a"), "key-" + std::to_string(n));
    caller.body = MakeBodyHash("POST", "/order", body);
    caller.first_sent = now_;
    callers_.push_back(caller);
    After(Duration{0}, [this, n] { Attempt(n); });
    return n;
  }

  /// The caller of order `n` sends it once more although it may have an outcome.
  void Resend(std::size_t n) {
    callers_[n].outcome = CallerOutcome::kPending;
    callers_[n].resent_at = now_;
    Attempt(n);
  }

  CallerOutcome outcome(std::size_t n) const { return callers_[n].outcome; }
  int runs(std::size_t n) const {
    const auto it = runs_.find(callers_[n].id);
    return it == runs_.end() ? 0 : it->second;
  }
  const OrderId& order(std::size_t n) const { return callers_[n].id; }

  /// Stops instance `i`; a new run of the process joins after `replaced`, if given.
  void Lose(std::size_t i, std::optional<Duration> replaced = std::nullopt) {
    if (!nodes_[i]->alive) return;
    nodes_[i]->alive = false;
    bus_.Detach(nodes_[i]->id);
    std::erase(members_, i);
    Delegate(settings_.detection);
    if (replaced) {
      After(*replaced, [this, name = nodes_[i]->name] {
        AddNode(name);
        Delegate(Duration{500'000});
      });
    }
  }

  /// Takes instance `i` out of the group although it keeps running and connected.
  void MoveAuthority(std::size_t i) {
    std::erase(members_, i);
    Delegate(Duration{0});
  }

  void Pause(std::size_t i, Duration d) { nodes_[i]->paused_until = now_ + d; }

  /// Cuts instance `i` off from the others and the log; the group continues without it.
  void CutOff(std::size_t i) {
    bus_.SetSide(nodes_[i]->id, 1);
    nodes_[i]->cut_off = true;
    std::erase(members_, i);
    Delegate(settings_.detection);
  }

  void Run(Duration d) {
    for (const TimePoint end = now_ + d; now_ < end;) Step();
  }

  OrderCounts counts() const {
    OrderCounts counts = counts_;
    counts.sent = callers_.size();
    for (const Caller& caller : callers_) {
      counts.done += caller.outcome == CallerOutcome::kDone;
      counts.unknown += caller.outcome == CallerOutcome::kUnknown;
      counts.gave_up += caller.outcome == CallerOutcome::kGaveUp;
    }
    for (const auto& [id, runs] : runs_) {
      counts.ran += 1;
      counts.ran_twice += runs > 1;
    }
    return counts;
  }

 private:
  struct Node {
    std::uint32_t name = 0;
    InstanceId id;
    Incarnation incarnation;
    std::unique_ptr<Orders> orders;
    bool alive = true;
    bool cut_off = false;
    TimePoint paused_until;
    TimePoint next_renewal;
    std::uint64_t known_offset = 0;
    std::vector<std::function<void()>> backlog;
  };

  struct Caller {
    OrderId id;
    BodyHash body;
    TimePoint first_sent;
    TimePoint resent_at;
    int attempts = 0;
    CallerOutcome outcome = CallerOutcome::kPending;
  };

  struct Request {
    std::size_t caller = 0;
    int attempt = 0;
    bool bytes_left = false;
  };

  void After(Duration d, std::function<void()> event) {
    events_.emplace(now_ + d, std::move(event));
  }

  /// Runs `event` at the node when it is running; drops it if the process is gone.
  void AtNode(Node& node, const std::function<void()>& event) {
    if (!node.alive) return;
    if (now_ < node.paused_until) {
      node.backlog.push_back([this, &node, event] { AtNode(node, event); });
    } else {
      event();
    }
  }

  void AddNode(std::uint32_t name) {
    const std::size_t i = nodes_.size();
    auto node = std::make_unique<Node>();
    node->name = name;
    node->id = InstanceId::FromName("instance-" + std::to_string(name));
    node->incarnation = Incarnation{i + 1};
    OrderSettings orders;
    orders.self = node->id;
    orders.incarnation = node->incarnation;
    orders.data_centre = data_centre_;
    orders.policy = settings_.policy;
    node->orders = std::make_unique<Orders>(orders);
    bus_.Attach(node->id, 0,
                [this, n = node.get()](TimePoint at, InstanceId from, const Message& m) {
                  if (at < n->paused_until) {
                    n->backlog.push_back([this, n, from, m] { Receive(*n, from, m); });
                  } else {
                    now_ = std::max(now_, at);
                    Receive(*n, from, m);
                  }
                });
    members_.push_back(i);
    nodes_.push_back(std::move(node));
    if (!delegations_.empty()) Learn(*nodes_.back(), delegations_.size() - 1);
  }

  void Receive(Node& node, InstanceId from, const Message& message) {
    if (!node.alive) return;
    Outbox out;
    std::visit(
        [&](const auto& m) {
          if constexpr (requires { node.orders->OnMessage(now_, from, m, out); }) {
            node.orders->OnMessage(now_, from, m, out);
          }
        },
        message);
    bus_.Send(now_, node.id, out);
    TakeActions(node);
  }

  void Learn(Node& node, std::size_t index) {
    const Delegation& current = delegations_[index];
    const std::vector<Delegation> earlier(
        delegations_.rbegin() + static_cast<std::ptrdiff_t>(delegations_.size() - index),
        delegations_.rend());
    Outbox out;
    node.orders->OnDelegation(now_, wall_ms(), current, earlier, out);
    node.known_offset = std::max(node.known_offset, current.offset);
    bus_.Send(now_, node.id, out);
    TakeActions(node);
  }

  void Delegate(Duration delay) {
    After(delay, [this] {
      Delegation delegation{data_centre_, delegations_.size() + 1, {}, {}};
      for (const std::size_t i : members_) {
        delegation.members.push_back(Member{nodes_[i]->id, nodes_[i]->incarnation});
      }
      delegations_.push_back(delegation);
      const std::size_t index = delegations_.size() - 1;
      for (auto& node : nodes_) {
        const Duration::rep most = settings_.max_log_lag.count();
        const Duration lag(std::uniform_int_distribution<Duration::rep>(0, most)(random_));
        After(lag, [this, n = node.get(), index] {
          if (!n->cut_off) AtNode(*n, [this, n, index] { Learn(*n, index); });
        });
      }
      After(settings_.max_log_lag,
            [this, offset = delegation.offset] { effective_ = std::max(effective_, offset); });
    });
  }

  void RenewPermit(Node& node) {
    if (now_ < node.next_renewal || node.cut_off || node.known_offset < effective_) return;
    const bool member = std::any_of(members_.begin(), members_.end(),
                                    [&](std::size_t i) { return nodes_[i].get() == &node; });
    if (!member || effective_ == 0) return;
    node.next_renewal = now_ + Duration(300'000);
    node.orders->OnPermit(now_, now_ + Duration(1'500'000));
  }

  void Step() {
    const TimePoint next = now_ + Duration(1'000);
    bus_.RunUntil(next);
    now_ = next;
    while (!events_.empty() && events_.begin()->first <= now_) {
      auto item = events_.extract(events_.begin());
      item.mapped()();
    }
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      Node& node = *nodes_[i];
      if (!node.alive || now_ < node.paused_until) continue;
      for (auto& event : std::exchange(node.backlog, {})) event();
      RenewPermit(node);
      Outbox out;
      node.orders->Tick(now_, out);
      bus_.Send(now_, node.id, out);
      TakeActions(node);
    }
  }

  /// A caller tries through the authority that a random entry instance would choose.
  void Attempt(std::size_t n) {
    Caller& caller = callers_[n];
    if (caller.outcome != CallerOutcome::kPending) return;
    if (now_ - std::max(caller.first_sent, caller.resent_at) > settings_.caller_patience) {
      caller.outcome = CallerOutcome::kGaveUp;
      return;
    }
    const int attempt = ++caller.attempts;
    After(settings_.caller_timeout, [this, n, attempt] {
      if (callers_[n].attempts == attempt) Attempt(n);
    });
    std::size_t entry = std::uniform_int_distribution<std::size_t>(0, nodes_.size() - 1)(random_);
    const std::uint64_t offset = std::max<std::uint64_t>(1, nodes_[entry]->known_offset);
    if (delegations_.size() < offset) return;
    const auto authority = OrderAuthority(delegations_[offset - 1], caller.id);
    for (auto& node : nodes_) {
      if (!authority || node->id != *authority || !node->alive || node->cut_off) continue;
      AtNode(*node, [this, n, node = node.get(), attempt] { BeginAt(*node, n, attempt); });
    }
  }

  void BeginAt(Node& node, std::size_t n, int attempt) {
    const Caller& caller = callers_[n];
    OrderRequest request;
    request.request = next_request_++;
    request.id = caller.id;
    request.body = caller.body;
    request.deadline = now_ + Duration(1'000'000);
    if (settings_.callers_prove_freshness) {
      request.first_sent_ms = caller.first_sent.time_since_epoch().count() / 1'000;
    }
    requests_[request.request] = Request{n, attempt};
    Outbox out;
    node.orders->Begin(now_, request, out);
    const std::size_t index = IndexOf(node);
    if (hook_) hook_(*this, OrderStep::kBegin, index);
    if (!node.alive) return;
    bus_.Send(now_, node.id, out);
    TakeActions(node);
  }

  std::size_t IndexOf(const Node& node) const { return node.incarnation.value - 1; }

  void TakeActions(Node& node) {
    for (OrderAction& action : node.orders->TakeActions()) {
      std::visit([&](auto& a) { Handle(node, a); }, action);
    }
  }

  void Handle(Node& node, const MaySend& action) {
    if (hook_) hook_(*this, OrderStep::kMaySend, IndexOf(node));
    const Duration delay(std::uniform_int_distribution<Duration::rep>(0, 2'000)(random_));
    After(delay, [this, &node, r = action.request] {
      AtNode(node, [this, &node, r] { SendToTarget(node, r); });
    });
  }

  void SendToTarget(Node& node, std::uint64_t request) {
    Outbox out;
    const bool allowed = node.orders->OnFirstByte(now_, request, out);
    bus_.Send(now_, node.id, out);
    TakeActions(node);
    if (!allowed) return;
    requests_[request].bytes_left = true;
    const std::size_t caller = requests_[request].caller;
    if (hook_) hook_(*this, OrderStep::kFirstByte, IndexOf(node));
    const Duration::rep mean = settings_.service_time.count();
    const Duration service(
        std::uniform_int_distribution<Duration::rep>(mean / 2, mean * 2)(random_));
    After(service, [this, &node, request, caller] {
      ++runs_[callers_[caller].id];
      if (hook_) hook_(*this, OrderStep::kRun, IndexOf(node));
      const bool lost = std::uniform_real_distribution<>()(random_) < settings_.answer_loss;
      After(lost ? Duration(300'000) : Duration(500), [this, &node, request, lost] {
        AtNode(node, [this, &node, request, lost] { FinishAt(node, request, lost); });
      });
    });
  }

  void FinishAt(Node& node, std::uint64_t request, bool lost) {
    Outbox out;
    if (lost) {
      node.orders->OnUnknown(now_, request, out);
    } else {
      node.orders->OnAnswer(now_, request, 200, "answer", out);
    }
    if (hook_) hook_(*this, OrderStep::kAnswer, IndexOf(node));
    if (!node.alive) return;
    bus_.Send(now_, node.id, out);
    Answer(request, lost ? CallerOutcome::kUnknown : CallerOutcome::kDone);
    TakeActions(node);
  }

  void Answer(std::uint64_t request, CallerOutcome outcome) {
    Caller& caller = callers_[requests_[request].caller];
    if (caller.outcome == CallerOutcome::kPending) caller.outcome = outcome;
  }

  void Handle(Node& /*node*/, const ReplayOutcome& action) {
    Answer(action.request, CallerOutcome::kDone);
  }

  void Handle(Node& /*node*/, const ReportUnknown& action) {
    Answer(action.request, CallerOutcome::kUnknown);
  }

  void Handle(Node& /*node*/, const Reject& action) {
    const Request& request = requests_[action.request];
    if (action.run == RunState::kNo && request.bytes_left) ++counts_.false_not_run;
    Caller& caller = callers_[request.caller];
    if (action.reason == OrderRefusal::kNotFresh && request.attempt == 1) ++counts_.fresh_refused;
    if (action.reason == OrderRefusal::kConflict) {
      Answer(action.request, CallerOutcome::kConflict);
      return;
    }
    const int attempt = request.attempt;
    if (caller.attempts != attempt) return;
    After(std::min(action.retry_after, Duration(500'000)), [this, n = request.caller, attempt] {
      if (callers_[n].attempts == attempt) Attempt(n);
    });
  }

  OrderFleetSettings settings_;
  TimePoint now_{Duration(1'000'000'000)};
  DataCentreId data_centre_ = DataCentreId::FromName("dc");
  MessageBus bus_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<std::size_t> members_;
  std::vector<Delegation> delegations_;
  std::uint64_t effective_ = 0;
  std::multimap<TimePoint, std::function<void()>> events_;
  std::vector<Caller> callers_;
  std::map<std::uint64_t, Request> requests_;
  std::uint64_t next_request_ = 1;
  std::map<OrderId, int> runs_;
  OrderCounts counts_;
  Hook hook_;
};

}  // namespace dogwoodport::standin
