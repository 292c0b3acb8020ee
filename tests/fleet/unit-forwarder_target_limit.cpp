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

/// A target that names a limit of 0.
Reaction NameZeroLimit(const std::string& request, std::size_t /*connection*/) {
  return Reaction{TargetResponse(FieldOf(request, "Id"), 200, "ran", "Signed: 1\r\nLimit: 0\r\n")};
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

/// What a target responds once it no longer names its limit.
struct LaterResponse {
  const char* description;
  int status;
  const char* fields;
  bool ends_limit;
};

TEST_CASE("only a served request without the field ends a limit", "[target_limit]") {
  const auto it = GENERATE(values<LaterResponse>({
      {"a success", 200, "Signed: 1\r\n", true},
      {"a success without a signature", 200, "", false},
      {"a failure", 500, "Signed: 1\r\n", false},
      {"a refusal", 503, "Not-Run: 1\r\n", false},
  }));
  INFO(it.description);
  ForwarderFixture fixture;
  const TargetIncarnation id{"t", 1};
  std::size_t requests = 0;
  fixture.AddTarget("t", [&](const std::string& request, std::size_t connection) {
    if (++requests == 1) return NameLimit(request, connection);
    return Reaction{TargetResponse(FieldOf(request, "Id"), it.status, "", it.fields)};
  });
  // This instance is the coordinator, so it has tokens.
  LendingStart start;
  start.first = true;
  start.took_over_at = start.confirmed_at = fixture.loop.now();
  fixture.view.accounts.BecomeCoordinator(start);
  fixture.view.accounts.ConfirmRole(fixture.loop.now() + std::chrono::hours(1));
  fixture.Call("/write/x", "a");
  REQUIRE(fixture.view.target_limits.RateOf(id) == kLimit);
  net::RawClient& client = fixture.Send("/write/x", "b");
  REQUIRE(fixture.RunUntil([&] {
    fixture.forwarder.DispatchWaiting();
    return ForwarderFixture::IsComplete(client.received);
  }));
  CHECK(requests == 2);
  CHECK(fixture.view.target_limits.any() != it.ends_limit);
}

TEST_CASE("requests that wait for a limited owner do not delay those of other owners",
          "[target_limit]") {
  ForwarderFixture fixture(std::chrono::seconds(3));
  fixture.AddTarget("limited", NameLimit, "keyed");
  net::ScriptedTarget& other = fixture.AddTarget(
      "other",
      [](const std::string& request, std::size_t /*connection*/) {
        return Reaction{TargetResponse(FieldOf(request, "Id"), 200, "ran")};
      },
      "keyed");
  // Key 7, which the requests have, belongs to the limited target first.
  KeyRange& range = fixture.view.keys.services["keyed"].front();
  range.owner = "limited";
  CHECK(ForwarderFixture::StatusOf(fixture.Call("/keyed/x", "a")) == 200);
  for (int i = 0; i < 4; ++i) fixture.Send("/keyed/x", "w" + std::to_string(i));
  REQUIRE(fixture.RunUntil([&] { return fixture.forwarder.waiting() == 4; }));
  CHECK(fixture.view.target_limits.TakeUsage(fixture.loop.now())[0].queued == 4);
  range.owner = "other";
  ++fixture.view.keys.revision;
  CHECK(ForwarderFixture::StatusOf(fixture.Call("/keyed/x", "b")) == 200);
  fixture.forwarder.DispatchWaiting();
  REQUIRE(fixture.RunUntil([&] { return other.requests().size() == 5; }));
}

TEST_CASE("a request waits for the token that the lender of a small limit has", "[target_limit]") {
  ForwarderFixture fixture(std::chrono::seconds(1));
  net::ScriptedTarget& target = fixture.AddTarget("t", NameZeroLimit, "keyed");
  fixture.view.accounts.SetIdentity("self", 1);
  fixture.view.accounts.SetLenders({"lender"}, 1, LoanRole::kBorrower);
  REQUIRE(ForwarderFixture::StatusOf(fixture.Call("/keyed/x", "a")) == 200);
  net::RawClient& client = fixture.Send("/keyed/x", "b");
  REQUIRE(fixture.RunUntil([&] { return fixture.forwarder.waiting() == 1; }));
  fixture.view.accounts.Tick(fixture.loop.now());
  const std::vector<LoanMessage> messages = fixture.view.accounts.TakeMessages();
  REQUIRE(messages.size() == 1);
  const LoanRequest request = std::get<LoanRequest>(messages[0].body);
  REQUIRE(request.lines.size() == 1);
  CHECK(request.lines[0].needed == 1);
  LoanGrant grant;
  grant.lender = "lender";
  grant.incarnation = grant.borrower_incarnation = grant.session = 1;
  grant.stamp_us = fixture.loop.Refresh().time_since_epoch().count();
  grant.valid_us = 2'500'000;
  grant.lines = {{request.lines[0].account, 1, 0}};
  fixture.view.accounts.OnGrant(grant, fixture.loop.now());
  fixture.forwarder.OnTokensAvailable();
  REQUIRE(fixture.RunUntil([&] { return ForwarderFixture::IsComplete(client.received); }));
  CHECK(ForwarderFixture::StatusOf(client.received) == 200);
  CHECK(target.requests().size() == 2);
}

TEST_CASE("a request that a limit has no room for in time is refused at once", "[target_limit]") {
  const std::chrono::seconds objective(20);
  ForwarderFixture fixture(objective);
  net::ScriptedTarget& target = fixture.AddTarget("t", NameZeroLimit, "keyed");
  REQUIRE(ForwarderFixture::StatusOf(fixture.Call("/keyed/x", "a")) == 200);
  // The lender may have a token for the first request that waits, but not for the next one in time.
  fixture.Send("/keyed/x", "b");
  REQUIRE(fixture.RunUntil([&] { return fixture.forwarder.waiting() == 1; }));
  const TimePoint sent_at = fixture.loop.Refresh();
  const std::string response = fixture.Call("/keyed/x", "c");
  CHECK(fixture.loop.Refresh() - sent_at < objective / 2);
  CHECK(ForwarderFixture::StatusOf(response) == 503);
  CHECK(FieldOf(response, "Code") == "target_limited");
  CHECK(FieldOf(response, "Run") == "no");
  CHECK_FALSE(FieldOf(response, "Retry-After").empty());
  CHECK(target.requests().size() == 1);
}

}  // namespace
}  // namespace dogwoodport::fleet
