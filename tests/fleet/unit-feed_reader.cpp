#include <catch2/catch.hpp>

#include "dogwoodport/fleet/state/feed_reader.h"
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
  FeedReader reader;
};

FeedSettings Settings() {
  return {Feed::kTargets, "targets", Duration{0}, Duration{5'000}, Duration{1'000'000}};
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
  fixture.reader.AcceptPush(0, 1, fixture.loop.now(), {{0, "a", "1"}});
  const std::uint64_t calls = fixture.store.calls();
  fixture.Run(50);
  CHECK(fixture.store.calls() == calls);
  CHECK(fixture.keys == std::vector<std::string>{"a"});
  SECTION("a duplicate push is ignored") {
    fixture.reader.AcceptPush(0, 1, fixture.loop.now(), {{0, "a", "1"}});
    CHECK(fixture.keys.size() == 1);
  }
  SECTION("a push after a gap is ignored") {
    fixture.reader.AcceptPush(5, 6, fixture.loop.now(), {{5, "f", "1"}});
    CHECK(fixture.keys.size() == 1);
    CHECK(fixture.reader.next_offset() == 1);
  }
  SECTION("without further pushes the reader reads from the store") {
    fixture.store.Put(Feed::kTargets, "a", "1");
    fixture.store.Put(Feed::kTargets, "b", "1");
    CHECK(fixture.RunUntil([&] { return fixture.keys.back() == "b"; }));
  }
}

// Guards against a reader that keeps the state of an outage although a push has arrived.
TEST_CASE("a push ends an outage that the reader has observed", "[feed_reader]") {
  FeedReaderFixture fixture(Settings());
  fixture.store.Put(Feed::kTargets, "a", "1");
  fixture.reader.Start();
  REQUIRE(fixture.RunUntil([&] { return fixture.reader.loaded(); }));
  fixture.store.mode = MemoryStore::Mode::kRefuses;
  fixture.Run(700);
  CHECK(fixture.log.events["store_lost"] == 1);
  const auto pushed = GENERATE(true, false);
  const TimePoint now = fixture.loop.now();
  if (pushed) fixture.reader.AcceptPush(1, 1, now, {});
  CHECK((fixture.reader.verified_at() == now) == pushed);
  fixture.store.mode = MemoryStore::Mode::kWorks;
  fixture.store.Put(Feed::kTargets, "a", std::nullopt);
  REQUIRE(fixture.RunUntil([&] { return fixture.keys.size() == 2; }));
  CHECK(fixture.log.events["store_regained"] == (pushed ? 0 : 1));
}

// Guards against needless reads: the read behind a push may have waited at the store for a second.
TEST_CASE("a push of a read that took long replaces reads from the store", "[feed_reader]") {
  FeedReaderFixture fixture(Settings());
  fixture.reader.Start();
  REQUIRE(fixture.RunUntil([&] { return fixture.reader.loaded(); }));
  fixture.reader.AcceptPush(0, 0, fixture.loop.now() - std::chrono::seconds(1), {});
  fixture.Run(20);
  const std::uint64_t calls = fixture.store.calls();
  fixture.Run(50);
  CHECK(fixture.store.calls() == calls);
}

// Guards against a reader that stops because one record could not be handled.
TEST_CASE("a reader goes on after its handler has failed", "[feed_reader]") {
  net::EventLoop loop;
  MemoryStore store;
  CountingLog log;
  int deliveries = 0;
  FeedReader reader(
      loop, store, log, Settings(),
      [&](const FeedUpdate& update) {
        ++deliveries;
        if (update.records.back().key == "odd") throw std::runtime_error("odd record");
      },
      [](std::uint64_t, std::uint64_t, bool) {});
  store.Put(Feed::kTargets, "odd", "1");
  reader.Start();
  const auto run_until = [&](int count) {
    for (int i = 0; i < 1'000 && deliveries < count; ++i) {
      loop.RunAfter(std::chrono::milliseconds(10), [&] { loop.Stop(); });
      loop.Run([&] { store.Deliver(); });
    }
    return deliveries;
  };
  REQUIRE(run_until(1) == 1);
  store.Put(Feed::kTargets, "odd", "2");
  REQUIRE(run_until(2) == 2);
  store.Put(Feed::kTargets, "a", "3");
  CHECK(run_until(3) == 3);
  CHECK(log.events["records_not_handled"] == 2);
  CHECK(reader.next_offset() == 3);
}

}  // namespace
}  // namespace dogwoodport::fleet
