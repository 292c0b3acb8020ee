#include <algorithm>

#include "fleet/forwarder_world.h"

namespace dogwoodport::fleet {
namespace {

using net::Reaction;
using std::chrono::seconds;

Reaction Serve(const std::string& request) {
  return {TargetResponse(FieldOf(request, "Id"), 200, "ran")};
}

TEST_CASE("an unknown route gets 503 while the configuration is outdated", "[forwarder][bounds]") {
  const auto [age, status] = GENERATE(table<Duration, int>({{seconds(0), 404}, {seconds(3), 503}}));
  ForwarderFixture fixture;
  fixture.view.config_verified_at = fixture.loop.now() - age;
  const std::string response = fixture.Call("/unknown/x", "r");
  CHECK(ForwarderFixture::StatusOf(response) == status);
  CHECK(FieldOf(response, "Run") == "no");
}

TEST_CASE("a request is sent to no more targets than its route allows", "[forwarder][bounds]") {
  ForwarderFixture fixture;
  std::size_t arrivals = 0;
  const bool runs = GENERATE(false, true);
  for (int i = 0; i < 6; ++i) {
    fixture.AddTarget("t" + std::to_string(i),
                      [&](const std::string& request, std::size_t /*connection*/) {
                        ++arrivals;
                        const std::string id = FieldOf(request, "Id");
                        return Reaction{runs ? TargetResponse(id, 500, "failed")
                                             : TargetResponse(id, 503, "", "Not-Run: 1\r\n")};
                      });
  }
  fixture.Call("/read/x", "r");
  CHECK(arrivals == 3);
}

TEST_CASE("error responses of a target are passed on unchanged", "[forwarder][bounds]") {
  const int status = GENERATE(400, 404, 409, 500, 504);
  ForwarderFixture fixture;
  fixture.AddTarget("t1", [&](const std::string& request, std::size_t /*connection*/) {
    return Reaction{TargetResponse(FieldOf(request, "Id"), status, "why")};
  });
  const std::string response = fixture.Call("/write/x", "r");
  CHECK(ForwarderFixture::StatusOf(response) == status);
  CHECK(FieldOf(response, "Signed") == "1");
  CHECK(response.substr(response.size() - 3) == "why");
}

TEST_CASE("a split route keeps its shares even if one service has no target",
          "[forwarder][bounds]") {
  constexpr int kRequests = 400;
  ForwarderFixture fixture;
  Route route;
  route.name = "split";
  route.host = "a";
  route.path_prefix = "/split/";
  route.kind = RequestKind::kNonIdempotent;
  route.timeout = seconds(20);
  // A request without a target waits while a response could still meet the objective.
  route.latency_objective = std::chrono::milliseconds(50);
  route.max_attempts = 3;
  route.splits = {{"plain", 3}, {"other", 1}};
  std::vector<Service> services(2);
  services[0].name = "plain";
  services[1].name = "other";
  fixture.view.config = std::make_shared<RoutingConfig>(2, std::vector<Route>{route}, services,
                                                        std::nullopt, CallerLimits{});
  const bool other_has_target = GENERATE(true, false);
  const auto script = [](const std::string& request, std::size_t /*connection*/) {
    return Serve(request);
  };
  const net::ScriptedTarget& plain = fixture.AddTarget("t1", script);
  if (other_has_target) fixture.AddTarget("t2", script, "other");
  int refused = 0;
  for (int i = 0; i < kRequests; ++i) {
    const std::string response = fixture.Call("/split/x", "r" + std::to_string(i));
    if (ForwarderFixture::StatusOf(response) == 503) ++refused;
  }
  const double share = static_cast<double>(plain.requests().size()) / kRequests;
  CHECK(share > 0.65);
  CHECK(share < 0.85);
  CHECK(refused == (other_has_target ? 0 : kRequests - static_cast<int>(plain.requests().size())));
}

// Guards against requests that are served without an account because the list of accounts is empty.
TEST_CASE("with an empty list of accounts only public routes are served",
          "[forwarder][empty_lists]") {
  const bool is_public = GENERATE(false, true);
  INFO("public " << is_public);
  ForwarderFixture fixture;
  const net::ScriptedTarget& target = fixture.AddTarget(
      "t1", [](const std::string& request, std::size_t /*connection*/) { return Serve(request); });
  std::vector<Route> routes = fixture.view.config->routes();
  for (Route& it : routes) it.is_public = is_public;
  fixture.view.config = std::make_shared<RoutingConfig>(2, routes, ForwarderFixture::Services(),
                                                        std::vector<Account>(), CallerLimits{});
  const std::string response = fixture.Call("/read/x", "r1");
  CHECK(ForwarderFixture::StatusOf(response) == (is_public ? 200 : 401));
  CHECK(target.requests().size() == (is_public ? 1 : 0));
}

TEST_CASE("a route whose parts all have no weight is not served", "[forwarder][empty_lists]") {
  ForwarderFixture fixture;
  const net::ScriptedTarget& target = fixture.AddTarget(
      "t1", [](const std::string& request, std::size_t /*connection*/) { return Serve(request); });
  std::vector<Route> routes = fixture.view.config->routes();
  for (Route& it : routes) it.splits = {{"plain", 0}};
  fixture.view.config = std::make_shared<RoutingConfig>(2, routes, ForwarderFixture::Services(),
                                                        std::nullopt, CallerLimits{});
  CHECK(ForwarderFixture::StatusOf(fixture.Call("/read/x", "r1")) == 503);
  CHECK(target.requests().empty());
}

}  // namespace
}  // namespace dogwoodport::fleet
