#include "platform_standin/deployment.h"

namespace dogwoodport::platform::standin {
namespace {

using std::chrono::seconds;

TEST_CASE("an account is limited to its rate if its callers exceed it", "[account_rate]") {
  LocalFleetSettings settings;
  settings.callers = 16;
  settings.mean_caller_pause = Duration{20'000};
  settings.limited_account_rate = 20;
  TestEnvironment env(settings);
  env.fleet.Run(seconds(8));
  CHECK(env.fleet.TakeCounts().count(AttemptOutcome::kRefused) == 1);
  env.RequireNoViolations();
}

}  // namespace
}  // namespace dogwoodport::platform::standin
