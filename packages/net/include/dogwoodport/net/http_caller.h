#pragma once

/// @file
/// Single HTTP calls with a timeout over pooled connections.

#include <functional>
#include <utility>
#include <variant>

#include "dogwoodport/net/connection_pool.h"

namespace dogwoodport::net {

/// Why a call has no response.
enum class NoResponse {
  kNotSent,     ///< No byte of the request was sent, so it can have no effect.
  kUnanswered,  ///< The request may have arrived, and may take effect later.
};

/// Outcome of a call.
using CallOutcome = std::variant<HttpResponse, NoResponse>;

/// Returns the response of a call, or nullptr if there is none.
inline const HttpResponse* ResponseOf(const CallOutcome& outcome) noexcept {
  return std::get_if<HttpResponse>(&outcome);
}

enum class CallConnection {
  kReused,  ///< An idle connection, if there is one.
  kNew,     ///< A new connection, on which no response to an earlier call can arrive.
};

class HttpCaller {
 public:
  /// Receives the outcome of a call, which has no response if it failed or timed out. Never invoked
  /// from within `Call`.
  using Callback = std::function<void(const CallOutcome&)>;
  /// Tells whether a response answers the call; if unset, the next one on the connection does.
  /// After a foreign response the connection is not used again.
  using ResponseTest = std::function<ResponseMatch(const HttpResponse&)>;

  HttpCaller(EventLoop& loop, PoolLimits limits) : loop_(loop), pool_(loop, std::move(limits)) {}

  void Call(const std::string& address, const HttpRequest& request, Duration timeout, Callback done,
            CallConnection connection = CallConnection::kReused, ResponseTest answers = nullptr);

  /// Closes connections that have exceeded their idle timeout.
  void Maintain() { pool_.CloseStale(); }
  std::uint64_t connections_opened() const noexcept { return pool_.opened(); }

 private:
  EventLoop& loop_;
  ConnectionPool pool_;
};

}  // namespace dogwoodport::net
