#pragma once

/// @file
/// Runs one instance: passes events from sockets, timers and the log to the `Router` and executes
/// the steps that it returns.

#include <chrono>
#include <cstdint>
#include <memory>

#include "dogwoodport/daemon/json_log.h"
#include "dogwoodport/daemon/settings.h"

namespace dogwoodport {

/// Runs one instance. It has a thread for each open connection of a caller or operator, a fixed
/// number of threads for forwarded requests, and threads for timers, the log service, target probes
/// and grants, and the mesh. A single mutex guards the router and is never held during I/O.
///
/// @code
/// Server server(LoadSettings(path), log);
/// WaitForSignal();
/// server.Shutdown();
/// @endcode
class Server {
 public:
  /// Opens all sockets and starts the threads.
  /// @throws GatewayError or MeshError if an address cannot be bound.
  Server(Settings settings, const JsonLog& log);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  std::uint16_t entry_port() const;
  std::uint16_t operators_port() const;
  std::uint16_t mesh_port() const;

  /// Reports not ready, waits for the load balancer, releases permits and tokens, and finishes all
  /// running requests. Returns whether all of them finished within the drain timeout.
  bool Shutdown();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dogwoodport
