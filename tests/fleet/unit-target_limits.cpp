#include <catch2/catch.hpp>

#include "dogwoodport/fleet/limits/target_limits.h"
#include "fleet/account_fleet.h"

namespace dogwoodport::fleet {
namespace {

const TargetIncarnation kTarget{"t", 1};

/// The limits known to one instance that coordinates the fleet, so that it has tokens of its own.
struct Node {
  Node() {
    tokens.SetIdentity("self", 1);
    LendingStart start;
    start.first = true;
    start.took_over_at = start.confirmed_at = At(0);
    tokens.BecomeCoordinator(start);
  }
  /// Confirms the role of the coordinator, without which it has no tokens.
  void ConfirmAt(double seconds) { tokens.ConfirmRole(At(seconds)); }

  AccountTokens tokens;
  TargetLimits limits{tokens};
};

TEST_CASE("the latest response of a target decides its limit", "[target_limits]") {
  Node node;
  TargetLimits& limits = node.limits;
  CHECK_FALSE(limits.RateOf(kTarget));
  limits.OnResponse(kTarget, std::nullopt, At(0), At(0.1));
  CHECK(limits.TakeChanges().empty());
  CHECK_FALSE(limits.any());
  limits.OnResponse(kTarget, 5, At(0.1), At(0.2));
  CHECK(limits.RateOf(kTarget) == 5);
  CHECK(limits.any());
  CHECK(limits.TakeChanges().size() == 1);
  limits.OnResponse(kTarget, 2.5, At(0.2), At(0.3));
  CHECK(limits.RateOf(kTarget) == 2.5);
  limits.OnResponse(kTarget, std::nullopt, At(0.4), At(0.5));
  CHECK_FALSE(limits.RateOf(kTarget));
  CHECK_FALSE(limits.any());
  CHECK(limits.TakeChanges().size() == 2);
}

TEST_CASE("a response to a request sent before the limit was last named does not end the limit",
          "[target_limits]") {
  Node node;
  node.limits.OnResponse(kTarget, 5, At(0), At(1));
  node.limits.OnResponse(kTarget, std::nullopt, At(0.5), At(1.1));
  CHECK(node.limits.RateOf(kTarget) == 5);
}

TEST_CASE("a limit belongs to one incarnation of its target", "[target_limits]") {
  Node node;
  node.limits.OnResponse(kTarget, 5, At(0), At(1));
  CHECK_FALSE(node.limits.RateOf({"t", 2}));
  CHECK(node.limits.MaySend({"t", 2}, At(1)));
  TargetDirectory directory;
  TargetEntry entry;
  entry.id = "t";
  entry.incarnation = 2;
  directory.Apply(entry, At(1));
  node.limits.Retain(directory, At(1));
  CHECK_FALSE(node.limits.any());
}

struct ReportExample {
  const char* description;
  std::optional<double> known;
  double known_at;
  std::optional<double> reported;
  double reported_at;
  std::optional<double> expected;
};

TEST_CASE("the newer of two observations of a limit counts", "[target_limits]") {
  const auto it = GENERATE(values<ReportExample>({
      {"a newer limit", 5, 1, 3, 2, 3},
      {"an older limit", 5, 2, 3, 1, 5},
      {"a limit after an end", std::nullopt, 1, 3, 2, 3},
      {"a limit before an end", std::nullopt, 2, 3, 1, std::nullopt},
      {"an end long after a limit", 5, 1, std::nullopt, 2.5, std::nullopt},
      {"an end that a late report may have made newer than the limit", 5, 1, std::nullopt, 1.9, 5},
  }));
  INFO(it.description);
  Node node;
  // The first limit is only there so that an end is known as well.
  node.limits.OnResponse(kTarget, 9, At(0), At(0.1));
  node.limits.OnResponse(kTarget, it.known, At(it.known_at), At(it.known_at));
  TargetLimitReport report{kTarget, it.reported.has_value(), it.reported.value_or(0), 0};
  const double now = 3;
  report.age_ms = static_cast<std::uint32_t>(1000 * (now - it.reported_at));
  node.limits.OnReport({report}, At(now));
  CHECK(node.limits.RateOf(kTarget) == it.expected);
}

TEST_CASE("a report contains changed limits, and all others in turn", "[target_limits]") {
  constexpr int kTargets = 20;
  Node node;
  for (int i = 0; i < kTargets; ++i) {
    node.limits.OnResponse({"t" + std::to_string(i), 1}, i + 1, At(0), At(0));
  }
  CHECK(node.limits.MakeReport(At(1)).size() == kTargets);
  Node other;
  for (int i = 0; i < 3; ++i) other.limits.OnReport(node.limits.MakeReport(At(10 + i)), At(10 + i));
  CHECK(other.limits.limited() == kTargets);
  for (int i = 0; i < kTargets; ++i) {
    CHECK(other.limits.RateOf({"t" + std::to_string(i), 1}) == i + 1);
  }
}

TEST_CASE("requests to a target with a limit use tokens", "[target_limits]") {
  const double rate = GENERATE(values({0.0, 0.5, 5.3, 27.5}));
  INFO("limit " << rate);
  Node node;
  node.limits.OnResponse(kTarget, rate, At(0), At(0));
  std::vector<double> sends;
  for (double at = 0; at < 40; at += 0.01) {
    node.ConfirmAt(at);
    while (node.limits.MaySend(kTarget, At(at)) && node.limits.Take(kTarget, At(at))) {
      sends.push_back(at);
    }
  }
  std::size_t first = 0;
  for (std::size_t i = 0; i < sends.size(); ++i) {
    while (sends[i] - sends[first] >= 4) ++first;
    REQUIRE(static_cast<double>(i - first + 1) <= 1.5 * 4 * rate + 5);
  }
  CHECK(static_cast<double>(sends.size()) >= std::max(1.0, 0.95 * rate * 40));
  const auto usage = node.limits.TakeUsage(At(40));
  REQUIRE(usage.size() == 1);
  CHECK(usage[0].sent == sends.size());
  CHECK(usage[0].held_back > 0);
  CHECK(node.limits.TakeUsage(At(41))[0].sent == 0);
}

TEST_CASE("refused callers return at the rate that the limit has room for", "[target_limits]") {
  Node node;
  node.limits.OnResponse(kTarget, 4, At(0), At(0));
  node.limits.SetInstances(2);
  node.ConfirmAt(0);
  Duration previous{0};
  for (int i = 0; i < 5; ++i) {
    const Duration retry_after = node.limits.ReserveReturn(kTarget, 0, At(10), At(0));
    // Half of the limit is this instance's part.
    if (i > 0) CHECK(retry_after - previous == Duration{500'000});
    previous = retry_after;
  }
  // A caller that no longer needs the response by then reserves nothing.
  const Duration late = node.limits.ReserveReturn(kTarget, 0, At(1), At(0));
  CHECK(late == node.limits.ReserveReturn(kTarget, 0, At(1), At(0)));
}

}  // namespace
}  // namespace dogwoodport::fleet
