#include <set>

#include "fleet/forwarder_world.h"

namespace dogwoodport::fleet {
namespace {

using net::Reaction;

/// Maximum number of targets that one request may crash.
constexpr std::size_t kMaxLosses = 3;

bool CrashesTarget(const std::string& request) {
  return request.find("/deadly") != std::string::npos;
}

/// Targets that crash when they run a request to ".../deadly", and restart at once as a new
/// incarnation on the same address.
struct CrashingFixture {
  CrashingFixture(const std::string& service, Reaction end) {
    for (std::size_t i = 0; i < targets; ++i) {
      const std::string id = "t" + std::to_string(i);
      fixture.AddTarget(
          id,
          [this, id, end](const std::string& request, std::size_t /*connection*/) {
            if (!CrashesTarget(request)) {
              return Reaction{TargetResponse(FieldOf(request, "Id"), 200, "ran")};
            }
            ++losses;
            fixture.loop.RunAfter(Duration{0}, [this, id] { Restart(id); });
            return end;
          },
          service);
    }
  }
  void Restart(const std::string& id) {
    const Target* const target = fixture.view.directory.Find(id);
    TargetEntry entry = target->entry;
    ++entry.incarnation;
    fixture.view.directory.Apply(entry, fixture.loop.now());
    fixture.view.health[id].OnRestart();
    fixture.view.quarantine.OnTargetLost(id, fixture.loop.now());
  }

  static constexpr std::size_t targets = 8;
  ForwarderFixture fixture;
  std::size_t losses = 0;
};

struct Ending {
  const char* description;
  Reaction reaction;
};

TEST_CASE("a request that crashes every target is not sent to a fourth one") {
  const auto [route, service] = GENERATE(table<std::string, std::string>(
      {{"/read/", "plain"}, {"/write/", "plain"}, {"/keyed/", "keyed"}}));
  const auto it = GENERATE(values<Ending>({
      {"reset", {"", Reaction::End::kReset}},
      {"closed", {"", Reaction::End::kClose}},
      {"reset within the response",
       {"HTTP/1.1 200 OK\r\nSigned: 1\r\nContent-Length: 9\r\n\r\nab", Reaction::End::kReset}},
  }));
  INFO(route << " " << it.description);
  CrashingFixture crashing(service, it.reaction);
  for (int i = 0; i < 12; ++i) {
    const std::string response = crashing.fixture.Call(route + "deadly", "r" + std::to_string(i));
    const int status = ForwarderFixture::StatusOf(response);
    CHECK((status == 502 || status == 503));
    CHECK(FieldOf(response, "Run") == (status == 502 ? "unknown" : "no"));
  }
  CHECK(crashing.losses == kMaxLosses);
  // Other requests are still served.
  CHECK(ForwarderFixture::StatusOf(crashing.fixture.Call(route + "x", "s")) == 200);
}

TEST_CASE("a request that waits for a target is refused when it enters the quarantine") {
  ForwarderFixture fixture;
  net::RawClient& client = fixture.Send("/read/deadly", "r");
  REQUIRE(fixture.RunUntil([&] { return fixture.forwarder.waiting() == 1; }));
  net::HttpRequest request;
  request.method = "POST";
  request.host = "a";
  request.target = "/read/deadly";
  QuarantineReport report;
  report.quarantined.push_back({FingerprintOf(request, ""), 60'000});
  fixture.view.quarantine.OnReport(report, fixture.loop.now());
  fixture.forwarder.DispatchWaiting();
  REQUIRE(fixture.RunUntil([&] { return ForwarderFixture::IsComplete(client.received); }));
  CHECK(ForwarderFixture::StatusOf(client.received) == 503);
  CHECK(FieldOf(client.received, "Code") == "quarantined");
  CHECK(FieldOf(client.received, "Run") == "no");
  CHECK_FALSE(FieldOf(client.received, "Retry-After").empty());
}

}  // namespace
}  // namespace dogwoodport::fleet
