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

double Q(std::vector<float>& values, double quantile) {
  return FleetResult::QuantileMs(values, quantile);
}

void MeasureTail(const FleetModelSettings& fleet, std::uint64_t seed, Report& report) {
  FleetResult base = Run(fleet, seed, 1, EvidencePolicy{});
  FleetResult slow = Run(fleet, seed, kSlowdown, EvidencePolicy{});
  FleetResult turn = Run(fleet, seed, kSlowdown, RoundRobin{});
  FleetResult least = Run(fleet, seed, kSlowdown, LeastInFlight{});
  PrintRun(fleet.name + " unslowed", base);
  PrintRun(fleet.name + " slowed", slow);
  PrintRun(fleet.name + " round_robin", turn);
  PrintRun(fleet.name + " least_in_flight", least);
  std::string id = "3.";
  id.append(fleet.name).append(".");
  const auto add = [&](const std::string& name, std::vector<float> FleetResult::*values,
                       double quantile) {
    const double unslowed = Q(base.*values, quantile);
    const double value = Q(slow.*values, quantile);
    const double turn_value = Q(turn.*values, quantile);
    const double least_value = Q(least.*values, quantile);
    report.Add(
        {id + name + ".slowed", value, "ms", 2 * unslowed, Relation::kAtMost, unslowed, seed});
    report.Add(
        {id + name + ".round_robin", value, "ms", turn_value, Relation::kAtMost, turn_value, seed});
    report.Add({id + name + ".least_in_flight", value, "ms", least_value, Relation::kAtMost,
                least_value, seed});
  };
  add("p50", &FleetResult::latency_us, 0.5);
  add("p99", &FleetResult::latency_us, 0.99);
  add("p99_9", &FleetResult::latency_us, 0.999);
  add("p99_keyless", &FleetResult::keyless_us, 0.99);
  add("p99_keyed", &FleetResult::keyed_us, 0.99);
  const auto percent = [](std::uint64_t part, std::uint64_t whole) {
    return 100.0 * static_cast<double>(part) / static_cast<double>(whole);
  };
  report.Add(
      {id + "hedged", percent(slow.hedges, slow.requests), "%", 5, Relation::kAtMost, {}, seed});
  report.Add({id + "refused", percent(slow.refused, slow.requests), "%", 0.1, Relation::kAtMost,
              percent(turn.refused, turn.requests), seed});
  const auto over = static_cast<double>(slow.over_slots + base.over_slots);
  report.Add({id + "over_slots", over, "requests", 0, Relation::kEqual, {}, seed});
  const double instance_seconds = fleet.instances * 60.0 * kSeeds;
  report.Add({id + "message_bytes",
              static_cast<double>(slow.message_bytes) / instance_seconds,
              "bytes/s",
              13'000,
              Relation::kAtMost,
              {},
              seed});
}

void MeasureDataCentre(const FleetModelSettings& fleet, std::uint64_t seed, Report& report) {
  const std::string id = "5." + fleet.name + ".routing.";
  FleetScenario withdrawn{.seed = seed, .withdrawn_at = Duration{10'000'000}};
  withdrawn.returned_at = Duration{30'000'000};
  FleetResult r = standin::RunFleet(fleet, withdrawn);
  PrintRun(fleet.name + " withdrawn", r);
  report.Add({id + "withdrawn.last_new_work",
              static_cast<double>(r.last_new_work.count()) / 1e6,
              "s",
              3,
              Relation::kAtMost,
              {},
              seed});
  report.Add({id + "withdrawn.refused",
              100.0 * static_cast<double>(r.refused) / static_cast<double>(r.requests),
              "%",
              0.1,
              Relation::kAtMost,
              {},
              seed});
  report.Add({id + "returned.cold_failures",
              static_cast<double>(r.cold_failures),
              "requests",
              0,
              Relation::kEqual,
              {},
              seed});
  FleetScenario cut{.seed = seed, .duration = Duration{80'000'000}};
  cut.cut_off_at = Duration{10'000'000};
  cut.joined_at = Duration{70'000'000};
  FleetResult c = standin::RunFleet(fleet, cut);
  PrintRun(fleet.name + " cut_off", c);
  // Keys of the other side are refused, which is right; keyless requests are served.
  report.Add(
      {id + "cut_off.keyless_p99", Q(c.keyless_us, 0.99), "ms", 100, Relation::kAtMost, {}, seed});
}

/// A data centre with `targets` targets of one service and `instances` instances.
Routing MakeRouting(std::size_t targets, std::size_t instances, TimePoint now) {
  const DataCentreId here = DataCentreId::FromName("here");
  Routing routing(
      {.self = InstanceId::FromName("0"), .incarnation = Incarnation{1}, .data_centre = here});
  Config config;
  config.data_centres.push_back({here, "here", 1});
  config.services.push_back({.id = ServiceId::FromName("s"), .name = "s"});
  for (std::size_t i = 0; i < targets; ++i) {
    TargetConfig target{.id = TargetId::FromName(std::to_string(i))};
    target.service = config.services[0].id;
    target.data_centre = here;
    target.slots = 6;
    config.targets.push_back(target);
  }
  routing.OnConfig(now, config);
  Delegation delegation{.data_centre = here, .offset = 1};
  for (std::size_t i = 0; i < instances; ++i) {
    delegation.members.push_back({InstanceId::FromName(std::to_string(i)), Incarnation{1}});
  }
  delegation.coordinator = delegation.members[0].id;
  routing.OnDelegation(now, delegation, DelegationHistory::kFirst);
  return routing;
}

double Seconds(std::chrono::steady_clock::duration d) {
  return std::chrono::duration<double>(d).count();
}

void MeasureChoice(std::uint64_t seed, Report& report) {
  constexpr int kRounds = 200'000;
  TimePoint now{Duration{1'000'000}};
  Routing routing = MakeRouting(40, 4, now);
  Outbox out;
  RouteRequest request{.service = ServiceId::FromName("s"), .repeatable = true};
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kRounds; ++i) {
    now += Duration{100};
    request.arrived = now;
    request.deadline = now + Duration{1'000'000};
    const Choice choice = routing.Choose(now, request, out);
    routing.OnRequestFinished(now, std::get<Chosen>(choice).attempt, {});
  }
  const double us = Seconds(std::chrono::steady_clock::now() - start) * 1e6 / kRounds;
  report.Add({"7.routing.choice_40_targets", us, "us", 2, Relation::kAtMost, {}, seed});
}

struct Cost {
  double us = 0;
  double bytes = 0;
};

/// Mean cost of one tick of 10 ms, and bytes sent per tick.
Cost TickCost(std::size_t targets, std::size_t instances) {
  constexpr int kTicks = 1'000;
  TimePoint now{Duration{1'000'000}};
  Routing routing = MakeRouting(targets, instances, now);
  Outbox out;
  Cost cost;
  std::chrono::steady_clock::duration spent{0};
  for (int i = 0; i < kTicks; ++i) {
    now += Duration{10'000};
    const auto start = std::chrono::steady_clock::now();
    routing.Tick(now, out);
    spent += std::chrono::steady_clock::now() - start;
    for (const Envelope& envelope : out.Take()) {
      msgpack::sbuffer buf;
      if (const auto* m = std::get_if<TargetEvidence>(&envelope.message)) msgpack::pack(buf, *m);
      cost.bytes += static_cast<double>(buf.size());
    }
  }
  cost.us = Seconds(spent) * 1e6 / kTicks;
  cost.bytes /= kTicks;
  return cost;
}

void MeasureSlopes(std::uint64_t seed, Report& report) {
  // At the design size a data centre has 7,900 / 18 nodes.
  for (const std::size_t n : {11U, 110U, 440U}) {
    const Cost by_targets = TickCost(n, 4);
    const Cost by_instances = TickCost(11, n);
    const std::string size = std::to_string(n);
    // 1.5% of a core is 150 us of each tick of 10 ms; 13 KB/s are 130 bytes per tick.
    const auto add = [&](const std::string& name, double value, const char* unit, double target) {
      std::string id = "8.slope.routing.";
      id.append(name).append(".").append(size);
      report.Add({id, value, unit, target, Relation::kAtMost, {}, seed});
    };
    add("tick_us.targets", by_targets.us, "us", 150);
    add("tick_bytes.targets", by_targets.bytes, "bytes", 130);
    add("tick_us.instances", by_instances.us, "us", 150);
    add("tick_bytes.instances", by_instances.bytes, "bytes", 130);
  }
}

void MeasureRouting(std::uint64_t seed, Report& report) {
  for (const FleetModelSettings& fleet : {standin::Armor(), standin::Hooghly()}) {
    MeasureTail(fleet, seed, report);
    MeasureDataCentre(fleet, seed, report);
  }
  MeasureChoice(seed, report);
  MeasureSlopes(seed, report);
}

const Registration registration("routing", MeasureRouting);

}  // namespace
}  // namespace dogwoodport::measure
