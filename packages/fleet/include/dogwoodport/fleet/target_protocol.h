#pragma once

/// @file
/// What callers and targets speak beyond plain HTTP. The adapter implements it.

#include <optional>
#include <string>
#include <variant>

#include "dogwoodport/fleet/membership/target_entry.h"
#include "dogwoodport/fleet/state/routing_config.h"
#include "dogwoodport/net/http_message.h"

namespace dogwoodport::fleet {

/// What a request says besides its method, path and body.
struct CallerFields {
  std::string request_id;
  /// How long the caller will wait, counted from the arrival; unset if it did not say or the value
  /// cannot be read.
  std::optional<Duration> caller_timeout;
  bool caller_timeout_malformed = false;
  /// Secret of a client account.
  std::optional<std::string> secret;
  /// The authorization is ambiguous or of another scheme.
  bool secret_malformed = false;
  /// Key of a keyed service.
  std::optional<std::uint16_t> key;
};

/// What the router adds to a request.
struct ForwardFields {
  Duration time_remaining{0};
  std::string target_id;
  /// Empty where no account is known.
  std::string account;
};

/// Load of a target at the time of its answer.
struct LoadReport {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  /// Time that work takes at present, relative to the usual.
  double slowdown = 1;
};

/// What an answer says besides status and body.
struct ResponseFields {
  std::string request_id;
  /// The target states that it did not run the request.
  bool not_run = false;
  bool has_signature = false;
  /// The target is leaving and wants no further requests.
  bool leaving = false;
  /// The target has no room and wants no request from this instance for so long.
  std::optional<Duration> back_off;
  std::optional<LoadReport> load;
};

/// Assigns a range of keys, both ends inclusive, to a target.
struct Grant {
  std::uint16_t first = 0;
  std::uint16_t last = 0;
  std::uint64_t fencing_token = 0;
  /// Lease, counted from the arrival of the call.
  Duration lease{0};
  /// Proof of an orderly move, from the answer to the release; empty if there is none.
  std::string handover;
};

/// Withdrawn data centre.
struct Withdrawal {
  std::string data_centre;
};

/// A record of the operators: a configuration, a withdrawal, or nothing that can be used.
struct Unusable {
  std::string reason;
};
using OperatorRecord = std::variant<RoutingConfigPtr, Withdrawal, Unusable>;

/// Codec of the platform's messages.
class TargetProtocol {
 public:
  virtual ~TargetProtocol() = default;

  virtual CallerFields ReadCaller(const net::HttpRequest& request) const = 0;
  /// Rewrites the fields of a request for a target: removes what only the router may set and the
  /// secret, and adds `fields`.
  virtual void PrepareRequest(net::HttpRequest& request, const ForwardFields& fields) const = 0;
  virtual ResponseFields ReadResponse(const net::HttpResponse& response) const = 0;
  /// Makes an answer of the router itself. `retry_after` zero means that none is given.
  virtual net::HttpResponse MakeResponse(int status, const std::string& code, bool may_have_run,
                                         const std::string& request_id,
                                         Duration retry_after) const = 0;

  virtual net::HttpRequest MakeGrant(const TargetEntry& target, const Grant& grant) const = 0;
  virtual net::HttpRequest MakeRelease(const TargetEntry& target, const Grant& grant) const = 0;
  /// Returns the proof of an orderly move from the answer to a release.
  virtual std::string ReadHandover(const net::HttpResponse& response) const = 0;

  virtual OperatorRecord ReadOperatorRecord(const std::string& key,
                                            const std::string& value) const = 0;
  /// Returns the data centre whose withdrawal is recorded under `key`, if it is such a key.
  virtual std::optional<std::string> WithdrawalKey(const std::string& key) const = 0;
  virtual bool IsConfigKey(const std::string& key) const = 0;
  /// Throws std::exception with the reason if the heartbeat cannot be used.
  virtual TargetEntry ReadTarget(const std::string& id, const std::string& value) const = 0;
};

}  // namespace dogwoodport::fleet
