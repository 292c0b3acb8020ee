#pragma once

/// @file
/// Snapshots of the control state in chunks that fit into records and messages.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dogwoodport/core/control_state.h"
#include "dogwoodport/core/record.h"

namespace dogwoodport {

/// Bytes of one chunk's payload, well below the usual bounds of a request's body.
inline constexpr std::size_t kSnapshotChunkBytes = 32'768;
/// Chunks of one snapshot: 128 MB, far above the state at the design size.
inline constexpr std::uint32_t kMaxSnapshotChunks = 4096;
/// Incomplete snapshots that an assembler keeps; the one with the lowest base goes first.
inline constexpr std::size_t kMaxPartialSnapshots = 4;

/// Returns the chunks of a snapshot of `state`. The snapshot replaces all records below its base
/// offset. Complexity: linear in the state.
std::vector<SnapshotChunk> MakeSnapshot(const ControlState& state);

/// Puts chunks together again, in any order and with repeats. A damaged snapshot is refused and the
/// last good one stays.
///
/// @code
/// assembler.Add(chunk, unix_ms);
/// if (auto state = assembler.TakeLatest()) follow(std::move(*state));
/// @endcode
class SnapshotAssembler {
 public:
  /// Adds a chunk. Returns a fault when it completes a snapshot that is damaged or no control
  /// state, or does not fit to the other chunks of its snapshot.
  std::optional<std::string> Add(const SnapshotChunk& chunk, std::int64_t unix_ms);

  /// Base offset of the latest complete snapshot, or nothing.
  std::optional<std::uint64_t> latest_base() const noexcept;

  /// Removes and returns the latest complete snapshot.
  std::optional<ControlState> TakeLatest();

  /// Returns the first chunk that the snapshot `id` lacks; 0 for an unknown one. Complexity: linear
  /// in its chunks.
  std::uint32_t FirstMissing(std::uint64_t id) const;

 private:
  struct Partial {
    SnapshotChunk first;
    std::map<std::uint32_t, std::string> payloads;
  };

  std::optional<std::string> Complete(const Partial& partial, std::int64_t unix_ms);
  void Bound();

  std::map<std::uint64_t, Partial> partial_;
  std::optional<ControlState> latest_;
};

}  // namespace dogwoodport
