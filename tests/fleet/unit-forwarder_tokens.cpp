#include "dogwoodport/fleet/detail/name_hash.h"
#include "fleet/forwarder_world.h"

namespace dogwoodport::fleet {
namespace {

using net::Reaction;
using std::chrono::milliseconds;

/// A forwarder with one target, whose account "a" borrows from "lender".
struct TokenWorld : ForwarderWorld {
  TokenWorld() {
    AddAccount("a", 50, "lender");
    AddTarget("t1", [this](const std::string& request, std::size_t /*connection*/) {
      ++arrivals;
      return Reaction{TargetAnswer(FieldOf(request, "Id"), 200, "ran")};
    });
    forwarder.on_token_needed = [this] { ++needed; };
  }

  /// The lender answers: it has lent `granted` tokens so far.
  void Grant(std::uint32_t granted, std::uint32_t wait_ms = 0) {
    LoanGrant grant;
    grant.lender = "lender";
    grant.incarnation = grant.borrower_incarnation = grant.session = 1;
    grant.stamp_us = loop.Refresh().time_since_epoch().count();
    grant.valid_us = 60'000'000;
    grant.lines = {{detail::HashOf("a"), granted, wait_ms}};
    view.accounts.OnGrant(grant, loop.now());
    forwarder.OnTokens();
  }

  /// Sends a request and waits until it waits for a token.
  net::RawClient& SendWaiting(const std::string& id) {
    net::RawClient& client = Send("/write/x", id);
    REQUIRE(RunUntil([&] { return forwarder.waiting() > 0; }));
    return client;
  }

  int arrivals = 0;
  int needed = 0;
};

TEST_CASE("a request waits for a token of its account", "[forwarder][tokens]") {
  TokenWorld world;
  net::RawClient& client = world.SendWaiting("r");
  CHECK(world.needed == 1);
  world.Grant(1);
  REQUIRE(world.RunUntil([&] { return ForwarderWorld::IsWhole(client.received); }));
  CHECK(ForwarderWorld::StatusOf(client.received) == 200);
  CHECK(world.arrivals == 1);
  CHECK(world.forwarder.waiting() == 0);
}

TEST_CASE("a request that gets no token is refused and has not run", "[forwarder][tokens]") {
  TokenWorld world;
  const std::string answer = world.Call("/write/x", "r");
  CHECK(ForwarderWorld::StatusOf(answer) == 503);
  CHECK(FieldOf(answer, "Code") == "rate_unknown");
  CHECK(FieldOf(answer, "Run") == "no");
  CHECK_FALSE(FieldOf(answer, "Retry-After").empty());
  world.Grant(1);
  CHECK(world.arrivals == 0);
}

TEST_CASE("requests that have stopped waiting do not keep later ones from a token",
          "[forwarder][tokens]") {
  TokenWorld world;
  REQUIRE(ForwarderWorld::StatusOf(world.Call("/write/x", "r1")) == 503);
  world.Grant(1);
  CHECK(ForwarderWorld::StatusOf(world.Call("/write/x", "r2")) == 200);
}

TEST_CASE("waiting requests of an account above its rate are refused at once",
          "[forwarder][tokens]") {
  TokenWorld world;
  net::RawClient& first = world.SendWaiting("r1");
  net::RawClient& second = world.Send("/write/x", "r2");
  REQUIRE(world.RunUntil([&] { return world.forwarder.waiting() == 2; }));
  world.Grant(1, 500);
  REQUIRE(world.RunUntil([&] {
    return ForwarderWorld::IsWhole(first.received) && ForwarderWorld::IsWhole(second.received);
  }));
  CHECK(ForwarderWorld::StatusOf(first.received) == 200);
  CHECK(ForwarderWorld::StatusOf(second.received) == 429);
  CHECK(FieldOf(second.received, "Run") == "no");
}

TEST_CASE("a caller that leaves while its request waits for a token uses none",
          "[forwarder][tokens]") {
  TokenWorld world;
  world.SendWaiting("r1");
  world.clients.clear();
  REQUIRE(world.RunUntil([&] { return world.forwarder.waiting() == 0; }));
  world.Grant(1);
  world.RunFor(milliseconds(20));
  CHECK(world.arrivals == 0);
  CHECK(world.view.accounts.FreeTokens("a", world.loop.now()) == 1);
}

}  // namespace
}  // namespace dogwoodport::fleet
