#pragma once

/// @file
/// All systems of one instance behind one interface of events and steps. The daemon, the replays
/// and the measurements run this class; it does no I/O and has no threads.

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "dogwoodport/core/control_state.h"
#include "dogwoodport/core/log_page.h"
#include "dogwoodport/core/membership.h"
#include "dogwoodport/core/message.h"
#include "dogwoodport/core/request.h"
#include "dogwoodport/core/route_matcher.h"
#include "dogwoodport/core/routing.h"
#include "dogwoodport/core/secret_store.h"
#include "dogwoodport/core/target_leases.h"
#include "dogwoodport/core/types.h"

namespace dogwoodport {

namespace detail {
class Systems;
}  // namespace detail

/// Number of a request at this instance; chosen by the router.
using RequestHandle = std::uint64_t;

/// Another instance as the settings name it.
struct RouterPeer {
  InstanceId id;
  DataCentreId data_centre;
};

struct RouterSettings {
  std::string instance;
  std::string data_centre;
  InstanceId self;
  Incarnation incarnation;
  DataCentreId own_data_centre;
  std::vector<RouterPeer> peers;
  /// Longest deadline that a caller may ask for.
  Duration max_deadline{60'000'000};
  /// Requests that wait for a target or an owner at once; further ones are refused.
  std::size_t max_waiting = 1024;
  SecretSettings secrets;
};

/// Send the request to a target and report the outcome with the same handle and attempt.
struct SendToTarget {
  RequestHandle handle = 0;
  std::uint32_t attempt = 0;
  TargetId target;
  std::string host;
  std::uint16_t port = 0;
  std::string request_id;
  /// The caller's request without secret and without the router's own fields.
  std::shared_ptr<const Request> request;
  /// Fields to add, such as `Dogwood-Epoch`.
  std::vector<HeaderField> fields;
  /// The attempt is given up by then.
  TimePoint deadline;
  bool force_new_connection = false;
  /// Whether the attempt may be cut short when the caller leaves.
  bool cancellable = true;
};

/// A later event gives the next step, at the latest at `until`; see `Router::TakeReady`.
struct WaitForStep {
  TimePoint until;
};

/// The request is finished; its handle is no longer valid.
struct Finish {
  Reply reply;
};

using Step = std::variant<SendToTarget, WaitForStep, Finish>;

/// A step of a request that waited, or of one that another instance forwarded.
struct ReadyStep {
  RequestHandle handle = 0;
  Step step;
};

/// A target's whole answer.
struct TargetAnswered {
  Answer answer;
  Duration latency{0};
  bool new_connection = false;
};

/// Why an attempt brought no answer.
enum class AttemptFault {
  /// `MaySend` was false.
  kNotAllowed,
  kConnectFailed,
  kTimeout,
  /// The connection ended before a whole answer.
  kConnectionLost,
  /// The answer was malformed, too large or that of another request.
  kBrokenAnswer,
  kCallerLeft,
  /// This instance has no thread for it.
  kOverloaded,
};

struct TargetFailed {
  AttemptFault fault = AttemptFault::kConnectFailed;
  RunState run = RunState::kNo;
  bool new_connection = false;
  std::string text;
  /// After the loss of a connection: whether the target refuses new ones, so that its process has
  /// ended.
  bool target_gone = false;
};

using AttemptOutcome = std::variant<TargetAnswered, TargetFailed>;

/// A request as it comes from a caller of this instance.
struct IncomingRequest {
  std::string request_id;
  Request request;
};

/// Read the health and the load of a target on a new connection and report them.
struct ProbeTarget {
  TargetId target;
  std::string host;
  std::uint16_t port = 0;
};

/// Send grants to a target and report its answer.
struct SendGrants {
  std::string host;
  std::uint16_t port = 0;
  GrantRequest request;
  /// Names of the services in `request`, in the order of its grants.
  std::vector<std::string> services;
};

/// What the router asks its caller to do besides sending messages and steps.
struct RouterWork {
  std::vector<LogRequest> log;
  std::vector<ProbeTarget> probes;
  std::vector<SendGrants> grants;
  /// Requests whose running attempt is to be cut short.
  std::vector<RequestHandle> cancelled;
};

/// Totals since the start, for the metrics.
struct RouterCounters {
  std::uint64_t requests = 0;
  std::uint64_t refused = 0;
  std::uint64_t forwarded = 0;
  std::uint64_t forwarded_in = 0;
  std::uint64_t attempts = 0;
  std::uint64_t retries = 0;
  std::uint64_t connections_lost = 0;
};

/// Decides everything about requests at one instance. Not thread-safe.
///
/// @code
/// Step step = router.OnRequest(now, std::move(request), handle);
/// if (auto* send = std::get_if<SendToTarget>(&step)) ...
/// @endcode
class Router {
 public:
  Router(RouterSettings settings, TimePoint now);
  ~Router();
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  /// Takes a caller's request and returns its first step; sets `handle`.
  Step OnRequest(TimePoint now, IncomingRequest request, RequestHandle& handle);

  /// Returns whether the attempt may be written now. Call it directly before the first byte.
  bool MaySend(TimePoint now, RequestHandle handle, std::uint32_t attempt);

  /// Takes the outcome of an attempt and returns the request's next step.
  Step OnAttempt(TimePoint now, RequestHandle handle, std::uint32_t attempt,
                 AttemptOutcome outcome);

  /// The caller of a waiting request has left. Returns whether the request was given up; an order
  /// is not.
  bool OnCallerLeft(TimePoint now, RequestHandle handle);

  void OnMessage(TimePoint now, InstanceId from, Incarnation incarnation, Message message);

  /// A message could not be sent.
  void OnSendFailed(TimePoint now, InstanceId to, const Message& message);

  /// Outcomes of `RouterWork`.
  void OnLogRead(TimePoint now, std::uint64_t id, const LogPage& page);
  void OnLogReadFailed(TimePoint now, std::uint64_t id, LogFailure failure);
  void OnLogAppended(TimePoint now, std::uint64_t id);
  void OnLogAppendFailed(TimePoint now, std::uint64_t id, LogFailure failure);
  void OnHealth(TimePoint now, TargetId target, const HealthReport& report);
  void OnLoad(TimePoint now, TargetId target, std::uint32_t in_flight, Duration age);
  void OnGrantReply(TimePoint now, const GrantReply& reply);
  void OnPlatformList(TimePoint now, const std::vector<PlatformMember>& list);

  /// Advances everything that depends on time. Call it every 10 ms. `unix_ms` is the wall clock.
  void Tick(TimePoint now, std::int64_t unix_ms);

  /// Reports not ready from now on; running and arriving requests are still served.
  void BeginShutdown(TimePoint now);

  /// Gives up permits and tokens. Call when no request is left.
  void Shutdown(TimePoint now);

  /// Returns whether the instance can serve.
  bool Ready(TimePoint now) const;

  std::vector<ReadyStep> TakeReady();
  std::vector<Envelope> TakeEnvelopes();
  RouterWork TakeWork();

  const ControlState& state() const noexcept;
  /// The systems, for the operators' pages and tests.
  detail::Systems& systems() noexcept;
  const detail::Systems& systems() const noexcept;
  RouterCounters counters() const noexcept;
  std::size_t requests_in_progress() const noexcept;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dogwoodport
