#include "dogwoodport/fleet/requests/forwarder.h"

#include <algorithm>
#include <utility>

#include "forwarder_request.h"

namespace dogwoodport::fleet {

namespace status = net::status;

namespace {

constexpr std::array<const char*, kRefusalCount> kRefusalNames = {
    "no_configuration", "unknown_route", "not_authorized", "stale_secrets", "malformed",
    "over_limit",       "no_target",     "overloaded",     "timed_out",     "target_failed",
    "shutting_down",    "quarantined",   "rate_unknown",   "target_limited"};

/// Weight of a new sample in the moving average of the latency of a service.
constexpr double kLatencyWeight = 0.05;
/// A request waits for a target until this many typical latencies remain before its latency
/// objective. Most requests take less.
constexpr double kMinLatenciesBeforeObjective = 2.0;
/// Maximum wait, as a fraction of the objective, of a request that can no longer meet its
/// objective.
constexpr double kLateRequestWaitShare = 0.6;
/// Added to the priority of a request that can no longer meet its objective; 0 is the most urgent
/// priority.
constexpr int kLateRequestPriorityPenalty = 1'000;
/// An attempt of an idempotent request is replaced when this many typical latencies remain before
/// the objective, but not before it has run for `kMinElapsedLatencies` typical latencies.
constexpr double kReplacementLatencies = 1.5;
constexpr double kMinElapsedLatencies = 1.4;
/// Minimum time before the deadline at which a retry is still started.
constexpr Duration kMinAttemptTime{20'000};
/// Time before a keyed request is sent again to an owner that refused it or was full.
constexpr Duration kDenialHoldTime{120'000};
/// Maximum random extension, as a fraction, of a back-off that a target requests. It keeps
/// instances from resuming at the same time.
constexpr double kBackOffJitter = 0.1;
bool IsSuccess(int code) noexcept { return code >= 200 && code < 300; }

/// Whether callers interpret a status as a guarantee that the request has not run.
bool ImpliesNotExecuted(int code) noexcept {
  return code == status::kRequestTimeout || code == status::kMisdirected ||
         code == status::kTooManyRequests || code == status::kUnavailable;
}

net::PoolLimits PoolLimitsFor(const ForwarderSettings& settings) {
  net::PoolLimits limits;
  limits.message.bodies = new net::BodyBudget(settings.response_body_bytes);
  return limits;
}

/// Maps the failure of a call to the result that is recorded for its target.
SendResult ResultOf(net::CallFailure failure) noexcept {
  switch (failure) {
    case net::CallFailure::kNotConnected:
      return SendResult::kNotConnected;
    case net::CallFailure::kStale:
      return SendResult::kCancelled;
    case net::CallFailure::kRejected:
      return SendResult::kShed;
    default:
      return SendResult::kBroken;
  }
}

}  // namespace

const char* NameOf(Refusal refusal) noexcept {
  return kRefusalNames[static_cast<std::size_t>(refusal)];
}

Forwarder::Forwarder(net::EventLoop& loop, FleetView& view, const TargetProtocol& protocol,
                     EventLog& log, ForwarderSettings settings, std::uint64_t seed)
    : loop_(loop),
      view_(view),
      protocol_(protocol),
      log_(log),
      settings_(settings),
      pool_(loop, PoolLimitsFor(settings)),
      random_(seed) {
  pool_.on_unsolicited = [this](const net::ClientConnection& connection) {
    log_.Write(LogLevel::kWarning, "unsolicited_answer",
               {{"address", connection.address()},
                {"connection", connection.number()},
                {"connection_calls", connection.calls()}});
  };
}

Forwarder::~Forwarder() = default;

std::size_t Forwarder::waiting() const {
  std::size_t n = 0;
  for (const auto& [name, state] : services_) n += state.queue.size();
  for (const auto& [account, queue] : token_queues_) n += queue.size();
  return n;
}

Duration Forwarder::TypicalLatency(const std::string& service) const {
  const auto it = services_.find(service);
  return it == services_.end() ? Duration{0} : it->second.latency;
}

void Forwarder::Handle(const net::ExchangePtr& exchange) {
  ++counters_.requests;
  const RequestPtr request(new Request(*this, exchange));
  request->caller = protocol_.ReadCaller(exchange->request());
  if (!Admit(*request)) return;
  request->arrived_at = exchange->received_at();
  exchange->set_on_abandoned([request] { request->forwarder.OnAbandoned(*request); });
  if (TakeToken(*request)) StartRequest(request);
}

void Forwarder::StartRequest(const RequestPtr& request) {
  view_.retry_budget.OnRequest(request->service->name, now());
  if (request->service->keyed) {
    view_.key_load.Add(request->service->name, *request->caller.key, now());
  }
  SetUrgency(*request);
  const Placement placement = TrySend(*request);
  if (placement != Placement::kFound) Enqueue(*request, placement);
}

void Forwarder::SetUrgency(Request& request) {
  const TimePoint arrived = request.exchange->received_at();
  const Duration objective = request.route->latency_objective;
  const Duration measured = TypicalLatency(request.service->name);
  const Duration typical = measured > Duration{0} ? measured : kDefaultLatency;
  // The timeout of a caller that retries is shorter by the time its earlier attempts took.
  Duration& max_timeout = max_caller_timeouts_[request.route->name];
  const Duration caller_timeout = request.caller.caller_timeout.value_or(max_timeout);
  max_timeout = std::max(max_timeout, caller_timeout);
  request.objective_at = arrived + objective - (max_timeout - caller_timeout);
  const bool can_meet_objective = request.objective_at - arrived >= typical;
  if (can_meet_objective) {
    request.dispatch_deadline =
        request.objective_at - FromSeconds(kMinLatenciesBeforeObjective * Seconds(typical));
  } else {
    // A response that misses the objective anyway must not delay requests that can meet theirs.
    request.priority += kLateRequestPriorityPenalty;
    request.dispatch_deadline = arrived + FromSeconds(kLateRequestWaitShare * Seconds(objective));
  }
  request.dispatch_deadline = std::clamp(request.dispatch_deadline, arrived, request.deadline);
}

void Forwarder::Enqueue(Request& request, Placement placement) {
  if (request.ended) return;
  ServiceState& state = services_[request.service->name];
  if (placement == Placement::kLimited) {
    const std::size_t ahead = state.queue.CountIf([&request](const Waiter& it) {
      return static_cast<const Request&>(it).limited_by == request.limited_by &&
             it.priority <= request.priority;
    });
    if (RefuseLimited(request, ahead)) return;
    state.queue.Push(request);
    ArmTimer(request, request.dispatch_deadline);
    RequestTargetTokens();
    if (on_token_needed) on_token_needed();
    return;
  }
  const QueueState queue{state.queue.CountAhead(request.priority),
                         state.completions.PerSecond(now())};
  const Duration useful_wait = request.dispatch_deadline - now();
  if (const auto retry_after = DecideRefusal(queue, useful_wait, Random())) {
    RejectRequest(request,
                  placement == Placement::kNoTarget ? Refusal::kNoTarget : Refusal::kOverloaded,
                  *retry_after);
    return;
  }
  state.queue.Push(request);
  ArmTimer(request, request.dispatch_deadline);
}

bool Forwarder::RefuseLimited(Request& request, std::size_t ahead) {
  const Duration wait = view_.target_limits.ExpectedWait(*request.limited_by, ahead, now());
  if (now() + wait <= request.dispatch_deadline) return false;
  RejectLimited(request, ahead);
  return true;
}

void Forwarder::RejectLimited(Request& request, std::size_t ahead) {
  RejectRequest(
      request, Refusal::kTargetLimited,
      view_.target_limits.ReserveReturn(*request.limited_by, ahead, request.deadline, now()));
}

void Forwarder::RequestTargetTokens() {
  if (!view_.target_limits.any()) return;
  std::map<TargetIncarnation, std::uint32_t> queued;
  for (const auto& [name, state] : services_) {
    state.queue.ForEach([&queued](const Waiter& it) {
      const auto& limited_by = static_cast<const Request&>(it).limited_by;
      if (limited_by) ++queued[*limited_by];
    });
  }
  view_.target_limits.SetQueued(queued, now());
}

void Forwarder::ArmTimer(Request& request, TimePoint at) {
  loop_.Cancel(request.timer);
  request.timer = loop_.RunAt(at, [self = RequestPtr(&request)] {
    self->timer = net::TimerId{};
    self->forwarder.OnTimer(*self);
  });
}

void Forwarder::Send(Request& request, const Target& target) {
  request.unlink();
  request.target_id = target.entry.id;
  request.target_incarnation = target.entry.incarnation;
  request.tried_targets.push_back(target.entry.id);
  ++request.send_count;
  request.sent_at = now();
  view_.health[target.entry.id].OnSend();
  if (view_.IsCold(target, now())) view_.cold_limiter.Take(target.entry.id, now());
  const net::HttpRequest& original = request.exchange->request();
  net::HttpRequest forwarded_head;
  forwarded_head.method = original.method;
  forwarded_head.target = original.target;
  forwarded_head.fields = EndToEndFields(original.fields);
  forwarded_head.has_body = original.has_body;
  protocol_.PrepareRequest(forwarded_head,
                           {request.deadline - now(), target.entry.id, request.account});
  const std::string& id = request.caller.request_id;
  request.connection = pool_.Acquire(target.entry.address, id, MaxConnections(*request.service));
  request.connection->Send(net::ToBytes(forwarded_head, original.body),
                           forwarded_head.method == "HEAD", &request, id);
  TimePoint next = request.deadline;
  if (request.idempotent() && request.send_count < request.route->max_attempts &&
      !request.service->keyed) {
    const Duration typical = TypicalLatency(request.service->name);
    const TimePoint latest_replacement =
        request.objective_at - FromSeconds(kReplacementLatencies * Seconds(typical));
    const TimePoint earliest_replacement =
        now() + FromSeconds(kMinElapsedLatencies * Seconds(typical));
    if (typical > Duration{0}) {
      next = std::min(next, std::max(latest_replacement, earliest_replacement));
    }
  }
  ArmTimer(request, next);
}

void Forwarder::EndAttempt(Request& request, SendResult result) {
  const auto it = view_.health.find(request.target_id);
  if (it != view_.health.end()) {
    const bool was_ejected = it->second.ejected(now());
    it->second.OnResult(result, now() - request.sent_at, now());
    if (!was_ejected && it->second.ejected(now())) {
      log_.Write(LogLevel::kWarning, "target_ejected",
                 {{"target", request.target_id},
                  {"request_id", request.caller.request_id},
                  {"failure_share", it->second.failure_share()}});
    }
  }
  request.connection = nullptr;
  request.target_id.clear();
  loop_.Cancel(request.timer);
}

void Forwarder::ApplyResponseFields(const Request& request, const ResponseFields& response_fields,
                                    int response_status) {
  TargetHealth& health = view_.health[request.target_id];
  if (response_fields.load) health.OnLoadReport(*response_fields.load, now());
  // Only a served request can end a limit, because failures and refusals may lack the field.
  const bool may_end_limit = IsSuccess(response_status) && response_fields.has_signature &&
                             !response_fields.request_limit_malformed;
  if (response_fields.request_limit || may_end_limit) {
    view_.target_limits.OnResponse({request.target_id, request.target_incarnation},
                                   response_fields.request_limit, request.sent_at, now());
  }
  if (response_fields.back_off) {
    const Duration pause =
        FromSeconds(Seconds(*response_fields.back_off) * (1 + kBackOffJitter * Random()));
    health.BackOff(now() + pause);
    LogRequest(LogLevel::kInfo, "target_backs_off", request, {{"pause_ms", pause.count() / 1000}});
  }
  if (!response_fields.leaving) return;
  const TargetIncarnation leaving{request.target_id, request.target_incarnation};
  if (view_.directory.MarkLeaving(leaving, now()) == TargetChange::kNone) return;
  LogRequest(LogLevel::kInfo, "target_leaves", request,
             {{"incarnation", request.target_incarnation}});
  if (on_target_leaving) on_target_leaving(request.target_id);
}

void Forwarder::OnTargetResponse(Request& request, net::HttpResponse response) {
  const ResponseFields response_fields = protocol_.ReadResponse(response);
  ApplyResponseFields(request, response_fields, response.status);
  if (response_fields.not_run || response.status == status::kMisdirected) {
    OnNotExecuted(request, response);
    return;
  }
  const bool unsigned_success = IsSuccess(response.status) && !response_fields.has_signature;
  // The target may have run the request, so this status must not reach the caller, who would take
  // it as a guarantee that the request has not run.
  if (unsigned_success || ImpliesNotExecuted(response.status)) {
    OnAttemptFailed(request, net::CallFailure::kMalformed);
    return;
  }
  request.may_have_run = true;
  if (view_.quarantine.any_suspects()) {
    view_.quarantine.OnResponse(request.fingerprint(), request.target_id,
                                request.target_incarnation, now());
  }
  const std::string service = request.service->name;
  ServiceState& state = services_[service];
  state.completions.Add(now());
  if (response.status >= 500) {
    EndAttempt(request, SendResult::kServerError);
    if (!request.idempotent() || !Retry(request, true)) {
      Finish(request, std::move(response), "target_error");
    }
  } else {
    const Duration latency = now() - request.sent_at;
    const double weight = state.latency > Duration{0} ? kLatencyWeight : 1.0;
    state.latency += FromSeconds(weight * Seconds(latency - state.latency));
    EndAttempt(request, SendResult::kServed);
    Finish(request, std::move(response), "served");
  }
  DispatchService(service);
}

void Forwarder::OnNotExecuted(Request& request, const net::HttpResponse& response) {
  const bool misdirected = response.status == status::kMisdirected;
  LogRequest(LogLevel::kInfo, "not_run", request, {{"status", response.status}});
  request.hold_back_until = now() + kDenialHoldTime;
  request.denied_revision = view_.keys.revision;
  EndAttempt(request, misdirected ? SendResult::kCancelled : SendResult::kShed);
  if (!Retry(request, true)) {
    RejectRequest(request, Refusal::kOverloaded, kDefaultRetryAfter);
  }
}

void Forwarder::OnAttemptFailed(Request& request, net::CallFailure failure) {
  const bool sent =
      failure != net::CallFailure::kNotConnected && failure != net::CallFailure::kStale;
  if (sent) {
    request.may_have_run = true;
    ++counters_.lost_attempts;
  }
  LogRequest(LogLevel::kWarning, "attempt_failed", request,
             {{"failure", net::NameOf(failure)},
              {"may_have_run", sent},
              {"fingerprint", ToText(request.fingerprint())}});
  EndAttempt(request, ResultOf(failure));
  const bool may_retry = !sent || request.idempotent();
  if (!may_retry || !Retry(request, sent)) {
    RejectRequest(request, Refusal::kTargetFailed, kDefaultRetryAfter);
  }
}

bool Forwarder::MayRetry(const Request& request, bool reached_target) {
  if (request.ended || request.send_count >= request.route->max_attempts) return false;
  if (IsQuarantined(request)) return false;
  if (request.deadline - now() < kMinAttemptTime) return false;
  return !reached_target || view_.retry_budget.Take(request.service->name, now());
}

bool Forwarder::Retry(Request& request, bool reached_target) {
  if (!MayRetry(request, reached_target)) return false;
  ++counters_.retries;
  const Placement placement = TrySend(request);
  if (placement != Placement::kFound) Enqueue(request, placement);
  return true;
}

void Forwarder::OnTimer(Request& request) {
  if (request.ended) return;
  if (request.awaits_token) {
    Refuse(request, status::kUnavailable, Refusal::kRateUnknown, kDefaultRetryAfter);
    return;
  }
  if (request.connection == nullptr && request.limited_by) {
    RejectLimited(request, 0);
    return;
  }
  if (request.connection == nullptr) {
    const ServiceState& state = services_[request.service->name];
    RejectRequest(request, Refusal::kOverloaded,
                  RetryAfter({state.queue.CountAhead(request.priority), 1.0}, Random()));
    return;
  }
  const net::ClientConnectionPtr connection = request.connection;
  const bool sent = connection->any_sent();
  const bool final = now() >= request.deadline;
  const Target* replacement = nullptr;
  const bool replaced = !final && !stops_at_ && Place(request, replacement) == Placement::kFound &&
                        MayRetry(request, sent) && TakeTargetToken(*replacement);
  if (!final && !replaced) {
    // The attempt is slow, but it cannot be replaced.
    ArmTimer(request, request.deadline);
    return;
  }
  request.may_have_run = request.may_have_run || sent;
  if (sent) RecordLostAttempt(request, std::nullopt);
  LogRequest(LogLevel::kWarning, "attempt_timed_out", request, {{"may_have_run", sent}});
  // The target would keep working on the request; aborting the connection tells it to stop.
  EndAttempt(request, SendResult::kTimedOut);
  connection->Abort();
  if (!final) {
    ++counters_.retries;
    Send(request, *replacement);
    return;
  }
  RejectRequest(request, Refusal::kTimedOut, kDefaultRetryAfter);
  DispatchService(request.service->name);
}

void Forwarder::OnAbandoned(Request& request) {
  if (request.ended) return;
  ++counters_.abandoned;
  const RequestPtr lifetime_guard(&request);
  request.ended = true;
  request.unlink();
  const net::ClientConnectionPtr connection = request.connection;
  LogRequest(LogLevel::kInfo, "abandoned", request, {});
  RecordOutcome(request, "abandoned");
  if (connection) {
    if (connection->any_sent()) RecordLostAttempt(request, std::nullopt);
    EndAttempt(request, SendResult::kCancelled);
    connection->Abort();
  }
  loop_.Cancel(request.timer);
  DispatchService(request.service->name);
}

void Forwarder::RejectRequest(Request& request, Refusal refusal, Duration retry_after) {
  const int failure_status =
      refusal == Refusal::kTimedOut ? status::kGatewayTimeout : status::kBadGateway;
  Refuse(request, request.may_have_run ? failure_status : status::kUnavailable, refusal,
         retry_after);
}

void Forwarder::Refuse(Request& request, int code, Refusal refusal, Duration retry_after) {
  if (request.ended) return;
  ++counters_.refusals[static_cast<std::size_t>(refusal)];
  const bool retry_helps = code == status::kUnavailable || code == status::kTooManyRequests;
  if (!retry_helps) retry_after = Duration{0};
  nlohmann::json fields = {{"status", code},
                           {"reason", NameOf(refusal)},
                           {"retry_after_ms", retry_after.count() / 1000},
                           {"config_age_ms", (now() - view_.config_verified_at).count() / 1000}};
  if (refusal == Refusal::kQuarantined) fields["fingerprint"] = ToText(request.fingerprint());
  LogRequest(LogLevel::kWarning, "refused", request, std::move(fields));
  RecordOutcome(request, NameOf(refusal));
  Finish(request,
         protocol_.MakeResponse(code, NameOf(refusal), request.may_have_run,
                                request.caller.request_id, retry_after),
         nullptr);
}

void Forwarder::Finish(Request& request, net::HttpResponse response, const char* outcome) {
  const RequestPtr lifetime_guard(&request);
  request.ended = true;
  request.unlink();
  loop_.Cancel(request.timer);
  if (outcome != nullptr) {
    ++counters_.responses;
    RecordOutcome(request, outcome);
    LogRequest(LogLevel::kDebug, outcome, request, {{"status", response.status}});
  }
  response.fields = EndToEndFields(response.fields);
  request.exchange->Respond(std::move(response));
}

net::Fields Forwarder::EndToEndFields(const net::Fields& fields) const {
  return net::EndToEndFields(fields,
                             [this](std::string_view name) { return protocol_.IsEndToEnd(name); });
}

void Forwarder::RecordOutcome(const Request& request, const char* outcome) {
  metrics_.Count(request.service == nullptr ? std::string_view() : request.service->name, outcome,
                 now() - request.exchange->received_at());
}

void Forwarder::LogRequest(LogLevel level, const char* event, const Request& request,
                           nlohmann::json fields) {
  if (!log_.Wants(level)) return;
  fields["request_id"] = request.caller.request_id;
  fields["age_ms"] = (now() - request.exchange->received_at()).count() / 1000;
  fields["sends"] = request.send_count;
  if (request.route != nullptr) fields["route"] = request.route->name;
  if (request.service != nullptr) fields["service"] = request.service->name;
  if (!request.account.empty()) fields["account"] = request.account;
  if (!request.tried_targets.empty()) fields["target"] = request.tried_targets.back();
  if (request.connection) {
    fields["connection"] = request.connection->number();
    fields["connection_calls"] = request.connection->calls();
  }
  if (request.config) fields["config_version"] = request.config->version();
  log_.Write(level, event, fields);
}

void Forwarder::DispatchService(const std::string& service) {
  if (dispatching_) return;  // Dispatching may end a request, which calls this again.
  dispatching_ = true;
  const auto it = services_.find(service);
  if (it != services_.end() && !it->second.queue.empty()) {
    std::map<TargetIncarnation, std::size_t> limited_ahead;
    it->second.queue.DispatchInOrder(
        [this, &limited_ahead](Waiter& waiter) {
          Request& request = static_cast<Request&>(waiter);
          if (RefuseQuarantined(request)) return true;
          const Placement placement = TrySend(request);
          if (placement != Placement::kLimited) return placement == Placement::kFound;
          if (!RefuseLimited(request, limited_ahead[*request.limited_by])) {
            ++limited_ahead[*request.limited_by];
          }
          // Not a miss: the requests behind it have other owners.
          return true;
        },
        settings_.max_dispatch_failures);
  }
  dispatching_ = false;
}

void Forwarder::DispatchWaiting() {
  std::vector<std::string> names;
  for (const auto& [name, state] : services_) {
    if (!state.queue.empty()) names.push_back(name);
  }
  for (const std::string& it : names) DispatchService(it);
}

void Forwarder::Maintain() { pool_.CloseStale(); }

}  // namespace dogwoodport::fleet
