// Whether the forwarder takes a request: route, client account, quarantine, service.

#include <algorithm>

#include "forwarder_request.h"

namespace dogwoodport::fleet {

namespace status = net::status;

namespace {

/// Time to come back to another instance after one that shuts down.
constexpr Duration kShutDownRetry{50'000};
/// Longest wait for a token. Most answers of a lender take some milliseconds; a machine that has
/// used up its share of the processor may stand still for a tenth of a second.
constexpr Duration kLongestTokenWait{150'000};

}  // namespace

bool Forwarder::Admit(Request& request) {
  request.config = view_.config;
  const net::HttpRequest& http = request.exchange->request();
  if (closed_) {
    Refuse(request, status::kUnavailable, Refusal::kShuttingDown, kShutDownRetry);
    return false;
  }
  if (!request.config) {
    Refuse(request, status::kUnavailable, Refusal::kNoConfiguration, kDefaultRetry);
    return false;
  }
  const bool current = now() - view_.config_verified_at <= settings_.unknown_is_final;
  request.route = request.config->FindRoute(http.host, http.target);
  if (request.route == nullptr) {
    Refuse(request, current ? status::kNotFound : status::kUnavailable, Refusal::kUnknownRoute,
           kDefaultRetry);
    return false;
  }
  const bool needs_account = !request.route->is_public && request.config->has_accounts();
  if (needs_account && !CheckSecret(request)) return false;
  if (RefuseQuarantined(request)) return false;
  if (request.caller.caller_timeout_malformed || request.caller.request_id.empty()) {
    Refuse(request, status::kBadRequest, Refusal::kMalformed, Duration{0});
    return false;
  }
  const TimePoint arrived = request.exchange->received_at();
  request.due_at = arrived + request.route->timeout;
  if (request.caller.caller_timeout) {
    request.due_at = std::min(request.due_at, arrived + *request.caller.caller_timeout);
  }
  request.objective_at = arrived + request.route->latency_objective;
  request.service = request.config->FindService(ChooseService(*request.route));
  if (request.service == nullptr) {
    Refuse(request, status::kUnavailable, Refusal::kNoTarget, kDefaultRetry);
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
  if (age > settings_.longest_secret_age) {
    Refuse(request, status::kUnavailable, Refusal::kStaleSecrets, kDefaultRetry);
    return false;
  }
  const Account* const account = request.caller.secret_malformed || !request.caller.secret
                                     ? nullptr
                                     : request.config->FindAccount(*request.caller.secret);
  if (account == nullptr) {
    const bool may_be_new = request.caller.secret && age > settings_.unknown_is_final;
    Refuse(request, may_be_new ? status::kUnavailable : status::kUnauthorized,
           Refusal::kNotAuthorized, kDefaultRetry);
    return false;
  }
  request.account = account->name;
  request.priority = account->priority.value_or(request.route->priority);
  return true;
}

Forwarder::TokenOutcome Forwarder::TryToken(Request& request, bool again) {
  // A token must not be used by a decision that a suspension has made old.
  const AccountTokens::Decision decision =
      view_.accounts.Admit(request.account, again, loop_.Refresh());
  switch (decision.verdict) {
    case AccountTokens::Verdict::kAdmitted:
      return TokenOutcome::kTaken;
    case AccountTokens::Verdict::kWait:
      return TokenOutcome::kNone;
    case AccountTokens::Verdict::kOverLimit:
      Refuse(request, status::kTooManyRequests, Refusal::kOverAccountLimit, decision.retry_after);
      return TokenOutcome::kRefused;
    case AccountTokens::Verdict::kUnknown:
      Refuse(request, status::kUnavailable, Refusal::kRateUnknown, decision.retry_after);
      return TokenOutcome::kRefused;
  }
  return TokenOutcome::kRefused;
}

bool Forwarder::TakeToken(Request& request) {
  if (request.account.empty()) return true;
  const TokenOutcome outcome = TryToken(request, false);
  if (outcome != TokenOutcome::kNone) return outcome == TokenOutcome::kTaken;
  request.awaits_token = true;
  WaitingQueue& queue = token_queues_[request.account];
  queue.Push(request);
  view_.accounts.SetWaiting(request.account, queue.size());
  ArmTimer(request, std::min(request.due_at, now() + kLongestTokenWait));
  if (on_token_needed) on_token_needed();
  return false;
}

void Forwarder::OnTokens() {
  for (auto& [account, queue] : token_queues_) {
    queue.DispatchInOrder(
        [this](Waiter& waiter) {
          const RequestPtr request(&static_cast<Request&>(waiter));
          const TokenOutcome outcome = TryToken(*request, true);
          if (outcome == TokenOutcome::kNone) return false;
          request->unlink();
          request->awaits_token = false;
          if (outcome == TokenOutcome::kTaken) Start(request);
          return true;
        },
        1);
    view_.accounts.SetWaiting(account, queue.size());
  }
}

std::string Forwarder::ChooseService(const Route& route) {
  double total = 0;
  for (const Split& it : route.splits) total += it.weight;
  double at = Random() * total;
  for (const Split& it : route.splits) {
    at -= it.weight;
    if (at < 0) return it.service;
  }
  return route.splits.empty() ? "" : route.splits.back().service;
}

}  // namespace dogwoodport::fleet
