#include "dogwoodport/fleet/requests/forwarder.h"

#include <algorithm>
#include <utility>

#include "forwarder_request.h"

namespace dogwoodport::fleet {

namespace status = net::status;

namespace {

constexpr std::array<const char*, kRefusals> kRefusalNames = {
    "no_configuration", "unknown_route", "not_authorized", "stale_secrets", "malformed",
    "over_limit",       "no_target",     "overloaded",     "timed_out",     "target_failed",
    "shutting_down",    "quarantined",   "rate_unknown"};

/// Weight of the newest sample in the usual time of a service.
constexpr double kLatencyWeight = 0.05;
/// A request waits for a target as long as this many usual times are left of its objective; most
/// requests take less.
constexpr double kServiceMargin = 2.0;
/// Longest wait of a request that cannot meet its objective any more, as a share of the objective.
constexpr double kLateWaitShare = 0.6;
/// Added to the priority of such a request.
constexpr int kLatePriority = 1'000;
/// An idempotent request is sent elsewhere while this many usual times are left of its objective,
/// but not before it has taken that many usual times itself.
constexpr double kTimeForAnother = 1.5;
constexpr double kShortestPatience = 1.4;
/// Fewest milliseconds that are left for a repetition to make sense.
constexpr Duration kShortestAttempt{20'000};
/// Time until a target that denied a key, or was full, is asked again for the same request.
constexpr Duration kDeniedWait{120'000};
/// Largest random part of a pause that a target asks for, so that instances do not return together.
constexpr double kBackOffSpread = 0.1;
bool IsSuccess(int code) noexcept { return code >= 200 && code < 300; }

/// Whether callers take a status for the promise that the request has not run.
bool PromisesNotRun(int code) noexcept {
  return code == status::kRequestTimeout || code == status::kMisdirected ||
         code == status::kTooManyRequests || code == status::kUnavailable;
}

net::PoolLimits PoolLimitsFor(const ForwarderSettings& settings) {
  net::PoolLimits limits;
  limits.message.bodies = new net::BodyBudget(settings.answer_bytes);
  return limits;
}

/// What a failed call says of its target.
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
      random_(seed) {}

Forwarder::~Forwarder() = default;

std::size_t Forwarder::waiting() const {
  std::size_t n = 0;
  for (const auto& [name, state] : services_) n += state.queue.size();
  for (const auto& [account, queue] : token_queues_) n += queue.size();
  return n;
}

Duration Forwarder::UsualLatency(const std::string& service) const {
  const auto it = services_.find(service);
  return it == services_.end() ? Duration{0} : it->second.latency;
}

void Forwarder::Handle(const net::ExchangePtr& exchange) {
  ++counters_.requests;
  const RequestPtr request(new Request(*this, exchange));
  request->caller = protocol_.ReadCaller(exchange->request());
  if (!Admit(*request)) return;
  request->arrived_at = exchange->received_at();
  exchange->set_on_abandoned([request] { request->owner.OnAbandoned(*request); });
  if (TakeToken(*request)) Start(request);
}

void Forwarder::Start(const RequestPtr& request) {
  view_.retry_budget.OnRequest(request->service->name, now());
  if (request->service->keyed) {
    view_.key_load.Add(request->service->name, *request->caller.key, now());
  }
  SetUrgency(*request);
  const Placement placement = TrySend(*request);
  if (placement != Placement::kFound) Wait(*request, placement);
}

void Forwarder::SetUrgency(Request& request) {
  const TimePoint arrived = request.exchange->received_at();
  const Duration objective = request.route->latency_objective;
  const Duration known = UsualLatency(request.service->name);
  const Duration usual = known > Duration{0} ? known : kUnknownLatency;
  // A caller that comes back has less time left than one that asks for the first time.
  Duration& longest = longest_patience_[request.route->name];
  const Duration patience = request.caller.caller_timeout.value_or(longest);
  longest = std::max(longest, patience);
  request.objective_at = arrived + objective - (longest - patience);
  const bool in_time = request.objective_at - arrived >= usual;
  if (in_time) {
    request.dispatch_deadline = request.objective_at - FromSeconds(kServiceMargin * Seconds(usual));
  } else {
    // Only room that nobody else needs is left for an answer that comes late anyway.
    request.priority += kLatePriority;
    request.dispatch_deadline = arrived + FromSeconds(kLateWaitShare * Seconds(objective));
  }
  request.dispatch_deadline = std::clamp(request.dispatch_deadline, arrived, request.due_at);
}

void Forwarder::Wait(Request& request, Placement placement) {
  if (request.ended) return;
  ServiceState& state = services_[request.service->name];
  const QueueState queue{state.queue.CountAhead(request.priority),
                         state.completions.PerSecond(now())};
  const Duration useful = request.dispatch_deadline - now();
  if (const auto retry_after = DecideRefusal(queue, useful, Random())) {
    GiveUp(request, placement == Placement::kNoTarget ? Refusal::kNoTarget : Refusal::kOverloaded,
           *retry_after);
    return;
  }
  state.queue.Push(request);
  ArmTimer(request, request.dispatch_deadline);
}

void Forwarder::ArmTimer(Request& request, TimePoint at) {
  loop_.Cancel(request.timer);
  request.timer = loop_.RunAt(at, [keep = RequestPtr(&request)] {
    keep->timer = net::TimerId{};
    keep->owner.OnTimer(*keep);
  });
}

void Forwarder::Send(Request& request, const Target& target) {
  request.unlink();
  request.target_id = target.entry.id;
  request.target_incarnation = target.entry.incarnation;
  const bool sent_there_before = request.Tried(target.entry.id);
  request.tried.push_back(target.entry.id);
  ++request.sends;
  request.sent_at = now();
  view_.health[target.entry.id].OnSend();
  if (view_.IsCold(target, now())) view_.cold.Take(target.entry.id, now());
  const net::HttpRequest& original = request.exchange->request();
  net::HttpRequest head;
  head.method = original.method;
  head.target = original.target;
  head.fields = original.fields;
  head.has_body = original.has_body;
  protocol_.PrepareRequest(head, {request.due_at - now(), target.entry.id, request.account});
  // On the connection of the attempt before, a late copy of its answer would be taken for the
  // answer to this one.
  const bool separate = sent_there_before && !request.idempotent();
  request.connection =
      separate ? pool_.AcquireNew(target.entry.address) : pool_.Acquire(target.entry.address);
  request.connection->Send(net::ToBytes(head, original.body), head.method == "HEAD", &request);
  TimePoint next = request.due_at;
  if (request.idempotent() && request.sends < request.route->max_attempts &&
      !request.service->keyed) {
    const Duration usual = UsualLatency(request.service->name);
    const TimePoint last_chance =
        request.objective_at - FromSeconds(kTimeForAnother * Seconds(usual));
    const TimePoint patience = now() + FromSeconds(kShortestPatience * Seconds(usual));
    if (usual > Duration{0}) {
      next = std::min(next, std::max(last_chance, patience));
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

void Forwarder::Observe(const Request& request, const ResponseFields& answer) {
  TargetHealth& health = view_.health[request.target_id];
  if (answer.load) health.OnLoadReport(*answer.load, now());
  if (answer.back_off) {
    const Duration pause = FromSeconds(Seconds(*answer.back_off) * (1 + kBackOffSpread * Random()));
    health.BackOff(now() + pause);
    LogRequest(LogLevel::kInfo, "target_backs_off", request, {{"pause_ms", pause.count() / 1000}});
  }
  if (!answer.leaving || view_.directory.Find(request.target_id) == nullptr) return;
  const LeavingTarget leaving{request.target_id, request.target_incarnation};
  if (view_.directory.MarkLeaving(leaving, now()) == TargetChange::kNone) return;
  LogRequest(LogLevel::kInfo, "target_leaves", request,
             {{"incarnation", request.target_incarnation}});
  if (on_target_leaving) on_target_leaving(request.target_id);
}

void Forwarder::OnAnswer(Request& request, net::HttpResponse response) {
  const ResponseFields answer = protocol_.ReadResponse(response);
  Observe(request, answer);
  if (answer.not_run || response.status == status::kMisdirected) {
    OnNotRun(request, response);
    return;
  }
  const bool unsigned_success = IsSuccess(response.status) && !answer.has_signature;
  // The target may have run it, so its answer must not be passed on as a promise.
  if (unsigned_success || PromisesNotRun(response.status)) {
    OnBroken(request, net::CallFailure::kMalformed);
    return;
  }
  request.may_have_run = true;
  if (view_.quarantine.any_suspects()) {
    view_.quarantine.OnAnswered(request.fingerprint(), request.target_id,
                                request.target_incarnation, now());
  }
  const std::string service = request.service->name;
  ServiceState& state = services_[service];
  state.completions.Add(now());
  if (response.status >= 500) {
    EndAttempt(request, SendResult::kServerError);
    if (!request.idempotent() || !Repeat(request, true)) {
      Finish(request, std::move(response), "target_error");
    }
  } else {
    const Duration latency = now() - request.sent_at;
    const double weight = state.latency > Duration{0} ? kLatencyWeight : 1.0;
    state.latency += FromSeconds(weight * Seconds(latency - state.latency));
    EndAttempt(request, SendResult::kServed);
    Finish(request, std::move(response), "served");
  }
  OfferService(service);
}

void Forwarder::OnNotRun(Request& request, const net::HttpResponse& response) {
  const bool misdirected = response.status == status::kMisdirected;
  LogRequest(LogLevel::kInfo, "not_run", request, {{"status", response.status}});
  request.hold_back_until = now() + kDeniedWait;
  request.denied_revision = view_.keys.revision;
  EndAttempt(request, misdirected ? SendResult::kCancelled : SendResult::kShed);
  if (!Repeat(request, true)) {
    GiveUp(request, Refusal::kOverloaded, kDefaultRetry);
  }
}

void Forwarder::OnBroken(Request& request, net::CallFailure failure) {
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
  const bool may_repeat = !sent || request.idempotent();
  if (!may_repeat || !Repeat(request, sent)) {
    GiveUp(request, Refusal::kTargetFailed, kDefaultRetry);
  }
}

bool Forwarder::MayRepeat(const Request& request, bool arrived) {
  if (request.ended || request.sends >= request.route->max_attempts) return false;
  if (IsQuarantined(request)) return false;
  if (request.due_at - now() < kShortestAttempt) return false;
  return !arrived || view_.retry_budget.Take(request.service->name, now());
}

bool Forwarder::Repeat(Request& request, bool arrived) {
  if (!MayRepeat(request, arrived)) return false;
  ++counters_.retries;
  const Placement placement = TrySend(request);
  if (placement != Placement::kFound) Wait(request, placement);
  return true;
}

void Forwarder::OnTimer(Request& request) {
  if (request.ended) return;
  if (request.awaits_token) {
    Refuse(request, status::kUnavailable, Refusal::kRateUnknown, kDefaultRetry);
    return;
  }
  if (request.connection == nullptr) {
    const ServiceState& state = services_[request.service->name];
    GiveUp(request, Refusal::kOverloaded,
           RetryAfter({state.queue.CountAhead(request.priority), 1.0}, Random()));
    return;
  }
  const net::ClientConnectionPtr connection = request.connection;
  const bool sent = connection->any_sent();
  const bool final = now() >= request.due_at;
  const Target* other = nullptr;
  const bool replaced = !final && !stopping_ && Place(request, other) == Placement::kFound &&
                        MayRepeat(request, sent);
  if (!final && !replaced) {
    // The attempt is slow, but no other one can take its place.
    ArmTimer(request, request.due_at);
    return;
  }
  request.may_have_run = request.may_have_run || sent;
  if (sent) NoteLostAttempt(request, std::nullopt);
  LogRequest(LogLevel::kWarning, "attempt_timed_out", request, {{"may_have_run", sent}});
  // The target works on it until the end; only the connection tells it to stop.
  EndAttempt(request, SendResult::kTimedOut);
  connection->Abort();
  if (!final) {
    ++counters_.retries;
    Send(request, *other);
    return;
  }
  GiveUp(request, Refusal::kTimedOut, kDefaultRetry);
  OfferService(request.service->name);
}

void Forwarder::OnAbandoned(Request& request) {
  if (request.ended) return;
  ++counters_.abandoned;
  const RequestPtr keep(&request);
  request.ended = true;
  request.unlink();
  const net::ClientConnectionPtr connection = request.connection;
  LogRequest(LogLevel::kInfo, "abandoned", request, {});
  CountEnd(request, "abandoned");
  if (connection) {
    if (connection->any_sent()) NoteLostAttempt(request, std::nullopt);
    EndAttempt(request, SendResult::kCancelled);
    connection->Abort();
  }
  loop_.Cancel(request.timer);
  OfferService(request.service->name);
}

void Forwarder::GiveUp(Request& request, Refusal refusal, Duration retry_after) {
  const int failed = refusal == Refusal::kTimedOut ? status::kGatewayTimeout : status::kBadGateway;
  Refuse(request, request.may_have_run ? failed : status::kUnavailable, refusal, retry_after);
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
  CountEnd(request, NameOf(refusal));
  Finish(request,
         protocol_.MakeResponse(code, NameOf(refusal), request.may_have_run,
                                request.caller.request_id, retry_after),
         nullptr);
}

void Forwarder::Finish(Request& request, net::HttpResponse response, const char* outcome) {
  const RequestPtr keep(&request);
  request.ended = true;
  request.unlink();
  loop_.Cancel(request.timer);
  if (outcome != nullptr) {
    ++counters_.answered;
    CountEnd(request, outcome);
    LogRequest(LogLevel::kDebug, outcome, request, {{"status", response.status}});
  }
  request.exchange->Respond(std::move(response));
}

void Forwarder::CountEnd(const Request& request, const char* outcome) {
  metrics_.Count(request.service == nullptr ? std::string_view() : request.service->name, outcome,
                 now() - request.exchange->received_at());
}

void Forwarder::LogRequest(LogLevel level, const char* event, const Request& request,
                           nlohmann::json fields) {
  if (!log_.Wants(level)) return;
  fields["request_id"] = request.caller.request_id;
  fields["age_ms"] = (now() - request.exchange->received_at()).count() / 1000;
  fields["sends"] = request.sends;
  if (request.route != nullptr) fields["route"] = request.route->name;
  if (request.service != nullptr) fields["service"] = request.service->name;
  if (!request.account.empty()) fields["account"] = request.account;
  if (!request.tried.empty()) fields["target"] = request.tried.back();
  if (request.config) fields["config_version"] = request.config->version();
  log_.Write(level, event, fields);
}

void Forwarder::OfferService(const std::string& service) {
  if (offering_) return;  // An offer may end a request, which would offer again.
  offering_ = true;
  const auto it = services_.find(service);
  if (it != services_.end() && !it->second.queue.empty()) {
    it->second.queue.DispatchInOrder(
        [this](Waiter& waiter) {
          Request& request = static_cast<Request&>(waiter);
          return RefuseQuarantined(request) || TrySend(request) == Placement::kFound;
        },
        settings_.most_misses);
  }
  offering_ = false;
}

void Forwarder::Offer() {
  std::vector<std::string> names;
  for (const auto& [name, state] : services_) {
    if (!state.queue.empty()) names.push_back(name);
  }
  for (const std::string& it : names) OfferService(it);
}

void Forwarder::Maintain() { pool_.CloseStale(); }

}  // namespace dogwoodport::fleet
