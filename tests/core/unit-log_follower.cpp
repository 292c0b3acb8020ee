#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "dogwoodport/standin/state_cluster.h"

namespace dogwoodport {
namespace {

using standin::SmallDocument;
using standin::StateCluster;
using standin::StateClusterSettings;
using std::chrono::milliseconds;
using std::chrono::seconds;

StateClusterSettings Hooghly() {
  StateClusterSettings settings;
  settings.data_centres = {{"barasat", 3}, {"bowbazar", 3}, {"howrah", 3}, {"serampore", 2}};
  return settings;
}

nlohmann::json DocumentWithRate(double rate) {
  nlohmann::json document = SmallDocument(Hooghly());
  document["defaults"]["rate"] = rate;
  return document;
}

/// Cluster in which all instances are ready and have configuration version 1.
struct ReadyCluster {
  explicit ReadyCluster(StateClusterSettings settings = Hooghly()) : cluster(settings) {
    cluster.Bootstrap();
    cluster.RunFor(seconds(3));
    for (const auto& node : cluster.nodes()) {
      INFO(node.name);
      REQUIRE(node.follower->ready());
      REQUIRE(node.follower->state().config()->version == 1);
    }
  }

  /// Runs until all live instances have `version`, but at most for `bound`. Returns the elapsed
  /// time.
  Duration AwaitVersion(std::uint64_t version, Duration bound = seconds(60)) {
    const TimePoint start = cluster.now();
    while (cluster.now() - start < bound && !AllHaveVersion(version))
      cluster.RunFor(milliseconds(10));
    return cluster.now() - start;
  }

  bool AllHaveVersion(std::uint64_t version) {
    auto& nodes = cluster.nodes();
    return std::all_of(nodes.begin(), nodes.end(), [&](const auto& node) {
      return !node.alive || node.follower->state().config()->version == version;
    });
  }

  void CheckEqualStates() {
    const auto& first = cluster.nodes().front().follower->state();
    for (const auto& node : cluster.nodes()) {
      INFO(node.name);
      CHECK_FALSE(node.went_back);
      if (!node.alive) continue;
      CHECK(node.follower->state().Digest() == first.Digest());
    }
  }

  int CountReaders(const std::string& data_centre) {
    int readers = 0;
    for (const auto& node : cluster.nodes()) {
      const bool counts = node.alive && node.data_centre == data_centre;
      readers += counts && node.follower->is_reader() ? 1 : 0;
    }
    return readers;
  }

  StateCluster cluster;
};

}  // namespace

TEST_CASE("a change is in force everywhere within 3 s") {
  StateClusterSettings settings = Hooghly();
  settings.message_loss = GENERATE(0.0, 0.1);
  ReadyCluster run(settings);
  SECTION("with a healthy log") {}
  SECTION("with a log whose responses take 2 s") {
    // Guards against sequential reads, each of which would add the whole delay.
    run.cluster.log().SetFaults({false, seconds(2), 0});
  }
  run.cluster.Publish("asha", ConfigChange{1, DocumentWithRate(50)});
  CHECK(run.AwaitVersion(2) <= seconds(3));
  run.CheckEqualStates();
}

TEST_CASE("one instance reads the log for its data centre") {
  ReadyCluster run;
  for (const char* name : {"barasat", "bowbazar", "howrah", "serampore"}) {
    CHECK(run.CountReaders(name) == 1);
  }
  SECTION("another takes over when the coordinator is lost") {
    run.cluster.Kill("howrah-1");
    run.cluster.RunFor(seconds(1));
    CHECK(run.CountReaders("howrah") == 1);
    run.cluster.Publish("asha", ConfigChange{1, DocumentWithRate(50)});
    CHECK(run.AwaitVersion(2) <= seconds(3));
    SECTION("and its restarted process is a new member that is not the coordinator") {
      run.cluster.Restart("howrah-1");
      run.cluster.RunFor(seconds(3));
      CHECK(run.cluster.node("howrah-1").follower->ready());
      CHECK_FALSE(run.cluster.node("howrah-1").membership->is_coordinator());
      CHECK(run.CountReaders("howrah") == 1);
    }
  }
}

TEST_CASE("the log is down") {
  ReadyCluster run;
  run.cluster.log().SetFaults({true, Duration{0}, 0});
  run.cluster.RunFor(seconds(20));
  SECTION("instances stay ready with the state that they have") {
    for (const auto& node : run.cluster.nodes()) CHECK(node.follower->ready());
  }
  SECTION("a new instance gets the state from the others") {
    // Guards against instances that can only start while the log is up.
    run.cluster.Restart("howrah-2");
    run.cluster.RunFor(seconds(3));
    CHECK(run.cluster.node("howrah-2").follower->ready());
    CHECK(run.cluster.node("howrah-2").follower->state().config()->version == 1);
  }
  SECTION("a write waits and is applied once when the log is up again") {
    auto& writer = run.cluster.node("barasat-2");
    REQUIRE(writer.follower->Submit("asha", "more stock", ConfigChange{1, DocumentWithRate(50)}));
    run.cluster.RunFor(seconds(10));
    CHECK(writer.outcomes.empty());
    run.cluster.log().SetFaults({});
    CHECK(run.AwaitVersion(2) <= seconds(3));
    run.cluster.RunFor(seconds(5));
    REQUIRE(writer.outcomes.size() == 1);
    CHECK(writer.outcomes[0].result->outcome == ApplyOutcome::kApplied);
    run.CheckEqualStates();
  }
  SECTION("the rate of log calls is limited") {
    // Guards against all instances calling an unavailable log at the full rate. The bound allows
    // one call in 2 s for each of the four readers (backoff) and the seven others (probes), with a
    // margin of one call each.
    const std::uint64_t before = run.cluster.log_calls();
    run.cluster.RunFor(seconds(20));
    CHECK(run.cluster.log_calls() - before <= 11 * (20 / 2 + 1));
  }
}

TEST_CASE("a data centre that is cut off from the log gets records from its peers") {
  // Guards against instances that wait for an unreachable log although their peers have the
  // records.
  ReadyCluster run;
  run.cluster.SetLogReachable("howrah", false);
  run.cluster.RunFor(seconds(5));
  run.cluster.Publish("asha", ConfigChange{1, DocumentWithRate(50)});
  CHECK(run.AwaitVersion(2) <= seconds(3));
  run.CheckEqualStates();
}

TEST_CASE("only the reader of a data centre is cut off from the log") {
  // Guards against a stale data centre: only its reader has no route to the log, and the other
  // instances do not read the log themselves.
  ReadyCluster run;
  run.cluster.SetLogReachable("howrah-1", false);
  for (const char* name : {"barasat", "bowbazar", "serampore"}) {
    run.cluster.SetPartitioned(name, true);
  }
  run.cluster.RunFor(seconds(8));
  const int readers = run.CountReaders("howrah");
  CHECK(readers >= 1);
  CHECK(readers <= 2);
  CHECK(run.cluster.node("howrah-1").follower->is_reader());
  run.cluster.Publish("asha", ConfigChange{1, DocumentWithRate(50)});
  CHECK(run.AwaitVersion(2) <= seconds(3));
  run.cluster.SetLogReachable("howrah-1", true);
  run.cluster.RunFor(seconds(3));
  CHECK(run.CountReaders("howrah") == 1);
}

TEST_CASE("a data centre catches up after a partition") {
  ReadyCluster run;
  run.cluster.SetPartitioned("howrah", true);
  run.cluster.SetLogReachable("howrah", false);
  run.cluster.Publish("asha", ConfigChange{1, DocumentWithRate(50)});
  run.cluster.RunFor(seconds(60));
  CHECK(run.cluster.Behind(run.cluster.node("barasat-1").highest_offset).size() == 3);
  run.cluster.SetPartitioned("howrah", false);
  run.cluster.SetLogReachable("howrah", true);
  CHECK(run.AwaitVersion(2) <= seconds(3));
  run.CheckEqualStates();
}

TEST_CASE("an append whose response was lost is applied once") {
  ReadyCluster run;
  run.cluster.log().SetFaults({false, Duration{0}, 3});
  auto& writer = run.cluster.node("barasat-3");
  REQUIRE(writer.follower->Submit("asha", "r",
                                  TargetChange{"khata-howrah", 0, TargetState::kDraining}));
  run.cluster.RunFor(seconds(10));
  REQUIRE(writer.outcomes.size() == 1);
  CHECK(writer.outcomes[0].result->outcome == ApplyOutcome::kApplied);
  CHECK(writer.follower->pending_writes() == 0);
  const auto target = writer.follower->state().target(TargetId::FromName("khata-howrah"));
  CHECK(target.version == 1);
  run.CheckEqualStates();
}

TEST_CASE("of two concurrent changes, the first in the log takes effect on all instances") {
  ReadyCluster run;
  auto& first = run.cluster.node("barasat-1");
  auto& second = run.cluster.node("serampore-2");
  first.follower->Submit("asha", "more", ConfigChange{1, DocumentWithRate(50)});
  second.follower->Submit("ravi", "less", ConfigChange{1, DocumentWithRate(20)});
  run.cluster.RunFor(seconds(3));
  REQUIRE(first.outcomes.size() == 1);
  REQUIRE(second.outcomes.size() == 1);
  const bool first_won = first.outcomes[0].result->outcome == ApplyOutcome::kApplied;
  const auto& loser = first_won ? second : first;
  CHECK(loser.outcomes[0].result->outcome == ApplyOutcome::kStale);
  CHECK(loser.outcomes[0].result->detail == "expected version 1, current is 2");
  CHECK(first.follower->state().config()->defaults.rate == (first_won ? 50 : 20));
  run.CheckEqualStates();
}

TEST_CASE("the log removes records that a reader lacks") {
  // Guards against a reader that waits forever for records that the log no longer retains.
  ReadyCluster run;
  run.cluster.SetPartitioned("howrah", true);
  run.cluster.SetLogReachable("howrah", false);
  run.cluster.RunFor(seconds(2));
  run.cluster.log().SetRetained(200);
  std::uint64_t version = 1;
  for (int n = 0; n < 400; ++n) {
    run.cluster.Publish("asha", ConfigChange{version, DocumentWithRate(1 + n)});
    ++version;
    run.cluster.RunFor(milliseconds(50));
  }
  run.cluster.RunFor(seconds(15));
  SECTION("and its peers have them") { run.cluster.SetPartitioned("howrah", false); }
  SECTION("and no peer is reachable: a snapshot in the log replaces them") {}
  run.cluster.SetLogReachable("howrah", true);
  run.cluster.RunFor(seconds(10));
  CHECK(run.AllHaveVersion(version));
  run.CheckEqualStates();
}

TEST_CASE("a log that starts at offset 0 is followed from its first record") {
  const InstanceIdentity self{InstanceId{1}, Incarnation{1}, DataCentreId{1}};
  Membership membership(self, TimePoint{});
  LogFollower follower(self, "i", TimePoint{});
  const std::string text = EncodeRecord(
      {InstanceId{2}, Incarnation{1}, 1, "a", "", 0, ConfigChange{0, DocumentWithRate(50)}});
  Outbox out;
  for (TimePoint now{}; now < TimePoint{seconds(2)}; now += milliseconds(20)) {
    follower.Tick(now, 0, membership, out);
    for (const LogRequest& request : follower.TakeRequests()) {
      const auto& read = std::get<LogRead>(request);
      LogPage page{0, 1, {}};
      if (read.from == 0) page.records.push_back({0, text});
      follower.OnRead(now, read.id, page, out);
    }
  }
  CHECK(follower.ready());
  CHECK(follower.state().config()->version == 1);
}

TEST_CASE("all instances restart after the log removed its first records") {
  // Guards against the loss of state that exists only in the memory of the instances: all of them
  // may be replaced at any time, so the log must contain a snapshot.
  ReadyCluster run;
  run.cluster.log().SetRetained(300);
  std::uint64_t version = 1;
  for (int n = 0; n < 500; ++n) {
    run.cluster.Publish("asha", ConfigChange{version, DocumentWithRate(1 + n)});
    ++version;
    run.cluster.RunFor(milliseconds(50));
  }
  run.cluster.RunFor(seconds(20));
  REQUIRE(run.cluster.log().FirstRetained() > 1);
  for (auto& node : run.cluster.nodes()) run.cluster.Restart(node.name);
  run.cluster.RunFor(seconds(15));
  for (const auto& node : run.cluster.nodes()) {
    INFO(node.name << ": " << node.follower->fault());
    CHECK(node.follower->ready());
    CHECK(node.follower->state().config()->version == version);
  }
  run.CheckEqualStates();
}

TEST_CASE("a missing record in the log is reported and not skipped") {
  ReadyCluster run;
  run.cluster.SetLogReachable("howrah", false);
  run.cluster.SetPartitioned("howrah", true);
  run.cluster.RunFor(seconds(2));
  const std::uint64_t hole = run.cluster.Publish("asha", ConfigChange{1, DocumentWithRate(50)});
  run.cluster.Publish("asha", ConfigChange{2, DocumentWithRate(60)});
  run.cluster.RunFor(seconds(2));
  run.cluster.log().MakeHole(hole);
  run.cluster.SetLogReachable("howrah", true);
  run.cluster.RunFor(seconds(10));
  auto& reader = run.cluster.node("howrah-1");
  CHECK(reader.follower->state().next_offset() == hole);
  CHECK(reader.follower->fault() == "the log has no record at offset " + std::to_string(hole));
  SECTION("and a peer that applied the record provides it") {
    run.cluster.SetPartitioned("howrah", false);
    run.cluster.RunFor(seconds(3));
    CHECK(run.AllHaveVersion(3));
    CHECK(reader.follower->fault().empty());
    run.CheckEqualStates();
  }
}

TEST_CASE("a record of a newer software version stops the instance") {
  // Guards against diverging states, if one software version skips records that another applies.
  ReadyCluster run;
  auto in = nlohmann::json::parse(EncodeRecord(
      {InstanceId{1}, Incarnation{1}, 1, "new", "", 0, DataCentreChange{"howrah", 0}}));
  in["type"] = "fleet_merge";
  run.cluster.log().Append({in.dump()});
  run.cluster.Publish("asha", ConfigChange{1, DocumentWithRate(50)});
  run.cluster.RunFor(seconds(5));
  for (const auto& node : run.cluster.nodes()) {
    CHECK_FALSE(node.follower->ready());
    CHECK(node.follower->state().config()->version == 1);
    CHECK(node.follower->fault().find("unknown record type 'fleet_merge'") != std::string::npos);
  }
}

TEST_CASE("a paused instance detects the pause and catches up") {
  ReadyCluster run;
  run.cluster.Pause("howrah-1", seconds(5));
  run.cluster.Publish("asha", ConfigChange{1, DocumentWithRate(50)});
  run.cluster.RunFor(seconds(4));
  CHECK(run.cluster.node("howrah-2").follower->state().config()->version == 2);
  CHECK(run.cluster.node("howrah-2").follower->is_reader());
  run.cluster.RunFor(seconds(3));
  CHECK(run.cluster.node("howrah-1").pauses_noticed == 1);
  CHECK(run.AllHaveVersion(2));
  CHECK(run.CountReaders("howrah") == 1);
  run.CheckEqualStates();
}

}  // namespace dogwoodport
