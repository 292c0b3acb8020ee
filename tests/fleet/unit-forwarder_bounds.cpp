#include <algorithm>

#include "fleet/forwarder_world.h"

namespace dogwoodport::fleet {
namespace {

using net::Reaction;
using std::chrono::seconds;

Reaction Serve(const std::string& request) {
  return {TargetAnswer(FieldOf(request, "Id"), 200, "ran")};
}

TEST_CASE("a route that an old configuration lacks is no final refusal", "[forwarder][bounds]") {
  const auto [age, status] = GENERATE(table<Duration, int>({{seconds(0), 404}, {seconds(3), 503}}));
  ForwarderWorld world;
  world.view.config_verified_at = world.loop.now() - age;
  const std::string answer = world.Call("/unknown/x", "r");
  CHECK(ForwarderWorld::StatusOf(answer) == status);
  CHECK(FieldOf(answer, "Run") == "no");
}

TEST_CASE("one attempt of a caller reaches no more targets than its route allows",
          "[forwarder][bounds]") {
  ForwarderWorld world;
  std::size_t arrivals = 0;
  const bool runs = GENERATE(false, true);
  for (int i = 0; i < 6; ++i) {
    world.AddTarget("t" + std::to_string(i),
                    [&](const std::string& request, std::size_t /*connection*/) {
                      ++arrivals;
                      const std::string id = FieldOf(request, "Id");
                      return Reaction{runs ? TargetAnswer(id, 500, "failed")
                                           : TargetAnswer(id, 503, "", "Not-Run: 1\r\n")};
                    });
  }
  world.Call("/read/x", "r");
  CHECK(arrivals == 3);
}

TEST_CASE("a failure of a target is passed on as it is", "[forwarder][bounds]") {
  const int status = GENERATE(400, 404, 409, 500, 504);
  ForwarderWorld world;
  world.AddTarget("t1", [&](const std::string& request, std::size_t /*connection*/) {
    return Reaction{TargetAnswer(FieldOf(request, "Id"), status, "why")};
  });
  const std::string answer = world.Call("/write/x", "r");
  CHECK(ForwarderWorld::StatusOf(answer) == status);
  CHECK(FieldOf(answer, "Signed") == "1");
  CHECK(answer.substr(answer.size() - 3) == "why");
}

TEST_CASE("parts of a split route get their shares, and nothing moves to another part",
          "[forwarder][bounds]") {
  constexpr int kRequests = 400;
  ForwarderWorld world;
  Route route;
  route.name = "split";
  route.host = "a";
  route.path_prefix = "/split/";
  route.kind = RequestKind::kNonIdempotent;
  route.timeout = seconds(20);
  // What finds no target waits as long as an answer could be in time.
  route.latency_objective = std::chrono::milliseconds(50);
  route.max_attempts = 3;
  route.splits = {{"plain", 3}, {"other", 1}};
  std::vector<Service> services(2);
  services[0].name = "plain";
  services[1].name = "other";
  world.view.config = std::make_shared<RoutingConfig>(2, std::vector<Route>{route}, services,
                                                      std::vector<Account>(), CallerLimits{});
  const bool has_room = GENERATE(true, false);
  const auto script = [](const std::string& request, std::size_t /*connection*/) {
    return Serve(request);
  };
  const net::ScriptedTarget& plain = world.AddTarget("t1", script);
  if (has_room) world.AddTarget("t2", script, "other");
  int refused = 0;
  for (int i = 0; i < kRequests; ++i) {
    const std::string answer = world.Call("/split/x", "r" + std::to_string(i));
    if (ForwarderWorld::StatusOf(answer) == 503) ++refused;
  }
  const double share = static_cast<double>(plain.requests().size()) / kRequests;
  CHECK(share > 0.65);
  CHECK(share < 0.85);
  CHECK(refused == (has_room ? 0 : kRequests - static_cast<int>(plain.requests().size())));
}

}  // namespace
}  // namespace dogwoodport::fleet
