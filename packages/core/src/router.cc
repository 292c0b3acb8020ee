#include "dogwoodport/core/router.h"

#include <algorithm>

#include "dogwoodport/core/refusal.h"

namespace dogwoodport {
namespace {

/// A forwarded answer may take this long beyond the request's deadline at the other instance.
constexpr Duration kForwardGrace{100'000};

std::uint64_t HashKey(std::string_view key, std::uint64_t seed) {
  return detail::HashText(std::string(key) + "#" + std::to_string(seed));
}

}  // namespace

class Router::Impl {
 public:
  explicit Impl(RouterSettings settings) : settings_(std::move(settings)) {}

  Step OnRequest(TimePoint now, IncomingRequest in, RequestHandle& handle) {
    ++counters_.requests;
    handle = next_handle_++;
    const std::shared_ptr<const Config> config = state_.config();
    const auto match = MatchRoute(*config, in.request);
    if (const auto* fault = std::get_if<RouteFault>(&match)) {
      return Refuse(*fault, in.request_id);
    }
    Pending pending;
    pending.config = config;
    pending.match = std::get<RouteMatch>(match);
    pending.request_id = in.request_id;
    pending.deadline = now + DeadlineOf(in.request, *pending.match.route);
    pending.request = Outbound(std::move(in.request));
    return Place(now, handle, pending_.emplace(handle, std::move(pending)).first->second);
  }

  Step OnAttempt(TimePoint /*now*/, RequestHandle handle, std::uint32_t /*attempt*/,
                 AttemptOutcome outcome) {
    const auto it = pending_.find(handle);
    if (it == pending_.end()) return Finish{};
    if (auto* answered = std::get_if<TargetAnswered>(&outcome)) {
      return End(it, Reply{std::move(answered->answer), RunState::kYes});
    }
    const auto& failed = std::get<TargetFailed>(outcome);
    return End(it, MakeRefusal(failed.run == RunState::kNo ? 503 : 502, "target_failed",
                               failed.text, failed.run, it->second.request_id));
  }

  bool MaySend(TimePoint now, RequestHandle handle) const {
    const auto it = pending_.find(handle);
    return it != pending_.end() && now < it->second.deadline;
  }

  void OnCallerLeft(TimePoint /*now*/, RequestHandle handle) {
    const auto it = pending_.find(handle);
    if (it == pending_.end()) return;
    if (it->second.forwarded_to) {
      outbox_.Send(*it->second.forwarded_to, ForwardCancel{handle});
    }
    pending_.erase(it);
  }

  void OnMessage(TimePoint now, InstanceId from, Message message) {
    if (auto* request = std::get_if<ForwardRequest>(&message)) {
      OnForward(now, from, std::move(*request));
    } else if (auto* answer = std::get_if<ForwardAnswer>(&message)) {
      const auto it = pending_.find(answer->forward_id);
      if (it == pending_.end() || it->second.forwarded_to != from) return;
      ready_.push_back({it->first, Finish{Reply{std::move(answer->answer), answer->run}}});
      pending_.erase(it);
    }
  }

  void OnSendFailed(InstanceId to, const Message& message) {
    const auto* request = std::get_if<ForwardRequest>(&message);
    if (request == nullptr) return;
    const auto it = pending_.find(request->forward_id);
    if (it == pending_.end() || it->second.forwarded_to != to) return;
    Reply reply = MakeRefusal(503, "instance_unreachable",
                              "no instance of the key's data centre "
                              "can be reached",
                              RunState::kNo, it->second.request_id, Duration(1'000'000));
    ready_.push_back({it->first, Finish{std::move(reply)}});
    pending_.erase(it);
  }

  void OnLogRecords(const std::vector<std::pair<std::uint64_t, std::string>>& records) {
    for (const auto& [offset, text] : records) state_.ApplyText(offset, text);
  }

  void Tick(TimePoint now) {
    for (auto it = pending_.begin(); it != pending_.end();) {
      const auto at = it++;
      if (!at->second.forwarded_to || now < at->second.deadline + kForwardGrace) continue;
      Reply reply = MakeRefusal(504, "timeout", "no answer before the deadline", RunState::kUnknown,
                                at->second.request_id);
      ready_.push_back({at->first, Finish{std::move(reply)}});
      pending_.erase(at);
    }
  }

  RouterSettings settings_;
  ControlState state_;
  RouterCounters counters_;
  Outbox outbox_;
  std::vector<ReadyStep> ready_;
  bool shutting_down_ = false;

  std::size_t in_progress() const { return pending_.size(); }

 private:
  struct Remote {
    InstanceId from;
    std::uint64_t forward_id = 0;
  };

  struct Pending {
    std::shared_ptr<const Config> config;
    RouteMatch match;
    std::string request_id;
    std::string account_name;
    AccountId account;
    TimePoint deadline;
    std::shared_ptr<const Request> request;
    std::uint32_t attempts = 0;
    std::optional<InstanceId> forwarded_to;
    /// The instance that forwarded the request, if it did not come from a caller.
    std::optional<Remote> remote;
  };
  using Table = std::unordered_map<RequestHandle, Pending>;

  Finish Refuse(RouteFault fault, const std::string& id) {
    ++counters_.refused;
    switch (fault) {
      case RouteFault::kMalformedPath:
        return {MakeRefusal(400, "malformed_path", "the path is malformed", RunState::kNo, id)};
      case RouteFault::kUnknownRoute:
        return {MakeRefusal(404, "unknown_route", "no route for this path", RunState::kNo, id)};
      case RouteFault::kMethodNotAllowed:
        return {MakeRefusal(405, "method_not_allowed", "the route does not take this method",
                            RunState::kNo, id)};
      case RouteFault::kKeyMissing:
        break;
    }
    return {MakeRefusal(400, "key_missing", "the request does not name a key", RunState::kNo, id)};
  }

  Duration DeadlineOf(const Request& request, const RouteConfig& route) const {
    const std::string* text = FindField(request.fields, "Dogwood-Deadline-Ms");
    if (text == nullptr) return route.default_deadline;
    const std::int64_t ms = std::strtoll(text->c_str(), nullptr, 10);
    return std::clamp(Duration(ms * 1000), Duration(1000), settings_.max_deadline);
  }

  static std::shared_ptr<const Request> Outbound(Request request) {
    std::erase_if(request.fields, [](const HeaderField& field) {
      return FieldNamesEqual(field.name, "Authorization") ||
             FieldNamesEqual(std::string_view(field.name).substr(0, 8), "Dogwood-");
    });
    return std::make_shared<const Request>(std::move(request));
  }

  Step Place(TimePoint now, RequestHandle handle, Pending& pending) {
    const TargetConfig* target = Choose(pending);
    if (target == nullptr) {
      return End(pending_.find(handle), MakeRefusal(503, "no_target", "no target", RunState::kNo,
                                                    pending.request_id, Duration(1'000'000)));
    }
    if (target->data_centre != settings_.own_data_centre) {
      return Forward(now, handle, pending, target->data_centre);
    }
    return Send(now, handle, pending, *target);
  }

  const TargetConfig* Choose(const Pending& pending) const {
    const TargetConfig* best = nullptr;
    std::uint64_t best_weight = 0;
    const std::string& key = pending.match.route->key ? pending.match.key : pending.request_id;
    for (const TargetConfig& target : pending.config->targets) {
      if (target.service != pending.match.service->id) continue;
      const std::uint64_t weight = HashKey(key, target.id.value);
      if (best == nullptr || weight > best_weight) {
        best = &target;
        best_weight = weight;
      }
    }
    return best;
  }

  Step Forward(TimePoint now, RequestHandle handle, Pending& pending, DataCentreId to) {
    const auto peer = std::find_if(settings_.peers.begin(), settings_.peers.end(),
                                   [to](const RouterPeer& p) { return p.data_centre == to; });
    if (peer == settings_.peers.end() || pending.remote) {
      return End(pending_.find(handle),
                 MakeRefusal(503, "instance_unreachable", "no instance in the data centre",
                             RunState::kNo, pending.request_id, Duration(1'000'000)));
    }
    ++counters_.forwarded;
    pending.forwarded_to = peer->id;
    outbox_.Send(peer->id, ForwardRequest{handle, pending.request_id, pending.account,
                                          pending.account_name, pending.match.route->id,
                                          (pending.deadline - now).count(), *pending.request});
    return WaitForStep{pending.deadline + kForwardGrace};
  }

  Step Send(TimePoint now, RequestHandle handle, Pending& pending, const TargetConfig& target) {
    ++counters_.attempts;
    SendToTarget step;
    step.handle = handle;
    step.attempt = ++pending.attempts;
    step.target = target.id;
    step.host = target.host;
    step.port = target.port;
    step.request_id = pending.request_id;
    step.request = pending.request;
    step.deadline = pending.deadline;
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(pending.deadline - now);
    step.fields = {{"Dogwood-Request-Id", pending.request_id},
                   {"Dogwood-Account", pending.account_name},
                   {"Dogwood-Deadline-Ms", std::to_string(left.count())}};
    return step;
  }

  void OnForward(TimePoint now, InstanceId from, ForwardRequest in) {
    ++counters_.forwarded_in;
    const RequestHandle handle = next_handle_++;
    const std::shared_ptr<const Config> config = state_.config();
    const auto match = MatchRoute(*config, in.request);
    if (const auto* fault = std::get_if<RouteFault>(&match)) {
      const Finish finish = Refuse(*fault, in.request_id);
      outbox_.Send(from, ForwardAnswer{in.forward_id, finish.reply.run, finish.reply.answer});
      return;
    }
    Pending pending;
    pending.config = config;
    pending.match = std::get<RouteMatch>(match);
    pending.request_id = in.request_id;
    pending.account = in.account;
    pending.account_name = in.account_name;
    pending.deadline = now + Duration(in.remaining_us);
    pending.request = std::make_shared<const Request>(std::move(in.request));
    pending.remote = Remote{from, in.forward_id};
    Step step = Place(now, handle, pending_.emplace(handle, std::move(pending)).first->second);
    if (std::holds_alternative<SendToTarget>(step)) ready_.push_back({handle, std::move(step)});
  }

  /// Ends a request; the answer to one of another instance goes out as a message.
  Step End(Table::iterator it, Reply reply) {
    if (it->second.remote) {
      const Remote& remote = *it->second.remote;
      outbox_.Send(remote.from,
                   ForwardAnswer{remote.forward_id, reply.run, std::move(reply.answer)});
    }
    pending_.erase(it);
    return Finish{std::move(reply)};
  }

  Table pending_;
  RequestHandle next_handle_ = 1;
};

Router::Router(RouterSettings settings) : impl_(std::make_unique<Impl>(std::move(settings))) {}
Router::~Router() = default;

Step Router::OnRequest(TimePoint now, IncomingRequest request, RequestHandle& handle) {
  return impl_->OnRequest(now, std::move(request), handle);
}
bool Router::MaySend(TimePoint now, RequestHandle handle, std::uint32_t /*attempt*/) {
  return impl_->MaySend(now, handle);
}
Step Router::OnAttempt(TimePoint now, RequestHandle handle, std::uint32_t attempt,
                       AttemptOutcome outcome) {
  return impl_->OnAttempt(now, handle, attempt, std::move(outcome));
}
void Router::OnCallerLeft(TimePoint now, RequestHandle handle) { impl_->OnCallerLeft(now, handle); }
void Router::OnMessage(TimePoint now, InstanceId from, Incarnation /*incarnation*/,
                       Message message) {
  impl_->OnMessage(now, from, std::move(message));
}
void Router::OnSendFailed(TimePoint /*now*/, InstanceId to, const Message& message) {
  impl_->OnSendFailed(to, message);
}
void Router::OnLogRecords(TimePoint /*now*/, std::int64_t /*unix_ms*/,
                          const std::vector<std::pair<std::uint64_t, std::string>>& records) {
  impl_->OnLogRecords(records);
}
void Router::Tick(TimePoint now) { impl_->Tick(now); }
void Router::Shutdown(TimePoint /*now*/) { impl_->shutting_down_ = true; }
bool Router::Ready(TimePoint /*now*/) const {
  return !impl_->shutting_down_ && impl_->state_.config()->version > 0;
}
std::vector<ReadyStep> Router::TakeReady() { return std::exchange(impl_->ready_, {}); }
std::vector<Envelope> Router::TakeEnvelopes() { return impl_->outbox_.Take(); }
const ControlState& Router::state() const noexcept { return impl_->state_; }
RouterCounters Router::counters() const noexcept { return impl_->counters_; }
std::size_t Router::requests_in_progress() const noexcept { return impl_->in_progress(); }

}  // namespace dogwoodport
