#pragma once

/// @file
/// One instance: turns sockets, timers and the log into events of the `Router` and runs its steps.

#include <chrono>
#include <cstdint>
#include <memory>

#include "dogwoodport/daemon/json_log.h"
#include "dogwoodport/daemon/settings.h"

namespace dogwoodport {

/// Runs one instance. Its threads: one for each open caller connection, a fixed number for
/// forwarded requests, one for timers, one for the log, one for the mesh. A single mutex guards the
/// router and is never held during I/O.
///
/// @code
/// Server server(LoadSettings(path), log);
/// WaitForSignal();
/// server.Shutdown();
/// @endcode
class Server {
 public:
  /// Opens all sockets and starts.
  /// @throws GatewayError or MeshError when an address can't be bound.
  Server(Settings settings, const JsonLog& log);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  std::uint16_t entry_port() const;
  std::uint16_t operators_port() const;
  std::uint16_t mesh_port() const;

  /// Reports not ready, waits for the load balancer, gives up permits and tokens, and finishes all
  /// running requests. Returns whether all finished within the drain timeout.
  bool Shutdown();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dogwoodport
