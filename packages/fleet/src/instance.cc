#include "dogwoodport/fleet/instance.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "dogwoodport/fleet/detail/name_hash.h"
#include "dogwoodport/net/http_status.h"

namespace dogwoodport::fleet {

using detail::HashOf;
using detail::ShortHashOf;

namespace {

/// Interval of periodic work: the regular one, and the one while requests wait for a target.
constexpr Duration kTickInterval{100'000};
constexpr Duration kBusyTickInterval{25'000};
constexpr Duration kColdShareInterval{250'000};
constexpr Duration kMaintenanceInterval{1'000'000};
/// Additional pause between feed reads in a large fleet, used while no pushes arrive from the
/// coordinator. The age of the data stays within the limits required by operators.
constexpr Duration kLargeFleetExtraPause{600'000};
/// Time after the stop signal during which the load balancer may still route callers to this
/// instance, and the maximum share of the grace period.
constexpr Duration kDrainDelay{2'300'000};
constexpr double kMaxDrainDelayShare = 0.4;
/// Time after the stop signal during which requests are accepted, and the maximum share of the
/// grace period. Later requests might not complete.
constexpr Duration kAdmissionCloseDelay{2'900'000};
constexpr double kMaxAdmissionCloseShare = 0.5;
/// Time for the last responses to reach their callers before the process ends.
constexpr Duration kFinalResponseTime{300'000};
/// Fractions of a cold target's headroom above its rate, and of the rate itself, that are used.
/// Each sender may be one request ahead, and requests sent within one second may arrive closer
/// together.
constexpr double kColdHeadroomShare = 0.5;
constexpr double kColdRateShare = 0.9;
/// Part of the grace period reserved for the exit of the process.
constexpr Duration kExitMargin{400'000};
/// Time for which an incarnation of a target without an entry is remembered. One that is leaving
/// may continue to serve for many seconds.
constexpr Duration kIncarnationRetention{60'000'000};
/// Age of the configuration above which the instance reports that it is not ready, so that callers
/// use other instances.
constexpr Duration kMaxConfigAge{4'000'000};

/// Number of accounts logged per second, those with the most admitted requests.
constexpr std::size_t kLoggedAccounts = 4;
/// Retry time for a caller whose request body exceeded the available memory.
constexpr Duration kOutOfMemoryRetryAfter{300'000};
/// The memory limit divided by this is available for request bodies, and as much again for response
/// bodies. A request body exists twice while it is sent to a target.
constexpr std::size_t kBodyMemoryDivisor = 6;

/// Limits of messages other than those of callers: responses to grants and releases, and requests
/// for readiness and metrics. They have a few hundred bytes.
constexpr std::uint32_t kControlHeaderBytes = 16 * 1024;
constexpr std::uint64_t kControlBodyBytes = std::uint64_t{16} * 1024;

net::MessageLimits ControlMessageLimits() {
  return {kControlHeaderBytes, kControlBodyBytes, nullptr};
}

net::PoolLimits ControlCallLimits() {
  net::PoolLimits limits;
  limits.message = ControlMessageLimits();
  return limits;
}

ForwarderSettings ForwarderSettingsFor(const InstanceSettings& settings) {
  ForwarderSettings result = settings.forwarder;
  result.response_body_bytes = settings.memory_bytes / kBodyMemoryDivisor;
  return result;
}

/// Returns the time since `since`, limited to the range of the result.
std::uint32_t MillisecondsSince(TimePoint since, TimePoint now) {
  constexpr std::uint32_t kMax = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::min<Duration::rep>(kMax, (now - since).count() / 1000));
}

net::HttpResponse PlainResponse(int status, std::string body) {
  net::HttpResponse response;
  response.status = status;
  response.fields.Add("Content-Type", "text/plain");
  response.body = std::move(body);
  return response;
}

}  // namespace

Instance::Instance(net::EventLoop& loop, InstanceSettings settings, MetadataStore& store,
                   const TargetProtocol& protocol, JsonLinesLog& log)
    : loop_(loop),
      settings_(std::move(settings)),
      store_(store),
      protocol_(protocol),
      log_(log),
      view_(settings_.retry_bound, settings_.account_tolerance),
      forwarder_(loop, view_, protocol, log, ForwarderSettingsFor(settings_),
                 settings_.incarnation),
      callers_(
          loop, settings_.caller_address,
          [this](const net::ExchangePtr& exchange) { forwarder_.Handle(exchange); },
          [this](const net::RequestFault& fault) {
            log_.Write(LogLevel::kInfo, "request_unreadable",
                       {{"status", fault.status}, {"reason", fault.text}});
            const bool no_memory = fault.status == net::status::kUnavailable;
            return protocol_.MakeResponse(
                fault.status, NameOf(no_memory ? Refusal::kOverloaded : Refusal::kMalformed), false,
                "", no_memory ? kOutOfMemoryRetryAfter : Duration{0});
          }),
      readiness_(
          loop, settings_.readiness_address,
          [this](const net::ExchangePtr& exchange) { exchange->Respond(MakeReadinessResponse()); },
          [](const net::RequestFault& fault) { return PlainResponse(fault.status, fault.text); }),
      metrics_(
          loop, settings_.metrics_address,
          [this](const net::ExchangePtr& exchange) {
            exchange->Respond(PlainResponse(200, Metrics()));
          },
          [](const net::RequestFault& fault) { return PlainResponse(fault.status, fault.text); }),
      caller_(loop, ControlCallLimits()),
      peers_(loop, log, settings_.peers,
             {settings_.peer_address, settings_.data_centre, settings_.incarnation,
              static_cast<float>(settings_.processor_share)}),
      coordinator_(MakePorts(), settings_.coordinator, settings_.peer_address),
      target_contacts_(settings_.min_store_outage, settings_.entry_restore_time),
      operators_(
          loop, store, log,
          {Feed::kOperators, "operators", settings_.operators_long_poll_wait, Duration{0},
           settings_.operators_push_timeout},
          [this](const FeedUpdate& update) { OnOperatorRecords(update); },
          [this](std::uint64_t from, std::uint64_t end, bool complete) {
            PushFeed(Feed::kOperators, from, end, complete);
          }),
      targets_(
          loop, store, log,
          {Feed::kTargets, "targets", Duration{0}, settings_.targets_read_pause,
           settings_.targets_push_timeout},
          [this](const FeedUpdate& update) { OnTargetRecords(update); },
          [this](std::uint64_t from, std::uint64_t end, bool complete) {
            PushFeed(Feed::kTargets, from, end, complete);
          }),
      started_at_(loop.now()),
      leaderless_since_(loop.now()) {
  view_.data_centre = settings_.data_centre;
  view_.instance = settings_.peer_address;
  view_.accounts.SetIdentity(settings_.peer_address, settings_.incarnation);
  callers_.limits().max_connections = settings_.max_caller_connections;
  callers_.limits().message.bodies =
      new net::BodyBudget(settings_.memory_bytes / kBodyMemoryDivisor);
  readiness_.limits().message = ControlMessageLimits();
  metrics_.limits().message = ControlMessageLimits();
  forwarder_.on_target_leaving = [this](const std::string& id) {
    OnTargetChange(id, TargetChange::kLeaving, {{"source", "response"}});
    urgent_update_pending_ = true;
  };
  forwarder_.on_token_needed = [this] { ExchangeTokens(); };
  peers_.on_loan_request = [this](const LoanRequest& request) {
    view_.accounts.OnRequest(request, loop_.Refresh());
    ExchangeTokens();
  };
  peers_.on_loan_grant = [this](const LoanGrant& grant) {
    view_.accounts.OnGrant(grant, loop_.Refresh());
    forwarder_.OnTokensAvailable();
    ExchangeTokens();
  };
  peers_.on_prepare = [this](PeerReport& report) { PrepareReport(report); };
  peers_.on_report = [this](const Peer& peer) { OnReport(peer); };
  peers_.on_prepare_load = [this](PeerLoad& load) { PrepareLoad(load); };
  peers_.on_load = [this](const PeerLoad& previous, const PeerLoad& load) {
    OnLoad(previous, load);
  };
  peers_.on_feed = [this](const FeedPush& push) { OnFeedPush(push); };
  peers_.on_table = [this](const std::string& bytes) { OnTable(bytes); };
  peers_.on_table_change = [this](const std::string& bytes) { OnTableChange(bytes); };
  peers_.on_prepare_digest = [this](PeerDigest& digest) { PrepareDigest(digest); };
  peers_.on_digest = [this](const PeerDigest& digest, const Peer&) { OnDigest(digest); };
}

Instance::~Instance() = default;

void Instance::Run() {
  log_.Write(LogLevel::kInfo, "started",
             {{"data_centre", settings_.data_centre}, {"callers", settings_.caller_address}});
  operators_.Start();
  targets_.Start();
  Register();
  Tick();
  loop_.Run([this] {
    if (stop_requested_ != 0 && !stopping_) Stop();
  });
  log_.Write(LogLevel::kInfo, "stopped", {{"open_requests", callers_.open_requests()}});
  log_.Flush();
}

void Instance::Reconfigure(const InstanceSettings& settings) {
  settings_.retry_bound = settings.retry_bound;
  settings_.account_tolerance = settings.account_tolerance;
  settings_.cold_factor = settings.cold_factor;
  settings_.cold_extra = settings.cold_extra;
  settings_.shutdown_grace = settings.shutdown_grace;
  view_.retry_budget.SetBound(settings.retry_bound);
  view_.accounts.SetTolerance(settings.account_tolerance);
  forwarder_.SetMaxSecretAge(settings.forwarder.max_secret_age);
}

void Instance::Stop() {
  if (stopping_) return;
  stopping_ = true;
  stopping_at_ = loop_.now();
  log_.Write(LogLevel::kInfo, "stopping", {{"open_requests", callers_.open_requests()}});
  forwarder_.SetStopping(stopping_at_ + settings_.shutdown_grace - kExitMargin -
                         kFinalResponseTime);
  coordinator_.StepDown("the instance stops");
  peers_.ReportNow();
}

void Instance::CheckShutdown() {
  if (!stopping_) return;
  const Duration since = loop_.now() - stopping_at_;
  const auto at_most = [this](Duration delay, double share) {
    return std::min(delay, FromSeconds(share * Seconds(settings_.shutdown_grace)));
  };
  if (since >= at_most(kDrainDelay, kMaxDrainDelayShare) && !callers_.draining()) callers_.Drain();
  if (since >= at_most(kAdmissionCloseDelay, kMaxAdmissionCloseShare)) {
    forwarder_.RefuseNewRequests();
  }
  const bool open = callers_.open_requests() > 0 || callers_.open_connections() > 0 ||
                    callers_.HasUnsentResponses();
  if (open || !callers_.draining()) last_open_at_ = loop_.now();
  const bool drained = loop_.now() - last_open_at_ >= kFinalResponseTime;
  if (drained || since >= settings_.shutdown_grace - kExitMargin) loop_.Stop();
}

void Instance::PrepareReport(PeerReport& report) {
  const TimePoint now = loop_.now();
  report.wants_table = wants_table_;
  report.leading = coordinator_.leading();
  report.leaving = stopping_;
  report.store_age_ms = MillisecondsSince(operators_.verified_at(), now);
  report.targets_age_ms = MillisecondsSince(targets_.verified_at(), now);
  report.generation = view_.keys.generation;
  report.revision = view_.keys.revision;
  // The coordinator's own updates are included in its digests.
  if (coordinator_.leading() && peers_.UsesDigests()) return;
  report.leaving_targets = view_.directory.LeavingTargets();
  report.quarantine = view_.quarantine.MakeReport(now);
  report.target_limits = view_.target_limits.MakeReport(now);
  for (auto& [service, rates] : view_.key_load.Busiest(now, settings_.max_reported_buckets)) {
    report.key_load.emplace_back(HashOf(service), std::move(rates));
  }
}

void Instance::PrepareDigest(PeerDigest& digest) {
  digest.leaving_targets = view_.directory.LeavingTargets();
  digest.quarantine = view_.quarantine.MakeDigest(loop_.now());
  digest.target_limits = view_.target_limits.MakeReport(loop_.now());
}

void Instance::OnDigest(const PeerDigest& digest) {
  MarkLeaving(digest.leaving_targets);
  view_.quarantine.OnReport(digest.quarantine, loop_.now());
  view_.target_limits.OnReport(digest.target_limits, loop_.now());
}

void Instance::SendUrgentUpdates() {
  if (!std::exchange(urgent_update_pending_, false)) return;
  if (coordinator_.leading()) {
    peers_.ScheduleUrgentDigest();
  } else if (peers_.UsesDigests() || !peers_.IsLarge()) {
    peers_.ReportNow(true);
  }
}

void Instance::PrepareLoad(PeerLoad& load) {
  for (const auto& [id, health] : view_.health) {
    if (health.in_flight() > 0) {
      load.in_flight.emplace_back(ShortHashOf(id), static_cast<std::uint16_t>(health.in_flight()));
    }
  }
}

void Instance::OnLoad(const PeerLoad& previous, const PeerLoad& load) {
  const auto add = [this](const PeerLoad& part, int sign) {
    for (const auto& [hash, n] : part.in_flight) {
      const auto it = target_names_.find(hash);
      if (it != target_names_.end()) view_.health[it->second].AddOthersInFlight(sign * int{n});
    }
  };
  add(previous, -1);
  add(load, 1);
}

void Instance::Tick() {
  const TimePoint now = loop_.now();
  view_.config_verified_at = operators_.verified_at();
  RemoveDoubtfulTargets();
  if (forwarder_.waiting() > 0) forwarder_.DispatchWaiting();
  coordinator_.Tick();
  CheckCoordinator();
  peers_.SetLeading(coordinator_.leading());
  UpdateLending();
  forwarder_.RequestTargetTokens();
  forwarder_.OnTokensAvailable();
  ExchangeTokens();
  LogQuarantine();
  LogTargetLimitChanges();
  SendUrgentUpdates();
  operators_.SetAlwaysReads(coordinator_.leading());
  targets_.SetAlwaysReads(coordinator_.leading());
  const Duration extra_pause = peers_.IsLarge() ? kLargeFleetExtraPause : Duration{0};
  operators_.SetExtraPause(extra_pause);
  targets_.SetExtraPause(extra_pause);
  if (now >= next_share_refresh_) RefreshColdShares();
  if (now >= next_maintenance_) RunMaintenance();
  if (now >= next_registry_read_ && peers_.reachable() == 0) {
    registered_ ? ReadInstances() : Register();
  }
  CheckShutdown();
  loop_.RunAfter(forwarder_.waiting() > 0 ? kBusyTickInterval : kTickInterval, [this] { Tick(); });
}

void Instance::RefreshColdShares() {
  const TimePoint now = loop_.now();
  next_share_refresh_ = now + kColdShareInterval;
  const std::size_t known_peers = peers_.peers().size();
  view_.instance_count = known_peers + 1;
  view_.retry_budget.SetInstances(known_peers + 1);
  view_.target_limits.SetInstances(known_peers + 1);
  // Includes unreachable instances. Instances may disagree on which peers are reachable, for
  // example after a simultaneous restart, but must choose the same senders.
  const std::vector<std::string> others = peers_.KnownAddresses();
  for (const auto& [id, target] : view_.directory.targets()) {
    if (!view_.IsCold(target, now)) continue;
    const Service* const service =
        view_.config ? view_.config->FindService(target.entry.service) : nullptr;
    if (service == nullptr) continue;
    const double room = (settings_.cold_factor - 1) * service->cold_rate + settings_.cold_extra;
    const auto senders = static_cast<std::size_t>(std::max(1.0, room * kColdHeadroomShare));
    view_.cold_limiter.Configure(id,
                                 service->cold_rate * kColdRateShare *
                                     ColdShare(id, settings_.peer_address, others, senders),
                                 now);
  }
}

void Instance::RunMaintenance() {
  next_maintenance_ = loop_.now() + kMaintenanceInterval;
  for (auto it = view_.health.begin(); it != view_.health.end();) {
    const bool unused = view_.directory.Find(it->first) == nullptr && it->second.in_flight() == 0;
    it = unused ? view_.health.erase(it) : std::next(it);
  }
  view_.directory.ForgetIncarnations(loop_.now(), kIncarnationRetention);
  view_.target_limits.Retain(view_.directory, loop_.now());
  MaintainQuarantine();
  forwarder_.Maintain();
  caller_.Maintain();
  LogStatus();
  LogAccounts();
  LogTargetLimitUsage();
  log_.Flush();
}

void Instance::LogAccounts() {
  const TimePoint now = loop_.now();
  for (const AccountTokens::AccountUsage& it : view_.accounts.TakeUsage(kLoggedAccounts, now)) {
    log_.Write(LogLevel::kInfo, "account_tokens",
               {{"account", it.account},
                {"admitted", it.admitted},
                {"over_limit", it.over_limit},
                {"waited", it.waited},
                {"unknown", it.unknown},
                {"free", it.free},
                {"lent", it.lent},
                {"demand_per_s", it.demand},
                {"lends", view_.accounts.MayLend(now)},
                {"takeovers", view_.accounts.Takeovers(now)}});
  }
}

void Instance::LogTargetLimitChanges() {
  const auto value = [](std::optional<double> rate) {
    return rate ? nlohmann::json(*rate) : nlohmann::json();
  };
  for (const TargetLimitChange& it : view_.target_limits.TakeChanges()) {
    log_.Write(LogLevel::kInfo, "target_limit_changed",
               {{"target", it.target.id},
                {"incarnation", it.target.incarnation},
                {"rate_per_s", value(it.rate)},
                {"previous_per_s", value(it.previous)},
                {"first_hand", it.is_first_hand}});
    urgent_update_pending_ = urgent_update_pending_ || it.is_first_hand;
  }
}

void Instance::LogTargetLimitUsage() {
  for (const TargetLimitUsage& it : view_.target_limits.TakeUsage(loop_.now())) {
    log_.Write(LogLevel::kInfo, "target_limit",
               {{"target", it.target.id},
                {"rate_per_s", it.rate},
                {"sent", it.sent},
                {"held_back", it.held_back},
                {"queued", it.queued},
                {"free", it.free},
                {"age_ms", it.age.count() / 1000}});
  }
}

void Instance::LogStatus() {
  const ForwarderCounters& counters = forwarder_.counters();
  log_.Write(LogLevel::kInfo, "status",
             {{"requests", counters.requests},
              {"answered", counters.responses},
              {"retries", counters.retries},
              {"waiting", forwarder_.waiting()},
              {"reachable", peers_.reachable()},
              {"targets", view_.directory.targets().size()},
              {"leading", coordinator_.leading()},
              {"store_calls", store_.calls()},
              {"connections", forwarder_.connections_opened()},
              {"peer_bytes", peers_.sent_bytes()},
              {"longest_round_ms", loop_.TakeMaxRoundDuration().count() / 1000},
              {"config_age_ms", (loop_.now() - view_.config_verified_at).count() / 1000}});
}

bool Instance::Ready() const {
  return !stopping_ && view_.config && targets_.loaded() &&
         loop_.now() - operators_.verified_at() < kMaxConfigAge;
}

net::HttpResponse Instance::MakeReadinessResponse() const {
  return PlainResponse(Ready() ? 200 : 503, Ready() ? "ready\n" : "not ready\n");
}

std::string Instance::Metrics() const {
  const ForwarderCounters& counters = forwarder_.counters();
  std::string out;
  const auto line = [&out](const std::string& name, std::uint64_t value) {
    out += "dogwood_" + name + " " + std::to_string(value) + "\n";
  };
  line("requests_total", counters.requests);
  line("answers_total", counters.responses);
  line("retries_total", counters.retries);
  line("lost_attempts_total", counters.lost_attempts);
  line("foreign_responses_total", counters.foreign_responses);
  line("unsolicited_responses_total", forwarder_.unsolicited_responses());
  line("abandoned_total", counters.abandoned);
  for (std::size_t i = 0; i < counters.refusals.size(); ++i) {
    line(std::string("refusals_total{reason=\"") + NameOf(static_cast<Refusal>(i)) + "\"}",
         counters.refusals[i]);
  }
  line("requests_waiting", forwarder_.waiting());
  line("requests_open", callers_.open_requests());
  line("caller_connections", callers_.open_connections());
  line("target_connections_opened_total", forwarder_.connections_opened());
  line("store_calls_total", store_.calls());
  line("peers_reachable", peers_.reachable());
  line("log_lines_dropped_total", log_.dropped());
  line("quarantined_requests", view_.quarantine.QuarantinedFor(Duration{0}, loop_.now()).size());
  line("limited_targets", view_.target_limits.limited());
  line("limited_target_held_back_total", view_.target_limits.held_back());
  line("config_version", view_.config ? view_.config->version() : 0);
  line("config_age_ms",
       static_cast<std::uint64_t>((loop_.now() - view_.config_verified_at).count() / 1000));
  line("owners_generation", view_.keys.generation);
  return out + forwarder_.metrics().Text();
}

}  // namespace dogwoodport::fleet
