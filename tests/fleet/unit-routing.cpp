#include <catch2/catch.hpp>
#include <random>

#include "dogwoodport/fleet/membership/target_directory.h"
#include "dogwoodport/fleet/overload/waiting_queue.h"
#include "dogwoodport/fleet/routing/target_health.h"
#include "dogwoodport/fleet/routing/target_selector.h"

namespace dogwoodport::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TimePoint At(int ms) { return TimePoint(Duration(1'000'000'000 + ms * 1'000)); }

Candidate FreeCandidate(int latency_ms) {
  Candidate it;
  it.slots = 4;
  it.latency = milliseconds(latency_ms);
  return it;
}

struct SelectionCase {
  const char* description;
  std::vector<Candidate> candidates;
  std::optional<std::size_t> best;
};

Candidate With(Candidate it, const std::function<void(Candidate&)>& change) {
  change(it);
  return it;
}

TEST_CASE("the target with the shortest expected response time is selected", "[routing]") {
  const auto choice = GENERATE(values<SelectionCase>({
      {"prefers the faster target", {FreeCandidate(100), FreeCandidate(50)}, 1},
      {"prefers a target with free slots",
       {With(FreeCandidate(50), [](Candidate& c) { c.load = 4; }), FreeCandidate(200)},
       1},
      {"returns nothing if all targets are full",
       {With(FreeCandidate(50), [](Candidate& c) { c.load = 3.5; })},
       {}},
      {"returns nothing without candidates", {}, {}},
      {"prefers a target in the same data centre",
       {With(FreeCandidate(100), [](Candidate& c) { c.same_data_centre = false; }),
        FreeCandidate(95)},
       1},
      {"prefers a much faster remote target",
       {With(FreeCandidate(30), [](Candidate& c) { c.same_data_centre = false; }),
        FreeCandidate(150)},
       0},
      {"prefers the target without failures",
       {With(FreeCandidate(50), [](Candidate& c) { c.failure_share = 0.5; }), FreeCandidate(100)},
       1},
      {"prefers the target that does not shed",
       {With(FreeCandidate(50), [](Candidate& c) { c.shed_share = 0.9; }), FreeCandidate(100)},
       1},
      {"prefers the target with an idle connection",
       {With(FreeCandidate(50), [](Candidate& c) { c.has_idle_connection = false; }),
        FreeCandidate(50)},
       1},
  }));
  INFO(choice.description);
  for (std::uint64_t random = 0; random < 20; ++random) {
    CHECK(SelectTarget(choice.candidates, milliseconds(100), SelectorSettings{}, random * 7919) ==
          choice.best);
  }
}

TEST_CASE("equal targets receive about equal shares of requests", "[routing]") {
  const std::vector<Candidate> candidates(4, FreeCandidate(50));
  std::vector<int> chosen(4, 0);
  std::mt19937_64 random(1);
  for (int i = 0; i < 4000; ++i) {
    ++chosen[*SelectTarget(candidates, milliseconds(50), SelectorSettings{}, random())];
  }
  for (const int n : chosen) CHECK(n > 800);
}

TEST_CASE("a target is ejected after consecutive failures and readmitted later", "[routing]") {
  TargetHealth health;
  for (int i = 0; i < 3; ++i) {
    CHECK_FALSE(health.ejected(At(i)));
    health.OnSend();
    health.OnResult(SendResult::kBroken, milliseconds(1), At(i));
  }
  CHECK(health.ejected(At(3)));
  CHECK_FALSE(health.ejected(At(1'000)));
  health.OnSend();
  health.OnResult(SendResult::kBroken, milliseconds(1), At(1'000));
  CHECK(health.ejected(At(1'900)));
  health.OnRestart();
  CHECK_FALSE(health.ejected(At(1'900)));
  CHECK(health.in_flight() == 0);
}

TEST_CASE("an unreachable target is ejected immediately", "[routing]") {
  TargetHealth health;
  health.OnSend();
  health.OnResult(SendResult::kNotConnected, Duration{0}, At(0));
  CHECK(health.ejected(At(1)));
}

// A target that restarts keeps its old entry until its first heartbeat arrives.
TEST_CASE("a target that was unreachable is presumed cold for some time", "[routing]") {
  TargetHealth health;
  CHECK_FALSE(health.MayBeCold(At(0)));
  health.OnSend();
  health.OnResult(SendResult::kNotConnected, Duration{0}, At(0));
  CHECK(health.MayBeCold(At(10'000)));
  health.OnSend();
  health.OnResult(SendResult::kServed, milliseconds(50), At(10'000));
  CHECK(health.MayBeCold(At(12'900)));
  CHECK_FALSE(health.MayBeCold(At(13'000)));
  health.OnSend();
  health.OnResult(SendResult::kNotConnected, Duration{0}, At(14'000));
  health.OnRestart();
  CHECK_FALSE(health.MayBeCold(At(14'000)));
}

TEST_CASE("cancelled and shed requests do not eject a target", "[routing]") {
  const auto result = GENERATE(SendResult::kCancelled, SendResult::kShed);
  TargetHealth health;
  for (int i = 0; i < 20; ++i) {
    health.OnSend();
    health.OnResult(result, milliseconds(1), At(i));
  }
  CHECK_FALSE(health.ejected(At(20)));
}

TEST_CASE("the load of a target includes reports of other instances and discounts old ones",
          "[routing]") {
  TargetHealth health;
  health.OnSend();
  health.AddOthersInFlight(2);
  CHECK(health.Load(At(0)) == 3);
  health.OnLoadReport({4, 3, 4, 3.0}, At(0));
  CHECK(health.Load(At(0)) == 7);
  CHECK(health.Load(At(2'000)) == Approx(3).margin(0.01));
  CHECK(health.Slowdown(At(0)) == 3.0);
  CHECK(health.Slowdown(At(2'000)) == Approx(1).margin(0.02));
  health.AddOthersInFlight(-5);
  CHECK(health.Load(At(2'000)) == Approx(1).margin(0.01));
}

TargetEntry Entry(std::uint64_t incarnation, std::uint64_t sequence) {
  TargetEntry entry;
  entry.id = "t";
  entry.incarnation = incarnation;
  entry.sequence = sequence;
  return entry;
}

TEST_CASE("heartbeats are applied in the order of their sequence numbers", "[routing]") {
  TargetDirectory directory;
  CHECK(directory.Apply(Entry(1, 5), At(0)) == TargetChange::kJoined);
  CHECK(directory.Apply(Entry(1, 6), At(1)) == TargetChange::kNone);
  TargetEntry leaving = Entry(1, 7);
  leaving.phase = TargetPhase::kDraining;
  CHECK(directory.Apply(leaving, At(2)) == TargetChange::kLeaving);
  CHECK(directory.Apply(Entry(1, 6), At(3)) == TargetChange::kNone);
  CHECK(directory.Find("t")->entry.phase == TargetPhase::kDraining);
  TargetEntry restarted = Entry(2, 0);
  restarted.cold_remaining = milliseconds(3'000);
  CHECK(directory.Apply(restarted, At(4)) == TargetChange::kRestarted);
  CHECK(directory.Find("t")->cold(At(3'000)));
  CHECK_FALSE(directory.Find("t")->cold(At(3'004)));
}

TEST_CASE("a target that becomes cold again counts as changed, so that it is pushed to others",
          "[routing]") {
  TargetDirectory directory;
  directory.Apply(Entry(1, 5), At(0));
  TargetEntry cold = Entry(1, 6);
  cold.cold_remaining = milliseconds(2'000);
  CHECK(directory.Apply(cold, At(100)) == TargetChange::kTurnedCold);
  CHECK(directory.Find("t")->cold(At(2'000)));
  cold.sequence = 7;
  cold.cold_remaining = milliseconds(1'100);
  CHECK(directory.Apply(cold, At(1'000)) == TargetChange::kNone);
}

TEST_CASE("an entry removed after an outage of the store is doubtful until it returns or expires",
          "[routing]") {
  TargetDirectory directory;
  directory.Apply(Entry(1, 5), At(0));
  CHECK(directory.Remove("t", At(10), true) == TargetChange::kDoubtful);
  CHECK(directory.Find("t") != nullptr);
  CHECK(directory.has_doubtful());
  SECTION("it returns") {
    CHECK(directory.Apply(Entry(1, 9), At(1'500)) == TargetChange::kChanged);
    CHECK_FALSE(directory.has_doubtful());
    CHECK(directory.RemoveDoubtful(At(5'000)).empty());
  }
  SECTION("it expires") {
    CHECK(directory.RemoveDoubtful(At(2'010)) == std::vector<std::string>{"t"});
    CHECK(directory.Find("t") == nullptr);
    CHECK_FALSE(directory.has_doubtful());
  }
  SECTION("it is removed once more after the outage") {
    CHECK(directory.Remove("t", At(2'010), false) == TargetChange::kGone);
    CHECK_FALSE(directory.has_doubtful());
  }
}

TEST_CASE("a target that announced that it is leaving stays draining for its incarnation",
          "[routing]") {
  TargetDirectory directory;
  const TimePoint now(seconds(100));
  TargetEntry entry;
  entry.id = "t";
  entry.service = "s";
  entry.incarnation = 7;
  entry.sequence = 3;
  const TargetIncarnation mark{"t", 7};
  const bool known_before = GENERATE(false, true);
  if (known_before) directory.Apply(entry, now);
  const TargetChange change = directory.MarkLeaving(mark, now);
  CHECK(change == (known_before ? TargetChange::kLeaving : TargetChange::kNone));
  CHECK(directory.MarkLeaving(mark, now) == TargetChange::kNone);
  // Heartbeats that do not report that it is leaving, and the removal and return of the entry, have
  // no effect.
  ++entry.sequence;
  directory.Apply(entry, now);
  CHECK(directory.Find("t")->entry.phase == TargetPhase::kDraining);
  CHECK(directory.LeavingTargets() == std::vector<TargetIncarnation>{mark});
  directory.Remove("t", now, false);
  CHECK(directory.LeavingTargets().empty());
  ++entry.sequence;
  directory.ForgetIncarnations(now + seconds(10), seconds(60));
  directory.Apply(entry, now + seconds(10));
  CHECK(directory.Find("t")->entry.phase == TargetPhase::kDraining);
  // Once the heartbeats report that it is leaving, the other instances need no separate report.
  entry.phase = TargetPhase::kDraining;
  ++entry.sequence;
  directory.Apply(entry, now + seconds(11));
  CHECK(directory.LeavingTargets().empty());
  entry.phase = TargetPhase::kReady;
  ++entry.incarnation;
  directory.Apply(entry, now + seconds(12));
  CHECK(directory.Find("t")->entry.phase == TargetPhase::kReady);
}

// Guards against records that change nothing at the coordinator and are news to the others.
TEST_CASE("a heartbeat that reports what only this instance has learned counts as a change",
          "[routing][leaving]") {
  TargetDirectory coordinator;
  TargetDirectory other;
  coordinator.Apply(Entry(1, 5), At(0));
  other.Apply(Entry(1, 5), At(0));
  CHECK(coordinator.MarkLeaving({"t", 1}, At(10)) == TargetChange::kLeaving);
  TargetEntry draining = Entry(1, 6);
  draining.phase = TargetPhase::kDraining;
  CHECK(coordinator.Apply(draining, At(20)) == TargetChange::kPhaseReported);
  CHECK(coordinator.LeavingTargets().empty());
  CHECK(other.Apply(draining, At(30)) == TargetChange::kLeaving);
  draining.sequence = 7;
  CHECK(coordinator.Apply(draining, At(40)) == TargetChange::kNone);
}

// Guards against a cold target that the others take for warm.
TEST_CASE("a target that stays cold for longer counts as changed", "[routing]") {
  TargetDirectory directory;
  TargetEntry cold = Entry(1, 5);
  cold.cold_remaining = milliseconds(2'000);
  directory.Apply(cold, At(0));
  cold.sequence = 6;
  CHECK(directory.Apply(cold, At(900)) == TargetChange::kNone);
  cold.sequence = 7;
  cold.cold_remaining = milliseconds(3'000);
  CHECK(directory.Apply(cold, At(1'000)) == TargetChange::kTurnedCold);
  CHECK(directory.Find("t")->cold(At(3'999)));
}

struct HeartbeatOrderCase {
  const char* description;
  /// Incarnation and sequence number of heartbeats; a sequence number of 0 removes the entry.
  std::vector<std::pair<std::uint64_t, std::uint64_t>> heartbeats;
  /// Incarnation and sequence number of the current entry, if there is one.
  std::optional<std::pair<std::uint64_t, std::uint64_t>> current;
};

// Guards against old heartbeats that are applied, and new ones that are ignored.
TEST_CASE("the current incarnation of a target is the one that writes", "[routing][incarnation]") {
  using Current = std::pair<std::uint64_t, std::uint64_t>;
  const auto example = GENERATE(values<HeartbeatOrderCase>({
      {"a restart", {{10, 5}, {20, 1}}, Current{20, 1}},
      {"a late write of the process that ended", {{10, 5}, {20, 1}, {10, 6}}, Current{20, 1}},
      {"a restart with a clock that was set back", {{10, 500}, {7, 1}}, Current{7, 1}},
      {"it goes on after that", {{10, 500}, {7, 1}, {7, 2}}, Current{7, 2}},
      {"a removed entry is read once more", {{10, 5}, {10, 6}, {0, 0}, {10, 6}}, std::nullopt},
      {"an older record after the removal", {{10, 5}, {10, 6}, {0, 0}, {10, 5}}, std::nullopt},
      {"a target that writes again after its removal", {{10, 6}, {0, 0}, {10, 7}}, Current{10, 7}},
      {"a restart after the removal", {{10, 6}, {0, 0}, {7, 1}}, Current{7, 1}},
      {"an odd entry with an early start", {{10, 6}, {3, 900}, {10, 7}}, Current{10, 7}},
      {"an odd entry with a late start",
       {{10, 6}, {99, 900}, {10, 7}, {10, 13}, {10, 14}},
       Current{10, 14}},
      {"a removal without a start time", {{0, 9}, {0, 0}, {0, 1}}, Current{0, 1}},
  }));
  INFO(example.description);
  TargetDirectory directory;
  int at = 0;
  for (const auto& [incarnation, sequence] : example.heartbeats) {
    ++at;
    if (sequence == 0) {
      directory.Remove("t", At(at), false);
    } else {
      directory.Apply(Entry(incarnation, sequence), At(at));
    }
  }
  const Target* const target = directory.Find("t");
  REQUIRE((target != nullptr) == example.current.has_value());
  if (target == nullptr) return;
  CHECK(Current(target->entry.incarnation, target->entry.sequence) == *example.current);
}

TEST_CASE("a target that drained and was removed does not return from an older record",
          "[routing][leaving]") {
  TargetDirectory directory;
  directory.Apply(Entry(1, 5), At(0));
  TargetEntry draining = Entry(1, 6);
  draining.phase = TargetPhase::kDraining;
  directory.Apply(draining, At(10));
  directory.Remove("t", At(20), false);
  CHECK(directory.Apply(Entry(1, 5), At(30)) == TargetChange::kNone);
  CHECK(directory.Find("t") == nullptr);
  directory.ForgetIncarnations(At(10'000), seconds(60));
  CHECK(directory.Apply(Entry(1, 6), At(10'001)) == TargetChange::kNone);
  directory.ForgetIncarnations(At(90'000), seconds(60));
  CHECK(directory.Apply(Entry(1, 7), At(90'001)) == TargetChange::kJoined);
}

TEST_CASE("targets are found by their service", "[routing]") {
  TargetDirectory directory;
  TargetEntry entry = Entry(1, 5);
  entry.service = "a";
  directory.Apply(entry, At(0));
  CHECK(directory.OfService("a").count("t") == 1);
  CHECK(directory.OfService("b").empty());
  entry.sequence = 6;
  entry.service = "b";
  directory.Apply(entry, At(1));
  CHECK(directory.OfService("a").empty());
  CHECK(directory.OfService("b").at("t") == directory.Find("t"));
  SECTION("removed targets are not found") {
    directory.Remove("t", At(2), false);
    CHECK(directory.OfService("b").empty());
  }
  SECTION("doubtful targets are found until they expire") {
    directory.Remove("t", At(2), true);
    CHECK(directory.OfService("b").size() == 1);
    directory.RemoveDoubtful(At(20));
    CHECK(directory.OfService("b").empty());
  }
}

TEST_CASE("an entry removed without an outage of the store is gone immediately", "[routing]") {
  TargetDirectory directory;
  directory.Apply(Entry(1, 5), At(0));
  CHECK(directory.Remove("t", At(10), false) == TargetChange::kGone);
  CHECK(directory.Remove("t", At(10), false) == TargetChange::kNone);
}

struct ArrivalCase {
  const char* description;
  QueueState queue;
  Duration max_wait;
  bool refused;
};

TEST_CASE("requests that cannot be served in time are refused immediately", "[routing]") {
  const auto it = GENERATE(values<ArrivalCase>({
      {"no time remaining", {0, 100}, Duration{0}, true},
      {"empty queue", {0, 0}, milliseconds(50), false},
      {"queue that empties in time", {9, 100}, milliseconds(120), false},
      {"queue that does not empty in time", {20, 100}, milliseconds(120), true},
      {"no completions yet", {5, 0}, milliseconds(500), true},
  }));
  INFO(it.description);
  const auto refusal = DecideRefusal(it.queue, it.max_wait, 0.5);
  CHECK(refusal.has_value() == it.refused);
  if (refusal) CHECK(*refusal >= milliseconds(100));
}

TEST_CASE("retry times are spread and increase with the queue length", "[routing]") {
  CHECK(RetryAfter({50, 100}, 0.0) < RetryAfter({50, 100}, 0.9));
  CHECK(RetryAfter({10, 100}, 0.5) < RetryAfter({90, 100}, 0.5));
  CHECK(RetryAfter({100'000, 1}, 1.0) <= milliseconds(1'500));
}

TEST_CASE("requests are dispatched by priority, then by arrival", "[routing]") {
  WaitingQueue queue;
  std::vector<Waiter> waiters(4);
  const std::vector<int> priorities = {2, 1, 2, 0};
  for (std::size_t i = 0; i < 4; ++i) {
    waiters[i].priority = priorities[i];
    queue.Push(waiters[i]);
  }
  CHECK(queue.CountAhead(1) == 2);
  std::vector<std::size_t> order;
  queue.DispatchInOrder(
      [&](Waiter& it) {
        order.push_back(static_cast<std::size_t>(&it - waiters.data()));
        it.unlink();
        return true;
      },
      8);
  CHECK(order == std::vector<std::size_t>{3, 1, 0, 2});
  CHECK(queue.empty());
}

TEST_CASE("dispatching stops after the maximum number of misses", "[routing]") {
  WaitingQueue queue;
  std::vector<Waiter> waiters(10);
  for (Waiter& it : waiters) queue.Push(it);
  int attempts = 0;
  queue.DispatchInOrder(
      [&](Waiter&) {
        ++attempts;
        return false;
      },
      3);
  CHECK(attempts == 3);
  CHECK(queue.size() == 10);
}

}  // namespace
}  // namespace dogwoodport::fleet
