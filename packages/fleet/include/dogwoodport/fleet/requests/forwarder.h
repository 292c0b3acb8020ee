#pragma once

/// @file
/// Request life cycle: admission, target selection, sending, retries and response.

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <unordered_map>

#include "dogwoodport/fleet/event_log.h"
#include "dogwoodport/fleet/overload/waiting_queue.h"
#include "dogwoodport/fleet/requests/fleet_view.h"
#include "dogwoodport/fleet/requests/request_metrics.h"
#include "dogwoodport/fleet/routing/target_subset.h"
#include "dogwoodport/fleet/target_protocol.h"
#include "dogwoodport/net/connection_pool.h"
#include "dogwoodport/net/http_server.h"

namespace dogwoodport::fleet {

/// Reason why the router refused a request or ended it without a response of a target.
enum class Refusal {
  kNoConfiguration,
  kUnknownRoute,
  kNotAuthorized,
  kStaleSecrets,
  kMalformed,
  kOverAccountLimit,
  kNoTarget,
  kOverloaded,
  kTimedOut,
  kTargetFailed,
  kShuttingDown,
  kQuarantined,
  /// No token lender is reachable, so it is unknown whether the account is within its rate.
  kRateUnknown,
  /// The only suitable target has named a limit, which has no room in time.
  kTargetLimited,
};
inline constexpr std::size_t kRefusalCount = 14;

/// Settings of the data path.
struct ForwarderSettings {
  /// Maximum age of the configuration at which secrets are still checked against it. If it is
  /// older, requests that need an account are refused.
  Duration max_secret_age{4'700'000};
  /// Maximum age of the configuration at which an unknown route or secret is rejected for good
  /// (404, 401). If it is older, the route or secret may have been added since, and the response is
  /// 503.
  Duration max_authoritative_config_age{1'800'000};
  /// Number of waiting requests without a suitable target after which a dispatch round ends.
  std::size_t max_dispatch_failures = 8;
  /// Fraction of a target's connections that all instances together may open. The rest is reserved
  /// for health probes, for connections that are being closed and for instances that are not known
  /// yet.
  double connection_share = 0.85;
  /// Memory budget for response bodies that are being received, over all connections.
  std::size_t response_body_bytes = net::BodyBudget::kDefaultBytes;
  /// Number of requests beyond its slots that are sent to the owner of a key. No other target can
  /// serve them, and a slot that becomes free is reused at once if they already wait at the owner.
  double owner_overcommit = 2;
  SelectorSettings selector;
  SubsetSettings subset;
};

/// Counters of the data path, by outcome.
struct ForwarderCounters {
  std::uint64_t requests = 0;
  std::uint64_t responses = 0;
  std::uint64_t retries = 0;
  /// Attempts whose connection broke or that got no valid response.
  std::uint64_t lost_attempts = 0;
  /// Responses with the id of another request.
  std::uint64_t foreign_responses = 0;
  std::uint64_t abandoned = 0;
  std::array<std::uint64_t, kRefusalCount> refusals{};
};

/// Returns the name of a reason for logs, metrics and responses.
const char* NameOf(Refusal refusal) noexcept;

class Forwarder {
 public:
  Forwarder(net::EventLoop& loop, FleetView& view, const TargetProtocol& protocol, EventLog& log,
            ForwarderSettings settings, std::uint64_t seed);
  ~Forwarder();
  Forwarder(const Forwarder&) = delete;
  Forwarder& operator=(const Forwarder&) = delete;

  /// Called when a response of a target announces for the first time that the target is leaving.
  std::function<void(const std::string& id)> on_target_leaving;
  /// Called when a request starts to wait for a token of its account or of its target.
  std::function<void()> on_token_needed;

  /// Handles a request of a caller.
  void Handle(const net::ExchangePtr& exchange);

  /// Admits requests that wait for a token, while tokens are available. Called when tokens may have
  /// arrived.
  void OnTokensAvailable();

  /// Requests tokens of the targets that have named a limit, for the requests that wait for them.
  void RequestTargetTokens();

  /// Sends the waiting requests for which a target is now available. Called when targets, owners or
  /// the configuration have changed.
  void DispatchWaiting();

  /// Closes connections that have exceeded their idle timeout.
  void Maintain();

  /// Called before the process stops, at `end` at the latest. Slow attempts are then no longer
  /// replaced by a new one, and requests that may not be repeated are refused if their deadline is
  /// later.
  void SetStopping(TimePoint end) noexcept { stops_at_ = end; }

  void SetMaxSecretAge(Duration age) noexcept { settings_.max_secret_age = age; }

  /// Refuses all new requests from now on, because the process may end before their responses.
  void RefuseNewRequests() noexcept { refuses_new_requests_ = true; }

  const ForwarderCounters& counters() const noexcept { return counters_; }
  const RequestMetrics& metrics() const noexcept { return metrics_; }
  std::size_t waiting() const;
  std::uint64_t connections_opened() const noexcept { return pool_.opened(); }
  /// Number of idle connections on which a target has sent bytes.
  std::uint64_t unsolicited_responses() const noexcept { return pool_.unsolicited(); }
  /// Returns the typical latency of a service, or zero if it has not served a request yet.
  Duration TypicalLatency(const std::string& service) const;

 private:
  class Request;
  using RequestPtr = boost::intrusive_ptr<Request>;
  struct ServiceState {
    WaitingQueue queue;
    /// Targets in the subset of this instance, and the others, which are used when no target of the
    /// subset can take a request. Computed for the directory version and the withdrawn data centres
    /// below.
    std::vector<const Target*> preferred;
    std::vector<const Target*> fallback;
    std::uint64_t directory_version = 0;
    std::set<std::string> withdrawn_data_centres;
    RateMeter completions;
    Duration latency{0};
  };
  enum class Placement {
    kFound,
    kNoCapacity,
    kNoTarget,
    /// The owner of the key has named a limit, and this instance has no token for it.
    kLimited,
  };

  bool Admit(Request& request);
  /// Finds the account of the request's secret. Refuses the request if there is none.
  bool CheckSecret(Request& request);
  /// Takes a token of the request's account, or refuses the request. Returns false if the request
  /// was refused or has to wait for a token.
  bool TakeToken(Request& request);
  enum class TokenOutcome { kTaken, kRefused, kPending };
  TokenOutcome TryToken(Request& request, bool has_waited);
  std::string ChooseService(const Route& route);
  void StartRequest(const RequestPtr& request);
  Placement TrySend(Request& request);
  Placement Place(const Request& request, const Target*& target);
  /// If the owner is limited, `target` is set as well.
  Placement PlaceAtOwner(const Request& request, const Target*& target);
  Placement PlaceAtAny(const Request& request, const Target*& target);
  /// Chooses the best of `targets` that the request may be sent to.
  Placement PlaceAmong(const Request& request, const std::vector<const Target*>& targets,
                       const Target*& target);
  /// Updates `preferred` and `fallback` of a service if the directory or the withdrawn data centres
  /// have changed.
  void PartitionTargets(const std::string& service, ServiceState& state) const;
  Candidate MakeCandidate(const Target& target);
  void Send(Request& request, const Target& target);
  void SetUrgency(Request& request);
  void Enqueue(Request& request, Placement placement);
  /// Refuses a request that waits for the owner of its key if the owner's limit has no room in
  /// time, with `ahead` waiting requests before it. Returns whether it was refused.
  bool RefuseLimited(Request& request, std::size_t ahead);
  void RejectLimited(Request& request, std::size_t ahead);
  /// Uses a token of the target if it has named a limit.
  bool TakeTargetToken(const Target& target);
  void OnTargetResponse(Request& request, net::HttpResponse response);
  void OnNotExecuted(Request& request, const net::HttpResponse& response);
  /// Reports to the quarantine that the current attempt ended without a response. `failure` is
  /// unset if this instance aborted the attempt.
  void RecordLostAttempt(const Request& request, std::optional<net::CallFailure> failure);
  bool IsQuarantined(const Request& request) const;
  /// Refuses the request if it is in quarantine. Returns whether it was refused.
  bool RefuseQuarantined(Request& request);
  void OnAttemptFailed(Request& request, net::CallFailure failure);
  /// Schedules `OnTimer` at `at`, replacing the previous schedule.
  void ArmTimer(Request& request, TimePoint at);
  void OnTimer(Request& request);
  void OnAbandoned(Request& request);
  /// Returns whether the request may be retried. `reached_target` tells that the previous attempt
  /// reached a target; the retry then takes a token of the retry budget.
  bool MayRetry(const Request& request, bool reached_target);
  bool Retry(Request& request, bool reached_target);
  /// Returns this instance's share of the connections that a target of the service accepts.
  std::size_t MaxConnections(const Service& service) const;
  /// Whether an idle connection to the target exists, or this instance's share of the target's
  /// connections allows a new one.
  bool HasConnectionCapacity(const Target& target, const Service& service) const;
  void EndAttempt(Request& request, SendResult result);
  /// Updates the load, back-off, limit and leaving state of the target from a response.
  void ApplyResponseFields(const Request& request, const ResponseFields& response_fields,
                           int response_status);
  /// Ends a request without a response of a target. The status is 503 if the request has certainly
  /// not run. Otherwise it is 502 or, after a timeout, 504, which do not tell whether it has run.
  void RejectRequest(Request& request, Refusal refusal, Duration retry_after);
  void Refuse(Request& request, int code, Refusal refusal, Duration retry_after);
  void Finish(Request& request, net::HttpResponse response, const char* outcome);
  void DispatchService(const std::string& service);
  /// Returns the fields of a message that are forwarded.
  net::Fields EndToEndFields(const net::Fields& fields) const;
  void RecordOutcome(const Request& request, const char* outcome);
  void LogRequest(LogLevel level, const char* event, const Request& request, nlohmann::json fields);
  TimePoint now() const noexcept { return loop_.now(); }
  double Random() { return std::uniform_real_distribution<double>()(random_); }

  net::EventLoop& loop_;
  FleetView& view_;
  const TargetProtocol& protocol_;
  EventLog& log_;
  ForwarderSettings settings_;
  net::ConnectionPool pool_;
  std::mt19937_64 random_;
  std::unordered_map<std::string, ServiceState> services_;
  /// Requests that wait for a token, by account.
  std::map<std::string, WaitingQueue> token_queues_;
  /// Longest timeout that a caller has sent for a route; taken as the timeout of a first attempt.
  std::unordered_map<std::string, Duration> max_caller_timeouts_;
  ForwarderCounters counters_;
  RequestMetrics metrics_;
  bool dispatching_ = false;
  /// Set while the process stops.
  std::optional<TimePoint> stops_at_;
  bool refuses_new_requests_ = false;
};

}  // namespace dogwoodport::fleet
