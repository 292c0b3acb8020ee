#include <csignal>

#include "platform_standin/deployment.h"

namespace dogwoodport::platform::standin {
namespace {

using std::chrono::seconds;

/// In any window a target may receive 1.5 times what its limit allows, and 5 requests more. The
/// bound holds from `kSettlingTime` after the target first named the limit.
constexpr Duration kWindow = seconds(4);
constexpr Duration kSettlingTime = seconds(3);
double AllowedArrivals(double rate) { return rate * 1.5 * 4 + 5; }

/// Returns the largest number of arrivals in a window that begins at `from` or later.
std::size_t MaxArrivals(const std::vector<TimePoint>& arrivals, TimePoint from) {
  std::size_t result = 0;
  auto first = std::lower_bound(arrivals.begin(), arrivals.end(), from);
  for (auto it = first; it != arrivals.end(); ++it) {
    while (*it - *first >= kWindow) ++first;
    result = std::max(result, static_cast<std::size_t>(it - first) + 1);
  }
  return result;
}

TEST_CASE("a target that names a limit gets no more from all instances together",
          "[target_limit]") {
  // Targets of services without and with keys.
  const std::size_t target_index = GENERATE(values<std::size_t>({0, 1, 2}));
  const double rate = GENERATE(values({0.5, 5.3}));
  INFO("target " << target_index << ", limit " << rate);
  LocalFleetSettings settings;
  settings.callers = 24;
  settings.mean_caller_pause = Duration{20'000};
  TestEnvironment env(settings);
  REQUIRE(env.RunUntilServed(300));
  TargetServer& target = *env.fleet.Target(target_index);
  target.SetRequestLimit(rate);
  env.fleet.Run(kSettlingTime);
  const TimePoint bound_since = env.loop.Refresh();
  env.fleet.Run(seconds(6));
  CHECK(static_cast<double>(MaxArrivals(target.arrivals(), bound_since)) <= AllowedArrivals(rate));
  // The target is still used, and more once the limit ends.
  const std::size_t before = target.arrivals().size();
  CHECK(env.fleet.RunUntil([&] { return target.arrivals().size() >= before + 2; }, kTimeout));
  target.SetRequestLimit(std::nullopt);
  const std::size_t at_end = target.arrivals().size();
  CHECK(env.fleet.RunUntil([&] { return target.arrivals().size() >= at_end + 100; }, kTimeout));
  env.RequireNoViolations();
}

}  // namespace
}  // namespace dogwoodport::platform::standin
