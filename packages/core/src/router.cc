#include "dogwoodport/core/router.h"

#include <algorithm>
#include <charconv>

#include "dogwoodport/core/detail/refusal_text.h"
#include "dogwoodport/core/detail/systems.h"
#include "dogwoodport/core/refusal.h"

namespace dogwoodport {
namespace {

using detail::RefusalText;
using detail::Systems;
using detail::TextOf;

/// Time after the deadline for which the response to a forwarded request is awaited.
constexpr Duration kForwardGrace{100'000};
/// Maximum number of instances that may forward a request.
constexpr std::uint32_t kMaxHops = 2;
/// Maximum number of attempts of one request that end before any byte is sent.
constexpr std::uint32_t kMaxUnsentAttempts = 5;
/// Interval at which waiting requests are retried if no event triggers them earlier.
constexpr Duration kRetryInterval{10'000};
constexpr Duration kRetryAfter{1'000'000};

std::optional<std::int64_t> ParseInteger(const std::string* text) {
  if (text == nullptr) return std::nullopt;
  std::int64_t n = 0;
  const auto [end, ec] = std::from_chars(text->data(), text->data() + text->size(), n);
  if (ec != std::errc() || end != text->data() + text->size()) return std::nullopt;
  return n;
}

/// Removes the caller's secret and the fields that are reserved for the router.
std::shared_ptr<const Request> Outbound(Request request) {
  std::erase_if(request.fields, [](const HeaderField& field) {
    return FieldNamesEqual(field.name, "Authorization") ||
           FieldNamesEqual(std::string_view{field.name}.substr(0, 8), "Dogwood-");
  });
  return std::make_shared<const Request>(std::move(request));
}

std::string EncodeAnswer(const Answer& answer) {
  msgpack::sbuffer buf;
  msgpack::pack(buf, answer);
  return std::string(buf.data(), buf.size());
}

std::optional<Answer> DecodeAnswer(const std::string& text) {
  try {
    return msgpack::unpack(text.data(), text.size()).get().as<Answer>();
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

/// Returns the run state reported by the target. Only targets that refuse a request report that it
/// did not run.
RunState RunStateOf(const Answer& answer) {
  const std::string* run = FindField(answer.fields, "Dogwood-Run");
  return run != nullptr && *run == "no" ? RunState::kNo : RunState::kYes;
}

}  // namespace

class Router::Impl {
 public:
  Impl(RouterSettings settings, TimePoint now)
      : settings_(std::move(settings)), systems_(MakeSystemSettings(settings_), now) {}

  Step OnRequest(TimePoint now, IncomingRequest in, RequestHandle& handle) {
    ++counters_.requests;
    handle = next_handle_++;
    if (in.request.uri.rfind(kOrderPage, 0) == 0) return QueryOrder(now, handle, in);
    const std::shared_ptr<const Config> config = systems_.follower.state().config();
    const auto match = MatchRoute(*config, in.request);
    if (const auto* fault = std::get_if<RouteFault>(&match)) {
      return Refuse(TextOf(*fault), in.request_id);
    }
    Pending p = MakePending(now, handle, config, std::get<RouteMatch>(match));
    p.request_id = in.request_id;
    p.deadline = now + DeadlineOf(in.request, *p.match.route);
    p.first_sent_ms = ParseInteger(FindField(in.request.fields, "Dogwood-First-Sent"));
    if (!p.match.route->open_to_all) {
      const SecretResult secret = CheckSecret(now, in.request);
      if (const auto* failure = std::get_if<SecretFailure>(&secret)) {
        return RefuseSecret(*failure, in.request_id);
      }
      SetAccount(p, std::get<AccountId>(secret));
    }
    if (!p.match.route->repeatable && FindField(in.request.fields, "Idempotency-Key") == nullptr) {
      return Refuse({400, "idempotency_key_missing", "the route needs an Idempotency-Key"},
                    in.request_id);
    }
    SetRequest(p, Outbound(std::move(in.request)));
    if (systems_.quarantine.Blocked(p.fingerprint)) {
      return Refuse({422, "quarantined", "requests like this one have ended targets"},
                    in.request_id);
    }
    Pending& stored = pending_.emplace(handle, std::move(p)).first->second;
    systems_.retries.OnRequest(stored.account, stored.match.service->id);
    return Admit(now, stored);
  }

  bool MaySend(TimePoint now, RequestHandle handle, std::uint32_t attempt) {
    Pending* p = Find(handle);
    if (p == nullptr || p->attempts != attempt || now >= p->attempt_deadline) return false;
    if (p->owner && !systems_.ownership.MayWrite(now, *p->owner)) return false;
    if (p->order) {
      p->first_byte_requested = true;
      if (!LocalOrders().OnFirstByte(now, handle, outbox_)) return false;
    }
    if (p->owner) systems_.ownership.OnRequestStarted(*p->owner);
    systems_.routing.OnRequestStarted(now, p->routing_attempt);
    systems_.quarantine.OnSent(p->fingerprint, p->target);
    p->sent = true;
    return true;
  }

  Step OnAttempt(TimePoint now, RequestHandle handle, std::uint32_t attempt,
                 AttemptOutcome outcome) {
    Pending* p = Find(handle);
    if (p == nullptr || p->attempts != attempt) return Finish{};
    p->attempt_running = false;
    const ServiceId service = p->match.service->id;
    if (p->owner && p->sent) {
      // If there was no response, the target may run the request until the deadline sent with it.
      const bool answered = std::holds_alternative<TargetAnswered>(outcome);
      systems_.ownership.OnRequestEnded(*p->owner, answered ? now : p->attempt_deadline);
    }
    Step step = std::holds_alternative<TargetAnswered>(outcome)
                    ? OnAnswered(now, *p, std::get<TargetAnswered>(std::move(outcome)))
                    : OnFailed(now, *p, std::get<TargetFailed>(outcome));
    TakeOrderActions(now);
    ServeWaiting(now, service);
    return step;
  }

  std::optional<Reply> OnCallerLeft(TimePoint now, RequestHandle handle) {
    Pending* p = Find(handle);
    TargetFailed left{AttemptFault::kCallerLeft, RunState::kUnknown, false, "the caller has left"};
    if (p == nullptr) return ReplyTo({}, left);
    if (p->order) return std::nullopt;
    if (p->forwarded_to) outbox_.Send(*p->forwarded_to, ForwardCancel{handle});
    if (p->admitting) systems_.limits.Cancel(now, p->account, handle);
    if (p->attempt_running) {
      work_.cancelled.push_back(handle);
      return std::nullopt;
    }
    if (!p->forwarded_to) left.run = p->lost_attempt ? p->lost_attempt->run : RunState::kNo;
    Reply reply = ReplyTo(p->request_id, left);
    pending_.erase(handle);
    return reply;
  }

  void OnMessage(TimePoint now, InstanceId from, Message message) {
    if (auto* request = std::get_if<ForwardRequest>(&message)) {
      OnForward(now, from, std::move(*request));
    } else if (auto* answer = std::get_if<ForwardAnswer>(&message)) {
      OnForwardAnswer(from, std::move(*answer));
    } else if (const auto* cancel = std::get_if<ForwardCancel>(&message)) {
      OnForwardCancel(now, from, *cancel);
    } else {
      systems_.OnMessage(now, from, message, outbox_);
      TakeLimitDecisions(now);
      TakeOrderActions(now);
      // Requests that wait for a borrowed slot are served at once, because the loan is short and
      // the next tick may be 10 ms away.
      if (std::holds_alternative<SlotLoan>(message)) ServeWaiting(now, std::nullopt, /*all=*/true);
    }
  }

  void OnSendFailed(TimePoint now, InstanceId to, const Message& message) {
    const auto* request = std::get_if<ForwardRequest>(&message);
    Pending* p = request == nullptr ? nullptr : Find(request->forward_id);
    if (p == nullptr || p->forwarded_to != to) return;
    p->forwarded_to.reset();
    p->unreachable.push_back(to);
    Place(now, *p, /*deliver=*/true);
  }

  void Tick(TimePoint now, std::int64_t unix_ms) {
    unix_ms_ = unix_ms;
    systems_.Tick(now, unix_ms, leaving_, outbox_);
    TakeLimitDecisions(now);
    TakeOrderActions(now);
    ServeWaiting(now);
    EndLostForwards(now);
    CollectWork(now);
  }

  RouterWork TakeWork() {
    for (LogRequest& request : systems_.follower.TakeRequests()) {
      work_.log.push_back(std::move(request));
    }
    return std::exchange(work_, {});
  }

  Systems& systems() noexcept { return systems_; }
  Outbox& outbox() noexcept { return outbox_; }
  std::vector<ReadyStep> TakeReady() { return std::exchange(ready_, {}); }
  RouterCounters counters() const noexcept { return counters_; }
  std::size_t in_progress() const noexcept { return pending_.size(); }
  void BeginShutdown() { leaving_ = true; }
  bool leaving() const noexcept { return leaving_; }

  /// Processes the consequences of a log read, which may have changed the control state.
  void AfterLog(TimePoint now) {
    systems_.Sync(now, outbox_);
    CollectWork(now);
  }

 private:
  static constexpr std::string_view kOrderPage = "/-/orders/";

  struct Remote {
    InstanceId from;
    std::uint64_t forward_id = 0;
  };

  struct Pending {
    RequestHandle handle = 0;
    std::shared_ptr<const Config> config;
    RouteMatch match;
    std::string request_id;
    AccountId account;
    std::string account_name;
    TimePoint arrived;
    TimePoint deadline;
    std::shared_ptr<const Request> request;
    std::uint64_t key_hash = 0;
    Fingerprint fingerprint;
    /// Set for requests that may not be executed more than once.
    std::optional<OrderId> order;
    std::optional<std::int64_t> first_sent_ms;
    /// Whether the order has been passed to `Orders`, and whether `Orders` allows it to be sent.
    bool order_begun = false;
    bool order_allowed = false;
    bool first_byte_requested = false;
    bool admitting = false;
    bool waiting = false;
    // The current attempt.
    std::uint32_t attempts = 0;
    std::uint32_t unsent_attempts = 0;
    bool attempt_running = false;
    bool sent = false;
    AttemptId routing_attempt;
    TimePoint attempt_deadline;
    TargetId target;
    std::optional<LocalOwner> owner;
    std::vector<TargetId> tried;
    /// Outcome of an earlier attempt that a target ran or may have run.
    std::optional<TargetFailed> lost_attempt;
    // Forwarding.
    std::optional<InstanceId> forwarded_to;
    std::vector<InstanceId> unreachable;
    /// The instance that forwarded the request; unset for requests received from callers.
    std::optional<Remote> remote;
    std::uint32_t hops = 0;
  };

  static detail::SystemSettings MakeSystemSettings(const RouterSettings& in) {
    detail::SystemSettings out;
    out.self = {in.self, in.incarnation, in.own_data_centre};
    out.name = in.instance;
    out.secrets = in.secrets;
    for (const RouterPeer& peer : in.peers) out.peers.push_back(peer.id);
    return out;
  }

  Pending* Find(RequestHandle handle) {
    const auto it = pending_.find(handle);
    return it == pending_.end() ? nullptr : &it->second;
  }

  Orders& LocalOrders() { return systems_.OrdersOf(settings_.own_data_centre); }

  // --- Admission ---

  Pending MakePending(TimePoint now, RequestHandle handle, std::shared_ptr<const Config> config,
                      RouteMatch match) {
    Pending p;
    p.handle = handle;
    p.config = std::move(config);
    p.match = std::move(match);
    p.arrived = now;
    p.key_hash = HashKey(p.match.key);
    return p;
  }

  void SetAccount(Pending& p, AccountId account) {
    p.account = account;
    for (const AccountConfig& entry : p.config->accounts) {
      if (entry.id == account) p.account_name = entry.name;
    }
  }

  static void SetRequest(Pending& p, std::shared_ptr<const Request> request) {
    p.request = std::move(request);
    const BodyHash body = MakeBodyHash(p.request->method, p.request->uri, p.request->body);
    p.fingerprint = MakeFingerprint(p.account, p.match.route->id, body);
    if (p.match.route->repeatable) return;
    const std::string* key = FindField(p.request->fields, "Idempotency-Key");
    p.order = MakeOrderId(p.account, key == nullptr ? std::string_view() : *key);
  }

  Duration DeadlineOf(const Request& request, const RouteConfig& route) const {
    const auto ms = ParseInteger(FindField(request.fields, "Dogwood-Deadline-Ms"));
    if (!ms) return route.default_deadline;
    const std::int64_t max_ms = settings_.max_deadline.count() / 1000;
    return Duration(std::clamp<std::int64_t>(*ms, 1, max_ms) * 1000);
  }

  SecretResult CheckSecret(TimePoint now, const Request& request) {
    const std::string* value = FindField(request.fields, "Authorization");
    return systems_.secrets.Check(now, value == nullptr ? std::string_view() : *value);
  }

  Step RefuseSecret(SecretFailure failure, const std::string& id) {
    Step step = Refuse(TextOf(failure), id);
    Answer& answer = std::get<Finish>(step).reply.answer;
    if (answer.status == 401) answer.fields.push_back({"WWW-Authenticate", "Bearer"});
    return step;
  }

  Step Refuse(const RefusalText& text, const std::string& id) {
    ++counters_.refused;
    return Finish{MakeRefusal(text.status, text.code, text.message, RunState::kNo, id,
                              text.status == 503 ? kRetryAfter : Duration(0))};
  }

  Step Admit(TimePoint now, Pending& p) {
    if (p.match.route->open_to_all) return Place(now, p);
    const Admission admission = systems_.limits.Admit(now, p.account, p.handle, p.deadline);
    if (std::holds_alternative<Admitted>(admission)) return Place(now, p);
    if (const auto* refused = std::get_if<LimitRefused>(&admission)) {
      return EndRefused(p, *refused);
    }
    p.admitting = true;
    // The decision may end the request, so `p` must not be used afterwards.
    const TimePoint until = p.deadline;
    systems_.limits.Tick(now, outbox_);
    TakeLimitDecisions(now);
    return WaitForStep{until};
  }

  Step EndRefused(Pending& p, const LimitRefused& refused) {
    if (refused.reason == LimitReason::kNoTokens) {
      return End(p, 429, "rate_limit", "the client account is over its rate", RunState::kNo,
                 std::max(refused.retry_after, Duration(1)));
    }
    return End(p, 503, std::string(ToString(refused.reason)), "the request can't be admitted",
               RunState::kNo, std::max(refused.retry_after, kRetryAfter));
  }

  void TakeLimitDecisions(TimePoint now) {
    for (const LimitDecision& decision : systems_.limits.TakeDecisions()) {
      Pending* p = Find(decision.request);
      if (p == nullptr || !p->admitting) continue;
      p->admitting = false;
      if (const auto* refused = std::get_if<LimitRefused>(&decision.outcome)) {
        const RequestHandle handle = p->handle;
        Deliver(handle, EndRefused(*p, *refused));
      } else {
        Place(now, *p, /*deliver=*/true);
      }
    }
  }

  // --- Target selection ---

  /// Determines the next step of a request. If `deliver` is set, a step other than `WaitForStep` is
  /// also provided by `TakeReady`.
  Step Place(TimePoint now, Pending& p, bool deliver = false) {
    const RequestHandle handle = p.handle;
    Step step = p.order ? PlaceOrder(now, p) : PlaceByKey(now, p);
    if (deliver) Deliver(handle, step);
    return step;
  }

  void Deliver(RequestHandle handle, Step step) {
    if (std::holds_alternative<WaitForStep>(step)) return;
    ready_.push_back({handle, std::move(step)});
  }

  Step PlaceByKey(TimePoint now, Pending& p) {
    if (!p.match.service->keyed) return ChooseTarget(now, p, std::nullopt);
    const Owner owner = systems_.ownership.FindOwnerByHash(now, p.match.service->id, p.key_hash);
    if (const auto* local = std::get_if<LocalOwner>(&owner)) return ChooseTarget(now, p, *local);
    if (const auto* home = std::get_if<RemoteHome>(&owner)) {
      return ForwardToDataCentre(now, p, home->data_centre);
    }
    return WaitForOwner(now, p, std::get<NoOwner>(owner).reason);
  }

  Step WaitForOwner(TimePoint now, Pending& p, NoOwnerReason reason) {
    const bool is_transient =
        reason == NoOwnerReason::kMoving || reason == NoOwnerReason::kNoPermit ||
        reason == NoOwnerReason::kUnassigned || reason == NoOwnerReason::kNoHome;
    if (is_transient) return WaitUntil(now, p, p.deadline);
    return End(p, 503, "no_owner", std::string(ToString(reason)), RunState::kNo, kRetryAfter);
  }

  Step ChooseTarget(TimePoint now, Pending& p, const std::optional<LocalOwner>& owner) {
    RouteRequest request;
    request.service = p.match.service->id;
    request.route = p.match.route->id;
    if (owner) request.owner = owner->target;
    request.repeatable = !p.order;
    request.arrived = p.arrived;
    request.deadline = owner ? std::min(p.deadline, owner->permit_expires_at) : p.deadline;
    request.forwarded = p.remote.has_value();
    request.excluded = p.tried;
    const Choice choice = systems_.routing.Choose(now, request, outbox_);
    if (const auto* chosen = std::get_if<Chosen>(&choice)) {
      if (owner) systems_.ownership.CountRequest(request.service, p.key_hash, owner->shard);
      return Send(now, p, *chosen, owner, request.deadline);
    }
    if (const auto* spill = std::get_if<SpillOver>(&choice)) {
      return ForwardToDataCentre(now, p, spill->data_centre);
    }
    if (const auto* wait = std::get_if<Wait>(&choice)) return WaitUntil(now, p, wait->until);
    const auto& refused = std::get<Refused>(choice);
    // The owner of the key may have been lost; its shard moves to another target within the time
    // allowed for recovery.
    if (owner && refused.reason == RefusalReason::kNoTarget) return WaitUntil(now, p, p.deadline);
    const RefusalText text = TextOf(refused.reason);
    return End(p, text.status, text.code, text.message, RunState::kNo,
               std::max(refused.retry_after, kRetryAfter));
  }

  Step Send(TimePoint now, Pending& p, const Chosen& chosen, const std::optional<LocalOwner>& owner,
            TimePoint deadline) {
    const auto target =
        std::find_if(p.config->targets.begin(), p.config->targets.end(),
                     [&chosen](const TargetConfig& t) { return t.id == chosen.target; });
    if (target == p.config->targets.end()) {
      systems_.routing.OnRequestFinished(now, chosen.attempt, {Outcome::kNotSent});
      // The configuration has changed since the request arrived.
      p.config = systems_.follower.state().config();
      return WaitUntil(now, p, p.deadline);
    }
    ++counters_.attempts;
    p.owner = owner;
    p.target = chosen.target;
    p.routing_attempt = chosen.attempt;
    p.attempt_deadline = std::min(deadline, chosen.deadline);
    p.attempt_running = true;
    p.sent = false;
    SendToTarget step;
    step.handle = p.handle;
    step.attempt = ++p.attempts;
    step.target = target->id;
    step.host = target->host;
    step.port = target->port;
    step.request_id = p.request_id;
    step.request = p.request;
    step.deadline = p.attempt_deadline;
    step.force_new_connection = chosen.new_connection;
    step.cancellable = !p.order;
    step.fields = FieldsFor(now, p);
    return step;
  }

  static std::vector<HeaderField> FieldsFor(TimePoint now, const Pending& p) {
    const auto remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(p.attempt_deadline - now);
    std::vector<HeaderField> fields = {
        {"Dogwood-Request-Id", p.request_id},
        {"Dogwood-Account", p.account_name},
        {"Dogwood-Deadline-Ms", std::to_string(std::max<std::int64_t>(remaining.count(), 1))}};
    if (p.owner) fields.push_back({"Dogwood-Epoch", ToString(p.owner->epoch)});
    return fields;
  }

  // --- Waiting ---

  Step WaitUntil(TimePoint now, Pending& p, TimePoint until) {
    if (now >= p.deadline) {
      return End(p, 504, "deadline", "the deadline passed before a target was free", RunState::kNo,
                 Duration(0));
    }
    if (!p.waiting) {
      if (waiting_.size() >= settings_.max_waiting) {
        return End(p, 503, "no_capacity", "too many requests wait", RunState::kNo, kRetryAfter);
      }
      p.waiting = true;
      waiting_.push_back({p.handle, now + kRetryInterval});
    }
    return WaitForStep{std::min(until, p.deadline)};
  }

  struct WaitingRequest {
    RequestHandle handle = 0;
    TimePoint retry_at;
  };

  /// Retries waiting requests in order of arrival: those that are due, and the first one of
  /// `freed`, a service in which the end of an attempt has released a slot. If `all` is set, every
  /// waiting request is retried.
  void ServeWaiting(TimePoint now, std::optional<ServiceId> freed = std::nullopt,
                    bool all = false) {
    std::vector<WaitingRequest> list = std::exchange(waiting_, {});
    for (WaitingRequest& waiting_request : list) {
      Pending* p = Find(waiting_request.handle);
      if (p == nullptr || !p->waiting) continue;
      const bool first = freed && p->match.service->id == *freed;
      if (now < waiting_request.retry_at && !first && !all) {
        waiting_.push_back(waiting_request);
        continue;
      }
      if (first) freed.reset();
      p->waiting = false;
      Place(now, *p, /*deliver=*/true);
    }
  }

  // --- Outcomes of attempts ---

  Step OnAnswered(TimePoint now, Pending& p, TargetAnswered answered) {
    const RunState run = RunStateOf(answered.answer);
    const std::uint16_t status = answered.answer.status;
    const bool shed = run == RunState::kNo && status == 503;
    const Outcome outcome = shed            ? Outcome::kShed
                            : status >= 500 ? Outcome::kFailed
                                            : Outcome::kAnswered;
    systems_.routing.OnRequestFinished(now, p.routing_attempt, {outcome});
    systems_.quarantine.OnFinished(now, p.fingerprint, p.target, true, outbox_);
    systems_.ownership.OnTargetReport(now, {p.target, true});
    if (p.order && run == RunState::kNo) {
      // A refusal is not an outcome: the caller may retry the order with the same key.
      LocalOrders().OnNotRun(now, p.handle, outbox_);
    } else if (p.order) {
      LocalOrders().OnAnswer(now, p.handle, status, EncodeAnswer(answered.answer), outbox_);
    } else if (run == RunState::kNo && (shed || status == 409) && MayRetry(now, p)) {
      return Place(now, p);
    }
    return End(p, Reply{std::move(answered.answer), run});
  }

  Step OnFailed(TimePoint now, Pending& p, const TargetFailed& failed) {
    ReportFailure(now, p, failed);
    if (p.order) return OnOrderFailed(now, p, failed);
    const bool is_known_run = p.lost_attempt && p.lost_attempt->run == RunState::kYes;
    if (failed.run != RunState::kNo && !is_known_run) p.lost_attempt = failed;
    if (failed.fault == AttemptFault::kCallerLeft) return EndFailed(p, failed);
    if (failed.run == RunState::kNo && ++p.unsent_attempts <= kMaxUnsentAttempts) {
      if (failed.fault != AttemptFault::kConnectFailed || p.match.service->keyed) {
        // Either the owner or the permit is about to change, or the key has no other target.
        return WaitUntil(now, p, p.deadline);
      }
      if (MayRetry(now, p)) return Place(now, p);
    } else if (failed.fault == AttemptFault::kTimeout ||
               failed.fault == AttemptFault::kConnectionLost) {
      if (MayRetry(now, p)) return Place(now, p);
    }
    return EndFailed(p, failed);
  }

  Step EndFailed(Pending& p, const TargetFailed& failed) {
    ++counters_.refused;
    return End(p, ReplyTo(p.request_id, failed));
  }

  static Reply ReplyTo(const std::string& request_id, const TargetFailed& failed) {
    const Duration retry_after = failed.run == RunState::kNo ? kRetryAfter : Duration(0);
    const auto reply = [&](std::uint16_t status, const char* code) {
      return MakeRefusal(status, code, failed.text, failed.run, request_id, retry_after);
    };
    switch (failed.fault) {
      case AttemptFault::kTimeout:
        return reply(504, "timeout");
      case AttemptFault::kBrokenAnswer:
        return reply(502, "broken_answer");
      case AttemptFault::kConnectionLost:
        return reply(502, "connection_lost");
      case AttemptFault::kCallerLeft:
        return reply(400, "caller_left");
      default:
        return reply(503, "target_unreachable");
    }
  }

  void ReportFailure(TimePoint now, Pending& p, const TargetFailed& failed) {
    bool quarantined = false;
    if (failed.fault == AttemptFault::kConnectionLost) {
      ++counters_.connections_lost;
      if (failed.target_gone) {
        quarantined = systems_.quarantine.OnTargetLost(now, p.target, outbox_);
      }
    }
    if (p.sent) {
      systems_.quarantine.OnFinished(now, p.fingerprint, p.target, false, outbox_);
    }
    switch (failed.fault) {
      case AttemptFault::kTimeout:
        systems_.routing.OnRequestTimedOut(now, p.routing_attempt, failed.new_connection);
        return;
      case AttemptFault::kConnectFailed:
        systems_.routing.OnRequestFinished(now, p.routing_attempt, {Outcome::kNotSent});
        systems_.routing.OnConnectionFailed(now, p.target);
        systems_.ownership.OnTargetReport(now, {p.target, false});
        return;
      case AttemptFault::kConnectionLost:
        systems_.routing.OnRequestFinished(now, p.routing_attempt,
                                           {Outcome::kConnectionLost, Duration(0), quarantined});
        return;
      case AttemptFault::kBrokenAnswer:
        systems_.routing.OnRequestFinished(now, p.routing_attempt, {Outcome::kFailed});
        return;
      case AttemptFault::kCallerLeft:
        systems_.routing.OnRequestFinished(now, p.routing_attempt, {Outcome::kCancelled});
        return;
      case AttemptFault::kNotAllowed:
      case AttemptFault::kOverloaded:
        systems_.routing.OnRequestFinished(now, p.routing_attempt, {Outcome::kNotSent});
        return;
    }
  }

  bool MayRetry(TimePoint now, Pending& p) {
    p.tried.push_back(p.target);
    FailedAttempt attempt;
    attempt.account = p.account;
    attempt.service = p.match.service->id;
    attempt.repeatable = !p.order;
    attempt.tried = p.tried;
    attempt.deadline = p.deadline;
    std::vector<TargetId> candidates;
    for (const TargetConfig& target : p.config->targets) {
      if (target.service != attempt.service) continue;
      if (target.data_centre == settings_.own_data_centre) candidates.push_back(target.id);
    }
    if (p.match.service->keyed) {
      const Owner owner = systems_.ownership.FindOwnerByHash(now, attempt.service, p.key_hash);
      const auto* local = std::get_if<LocalOwner>(&owner);
      candidates.clear();
      if (local != nullptr) candidates.push_back(local->target);
    }
    const bool retry = systems_.retries.Decide(now, attempt, candidates) == RetryDecision::kRetry;
    if (retry) ++counters_.retries;
    return retry;
  }

  // --- Orders ---

  Step PlaceOrder(TimePoint now, Pending& p) {
    const std::optional<DataCentreId> home = HomeOf(now, p);
    if (!home) return WaitUntil(now, p, p.deadline);
    const Delegation* delegation = systems_.follower.state().delegation(*home);
    const auto authority =
        delegation == nullptr ? std::nullopt : OrderAuthority(*delegation, *p.order);
    if (!authority) return WaitUntil(now, p, p.deadline);
    if (*authority != settings_.self) return Forward(now, p, *authority);
    if (p.order_allowed) return SendOrder(now, p);
    // `BeginOrder` may end the request, so `p` must not be used afterwards.
    const TimePoint until = p.deadline;
    if (!p.order_begun) BeginOrder(now, p);
    return WaitForStep{until};
  }

  std::optional<DataCentreId> HomeOf(TimePoint now, const Pending& p) const {
    if (!p.match.service->keyed) {
      return OrderPartitionHome(OrderPartition(*p.order), systems_.InService());
    }
    const Owner owner = systems_.ownership.FindOwnerByHash(now, p.match.service->id, p.key_hash);
    if (std::holds_alternative<LocalOwner>(owner)) return settings_.own_data_centre;
    if (const auto* home = std::get_if<RemoteHome>(&owner)) return home->data_centre;
    return std::nullopt;
  }

  void BeginOrder(TimePoint now, Pending& p) {
    p.order_begun = true;
    OrderRequest request;
    request.request = p.handle;
    request.id = *p.order;
    request.body = MakeBodyHash(p.request->method, p.request->uri, p.request->body);
    request.scope = p.match.service->keyed ? p.key_hash : OrderPartition(*p.order);
    request.deadline = p.deadline;
    request.first_sent_ms = p.first_sent_ms;
    LocalOrders().Begin(now, request, outbox_);
    // The caller of this function returns `WaitForStep`, so actions that are due at once are
    // delivered as ready steps.
    TakeOrderActions(now);
  }

  Step SendOrder(TimePoint now, Pending& p) {
    if (!p.match.service->keyed) return ChooseTarget(now, p, std::nullopt);
    const Owner owner = systems_.ownership.FindOwnerByHash(now, p.match.service->id, p.key_hash);
    if (const auto* local = std::get_if<LocalOwner>(&owner)) return ChooseTarget(now, p, *local);
    return WaitUntil(now, p, p.deadline);
  }

  void TakeOrderActions(TimePoint now) {
    if (taking_order_actions_) return;
    taking_order_actions_ = true;
    for (;;) {
      const std::vector<OrderAction> actions = LocalOrders().TakeActions();
      if (actions.empty()) break;
      for (const OrderAction& action : actions) {
        std::visit([&](const auto& a) { OnOrderAction(now, a); }, action);
      }
    }
    taking_order_actions_ = false;
  }

  void OnOrderAction(TimePoint now, const struct MaySend& action) {
    Pending* p = Find(action.request);
    if (p == nullptr) return;
    p->order_allowed = true;
    const RequestHandle handle = p->handle;
    Deliver(handle, SendOrder(now, *p));
  }

  void OnOrderAction(TimePoint /*now*/, const Reject& action) {
    Pending* p = Find(action.request);
    if (p == nullptr) return;
    p->order_begun = false;
    // The outcome of a running attempt ends the request.
    if (p->attempt_running) {
      p->order_allowed = false;
      return;
    }
    const RefusalText text = TextOf(action.reason);
    const Duration retry_after =
        text.status == 503 ? std::max(action.retry_after, kRetryAfter) : Duration(0);
    const RequestHandle handle = p->handle;
    Deliver(handle, End(*p, text.status, text.code, text.message, action.run, retry_after));
  }

  void OnOrderAction(TimePoint /*now*/, const ReplayOutcome& action) {
    Pending* p = Find(action.request);
    if (p == nullptr) return;
    std::optional<Answer> answer = action.answer_kept ? DecodeAnswer(action.answer) : std::nullopt;
    if (!answer) {
      answer.emplace();
      answer->status = action.status;
      answer->fields.push_back({"Dogwood-Answer", "not-kept"});
    }
    const RequestHandle handle = p->handle;
    Deliver(handle, End(*p, Reply{std::move(*answer), RunState::kYes}));
  }

  void OnOrderAction(TimePoint /*now*/, const ReportUnknown& action) {
    Pending* p = Find(action.request);
    if (p == nullptr || p->attempt_running) return;
    const RequestHandle handle = p->handle;
    Deliver(handle, EndUnknown(*p, 504));
  }

  Step EndUnknown(Pending& p, std::uint16_t status) {
    const std::string* key = FindField(p.request->fields, "Idempotency-Key");
    return End(p, status, "outcome_unknown",
               "the order may have run; query " + std::string(kOrderPage) +
                   (key == nullptr ? std::string() : *key),
               RunState::kUnknown, Duration(0));
  }

  Step OnOrderFailed(TimePoint now, Pending& p, const TargetFailed& failed) {
    if (p.sent) {
      LocalOrders().OnUnknown(now, p.handle, outbox_);
      const std::uint16_t status = failed.fault == AttemptFault::kTimeout ? 504 : 502;
      if (failed.run == RunState::kYes) return EndFailed(p, failed);
      return EndUnknown(p, status);
    }
    const bool allowed = p.order_allowed && !p.first_byte_requested;
    if (allowed && ++p.unsent_attempts <= kMaxUnsentAttempts && now < p.deadline) {
      return WaitUntil(now, p, p.deadline);
    }
    LocalOrders().OnNotSent(now, p.handle, outbox_);
    return End(p, 503, "order_not_sent", failed.text, RunState::kNo, kRetryAfter);
  }

  /// Handles `GET /-/orders/<idempotency key>[?service=<name>&key=<key>]`.
  Step QueryOrder(TimePoint now, RequestHandle handle, const IncomingRequest& in) {
    const SecretResult secret = CheckSecret(now, in.request);
    if (const auto* failure = std::get_if<SecretFailure>(&secret)) {
      return RefuseSecret(*failure, in.request_id);
    }
    if (in.request.method != "GET") {
      return Refuse({405, "method_not_allowed", "only GET"}, in.request_id);
    }
    Pending p = MakePending(now, handle, systems_.follower.state().config(), {});
    p.request_id = in.request_id;
    p.deadline = now + Duration(5'000'000);
    p.account = std::get<AccountId>(secret);
    p.request = Outbound(in.request);
    return RunQuery(now, pending_.emplace(handle, std::move(p)).first->second);
  }

  Step RunQuery(TimePoint now, Pending& p) {
    const std::string_view uri = p.request->uri;
    const std::string_view path = uri.substr(0, uri.find('?'));
    const auto key = DecodePercent(path.substr(kOrderPage.size()));
    if (!key || key->empty()) {
      return End(p, 400, "key_missing", "no idempotency key", RunState::kNo, Duration(0));
    }
    const OrderId id = MakeOrderId(p.account, *key);
    const auto home = QueryHome(now, uri, id);
    const Delegation* delegation = home ? systems_.follower.state().delegation(*home) : nullptr;
    const auto authority = delegation == nullptr ? std::nullopt : OrderAuthority(*delegation, id);
    if (!authority) {
      return End(p, 503, "no_owner", "no authority for the order", RunState::kNo, kRetryAfter);
    }
    if (*authority != settings_.self) return Forward(now, p, *authority);
    const auto status = LocalOrders().Query(now, id);
    if (!status) {
      return End(p, 404, "unknown_order", "no order with this key", RunState::kNo, Duration(0));
    }
    return End(p, OrderPage(*status));
  }

  std::optional<DataCentreId> QueryHome(TimePoint now, std::string_view uri, const OrderId& id) {
    const auto service = QueryValue(uri, "service");
    const auto key = QueryValue(uri, "key");
    if (!service || !key) return OrderPartitionHome(OrderPartition(id), systems_.InService());
    const Owner owner = systems_.ownership.FindOwner(now, ServiceId::FromName(*service), *key);
    if (std::holds_alternative<LocalOwner>(owner)) return settings_.own_data_centre;
    if (const auto* home = std::get_if<RemoteHome>(&owner)) return home->data_centre;
    return std::nullopt;
  }

  static Reply OrderPage(const OrderStatus& status) {
    constexpr std::array<const char*, 4> kStates = {"intent", "unknown", "not_run", "done"};
    Reply reply;
    reply.run = RunState::kUnknown;
    if (status.state == OrderState::kDone) reply.run = RunState::kYes;
    if (status.state == OrderState::kNotRun) reply.run = RunState::kNo;
    reply.answer.status = 200;
    reply.answer.fields.push_back({"Content-Type", "application/json"});
    reply.answer.body = std::string(R"({"state":")") +
                        kStates[static_cast<std::size_t>(status.state)] + R"(","in_progress":)" +
                        (status.in_progress ? "true" : "false") +
                        ",\"age_ms\":" + std::to_string(status.age_ms) +
                        ",\"status\":" + std::to_string(status.status) + "}\n";
    return reply;
  }

  // --- Forwarding ---

  Step ForwardToDataCentre(TimePoint now, Pending& p, DataCentreId to) {
    std::vector<InstanceId> candidates;
    for (const MemberSummary& member : systems_.membership.UsableMembers(now, to)) {
      if (member.ready) candidates.push_back(member.id);
    }
    if (candidates.empty()) {
      for (const RouterPeer& peer : settings_.peers) {
        if (peer.data_centre == to) candidates.push_back(peer.id);
      }
    }
    std::erase_if(candidates, [&p](InstanceId id) {
      return std::find(p.unreachable.begin(), p.unreachable.end(), id) != p.unreachable.end();
    });
    if (candidates.empty()) {
      return End(p, 503, "data_centre_unreachable",
                 "no instance of the responsible data centre can be reached", RunState::kNo,
                 kRetryAfter);
    }
    return Forward(now, p, candidates[next_peer_++ % candidates.size()]);
  }

  Step Forward(TimePoint now, Pending& p, InstanceId to) {
    const bool failed =
        std::find(p.unreachable.begin(), p.unreachable.end(), to) != p.unreachable.end();
    if (failed || p.hops >= kMaxHops) {
      return End(p, 503, "instance_unreachable", "the responsible instance can't be reached",
                 RunState::kNo, kRetryAfter);
    }
    ++counters_.forwarded;
    p.forwarded_to = to;
    outbox_.Send(to, ForwardRequest{p.handle, p.request_id, p.account, p.account_name,
                                    (p.deadline - now).count(), p.hops + 1,
                                    p.first_sent_ms.value_or(0), *p.request});
    return WaitForStep{p.deadline + kForwardGrace};
  }

  void OnForward(TimePoint now, InstanceId from, ForwardRequest in) {
    ++counters_.forwarded_in;
    const RequestHandle handle = next_handle_++;
    const std::shared_ptr<const Config> config = systems_.follower.state().config();
    const bool query = in.request.uri.rfind(kOrderPage, 0) == 0;
    std::variant<RouteMatch, RouteFault> match = RouteMatch{};
    if (!query) match = MatchRoute(*config, in.request);
    if (const auto* fault = std::get_if<RouteFault>(&match)) {
      const Step step = Refuse(TextOf(*fault), in.request_id);
      const Reply& reply = std::get<Finish>(step).reply;
      outbox_.Send(from, ForwardAnswer{in.forward_id, reply.run, reply.answer});
      return;
    }
    Pending p = MakePending(now, handle, config, std::get<RouteMatch>(match));
    p.request_id = in.request_id;
    p.account = in.account;
    p.account_name = in.account_name;
    p.deadline = now + std::clamp(Duration(in.remaining_us), Duration(0), settings_.max_deadline);
    p.remote = Remote{from, in.forward_id};
    p.hops = in.hops;
    if (in.first_sent_ms != 0) p.first_sent_ms = in.first_sent_ms;
    auto request = std::make_shared<const Request>(std::move(in.request));
    if (query) {
      p.request = std::move(request);
      RunQuery(now, pending_.emplace(handle, std::move(p)).first->second);
      return;
    }
    SetRequest(p, std::move(request));
    Place(now, pending_.emplace(handle, std::move(p)).first->second, /*deliver=*/true);
  }

  void OnForwardAnswer(InstanceId from, ForwardAnswer answer) {
    Pending* p = Find(answer.forward_id);
    if (p == nullptr || p->forwarded_to != from) return;
    const RequestHandle handle = p->handle;
    Deliver(handle, End(*p, Reply{std::move(answer.answer), answer.run}));
  }

  void OnForwardCancel(TimePoint now, InstanceId from, const ForwardCancel& cancel) {
    for (auto& [handle, p] : pending_) {
      const bool same =
          p.remote && p.remote->from == from && p.remote->forward_id == cancel.forward_id;
      if (!same) continue;
      OnCallerLeft(now, handle);
      return;
    }
  }

  /// Ends forwarded requests whose instance was lost or did not respond in time.
  void EndLostForwards(TimePoint now) {
    std::vector<RequestHandle> lost;
    for (const auto& [handle, p] : pending_) {
      if (!p.forwarded_to) continue;
      const bool dead = systems_.membership.liveness(now, *p.forwarded_to) == Liveness::kDead;
      if (dead || now >= p.deadline + kForwardGrace) lost.push_back(handle);
    }
    for (const RequestHandle handle : lost) {
      Pending& p = *Find(handle);
      if (p.order) {
        Deliver(handle, EndUnknown(p, 504));
        continue;
      }
      Deliver(handle, End(p, 504, "timeout", "no answer of the responsible instance",
                          RunState::kUnknown, Duration(0)));
    }
  }

  // --- Completion ---

  Step End(Pending& p, std::uint16_t status, const std::string& code, const std::string& message,
           RunState run, Duration retry_after) {
    ++counters_.refused;
    return End(p, MakeRefusal(status, code, message, run, p.request_id, retry_after));
  }

  /// Ends a request. If it was forwarded by another instance, the response is sent there.
  Step End(Pending& p, Reply reply) {
    // A refusal of the last attempt says nothing about an earlier one.
    if (reply.run == RunState::kNo && p.lost_attempt) {
      reply = ReplyTo(p.request_id, *p.lost_attempt);
    }
    // An order that was allowed but not sent must not remain in flight.
    if (p.order && p.order_begun && !p.sent) {
      LocalOrders().OnNotSent(p.arrived, p.handle, outbox_);
    }
    if (p.remote) {
      outbox_.Send(p.remote->from,
                   ForwardAnswer{p.remote->forward_id, reply.run, std::move(reply.answer)});
    }
    pending_.erase(p.handle);
    return Finish{std::move(reply)};
  }

  // --- Work for the daemon ---

  void CollectWork(TimePoint now) {
    for (const TargetId id : systems_.routing.ProbesDue(now)) {
      const TargetConfig* target = FindTarget(id);
      if (target != nullptr) work_.probes.push_back({id, target->host, target->port});
    }
    for (GrantRequest& request : systems_.TakeGrants()) {
      const TargetConfig* target = FindTarget(request.target);
      if (target == nullptr) continue;
      std::vector<std::string> services;
      for (const Grant& grant : request.grants) {
        services.push_back(ServiceName(grant.shard.service));
      }
      work_.grants.push_back({target->host, target->port, std::move(request), std::move(services)});
    }
  }

  const TargetConfig* FindTarget(TargetId id) const {
    const std::vector<TargetConfig>& list = systems_.config().targets;
    const auto it =
        std::find_if(list.begin(), list.end(), [id](const auto& t) { return t.id == id; });
    return it == list.end() ? nullptr : &*it;
  }

  std::string ServiceName(ServiceId id) const {
    for (const ServiceConfig& service : systems_.config().services) {
      if (service.id == id) return service.name;
    }
    return {};
  }

  RouterSettings settings_;
  Systems systems_;
  RouterCounters counters_;
  Outbox outbox_;
  std::vector<ReadyStep> ready_;
  RouterWork work_;
  std::unordered_map<RequestHandle, Pending> pending_;
  std::vector<WaitingRequest> waiting_;
  /// Starts at the incarnation, a time in microseconds, so that the answer to a request that was
  /// forwarded before a restart names no request of this run.
  RequestHandle next_handle_ = std::max<std::uint64_t>(1, settings_.incarnation.value);
  std::size_t next_peer_ = 0;
  std::int64_t unix_ms_ = 0;
  bool leaving_ = false;
  bool taking_order_actions_ = false;
};

Router::Router(RouterSettings settings, TimePoint now)
    : impl_(std::make_unique<Impl>(std::move(settings), now)) {}
Router::~Router() = default;

Step Router::OnRequest(TimePoint now, IncomingRequest request, RequestHandle& handle) {
  return impl_->OnRequest(now, std::move(request), handle);
}
bool Router::MaySend(TimePoint now, RequestHandle handle, std::uint32_t attempt) {
  return impl_->MaySend(now, handle, attempt);
}
Step Router::OnAttempt(TimePoint now, RequestHandle handle, std::uint32_t attempt,
                       AttemptOutcome outcome) {
  return impl_->OnAttempt(now, handle, attempt, std::move(outcome));
}
std::optional<Reply> Router::OnCallerLeft(TimePoint now, RequestHandle handle) {
  return impl_->OnCallerLeft(now, handle);
}
void Router::OnMessage(TimePoint now, InstanceId from, Incarnation /*incarnation*/,
                       Message message) {
  impl_->OnMessage(now, from, std::move(message));
}
void Router::OnSendFailed(TimePoint now, InstanceId to, const Message& message) {
  impl_->OnSendFailed(now, to, message);
}
void Router::OnLogRead(TimePoint now, std::uint64_t id, const LogPage& page) {
  systems().follower.OnRead(now, id, page, impl_->outbox());
  impl_->AfterLog(now);
}
void Router::OnLogReadFailed(TimePoint now, std::uint64_t id, LogFailure failure) {
  systems().follower.OnReadFailed(now, id, failure);
}
void Router::OnLogAppended(TimePoint now, std::uint64_t id) {
  systems().follower.OnAppended(now, id);
}
void Router::OnLogAppendFailed(TimePoint now, std::uint64_t id, LogFailure failure) {
  systems().follower.OnAppendFailed(now, id, failure);
}
void Router::OnHealth(TimePoint now, TargetId target, const HealthReport& report) {
  systems().routing.OnHealth(now, target, report, impl_->outbox());
  systems().ownership.OnTargetReport(now, {target, report.reachable});
}
void Router::OnLoad(TimePoint now, TargetId target, std::uint32_t in_flight, Duration age) {
  systems().routing.OnLoadReport(now, target, in_flight, age);
}
void Router::OnGrantReply(TimePoint now, const GrantReply& reply) {
  systems().ownership.OnGrantReply(now, reply);
}
void Router::OnPlatformList(TimePoint now, const std::vector<PlatformMember>& list) {
  systems().membership.SetPlatformList(now, list);
}
void Router::Tick(TimePoint now, std::int64_t unix_ms) { impl_->Tick(now, unix_ms); }
void Router::BeginShutdown(TimePoint /*now*/) { impl_->BeginShutdown(); }
void Router::Shutdown(TimePoint now) {
  impl_->BeginShutdown();
  systems().Shutdown(now);
}
bool Router::Ready(TimePoint now) const { return !impl_->leaving() && systems().Ready(now); }
std::vector<ReadyStep> Router::TakeReady() { return impl_->TakeReady(); }
std::vector<Envelope> Router::TakeEnvelopes() { return impl_->outbox().Take(); }
RouterWork Router::TakeWork() { return impl_->TakeWork(); }
const ControlState& Router::state() const noexcept { return systems().follower.state(); }
detail::Systems& Router::systems() noexcept { return impl_->systems(); }
const detail::Systems& Router::systems() const noexcept { return impl_->systems(); }
RouterCounters Router::counters() const noexcept { return impl_->counters(); }
std::size_t Router::requests_in_progress() const noexcept { return impl_->in_progress(); }

}  // namespace dogwoodport
