#include <set>

#include "fleet/forwarder_world.h"

namespace dogwoodport::fleet {
namespace {

using net::Reaction;

/// Targets that a request may end at most.
constexpr std::size_t kMostLosses = 3;

bool IsDeadly(const std::string& request) { return request.find("/deadly") != std::string::npos; }

/// Targets that end when they run a request to ".../deadly", and start again at once as another
/// incarnation on the same address.
struct CrashingWorld {
  CrashingWorld(const std::string& service, Reaction end) {
    for (std::size_t i = 0; i < targets; ++i) {
      const std::string id = "t" + std::to_string(i);
      world.AddTarget(
          id,
          [this, id, end](const std::string& request, std::size_t /*connection*/) {
            if (!IsDeadly(request)) {
              return Reaction{TargetAnswer(FieldOf(request, "Id"), 200, "ran")};
            }
            ++losses;
            world.loop.RunAfter(Duration{0}, [this, id] { Restart(id); });
            return end;
          },
          service);
    }
  }
  void Restart(const std::string& id) {
    const Target* const target = world.view.directory.Find(id);
    TargetEntry entry = target->entry;
    ++entry.incarnation;
    world.view.directory.Apply(entry, world.loop.now());
    world.view.health[id].OnRestart();
    world.view.quarantine.OnTargetLost(id, world.loop.now());
  }

  static constexpr std::size_t targets = 8;
  ForwarderWorld world;
  std::size_t losses = 0;
};

struct Ending {
  const char* what;
  Reaction reaction;
};

TEST_CASE("a request that ends each target that runs it is not sent to a fourth one") {
  const auto [route, service] = GENERATE(table<std::string, std::string>(
      {{"/read/", "plain"}, {"/write/", "plain"}, {"/keyed/", "keyed"}}));
  const auto it = GENERATE(values<Ending>({
      {"reset", {"", Reaction::End::kReset}},
      {"closed", {"", Reaction::End::kClose}},
      {"broken off",
       {"HTTP/1.1 200 OK\r\nSigned: 1\r\nContent-Length: 9\r\n\r\nab", Reaction::End::kReset}},
  }));
  INFO(route << " " << it.what);
  CrashingWorld crashing(service, it.reaction);
  for (int i = 0; i < 12; ++i) {
    const std::string answer = crashing.world.Call(route + "deadly", "r" + std::to_string(i));
    const int status = ForwarderWorld::StatusOf(answer);
    CHECK((status == 502 || status == 503));
    CHECK(FieldOf(answer, "Run") == (status == 502 ? "unknown" : "no"));
  }
  CHECK(crashing.losses == kMostLosses);
  // Others are served as before.
  CHECK(ForwarderWorld::StatusOf(crashing.world.Call(route + "x", "s")) == 200);
}

TEST_CASE("a request that waits for a target is refused when it enters the quarantine") {
  ForwarderWorld world;
  net::RawClient& client = world.Send("/read/deadly", "r");
  REQUIRE(world.RunUntil([&] { return world.forwarder.waiting() == 1; }));
  net::HttpRequest request;
  request.method = "POST";
  request.host = "a";
  request.target = "/read/deadly";
  QuarantineReport report;
  report.quarantined.push_back({FingerprintOf(request, ""), 60'000});
  world.view.quarantine.OnReport(report, world.loop.now());
  world.forwarder.Offer();
  REQUIRE(world.RunUntil([&] { return ForwarderWorld::IsWhole(client.received); }));
  CHECK(ForwarderWorld::StatusOf(client.received) == 503);
  CHECK(FieldOf(client.received, "Code") == "quarantined");
  CHECK(FieldOf(client.received, "Run") == "no");
  CHECK_FALSE(FieldOf(client.received, "Retry-After").empty());
}

}  // namespace
}  // namespace dogwoodport::fleet
