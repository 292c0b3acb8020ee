#pragma once

/// @file
/// Requests to targets over kept connections.

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "dogwoodport/core/request.h"

namespace dogwoodport {

struct TargetAddress {
  std::string host;
  std::uint16_t port = 0;

  // clang-tidy 14 takes the 0 in the generated comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const TargetAddress&, const TargetAddress&) = default;
};

struct TargetClientSettings {
  std::chrono::milliseconds connect_timeout{1000};
  std::size_t max_answer_bytes = std::size_t{4} << 20U;
  std::size_t max_header_bytes = 65536;
  /// Idle connections kept for one target.
  std::size_t max_idle_per_target = 120;
  /// A connection that has been idle for longer is closed, because targets and middleboxes drop
  /// idle connections.
  std::chrono::milliseconds max_idle_time{30000};
};

/// One request to a target.
struct Exchange {
  TargetAddress target;
  Request request;
  /// Expected in the answer's `Dogwood-Request-Id`. The request is not sent on a connection that
  /// has carried an answer to it that was no success.
  std::string request_id;
  std::chrono::steady_clock::time_point deadline;
  /// Called directly before the first byte is written; false sends nothing.
  std::function<bool()> may_send = [] { return true; };
  /// Descriptor of the caller's connection, or -1. When the caller leaves, the exchange is given
  /// up and its connection closed, which cancels the request at the target.
  int caller_fd = -1;
  /// When it becomes true the exchange is given up like after `caller_fd`. May be null.
  std::shared_ptr<const std::atomic<bool>> cancelled;
  bool force_new_connection = false;
  /// False for the target's own pages, which need not echo an identifier. Such an exchange uses
  /// only connections without refusals, and its connection is kept only after a success.
  bool check_request_id = true;
};

enum class ExchangeFault {
  /// `may_send` was false.
  kNotAllowed,
  kConnectFailed,
  /// The deadline passed without a whole answer.
  kTimeout,
  /// The connection broke or ended before a whole answer.
  kTruncated,
  kMalformed,
  kTooLarge,
  /// The answer belongs to another request.
  kCrossed,
  kCallerLeft,
};

/// Returns the name of a fault, e.g. "connect_failed". Complexity: constant.
std::string_view ToString(ExchangeFault fault) noexcept;

/// An exchange without a whole answer of its own.
struct ExchangeFailure {
  ExchangeFault fault = ExchangeFault::kConnectFailed;
  /// kNo only when no byte was written; kYes when the target has answered this request.
  RunState run = RunState::kNo;
  /// Whether the connection was made for this exchange.
  bool new_connection = false;
  std::string text;
};

struct ExchangeAnswer {
  Answer answer;
  bool new_connection = false;
  std::chrono::microseconds latency{0};
};

using ExchangeResult = std::variant<ExchangeAnswer, ExchangeFailure>;

struct TargetClientCounters {
  std::uint64_t connects = 0;
  std::uint64_t exchanges = 0;
  std::uint64_t failures = 0;
};

/// Sends requests to targets, one at a time on each connection. A connection is kept only after a
/// whole answer to its own request; after any fault it is closed. A target may send a copy of an
/// answer late, so no exchange uses a connection on which a copy of a refusal could be taken for
/// its answer. All members may be called from any thread; `Run` blocks until the answer, a fault or
/// the deadline.
///
/// @code
/// const ExchangeResult result = client.Run(exchange);
/// @endcode
class TargetClient {
 public:
  explicit TargetClient(TargetClientSettings settings);
  ~TargetClient();
  TargetClient(const TargetClient&) = delete;
  TargetClient& operator=(const TargetClient&) = delete;

  ExchangeResult Run(const Exchange& exchange);

  /// Returns whether the target refuses new connections: its process has ended. Blocks for at most
  /// the connect timeout.
  bool RefusesConnections(const TargetAddress& target) const;

  /// Closes the idle connections to `target`.
  void CloseIdle(const TargetAddress& target);

  std::size_t idle_connections(const TargetAddress& target) const;
  TargetClientCounters counters() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dogwoodport
