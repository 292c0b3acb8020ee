#include "dogwoodport/core/routing.h"

#include <chrono>
#include <cstdio>

#include "dogwoodport/standin/fleet_model.h"
#include "measure/report.h"

namespace dogwoodport::measure {
namespace {

using standin::FleetModelSettings;
using standin::FleetResult;
using standin::FleetScenario;

constexpr double kSlowdown = 10;
constexpr std::uint64_t kSeeds = 3;

/// Adds the figures of one run to those of others.
void Merge(FleetResult& sum, const FleetResult& r) {
  const auto append = [](std::vector<float>& to, const std::vector<float>& from) {
    to.insert(to.end(), from.begin(), from.end());
  };
  append(sum.latency_us, r.latency_us);
  append(sum.keyless_us, r.keyless_us);
  append(sum.keyed_us, r.keyed_us);
  for (const auto member :
       {&FleetResult::requests, &FleetResult::refused, &FleetResult::lost, &FleetResult::attempts,
        &FleetResult::hedges, &FleetResult::spilled, &FleetResult::probes, &FleetResult::messages,
        &FleetResult::message_bytes, &FleetResult::over_slots, &FleetResult::moves,
        &FleetResult::cold_failures}) {
    sum.*member += r.*member;
  }
}

/// Runs the scenario with several seeds, since the groups that share a feed differ by seed.
FleetResult Run(const FleetModelSettings& fleet, std::uint64_t seed, double slowdown,
                const SelectionPolicy& policy) {
  FleetResult sum;
  for (std::uint64_t i = 0; i < kSeeds; ++i) {
    FleetScenario scenario{.seed = seed + i, .policy = policy, .slowdown = slowdown};
    const bool baseline = !std::holds_alternative<EvidencePolicy>(policy);
    scenario.detect_slow = !baseline;
    scenario.hedge = !baseline;
    Merge(sum, standin::RunFleet(fleet, scenario));
  }
  return sum;
}

void PrintRun(const std::string& name, FleetResult& r) {
  const auto q = [](std::vector<float>& v, double quantile) {
    return FleetResult::QuantileMs(v, quantile);
  };
  std::printf(
      "%-22s all %.1f/%.1f/%.1f keyless %.1f/%.1f/%.1f keyed %.1f/%.1f/%.1f ms, n %zu/%llu refused "
      "%llu hedges %llu spilled %llu probes %llu messages %llu bytes %llu over %llu cold %llu "
      "moves %llu\n",
      name.c_str(), q(r.latency_us, .5), q(r.latency_us, .99), q(r.latency_us, .999),
      q(r.keyless_us, .5), q(r.keyless_us, .99), q(r.keyless_us, .999), q(r.keyed_us, .5),
      q(r.keyed_us, .99), q(r.keyed_us, .999), r.latency_us.size(),
      static_cast<unsigned long long>(r.requests), static_cast<unsigned long long>(r.refused),
      static_cast<unsigned long long>(r.hedges), static_cast<unsigned long long>(r.spilled),
      static_cast<unsigned long long>(r.probes), static_cast<unsigned long long>(r.messages),
      static_cast<unsigned long long>(r.message_bytes),
      static_cast<unsigned long long>(r.over_slots),
      static_cast<unsigned long long>(r.cold_failures), static_cast<unsigned long long>(r.moves));
}

void MeasureTail(const FleetModelSettings& fleet, std::uint64_t seed) {
  FleetResult base = Run(fleet, seed, 1, EvidencePolicy{});
  PrintRun(fleet.name + " unslowed", base);
  FleetResult slow = Run(fleet, seed, kSlowdown, EvidencePolicy{});
  PrintRun(fleet.name + " slowed", slow);
  FleetResult rr = Run(fleet, seed, kSlowdown, RoundRobin{});
  PrintRun(fleet.name + " round_robin", rr);
  FleetResult lif = Run(fleet, seed, kSlowdown, LeastInFlight{});
  PrintRun(fleet.name + " least_in_flight", lif);
}

void MeasureRouting(std::uint64_t seed, Report& /*report*/) {
  MeasureTail(standin::Armor(), seed);
  MeasureTail(standin::Hooghly(), seed);
}

const Registration kRegistration("routing", MeasureRouting);

}  // namespace
}  // namespace dogwoodport::measure
