// Measure 4 (orders): majority-recorded intents against the memory of the authority alone.

#include <string>

#include "dogwoodport/standin/order_fleet.h"
#include "measure/report.h"

namespace dogwoodport::measure {
namespace {

using standin::OrderCounts;
using standin::OrderFleet;
using standin::OrderFleetSettings;

constexpr Duration kMs{1'000};
constexpr Duration kSecond{1'000'000};

struct Run {
  OrderCounts counts;
  double messages_per_order = 0;
};

/// Ten rounds of load, each with an instance lost, paused or moved out of the group, lost answers
/// and callers that retry.
Run RunOrders(std::uint32_t instances, IntentPolicy policy, bool header, std::uint64_t seed) {
  OrderFleetSettings settings;
  settings.instances = instances;
  settings.policy = policy;
  settings.seed = seed;
  settings.links.loss = 0.01;
  settings.links.duplication = 0.01;
  settings.answer_loss = 0.01;
  settings.service_time = 20 * kMs;
  settings.callers_prove_freshness = header;
  OrderFleet fleet(settings);
  fleet.Run(4 * kSecond);
  for (int round = 0; round < 10; ++round) {
    for (int i = 0; i < 800; ++i) {
      if (i == 200) {
        const std::size_t victim =
            fleet.AuthorityOf(MakeOrderId(AccountId{1}, std::to_string(round)));
        if (round % 3 == 0) fleet.Lose(victim, 3 * kSecond);
        if (round % 3 == 1) fleet.Pause(victim, 2 * kSecond);
        if (round % 3 == 2) fleet.Lose(victim, 100 * kMs);
      }
      fleet.SendOrder();
      fleet.Run(10 * kMs);
    }
  }
  fleet.Run(15 * kSecond);
  const OrderCounts counts = fleet.counts();
  return {counts, static_cast<double>(fleet.bus().sent()) / static_cast<double>(counts.sent)};
}

double Share(std::uint64_t part, std::uint64_t of) {
  return static_cast<double>(part) / static_cast<double>(std::max<std::uint64_t>(1, of));
}

void MeasureFleet(const std::string& fleet, std::uint32_t instances, std::uint64_t seed,
                  Report& report) {
  const Run majority = RunOrders(instances, MajorityIntents{}, false, seed);
  const Run memory = RunOrders(instances, AuthorityMemory{false}, false, seed);
  const Run refusing = RunOrders(instances, AuthorityMemory{true}, false, seed);
  const Run proving = RunOrders(instances, AuthorityMemory{true}, true, seed);
  const auto sent = majority.counts.sent;
  const auto add = [&](const std::string& id, double value, const char* unit, double target,
                       Relation relation, std::optional<double> baseline) {
    report.Add({"4." + id + "." + fleet, value, unit, target, relation, baseline, seed});
  };
  const auto number = [](std::uint64_t n) { return static_cast<double>(n); };
  add("sent", number(sent), "orders", 1, Relation::kAtLeast, number(memory.counts.sent));
  add("done", Share(majority.counts.done, sent), "ratio", 0, Relation::kAtLeast,
      Share(memory.counts.done, sent));
  add("run_twice", number(majority.counts.ran_twice), "orders", 0, Relation::kEqual,
      number(memory.counts.ran_twice));
  add("false_not_run", number(majority.counts.false_not_run), "requests", 0, Relation::kEqual,
      number(memory.counts.false_not_run));
  add("unknown", Share(majority.counts.unknown, sent), "ratio", 1, Relation::kAtMost,
      Share(memory.counts.unknown, sent));
  add("gave_up", Share(majority.counts.gave_up, sent), "ratio", 1, Relation::kAtMost,
      Share(memory.counts.gave_up, sent));
  add("messages_per_order", majority.messages_per_order, "messages", 1'000, Relation::kAtMost,
      memory.messages_per_order);
  add("memory_refusing.run_twice", number(refusing.counts.ran_twice), "orders", 0, Relation::kEqual,
      {});
  add("memory_refusing.fresh_refused", Share(refusing.counts.fresh_refused, sent), "ratio", 1,
      Relation::kAtMost, Share(majority.counts.fresh_refused, sent));
  add("memory_refusing.gave_up", Share(refusing.counts.gave_up, sent), "ratio", 1,
      Relation::kAtMost, Share(majority.counts.gave_up, sent));
  add("memory_proving.run_twice", number(proving.counts.ran_twice), "orders", 0, Relation::kEqual,
      {});
  add("memory_proving.fresh_refused", Share(proving.counts.fresh_refused, sent), "ratio", 1,
      Relation::kAtMost, Share(majority.counts.fresh_refused, sent));
  add("memory_proving.gave_up", Share(proving.counts.gave_up, sent), "ratio", 1, Relation::kAtMost,
      Share(majority.counts.gave_up, sent));
}

const Registration orders_part("orders", [](std::uint64_t seed, Report& report) {
  MeasureFleet("hooghly", 3, seed, report);
  MeasureFleet("armor", 4, seed, report);
});

}  // namespace
}  // namespace dogwoodport::measure
