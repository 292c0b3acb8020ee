#include <catch2/catch.hpp>

#include "dogwoodport/fleet/state/feed_reader.h"
#include "fleet/fleet_fakes.h"

namespace dogwoodport::fleet {
namespace {

/// A reader on a store in memory; the loop runs in real time for a few milliseconds at a time.
struct World {
  explicit World(FeedSettings settings)
      : reader(
            loop, store, log, settings,
            [this](const std::vector<StoreRecord>& records, bool complete, bool was_away) {
              for (const StoreRecord& it : records) keys.push_back(it.key);
              completes += complete ? 1 : 0;
              last_was_away = was_away;
            },
            [](std::uint64_t, std::uint64_t, bool) {}) {}

  void Run(int ms) {
    loop.RunAfter(std::chrono::milliseconds(ms), [this] { loop.Stop(); });
    loop.Run([this] { store.Deliver(); });
  }

  /// Runs until `done` holds, at most ten seconds; the speed of the machine does not matter.
  bool RunUntil(const std::function<bool()>& done) {
    for (int i = 0; i < 1'000 && !done(); ++i) Run(10);
    return done();
  }

  net::EventLoop loop;
  MemoryStore store;
  CountingLog log;
  std::vector<std::string> keys;
  int completes = 0;
  bool last_was_away = false;
  FeedReader reader;
};

FeedSettings Settings() {
  return {Feed::kTargets, "targets", Duration{0}, Duration{5'000}, Duration{1'000'000}};
}

TEST_CASE("a reader starts with the newest records and goes on from there", "[feed_reader]") {
  World world(Settings());
  world.store.Put(Feed::kTargets, "a", "1");
  world.store.Put(Feed::kTargets, "a", "2");
  world.reader.Start();
  REQUIRE(world.RunUntil([&] { return world.keys.size() == 1; }));
  const TimePoint written_at = world.loop.now();
  world.store.Put(Feed::kTargets, "b", "3");
  REQUIRE(world.RunUntil([&] { return world.keys.size() == 2; }));
  CHECK(world.keys == std::vector<std::string>{"a", "b"});
  CHECK(world.completes == 1);
  CHECK(world.reader.verified_at() >= written_at);
}

TEST_CASE("an extra pause spares the store, except for the reader that others rely on",
          "[feed_reader]") {
  const bool relied_on = GENERATE(false, true);
  World world(Settings());
  world.reader.SetAlwaysReads(relied_on);
  world.reader.SetExtraPause(std::chrono::hours(1));
  world.reader.Start();
  REQUIRE(world.RunUntil([&] { return world.completes == 1; }));
  if (relied_on) {
    CHECK(world.RunUntil([&] { return world.store.calls() >= 5; }));
  } else {
    world.Run(100);
    CHECK(world.store.calls() == 1);
  }
}

TEST_CASE("a trimmed feed is read anew", "[feed_reader]") {
  World world(Settings());
  world.store.Put(Feed::kTargets, "a", "1");
  world.reader.Start();
  REQUIRE(world.RunUntil([&] { return world.completes == 1; }));
  world.store.Put(Feed::kTargets, "b", "2");
  world.store.Trim(Feed::kTargets);
  REQUIRE(world.RunUntil([&] { return world.completes == 2; }));
  CHECK(world.keys.back() == "b");
}

TEST_CASE("what the coordinator reads spares own reads", "[feed_reader]") {
  World world(Settings());
  world.reader.Start();
  REQUIRE(world.RunUntil([&] { return world.reader.loaded(); }));
  world.reader.AcceptPush(0, 1, world.loop.now(), false, {{0, "a", "1"}});
  const std::uint64_t calls = world.store.calls();
  world.Run(50);
  CHECK(world.store.calls() == calls);
  CHECK(world.keys == std::vector<std::string>{"a"});
  SECTION("a repeated part changes nothing") {
    world.reader.AcceptPush(0, 1, world.loop.now(), false, {{0, "a", "1"}});
    CHECK(world.keys.size() == 1);
  }
  SECTION("a part behind a gap is not taken") {
    world.reader.AcceptPush(5, 6, world.loop.now(), false, {{5, "f", "1"}});
    CHECK(world.keys.size() == 1);
    CHECK(world.reader.next_offset() == 1);
  }
  SECTION("a silent coordinator is replaced by own reads") {
    world.store.Put(Feed::kTargets, "a", "1");
    world.store.Put(Feed::kTargets, "b", "1");
    CHECK(world.RunUntil([&] { return world.keys.back() == "b"; }));
  }
}

// Without the reset of the failure by a push, an entry that was removed long after a short outage
// counted as doubtful, and its target got requests for two more seconds.
TEST_CASE("a push ends an outage that this instance saw", "[feed_reader]") {
  World world(Settings());
  world.store.Put(Feed::kTargets, "a", "1");
  world.reader.Start();
  REQUIRE(world.RunUntil([&] { return world.reader.loaded(); }));
  world.store.mode = MemoryStore::Mode::kRefuses;
  world.Run(700);
  CHECK(world.log.events["store_lost"] == 1);
  const auto pushed = GENERATE(true, false);
  if (pushed) world.reader.AcceptPush(1, 1, world.loop.now(), false, {});
  world.store.mode = MemoryStore::Mode::kWorks;
  world.store.Put(Feed::kTargets, "a", std::nullopt);
  REQUIRE(world.RunUntil([&] { return world.keys.size() == 2; }));
  CHECK(world.last_was_away == !pushed);
}

}  // namespace
}  // namespace dogwoodport::fleet
