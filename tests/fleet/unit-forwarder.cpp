#include <fstream>

#include "dogwoodport/fleet/requests/forwarder.h"
#include "fleet/forwarder_world.h"

namespace dogwoodport::fleet {
namespace {

using net::Reaction;
using std::chrono::milliseconds;
using std::chrono::seconds;

std::string IdOf(const std::string& request) { return FieldOf(request, "Id"); }

Reaction Serve(const std::string& request) {
  return {TargetResponse(IdOf(request), 200, "ran " + IdOf(request))};
}

Reaction Shed(const std::string& request, const std::string& fields = "") {
  return {TargetResponse(IdOf(request), 503, "", "Not-Run: 1\r\n" + fields)};
}

/// How a response is lost after the request has run, and the status that the caller receives.
struct LostResponse {
  const char* description;
  Reaction reaction;
  int status;
};

TEST_CASE("a request that may have run is never reported as not run", "[forwarder][lost_answer]") {
  const std::string cut = "HTTP/1.1 200 OK\r\nId: r\r\nSigned: 1\r\nContent-Length: 9\r\n\r\nab";
  const auto it = GENERATE_COPY(values<LostResponse>({
      {"closed without a response", {"", Reaction::End::kClose}, 502},
      {"reset without a response", {"", Reaction::End::kReset}, 502},
      {"no response before the timeout", {}, 504},
      {"not an HTTP response", {"nonsense\r\n\r\n"}, 502},
      {"a truncated response", {cut, Reaction::End::kClose}, 502},
      {"a response cut by a reset", {cut, Reaction::End::kReset}, 502},
      {"a body without a length, cut by a reset",
       {"HTTP/1.1 200 OK\r\nId: r\r\nSigned: 1\r\n\r\nab", Reaction::End::kReset},
       502},
      {"a success without a signature", {TargetResponse("r", 200, "ab", "")}, 502},
      {"a 503 without the not-run field", {TargetResponse("r", 503, "", "")}, 502},
      {"a 429 without the not-run field", {TargetResponse("r", 429, "", "")}, 502},
  }));
  const std::string path = GENERATE("/read/", "/write/", "/keyed/");
  INFO(it.description << " at " << path);
  ForwarderFixture fixture(milliseconds(400));
  const auto script = [&](const std::string& /*request*/, std::size_t /*connection*/) {
    return it.reaction;
  };
  net::ScriptedTarget& target =
      fixture.AddTarget("t1", script, path == "/keyed/" ? "keyed" : "plain");
  const std::string response = fixture.Call(path + "x", "r");
  CHECK(ForwarderFixture::StatusOf(response) == it.status);
  CHECK(FieldOf(response, "Run") == "unknown");
  CHECK(target.requests().size() == 1);
}

TEST_CASE("a request whose response was lost is retried only if it is idempotent",
          "[forwarder][lost_answer]") {
  const auto [path, status] =
      GENERATE(table<std::string, int>({{"/read/x", 200}, {"/write/x", 502}}));
  INFO(path);
  ForwarderFixture fixture;
  std::size_t runs = 0;
  const auto script = [&](const std::string& request, std::size_t /*connection*/) {
    return ++runs == 1 ? Reaction{"", Reaction::End::kClose} : Serve(request);
  };
  fixture.AddTarget("t1", script);
  fixture.AddTarget("t2", script);
  CHECK(ForwarderFixture::StatusOf(fixture.Call(path, "r")) == status);
  CHECK(runs == (status == 200 ? 2 : 1));
}

TEST_CASE("a request that reached no target is reported as not run, with Retry-After",
          "[forwarder]") {
  const std::string path = GENERATE("/read/x", "/write/x", "/keyed/x");
  INFO(path);
  ForwarderFixture fixture(milliseconds(200));
  const std::string response = fixture.Call(path, "r");
  CHECK(ForwarderFixture::StatusOf(response) == 503);
  CHECK(FieldOf(response, "Run") == "no");
  CHECK_FALSE(FieldOf(response, "Retry-After").empty());
}

TEST_CASE("a duplicate response is not delivered to the next request on the connection",
          "[forwarder][second_copy]") {
  ForwarderFixture fixture;
  std::string previous_response;
  net::ScriptedTarget& target =
      fixture.AddTarget("t1", [&](const std::string& request, std::size_t /*connection*/) {
        const std::string copy = std::exchange(previous_response, Serve(request).bytes);
        return Reaction{copy + previous_response};
      });
  CHECK(fixture.Call("/write/x", "a").find("ran a") != std::string::npos);
  CHECK(fixture.Call("/write/x", "b").find("ran b") != std::string::npos);
  CHECK(target.requests().size() == 2);
}

TEST_CASE("a duplicate refusal is not taken as the response to a retry that runs",
          "[forwarder][second_copy]") {
  // The owner refuses the first attempt. A duplicate of this refusal arrives where the response to
  // the second attempt, which runs, is expected.
  ForwarderFixture fixture;
  std::size_t sends = 0;
  std::size_t runs = 0;
  net::ScriptedTarget& target = fixture.AddTarget(
      "t1",
      [&](const std::string& request, std::size_t connection) {
        if (++sends == 1) return Shed(request);
        ++runs;
        const std::string copy = connection == 0 ? Shed(request).bytes : "";
        return Reaction{copy + Serve(request).bytes};
      },
      "keyed");
  net::RawClient& client = fixture.Send("/keyed/x", "r");
  REQUIRE(fixture.RunUntil([&] {
    fixture.forwarder.DispatchWaiting();
    return ForwarderFixture::IsComplete(client.received);
  }));
  CHECK(ForwarderFixture::StatusOf(client.received) == 200);
  CHECK(runs == 1);
  CHECK(target.requests().size() == 2);
}

TEST_CASE("a duplicate refusal is not taken as the response to the next request on the connection",
          "[forwarder][second_copy]") {
  // The refusal of the first request arrives again while the second one runs.
  struct Ending {
    const char* description;
    bool is_answered;
    int status;
  };
  const auto it = GENERATE(values<Ending>({{"answered later", true, 200}, {"closed", false, 502}}));
  const std::string path = GENERATE("/read/", "/write/", "/keyed/");
  INFO(path << ", " << it.description);
  ForwarderFixture fixture(milliseconds(400));
  std::string refusal;
  std::size_t runs = 0;
  const auto script = [&](const std::string& request, std::size_t /*connection*/) {
    if (refusal.empty()) {
      refusal = Shed(request).bytes;
      return Reaction{refusal};
    }
    if (IdOf(request) == "a") return Shed(request);
    ++runs;
    return it.is_answered ? Reaction{refusal + Serve(request).bytes}
                          : Reaction{refusal, Reaction::End::kClose};
  };
  fixture.AddTarget("t1", script, path == "/keyed/" ? "keyed" : "plain");
  CHECK(ForwarderFixture::StatusOf(fixture.Call(path + "x", "a")) == 503);
  const std::string response = fixture.Call(path + "x", "b");
  CHECK(ForwarderFixture::StatusOf(response) == it.status);
  if (!it.is_answered) CHECK(FieldOf(response, "Run") == "unknown");
  CHECK(runs == 1);
}

TEST_CASE("a response that breaks off at any byte is not passed on as complete",
          "[forwarder][broken_off]") {
  const std::string full = "HTTP/1.1 200 OK\r\nId: r\r\nSigned: 1\r\nContent-Length: 4\r\n\r\nbody";
  const auto end = GENERATE(values({Reaction::End::kClose, Reaction::End::kReset}));
  const std::string path = GENERATE("/read/", "/write/", "/keyed/");
  // A request that may be repeated waits for another target until its timeout.
  const std::size_t step = path == "/read/" ? 9 : 1;
  for (std::size_t n = 0; n < full.size(); n += step) {
    INFO(path << ", " << n << " bytes");
    ForwarderFixture fixture(milliseconds(400));
    fixture.AddTarget(
        "t1",
        [&](const std::string& /*request*/, std::size_t /*connection*/) {
          return Reaction{full.substr(0, n), end};
        },
        path == "/keyed/" ? "keyed" : "plain");
    const std::string response = fixture.Call(path + "x", "r");
    CHECK(ForwarderFixture::StatusOf(response) == 502);
    CHECK(FieldOf(response, "Run") == "unknown");
  }
}

TEST_CASE(
    "a request that may not be repeated is refused if the process may end before its response",
    "[forwarder][planned_stop]") {
  struct Example {
    const char* path;
    int status;
  };
  const auto it =
      GENERATE(values<Example>({{"/read/x", 200}, {"/write/x", 503}, {"/keyed/x", 503}}));
  INFO(it.path);
  ForwarderFixture fixture(seconds(2));
  for (const char* service : {"plain", "keyed"}) {
    fixture.AddTarget(
        service, [](const std::string& request, std::size_t) { return Serve(request); }, service);
  }
  fixture.forwarder.SetStopping(fixture.loop.now() + seconds(1));
  const std::string response = fixture.Call(it.path, "r");
  CHECK(ForwarderFixture::StatusOf(response) == it.status);
  if (it.status != 503) return;
  CHECK(FieldOf(response, "Run") == "no");
  CHECK(FieldOf(response, "Code") == "shutting_down");
  CHECK_FALSE(FieldOf(response, "Retry-After").empty());
}

TEST_CASE("a request continues at a target whose heartbeats stop", "[forwarder][silent_target]") {
  const std::string path = GENERATE("/read/x", "/write/x", "/keyed/x");
  INFO(path);
  ForwarderFixture fixture;
  const std::string service = path == "/keyed/x" ? "keyed" : "plain";
  net::ScriptedTarget& target = fixture.AddTarget(
      "t1", [](const std::string&, std::size_t) { return Reaction{}; }, service);
  net::RawClient& client = fixture.Send(path, "r");
  REQUIRE(fixture.RunUntil([&] { return target.requests().size() == 1; }));
  // Another target could take the request if the attempt were aborted.
  net::ScriptedTarget& other = fixture.AddTarget(
      "t2", [](const std::string& request, std::size_t) { return Serve(request); }, service);
  fixture.view.directory.Remove("t1", fixture.loop.now(), false);
  fixture.forwarder.DispatchWaiting();
  fixture.forwarder.Maintain();
  fixture.RunFor(milliseconds(100));
  target.Write(0, TargetResponse("r", 200, "ran r"));
  REQUIRE(fixture.RunUntil([&] { return ForwarderFixture::IsComplete(client.received); }));
  CHECK(ForwarderFixture::StatusOf(client.received) == 200);
  CHECK(other.requests().empty());
}

TEST_CASE("a target that announces that it is leaving gets no further requests",
          "[forwarder][leaving]") {
  ForwarderFixture fixture;
  net::ScriptedTarget& target =
      fixture.AddTarget("t1", [](const std::string& request, std::size_t) {
        return Reaction{TargetResponse(IdOf(request), 200, "", "Signed: 1\r\nLeaving: 1\r\n")};
      });
  std::vector<std::string> leaving_ids;
  fixture.forwarder.on_target_leaving = [&](const std::string& id) { leaving_ids.push_back(id); };
  CHECK(ForwarderFixture::StatusOf(fixture.Call("/write/x", "a")) == 200);
  CHECK(ForwarderFixture::StatusOf(fixture.Call("/write/x", "b")) == 503);
  CHECK(leaving_ids == std::vector<std::string>{"t1"});
  // A heartbeat sent before the announcement may arrive after it.
  TargetEntry entry = fixture.view.directory.Find("t1")->entry;
  entry.phase = TargetPhase::kReady;
  ++entry.sequence;
  fixture.view.directory.Apply(entry, fixture.loop.now());
  CHECK(ForwarderFixture::StatusOf(fixture.Call("/write/x", "c")) == 503);
  CHECK(target.requests().size() == 1);
  // After a restart the target may be used.
  ++entry.incarnation;
  fixture.view.directory.Apply(entry, fixture.loop.now());
  CHECK(ForwarderFixture::StatusOf(fixture.Call("/write/x", "d")) == 200);
}

// Guards against a target that gets requests again when its entry comes back.
TEST_CASE("a target that announces that it is leaving while it has no entry stays unused",
          "[forwarder][leaving]") {
  ForwarderFixture fixture;
  net::ScriptedTarget& target =
      fixture.AddTarget("t1", [](const std::string&, std::size_t) { return Reaction{}; });
  net::RawClient& client = fixture.Send("/write/x", "a");
  REQUIRE(fixture.RunUntil([&] { return target.requests().size() == 1; }));
  TargetEntry entry = fixture.view.directory.Find("t1")->entry;
  fixture.view.directory.Remove("t1", fixture.loop.now(), false);
  target.Write(0, TargetResponse("a", 200, "", "Signed: 1\r\nLeaving: 1\r\n"));
  REQUIRE(fixture.RunUntil([&] { return ForwarderFixture::IsComplete(client.received); }));
  ++entry.sequence;
  CHECK(fixture.view.directory.Apply(entry, fixture.loop.now()) == TargetChange::kJoined);
  CHECK(fixture.view.directory.Find("t1")->entry.phase == TargetPhase::kDraining);
}

TEST_CASE("a target that requests a back-off gets no requests until it has ended",
          "[forwarder][back_off]") {
  const std::string path = GENERATE("/write/x", "/keyed/x");
  INFO(path);
  ForwarderFixture fixture;
  std::vector<TimePoint> arrivals;
  fixture.AddTarget(
      "t1",
      [&](const std::string& request, std::size_t) {
        arrivals.push_back(fixture.loop.Refresh());
        return arrivals.size() == 1 ? Shed(request, "Back-Off: 700\r\n") : Serve(request);
      },
      path == "/keyed/x" ? "keyed" : "plain");
  fixture.Send(path, "a");
  REQUIRE(fixture.RunUntil([&] { return arrivals.size() == 1; }));
  for (int i = 0; i < 5; ++i) fixture.Send(path, "b" + std::to_string(i));
  // Waiting requests are sent as soon as the back-off has ended.
  fixture.RunUntil([&] {
    fixture.forwarder.DispatchWaiting();
    return arrivals.size() >= 2;
  });
  REQUIRE(arrivals.size() >= 2);
  CHECK(arrivals[1] - arrivals[0] >= milliseconds(700));
}

TEST_CASE("the owner of a hot key has requests queued for its slots", "[forwarder][hot_key]") {
  // Ten callers request the same key. The owner has four slots and takes 50 ms per request. A slot
  // that becomes free is reused at once because two more requests wait at the owner.
  ForwarderFixture fixture;
  std::size_t requests_at_owner = 0;
  std::size_t max_at_owner = 0;
  net::ScriptedTarget* owner = nullptr;
  owner = &fixture.AddTarget(
      "t1",
      [&](const std::string& request, std::size_t connection) {
        max_at_owner = std::max(max_at_owner, ++requests_at_owner);
        fixture.loop.RunAfter(milliseconds(50), [&, connection, id = IdOf(request)] {
          --requests_at_owner;
          owner->Write(connection, TargetResponse(id, 200, "ran"));
        });
        return Reaction{};
      },
      "keyed");
  std::vector<net::RawClient*> clients;
  for (int i = 0; i < 10; ++i) clients.push_back(&fixture.Send("/keyed/x", std::to_string(i)));
  REQUIRE(fixture.RunUntil([&] {
    return std::all_of(clients.begin(), clients.end(),
                       [](net::RawClient* c) { return ForwarderFixture::IsComplete(c->received); });
  }));
  for (net::RawClient* const client : clients) {
    CHECK(ForwarderFixture::StatusOf(client->received) == 200);
  }
  CHECK(max_at_owner == 6);
}

TEST_CASE("resets of new connections do not eject a target", "[forwarder][full_target]") {
  ForwarderFixture fixture;
  bool full = true;
  fixture.AddTarget("t1", [&](const std::string& request, std::size_t) {
    return full ? Reaction{"", Reaction::End::kReset} : Serve(request);
  });
  for (int i = 0; i < 6; ++i) {
    CHECK(ForwarderFixture::StatusOf(fixture.Call("/write/x", std::to_string(i))) == 502);
  }
  full = false;
  CHECK(ForwarderFixture::StatusOf(fixture.Call("/write/x", "r")) == 200);
}

/// A response that never ends.
struct Endless {
  const char* description;
  std::string head;
  std::string endless;
  Duration interval;
};

/// Resident memory of this process, in bytes.
std::size_t ResidentBytes() {
  std::ifstream file("/proc/self/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  file >> total >> resident;
  return resident * 4096;
}

TEST_CASE("endless responses fail and do not exhaust the memory", "[forwarder][endless]") {
  const std::string kib(1024, 'x');
  const auto it = GENERATE_COPY(values<Endless>({
      {"an endless header line", "HTTP/1.1 200 OK\r\nX-Long: ", kib, Duration{0}},
      {"endless header fields", "HTTP/1.1 200 OK\r\n", "X-Many: 1\r\n", Duration{0}},
      {"interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n", Duration{0}},
      {"responses to other requests", "", TargetResponse("other", 200, kib), Duration{0}},
      {"a body without a length", "HTTP/1.1 200 OK\r\nId: r\r\nSigned: 1\r\n\r\n", kib,
       Duration{0}},
      {"a chunked body",
       "HTTP/1.1 200 OK\r\nId: r\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
       "400\r\n" + kib + "\r\n", Duration{0}},
      {"a body with a large Content-Length",
       "HTTP/1.1 200 OK\r\nId: r\r\nSigned: 1\r\nContent-Length: 60000000\r\n\r\n", kib,
       Duration{0}},
      {"a header line, byte by byte", "HTTP/1.1 200 OK\r\nX-Long: ", "x", milliseconds(20)},
      {"a body, byte by byte", "HTTP/1.1 200 OK\r\nId: r\r\nSigned: 1\r\n\r\n", "x",
       milliseconds(20)},
  }));
  INFO(it.description);
  ForwarderFixture fixture(seconds(2));
  net::ScriptedTarget& faulty = fixture.AddTarget("t1", [&](const std::string&, std::size_t) {
    return Reaction{it.head, Reaction::End::kKeepOpen, it.endless, it.interval};
  });
  const std::size_t memory_before = ResidentBytes();
  std::vector<net::RawClient*> clients;
  for (int i = 0; i < 4; ++i) clients.push_back(&fixture.Send("/write/x", "r"));
  REQUIRE(fixture.RunUntil([&] {
    return std::all_of(clients.begin(), clients.end(),
                       [](net::RawClient* c) { return ForwarderFixture::IsComplete(c->received); });
  }));
  for (net::RawClient* const client : clients) {
    const int status = ForwarderFixture::StatusOf(client->received);
    CHECK((status == 502 || status == 504));
  }
  // Four responses, each of which may take at most a quarter of the budget. The socket buffers of
  // the kernel are not included.
  CHECK(ResidentBytes() < memory_before + net::BodyBudget::kDefaultBytes);
  REQUIRE(fixture.RunUntil([&] {
    for (std::size_t i = 0; i < faulty.connections(); ++i) {
      if (!faulty.ended(i)) return false;
    }
    return true;
  }));
}

}  // namespace
}  // namespace dogwoodport::fleet
