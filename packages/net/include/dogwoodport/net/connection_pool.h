#pragma once

/// @file
/// Pool of persistent connections, reused for later requests.

#include <limits>
#include <unordered_map>
#include <utility>
#include <vector>

#include "dogwoodport/net/http_client.h"

namespace dogwoodport::net {

struct PoolLimits {
  MessageLimits message{64 * 1024, 64ULL * 1024 * 1024, nullptr};
  /// Connections that have been idle for longer than this are closed rather than reused. It is
  /// shorter than the idle timeout of the targets, so that a request rarely meets a connection that
  /// its peer is closing.
  Duration idle_timeout{8'000'000};
};

/// Connections grouped by address. The pool limits their number only where its caller asks for it.
class ConnectionPool {
 public:
  static constexpr std::size_t kUnlimited = std::numeric_limits<std::size_t>::max();

  ConnectionPool(EventLoop& loop, PoolLimits limits) : loop_(loop), limits_(std::move(limits)) {}
  ~ConnectionPool();
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  /// Called when bytes have arrived on an idle connection, which is closed next.
  std::function<void(const ClientConnection&)> on_unsolicited;

  /// Returns the most recently used idle connection to `address` that may not repeat a response to
  /// `call_id` (see `ClientConnection::MayRepeatResponseTo`), or a new one. If `max_count`
  /// connections exist, a new one replaces an idle one. The caller keeps the pointer until its call
  /// has ended; releasing it earlier closes the connection.
  ClientConnectionPtr Acquire(const std::string& address, std::string_view call_id = {},
                              std::size_t max_count = kUnlimited);
  /// Opens a new connection even if an idle one exists.
  ClientConnectionPtr AcquireNew(const std::string& address);

  /// Returns the number of connections to `address`, idle or busy.
  std::size_t Count(const std::string& address) const;
  std::size_t IdleCount(const std::string& address) const;
  /// Number of connections opened since construction.
  std::uint64_t opened() const noexcept { return opened_; }
  /// Number of idle connections on which bytes have arrived since construction.
  std::uint64_t unsolicited() const noexcept { return unsolicited_; }

  /// Closes connections that have exceeded their idle timeout. Complexity: linear in the number of
  /// connections.
  void CloseStale();

 private:
  struct Bucket {
    std::vector<ClientConnectionPtr> idle;
    std::size_t count = 0;
  };

  /// Returns an idle connection as described at `Acquire`, or nullptr.
  ClientConnectionPtr TakeIdle(const std::string& address, std::string_view call_id);
  bool IsReusable(const ClientConnection& connection) const;
  void OnIdle(ClientConnection* connection);
  void OnClosed(ClientConnection* connection);
  void OnUnsolicited(const ClientConnection& connection);

  EventLoop& loop_;
  PoolLimits limits_;
  std::unordered_map<std::string, Bucket> buckets_;
  std::uint64_t opened_ = 0;
  std::uint64_t unsolicited_ = 0;
};

}  // namespace dogwoodport::net
