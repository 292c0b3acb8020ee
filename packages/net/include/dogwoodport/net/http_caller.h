#pragma once

/// @file
/// Single calls with a time-out over kept connections.

#include <functional>
#include <optional>
#include <utility>

#include "dogwoodport/net/connection_pool.h"

namespace dogwoodport::net {

class HttpCaller {
 public:
  /// Receives the response, or nothing if there was none in time. Never called inside of `Call`.
  using Callback = std::function<void(std::optional<HttpResponse>)>;

  HttpCaller(EventLoop& loop, PoolLimits limits) : loop_(loop), pool_(loop, std::move(limits)) {}

  void Call(const std::string& address, const HttpRequest& request, Duration timeout,
            Callback done);

  /// Closes connections that have been idle for too long.
  void Maintain() { pool_.CloseStale(); }
  std::uint64_t connections_opened() const noexcept { return pool_.opened(); }

 private:
  EventLoop& loop_;
  ConnectionPool pool_;
};

}  // namespace dogwoodport::net
