#include <catch2/catch.hpp>
#include <memory>

#include "dogwoodport/fleet/membership/peer_exchange.h"
#include "fleet/fleet_fakes.h"

namespace dogwoodport::fleet {
namespace {

/// Exchanges on loopback in one loop. The first one is the coordinator if `leads` is set.
struct Fleet {
  Fleet(std::size_t n, bool leads) {
    for (std::size_t i = 0; i < n; ++i) {
      const std::string address = "127.77.0." + std::to_string(i + 1) + ":7400";
      addresses.push_back(address);
      exchanges.push_back(std::make_unique<PeerExchange>(
          loop, log, PeerSettings{}, PeerIdentity{address, i % 2 == 0 ? "east" : "west", 5}));
      PeerExchange& exchange = *exchanges.back();
      exchange.on_prepare = [i, leads, this](PeerReport& report, bool) {
        report.data_centre = i % 2 == 0 ? "east" : "west";
        report.leading = leads && i == 0;
        report.generation = generation;
      };
      exchange.on_report = [this, i](const Peer&) { ++reports[i]; };
      exchange.on_digest = [this, i](const PeerDigest&, const Peer&) { ++digests[i]; };
      exchange.on_prepare_load = [](PeerLoad& load) { load.in_flight.emplace_back(1, 1); };
      exchange.on_load = [this, i](const PeerLoad&, const PeerLoad&) { ++loads[i]; };
    }
    for (const auto& exchange : exchanges) {
      for (const std::string& address : addresses) exchange->AddPeer(address);
    }
    if (leads) exchanges[0]->SetLeading(true);
  }

  /// Runs until `done` holds, for a minute at most; the speed of the machine does not matter.
  bool RunUntil(const std::function<bool()>& done) {
    for (int i = 0; i < 6'000 && !done(); ++i) {
      loop.RunAfter(Duration{10'000}, [this] { loop.Stop(); });
      loop.Run();
    }
    return done();
  }

  bool AllReach() const {
    return std::all_of(exchanges.begin(), exchanges.end(),
                       [this](const auto& it) { return it->reachable() == exchanges.size() - 1; });
  }

  net::EventLoop loop;
  CountingLog log;
  std::uint64_t generation = 0;
  std::vector<std::string> addresses;
  std::vector<std::unique_ptr<PeerExchange>> exchanges;
  std::map<std::size_t, int> reports;
  std::map<std::size_t, int> digests;
  std::map<std::size_t, int> loads;
};

TEST_CASE("instances of a small fleet report to each other", "[peer_exchange]") {
  Fleet fleet(4, true);
  CHECK(fleet.RunUntil([&] { return fleet.AllReach(); }));
  CHECK_FALSE(fleet.exchanges[1]->UsesDigests());
  CHECK(fleet.digests.empty());
}

TEST_CASE("instances of a large fleet report to the coordinator only", "[peer_exchange]") {
  Fleet fleet(24, true);
  REQUIRE(fleet.RunUntil([&] { return fleet.digests.size() == 23 && fleet.AllReach(); }));
  for (const auto& it : fleet.exchanges) CHECK(it->UsesDigests());
  fleet.reports.clear();
  fleet.loads.clear();
  REQUIRE(fleet.RunUntil([&] { return fleet.reports[0] > 100; }));
  // The others hear the coordinator alone, and the loads of their own data centre.
  for (std::size_t i = 1; i < 24; ++i) CHECK(fleet.reports[i] < fleet.reports[0] / 2);
  CHECK(fleet.loads[3] > 0);
}

TEST_CASE("without a coordinator a large fleet reports to all", "[peer_exchange]") {
  Fleet fleet(24, false);
  CHECK(fleet.RunUntil([&] { return fleet.AllReach(); }));
  CHECK_FALSE(fleet.exchanges[0]->UsesDigests());
  CHECK(fleet.digests.empty());
}

TEST_CASE("all follow once each instance that was ever known has said so", "[peer_exchange]") {
  Fleet fleet(4, true);
  REQUIRE(fleet.RunUntil([&] { return fleet.AllReach(); }));
  const TimePoint since = fleet.loop.now();
  CHECK_FALSE(fleet.exchanges[0]->AllFollow(3, since));
  fleet.generation = 3;
  CHECK(fleet.RunUntil([&] { return fleet.exchanges[0]->AllFollow(3, since); }));
  CHECK_FALSE(fleet.exchanges[0]->AllFollow(4, since));
  // One that never reports may be cut off.
  fleet.exchanges[0]->AddPeer("127.77.0.99:7400");
  fleet.RunUntil([&] { return fleet.loop.now() > since + Duration{3'000'000}; });
  CHECK_FALSE(fleet.exchanges[0]->AllFollow(3, since));
}

}  // namespace
}  // namespace dogwoodport::fleet
