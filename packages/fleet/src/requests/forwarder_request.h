#pragma once

/// @file
/// State of one request in the forwarder; private to its sources.

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "dogwoodport/fleet/requests/forwarder.h"
#include "dogwoodport/fleet/requests/request_fingerprint.h"
#include "dogwoodport/net/http_status.h"

namespace dogwoodport::fleet {

/// Time to come back where nothing better is known.
inline constexpr Duration kDefaultRetry{300'000};
/// Time of a request at a service that has not served any yet.
inline constexpr Duration kUnknownLatency{100'000};

/// One request of a caller.
class Forwarder::Request : public Waiter,
                           public net::CallHandler,
                           public boost::intrusive_ref_counter<Request> {
 public:
  Request(Forwarder& forwarder, net::ExchangePtr call)
      : owner(forwarder), exchange(std::move(call)) {}

  void OnResponse(net::HttpResponse response) override {
    const RequestPtr keep(this);
    owner.OnAnswer(*this, std::move(response));
  }
  void OnFailure(net::CallFailure failure) override {
    const RequestPtr keep(this);
    owner.NoteLostAttempt(*this, failure);
    owner.OnBroken(*this, failure);
  }
  bool Accepts(const net::HttpResponse& response) override {
    const ResponseFields answer = owner.protocol_.ReadResponse(response);
    if (answer.request_id == caller.request_id) return true;
    owner.LogRequest(LogLevel::kWarning, "foreign_answer", *this,
                     {{"status", response.status}, {"answer_id", answer.request_id}});
    return false;
  }

  bool idempotent() const noexcept { return route->kind == RequestKind::kIdempotent; }
  /// The body is hashed at the first call only.
  Fingerprint fingerprint() const {
    if (!fingerprint_) fingerprint_ = FingerprintOf(exchange->request(), account);
    return *fingerprint_;
  }
  bool Tried(const std::string& id) const {
    return std::find(tried.begin(), tried.end(), id) != tried.end();
  }

  Forwarder& owner;
  net::ExchangePtr exchange;
  CallerFields caller;
  RoutingConfigPtr config;
  const Route* route = nullptr;
  std::string account;
  const Service* service = nullptr;
  /// The final answer is due at this time.
  TimePoint due_at{};
  TimePoint objective_at{};
  /// Targets that the request was sent to.
  std::vector<std::string> tried;
  int sends = 0;
  /// Whether a target may have run the request, or may do so later.
  bool may_have_run = false;
  /// After an owner denied that it holds the key: no send until the owners change or this time.
  TimePoint hold_back_until{};
  std::uint64_t denied_revision = 0;
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
