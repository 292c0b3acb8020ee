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

/// Returns Connection fields that name a random selection of `names`, in random case and order, and
/// fields of a caller that has the same names.
std::string RandomConnectionFields(std::mt19937_64& random, std::vector<std::string> names) {
  const auto chance = [&random](unsigned n) { return random() % n == 0; };
  std::shuffle(names.begin(), names.end(), random);
  std::string result;
  std::string options;
  for (const std::string& it : names) {
    if (chance(4)) result += it + ": forged\r\n";
    if (chance(3)) continue;
    std::string name = it;
    for (char& c : name) c = static_cast<char>(chance(2) ? std::tolower(c) : std::toupper(c));
    options += (options.empty() ? "" : chance(2) ? "," : " , ") + name;
    if (chance(3)) result += "Connection: " + std::exchange(options, "") + "\r\n";
  }
  if (!options.empty()) result += "connection: " + options + "\r\n";
  return result;
}

// Guards against a caller whose Connection field takes fields of the router off its request.
TEST_CASE("a caller cannot take fields off a request through its Connection fields",
          "[forwarder][connection_options]") {
  const auto seed = GENERATE(range(1, 101));
  std::mt19937_64 random(static_cast<std::uint64_t>(seed));
  const std::string fields = RandomConnectionFields(
      random, {"Target", "Account", "X-Private", "keep-alive", "Host", "Id", "Key"});
  INFO(fields);
  // A caller's own fields for the request's identity make it another request.
  const bool is_ambiguous = fields.find("Id: forged") != std::string::npos ||
                            fields.find("Key: forged") != std::string::npos ||
                            fields.find("Host: forged") != std::string::npos;
  if (is_ambiguous) return;
  ForwarderFixture fixture;
  Account account;
  account.name = "acme";
  account.secrets = {"secret"};
  fixture.view.config = std::make_shared<RoutingConfig>(2, fixture.view.config->routes(),
                                                        ForwarderFixture::Services(),
                                                        std::vector{account}, CallerLimits{});
  const net::ScriptedTarget& target = fixture.AddTarget(
      "t1", [](const std::string& request, std::size_t /*connection*/) { return Serve(request); });
  REQUIRE(ForwarderFixture::StatusOf(fixture.Call("/write/x", "r1", fields)) == 200);
  const std::string& received = target.requests().front();
  CHECK(received.find("\r\nTarget: t1\r\n") != std::string::npos);
  CHECK(received.find("\r\nAccount: acme\r\n") != std::string::npos);
  CHECK(FieldOf(received, "Id") == "r1");
  CHECK(FieldOf(received, "Key") == "7");
  CHECK(FieldOf(received, "Host") == "a");
}

TEST_CASE("fields that a message names in any of its Connection fields are not forwarded",
          "[forwarder][connection_options]") {
  ForwarderFixture fixture;
  const net::ScriptedTarget& target =
      fixture.AddTarget("t1", [](const std::string& request, std::size_t /*connection*/) {
        const std::string fields =
            "Signed: 1\r\nX-Hop: 1\r\nX-Kept: 1\r\nConnection: signed, id\r\nConnection: x-hop\r\n";
        return Reaction{TargetResponse(FieldOf(request, "Id"), 200, "ran", fields)};
      });
  const std::string response = fixture.Call(
      "/write/x", "r1", "X-Hop: 1\r\nX-Kept: 1\r\nConnection: a\r\nConnection: b, x-hop\r\n");
  for (const std::string& it : {target.requests().front(), response}) {
    INFO(it);
    CHECK(FieldOf(it, "X-Hop").empty());
    CHECK(FieldOf(it, "X-Kept") == "1");
    CHECK(FieldOf(it, "Id") == "r1");
  }
  CHECK(FieldOf(response, "Signed") == "1");
}

}  // namespace
}  // namespace dogwoodport::fleet
