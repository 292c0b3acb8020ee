// Whether the forwarder takes a request: route, client account, quarantine, service.

#include <algorithm>

#include "forwarder_request.h"

namespace dogwoodport::fleet {

namespace status = net::status;

namespace {

/// Time to come back to another instance after one that shuts down.
constexpr Duration kShutDownRetry{50'000};

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
  if (needs_account && !CheckRate(request)) return false;
  if (request.caller.patience_malformed || request.caller.request_id.empty()) {
    Refuse(request, status::kBadRequest, Refusal::kMalformed, Duration{0});
    return false;
  }
  const TimePoint arrived = request.exchange->received_at();
  request.due_at = arrived + request.route->timeout;
  if (request.caller.patience) {
    request.due_at = std::min(request.due_at, arrived + *request.caller.patience);
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

bool Forwarder::CheckRate(Request& request) {
  const AccountLimiter::Decision decision = view_.accounts.Admit(request.account, now());
  if (decision.admitted) return true;
  Refuse(request, status::kTooManyRequests, Refusal::kOverAccountLimit, decision.retry_after);
  return false;
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
