#pragma once

/// @file
/// HTTP entry: takes requests from callers (or operators) and writes the answers.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "dogwoodport/core/request.h"

namespace dogwoodport {

/// Limits of one entry. All have safe defaults.
struct EntrySettings {
  /// IP address to listen on.
  std::string host = "127.0.0.1";
  /// 0 lets the system choose a port.
  std::uint16_t port = 0;
  std::size_t max_connections = 1024;
  std::size_t max_header_bytes = 16384;
  std::size_t max_body_bytes = std::size_t{1} << 20U;
  /// Longest time for a whole header to arrive.
  std::chrono::milliseconds header_timeout{5000};
  /// Longest time for a whole body to arrive.
  std::chrono::milliseconds body_timeout{10000};
  /// Longest time for a caller to take a whole answer.
  std::chrono::milliseconds write_timeout{10000};
  std::chrono::milliseconds idle_timeout{60000};
};

/// A request with what the entry knows about its connection.
struct EntryRequest {
  Request request;
  std::string request_id;
  std::chrono::steady_clock::time_point received;
  /// Descriptor of the caller's connection; a caller that leaves shows on it.
  int caller_fd = -1;
};

/// Totals since the start.
struct EntryCounters {
  std::uint64_t connections = 0;
  std::uint64_t open_connections = 0;
  std::uint64_t refused_connections = 0;
  std::uint64_t requests = 0;
  std::uint64_t broken_requests = 0;
};

/// Serves HTTP/1.1 with one thread for each open connection. Requests of one connection are
/// answered in order, also when they are pipelined. Broken input gets a 4xx answer and ends the
/// connection.
///
/// @code
/// HttpEntry entry(settings, "entry-a", [](EntryRequest r) { return Serve(std::move(r)); });
/// @endcode
class HttpEntry {
 public:
  /// Called on the thread of the connection; an exception gives a 500 answer with run state
  /// unknown.
  using Handler = std::function<Reply(EntryRequest)>;

  /// @param id_prefix start of the request identifiers, unique for each process.
  /// @throws GatewayError when the address can't be bound.
  HttpEntry(EntrySettings settings, std::string id_prefix, Handler handler);
  /// Stops at once; call `Drain` before to finish running requests.
  ~HttpEntry();
  HttpEntry(const HttpEntry&) = delete;
  HttpEntry& operator=(const HttpEntry&) = delete;

  std::uint16_t port() const noexcept;

  /// Accepts no more connections, closes idle ones, lets running requests finish, and returns when
  /// none is left or after `limit`. Returns whether none is left.
  bool Drain(std::chrono::milliseconds limit);

  EntryCounters counters() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dogwoodport
