#pragma once

/// @file
/// Protocol between callers, router and targets on top of HTTP. The platform adapter implements it.

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "dogwoodport/fleet/membership/target_entry.h"
#include "dogwoodport/fleet/state/routing_config.h"
#include "dogwoodport/net/http_message.h"

namespace dogwoodport::fleet {

/// Fields of a caller's request besides method, path and body.
struct CallerFields {
  std::string request_id;
  /// Time that the caller will wait for the response, counted from the arrival of the request.
  /// Unset if absent or malformed.
  std::optional<Duration> caller_timeout;
  bool caller_timeout_malformed = false;
  /// Secret of the client account.
  std::optional<std::string> secret;
  /// The authorization is ambiguous or uses another scheme.
  bool secret_malformed = false;
  /// Key of a request to a keyed service.
  std::optional<std::uint16_t> key;
};

/// Fields that the router adds to a forwarded request.
struct ForwardFields {
  Duration time_remaining{0};
  std::string target_id;
  /// Empty if no account is known.
  std::string account;
};

/// Load of a target at the time of its response.
struct LoadReport {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  /// Current duration of work relative to that at normal speed.
  double slowdown = 1;
};

/// Fields of a target's response besides status and body.
struct ResponseFields {
  std::string request_id;
  /// The target states that it did not run the request.
  bool not_run = false;
  bool has_signature = false;
  /// The target is leaving and accepts no further requests.
  bool leaving = false;
  /// Number of requests per second that the target takes from all instances together.
  std::optional<double> request_limit;
  /// The target names a limit that cannot be read. It neither sets nor ends one.
  bool request_limit_malformed = false;
  /// The target is at capacity. This instance must not send it requests for this duration.
  std::optional<Duration> back_off;
  std::optional<LoadReport> load;
};

/// Assignment of a key range to a target. Both ends are inclusive.
struct Grant {
  std::uint16_t first = 0;
  std::uint16_t last = 0;
  std::uint64_t fencing_token = 0;
  /// Duration of the lease, counted from the arrival of the call.
  Duration lease{0};
  /// Handover token from the response to the release call, proof of an orderly move. Empty if there
  /// is none.
  std::string handover;
};

/// Withdrawal of a data centre from service.
struct Withdrawal {
  std::string data_centre;
};

/// Operator record that cannot be used, with the reason.
struct Unusable {
  std::string reason;
};
using OperatorRecord = std::variant<RoutingConfigPtr, Withdrawal, Unusable>;

/// Codec of the platform's messages.
class TargetProtocol {
 public:
  virtual ~TargetProtocol() = default;

  virtual CallerFields ReadCaller(const net::HttpRequest& request) const = 0;
  /// Whether a header field belongs to this protocol, so that no sender can declare it to concern
  /// its connection only.
  virtual bool IsEndToEnd(std::string_view field) const = 0;
  /// Rewrites the header fields of a request for a target: removes the secret and all fields
  /// reserved for the router, then adds `fields`.
  virtual void PrepareRequest(net::HttpRequest& request, const ForwardFields& fields) const = 0;
  virtual ResponseFields ReadResponse(const net::HttpResponse& response) const = 0;
  /// Creates a response of the router itself. If `retry_after` is zero, the response contains no
  /// retry time.
  virtual net::HttpResponse MakeResponse(int status, const std::string& code, bool may_have_run,
                                         const std::string& request_id,
                                         Duration retry_after) const = 0;

  virtual net::HttpRequest MakeGrant(const TargetEntry& target, const Grant& grant) const = 0;
  virtual net::HttpRequest MakeRelease(const TargetEntry& target, const Grant& grant) const = 0;
  /// Sets the id of a grant or release call. A target may repeat it in its response, see
  /// `ResponseFields::request_id`.
  virtual void SetCallId(net::HttpRequest& call, const std::string& id) const = 0;
  /// Returns the handover token from the response to a release call.
  virtual std::string ReadHandover(const net::HttpResponse& response) const = 0;

  virtual OperatorRecord ReadOperatorRecord(const std::string& key,
                                            const std::string& value) const = 0;
  /// Returns the data centre whose withdrawal is recorded under `key`, or nothing if `key` is not a
  /// withdrawal key.
  virtual std::optional<std::string> WithdrawalKey(const std::string& key) const = 0;
  virtual bool IsConfigKey(const std::string& key) const = 0;
  /// Throws std::exception with the reason if the heartbeat is invalid.
  virtual TargetEntry ReadTarget(const std::string& id, const std::string& value) const = 0;
};

}  // namespace dogwoodport::fleet
