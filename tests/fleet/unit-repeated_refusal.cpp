#include <map>
#include <set>

#include "fleet/forwarder_world.h"

namespace dogwoodport::fleet {
namespace {

using net::Reaction;

std::string Refusal(const std::string& id) { return TargetResponse(id, 503, "", "Not-Run: 1\r\n"); }

/// Refuses each request at its first arrival and runs it at the next one. If that one arrives on
/// the connection of the refusal, a copy of the refusal takes the place of the response.
class RepeatingTarget {
 public:
  explicit RepeatingTarget(int refusal_status, std::string refusal_fields = "Not-Run: 1\r\n")
      : refusal_status_(refusal_status), refusal_fields_(std::move(refusal_fields)) {}

  Reaction operator()(const std::string& request, std::size_t connection) {
    const std::string id = FieldOf(request, "Id");
    const std::string refusal = TargetResponse(id, refusal_status_, "", refusal_fields_);
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
  std::string refusal_fields_;
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

/// Makes all routes `kind` with `max_attempts`, and limits the connections to keyed targets.
void Configure(ForwarderFixture& fixture, RequestKind kind, int max_attempts,
               std::size_t max_connections = 0) {
  std::vector<Route> routes = fixture.view.config->routes();
  for (Route& route : routes) {
    route.kind = kind;
    route.max_attempts = max_attempts;
  }
  std::vector<Service> services = ForwarderFixture::Services();
  services[1].max_connections = max_connections;
  fixture.view.config =
      std::make_shared<RoutingConfig>(2, routes, services, std::nullopt, CallerLimits{});
}

/// Dispatches waiting requests until the response to a client is complete.
void AwaitResponse(ForwarderFixture& fixture, const net::RawClient& client) {
  REQUIRE(fixture.RunUntil([&] {
    fixture.forwarder.DispatchWaiting();
    return ForwarderFixture::IsComplete(client.received);
  }));
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
  ForwarderFixture fixture;
  Configure(fixture, it.kind, max_attempts);
  RepeatingTarget target(it.refusal_status);
  const net::ScriptedTarget& server =
      fixture.AddTarget("t1", std::ref(target), it.path == "/keyed/" ? "keyed" : "plain");
  net::RawClient& client = fixture.Send(it.path + "x", "r");
  REQUIRE(fixture.RunUntil([&] { return fixture.log.events["not_run"] == 1; }));
  if (it.is_renamed) Rename(fixture, "t1", "t2");
  AwaitResponse(fixture, client);
  CHECK(ForwarderFixture::StatusOf(client.received) == 200);
  CHECK(target.runs["r"] == 1);
  CHECK(server.requests().size() == 2);
}

struct Arrival {
  const char* description;
  /// Written after the refusal, in the same write.
  std::string after_refusal;
  /// Written before the response to the second send, if that uses the same connection.
  std::string before_response;
};

TEST_CASE("copies of a refusal in other moments do not answer the request",
          "[forwarder][repeated_refusal]") {
  const std::string copy = Refusal("r");
  const auto it = GENERATE_COPY(values<Arrival>({
      {"in the same read as the refusal", copy, ""},
      {"partly in the same read as the refusal", copy.substr(0, 20), copy.substr(20)},
      {"after an interim response", "", "HTTP/1.1 103 X\r\n\r\n" + copy},
      {"more than once", "", copy + copy + copy},
  }));
  const auto kind = GENERATE(RequestKind::kIdempotent, RequestKind::kNonIdempotent);
  const std::string method = GENERATE("POST", "HEAD");
  INFO(it.description << ", " << method);
  ForwarderFixture fixture;
  Configure(fixture, kind, 2);
  std::size_t sends = 0;
  std::size_t runs = 0;
  fixture.AddTarget(
      "t1",
      [&](const std::string&, std::size_t connection) {
        if (++sends == 1) return Reaction{copy + it.after_refusal};
        ++runs;
        return Reaction{(connection == 0 ? it.before_response : "") + TargetResponse("r", 200, "")};
      },
      "keyed");
  fixture.clients.push_back(
      std::make_unique<net::RawClient>(fixture.loop, fixture.server.address()));
  net::RawClient& client = *fixture.clients.back();
  client.stream->Write(method + " /keyed/x HTTP/1.1\r\nHost: a\r\nKey: 7\r\nId: r\r\n\r\n");
  AwaitResponse(fixture, client);
  CHECK(ForwarderFixture::StatusOf(client.received) == 200);
  CHECK(runs == 1);
}

TEST_CASE("a copy of the refusal of a request does not answer a later one with the same id",
          "[forwarder][repeated_refusal]") {
  ForwarderFixture fixture(std::chrono::milliseconds(400));
  std::size_t sends = 0;
  std::size_t runs = 0;
  fixture.AddTarget("t1", [&](const std::string&, std::size_t connection) {
    if (++sends == 1) return Reaction{Refusal("r")};
    ++runs;
    return Reaction{(connection == 0 ? Refusal("r") : "") + TargetResponse("r", 200, "ran")};
  });
  CHECK(ForwarderFixture::StatusOf(fixture.Call("/write/x", "r")) == 503);
  CHECK(ForwarderFixture::StatusOf(fixture.Call("/write/x", "r")) == 200);
  CHECK(runs == 1);
}

struct OddCase {
  const char* description;
  RequestKind kind;
  /// Fields of the first response, whose status is 200.
  std::string fields;
};

// The status alone does not tell whether a response is final.
TEST_CASE("a copy of a success that is not final does not answer the request sent again",
          "[forwarder][repeated_refusal]") {
  const auto it = GENERATE(values<OddCase>({
      {"says that the request has not run", RequestKind::kNonIdempotent, "Not-Run: 1\r\n"},
      {"has no signature", RequestKind::kIdempotent, ""},
  }));
  INFO(it.description);
  ForwarderFixture fixture;
  Configure(fixture, it.kind, 2, 1);
  RepeatingTarget target(200, it.fields);
  fixture.AddTarget("t1", std::ref(target), "keyed");
  const net::RawClient& client = fixture.Send("/keyed/x", "r");
  AwaitResponse(fixture, client);
  CHECK(ForwarderFixture::StatusOf(client.received) == 200);
  CHECK(target.runs["r"] == 1);
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
  ForwarderFixture fixture;
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
  ForwarderFixture fixture;
  Configure(fixture, RequestKind::kNonIdempotent, 3, 1);
  RepeatingTarget target(503);
  net::ScriptedTarget& server = fixture.AddTarget("t1", std::ref(target), "keyed");
  const net::RawClient& client = fixture.Send("/keyed/x", "r");
  AwaitResponse(fixture, client);
  CHECK(ForwarderFixture::StatusOf(client.received) == 200);
  CHECK(server.connections() == 2);
  CHECK(fixture.RunUntil([&] { return OpenConnections(server) == 1; }));
}

// The connection of the refusal is the one that became idle last.
TEST_CASE("a request that is sent again uses an idle connection that became idle earlier",
          "[forwarder][repeated_refusal]") {
  ForwarderFixture fixture;
  Configure(fixture, RequestKind::kNonIdempotent, 2);
  std::size_t sends = 0;
  net::ScriptedTarget& target = fixture.AddTarget(
      "t1",
      [&](const std::string& request, std::size_t) {
        if (++sends <= 2) return Reaction{};  // Answered below.
        return Reaction{TargetResponse(FieldOf(request, "Id"), 200, "ran")};
      },
      "keyed");
  const net::RawClient& other = fixture.Send("/keyed/x", "s");
  REQUIRE(fixture.RunUntil([&] { return target.requests().size() == 1; }));
  net::RawClient& client = fixture.Send("/keyed/x", "r");
  REQUIRE(fixture.RunUntil([&] { return target.requests().size() == 2; }));
  target.Write(0, TargetResponse("s", 200, "ran"));
  REQUIRE(fixture.RunUntil([&] { return ForwarderFixture::IsComplete(other.received); }));
  target.Write(1, Refusal("r"));
  AwaitResponse(fixture, client);
  CHECK(ForwarderFixture::StatusOf(client.received) == 200);
  CHECK(target.connections() == 2);
}

TEST_CASE("the log tells the connection of a refusal and of a copy that arrives while it is idle",
          "[forwarder][repeated_refusal]") {
  ForwarderFixture fixture(std::chrono::milliseconds(200));
  const std::string refusal = Refusal("r");
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
