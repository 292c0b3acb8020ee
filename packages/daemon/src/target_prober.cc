#include "dogwoodport/daemon/target_prober.h"

#include <nlohmann/json.hpp>

namespace dogwoodport {
namespace {

using nlohmann::json;

/// Half of the time after which the coordinator considers a target lost.
constexpr std::chrono::milliseconds kProbeTimeout{500};

std::optional<json> RequestJson(TargetClient& client, const TargetAddress& target, Request request,
                                bool new_connection, std::chrono::microseconds* latency) {
  Exchange exchange;
  exchange.target = target;
  exchange.request = std::move(request);
  exchange.deadline = std::chrono::steady_clock::now() + kProbeTimeout;
  exchange.force_new_connection = new_connection;
  exchange.check_request_id = false;
  const ExchangeResult result = client.Run(exchange);
  const auto* response = std::get_if<ExchangeAnswer>(&result);
  if (response == nullptr || response->answer.status != 200) return std::nullopt;
  if (latency != nullptr) *latency = response->latency;
  json value = json::parse(response->answer.body, nullptr, false);
  if (!value.is_object()) return std::nullopt;
  return value;
}

HealthState ParseHealthState(const std::string& name) {
  if (name == "cold") return HealthState::kCold;
  if (name == "draining") return HealthState::kDraining;
  return HealthState::kReady;
}

}  // namespace

ProbeResponse Probe(TargetClient& client, const ProbeTarget& target) {
  const TargetAddress address{target.host, target.port};
  ProbeResponse out;
  std::chrono::microseconds latency{0};
  const auto health = RequestJson(client, address, {"GET", "/-/health", {}, {}}, true, &latency);
  if (!health) return out;
  out.health.reachable = true;
  out.health.latency = latency;
  out.health.state = ParseHealthState(health->value("state", std::string("ready")));
  out.health.boot = TargetId::FromName(health->value("boot_id", std::string())).value;
  const auto load = RequestJson(client, address, {"GET", "/-/load", {}, {}}, false, nullptr);
  if (!load || !load->contains("in_flight")) return out;
  out.has_load = true;
  out.in_flight = load->value("in_flight", 0U);
  out.load_age = Duration(load->value("age_ms", std::int64_t{0}) * 1000);
  return out;
}

std::optional<GrantReply> PutGrants(TargetClient& client, const SendGrants& grants) {
  json list = json::array();
  for (std::size_t i = 0; i < grants.request.grants.size(); ++i) {
    const Grant& grant = grants.request.grants[i];
    list.push_back({{"service", grants.services[i]},
                    {"shard", grant.shard.index},
                    {"epoch", ToString(grant.epoch)},
                    {"expires_at_ms", grant.expires_at_ms}});
  }
  json body = {{"grants", list}};
  if (!grants.request.boot_id.empty()) body["boot_id"] = grants.request.boot_id;
  Request request{"PUT", "/-/grants", {{"Content-Type", "application/json"}}, body.dump()};
  const auto response =
      RequestJson(client, {grants.host, grants.port}, std::move(request), false, nullptr);
  if (!response || !response->contains("clock_ms")) return std::nullopt;
  GrantReply reply;
  reply.target = grants.request.target;
  reply.request = grants.request.request;
  reply.clock_ms = response->value("clock_ms", std::int64_t{0});
  reply.boot_id = response->value("boot_id", std::string());
  return reply;
}

}  // namespace dogwoodport
