#include <catch2/catch.hpp>

#include "dogwoodport/core/membership.h"

namespace dogwoodport {
namespace {

using std::chrono::milliseconds;

const DataCentreId kHowrah = DataCentreId::FromName("howrah");
const DataCentreId kBarasat = DataCentreId::FromName("barasat");
const InstanceId kSelf{1};
const InstanceId kOther{2};
const InstanceId kRemote{9};

struct Fixture {
  Fixture() : membership({kSelf, Incarnation{1}, kHowrah}, TimePoint{}) {
    membership.SetStatus(1, true, false);
  }

  /// Ticks every 50 ms until `until`.
  void TickUntil(milliseconds until) {
    while (now < TimePoint{until}) {
      now += milliseconds(50);
      membership.Tick(now, out);
    }
  }

  void ReceiveHeartbeat(InstanceId from, std::uint64_t incarnation, std::uint64_t sequence,
                        bool leaving = false) {
    const Heartbeat beat{Incarnation{incarnation}, kHowrah, sequence, 1, true, leaving};
    membership.OnMessage(now, from, beat, out);
  }

  void Coordinate() {
    const Member self{kSelf, Incarnation{1}};
    membership.SetCoordinators(
        {{kHowrah, {kHowrah, 4, {self}, kSelf}}, {kBarasat, {kBarasat, 5, {{kRemote}}, kRemote}}});
  }

  /// Takes all sent messages and returns the number of heartbeats to `to` among them.
  int TakeHeartbeatsTo(InstanceId to) {
    int count = 0;
    for (const Envelope& e : out.Take()) {
      count += e.to == to && std::holds_alternative<Heartbeat>(e.message) ? 1 : 0;
    }
    return count;
  }

  TimePoint now;
  Outbox out;
  Membership membership;
};

}  // namespace

TEST_CASE("an instance is suspect after 600 ms without heartbeats and dead after 1 s") {
  Fixture run;
  run.ReceiveHeartbeat(kOther, 1, 1);
  struct Row {
    int after_ms;
    Liveness liveness;
  };
  const auto row = GENERATE(values<Row>({{550, Liveness::kAlive},
                                         {600, Liveness::kSuspect},
                                         {950, Liveness::kSuspect},
                                         {1000, Liveness::kDead}}));
  run.TickUntil(milliseconds(row.after_ms));
  CHECK(run.membership.liveness(run.now, kOther) == row.liveness);
  CHECK(run.membership.IsUsable(run.now, kOther) == (row.liveness != Liveness::kDead));
}

TEST_CASE("delayed heartbeats and those of an earlier process are ignored") {
  // Guards against a dead process that appears alive because the network delivers old heartbeats.
  Fixture run;
  run.ReceiveHeartbeat(kOther, 2, 7);
  run.TickUntil(milliseconds(1000));
  run.ReceiveHeartbeat(kOther, 2, 6);
  run.ReceiveHeartbeat(kOther, 1, 50);
  CHECK(run.membership.liveness(run.now, kOther) == Liveness::kDead);
  SECTION("a restarted process is a new member") {
    run.ReceiveHeartbeat(kOther, 3, 1);
    CHECK(run.membership.liveness(run.now, kOther) == Liveness::kAlive);
    CHECK(run.membership.Find(kOther)->first_heartbeat == run.now);
  }
}

TEST_CASE("the platform's list lags behind") {
  Fixture run;
  run.TickUntil(milliseconds(100));
  run.ReceiveHeartbeat(kOther, 1, 1);
  SECTION("an instance that is not listed yet is usable") {
    run.membership.SetPlatformList(run.now, {});
    CHECK(run.membership.IsUsable(run.now, kOther));
  }
  SECTION("an instance that is listed as leaving is not usable until it restarts") {
    run.membership.SetPlatformList(run.now, {{kOther, kHowrah, true}});
    CHECK_FALSE(run.membership.IsUsable(run.now, kOther));
    run.TickUntil(milliseconds(300));
    run.membership.SetPlatformList(run.now, {{kOther, kHowrah, true}});
    run.ReceiveHeartbeat(kOther, 2, 1);
    CHECK(run.membership.IsUsable(run.now, kOther));
  }
  SECTION("an instance that reports that it is leaving is not usable") {
    run.ReceiveHeartbeat(kOther, 1, 2, true);
    CHECK_FALSE(run.membership.IsUsable(run.now, kOther));
  }
  SECTION("an instance that is listed as live is not usable without heartbeats") {
    run.membership.SetPlatformList(run.now, {{InstanceId{3}, kHowrah, false}});
    CHECK_FALSE(run.membership.IsUsable(run.now, InstanceId{3}));
  }
}

TEST_CASE("a gap between ticks is detected as a pause") {
  Fixture run;
  run.TickUntil(milliseconds(1000));
  run.ReceiveHeartbeat(kOther, 1, 1);
  CHECK_FALSE(run.membership.TakePause());
  run.now += milliseconds(3000);
  run.membership.Tick(run.now, run.out);
  CHECK(run.membership.TakePause());
  CHECK_FALSE(run.membership.TakePause());
  // Guards against a resumed process that treats all others as dead.
  CHECK(run.membership.liveness(run.now, kOther) == Liveness::kAlive);
}

TEST_CASE("only coordinators send heartbeats to other data centres") {
  Fixture run;
  run.membership.SetPlatformList(run.now, {{kOther, kHowrah}, {kRemote, kBarasat}});
  SECTION("member") {
    run.TickUntil(milliseconds(1000));
    CHECK(run.TakeHeartbeatsTo(kRemote) == 0);
  }
  SECTION("coordinator") {
    run.Coordinate();
    run.TickUntil(milliseconds(1000));
    CHECK(run.TakeHeartbeatsTo(kRemote) == 5);
  }
  SECTION("coordinator of an earlier incarnation") {
    // Guards against a restarted process that acts under the delegation of its earlier incarnation.
    Membership restarted({kSelf, Incarnation{2}, kHowrah}, run.now);
    restarted.SetCoordinators({{kHowrah, {kHowrah, 4, {{kSelf, Incarnation{1}}}, kSelf}}});
    CHECK_FALSE(restarted.is_coordinator());
  }
}

TEST_CASE("views of the coordinators list the members of other data centres") {
  Fixture run;
  run.Coordinate();
  run.ReceiveHeartbeat(kOther, 1, 1);
  run.out.Take();
  const MemberSummary remote{kRemote, Incarnation{1}, true};
  run.membership.OnMessage(run.now, kRemote, DataCentreView{kBarasat, 5, 1, {remote}}, run.out);
  CHECK(run.membership.UsableMembers(run.now, kBarasat) == std::vector{remote});
  SECTION("the coordinator forwards a view once until it changes") {
    CHECK(run.out.Take().size() == 1);
    run.membership.OnMessage(run.now, kRemote, DataCentreView{kBarasat, 5, 2, {remote}}, run.out);
    CHECK(run.out.Take().empty());
    run.membership.OnMessage(run.now, kRemote, DataCentreView{kBarasat, 5, 3, {}}, run.out);
    CHECK(run.out.Take().size() == 1);
  }
  SECTION("a view of a replaced coordinator is ignored") {
    run.membership.OnMessage(run.now, kRemote, DataCentreView{kBarasat, 6, 1, {}}, run.out);
    run.membership.OnMessage(run.now, kOther, DataCentreView{kBarasat, 5, 9, {remote}}, run.out);
    CHECK(run.membership.UsableMembers(run.now, kBarasat).empty());
  }
}

}  // namespace dogwoodport
