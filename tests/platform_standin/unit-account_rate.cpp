#include "platform_standin/deployment.h"

namespace dogwoodport::platform::standin {
namespace {

using std::chrono::seconds;

TEST_CASE("callers above the rate of their account get its rate and no more", "[account_rate]") {
  WorldSettings settings;
  settings.callers = 16;
  settings.callers_pause = Duration{20'000};
  settings.bounded_rate = 20;
  Deployment it(settings);
  it.world.Run(seconds(8));
  CHECK(it.world.TakeCounts().count(AttemptEnd::kRefused) == 1);
  it.RequireKept();
}

}  // namespace
}  // namespace dogwoodport::platform::standin
