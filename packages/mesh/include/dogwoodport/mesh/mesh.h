#pragma once

/// @file
/// Transport of messages between instances: nng over TCP, one listener for each instance and one
/// dialled socket for each peer.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "dogwoodport/mesh/codec.h"

namespace dogwoodport {

/// Another instance and where it listens.
struct MeshPeer {
  InstanceId id;
  /// `<IP address>:<port>`.
  std::string address;
};

struct MeshSettings {
  InstanceId self;
  Incarnation incarnation;
  /// `<IP address>:<port>`; port 0 lets the system choose one.
  std::string listen;
  std::vector<MeshPeer> peers;
  /// Largest message that is sent or accepted, in bytes.
  std::size_t max_message_bytes = std::size_t{16} << 20U;
  /// Messages that wait for one peer before further ones are dropped.
  int queue_length = 1024;
};

/// Totals since the start.
struct MeshCounters {
  std::uint64_t sent = 0;
  std::uint64_t sent_bytes = 0;
  std::uint64_t received = 0;
  std::uint64_t received_bytes = 0;
  /// Not sent: the peer is unknown or not connected, its queue is full, or the message is too big.
  std::uint64_t dropped_sends = 0;
  /// Received, but oversized or not decoded.
  std::uint64_t rejected = 0;
};

/// Sends and receives messages. All members may be called from any thread.
///
/// @code
/// Mesh mesh(settings, [&](Delivery d) { inbox.Push(std::move(d)); });
/// mesh.Send(peer, ForwardCancel{7});
/// @endcode
class Mesh {
 public:
  /// Called on the receiving thread, one message at a time; must not throw.
  using Handler = std::function<void(Delivery)>;
  /// Reports messages that were rejected, at most one call each second.
  using RejectionLog = std::function<void(const std::string& reason, std::uint64_t total)>;

  /// Listens and starts to dial the peers.
  /// @throws MeshError when the listening address can't be bound or a peer's address is malformed.
  Mesh(MeshSettings settings, Handler handler, RejectionLog log);
  /// Stops the receiving thread and closes all sockets.
  ~Mesh();
  Mesh(const Mesh&) = delete;
  Mesh& operator=(const Mesh&) = delete;

  /// Queues `message` for `to` and returns at once; returns false when it was dropped. A message is
  /// not kept for a peer that is not connected, because it would arrive late.
  bool Send(InstanceId to, const Message& message);

  /// Returns whether the connection to `peer` is up. Complexity: logarithmic.
  bool Connected(InstanceId peer) const;

  /// Returns the port that is listened on.
  std::uint16_t port() const noexcept;

  MeshCounters counters() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dogwoodport
