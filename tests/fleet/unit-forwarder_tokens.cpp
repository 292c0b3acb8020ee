#include "dogwoodport/fleet/detail/name_hash.h"
#include "fleet/forwarder_world.h"

namespace dogwoodport::fleet {
namespace {

using net::Reaction;
using std::chrono::milliseconds;

/// A forwarder with one target, whose account "a" borrows tokens from "lender".
struct TokenFixture : ForwarderFixture {
  TokenFixture() {
    AddAccount("a", 50, "lender");
    AddTarget("t1", [this](const std::string& request, std::size_t /*connection*/) {
      ++arrivals;
      return Reaction{TargetResponse(FieldOf(request, "Id"), 200, "ran")};
    });
    forwarder.on_token_needed = [this] { ++tokens_needed; };
  }

  /// Delivers a grant of the lender, which has lent `granted` tokens in total.
  void Grant(std::uint32_t granted, std::uint32_t wait_ms = 0) {
    LoanGrant grant;
    grant.lender = "lender";
    grant.incarnation = grant.borrower_incarnation = grant.session = 1;
    grant.stamp_us = loop.Refresh().time_since_epoch().count();
    grant.valid_us = 60'000'000;
    grant.lines = {{detail::HashOf("a"), granted, wait_ms}};
    view.accounts.OnGrant(grant, loop.now());
    forwarder.OnTokensAvailable();
  }

  /// Sends a request and returns once it waits for a token.
  net::RawClient& SendWaiting(const std::string& id) {
    net::RawClient& client = Send("/write/x", id);
    REQUIRE(RunUntil([&] { return forwarder.waiting() > 0; }));
    return client;
  }

  int arrivals = 0;
  int tokens_needed = 0;
};

TEST_CASE("a request waits for a token of its account", "[forwarder][tokens]") {
  TokenFixture fixture;
  net::RawClient& client = fixture.SendWaiting("r");
  CHECK(fixture.tokens_needed == 1);
  fixture.Grant(1);
  REQUIRE(fixture.RunUntil([&] { return ForwarderFixture::IsComplete(client.received); }));
  CHECK(ForwarderFixture::StatusOf(client.received) == 200);
  CHECK(fixture.arrivals == 1);
  CHECK(fixture.forwarder.waiting() == 0);
}

TEST_CASE("a request that gets no token is refused without running", "[forwarder][tokens]") {
  TokenFixture fixture;
  const std::string response = fixture.Call("/write/x", "r");
  CHECK(ForwarderFixture::StatusOf(response) == 503);
  CHECK(FieldOf(response, "Code") == "rate_unknown");
  CHECK(FieldOf(response, "Run") == "no");
  CHECK_FALSE(FieldOf(response, "Retry-After").empty());
  fixture.Grant(1);
  CHECK(fixture.arrivals == 0);
}

TEST_CASE("requests that no longer wait do not hold tokens back from later ones",
          "[forwarder][tokens]") {
  TokenFixture fixture;
  REQUIRE(ForwarderFixture::StatusOf(fixture.Call("/write/x", "r1")) == 503);
  fixture.Grant(1);
  CHECK(ForwarderFixture::StatusOf(fixture.Call("/write/x", "r2")) == 200);
}

TEST_CASE("waiting requests of an account above its rate are refused at once",
          "[forwarder][tokens]") {
  TokenFixture fixture;
  net::RawClient& first = fixture.SendWaiting("r1");
  net::RawClient& second = fixture.Send("/write/x", "r2");
  REQUIRE(fixture.RunUntil([&] { return fixture.forwarder.waiting() == 2; }));
  fixture.Grant(1, 500);
  REQUIRE(fixture.RunUntil([&] {
    return ForwarderFixture::IsComplete(first.received) &&
           ForwarderFixture::IsComplete(second.received);
  }));
  CHECK(ForwarderFixture::StatusOf(first.received) == 200);
  CHECK(ForwarderFixture::StatusOf(second.received) == 429);
  CHECK(FieldOf(second.received, "Run") == "no");
}

TEST_CASE("a request abandoned while waiting for a token uses none", "[forwarder][tokens]") {
  TokenFixture fixture;
  fixture.SendWaiting("r1");
  fixture.clients.clear();
  REQUIRE(fixture.RunUntil([&] { return fixture.forwarder.waiting() == 0; }));
  fixture.Grant(1);
  fixture.RunFor(milliseconds(20));
  CHECK(fixture.arrivals == 0);
  CHECK(fixture.view.accounts.FreeTokens("a", fixture.loop.now()) == 1);
}

}  // namespace
}  // namespace dogwoodport::fleet
