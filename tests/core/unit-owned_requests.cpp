#include <catch2/catch.hpp>

#include "dogwoodport/core/owned_requests.h"

namespace dogwoodport {
namespace {

constexpr Duration kMs{1'000};

struct Fixture {
  Fixture() {
    table.SetShardCount(service, 4);
    Apply(ChangeKind::kPrepare, 1);
    Apply(ChangeKind::kCommit, 2);
  }

  void Apply(ChangeKind kind, std::uint64_t counter) {
    ShardChange change;
    change.sequence = Epoch{1, counter};
    change.kind = kind;
    change.shard = shard;
    change.target = target;
    change.epoch = Epoch{1, kind == ChangeKind::kPrepare ? counter : counter - 1};
    table.Apply(change);
  }

  ServiceId service = ServiceId::FromName("khata");
  ShardId shard{service, 2};
  TargetId target = TargetId::FromName("khata-1");
  ShardMap table;
  OwnedRequests requests;
  TimePoint now{Duration{1'000'000}};
};

}  // namespace

TEST_CASE("acknowledgement of a move") {
  Fixture f;
  const Epoch owner{1, 1};
  REQUIRE(f.requests.Acknowledged(f.now, f.table) == Epoch{1, 2});

  SECTION("is not delayed when no request runs") {
    f.Apply(ChangeKind::kPrepare, 3);
    CHECK(f.requests.Acknowledged(f.now, f.table) == Epoch{1, 3});
  }
  SECTION("waits for the response of a request at the old owner") {
    // Guards against granting the shard to a new owner while the old one runs a request.
    f.requests.Start(f.shard, owner);
    f.Apply(ChangeKind::kPrepare, 3);
    CHECK(f.requests.Acknowledged(f.now, f.table) == Epoch{1, 2});
    f.requests.End(f.shard, owner, f.now);
    CHECK(f.requests.Acknowledged(f.now, f.table) == Epoch{1, 3});
  }
  SECTION("waits for the deadline of a request without a response") {
    f.requests.Start(f.shard, owner);
    f.requests.End(f.shard, owner, f.now + 100 * kMs);
    f.Apply(ChangeKind::kPrepare, 3);
    CHECK(f.requests.Acknowledged(f.now + 99 * kMs, f.table) == Epoch{1, 2});
    CHECK(f.requests.Acknowledged(f.now + 100 * kMs, f.table) == Epoch{1, 3});
  }
  SECTION("is not delayed by a request under the current assignment") {
    f.requests.Start(f.shard, owner);
    CHECK(f.requests.Acknowledged(f.now, f.table) == Epoch{1, 2});
  }
}

}  // namespace dogwoodport
