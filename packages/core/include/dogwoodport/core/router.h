#pragma once

/// @file
/// Facade over all subsystems of one instance, driven by events. Used by the daemon, the replays
/// and the measurements. Performs no I/O and has no threads.

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

/// Identifier of a request at this instance, assigned by the router.
using RequestHandle = std::uint64_t;

/// Another configured instance.
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
  /// Maximum time until the deadline that a caller may request.
  Duration max_deadline{60'000'000};
  /// Maximum number of requests that wait for a target or an owner at the same time. Further ones
  /// are refused.
  std::size_t max_waiting = 1024;
  SecretSettings secrets;
};

/// Instruction to send the request to a target and to report the outcome with the same handle and
/// attempt.
struct SendToTarget {
  RequestHandle handle = 0;
  std::uint32_t attempt = 0;
  TargetId target;
  std::string host;
  std::uint16_t port = 0;
  std::string request_id;
  /// The request without its secret and without fields that are reserved for the router.
  std::shared_ptr<const Request> request;
  /// Header fields to add, such as `Dogwood-Epoch`.
  std::vector<HeaderField> fields;
  /// Time at which the attempt is aborted.
  TimePoint deadline;
  bool force_new_connection = false;
  /// Whether the attempt may be aborted if the caller disconnects.
  bool cancellable = true;
};

/// The request waits. A later event provides the next step, at the latest at `until`; see
/// `Router::TakeReady`.
struct WaitForStep {
  TimePoint until;
};

/// The request is finished; its handle is no longer valid.
struct Finish {
  Reply reply;
};

using Step = std::variant<SendToTarget, WaitForStep, Finish>;

/// Next step of a request that waited, or of one forwarded by another instance.
struct ReadyStep {
  RequestHandle handle = 0;
  Step step;
};

/// Complete response of a target.
struct TargetAnswered {
  Answer answer;
  Duration latency{0};
  bool new_connection = false;
};

/// Reason why an attempt produced no response.
enum class AttemptFault {
  /// `MaySend` returned false.
  kNotAllowed,
  kConnectFailed,
  kTimeout,
  /// The connection was closed before the response was complete.
  kConnectionLost,
  /// The response was malformed, too large or belonged to another request.
  kBrokenAnswer,
  kCallerLeft,
  /// No thread of this instance was available.
  kOverloaded,
};

struct TargetFailed {
  AttemptFault fault = AttemptFault::kConnectFailed;
  RunState run = RunState::kNo;
  bool new_connection = false;
  std::string text;
  /// Set after the loss of a connection if the target refuses new connections, which means that its
  /// process has ended.
  bool target_gone = false;
};

using AttemptOutcome = std::variant<TargetAnswered, TargetFailed>;

/// A request received from a caller of this instance.
struct IncomingRequest {
  std::string request_id;
  Request request;
};

/// Instruction to read the health and the load of a target on a new connection and to report them.
struct ProbeTarget {
  TargetId target;
  std::string host;
  std::uint16_t port = 0;
};

/// Instruction to send grants to a target and to report its response.
struct SendGrants {
  std::string host;
  std::uint16_t port = 0;
  GrantRequest request;
  /// Names of the services in `request`, in the order of its grants.
  std::vector<std::string> services;
};

/// Actions requested by the router, apart from messages and request steps.
struct RouterWork {
  std::vector<LogRequest> log;
  std::vector<ProbeTarget> probes;
  std::vector<SendGrants> grants;
  /// Requests whose running attempt must be aborted.
  std::vector<RequestHandle> cancelled;
};

/// Totals since the start of the process, for the metrics.
struct RouterCounters {
  std::uint64_t requests = 0;
  std::uint64_t refused = 0;
  std::uint64_t forwarded = 0;
  std::uint64_t forwarded_in = 0;
  std::uint64_t attempts = 0;
  std::uint64_t retries = 0;
  std::uint64_t connections_lost = 0;
};

/// Makes all decisions about the requests of one instance. Not thread-safe.
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

  /// Accepts a request of a caller, sets `handle` and returns the first step.
  Step OnRequest(TimePoint now, IncomingRequest request, RequestHandle& handle);

  /// Returns whether the attempt may be sent now. Must be called directly before the first byte is
  /// written.
  bool MaySend(TimePoint now, RequestHandle handle, std::uint32_t attempt);

  /// Processes the outcome of an attempt and returns the next step of the request.
  Step OnAttempt(TimePoint now, RequestHandle handle, std::uint32_t attempt,
                 AttemptOutcome outcome);

  /// Handles the disconnection of the caller of a request. Returns the reply if the request has
  /// been dropped or is unknown; the caller may still read it. Orders are never dropped; a running
  /// attempt is only marked for cancellation.
  std::optional<Reply> OnCallerLeft(TimePoint now, RequestHandle handle);

  void OnMessage(TimePoint now, InstanceId from, Incarnation incarnation, Message message);

  /// Handles a message that could not be sent.
  void OnSendFailed(TimePoint now, InstanceId to, const Message& message);

  /// Process the outcomes of `RouterWork`.
  void OnLogRead(TimePoint now, std::uint64_t id, const LogPage& page);
  void OnLogReadFailed(TimePoint now, std::uint64_t id, LogFailure failure);
  void OnLogAppended(TimePoint now, std::uint64_t id);
  void OnLogAppendFailed(TimePoint now, std::uint64_t id, LogFailure failure);
  void OnHealth(TimePoint now, TargetId target, const HealthReport& report);
  void OnLoad(TimePoint now, TargetId target, std::uint32_t in_flight, Duration age);
  void OnGrantReply(TimePoint now, const GrantReply& reply);
  void OnPlatformList(TimePoint now, const std::vector<PlatformMember>& list);

  /// Processes everything that depends on time. Must be called every 10 ms. `unix_ms` is the
  /// wall-clock time.
  void Tick(TimePoint now, std::int64_t unix_ms);

  /// Makes `Ready` return false from now on. Requests in progress and new ones are still served.
  void BeginShutdown(TimePoint now);

  /// Releases permits and tokens. Must be called when no requests remain.
  void Shutdown(TimePoint now);

  /// Returns whether the instance can serve requests and is not shutting down.
  bool Ready(TimePoint now) const;

  std::vector<ReadyStep> TakeReady();
  std::vector<Envelope> TakeEnvelopes();
  RouterWork TakeWork();

  const ControlState& state() const noexcept;
  /// Returns the subsystems, for the operators' pages and tests.
  detail::Systems& systems() noexcept;
  const detail::Systems& systems() const noexcept;
  RouterCounters counters() const noexcept;
  std::size_t requests_in_progress() const noexcept;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dogwoodport
