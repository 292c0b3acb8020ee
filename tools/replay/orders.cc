// Replays traces of orders. Events: {"at_ms", "event", ...} with
//   order, resend {"order"}, lose {"instance", "replaced_ms" (optional)}, pause {"instance",
//   "for_ms"}, cut_off {"instance"}, move {"instance"}, end,
// where "instance" may be "authority" for the authority of the order given by "order". The header
// has "instances" and "links" {"loss", "duplication"}. The outcome states, per order, its runs and
// what its caller saw: "done", "unknown", "conflict", "gave_up" or "pending".

#include "dogwoodport/standin/order_fleet.h"
#include "replay/replayer.h"

namespace dogwoodport::replay {
namespace {

using standin::CallerOutcome;
using standin::OrderFleet;
using standin::OrderFleetSettings;

constexpr Duration kMs{1'000};

const char* OutcomeName(CallerOutcome outcome) {
  constexpr const char* kNames[] = {"pending", "done", "unknown", "conflict", "gave_up"};
  return kNames[static_cast<std::size_t>(outcome)];
}

OrderFleetSettings Settings(const nlohmann::json& header) {
  OrderFleetSettings settings;
  settings.instances = header.at("instances").get<std::uint32_t>();
  settings.seed = header.at("seed").get<std::uint64_t>();
  settings.links.loss = header.at("links").at("loss").get<double>();
  settings.links.duplication = header.at("links").at("duplication").get<double>();
  settings.service_time = Duration(header.value("service_ms", std::int64_t{5}) * 1'000);
  return settings;
}

std::size_t InstanceOf(const OrderFleet& fleet, const nlohmann::json& event) {
  const auto& instance = event.at("instance");
  if (!instance.is_string()) return instance.get<std::size_t>();
  return fleet.AuthorityOf(fleet.order(event.at("order").get<std::size_t>()));
}

void Apply(OrderFleet& fleet, const nlohmann::json& event) {
  const auto name = event.at("event").get<std::string>();
  if (name == "order") {
    fleet.SendOrder();
  } else if (name == "resend") {
    fleet.Resend(event.at("order").get<std::size_t>());
  } else if (name == "lose") {
    std::optional<Duration> replaced;
    if (event.contains("replaced_ms")) {
      replaced = event.at("replaced_ms").get<std::int64_t>() * kMs;
    }
    fleet.Lose(InstanceOf(fleet, event), replaced);
  } else if (name == "pause") {
    fleet.Pause(InstanceOf(fleet, event), event.at("for_ms").get<std::int64_t>() * kMs);
  } else if (name == "cut_off") {
    fleet.CutOff(InstanceOf(fleet, event));
  } else if (name == "move") {
    fleet.MoveAuthority(InstanceOf(fleet, event));
  } else if (name != "end") {
    throw std::runtime_error("unknown event " + name);
  }
}

std::vector<std::string> Compare(const OrderFleet& fleet, const nlohmann::json& outcome) {
  std::vector<std::string> differences;
  std::size_t n = 0;
  for (const auto& order : outcome.at("orders")) {
    const int runs = fleet.runs(n);
    const std::string caller = OutcomeName(fleet.outcome(n));
    if (runs != order.at("runs").get<int>() || caller != order.at("caller").get<std::string>()) {
      differences.push_back("order " + std::to_string(n) + ": runs " + std::to_string(runs) +
                            ", caller " + caller);
    }
    ++n;
  }
  const auto false_not_run = fleet.counts().false_not_run;
  if (false_not_run != 0) {
    differences.push_back("false \"not run\": " + std::to_string(false_not_run));
  }
  return differences;
}

const Registration orders_replayer("orders", [](const Trace& trace) {
  OrderFleet fleet(Settings(trace.header));
  const TimePoint start = fleet.now();
  for (const auto& event : trace.events) {
    fleet.Run(start + event.at("at_ms").get<std::int64_t>() * kMs - fleet.now());
    Apply(fleet, event);
  }
  return Compare(fleet, trace.header.at("outcome"));
});

}  // namespace
}  // namespace dogwoodport::replay
