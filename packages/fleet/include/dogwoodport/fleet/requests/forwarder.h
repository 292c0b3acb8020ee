#pragma once

/// @file
/// Life of a request: admission, choice of a target, sending, repetition, answer.

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

/// Why the router itself ended a request.
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
  /// No lender of tokens can be reached, so that nobody knows whether the account is within its
  /// rate.
  kRateUnknown,
};
inline constexpr std::size_t kRefusals = 13;

/// Times of the data path.
struct ForwarderSettings {
  /// Age of the configuration from which on it decides nothing about secrets.
  Duration longest_secret_age{4'700'000};
  /// Age from which on an unknown route or secret may be one that was added meanwhile.
  Duration unknown_is_final{1'800'000};
  /// Waiting requests that may miss before a round of offers ends.
  std::size_t most_misses = 8;
  /// Part of a target's connections that the instances together may open; the rest is left for
  /// probes, for connections that are being closed and for instances that are not known yet.
  double connection_share = 0.85;
  /// Memory for the bodies of answers that are being received, over all connections.
  std::size_t answer_bytes = net::BodyBudget::kDefaultBytes;
  /// Requests beyond its slots that the owner of a key is given. No other target can serve them,
  /// and while they wait there a slot that becomes free is used at once.
  double owner_overcommit = 2;
  SelectorSettings selector;
  SubsetSettings subset;
};

/// Counters of the data path, by outcome.
struct ForwarderCounters {
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;
  std::uint64_t retries = 0;
  /// Sends whose connection broke, or that got no usable answer.
  std::uint64_t lost_attempts = 0;
  std::uint64_t abandoned = 0;
  std::array<std::uint64_t, kRefusals> refusals{};
};

/// Name of a reason for logs, metrics and answers.
const char* NameOf(Refusal refusal) noexcept;

class Forwarder {
 public:
  Forwarder(net::EventLoop& loop, FleetView& view, const TargetProtocol& protocol, EventLog& log,
            ForwarderSettings settings, std::uint64_t seed);
  ~Forwarder();
  Forwarder(const Forwarder&) = delete;
  Forwarder& operator=(const Forwarder&) = delete;

  /// A target has said in an answer, for the first time, that it leaves.
  std::function<void(const std::string& id)> on_target_leaving;
  /// A request waits for a token of its account.
  std::function<void()> on_token_needed;

  /// Takes a request of a caller.
  void Handle(const net::ExchangePtr& exchange);

  /// Admits the requests that wait for a token, as far as there are any; called when tokens may
  /// have arrived.
  void OnTokens();

  /// Offers the waiting requests again; called when targets, owners or the configuration changed.
  void Offer();

  /// Closes idle connections and drops those to addresses that are no longer used.
  void Maintain();

  /// The process is about to stop: attempts that are under way are not replaced any more.
  void SetStopping() noexcept { stopping_ = true; }

  void SetLongestSecretAge(Duration age) noexcept { settings_.longest_secret_age = age; }

  /// Refuses all requests from now on, because the process may end before their answers.
  void Close() noexcept { closed_ = true; }

  const ForwarderCounters& counters() const noexcept { return counters_; }
  const RequestMetrics& metrics() const noexcept { return metrics_; }
  std::size_t waiting() const;
  std::uint64_t connections_opened() const noexcept { return pool_.opened(); }
  /// Usual time of a request at a service; zero if none was served yet.
  Duration UsualLatency(const std::string& service) const;

 private:
  class Request;
  using RequestPtr = boost::intrusive_ptr<Request>;
  struct ServiceState {
    WaitingQueue queue;
    /// Targets that are used first and those that take what the first have no room for, as of this
    /// version of the directory and these withdrawn data centres.
    std::vector<const Target*> first;
    std::vector<const Target*> rest;
    std::uint64_t directory_version = 0;
    std::set<std::string> withdrawn;
    RateMeter completions;
    Duration latency{0};
  };
  enum class Placement { kFound, kNoRoom, kNoTarget };

  bool Admit(Request& request);
  /// Finds the account of the request's secret; refuses the request if there is none.
  bool CheckSecret(Request& request);
  /// Takes a token of the request's account, or refuses the request. If neither is possible yet,
  /// the request waits and the result is false.
  bool TakeToken(Request& request);
  enum class TokenOutcome { kTaken, kRefused, kNone };
  TokenOutcome TryToken(Request& request, bool again);
  std::string ChooseService(const Route& route);
  void Start(const RequestPtr& request);
  Placement TrySend(Request& request);
  Placement Place(const Request& request, const Target*& target);
  Placement PlaceAtOwner(const Request& request, const Target*& target);
  Placement PlaceAtAny(const Request& request, const Target*& target);
  /// Looks at the targets in `targets` that the request may be sent to.
  Placement PlaceAmong(const Request& request, const std::vector<const Target*>& targets,
                       const Target*& target);
  /// Divides the targets of a service into those that this instance uses first and the rest, unless
  /// nothing has changed since.
  void DivideTargets(const std::string& service, ServiceState& state) const;
  Candidate Describe(const Target& target);
  void Send(Request& request, const Target& target);
  void SetUrgency(Request& request);
  void Wait(Request& request, Placement placement);
  void OnAnswer(Request& request, net::HttpResponse response);
  void OnNotRun(Request& request, const net::HttpResponse& response);
  /// The present attempt ended without an answer; `failure` is unset if it was given up.
  void NoteLostAttempt(const Request& request, std::optional<net::CallFailure> failure);
  bool IsQuarantined(const Request& request) const;
  /// Refuses the request if it is in quarantine; returns whether it is.
  bool RefuseQuarantined(Request& request);
  void OnBroken(Request& request, net::CallFailure failure);
  /// Calls `OnTimer` at `at`, instead of at the time set before.
  void ArmTimer(Request& request, TimePoint at);
  void OnTimer(Request& request);
  void OnAbandoned(Request& request);
  /// Takes the right to send the request once more. `arrived` tells that the attempt before reached
  /// a target, which makes the next one count against the budget.
  bool MayRepeat(const Request& request, bool arrived);
  bool Repeat(Request& request, bool arrived);
  /// Whether this instance's part of a target's connections has one for another request.
  bool HasConnection(const Target& target, const Service& service) const;
  void EndAttempt(Request& request, SendResult result);
  /// Takes note of what an answer says of its target.
  void Observe(const Request& request, const ResponseFields& answer);
  /// Ends a request without an answer of a target. The status follows from what may have happened:
  /// 503 promises that it has not run, 502 and 504 promise nothing.
  void GiveUp(Request& request, Refusal refusal, Duration retry_after);
  void Refuse(Request& request, int code, Refusal refusal, Duration retry_after);
  void Finish(Request& request, net::HttpResponse response, const char* outcome);
  void OfferService(const std::string& service);
  void CountEnd(const Request& request, const char* outcome);
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
  /// Longest time that callers of a route have been willing to wait: that of a first try.
  std::unordered_map<std::string, Duration> longest_patience_;
  ForwarderCounters counters_;
  RequestMetrics metrics_;
  bool offering_ = false;
  bool stopping_ = false;
  bool closed_ = false;
};

}  // namespace dogwoodport::fleet
