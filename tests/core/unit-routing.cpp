#include <catch2/catch.hpp>

#include "dogwoodport/core/routing.h"

namespace dogwoodport {
namespace {

const ServiceId kProofs = ServiceId::FromName("proofs");
const RouteId kRoute = RouteId::FromName("proofs");
const DataCentreId kHere = DataCentreId::FromName("here");
const DataCentreId kThere = DataCentreId::FromName("there");
const InstanceId kSelf = InstanceId::FromName("self");
const InstanceId kOther = InstanceId::FromName("other");

TargetId Target(int i) { return TargetId::FromName("t" + std::to_string(i)); }

/// The only instance of a data centre, which therefore has all slots.
class Fixture {
 public:
  explicit Fixture(int targets = 4, std::uint32_t slots = 4,
                   SelectionPolicy policy = EvidencePolicy{})
      : routing_({.self = kSelf,
                  .incarnation = Incarnation{1},
                  .data_centre = kHere,
                  .policy = policy}) {
    Config config;
    config.data_centres = {{kHere, "here", 0.5}, {kThere, "there", 0.5}};
    config.services.push_back({.id = kProofs, .name = "proofs"});
    for (int i = 0; i < targets; ++i) {
      TargetConfig target{.id = Target(i), .service = kProofs, .data_centre = kHere};
      target.slots = slots;
      config.targets.push_back(target);
    }
    routing_.OnConfig(now_, config);
    Delegate(kHere, kSelf);
    Delegate(kThere, kOther);
  }

  RouteRequest Request() const {
    return {.service = kProofs,
            .route = kRoute,
            .repeatable = true,
            .arrived = now_,
            .deadline = now_ + Duration{5'000'000}};
  }
  Choice Choose() { return routing_.Choose(now_, Request(), out_); }
  Chosen ChooseTarget() { return std::get<Chosen>(Choose()); }

  /// Sends one request. The response takes `us` on `slow` targets and 10 ms on the others.
  TargetId Serve(std::initializer_list<int> slow = {}, std::int64_t us = 100'000) {
    const Chosen chosen = ChooseTarget();
    const bool is_slow =
        std::any_of(slow.begin(), slow.end(), [&](int i) { return Target(i) == chosen.target; });
    routing_.OnRequestStarted(now_, chosen.attempt);
    RunTicks(is_slow ? us : 10'000);
    routing_.OnRequestFinished(now_, chosen.attempt, {});
    return chosen.target;
  }
  /// Advances the time without a tick.
  void Advance(std::int64_t us) { now_ += Duration{us}; }
  void RunTicks(std::int64_t us) {
    for (const TimePoint end = now_ + Duration{us}; now_ < end;) {
      now_ += Duration{10'000};
      routing_.Tick(now_, out_);
    }
  }
  void Probe(int target, HealthReport report) {
    routing_.OnHealth(now_, Target(target), report, out_);
  }
  const TargetRow& Row(int i) const {
    return routing_.targets().rows()[static_cast<std::size_t>(i)];
  }

  /// Leaves two attempts on the target without a response until it is considered slow.
  void SlowDown(int i) {
    RouteRequest request = Request();
    request.owner = Target(i);
    const Choice first = routing_.Choose(now_, request, out_);
    const Choice second = routing_.Choose(now_, request, out_);
    RunTicks(150'000);
    for (const Choice& choice : {first, second}) {
      if (const auto* chosen = std::get_if<Chosen>(&choice)) {
        routing_.OnRequestFinished(now_, chosen->attempt, {});
      }
    }
  }
  void Recover(int i) {
    for (int n = 0; n < 200 && Row(i).slow >= SlowState::kSlow; ++n) {
      RunTicks(100'000);
      Probe(i, {.reachable = true, .boot = 1, .latency = Duration{6'000}});
    }
  }

  Routing& routing() { return routing_; }
  Outbox& out() { return out_; }
  TimePoint now() const { return now_; }

 private:
  void Delegate(DataCentreId data_centre, InstanceId member) {
    const Delegation delegation{.data_centre = data_centre,
                                .offset = 1,
                                .members = {{member, Incarnation{1}}},
                                .coordinator = member};
    routing_.OnDelegation(now_, delegation, DelegationHistory::kFirst);
  }

  TimePoint now_{Duration{10'000'000}};
  Routing routing_;
  Outbox out_;
};

int CountChoices(Fixture& fixture, int target, int n, std::initializer_list<int> slow = {}) {
  int count = 0;
  for (int i = 0; i < n; ++i) count += fixture.Serve(slow) == Target(target) ? 1 : 0;
  return count;
}

void ReportOther(Fixture& fixture, std::uint32_t usable, std::uint32_t in_flight) {
  const DataCentreLoad load{
      .data_centre = kThere, .round_trip_us = 2'000, .services = {{kProofs, usable, in_flight, 0}}};
  fixture.routing().OnMessage(fixture.now(), kOther, load, fixture.out());
}

}  // namespace

TEST_CASE("a frozen target") {
  Fixture fixture;
  const Chosen chosen = fixture.ChooseTarget();
  SECTION("receives nothing after a new connection timed out, and ramps up after a probe") {
    // Guards against sending more requests to a target that accepts connections and never responds.
    fixture.routing().OnRequestTimedOut(fixture.now(), chosen.attempt, true);
    const auto index = *fixture.routing().targets().IndexOf(chosen.target);
    const int frozen = static_cast<int>(index);
    CHECK(CountChoices(fixture, frozen, 50) == 0);
    fixture.Probe(frozen, {.reachable = true, .boot = 1, .latency = Duration{6'000}});
    CHECK(fixture.Row(frozen).ramp.Limit(4) == 1);
  }
  SECTION("is not considered down when an old connection times out, but verified on a new one") {
    // Guards against ejecting a healthy target because one old connection timed out.
    fixture.routing().OnRequestTimedOut(fixture.now(), chosen.attempt, false);
    CHECK_FALSE(
        fixture.Row(static_cast<int>(*fixture.routing().targets().IndexOf(chosen.target))).down);
    RouteRequest request = fixture.Request();
    request.owner = chosen.target;
    const Choice choice = fixture.routing().Choose(fixture.now(), request, fixture.out());
    CHECK(std::get<Chosen>(choice).new_connection);
    fixture.routing().OnConnectionFailed(fixture.now(), chosen.target);
    const Choice next = fixture.routing().Choose(fixture.now(), request, fixture.out());
    CHECK(std::holds_alternative<Wait>(next));
  }
  SECTION("is unaffected by a connection lost with a quarantined request") {
    // Guards against ejecting healthy targets because of a request that crashes them.
    const AttemptResult loss{.outcome = Outcome::kConnectionLost, .quarantined = true};
    fixture.routing().OnRequestFinished(fixture.now(), chosen.attempt, loss);
    const TargetRow& row =
        fixture.routing().targets().rows()[*fixture.routing().targets().IndexOf(chosen.target)];
    CHECK(row.error_rate == 0);
    CHECK_FALSE(row.verify_connection);
  }
}

TEST_CASE("a target that turns cold without notice ramps up") {
  struct Row {
    const char* name;
    HealthReport report;
  };
  const auto row = GENERATE(values<Row>({
      {"another boot identifier", {.reachable = true, .boot = 2, .latency = Duration{6'000}}},
      {"the reported state is cold", {.reachable = true, .state = HealthState::kCold, .boot = 1}},
  }));
  INFO(row.name);
  Fixture fixture(1, 6);
  fixture.Probe(0, {.reachable = true, .boot = 1, .latency = Duration{6'000}});
  CHECK(fixture.Row(0).ramp.Limit(6) == 6);
  fixture.Probe(0, row.report);
  // Guards against full load on a cold target, which fails under it.
  std::vector<std::uint32_t> limits;
  for (int i = 0; i < 100 && fixture.Row(0).ramp.ramping(); ++i) {
    const std::uint32_t limit = fixture.Row(0).ramp.Limit(6);
    if (limits.empty() || limits.back() != limit) limits.push_back(limit);
    fixture.Serve();
  }
  CHECK(limits == std::vector<std::uint32_t>{1, 2, 4});
  CHECK(fixture.Row(0).ramp.Limit(6) == 6);
}

TEST_CASE("a request is not sent again to a target that ramps up") {
  // Guards against a retry at the target that has just refused the request.
  Fixture fixture(2, 6);
  for (int i = 0; i < 2; ++i) fixture.Probe(i, {.reachable = true, .boot = 1});
  fixture.Probe(0, {.reachable = true, .state = HealthState::kCold, .boot = 1});
  REQUIRE(fixture.Row(0).ramp.ramping());
  fixture.RunTicks(100'000);
  RouteRequest request = fixture.Request();
  const TargetId tried[] = {Target(0)};
  request.excluded = tried;
  const Choice choice = fixture.routing().Choose(fixture.now(), request, fixture.out());
  REQUIRE(std::holds_alternative<Chosen>(choice));
  CHECK(std::get<Chosen>(choice).target == Target(1));
  // The first request that has not tried the target still warms it up.
  CHECK(fixture.ChooseTarget().target == Target(0));
}

TEST_CASE("slow responses of a cold target do not advance the ramp") {
  // Guards against a ramp that counts responses regardless of their latency.
  ColdStartRamp ramp;
  TimePoint now{Duration{1'000'000}};
  ramp.Start(now, 1);
  for (int i = 0; i < 20; ++i) ramp.OnSuccess(now += Duration{100'000}, 50'000, 10'000, 6);
  CHECK(ramp.Limit(6) == 1);
  for (int i = 0; i < 3; ++i) ramp.OnSuccess(now, 10'000, 10'000, 6);
  CHECK(ramp.Limit(6) == 1);
  ramp.OnSuccess(now, 10'000, 10'000, 6);
  CHECK(ramp.Limit(6) == 2);
  ramp.OnFailure(now);
  CHECK(ramp.Limit(6) == 1);
}

TEST_CASE("a slowed target") {
  Fixture fixture;
  CountChoices(fixture, 0, 100);
  SECTION("is avoided after a few requests, and its shards are to be moved") {
    // Guards against detecting a slowdown only by load reports, which arrive late.
    CHECK(CountChoices(fixture, 0, 100, {0}) <= 6);
    fixture.SlowDown(0);
    CHECK(fixture.routing().TargetsToRelieve() == std::vector<TargetId>{Target(0)});
  }
  SECTION("is detected by attempts without a response alone") {
    RouteRequest request = fixture.Request();
    request.owner = Target(1);
    fixture.routing().Choose(fixture.now(), request, fixture.out());
    fixture.routing().Choose(fixture.now(), request, fixture.out());
    fixture.RunTicks(100'000);
    CHECK(fixture.Row(1).slow >= SlowState::kSlow);
  }
  SECTION("returns after fast probes, and is ejected for longer when it flaps") {
    fixture.SlowDown(0);
    const Duration first = fixture.Row(0).ejection;
    fixture.Recover(0);
    CHECK(fixture.Row(0).slow == SlowState::kNormal);
    CHECK(fixture.Row(0).ramp.Limit(4) == 1);
    fixture.SlowDown(0);
    CHECK(fixture.Row(0).ejection == first * 2);
  }
  SECTION("is not ejected if that would exceed 30% of the targets of its service") {
    for (int i = 0; i < 4; ++i) fixture.SlowDown(i);
    int ejected = 0;
    for (int i = 0; i < 4; ++i) ejected += fixture.Row(i).slow == SlowState::kEjected ? 1 : 0;
    CHECK(ejected == 1);
  }
}

TEST_CASE("a service with response times below a millisecond is not considered slow") {
  // Guards against considering the only target slow because of scheduling jitter, which would make
  // its requests wait.
  Fixture f(1);
  for (int i = 0; i < 200; ++i) {
    const Chosen chosen = f.ChooseTarget();
    f.routing().OnRequestStarted(f.now(), chosen.attempt);
    f.Advance(i % 40 >= 37 ? 700 : 100);
    f.routing().OnRequestFinished(f.now(), chosen.attempt, {});
  }
  CHECK(f.Row(0).slow == SlowState::kNormal);
}

TEST_CASE("targets that slowed down together twice are at risk when one of them slows down again") {
  // Guards against full load on the other targets of a power feed until each of them is slow.
  Fixture fixture(8);
  CountChoices(fixture, 0, 100);
  for (int event = 0; event < 2; ++event) {
    fixture.SlowDown(0);
    fixture.SlowDown(1);
    fixture.Recover(0);
    fixture.Recover(1);
    fixture.RunTicks(12'000'000);
  }
  CHECK(fixture.routing().detector().GroupConfidence(0, 1) >= 0.6);
  CHECK(fixture.routing().detector().GroupConfidence(0, 2) == 0);
  fixture.SlowDown(0);
  CHECK(fixture.Row(1).slow == SlowState::kAtRisk);
  CHECK(fixture.Row(2).slow == SlowState::kNormal);
  CHECK(CountChoices(fixture, 1, 20) == 0);
}

TEST_CASE("load reports") {
  Fixture fixture(2);
  const auto report = [&](int i, std::uint32_t n) {
    fixture.routing().OnLoadReport(fixture.now(), Target(i), n, Duration{0});
  };
  SECTION("break ties") {
    report(0, 3);
    report(1, 0);
    CHECK(fixture.ChooseTarget().target == Target(1));
  }
  SECTION("are distrusted when they contradict the instance's own requests in flight") {
    // Guards against preferring a target that reports no load although it is busy.
    RouteRequest request = fixture.Request();
    request.owner = Target(0);
    fixture.routing().Choose(fixture.now(), request, fixture.out());
    fixture.RunTicks(10'000);
    report(0, 0);
    CHECK(fixture.Row(0).report.distrusted_until > fixture.now());
    CHECK(fixture.ChooseTarget().target == Target(1));
  }
}

TEST_CASE("targets and data centres that must receive no new requests") {
  Fixture fixture;
  SECTION("a draining target receives no new requests and finishes those in progress") {
    const Chosen running = fixture.ChooseTarget();
    fixture.routing().OnTargetState(fixture.now(), running.target, true);
    for (int i = 0; i < 12; ++i) CHECK(fixture.ChooseTarget().target != running.target);
    CHECK_FALSE(
        fixture.routing().OnRequestFinished(fixture.now(), running.attempt, {}).has_value());
  }
  SECTION("a target that sheds load receives no requests for the time that it specifies") {
    const Chosen chosen = fixture.ChooseTarget();
    const AttemptResult shed{.outcome = Outcome::kShed, .retry_after = Duration{200'000}};
    fixture.routing().OnRequestFinished(fixture.now(), chosen.attempt, shed);
    for (int i = 0; i < 12; ++i) CHECK(fixture.ChooseTarget().target != chosen.target);
  }
  SECTION("a withdrawn data centre forwards requests, and ramps up when it returns") {
    ReportOther(fixture, 16, 0);
    fixture.routing().OnDataCentreState(fixture.now(), kHere, false);
    CHECK(std::get<SpillOver>(fixture.Choose()).data_centre == kThere);
    RouteRequest forwarded = fixture.Request();
    forwarded.forwarded = true;
    const Choice refused = fixture.routing().Choose(fixture.now(), forwarded, fixture.out());
    CHECK(std::get<Refused>(refused).reason == RefusalReason::kWithdrawn);
    fixture.routing().OnDataCentreState(fixture.now(), kHere, true);
    for (int i = 0; i < 4; ++i) CHECK(fixture.Row(i).ramp.Limit(4) == 1);
  }
}

TEST_CASE("spill-over") {
  Fixture fixture(1, 4);
  for (int i = 0; i < 4; ++i) fixture.ChooseTarget();
  fixture.RunTicks(10'000);
  SECTION("goes to a data centre with free slots before a queue forms") {
    ReportOther(fixture, 16, 4);
    CHECK(std::holds_alternative<SpillOver>(fixture.Choose()));
  }
  SECTION("waits when the other data centre is full, withdrawn or sends no reports") {
    const int row = GENERATE(0, 1, 2);
    ReportOther(fixture, 16, row == 0 ? 16 : 4);
    if (row == 1) fixture.routing().OnDataCentreState(fixture.now(), kThere, false);
    if (row == 2) fixture.RunTicks(1'100'000);
    INFO(row);
    CHECK(std::holds_alternative<Wait>(fixture.Choose()));
  }
}

TEST_CASE("hedging") {
  Fixture fixture;
  for (int i = 0; i < 400; ++i) fixture.Serve();
  const Chosen first = fixture.ChooseTarget();
  CHECK(fixture.routing().HedgeAt(first.attempt) > fixture.now() + Duration{5'000});
  const auto second = fixture.routing().Hedge(fixture.now(), first.attempt);
  REQUIRE(second);
  CHECK(second->target != first.target);
  SECTION("the losing attempt is returned for cancellation exactly once") {
    CHECK(fixture.routing().OnRequestFinished(fixture.now(), second->attempt, {}) == first.attempt);
    const AttemptResult cancelled{.outcome = Outcome::kCancelled};
    CHECK_FALSE(fixture.routing().OnRequestFinished(fixture.now(), first.attempt, cancelled));
  }
  SECTION("a request is hedged only once") {
    CHECK_FALSE(fixture.routing().Hedge(fixture.now(), first.attempt));
    CHECK_FALSE(fixture.routing().Hedge(fixture.now(), second->attempt));
  }
  SECTION("the budget limits the extra requests") {
    // Guards against a retry storm when all targets are slow.
    int hedges = 1;
    for (int i = 0; i < 1000; ++i) {
      const Chosen chosen = fixture.ChooseTarget();
      if (const auto hedge = fixture.routing().Hedge(fixture.now(), chosen.attempt)) {
        ++hedges;
        fixture.routing().OnRequestFinished(fixture.now(), hedge->attempt,
                                            {.outcome = Outcome::kCancelled});
      }
      fixture.routing().OnRequestFinished(fixture.now(), chosen.attempt, {});
    }
    CHECK(hedges <= (1 + 400 + 1000) * 0.05);
    CHECK(hedges >= 50);
  }
}

TEST_CASE("the baseline policies spread requests through the same interface") {
  const auto policy = GENERATE(values<SelectionPolicy>({RoundRobin{}, LeastInFlight{}}));
  Fixture fixture(4, 4, policy);
  for (int i = 0; i < 4; ++i) fixture.ChooseTarget();
  for (int i = 0; i < 4; ++i) CHECK(fixture.Row(i).attempts.size() == 1);
}

}  // namespace dogwoodport
