#include <catch2/catch.hpp>
#include <memory>

#include "dogwoodport/fleet/membership/peer_exchange.h"
#include "fleet/fleet_fakes.h"

namespace dogwoodport::fleet {
namespace {

/// Exchanges on the loopback interface that share one event loop. If `has_coordinator` is set, the
/// first one is the coordinator.
struct Fleet {
  Fleet(std::size_t n, bool has_coordinator) {
    for (std::size_t i = 0; i < n; ++i) {
      const std::string address = "127.77.0." + std::to_string(i + 101) + ":7400";
      addresses.push_back(address);
      exchanges.push_back(std::make_unique<PeerExchange>(
          loop, log, PeerSettings{}, PeerIdentity{address, DataCentre(i), 5, ProcessorShare(i)}));
      PeerExchange& exchange = *exchanges.back();
      exchange.on_prepare = [i, has_coordinator, this](PeerReport& report) {
        report.leading = has_coordinator && i == 0;
        report.generation = generation;
      };
      exchange.on_report = [this, i](const Peer&) { ++reports[i]; };
      exchange.on_table = [this, i](const std::string& bytes) { tables[i].push_back(bytes); };
      exchange.on_feed = [this, i](const FeedPush& push) { feeds[i].push_back(push); };
      exchange.on_digest = [this, i](const PeerDigest&, const Peer&) { ++digests[i]; };
      exchange.on_prepare_load = [](PeerLoad& load) { load.in_flight.emplace_back(1, 1); };
      exchange.on_load = [this, i](const PeerLoad&, const PeerLoad&) { ++loads[i]; };
    }
    for (const auto& exchange : exchanges) {
      for (std::size_t i = 0; i < n; ++i) {
        exchange->AddPeer({addresses[i], DataCentre(i), ProcessorShare(i)});
      }
    }
    if (has_coordinator) exchanges[0]->SetLeading(true);
  }

  static std::string DataCentre(std::size_t i) { return i % 2 == 0 ? "east" : "west"; }
  /// The first six instances have the largest processor share.
  static float ProcessorShare(std::size_t i) { return i < 6 ? 0.5F : 0.1F; }

  /// Runs until `done` returns true, for at most one minute so that the result does not depend on
  /// the speed of the machine.
  bool RunUntil(const std::function<bool()>& done) {
    for (int i = 0; i < 6'000 && !done(); ++i) {
      loop.RunAfter(Duration{10'000}, [this] { loop.Stop(); });
      loop.Run();
    }
    return done();
  }

  bool AllReachable() const {
    return std::all_of(exchanges.begin(), exchanges.end(), [this](const auto& it) {
      return it == nullptr || it->reachable() == exchanges.size() - 1;
    });
  }

  net::EventLoop loop;
  CountingLog log;
  std::uint64_t generation = 0;
  std::vector<std::string> addresses;
  std::vector<std::unique_ptr<PeerExchange>> exchanges;
  std::map<std::size_t, int> reports;
  std::map<std::size_t, int> digests;
  std::map<std::size_t, int> loads;
  std::map<std::size_t, std::vector<std::string>> tables;
  std::map<std::size_t, std::vector<FeedPush>> feeds;
};

TEST_CASE("instances of a small fleet report to each other", "[peer_exchange]") {
  Fleet fleet(4, true);
  CHECK(fleet.RunUntil([&] { return fleet.AllReachable(); }));
  CHECK_FALSE(fleet.exchanges[1]->UsesDigests());
  CHECK(fleet.digests.empty());
}

TEST_CASE("instances of a large fleet report to the coordinator only", "[peer_exchange]") {
  Fleet fleet(24, true);
  REQUIRE(fleet.RunUntil([&] { return fleet.digests.size() == 23 && fleet.AllReachable(); }));
  for (const auto& it : fleet.exchanges) CHECK(it->UsesDigests());
  fleet.reports.clear();
  fleet.loads.clear();
  REQUIRE(fleet.RunUntil([&] { return fleet.reports[0] > 100; }));
  // The other instances receive reports from the coordinator only, and loads from their own data
  // centre. Relays also receive the reports of their data centre.
  for (std::size_t i = 5; i < 24; ++i) CHECK(fleet.reports[i] < fleet.reports[0] / 2);
  CHECK(fleet.loads[3] > 0);
}

TEST_CASE("without a coordinator, instances of a large fleet report to the take-over candidates",
          "[peer_exchange]") {
  Fleet fleet(24, false);
  const auto candidates = static_cast<std::size_t>(PeerSettings{}.coordinator_candidates);
  REQUIRE(fleet.RunUntil([&] {
    for (std::size_t i = 0; i < candidates; ++i) {
      if (fleet.exchanges[i]->reachable() != 23) return false;
    }
    return true;
  }));
  // Each instance chooses its candidates among the others, so the first one after the common
  // candidates is excluded.
  for (std::size_t i = candidates + 1; i < 24; ++i) CHECK(fleet.reports[i] == 0);
  CHECK_FALSE(fleet.exchanges[0]->UsesDigests());
  CHECK(fleet.digests.empty());
  for (std::size_t i = 0; i < 24; ++i) CHECK(fleet.exchanges[i]->TakeOverRank() == i);
}

TEST_CASE("broadcasts of the coordinator of a large fleet reach all instances through relays",
          "[peer_exchange]") {
  Fleet fleet(24, true);
  REQUIRE(fleet.RunUntil([&] { return fleet.digests.size() == 23 && fleet.AllReachable(); }));
  const std::vector<std::string> relays = fleet.exchanges[0]->ChooseRelays();
  CHECK(relays == std::vector<std::string>{fleet.addresses[2], fleet.addresses[4],
                                           fleet.addresses[1], fleet.addresses[3]});
  const std::string table(20'000, 't');
  fleet.exchanges[0]->SendTable(table);
  REQUIRE(fleet.RunUntil([&] { return fleet.tables.size() == 23; }));
  for (const auto& [i, received] : fleet.tables) CHECK(received.front() == table);
  // All instances share one clock here, so the converted time must not be later than that of the
  // coordinator.
  const TimePoint verified_at = fleet.loop.now();
  FeedPush push;
  push.end = 7;
  REQUIRE(fleet.RunUntil([&] {
    fleet.exchanges[0]->PushFeed(push, verified_at);
    return fleet.feeds.size() == 23;
  }));
  for (const auto& [i, received] : fleet.feeds) {
    for (const FeedPush& it : received) {
      CHECK(it.end == 7);
      CHECK(it.verified_at_us <= verified_at.time_since_epoch().count());
      CHECK(it.verified_at_us > verified_at.time_since_epoch().count() - 5'000'000);
    }
  }
}

TEST_CASE("the loss of a relay does not delay broadcasts", "[peer_exchange]") {
  Fleet fleet(24, true);
  REQUIRE(fleet.RunUntil([&] { return fleet.digests.size() == 23 && fleet.AllReachable(); }));
  fleet.exchanges[1].reset();
  fleet.exchanges[0]->SendTable("t");
  CHECK(fleet.RunUntil([&] { return fleet.tables.size() == 22; }));
}

TEST_CASE("AllFollow requires a report from each instance that was ever known", "[peer_exchange]") {
  Fleet fleet(4, true);
  REQUIRE(fleet.RunUntil([&] { return fleet.AllReachable(); }));
  const TimePoint since = fleet.loop.now();
  CHECK_FALSE(fleet.exchanges[0]->AllFollow(3, since));
  fleet.generation = 3;
  CHECK(fleet.RunUntil([&] { return fleet.exchanges[0]->AllFollow(3, since); }));
  CHECK_FALSE(fleet.exchanges[0]->AllFollow(4, since));
  // An instance that never reports may be cut off from the network.
  fleet.exchanges[0]->AddPeer({"127.77.0.99:7400", "east", 1});
  fleet.RunUntil([&] { return fleet.loop.now() > since + Duration{3'000'000}; });
  CHECK_FALSE(fleet.exchanges[0]->AllFollow(3, since));
}

}  // namespace
}  // namespace dogwoodport::fleet
