#include "fleet/forwarder_world.h"

namespace dogwoodport::fleet {
namespace {

using net::Reaction;

constexpr double kLimit = 5;
/// Number of requests that a target with this limit may receive within 4 s.
constexpr std::size_t kAllowedArrivals = 35;

/// A target that names the limit in its responses.
Reaction NameLimit(const std::string& request, std::size_t /*connection*/) {
  return Reaction{TargetResponse(FieldOf(request, "Id"), 200, "ran",
                                 "Signed: 1\r\nLimit: " + std::to_string(kLimit) + "\r\n")};
}

TEST_CASE("a target is sent no more requests than the limit that it names", "[target_limit]") {
  const auto [route, service] = GENERATE(table<std::string, std::string>(
      {{"/read/", "plain"}, {"/write/", "plain"}, {"/keyed/", "keyed"}}));
  INFO(route);
  ForwarderFixture fixture(std::chrono::milliseconds(40));
  net::ScriptedTarget& target = fixture.AddTarget("t", NameLimit, service);
  for (int i = 0; i < 60; ++i) {
    const std::string response = fixture.Call(route + "x", "r" + std::to_string(i));
    const int status = ForwarderFixture::StatusOf(response);
    CHECK((status == 200 || status == 503));
    if (status == 503) CHECK(FieldOf(response, "Run") == "no");
  }
  CHECK(target.requests().size() <= kAllowedArrivals);
}

}  // namespace
}  // namespace dogwoodport::fleet
