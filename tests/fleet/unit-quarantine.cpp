#include <catch2/catch.hpp>

#include "dogwoodport/fleet/requests/quarantine.h"

namespace dogwoodport::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Fingerprint kRequest = 7;
constexpr Fingerprint kOther = 8;

TimePoint At(Duration since_start) { return TimePoint(seconds(100) + since_start); }

/// Reports the loss of `n` targets under a request, one per second from `begin`.
void LoseTargets(Quarantine& quarantine, Fingerprint fingerprint, int n, Duration begin) {
  for (int i = 0; i < n; ++i) {
    const Duration at = begin + seconds(i);
    quarantine.OnConnectionLost(fingerprint, "t" + std::to_string(at.count()), 1, At(at), At(at));
  }
}

bool Refuses(const Quarantine& quarantine, Fingerprint fingerprint, Duration at) {
  return quarantine.RemainingTime(fingerprint, At(at)).has_value();
}

TEST_CASE("the third target that is lost under a request puts it in quarantine", "[quarantine]") {
  const auto [lost, refused] = GENERATE(table<int, bool>({{1, false}, {2, false}, {3, true}}));
  Quarantine quarantine;
  LoseTargets(quarantine, kRequest, lost, seconds(0));
  CHECK(Refuses(quarantine, kRequest, seconds(4)) == refused);
  CHECK_FALSE(Refuses(quarantine, kOther, seconds(4)));
}

TEST_CASE("each incarnation of a target counts once", "[quarantine]") {
  Quarantine quarantine;
  const bool restarts = GENERATE(false, true);
  for (std::uint64_t i = 0; i < 5; ++i) {
    quarantine.OnConnectionLost(kRequest, "t", restarts ? i : 1, At(seconds(i)), At(seconds(i)));
  }
  CHECK(Refuses(quarantine, kRequest, seconds(6)) == restarts);
}

/// When attempts end, and when their targets are found to be lost.
struct UnansweredCase {
  const char* description;
  Duration ended;
  Duration lost;
  bool counts;
};

TEST_CASE("an attempt without a response counts if its target is lost", "[quarantine]") {
  const auto it = GENERATE(values<UnansweredCase>({
      {"lost soon after", seconds(1), seconds(4), true},
      {"lost before the attempt ended", seconds(1), milliseconds(500), true},
      {"lost before the attempt began", seconds(2), milliseconds(-500), false},
      {"lost much later", seconds(1), seconds(9), false},
      {"never lost", seconds(1), seconds(1'000), false},
  }));
  INFO(it.description);
  Quarantine quarantine;
  for (const char* const target : {"a", "b", "c"}) {
    if (it.lost < it.ended) quarantine.OnTargetLost(target, At(it.lost));
    quarantine.OnNoResponse(kRequest, target, 1, At(Duration{0}), At(it.ended));
    if (it.lost >= it.ended) quarantine.OnTargetLost(target, At(it.lost));
  }
  CHECK(Refuses(quarantine, kRequest, seconds(9)) == it.counts);
}

TEST_CASE("a request sent to targets that were already lost is not suspected", "[quarantine]") {
  // Many targets crash at once. Pooled connections to them break at their next use, under requests
  // that are not the cause.
  const bool reported = GENERATE(false, true);
  const bool responds_again = GENERATE(false, true);
  Quarantine quarantine;
  Quarantine other;
  for (const char* const target : {"a", "b", "c"}) {
    (reported ? other : quarantine)
        .OnConnectionLost(kOther, target, 1, At(Duration{0}), At(seconds(1)));
  }
  quarantine.OnReport(other.MakeReport(At(seconds(1))), At(seconds(1)));
  for (const char* const target : {"a", "b", "c"}) {
    if (responds_again) quarantine.OnResponse(kOther, target, 1, At(seconds(2)));
    quarantine.OnConnectionLost(kRequest, target, 1, At(seconds(2)), At(seconds(2)));
  }
  CHECK(Refuses(quarantine, kRequest, seconds(3)) == responds_again);
}

TEST_CASE("a response to a request releases it and clears the suspicion", "[quarantine]") {
  Quarantine quarantine;
  LoseTargets(quarantine, kRequest, 3, seconds(0));
  REQUIRE(Refuses(quarantine, kRequest, seconds(3)));
  quarantine.OnResponse(kRequest, "served", 1, At(seconds(3)));
  CHECK_FALSE(Refuses(quarantine, kRequest, seconds(3)));
  LoseTargets(quarantine, kRequest, 5, seconds(4));
  CHECK_FALSE(Refuses(quarantine, kRequest, seconds(10)));
  LoseTargets(quarantine, kRequest, 3, seconds(70));
  CHECK(Refuses(quarantine, kRequest, seconds(75)));
}

TEST_CASE("losses outside the loss window do not count", "[quarantine]") {
  Quarantine quarantine;
  LoseTargets(quarantine, kRequest, 2, seconds(0));
  quarantine.Expire(At(seconds(400)));
  LoseTargets(quarantine, kRequest, 1, seconds(401));
  CHECK_FALSE(Refuses(quarantine, kRequest, seconds(402)));
}

TEST_CASE("after the quarantine a single further loss suffices", "[quarantine]") {
  Quarantine quarantine;
  LoseTargets(quarantine, kRequest, 3, seconds(0));
  REQUIRE(Refuses(quarantine, kRequest, seconds(601)));
  CHECK_FALSE(Refuses(quarantine, kRequest, seconds(603)));
  quarantine.Expire(At(seconds(603)));
  const bool responded = GENERATE(false, true);
  if (responded) quarantine.OnResponse(kRequest, "served", 1, At(seconds(604)));
  LoseTargets(quarantine, kRequest, 1, seconds(700));
  CHECK(Refuses(quarantine, kRequest, seconds(701)) == !responded);
}

TEST_CASE("losses at several instances are added up and all refuse the request", "[quarantine]") {
  std::vector<Quarantine> instances(4);
  for (std::size_t i = 0; i < 3; ++i) {
    instances[i].OnConnectionLost(kRequest, "t" + std::to_string(i), 1, At(seconds(i)),
                                  At(seconds(i)));
    // Delivers the next report of the instance to the others.
    for (Quarantine& it : instances) {
      if (&it != &instances[i]) {
        it.OnReport(instances[i].MakeReport(At(seconds(i) + milliseconds(500))),
                    At(seconds(i) + milliseconds(501)));
      }
    }
  }
  for (const Quarantine& it : instances) CHECK(Refuses(it, kRequest, seconds(4)));
  SECTION("a restarted instance receives the quarantine from any other instance") {
    Quarantine restarted;
    restarted.OnReport(instances[3].MakeReport(At(seconds(60))), At(seconds(60)));
    CHECK(Refuses(restarted, kRequest, seconds(60)));
  }
  SECTION("a response at one instance releases the request everywhere, despite older updates") {
    const QuarantineReport stale = instances[0].MakeReport(At(seconds(5)));
    instances[1].OnResponse(kRequest, "served", 1, At(seconds(5)));
    const QuarantineReport update = instances[1].MakeReport(At(seconds(6)));
    for (Quarantine& it : instances) it.OnReport(update, At(seconds(6)));
    for (Quarantine& it : instances) it.OnReport(stale, At(seconds(7)));
    for (const Quarantine& it : instances) CHECK_FALSE(Refuses(it, kRequest, seconds(8)));
  }
  SECTION("reports do not extend the quarantine") {
    for (Duration at = seconds(4); at < seconds(610); at += milliseconds(250)) {
      for (std::size_t i = 0; i < instances.size(); ++i) {
        const QuarantineReport report = instances[i].MakeReport(At(at));
        for (std::size_t k = 0; k < instances.size(); ++k) {
          if (k != i) instances[k].OnReport(report, At(at + milliseconds(1)));
        }
        instances[i].Expire(At(at));
      }
    }
    for (const Quarantine& it : instances) CHECK_FALSE(Refuses(it, kRequest, seconds(610)));
  }
}

TEST_CASE("the digest of a coordinator contains quarantined requests and reported responses",
          "[quarantine]") {
  Quarantine coordinator;
  for (std::uint64_t i = 0; i < 3; ++i) {
    Quarantine instance;
    instance.OnConnectionLost(kRequest, "t" + std::to_string(i), 1, At(seconds(1)), At(seconds(1)));
    coordinator.OnReport(instance.MakeReport(At(seconds(1))), At(seconds(1)));
  }
  Quarantine follower;
  const QuarantineReport digest = coordinator.MakeDigest(At(seconds(2)));
  CHECK(digest.losses.empty());
  follower.OnReport(digest, At(seconds(2)));
  REQUIRE(Refuses(follower, kRequest, seconds(2)));
  Quarantine instance;
  LoseTargets(instance, kRequest, 1, seconds(1));
  instance.OnResponse(kRequest, "served", 1, At(seconds(3)));
  coordinator.OnReport(instance.MakeReport(At(seconds(3))), At(seconds(3)));
  follower.OnReport(coordinator.MakeDigest(At(seconds(4))), At(seconds(4)));
  CHECK_FALSE(Refuses(follower, kRequest, seconds(4)));
}

TEST_CASE("changes are returned once, in order", "[quarantine]") {
  Quarantine quarantine;
  LoseTargets(quarantine, kRequest, 4, seconds(0));
  quarantine.OnResponse(kRequest, "served", 1, At(seconds(5)));
  const std::vector<QuarantineChange> changes = quarantine.TakeChanges();
  REQUIRE(changes.size() == 2);
  CHECK(changes[0].kind == QuarantineChange::Kind::kLosses);
  CHECK(changes[0].losses == 3);
  CHECK(changes[1].kind == QuarantineChange::Kind::kAnswered);
  CHECK(quarantine.TakeChanges().empty());
}

}  // namespace
}  // namespace dogwoodport::fleet
