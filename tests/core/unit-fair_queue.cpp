#include <catch2/catch.hpp>
#include <map>

#include "dogwoodport/core/fair_queue.h"

namespace dogwoodport {
namespace {

TimePoint At(std::int64_t ms) { return TimePoint(Duration(ms * 1'000)); }
const AccountId kA = AccountId::FromName("a");
const AccountId kB = AccountId::FromName("b");
const AccountId kC = AccountId::FromName("c");

}  // namespace

TEST_CASE("fair queue") {
  FairQueueSettings settings;
  settings.max_per_account = 40;
  settings.max_total = 60;
  FairQueue queue(settings);

  SECTION("accounts with waiting requests are served in proportion to their weights") {
    // Guards against an account that receives a larger share by sending more requests.
    queue.SetWeight(kA, 1);
    queue.SetWeight(kB, 2);
    queue.SetWeight(kC, 0.5);
    for (std::uint64_t i = 0; i < 20; ++i) {
      queue.Enqueue(At(0), kA, i, At(1'000));
      queue.Enqueue(At(0), kB, 100 + i, At(1'000));
      queue.Enqueue(At(0), kC, 200 + i, At(1'000));
    }
    std::map<std::uint64_t, int> served;
    for (int i = 0; i < 21; ++i) ++served[*queue.Dequeue(At(1)) / 100];
    CHECK(served[0] == 6);
    CHECK(served[1] == 12);
    CHECK(served[2] == 3);
  }
  SECTION("many requests of one account do not block another account") {
    for (std::uint64_t i = 0; i < 100; ++i) queue.Enqueue(At(0), kA, i, At(1'000));
    CHECK(queue.size() == 40);
    for (std::uint64_t i = 0; i < 30; ++i) queue.Enqueue(At(0), kB, 100 + i, At(1'000));
    const auto dropped = queue.TakeDropped();
    CHECK(dropped.size() == 70);
    CHECK(dropped.back().reason == QueueRefusal::kTotalFull);
    CHECK(dropped.back().request < 100);
    CHECK(dropped.back().retry_after.count() > 0);
    CHECK(queue.size() == 60);
  }
  SECTION("a request is dropped at its deadline or after the maximum wait") {
    queue.Enqueue(At(0), kA, 1, At(10));
    queue.Enqueue(At(0), kA, 2, At(1'000));
    queue.Enqueue(At(0), kA, 3, At(1'000));
    queue.Tick(At(10));
    CHECK(queue.TakeDropped().at(0).request == 1);
    CHECK(queue.Cancel(3));
    CHECK_FALSE(queue.Dequeue(At(100)).has_value());
    CHECK(queue.TakeDropped().at(0).request == 2);
    CHECK(queue.size() == 0);
  }
}

}  // namespace dogwoodport
