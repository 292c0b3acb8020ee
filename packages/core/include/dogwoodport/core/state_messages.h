#pragma once

/// @file
/// Messages between instances of the state subsystem.

#include <cstdint>
#include <vector>

#include "dogwoodport/core/detail/type_list.h"
#include "dogwoodport/core/log_page.h"
#include "dogwoodport/core/record.h"
#include "dogwoodport/core/types.h"

namespace dogwoodport {

/// Records of the log. The reader of a data centre sends them to its members, every 100 ms at the
/// least; it also answers a `CatchUpRequest`.
struct RecordRelay {
  /// First offset that the sender's state lacks.
  std::uint64_t next_offset = 0;
  /// Offset that the log's next record had in the sender's last successful read.
  std::uint64_t log_next = 0;
  /// Microseconds since the sender's last successful read; negative when there was none.
  std::int64_t log_age_us = -1;
  /// Whether the sender reads the log for its data centre.
  bool is_reader = false;
  std::vector<LogRecord> records;

  MSGPACK_DEFINE_ARRAY(next_offset, log_next, log_age_us, is_reader, records)
};

/// Asks an instance with a newer state for what the sender lacks.
struct CatchUpRequest {
  std::uint64_t next_offset = 0;
  /// The sender cannot go on from records, e.g. since it does not know the type of the next one.
  bool snapshot_only = false;
  /// Snapshot of which the sender has the chunks below `next_chunk`; 0 for none.
  std::uint64_t snapshot_id = 0;
  std::uint32_t next_chunk = 0;

  MSGPACK_DEFINE_ARRAY(next_offset, snapshot_only, snapshot_id, next_chunk)
};

/// One chunk of the sender's snapshot.
struct SnapshotPart {
  SnapshotChunk chunk;
  /// Whether the sender waits for the next request before it sends more.
  bool last_of_answer = false;

  MSGPACK_DEFINE_ARRAY(chunk, last_of_answer)
};

/// All messages of this subsystem, in the order of their type index.
using StateMessages = detail::TypeList<RecordRelay, CatchUpRequest, SnapshotPart>;

}  // namespace dogwoodport
