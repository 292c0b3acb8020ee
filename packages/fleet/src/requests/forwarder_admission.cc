// Admission of requests: route, client account, quarantine, service and tokens.

#include <algorithm>

#include "forwarder_request.h"

namespace dogwoodport::fleet {

namespace status = net::status;

namespace {

/// Retry-After time while this instance shuts down; other instances can take the retry.
constexpr Duration kShutdownRetryAfter{50'000};
/// Maximum wait for a token. Most lenders respond within a few milliseconds, but an instance that
/// has used up its CPU quota can be suspended for 100 ms.
constexpr Duration kMaxTokenWait{150'000};

}  // namespace

bool Forwarder::Admit(Request& request) {
  request.config = view_.config;
  const net::HttpRequest& http = request.exchange->request();
  if (refuses_new_requests_) {
    Refuse(request, status::kUnavailable, Refusal::kShuttingDown, kShutdownRetryAfter);
    return false;
  }
  if (!request.config) {
    Refuse(request, status::kUnavailable, Refusal::kNoConfiguration, kDefaultRetryAfter);
    return false;
  }
  const bool config_is_authoritative =
      now() - view_.config_verified_at <= settings_.max_authoritative_config_age;
  request.route = request.config->FindRoute(http.host, http.target);
  if (request.route == nullptr) {
    Refuse(request, config_is_authoritative ? status::kNotFound : status::kUnavailable,
           Refusal::kUnknownRoute, kDefaultRetryAfter);
    return false;
  }
  const bool needs_account = !request.route->is_public && request.config->requires_secrets();
  if (needs_account && !CheckSecret(request)) return false;
  if (RefuseQuarantined(request)) return false;
  if (request.caller.caller_timeout_malformed || request.caller.request_id.empty()) {
    Refuse(request, status::kBadRequest, Refusal::kMalformed, Duration{0});
    return false;
  }
  const TimePoint arrived = request.exchange->received_at();
  request.deadline = arrived + request.route->timeout;
  if (request.caller.caller_timeout) {
    request.deadline = std::min(request.deadline, arrived + *request.caller.caller_timeout);
  }
  if (stops_at_ && !request.idempotent() && request.deadline > *stops_at_) {
    Refuse(request, status::kUnavailable, Refusal::kShuttingDown, kShutdownRetryAfter);
    return false;
  }
  request.objective_at = arrived + request.route->latency_objective;
  request.service = request.config->FindService(ChooseService(*request.route));
  if (request.service == nullptr) {
    Refuse(request, status::kUnavailable, Refusal::kNoTarget, kDefaultRetryAfter);
    return false;
  }
  if (request.service->keyed && !request.caller.key) {
    Refuse(request, status::kBadRequest, Refusal::kMalformed, Duration{0});
    return false;
  }
  return true;
}

bool Forwarder::CheckSecret(Request& request) {
  const Duration age = now() - view_.config_verified_at;
  if (age > settings_.max_secret_age) {
    Refuse(request, status::kUnavailable, Refusal::kStaleSecrets, kDefaultRetryAfter);
    return false;
  }
  const Account* const account = request.caller.secret_malformed || !request.caller.secret
                                     ? nullptr
                                     : request.config->FindAccount(*request.caller.secret);
  if (account == nullptr) {
    const bool may_be_new = request.caller.secret && age > settings_.max_authoritative_config_age;
    Refuse(request, may_be_new ? status::kUnavailable : status::kUnauthorized,
           Refusal::kNotAuthorized, kDefaultRetryAfter);
    return false;
  }
  request.account = account->name;
  request.priority = account->priority.value_or(request.route->priority);
  return true;
}

Forwarder::TokenOutcome Forwarder::TryToken(Request& request, bool has_waited) {
  // The clock is read again: after a suspension the decision must not rely on an outdated time.
  const AccountTokens::Decision decision =
      view_.accounts.Admit(request.account, has_waited, loop_.Refresh());
  switch (decision.verdict) {
    case AccountTokens::Verdict::kAdmitted:
      return TokenOutcome::kTaken;
    case AccountTokens::Verdict::kWait:
      return TokenOutcome::kPending;
    case AccountTokens::Verdict::kOverLimit:
      Refuse(request, status::kTooManyRequests, Refusal::kOverAccountLimit, decision.retry_after);
      return TokenOutcome::kRefused;
    case AccountTokens::Verdict::kNoLender:
      Refuse(request, status::kUnavailable, Refusal::kRateUnknown, decision.retry_after);
      return TokenOutcome::kRefused;
  }
  return TokenOutcome::kRefused;
}

bool Forwarder::TakeToken(Request& request) {
  if (request.account.empty()) return true;
  const TokenOutcome outcome = TryToken(request, false);
  if (outcome != TokenOutcome::kPending) return outcome == TokenOutcome::kTaken;
  request.awaits_token = true;
  WaitingQueue& queue = token_queues_[request.account];
  queue.Push(request);
  view_.accounts.SetWaiting(request.account, queue.size());
  ArmTimer(request, std::min(request.deadline, now() + kMaxTokenWait));
  if (on_token_needed) on_token_needed();
  return false;
}

void Forwarder::OnTokensAvailable() {
  for (auto& [account, queue] : token_queues_) {
    queue.DispatchInOrder(
        [this](Waiter& waiter) {
          const RequestPtr request(&static_cast<Request&>(waiter));
          const TokenOutcome outcome = TryToken(*request, true);
          if (outcome == TokenOutcome::kPending) return false;
          request->unlink();
          request->awaits_token = false;
          if (outcome == TokenOutcome::kTaken) StartRequest(request);
          return true;
        },
        1);
    view_.accounts.SetWaiting(account, queue.size());
  }
  if (view_.target_limits.any()) DispatchWaiting();
}

std::string Forwarder::ChooseService(const Route& route) {
  double total_weight = 0;
  for (const Split& it : route.splits) total_weight += it.weight;
  double position = Random() * total_weight;
  std::string chosen;
  for (const Split& it : route.splits) {
    if (it.weight <= 0) continue;
    chosen = it.service;
    position -= it.weight;
    if (position < 0) break;
  }
  return chosen;
}

}  // namespace dogwoodport::fleet
