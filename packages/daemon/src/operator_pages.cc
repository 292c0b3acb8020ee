#include "dogwoodport/daemon/operator_pages.h"

#include <nlohmann/json.hpp>

#include "dogwoodport/core/detail/systems.h"
#include "dogwoodport/core/refusal.h"

namespace dogwoodport {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxAuditPage = 200;

/// Input of a page function.
struct PageInput {
  std::string_view uri;
  Router& router;
  TimePoint now;
  const PageContext& context;
};

Reply JsonReply(std::uint16_t status, const json& value) {
  Reply reply;
  reply.answer.status = status;
  reply.answer.fields.push_back({"Content-Type", "application/json"});
  reply.answer.body = value.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
  return reply;
}

std::string HexText(std::uint64_t value) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(value));
  return text.data();
}

/// Returns the name of an instance from the settings, or its id in hexadecimal if it has none.
std::string InstanceName(const PageContext& context, InstanceId id) {
  for (const PeerSettings& peer : context.settings.mesh.peers) {
    if (InstanceId::FromName(peer.instance) == id) return peer.instance;
  }
  if (InstanceId::FromName(context.settings.instance) == id) return context.settings.instance;
  return HexText(id.value);
}

std::string TargetName(const Config& config, TargetId id) {
  for (const TargetConfig& target : config.targets) {
    if (target.id == id) return target.name;
  }
  return HexText(id.value);
}

const char* LivenessName(Liveness liveness) {
  switch (liveness) {
    case Liveness::kAlive:
      return "alive";
    case Liveness::kSuspect:
      return "suspect";
    case Liveness::kDead:
      return "dead";
    case Liveness::kUnknown:
      break;
  }
  return "unknown";
}

json ReadyPage(const PageInput& in) {
  const detail::Systems& systems = in.router.systems();
  return {{"ready", in.router.Ready(in.now)},
          {"state_current", systems.follower.ready()},
          {"configuration_version", systems.config().version},
          {"permit_valid", systems.ownership.permit().ValidAt(in.now)}};
}

json StatusPage(const PageInput& in) {
  const detail::Systems& systems = in.router.systems();
  const Delegation* delegation = systems.ownership.delegation();
  json out = ReadyPage(in);
  out["instance"] = in.context.settings.instance;
  out["data_centre"] = in.context.settings.data_centre;
  out["log_offset"] = systems.follower.state().next_offset();
  out["reads_log"] = systems.follower.is_reader();
  out["fault"] = systems.follower.fault();
  out["requests_in_progress"] = in.router.requests_in_progress();
  if (delegation != nullptr) {
    json members = json::array();
    for (const Member& member : delegation->members) {
      members.push_back({{"instance", InstanceName(in.context, member.id)},
                         {"incarnation", member.incarnation.value},
                         {"witness", member.witness}});
    }
    out["delegation"] = {{"offset", delegation->offset},
                         {"coordinator", InstanceName(in.context, delegation->coordinator)},
                         {"members", members}};
  }
  return out;
}

json InstancesPage(const PageInput& in) {
  const detail::Systems& systems = in.router.systems();
  json list = json::array();
  for (const auto& [id, info] : systems.membership.members()) {
    list.push_back({{"instance", InstanceName(in.context, id)},
                    {"incarnation", info.incarnation.value},
                    {"liveness", LivenessName(systems.membership.liveness(in.now, id))},
                    {"usable", systems.membership.IsUsable(in.now, id)},
                    {"ready", info.ready},
                    {"state_offset", info.state_offset},
                    {"heard_ms_ago", std::chrono::duration_cast<std::chrono::milliseconds>(
                                         in.now - info.last_heartbeat)
                                         .count()}});
  }
  return {{"instances", list}};
}

json TargetsPage(const PageInput& in) {
  constexpr std::array<const char*, 3> kHealthNames = {"ready", "cold", "draining"};
  json list = json::array();
  for (const TargetRow& row : in.router.systems().routing.targets().rows()) {
    list.push_back({{"target", row.config.name},
                    {"configured", row.configured},
                    {"down", row.down},
                    {"draining", row.draining},
                    {"health", kHealthNames[static_cast<std::size_t>(row.health)]},
                    {"slow_state", static_cast<int>(row.slow)},
                    {"cold", row.cold},
                    {"in_flight", row.attempts.size()},
                    {"peers_in_flight", row.peers_in_flight},
                    {"latency_us", row.latency_us},
                    {"error_rate", row.error_rate}});
  }
  return {{"targets", list}};
}

json ShardsPage(const PageInput& in) {
  const detail::Systems& systems = in.router.systems();
  json list = json::array();
  systems.ownership.permit().table().ForEach([&](ShardId shard, const ShardEntry& entry) {
    std::string service = HexText(shard.service.value);
    for (const ServiceConfig& item : systems.config().services) {
      if (item.id == shard.service) service = item.name;
    }
    list.push_back({{"service", service},
                    {"shard", shard.index},
                    {"target", TargetName(systems.config(), entry.target)},
                    {"epoch", ToString(entry.epoch)},
                    {"state", static_cast<int>(entry.state)}});
  });
  return {{"shards", list}};
}

json OwnersPage(const PageInput& in) {
  const detail::Systems& systems = in.router.systems();
  const std::string service = QueryValue(in.uri, "service").value_or("");
  const std::string key = QueryValue(in.uri, "key").value_or("");
  const Owner owner = systems.ownership.FindOwner(in.now, ServiceId::FromName(service), key);
  json out = {{"service", service}, {"key", key}};
  if (const auto* local_owner = std::get_if<LocalOwner>(&owner)) {
    out["target"] = TargetName(systems.config(), local_owner->target);
    out["shard"] = local_owner->shard.index;
    out["epoch"] = ToString(local_owner->epoch);
  } else if (const auto* remote_home = std::get_if<RemoteHome>(&owner)) {
    for (const DataCentreConfig& item : systems.config().data_centres) {
      if (item.id == remote_home->data_centre) out["data_centre"] = item.name;
    }
  } else {
    out["no_owner"] = ToString(std::get<NoOwner>(owner).reason);
  }
  return out;
}

json LimitsPage(const PageInput& in) {
  detail::Systems& systems = in.router.systems();
  const auto account_filter = QueryValue(in.uri, "account");
  json list = json::array();
  for (const AccountConfig& account : systems.config().accounts) {
    if (account_filter && account.name != *account_filter) continue;
    const auto status = systems.limits.Status(in.now, account.id);
    if (!status) continue;
    list.push_back({{"account", account.name},
                    {"rate", status->rate},
                    {"cap", status->cap},
                    {"balance", status->balance},
                    {"borrowed", status->borrowed},
                    {"outstanding", status->outstanding},
                    {"waiting", status->waiting},
                    {"admitted", status->admitted},
                    {"refused", status->refused}});
  }
  return {{"accounts", list}};
}

json OrdersPage(const PageInput& in) {
  constexpr std::array<const char*, 4> kStateNames = {"intent", "unknown", "not_run", "done"};
  detail::Systems& systems = in.router.systems();
  const Orders& orders = systems.OrdersOf(systems.settings.self.data_centre);
  const std::string account = QueryValue(in.uri, "account").value_or("");
  const std::string key = QueryValue(in.uri, "key").value_or("");
  const auto status = orders.Query(in.now, MakeOrderId(AccountId::FromName(account), key));
  json out = {{"account", account}, {"key", key}, {"known", status.has_value()}};
  if (!status) return out;
  out["state"] = kStateNames[static_cast<std::size_t>(status->state)];
  out["in_progress"] = status->in_progress;
  out["age_ms"] = status->age_ms;
  out["status"] = status->status;
  return out;
}

json QuarantinePage(const PageInput& in) {
  json list = json::array();
  for (const Fingerprint& fingerprint : in.router.systems().quarantine.List()) {
    list.push_back(HexText(fingerprint.value));
  }
  return {{"fingerprints", list}};
}

json AuditPage(const PageInput& in) {
  constexpr std::array<const char*, 4> kOutcomeNames = {"applied", "stale", "repeated", "refused"};
  const std::string text = QueryValue(in.uri, "from").value_or("0");
  const std::uint64_t from = std::strtoull(text.c_str(), nullptr, 10);
  json list = json::array();
  for (const AuditEntry& entry : in.router.state().audit()) {
    if (entry.offset < from) continue;
    if (list.size() == kMaxAuditPage) break;
    list.push_back({{"offset", entry.offset},
                    {"time_ms", entry.time_ms},
                    {"actor", entry.actor},
                    {"what", entry.what},
                    {"from", entry.from},
                    {"to", entry.to},
                    {"reason", entry.reason},
                    {"outcome", kOutcomeNames[static_cast<std::size_t>(entry.outcome)]},
                    {"detail", entry.detail}});
  }
  return {{"audit", list}};
}

Reply MetricsPage(const PageInput& in, const Metrics& metrics) {
  const RouterCounters router = in.router.counters();
  const PageContext& page_context = in.context;
  std::string out;
  metrics.Write(out);
  const auto counter = [&out](const char* name, std::uint64_t value) {
    WriteValue(out, name, "counter", static_cast<double>(value));
  };
  counter("dogwood_requests_total", router.requests);
  counter("dogwood_refused_total", router.refused);
  counter("dogwood_forwarded_total", router.forwarded);
  counter("dogwood_forwarded_in_total", router.forwarded_in);
  counter("dogwood_attempts_total", router.attempts);
  counter("dogwood_retries_total", router.retries);
  counter("dogwood_target_connections_lost_total", router.connections_lost);
  counter("dogwood_broken_requests_total", page_context.entry.broken_requests);
  counter("dogwood_refused_connections_total", page_context.entry.refused_connections);
  counter("dogwood_target_connects_total", page_context.targets.connects);
  counter("dogwood_mesh_sent_total", page_context.mesh.sent);
  counter("dogwood_mesh_sent_bytes_total", page_context.mesh.sent_bytes);
  counter("dogwood_mesh_received_total", page_context.mesh.received);
  counter("dogwood_mesh_received_bytes_total", page_context.mesh.received_bytes);
  counter("dogwood_mesh_dropped_total", page_context.mesh.dropped_sends);
  counter("dogwood_mesh_rejected_total", page_context.mesh.rejected);
  const auto gauge = [&out](const char* name, double value) {
    WriteValue(out, name, "gauge", value);
  };
  gauge("dogwood_open_connections", static_cast<double>(page_context.entry.open_connections));
  gauge("dogwood_requests_in_progress", static_cast<double>(in.router.requests_in_progress()));
  gauge("dogwood_log_offset", static_cast<double>(in.router.state().next_offset()));
  gauge("dogwood_configuration_version", static_cast<double>(in.router.state().config()->version));
  gauge("dogwood_ready", in.router.Ready(in.now) ? 1 : 0);
  Reply reply;
  reply.answer = {200, {{"Content-Type", "text/plain; version=0.0.4"}}, std::move(out)};
  return reply;
}

using PageFunction = json (*)(const PageInput&);

struct PageEntry {
  std::string_view path;
  PageFunction page;
};

constexpr std::array<PageEntry, 9> kAuthenticatedPages = {{{"/-/status", &StatusPage},
                                                           {"/-/instances", &InstancesPage},
                                                           {"/-/targets", &TargetsPage},
                                                           {"/-/shards", &ShardsPage},
                                                           {"/-/owners", &OwnersPage},
                                                           {"/-/limits", &LimitsPage},
                                                           {"/-/orders", &OrdersPage},
                                                           {"/-/quarantine", &QuarantinePage},
                                                           {"/-/audit", &AuditPage}}};

}  // namespace

bool IsOperator(const Settings& settings, const std::string* authorization) {
  constexpr std::string_view kScheme = "Bearer ";
  const auto& secret = settings.operators.secret;
  if (!secret || authorization == nullptr) return false;
  if (authorization->rfind(kScheme, 0) != 0) return false;
  const std::string hash =
      HashSecret(secret->salt_hex, std::string_view{*authorization}.substr(kScheme.size()));
  if (hash.size() != secret->hash_hex.size()) return false;
  unsigned difference = 0;
  for (std::size_t i = 0; i < hash.size(); ++i) {
    difference |=
        static_cast<unsigned char>(hash[i]) ^ static_cast<unsigned char>(secret->hash_hex[i]);
  }
  return difference == 0;
}

Reply ServePage(const EntryRequest& in, Router& router, TimePoint now, const PageContext& context,
                const Metrics& metrics) {
  const std::string& id = in.request_id;
  if (in.request.method != "GET" && in.request.method != "HEAD") {
    return MakeRefusal(405, "method_not_allowed", "the pages are read-only", RunState::kNo, id);
  }
  const std::string_view uri = in.request.uri;
  const std::string_view path = uri.substr(0, uri.find('?'));
  const PageInput page{uri, router, now, context};
  if (path == "/-/live") return JsonReply(200, {{"live", true}});
  if (path == "/-/ready") return JsonReply(router.Ready(now) ? 200 : 503, ReadyPage(page));
  if (path == "/-/metrics") return MetricsPage(page, metrics);
  for (const PageEntry& entry : kAuthenticatedPages) {
    if (path != entry.path) continue;
    if (!IsOperator(context.settings, FindField(in.request.fields, "Authorization"))) {
      return MakeRefusal(401, "operator_secret", "the operators' secret is missing or wrong",
                         RunState::kNo, id);
    }
    return JsonReply(200, entry.page(page));
  }
  return MakeRefusal(404, "unknown_page", "no such page", RunState::kNo, id);
}

}  // namespace dogwoodport
