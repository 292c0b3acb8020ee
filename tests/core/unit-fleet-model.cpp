#include <catch2/catch.hpp>

#include "dogwoodport/standin/fleet_model.h"

namespace dogwoodport::standin {

TEST_CASE("both fleets keep their limits under faults") {
  const auto fleet = GENERATE(values<FleetModelSettings>({Armor(), Hooghly()}));
  INFO(fleet.name);
  FleetScenario scenario{.seed = 7, .duration = Duration{12'000'000}};
  SECTION("slot limits hold with lost and duplicated messages and slow targets") {
    scenario.slowdown = 10;
    scenario.message_loss = 0.05;
    scenario.message_duplication = 0.05;
    FleetResult result = RunFleet(fleet, scenario);
    CHECK(result.over_slots == 0);
    CHECK(result.hedges <= 0.05 * static_cast<double>(result.requests));
  }
  SECTION(
      "a withdrawn data centre gets no new work after 3 s, and its cold return causes no "
      "failures") {
    scenario.withdrawn_at = Duration{2'000'000};
    scenario.returned_at = Duration{6'000'000};
    FleetResult result = RunFleet(fleet, scenario);
    CHECK(result.last_new_work <= Duration{3'000'000});
    CHECK(result.cold_failures == 0);
    CHECK(result.over_slots == 0);
  }
  SECTION("runs with the same seed are equal") {
    scenario.duration = Duration{1'000'000};
    CHECK(RunFleet(fleet, scenario).latency_us == RunFleet(fleet, scenario).latency_us);
  }
}

}  // namespace dogwoodport::standin
