#pragma once

/// @file
/// State of one request in the forwarder. Private header of the forwarder sources.

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "dogwoodport/fleet/requests/forwarder.h"
#include "dogwoodport/fleet/requests/request_fingerprint.h"
#include "dogwoodport/net/http_status.h"

namespace dogwoodport::fleet {

/// Default Retry-After time.
inline constexpr Duration kDefaultRetryAfter{300'000};
/// Assumed latency of a service that has not served a request yet.
inline constexpr Duration kDefaultLatency{100'000};

/// A request of a caller.
class Forwarder::Request : public Waiter,
                           public net::CallHandler,
                           public boost::intrusive_ref_counter<Request> {
 public:
  Request(Forwarder& owning_forwarder, net::ExchangePtr call)
      : forwarder(owning_forwarder), exchange(std::move(call)) {}

  void OnResponse(net::HttpResponse response) override {
    const RequestPtr lifetime_guard(this);
    forwarder.OnTargetResponse(*this, std::move(response));
  }
  void OnFailure(net::CallFailure failure) override {
    const RequestPtr lifetime_guard(this);
    forwarder.RecordLostAttempt(*this, failure);
    forwarder.OnAttemptFailed(*this, failure);
  }
  net::ResponseMatch Match(const net::HttpResponse& response) override {
    const ResponseFields fields = forwarder.protocol_.ReadResponse(response);
    if (fields.request_id == caller.request_id) return net::ResponseMatch::kOwn;
    ++forwarder.counters_.foreign_responses;
    forwarder.LogRequest(LogLevel::kWarning, "foreign_answer", *this,
                         {{"status", response.status}, {"answer_id", fields.request_id}});
    return net::ResponseMatch::kForeign;
  }

  bool IsSuccess(const net::HttpResponse& response) const override {
    const ResponseFields fields = forwarder.protocol_.ReadResponse(response);
    return CallHandler::IsSuccess(response) && fields.has_signature && !fields.not_run;
  }

  bool idempotent() const noexcept { return route->kind == RequestKind::kIdempotent; }
  /// Computed at the first call and cached, because it hashes the body.
  Fingerprint fingerprint() const {
    if (!fingerprint_) fingerprint_ = FingerprintOf(exchange->request(), account);
    return *fingerprint_;
  }
  bool Tried(const std::string& id) const {
    return std::find(tried_targets.begin(), tried_targets.end(), id) != tried_targets.end();
  }

  Forwarder& forwarder;
  net::ExchangePtr exchange;
  CallerFields caller;
  RoutingConfigPtr config;
  const Route* route = nullptr;
  std::string account;
  const Service* service = nullptr;
  /// Deadline of the response to the caller.
  TimePoint deadline{};
  TimePoint objective_at{};
  /// Ids of the targets that the request was sent to.
  std::vector<std::string> tried_targets;
  int send_count = 0;
  /// Whether a target may have run the request, or may still do so.
  bool may_have_run = false;
  /// Set after a target refused the request as not its own or for lack of capacity. A keyed request
  /// is not sent before this time, unless the owners change earlier.
  TimePoint hold_back_until{};
  /// Revision of the key owners at the time of this refusal.
  std::uint64_t denied_revision = 0;
  /// Set while the request waits for a token of this target.
  std::optional<TargetIncarnation> limited_by;
  std::string target_id;
  std::uint64_t target_incarnation = 0;
  net::ClientConnectionPtr connection;
  TimePoint sent_at{};
  net::TimerId timer;
  bool ended = false;
  bool awaits_token = false;

 private:
  mutable std::optional<Fingerprint> fingerprint_;
};

}  // namespace dogwoodport::fleet
