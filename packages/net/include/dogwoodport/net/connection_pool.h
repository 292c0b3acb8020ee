#pragma once

/// @file
/// Kept connections to the targets, reused for later requests.

#include <unordered_map>
#include <utility>
#include <vector>

#include "dogwoodport/net/http_client.h"

namespace dogwoodport::net {

/// Settings of a pool.
struct PoolLimits {
  MessageLimits message{64 * 1024, 64ULL * 1024 * 1024, nullptr};
  /// Idle connections older than this are closed instead of reused; below the idle timeout of the
  /// targets, so that a request seldom meets a connection that is being closed.
  Duration idle_timeout{8'000'000};
};

/// Connections by address. Not a limit: the caller decides how many it opens.
class ConnectionPool {
 public:
  ConnectionPool(EventLoop& loop, PoolLimits limits) : loop_(loop), limits_(std::move(limits)) {}
  ~ConnectionPool();
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  /// Returns an idle connection to `address`, the one used last, or a new one. The caller holds it
  /// until its call has ended; dropping it closes the connection.
  ClientConnectionPtr Acquire(const std::string& address);
  /// Opens a new connection, although an idle one may exist.
  ClientConnectionPtr AcquireNew(const std::string& address);

  /// Number of connections to `address`, idle or not.
  std::size_t Count(const std::string& address) const;
  std::size_t IdleCount(const std::string& address) const;
  /// Number of connections opened since the start.
  std::uint64_t opened() const noexcept { return opened_; }

  /// Closes connections that have been idle for too long. Complexity: linear.
  void CloseStale();

 private:
  struct Bucket {
    std::vector<ClientConnectionPtr> idle;
    std::size_t count = 0;
  };

  bool IsReusable(const ClientConnection& connection) const;
  void OnIdle(ClientConnection* connection);
  void OnClosed(ClientConnection* connection);

  EventLoop& loop_;
  PoolLimits limits_;
  std::unordered_map<std::string, Bucket> buckets_;
  std::uint64_t opened_ = 0;
};

}  // namespace dogwoodport::net
