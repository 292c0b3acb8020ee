#include <catch2/catch.hpp>

#include "dogwoodport/fleet/state/feed_reader.h"
#include "dogwoodport/fleet/state/heartbeat_evidence.h"
#include "fleet/fleet_fakes.h"

namespace dogwoodport::fleet {
namespace {

/// A reader connected to an in-memory store. The loop runs in real time for a few milliseconds at a
/// time.
struct FeedReaderFixture {
  explicit FeedReaderFixture(FeedSettings settings)
      : reader(
            loop, store, log, settings,
            [this](const FeedUpdate& update) {
              for (const StoreRecord& it : update.records) keys.push_back(it.key);
              complete_reads += update.complete ? 1 : 0;
              last_was_unavailable = update.was_unavailable;
            },
            [](std::uint64_t, std::uint64_t, bool) {}) {}

  void Run(int ms) {
    loop.RunAfter(std::chrono::milliseconds(ms), [this] { loop.Stop(); });
    loop.Run([this] { store.Deliver(); });
  }

  /// Runs until `done` returns true, for at most 10 s so that the result does not depend on the
  /// speed of the machine.
  bool RunUntil(const std::function<bool()>& done) {
    for (int i = 0; i < 1'000 && !done(); ++i) Run(10);
    return done();
  }

  net::EventLoop loop;
  MemoryStore store;
  CountingLog log;
  std::vector<std::string> keys;
  int complete_reads = 0;
  bool last_was_unavailable = false;
  FeedReader reader;
};

FeedSettings Settings() {
  FeedSettings settings{Feed::kTargets, "targets", Duration{0}, Duration{5'000},
                        Duration{1'000'000}};
  settings.restore_time = Duration{10'000'000};
  return settings;
}

constexpr Duration kHeartbeatInterval{100'000};

/// Settings of a reader of heartbeats.
FeedSettings HeartbeatSettings() {
  FeedSettings settings = Settings();
  settings.heartbeat_interval = kHeartbeatInterval;
  return settings;
}

TEST_CASE("a reader starts with the newest record of each key and then follows the feed",
          "[feed_reader]") {
  FeedReaderFixture fixture(Settings());
  fixture.store.Put(Feed::kTargets, "a", "1");
  fixture.store.Put(Feed::kTargets, "a", "2");
  fixture.reader.Start();
  REQUIRE(fixture.RunUntil([&] { return fixture.keys.size() == 1; }));
  const TimePoint written_at = fixture.loop.now();
  fixture.store.Put(Feed::kTargets, "b", "3");
  REQUIRE(fixture.RunUntil([&] { return fixture.keys.size() == 2; }));
  CHECK(fixture.keys == std::vector<std::string>{"a", "b"});
  CHECK(fixture.complete_reads == 1);
  CHECK(fixture.reader.verified_at() >= written_at);
}

TEST_CASE("an extra pause reduces store reads unless the reader always reads", "[feed_reader]") {
  const bool always_reads = GENERATE(false, true);
  FeedReaderFixture fixture(Settings());
  fixture.reader.SetAlwaysReads(always_reads);
  fixture.reader.SetExtraPause(std::chrono::hours(1));
  fixture.reader.Start();
  REQUIRE(fixture.RunUntil([&] { return fixture.complete_reads == 1; }));
  if (always_reads) {
    CHECK(fixture.RunUntil([&] { return fixture.store.calls() >= 5; }));
  } else {
    fixture.Run(100);
    CHECK(fixture.store.calls() == 1);
  }
}

TEST_CASE("a trimmed feed is read completely again", "[feed_reader]") {
  FeedReaderFixture fixture(Settings());
  fixture.store.Put(Feed::kTargets, "a", "1");
  fixture.reader.Start();
  REQUIRE(fixture.RunUntil([&] { return fixture.complete_reads == 1; }));
  fixture.store.Put(Feed::kTargets, "b", "2");
  fixture.store.Trim(Feed::kTargets);
  REQUIRE(fixture.RunUntil([&] { return fixture.complete_reads == 2; }));
  CHECK(fixture.keys.back() == "b");
}

TEST_CASE("pushes from the coordinator replace reads from the store", "[feed_reader]") {
  FeedReaderFixture fixture(Settings());
  fixture.reader.Start();
  REQUIRE(fixture.RunUntil([&] { return fixture.reader.loaded(); }));
  fixture.reader.AcceptPush(0, 1, fixture.loop.now(), false, {{0, "a", "1"}});
  const std::uint64_t calls = fixture.store.calls();
  fixture.Run(50);
  CHECK(fixture.store.calls() == calls);
  CHECK(fixture.keys == std::vector<std::string>{"a"});
  SECTION("a duplicate push is ignored") {
    fixture.reader.AcceptPush(0, 1, fixture.loop.now(), false, {{0, "a", "1"}});
    CHECK(fixture.keys.size() == 1);
  }
  SECTION("a push after a gap is ignored") {
    fixture.reader.AcceptPush(5, 6, fixture.loop.now(), false, {{5, "f", "1"}});
    CHECK(fixture.keys.size() == 1);
    CHECK(fixture.reader.next_offset() == 1);
  }
  SECTION("without further pushes the reader reads from the store") {
    fixture.store.Put(Feed::kTargets, "a", "1");
    fixture.store.Put(Feed::kTargets, "b", "1");
    CHECK(fixture.RunUntil([&] { return fixture.keys.back() == "b"; }));
  }
}

// Guards against a reader that keeps the state of an outage although a push has arrived. An entry
// removed long after a short outage then counted as doubtful, and its target received requests for
// two more seconds.
TEST_CASE("a push ends an outage that the reader has observed", "[feed_reader]") {
  FeedReaderFixture fixture(Settings());
  fixture.store.Put(Feed::kTargets, "a", "1");
  fixture.reader.Start();
  REQUIRE(fixture.RunUntil([&] { return fixture.reader.loaded(); }));
  fixture.store.mode = MemoryStore::Mode::kRefuses;
  fixture.Run(700);
  CHECK(fixture.log.events["store_lost"] == 1);
  const auto pushed = GENERATE(true, false);
  if (pushed) fixture.reader.AcceptPush(1, 1, fixture.loop.now(), false, {});
  fixture.store.mode = MemoryStore::Mode::kWorks;
  fixture.store.Put(Feed::kTargets, "a", std::nullopt);
  REQUIRE(fixture.RunUntil([&] { return fixture.keys.size() == 2; }));
  CHECK(fixture.last_was_unavailable == !pushed);
}

// Guards against failures of one reader that are taken for an outage of the store.
TEST_CASE("failures of a reader are an outage only if the writers did not reach the store either",
          "[feed_reader][outage]") {
  const bool writers_reach_store = GENERATE(true, false);
  FeedReaderFixture fixture(HeartbeatSettings());
  const std::vector<std::string> writers = {"a", "b", "c", "d"};
  for (const std::string& it : writers) fixture.store.Put(Feed::kTargets, it, "1");
  fixture.reader.Start();
  REQUIRE(fixture.RunUntil([&] { return fixture.reader.loaded(); }));
  fixture.store.mode = MemoryStore::Mode::kRefuses;
  const TimePoint verified_at = fixture.reader.verified_at();
  fixture.Run(700);
  if (writers_reach_store) {
    // Two heartbeats more than elapsed, because the next read takes time on a slow machine.
    const auto heartbeats = (fixture.loop.now() - verified_at) / kHeartbeatInterval + 2;
    for (int i = 0; i < heartbeats; ++i) {
      for (const std::string& it : writers) fixture.store.Put(Feed::kTargets, it, "1");
    }
  }
  fixture.store.Put(Feed::kTargets, "a", std::nullopt);
  fixture.store.mode = MemoryStore::Mode::kWorks;
  REQUIRE(fixture.RunUntil([&] { return fixture.keys.back() == "a" && fixture.keys.size() > 4; }));
  CHECK(fixture.log.events["store_lost"] == 1);
  CHECK(fixture.last_was_unavailable == !writers_reach_store);
  CHECK(fixture.reader.StoreWasUnavailable() == !writers_reach_store);
}

// Guards against an outage of the store during a read that was answered late.
TEST_CASE("an outage during which no read failed is detected by the missing heartbeats",
          "[feed_reader][outage]") {
  FeedReaderFixture fixture(HeartbeatSettings());
  fixture.store.Put(Feed::kTargets, "a", "1");
  fixture.store.Put(Feed::kTargets, "b", "1");
  fixture.reader.Start();
  REQUIRE(fixture.RunUntil([&] { return fixture.reader.loaded(); }));
  fixture.reader.AcceptPush(2, 2, fixture.loop.now(), false, {});
  // The pushes last for 1 s, ten heartbeat intervals.
  fixture.store.Put(Feed::kTargets, "a", std::nullopt);
  REQUIRE(fixture.RunUntil([&] { return fixture.keys.size() == 3; }));
  CHECK(fixture.last_was_unavailable);
}

// Guards against a reader that adds its own trouble to what the coordinator knows.
TEST_CASE("pushed records carry the coordinator's observation of the store only",
          "[feed_reader][outage]") {
  FeedReaderFixture fixture(HeartbeatSettings());
  fixture.reader.Start();
  REQUIRE(fixture.RunUntil([&] { return fixture.reader.loaded(); }));
  fixture.store.mode = MemoryStore::Mode::kRefuses;
  fixture.Run(700);
  fixture.store.mode = MemoryStore::Mode::kWorks;
  REQUIRE(fixture.RunUntil([&] { return fixture.reader.StoreWasUnavailable(); }));
  const bool coordinator_saw_outage = GENERATE(true, false);
  fixture.reader.AcceptPush(0, 1, fixture.loop.now(), coordinator_saw_outage,
                            {{0, "a", std::nullopt}});
  CHECK(fixture.last_was_unavailable == coordinator_saw_outage);
}

struct EvidenceCase {
  const char* description;
  std::vector<int> heartbeats;  ///< Of each writer.
  int span_ms;
  bool reached;
};

TEST_CASE("heartbeats show whether their writers reached the store", "[feed_reader][outage]") {
  const auto example = GENERATE(values<EvidenceCase>({
      {"no heartbeat", {}, 500, false},
      {"shorter than an interval", {1, 1, 1}, 800, true},
      {"an outage that entries survive", {1, 1, 2}, 1'900, false},
      {"undisturbed", {2, 2, 3, 2}, 2'200, true},
      {"undisturbed, one writer left early", {2, 2, 3, 1, 2, 3, 2}, 2'200, true},
      {"all wrote before the outage, and at once after it", {2, 2, 2, 1}, 3'600, false},
      {"a long failure of the reader alone", {10, 11, 10, 11}, 10'000, true},
      {"a long outage of the store", {3, 2, 3, 3}, 10'000, false},
  }));
  INFO(example.description);
  std::vector<StoreRecord> records;
  for (std::size_t i = 0; i < example.heartbeats.size(); ++i) {
    for (int n = 0; n < example.heartbeats[i]; ++n) {
      records.push_back({records.size(), "t" + std::to_string(i), "1"});
    }
  }
  records.push_back({records.size(), "removed", std::nullopt});
  CHECK(WritersReachedStore(records, std::chrono::milliseconds(example.span_ms),
                            std::chrono::milliseconds(900)) == example.reached);
}

}  // namespace
}  // namespace dogwoodport::fleet
