#include <map>
#include <set>

#include "fleet/forwarder_world.h"

namespace dogwoodport::fleet {
namespace {

using net::Reaction;

/// Refuses each request at its first arrival and runs it at the next one. If that one arrives on
/// the connection of the refusal, a copy of the refusal takes the place of the response.
class RepeatingTarget {
 public:
  explicit RepeatingTarget(int refusal_status) : refusal_status_(refusal_status) {}

  Reaction operator()(const std::string& request, std::size_t connection) {
    const std::string id = FieldOf(request, "Id");
    const std::string refusal = TargetResponse(id, refusal_status_, "", "Not-Run: 1\r\n");
    if (refused_.count(id) == 0) {
      refused_[id].insert(connection);
      return {refusal};
    }
    ++runs[id];
    if (refused_[id].count(connection) > 0) return {refusal};
    return {TargetResponse(id, 200, "ran " + id)};
  }

  std::map<std::string, int> runs;

 private:
  int refusal_status_;
  std::map<std::string, std::set<std::size_t>> refused_;
};

/// Makes the target known under another id, at the same address.
void Rename(ForwarderFixture& fixture, const std::string& from, const std::string& to) {
  TargetEntry entry = fixture.view.directory.Find(from)->entry;
  fixture.view.directory.Remove(from, fixture.loop.now(), false);
  entry.id = to;
  fixture.view.directory.Apply(entry, fixture.loop.now());
  for (auto& [service, ranges] : fixture.view.keys.services) {
    for (KeyRange& it : ranges) it.owner = to;
  }
  ++fixture.view.keys.revision;
}

struct Form {
  const char* description;
  std::string path;
  RequestKind kind;
  int refusal_status;
  bool is_renamed;
};

// Guards against callers that are told "not run", and against second runs, after a copy of an
// earlier refusal of the same request.
TEST_CASE("a copy of a refusal does not answer the request when it is sent again",
          "[forwarder][repeated_refusal]") {
  constexpr auto kIdempotent = RequestKind::kIdempotent;
  constexpr auto kNonIdempotent = RequestKind::kNonIdempotent;
  const auto it = GENERATE(values<Form>({
      {"the owner was full", "/keyed/", kIdempotent, 503, false},
      {"the owner was full", "/keyed/", kNonIdempotent, 503, false},
      {"the owner did not hold the key", "/keyed/", kIdempotent, 421, false},
      {"the owner did not hold the key", "/keyed/", kNonIdempotent, 421, false},
      {"another id at the owner's address", "/keyed/", kIdempotent, 421, true},
      {"another id at the owner's address", "/keyed/", kNonIdempotent, 421, true},
      {"another id at the full owner's address", "/keyed/", kNonIdempotent, 503, true},
      {"another id at the target's address", "/read/", kIdempotent, 421, true},
      {"another id at the target's address", "/write/", kNonIdempotent, 421, true},
      {"another id at the full target's address", "/read/", kIdempotent, 503, true},
      {"another id at the full target's address", "/write/", kNonIdempotent, 503, true},
  }));
  const int max_attempts = GENERATE(2, 3);
  INFO(it.path << ", " << it.refusal_status << ", "
               << (it.kind == kIdempotent ? "idempotent" : "not idempotent") << ", "
               << it.description << ", at most " << max_attempts << " attempts");
  ForwarderFixture fixture(std::chrono::seconds(2));
  std::vector<Route> routes = fixture.view.config->routes();
  for (Route& route : routes) {
    route.kind = it.kind;
    route.max_attempts = max_attempts;
  }
  fixture.view.config = std::make_shared<RoutingConfig>(2, routes, ForwarderFixture::Services(),
                                                        std::nullopt, CallerLimits{});
  RepeatingTarget target(it.refusal_status);
  const net::ScriptedTarget& server =
      fixture.AddTarget("t1", std::ref(target), it.path == "/keyed/" ? "keyed" : "plain");
  net::RawClient& client = fixture.Send(it.path + "x", "r");
  REQUIRE(fixture.RunUntil([&] { return fixture.log.events["not_run"] == 1; }));
  if (it.is_renamed) Rename(fixture, "t1", "t2");
  REQUIRE(fixture.RunUntil([&] {
    fixture.forwarder.DispatchWaiting();
    return ForwarderFixture::IsComplete(client.received);
  }));
  CHECK(ForwarderFixture::StatusOf(client.received) == 200);
  CHECK(target.runs["r"] == 1);
  CHECK(server.requests().size() == 2);
}

/// Returns the number of connections to the target that are open.
std::size_t OpenConnections(const net::ScriptedTarget& target) {
  std::size_t n = 0;
  for (std::size_t i = 0; i < target.connections(); ++i) {
    if (!target.ended(i)) ++n;
  }
  return n;
}

// Guards against new connections, which a full target resets, in place of idle ones.
TEST_CASE("a request that is sent again uses an idle connection that has not refused it",
          "[forwarder][repeated_refusal]") {
  ForwarderFixture fixture(std::chrono::seconds(2));
  RepeatingTarget target(503);
  net::ScriptedTarget& server = fixture.AddTarget("t1", std::ref(target), "keyed");
  const net::RawClient& first = fixture.Send("/keyed/x", "a");
  const net::RawClient& second = fixture.Send("/keyed/x", "b");
  REQUIRE(fixture.RunUntil([&] {
    fixture.forwarder.DispatchWaiting();
    return ForwarderFixture::IsComplete(first.received) &&
           ForwarderFixture::IsComplete(second.received);
  }));
  CHECK(ForwarderFixture::StatusOf(first.received) == 200);
  CHECK(ForwarderFixture::StatusOf(second.received) == 200);
  CHECK(server.connections() == 2);
}

TEST_CASE("a request that is sent again does not exceed the share of the target's connections",
          "[forwarder][repeated_refusal]") {
  ForwarderFixture fixture(std::chrono::seconds(2));
  std::vector<Service> services = ForwarderFixture::Services();
  services[1].max_connections = 1;
  fixture.view.config = std::make_shared<RoutingConfig>(2, fixture.view.config->routes(), services,
                                                        std::nullopt, CallerLimits{});
  RepeatingTarget target(503);
  net::ScriptedTarget& server = fixture.AddTarget("t1", std::ref(target), "keyed");
  const net::RawClient& client = fixture.Send("/keyed/x", "r");
  REQUIRE(fixture.RunUntil([&] {
    fixture.forwarder.DispatchWaiting();
    return ForwarderFixture::IsComplete(client.received);
  }));
  CHECK(ForwarderFixture::StatusOf(client.received) == 200);
  CHECK(server.connections() == 2);
  CHECK(fixture.RunUntil([&] { return OpenConnections(server) == 1; }));
}

TEST_CASE("the log tells the connection of a refusal and of a copy that arrives while it is idle",
          "[forwarder][repeated_refusal]") {
  ForwarderFixture fixture(std::chrono::milliseconds(200));
  const std::string refusal = TargetResponse("r", 503, "", "Not-Run: 1\r\n");
  net::ScriptedTarget& target =
      fixture.AddTarget("t1", [&](const std::string& /*request*/, std::size_t /*connection*/) {
        return Reaction{refusal};
      });
  fixture.Send("/write/x", "r");
  REQUIRE(fixture.RunUntil([&] { return fixture.log.events["not_run"] == 1; }));
  CHECK(fixture.log.last["not_run"]["connection"] == 1);
  CHECK(fixture.log.last["not_run"]["connection_calls"] == 1);
  target.Write(0, refusal);
  REQUIRE(fixture.RunUntil([&] { return fixture.log.events["unsolicited_answer"] == 1; }));
  CHECK(fixture.log.last["unsolicited_answer"]["connection"] == 1);
  CHECK(fixture.forwarder.unsolicited_responses() == 1);
}

}  // namespace
}  // namespace dogwoodport::fleet
