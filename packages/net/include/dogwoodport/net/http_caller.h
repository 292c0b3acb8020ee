#pragma once

/// @file
/// Single HTTP calls with a timeout over pooled connections.

#include <functional>
#include <optional>
#include <utility>

#include "dogwoodport/net/connection_pool.h"

namespace dogwoodport::net {

class HttpCaller {
 public:
  /// Receives the response, or nothing if the call failed or timed out. Never invoked from within
  /// `Call`.
  using Callback = std::function<void(std::optional<HttpResponse>)>;

  HttpCaller(EventLoop& loop, PoolLimits limits) : loop_(loop), pool_(loop, std::move(limits)) {}

  void Call(const std::string& address, const HttpRequest& request, Duration timeout,
            Callback done);

  /// Closes connections that have exceeded their idle timeout.
  void Maintain() { pool_.CloseStale(); }
  std::uint64_t connections_opened() const noexcept { return pool_.opened(); }

 private:
  EventLoop& loop_;
  ConnectionPool pool_;
};

}  // namespace dogwoodport::net
