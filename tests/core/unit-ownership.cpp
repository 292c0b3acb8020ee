#include <catch2/catch.hpp>

#include "dogwoodport/core/ownership.h"

namespace dogwoodport {
namespace {

const DataCentreId kDataCentre = DataCentreId::FromName("howrah");
const ServiceId kService = ServiceId::FromName("khata");
const TargetId kTarget = TargetId::FromName("khata-1");

InstanceId Instance(int n) { return InstanceId::FromName("instance-" + std::to_string(n)); }

TimePoint At(std::int64_t ms) { return TimePoint{Duration{ms * 1000}}; }

Delegation Group(std::uint64_t offset, int size, std::uint64_t incarnation = 1) {
  Delegation delegation{kDataCentre, offset, {}, Instance(0)};
  for (int i = 0; i < size; ++i) {
    delegation.members.push_back({Instance(i), Incarnation{incarnation}});
  }
  return delegation;
}

RenewAck Ack(std::uint64_t request, Epoch sequence) {
  return {kDataCentre, Incarnation{1}, request, 1, sequence, {}, {}, {}};
}

ShardChange Commit(Epoch sequence, std::uint32_t index) {
  return {sequence, ChangeKind::kCommit, {kService, index}, 0, kTarget, sequence};
}

}  // namespace

TEST_CASE("settings and recovery budget", "[ownership]") {
  SECTION("recovery times match the documented budget") {
    const RecoveryBudget budget = ComputeRecoveryBudget({});
    CHECK(budget.target_lost == Duration{2'665'000});
    CHECK(budget.target_and_coordinator_lost == Duration{4'515'000});
  }
  SECTION("defaults are accepted") { CHECK_NOTHROW(OwnershipSettings{}.Validate()); }
  SECTION("settings that are unsafe or exceed the recovery budget are rejected") {
    // Guards against deployments whose recovery takes longer than 5 s, or that do not wait for
    // permits to expire.
    OwnershipSettings slow;
    slow.target_loss_timeout = Duration{2'000'000};
    CHECK_THROWS_WITH(slow.Validate(), Catch::Contains("5515 ms, more than 5000 ms"));
    OwnershipSettings unsafe;
    unsafe.wait_for_permits = false;
    CHECK_THROWS_AS(unsafe.Validate(), OwnershipSettingsError);
  }
}

TEST_CASE("permits", "[ownership]") {
  const OwnershipSettings settings;
  Permit permit(kDataCentre, Incarnation{1}, settings);
  permit.OnDelegation(Group(1, 3));
  Outbox out;
  permit.Tick(At(1000), out);
  REQUIRE(out.Take().size() == 3);

  SECTION("a majority of acknowledgements makes a permit valid from the time of the request") {
    // Guards against a permit counted from the response: it would outlast the time for which the
    // group waits for it.
    permit.OnMessage(At(1900), Instance(0), Ack(1, {}), out);
    CHECK_FALSE(permit.ValidAt(At(1900)));
    permit.OnMessage(At(1900), Instance(1), Ack(1, {}), out);
    CHECK(permit.ValidAt(At(2499)));
    CHECK_FALSE(permit.ValidAt(At(2500)));
  }
  SECTION("duplicate acknowledgements of a member count once") {
    permit.OnMessage(At(1010), Instance(0), Ack(1, {}), out);
    permit.OnMessage(At(1011), Instance(0), Ack(1, {}), out);
    CHECK_FALSE(permit.ValidAt(At(1011)));
  }
  SECTION("acknowledgements of non-members and restarted members do not count") {
    permit.OnMessage(At(1010), Instance(0), Ack(1, {}), out);
    permit.OnMessage(At(1010), Instance(7), Ack(1, {}), out);
    RenewAck restarted = Ack(1, {});
    restarted.incarnation = Incarnation{2};
    permit.OnMessage(At(1010), Instance(2), restarted, out);
    CHECK_FALSE(permit.ValidAt(At(1010)));
  }
  SECTION("acknowledgements count only after their table has been applied") {
    // Guards against a renewal by an instance that lacks a prepare recorded by the members.
    permit.OnMessage(At(1010), Instance(0), Ack(1, {1, 4}), out);
    permit.OnMessage(At(1010), Instance(1), Ack(1, {1, 4}), out);
    CHECK_FALSE(permit.ValidAt(At(1010)));
    permit.OnMessage(At(1020), Instance(1), TableReply{kDataCentre, {1, 4}, {}});
    CHECK(permit.ValidAt(At(1020)));
  }
  SECTION("acknowledgements of requests sent before a pause do not count") {
    permit.Drop();
    permit.OnMessage(At(1010), Instance(0), Ack(1, {}), out);
    permit.OnMessage(At(1010), Instance(1), Ack(1, {}), out);
    CHECK_FALSE(permit.ValidAt(At(1010)));
  }
}

TEST_CASE("members of a permit group", "[ownership]") {
  const OwnershipSettings settings;
  PermitGroup member(kDataCentre, Instance(1), Incarnation{1}, settings);
  REQUIRE(member.OnMessage(InstallRequest{kDataCentre, Group(1, 3), {1, 0}, {}}));
  Outbox out;
  const RenewRequest renew{kDataCentre, Incarnation{1}, 1, 1, {1, 0}};

  SECTION("the response to a renewal contains the missing changes") {
    REQUIRE(member.OnMessage(
        ReplicateRequest{kDataCentre, 1, {1, 0}, {Commit({1, 1}, 0), Commit({1, 2}, 1)}}));
    member.OnMessage(At(0), Instance(5), renew, out);
    const auto sent = out.Take();
    REQUIRE(sent.size() == 1);
    CHECK(std::get<RenewAck>(sent[0].message).changes.size() == 2);
    CHECK(member.Holders(At(1515)).size() == 1);
    CHECK(member.Holders(At(1516)).empty());
  }
  SECTION("changes after a gap are not recorded") {
    CHECK_FALSE(member.OnMessage(ReplicateRequest{kDataCentre, 1, {1, 5}, {Commit({1, 6}, 0)}}));
  }
  SECTION("after a takeover the old coordinator gets neither votes nor permits") {
    // Guards against two coordinators moving shards at the same time.
    member.OnMessage(Instance(2), TakeoverRequest{kDataCentre, Group(2, 3)}, out);
    CHECK(out.Take().size() == 1);
    CHECK_FALSE(member.OnMessage(ReplicateRequest{kDataCentre, 1, {1, 0}, {Commit({1, 1}, 0)}}));
    member.OnMessage(At(0), Instance(5), renew, out);
    CHECK(out.empty());
    CHECK_FALSE(member.OnMessage(InstallRequest{kDataCentre, Group(1, 3), {1, 9}, {}}));
  }
  SECTION("a restarted process has no vote under its previous incarnation") {
    PermitGroup restarted(kDataCentre, Instance(1), Incarnation{2}, settings);
    restarted.OnMessage(InstallRequest{kDataCentre, Group(1, 3), {1, 0}, {}});
    restarted.OnMessage(At(0), Instance(5), renew, out);
    CHECK(out.empty());
    CHECK(restarted.RecordedFor(1) == Epoch{});
  }
}

TEST_CASE("target leases", "[ownership]") {
  TargetLeases leases;
  const std::vector<std::pair<ShardId, Epoch>> shards = {{{kService, 0}, {1, 1}}};
  const GrantRequest reading = leases.Extend(At(1000), At(2500), kTarget, shards);
  CHECK(reading.grants.empty());
  REQUIRE(leases.OnReply(At(1100), {kTarget, reading.request, "", 50'000}) == true);

  SECTION("a lease expires before its bound regardless of when the request arrives") {
    // Guards against leases that are too long because a renewal is delayed or the clock of the
    // target is slow.
    const GrantRequest request = leases.Extend(At(1200), At(2600), kTarget, shards);
    REQUIRE(request.grants.size() == 1);
    CHECK(request.grants[0].expires_at_ms == 50'000 + 1'485);
  }
  SECTION("an outdated clock reading is renewed") {
    CHECK(leases.Extend(At(2200), At(3600), kTarget, shards).grants.empty());
  }
  SECTION("a response from another run of the target does not confirm a grant") {
    const GrantRequest request = leases.Extend(At(1200), At(2600), kTarget, shards);
    CHECK_FALSE(leases.OnReply(At(1300), {kTarget, request.request, "boot-2", 10}));
  }
}

TEST_CASE("placement", "[ownership]") {
  std::vector<PlacementTarget> targets;
  for (int i = 0; i < 15; ++i) targets.push_back({TargetId::FromName(std::to_string(i))});
  std::vector<PlacementShard> shards;
  for (std::uint32_t i = 0; i < 1024; ++i) shards.push_back({{kService, i}, 1, {}});
  Placement placement;
  const auto place = [&](std::int64_t ms) {
    const auto moves = placement.Plan(At(ms), targets, shards);
    for (const PlannedMove& move : moves) shards[move.shard.index].current = move.to;
    return moves.size();
  };
  REQUIRE(place(0) == 1024);

  SECTION("no target exceeds the load bound") {
    std::map<TargetId, int> load;
    for (const PlacementShard& shard : shards) ++load[shard.current];
    for (const auto& [target, count] : load) CHECK(count <= kLoadBound * 1024 / 15);
  }
  SECTION("the loss of a target moves only its own shards") {
    const auto lost = std::count_if(shards.begin(), shards.end(), [&](const PlacementShard& s) {
      return s.current == targets[3].id;
    });
    targets.erase(targets.begin() + 3);
    CHECK(place(100) == static_cast<std::size_t>(lost));
  }
  SECTION("only a persistent imbalance is corrected") {
    for (PlacementShard& shard : shards) shard.load = shard.current == targets[0].id ? 2 : 1;
    CHECK(place(100) == 0);
    CHECK(place(2200) > 0);
  }
  SECTION("moves for balance are rate-limited") {
    const TargetId returned = targets[3].id;
    for (PlacementShard& shard : shards) {
      if (shard.current == returned) shard.current = targets[4].id;
    }
    CHECK(place(100) <= kBalanceMovesPerSecond);
  }
}

TEST_CASE("hot keys", "[ownership]") {
  HotKeySketch sketch;
  for (std::uint64_t i = 1; i <= 20'000; ++i) {
    sketch.Add(i % 20 == 0 ? 7 : 1'000 + i);
  }
  CHECK(sketch.Top(1).front().id == 7);
  CHECK(sketch.Top(1).front().count > 900);

  HotKeyPlanner planner;
  const std::vector<LoadCount> hot = {{7, 50}, {8, 2}};
  const auto split = planner.Plan(At(0), 1000, hot, {});
  REQUIRE(split.size() == 1);
  CHECK((split[0].key_hash == 7 && split[0].split));
  // A key with a low load for a short time keeps its single-key shard.
  CHECK(planner.Plan(At(1000), 100'000, hot, {7}).empty());
  CHECK(planner.Plan(At(12'000), 100'000, hot, {7}).size() == 1);
}

TEST_CASE("a single-key shard takes its key out of the hash shard", "[ownership]") {
  ShardMap map;
  map.SetShardCount(kService, 16);
  const std::uint64_t key = HashKey("ledger-17");
  const ShardId base = map.Find(kService, key).shard;
  const ShardId own{kService, kFirstSingleKeyShard};
  map.Apply({{1, 1}, ChangeKind::kCommit, own, key, kTarget, {1, 1}});
  CHECK(map.Find(kService, key).shard == own);
  map.Apply({{1, 2}, ChangeKind::kDrop, own, key, {}, {}});
  CHECK(map.Find(kService, key).shard == base);
}

TEST_CASE("only the newest delegation's records change homes", "[ownership]") {
  // Guards against a delayed release by a replaced coordinator of a shard that its successor has
  // assigned.
  Ownership ownership(Instance(0), Incarnation{1}, DataCentreId::FromName("bowbazar"));
  const ShardId shard{kService, 0};
  const auto home = [&] { return ownership.homes().Home(shard).holder(); };
  Outbox out;
  ownership.OnDelegation(At(0), Group(1, 3), out);
  ownership.OnAssignments(At(0), {kDataCentre, 1, {{shard, kTarget, {1, 1}}}});
  REQUIRE(home() == kDataCentre);
  ownership.OnDelegation(At(0), Group(2, 3), out);
  ownership.OnAssignments(At(0), {kDataCentre, 1, {{shard, {}, {1, 9}}}});
  CHECK(home() == kDataCentre);
  ownership.OnAssignments(At(0), {kDataCentre, 2, {{shard, {}, {2, 1}}}});
  CHECK(home() == DataCentreId{});
}

}  // namespace dogwoodport
