#include <catch2/catch.hpp>
#include <random>

#include "dogwoodport/core/slot_ledger.h"

namespace dogwoodport {
namespace {

constexpr Duration kStep{5'000};
constexpr Duration kHold{100'000};
constexpr std::uint32_t kSlots = 6;

TimePoint At(std::int64_t ms) { return TimePoint{Duration{1'000'000 + ms * 1000}}; }
InstanceId Name(int i) { return InstanceId::FromName("i" + std::to_string(i)); }

struct Faults {
  double loss = 0;
  double duplication = 0;
  double pause = 0;
  double replacement = 0;
  /// Faulty variant: a new instance does not wait for the attempts of the instance it replaces.
  bool skip_wait = false;
};

/// Members of one data centre that share one target, on a network that loses and duplicates
/// messages.
class SlotFleet {
 public:
  SlotFleet(Faults faults, std::uint64_t seed) : faults_(faults), random_(seed) {
    for (int i = 0; i < 4; ++i) nodes_.push_back(MakeNode(i, 1));
    Delegate(DelegationHistory::kFirst);
  }

  /// Runs `steps` steps and returns the maximum number of concurrent attempts on the target.
  std::size_t Run(int steps) {
    std::size_t max_running = 0;
    for (int i = 0; i < steps; ++i) {
      Step();
      max_running = std::max(max_running, running_.size());
    }
    return max_running;
  }

  std::uint64_t borrowed() const { return borrowed_; }

 private:
  struct Node {
    int index = 0;
    Incarnation incarnation;
    SlotLedger ledger;
    TimePoint paused_until;
  };
  struct Running {
    int node = 0;
    Incarnation incarnation;
    SlotHold hold;
    TimePoint ends;
  };
  struct QueuedMessage {
    TimePoint at;
    InstanceId from;
    Envelope envelope;
  };

  static SlotLedgerSettings Settings(int i, std::uint64_t incarnation) {
    return {.self = Name(i),
            .incarnation = Incarnation{incarnation},
            .max_hold = kHold,
            .permit_duration = Duration{20'000},
            .idle_return = Duration{20'000},
            .query_interval = Duration{30'000}};
  }
  Node MakeNode(int i, std::uint64_t incarnation) {
    Node node{i, Incarnation{incarnation}, SlotLedger(Settings(i, incarnation)), {}};
    node.ledger.AddRow(target_, Resource::kSlot, kSlots);
    return node;
  }
  bool Chance(double p) { return std::uniform_real_distribution<double>(0, 1)(random_) < p; }

  void Delegate(DelegationHistory history) {
    Delegation delegation{.offset = ++offset_};
    for (const Node& node : nodes_)
      delegation.members.push_back({Name(node.index), node.incarnation});
    for (Node& node : nodes_) node.ledger.OnDelegation(now_, delegation, history);
  }

  void Replace() {
    Node& node = nodes_[random_() % nodes_.size()];
    // The attempts of the lost process continue at the target until their deadline.
    node = MakeNode(node.index, node.incarnation.value + 1);
    Delegate(faults_.skip_wait ? DelegationHistory::kFirst : DelegationHistory::kReplacesEarlier);
  }

  void SendAll(const Node& node, Outbox& out) {
    for (Envelope& envelope : out.Take()) {
      if (Chance(faults_.loss)) continue;
      const int copies = Chance(faults_.duplication) ? 2 : 1;
      for (int i = 0; i < copies; ++i) {
        const Duration delay{static_cast<std::int64_t>(random_() % 30'000)};
        network_.push_back({now_ + delay, Name(node.index), envelope});
      }
    }
  }

  void Receive(Node& node) {
    Outbox out;
    for (std::size_t i = 0; i < network_.size(); ++i) {
      if (network_[i].at > now_ || network_[i].envelope.to != Name(node.index)) continue;
      const QueuedMessage queued = network_[i];
      network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(i--));
      const Message& m = queued.envelope.message;
      const SlotLedger::Candidate candidates[] = {{0, kSlots}};
      if (const auto* request = std::get_if<SlotRequest>(&m)) {
        node.ledger.OnRequest(now_, queued.from, *request, candidates, out);
      } else if (const auto* loan = std::get_if<SlotLoan>(&m)) {
        node.ledger.OnLoan(now_, queued.from, *loan, out);
      } else if (const auto* returned = std::get_if<SlotReturn>(&m)) {
        node.ledger.OnReturn(queued.from, *returned);
      }
    }
    SendAll(node, out);
  }

  void RunAttempt(Node& node) {
    Outbox out;
    node.ledger.Tick(now_, out);
    if (Chance(0.5)) {
      if (const auto hold = node.ledger.Acquire(now_, 0, kSlots)) {
        borrowed_ += hold->loan != 0 ? 1 : 0;
        const Duration work{static_cast<std::int64_t>(random_() % 100'000)};
        running_.push_back(
            {node.index, node.incarnation, *hold, std::min(now_ + work, hold->until)});
      } else {
        node.ledger.Borrow(now_, 0, false, out);
      }
    }
    SendAll(node, out);
  }

  void Step() {
    now_ += kStep;
    for (Running& attempt : running_) {
      Node& node = nodes_[static_cast<std::size_t>(attempt.node)];
      if (attempt.ends > now_ || node.incarnation != attempt.incarnation) continue;
      node.ledger.Release(now_, 0, attempt.hold);
    }
    std::erase_if(running_, [&](const Running& attempt) { return attempt.ends <= now_; });
    for (Node& node : nodes_) {
      if (now_ < node.paused_until) continue;
      if (Chance(faults_.pause)) node.paused_until = now_ + Duration{200'000};
      Receive(node);
      RunAttempt(node);
    }
    if (Chance(faults_.replacement)) Replace();
  }

  Faults faults_;
  std::mt19937_64 random_;
  TargetId target_ = TargetId::FromName("t");
  TimePoint now_ = At(0);
  std::uint64_t offset_ = 0;
  std::uint64_t borrowed_ = 0;
  std::vector<Node> nodes_;
  std::vector<Running> running_;
  std::vector<QueuedMessage> network_;
};

}  // namespace

TEST_CASE("the attempts on a target never exceed its slots") {
  struct Row {
    const char* name;
    Faults faults;
  };
  const auto row = GENERATE(values<Row>({
      {"no faults", {}},
      {"lost messages", {.loss = 0.3}},
      {"duplicated messages", {.duplication = 0.5}},
      {"paused instances", {.pause = 0.01}},
      {"replaced instances and new delegations", {.replacement = 0.01}},
      {"all together", {.loss = 0.2, .duplication = 0.3, .pause = 0.01, .replacement = 0.01}},
  }));
  const std::uint64_t seed = GENERATE(1, 2, 3, 4, 5);
  INFO(row.name << ", seed " << seed);
  // Guards against units that are duplicated by lost, duplicated or delayed messages or by the
  // replacement of an instance that holds units.
  SlotFleet fleet(row.faults, seed);
  CHECK(fleet.Run(20'000) <= kSlots);
  CHECK(fleet.borrowed() > 0);
}

TEST_CASE("the check detects a new instance that does not wait") {
  // Guards against a check that cannot fail: verifies that it detects the faulty variant.
  SlotFleet fleet({.replacement = 0.01, .skip_wait = true}, 1);
  CHECK(fleet.Run(20'000) > kSlots);
}

TEST_CASE("loans") {
  const TargetId target = TargetId::FromName("t");
  SlotLedger lender({.self = Name(0), .incarnation = Incarnation{1}});
  SlotLedger borrower({.self = Name(1), .incarnation = Incarnation{1}});
  const Delegation delegation{.offset = 1,
                              .members = {{Name(0), Incarnation{1}}, {Name(1), Incarnation{1}}}};
  for (SlotLedger* ledger : {&lender, &borrower}) {
    ledger->AddRow(target, Resource::kSlot, 4);
    ledger->OnDelegation(At(0), delegation, DelegationHistory::kFirst);
    CHECK(ledger->Share(At(0), 0, 4) == 2);
  }
  Outbox out;
  borrower.Borrow(At(0), 0, false, out);
  const auto request = std::get<SlotRequest>(out.Take().front().message);
  const SlotLedger::Candidate candidates[] = {{0, 4}};
  lender.OnRequest(At(0), Name(1), request, candidates, out);
  const auto loan = std::get<SlotLoan>(out.Take().front().message);

  SECTION("a duplicated request receives no second unit") {
    lender.OnRequest(At(1), Name(1), request, candidates, out);
    CHECK(lender.Free(At(1), 0, 4) == 1);
  }
  SECTION("the lender can use a lost loan again after its validity and the clock drift") {
    CHECK(lender.Free(At(7'500), 0, 4) == 1);
    CHECK(lender.Free(At(7'576), 0, 4) == 2);
  }
  SECTION("a duplicated loan does not restore one that was returned") {
    borrower.OnLoan(At(1), Name(0), loan, out);
    CHECK(borrower.Free(At(1), 0, 4) == 3);
    borrower.Tick(At(200), out);
    CHECK(borrower.Free(At(200), 0, 4) == 2);
    borrower.OnLoan(At(201), Name(0), loan, out);
    CHECK(borrower.Free(At(201), 0, 4) == 2);
  }
  SECTION("a loan accepts no attempt that could end after it expires") {
    borrower.OnLoan(At(1), Name(0), loan, out);
    CHECK(borrower.Free(At(2'500), 0, 4) == 3);
    CHECK(borrower.Free(At(2'501), 0, 4) == 2);
  }
  SECTION("a new incarnation ignores loans to its predecessor") {
    SlotLedger restarted({.self = Name(1), .incarnation = Incarnation{2}});
    restarted.AddRow(target, Resource::kSlot, 4);
    restarted.OnLoan(At(1), Name(0), loan, out);
    CHECK(out.empty());
    CHECK(restarted.Free(At(1), 0, 4) == 0);
  }
  SECTION("without a permit an instance uses no units of its own") {
    lender.SetPermit(At(10));
    CHECK(lender.Free(At(9), 0, 4) == 1);
    CHECK(lender.Free(At(10), 0, 4) == 0);
  }
  SECTION("the slow start of a cold target limits the sum of the shares") {
    CHECK(lender.Share(At(0), 0, 1) + borrower.Share(At(0), 0, 1) == 1);
    CHECK(lender.Share(At(0), 0, 2) + borrower.Share(At(0), 0, 2) == 2);
  }
}

}  // namespace dogwoodport
