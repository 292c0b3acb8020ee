#include <catch2/catch.hpp>

#include "dogwoodport/core/orders.h"
#include "dogwoodport/standin/order_fleet.h"

namespace dogwoodport {
namespace {

using standin::CallerOutcome;
using standin::OrderFleet;
using standin::OrderFleetSettings;
using standin::OrderStep;

constexpr Duration kMs{1'000};
constexpr Duration kSecond{1'000'000};

struct LossCase {
  std::string name;
  OrderStep step;
  int runs;
  CallerOutcome outcome;
};

}  // namespace

TEST_CASE("an instance lost after each step of an order") {
  // Guards against a second run or a wrong response after the authority is replaced while an order
  // is in progress.
  const auto c = GENERATE(values<LossCase>({
      {"before the intent is recorded", OrderStep::kBegin, 1, CallerOutcome::kDone},
      {"after the intent", OrderStep::kMaySend, 0, CallerOutcome::kUnknown},
      {"after the first byte", OrderStep::kFirstByte, 1, CallerOutcome::kUnknown},
      {"before the response", OrderStep::kRun, 1, CallerOutcome::kUnknown},
      {"after the response, before it is recorded", OrderStep::kAnswer, 1, CallerOutcome::kUnknown},
  }));
  const auto fault = GENERATE(values<std::string>({"lost", "restarted", "cut off"}));
  CAPTURE(c.name, fault);
  OrderFleet fleet(OrderFleetSettings{});
  fleet.Run(2 * kSecond);
  bool injected = false;
  fleet.SetHook([&](OrderFleet& f, OrderStep step, std::size_t i) {
    if (injected || step != c.step) return;
    injected = true;
    if (fault == "lost") f.Lose(i);
    if (fault == "restarted") f.Lose(i, 100 * kMs);
    if (fault == "cut off") f.CutOff(i);
  });
  const std::size_t n = fleet.SendOrder();
  fleet.Run(12 * kSecond);
  REQUIRE(injected);
  CHECK(fleet.counts().ran_twice == 0);
  CHECK(fleet.counts().false_not_run == 0);
  if (fault != "cut off") {
    CHECK(fleet.runs(n) == c.runs);
    CHECK(fleet.outcome(n) == c.outcome);
  } else {
    CHECK(fleet.runs(n) <= 1);
    CHECK(fleet.outcome(n) != CallerOutcome::kGaveUp);
  }
}

TEST_CASE("an authority replaced while an order is in progress") {
  const auto step = GENERATE(OrderStep::kBegin, OrderStep::kMaySend, OrderStep::kFirstByte,
                             OrderStep::kRun, OrderStep::kAnswer);
  CAPTURE(static_cast<int>(step));
  OrderFleetSettings settings;
  settings.instances = 5;
  settings.service_time = 600 * kMs;
  settings.caller_timeout = 200 * kMs;
  OrderFleet fleet(settings);
  fleet.Run(2 * kSecond);
  bool injected = false;
  fleet.SetHook([&](OrderFleet& f, OrderStep s, std::size_t i) {
    if (!injected && s == step) f.MoveAuthority(i);
    injected = injected || s == step;
  });
  const std::size_t n = fleet.SendOrder();
  fleet.Run(12 * kSecond);
  CHECK(fleet.runs(n) == 1);
  CHECK(fleet.counts().false_not_run == 0);
  // The former authority is still running, so it reports the outcome to the new one.
  fleet.Resend(n);
  fleet.Run(kSecond);
  CHECK(fleet.outcome(n) == CallerOutcome::kDone);
  CHECK(fleet.runs(n) == 1);
}

TEST_CASE("no order runs twice in random schedules") {
  // Guards against interleavings of loss, duplication, pauses and reconfiguration that the other
  // cases do not cover.
  const auto seed = GENERATE(range<std::uint64_t>(1, 11));
  // Losses of instances in quick succession can include a majority of the group. Recovery then
  // requires an operator, so only safety is checked.
  const bool spaced = GENERATE(true, false);
  CAPTURE(seed, spaced);
  OrderFleetSettings settings;
  settings.instances = seed % 2 == 0 ? 3 : 5;
  settings.seed = seed;
  settings.links.loss = 0.1;
  settings.links.duplication = 0.1;
  settings.answer_loss = 0.05;
  settings.service_time = seed % 3 == 0 ? 300 * kMs : 5 * kMs;
  OrderFleet fleet(settings);
  fleet.Run(2 * kSecond);
  for (int round = 0; round < 40; ++round) {
    for (int i = 0; i < 20; ++i) {
      fleet.SendOrder();
      fleet.Run(10 * kMs);
    }
    const std::size_t i =
        std::uniform_int_distribution<std::size_t>(0, fleet.size() - 1)(fleet.random());
    const int event = std::uniform_int_distribution<int>(0, 5)(fleet.random());
    if (event == 0 && fleet.alive(i)) {
      fleet.Lose(i, 2 * kSecond);
      if (spaced) fleet.Run(6 * kSecond);
    }
    if (event == 1)
      fleet.Pause(i, std::uniform_int_distribution<int>(10, 4'000)(fleet.random()) * kMs);
    if (event <= 1) fleet.Run(std::uniform_int_distribution<int>(0, 4'000)(fleet.random()) * kMs);
  }
  fleet.Run(15 * kSecond);
  const auto counts = fleet.counts();
  CHECK(counts.ran_twice == 0);
  CHECK(counts.false_not_run == 0);
  if (spaced) CHECK(counts.done > counts.sent * 8 / 10);
}

TEST_CASE("the check detects intents that only the authority stores") {
  // Guards against a check that cannot fail: if intents are not recorded with a majority, an order
  // runs again after a takeover.
  OrderFleetSettings settings;
  settings.policy = AuthorityMemory{false};
  OrderFleet fleet(settings);
  fleet.Run(2 * kSecond);
  bool injected = false;
  fleet.SetHook([&](OrderFleet& f, OrderStep step, std::size_t i) {
    if (!injected && step == OrderStep::kRun) f.Lose(i);
    injected = injected || step == OrderStep::kRun;
  });
  fleet.SendOrder();
  fleet.Run(12 * kSecond);
  CHECK(fleet.counts().ran_twice == 1);
}

TEST_CASE("a caller that retries") {
  OrderFleet fleet(OrderFleetSettings{});
  fleet.Run(2 * kSecond);
  const std::size_t n = fleet.SendOrder();
  fleet.Run(kSecond);
  REQUIRE(fleet.outcome(n) == CallerOutcome::kDone);

  SECTION("receives the stored outcome") {
    fleet.Resend(n);
    fleet.Run(kSecond);
    CHECK(fleet.outcome(n) == CallerOutcome::kDone);
    CHECK(fleet.runs(n) == 1);
  }
  SECTION("receives it from another instance after the authority was lost") {
    fleet.Lose(fleet.AuthorityOf(fleet.order(n)));
    fleet.Run(4 * kSecond);
    fleet.Resend(n);
    fleet.Run(kSecond);
    CHECK(fleet.outcome(n) == CallerOutcome::kDone);
    CHECK(fleet.runs(n) == 1);
  }
  SECTION("receives it after all instances were replaced one by one") {
    // Guards against the loss of records when a group is collected before the records of its
    // predecessor are installed.
    for (std::size_t i = 0; i < 3; ++i) {
      fleet.Lose(i, 100 * kMs);
      fleet.Run(5 * kSecond);
    }
    fleet.Resend(n);
    fleet.Run(2 * kSecond);
    CHECK(fleet.outcome(n) == CallerOutcome::kDone);
    CHECK(fleet.runs(n) == 1);
  }
  SECTION("is refused with a conflict if the body differs") {
    const std::size_t i = fleet.AuthorityOf(fleet.order(n));
    OrderRequest request{77, fleet.order(n), MakeBodyHash("POST", "/order", "other")};
    request.deadline = fleet.now() + kSecond;
    Outbox out;
    fleet.orders(i).Begin(fleet.now(), request, out);
    const auto actions = fleet.orders(i).TakeActions();
    REQUIRE(actions.size() == 1);
    CHECK(std::get<Reject>(actions[0]).reason == OrderRefusal::kConflict);
  }
}

namespace {

/// A group that consists of one instance, for single scenarios.
struct SingleInstance {
  SingleInstance() : orders(MakeSettings()) {
    orders.OnDelegation(now, 1'000'000, Delegation{dc, 1, {{self, {1}}}, self}, {}, out);
    orders.OnPermit(now, now + 3'600 * kSecond);
  }
  static OrderSettings MakeSettings() {
    OrderSettings settings;
    settings.self = self;
    settings.incarnation = {1};
    settings.data_centre = dc;
    settings.max_bytes = 3 * kOrderRecordBytes;
    return settings;
  }
  OrderAction Begin(std::uint64_t request, const std::string& key,
                    std::optional<std::int64_t> first_sent_ms = std::nullopt,
                    std::optional<std::int64_t> taken_over_ms = std::nullopt) {
    OrderRequest r{request, MakeOrderId(AccountId::FromName("a"), key)};
    r.deadline = now + kSecond;
    r.first_sent_ms = first_sent_ms;
    r.taken_over_ms = taken_over_ms;
    orders.TakeActions();
    orders.Begin(now, r, out);
    const auto actions = orders.TakeActions();
    return actions.empty() ? OrderAction{ReportUnknown{0}} : actions.front();
  }
  static inline const InstanceId self = InstanceId::FromName("solo");
  static inline const DataCentreId dc = DataCentreId::FromName("dc");
  TimePoint now{Duration(1'000)};
  Outbox out;
  Orders orders;
};

bool IsReject(const OrderAction& action, OrderRefusal reason) {
  const auto* reject = std::get_if<Reject>(&action);
  return reject != nullptr && reject->reason == reason;
}

}  // namespace

TEST_CASE("orders at one instance") {
  SingleInstance single;
  SECTION("after a takeover without the records only requests that prove to be new are accepted") {
    // Guards against running an order again whose intent was lost with its data centre.
    single.orders.OnRecordsLost(single.now, 1'000'000, single.out);
    CHECK(IsReject(single.Begin(1, "a"), OrderRefusal::kNotFresh));
    CHECK(IsReject(single.Begin(2, "a", 1'002'000), OrderRefusal::kNotFresh));
    CHECK(std::holds_alternative<MaySend>(single.Begin(3, "a", 1'002'001)));
    single.now += kOrderWindow;
    CHECK(std::holds_alternative<MaySend>(single.Begin(4, "b")));
  }
  SECTION("a scope that was taken over without its records requires the same proof") {
    CHECK(IsReject(single.Begin(1, "a", 1'001'000, 1'000'000), OrderRefusal::kNotFresh));
    CHECK(std::holds_alternative<MaySend>(single.Begin(2, "a", 1'002'001, 1'000'000)));
  }
  SECTION("memory is limited and records are not evicted") {
    for (int i = 0; i < 3; ++i) {
      CHECK(std::holds_alternative<MaySend>(single.Begin(10 + i, "k" + std::to_string(i))));
    }
    CHECK(IsReject(single.Begin(20, "k3"), OrderRefusal::kTableFull));
    single.now += kOrderWindow;
    single.orders.Tick(single.now, single.out);
    CHECK(std::holds_alternative<MaySend>(single.Begin(21, "k3")));
  }
  SECTION("no byte is sent after the deadline has passed") {
    CHECK(std::holds_alternative<MaySend>(single.Begin(1, "a")));
    CHECK_FALSE(single.orders.OnFirstByte(single.now + 2 * kSecond, 1, single.out));
    CHECK(IsReject(single.orders.TakeActions().at(0), OrderRefusal::kDeadline));
    CHECK(std::holds_alternative<MaySend>(single.Begin(2, "a")));
  }
  SECTION("an unknown outcome is reported and can be queried") {
    const OrderId id = MakeOrderId(AccountId::FromName("a"), "a");
    single.Begin(1, "a");
    REQUIRE(single.orders.OnFirstByte(single.now, 1, single.out));
    single.Begin(2, "a");
    CHECK(single.orders.Query(single.now, id)->in_progress);
    single.orders.OnUnknown(single.now, 1, single.out);
    CHECK(std::get<ReportUnknown>(single.orders.TakeActions().at(0)).request == 2);
    CHECK(std::holds_alternative<ReportUnknown>(single.Begin(3, "a")));
    CHECK(single.orders.Query(single.now, id)->state == OrderState::kUnknown);
  }
}

TEST_CASE("a planned transfer moves the records to the other data centre") {
  // Guards against an order that runs again in the data centre that receives the transfer.
  SingleInstance from;
  Outbox out;
  from.Begin(1, "a");
  REQUIRE(from.orders.OnFirstByte(from.now, 1, out));
  OrderSettings settings = SingleInstance::MakeSettings();
  settings.self = InstanceId::FromName("other");
  settings.data_centre = DataCentreId::FromName("dc2");
  Orders to(settings);
  const Delegation destination{settings.data_centre, 2, {{settings.self, {1}}}, settings.self};
  to.OnDelegation(from.now, 0, destination, {}, out);
  to.OnPermit(from.now, from.now + 3'600 * kSecond);
  from.orders.BeginTransfer(from.now, [&](std::uint64_t) { return destination; });
  CHECK(IsReject(from.Begin(2, "b"), OrderRefusal::kTransferring));
  from.orders.Tick(from.now, out);
  CHECK_FALSE(from.orders.transfer_done());
  from.orders.OnAnswer(from.now, 1, 201, "made", out);
  out.Take();
  from.orders.Tick(from.now, out);
  const auto messages = out.Take();
  REQUIRE(messages.size() == 1);
  to.OnMessage(from.now, SingleInstance::self, std::get<OrderTransfer>(messages[0].message), out);
  for (const Envelope& e : out.Take()) {
    from.orders.OnMessage(from.now, settings.self, std::get<OrderTransferAck>(e.message), out);
  }
  CHECK(from.orders.transfer_done());
  OrderRequest retry{9, MakeOrderId(AccountId::FromName("a"), "a")};
  retry.deadline = from.now + kSecond;
  to.Begin(from.now, retry, out);
  CHECK(std::get<ReplayOutcome>(to.TakeActions().at(0)).answer == "made");
}

}  // namespace dogwoodport
