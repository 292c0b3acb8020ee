#include <csignal>

#include "platform_standin/deployment.h"

namespace dogwoodport::platform::standin {
namespace {

using std::chrono::seconds;

std::string Nested(std::size_t depth, const char* open, const char* close) {
  std::string text;
  for (std::size_t i = 0; i < depth; ++i) text += open;
  for (std::size_t i = 0; i < depth; ++i) text += close;
  return text;
}

/// Returns an entry whose fields are valid but for the given ones.
std::string Entry(const std::string& fields) {
  return R"({"service":"stock","address":"127.0.0.1:9","zone":"east","version":"v1","slots":4,)"
         R"("state":"ready","born":5,"sequence":1,)" +
         fields + "}";
}

/// Values of other writers. A field that occurs twice has its last value.
std::vector<std::string> OddValues() {
  return {
      Nested(60'000, "[", "]"),
      Nested(30'000, R"({"a":)", "}"),
      Entry(R"("extra":)" + Nested(60'000, "[", "]")),
      Entry(R"("slots":1e999)"),
      Entry(R"("slots":1e300)"),
      Entry(R"("sequence":1e30)"),
      Entry(R"("born":-1)"),
      Entry(R"("address":"127.0.0.1:70000")"),
      Entry(R"("address":"host.example:80")"),
      Entry(R"("service":"no such service")"),
      Entry(R"("state":"odd")"),
      std::string(200'000, '7'),
      "\xff\xfe{",
      "7",
      "null",
  };
}

// Guards against instances that end, or stop following the targets, because of one odd entry.
TEST_CASE("odd entries among those of the targets have no effect", "[odd_entry]") {
  TestEnvironment env;
  REQUIRE(env.RunUntilServed(100));
  std::vector<std::size_t> starts;
  for (std::size_t i = 0; i < env.fleet.instances(); ++i) starts.push_back(env.fleet.Starts(i));
  // Enough keys ahead of the targets' ids to fill more than a page of the newest records.
  const std::vector<std::string> odd = OddValues();
  for (int i = 0; i < 600; ++i) {
    env.fleet.store().PutTarget("odd-" + std::to_string(i),
                                i < 15 ? odd[static_cast<std::size_t>(i)] : "{}");
  }
  env.fleet.store().PutTarget("odd\r\nkey", Entry(R"("a":1)"));
  // Also under the ids of live targets, a few at a time, so that each is read.
  for (std::size_t i = 0; i < odd.size(); ++i) {
    const std::size_t target = i % env.fleet.targets();
    env.fleet.store().PutTarget(env.fleet.Target(target)->settings().id, odd[i]);
    if (i % 3 == 2) env.fleet.Run(seconds(1));
  }
  // Valid but for its sequence number, which must not make later heartbeats count as older.
  const TargetSettings& live = env.fleet.Target(0)->settings();
  env.fleet.store().PutTarget(
      live.id, Entry(R"("address":")" + env.fleet.TargetProxy(0).address() + R"(","born":)" +
                     std::to_string(live.started_at_ms) + R"(,"sequence":1e30)"));
  env.fleet.Run(seconds(1));
  REQUIRE(env.RunUntilServed(100));
  for (std::size_t i = 0; i < env.fleet.instances(); ++i) CHECK(env.fleet.Starts(i) == starts[i]);

  SECTION("targets that drain get no requests") {
    const TargetServer& target = *env.fleet.Target(0);
    env.fleet.DrainTarget(0);
    env.fleet.Run(seconds(2));
    const std::size_t arrivals = target.arrivals().size();
    env.fleet.Run(std::chrono::milliseconds(800));
    CHECK(target.arrivals().size() == arrivals);
    // Its successor is used.
    REQUIRE(env.fleet.RunUntil(
        [&] { return env.fleet.Target(0) != nullptr && env.fleet.Target(0)->runs() > 0; },
        kTimeout));
  }
  SECTION("an instance that starts reads the others") {
    env.fleet.Signal(0, SIGKILL);
    REQUIRE(env.fleet.RunUntil([&] { return env.fleet.Starts(0) > starts[0]; }, kTimeout));
    REQUIRE(env.fleet.RunUntilReady(kTimeout));
    REQUIRE(env.RunUntilServed(100));
    CHECK(env.fleet.Starts(0) == starts[0] + 1);
  }
  SECTION("the feed is read again after its history was deleted") {
    env.fleet.store().Compact();
    env.fleet.RemoveTarget(1);
    REQUIRE(env.fleet.RunUntil(
        [&] {
          return env.fleet.Target(1) != nullptr && !env.fleet.IsLeaving(1) &&
                 env.fleet.Target(1)->runs() > 0;
        },
        kTimeout));
    for (std::size_t i = 0; i < env.fleet.instances(); ++i) CHECK(env.fleet.Starts(i) == starts[i]);
  }
  env.RequireNoViolations();
}

}  // namespace
}  // namespace dogwoodport::platform::standin
