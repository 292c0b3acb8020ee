#pragma once

/// @file
/// Splits snapshots of the control state into chunks that fit into log records and messages, and
/// reassembles them.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dogwoodport/core/control_state.h"
#include "dogwoodport/core/record.h"

namespace dogwoodport {

/// Maximum payload size of a chunk, well below typical limits of a request body.
inline constexpr std::size_t kSnapshotChunkBytes = 32'768;
/// Maximum number of chunks of a snapshot: 128 MB, far above the state at the design size.
inline constexpr std::uint32_t kMaxSnapshotChunks = 4096;
/// Maximum number of incomplete snapshots in an assembler. The one with the lowest base offset is
/// evicted first.
inline constexpr std::size_t kMaxPartialSnapshots = 4;

/// Returns the chunks of a snapshot of `state`. The snapshot replaces all records below its base
/// offset. Complexity: linear in the size of the state.
std::vector<SnapshotChunk> MakeSnapshot(const ControlState& state);

/// Reassembles snapshots from chunks, which may arrive in any order and more than once. A damaged
/// snapshot is rejected and the latest intact one is retained.
///
/// @code
/// assembler.Add(chunk, unix_ms);
/// if (auto state = assembler.TakeLatest()) follow(std::move(*state));
/// @endcode
class SnapshotAssembler {
 public:
  /// Adds a chunk. Returns an error message if the index or count of the chunk is invalid, if the
  /// chunk does not match the others of its snapshot, or if it completes a snapshot that is damaged
  /// or is not a valid control state.
  std::optional<std::string> Add(const SnapshotChunk& chunk, std::int64_t unix_ms);

  /// Base offset of the latest complete snapshot, if there is one.
  std::optional<std::uint64_t> latest_base() const noexcept;

  /// Removes and returns the latest complete snapshot, if there is one.
  std::optional<ControlState> TakeLatest();

  /// Returns the index of the first missing chunk of the snapshot `id`, or 0 for an unknown
  /// snapshot. Complexity: linear in the number of its chunks.
  std::uint32_t FirstMissing(std::uint64_t id) const;

 private:
  struct Partial {
    SnapshotChunk first;
    std::map<std::uint32_t, std::string> payloads;
  };

  std::optional<std::string> Complete(const Partial& partial, std::int64_t unix_ms);
  void EvictPartial();

  std::map<std::uint64_t, Partial> partial_;
  std::optional<ControlState> latest_;
};

}  // namespace dogwoodport
