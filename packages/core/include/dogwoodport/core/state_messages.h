#pragma once

/// @file
/// Messages that instances exchange to replicate the control state.

#include <cstdint>
#include <vector>

#include "dogwoodport/core/detail/type_list.h"
#include "dogwoodport/core/log_page.h"
#include "dogwoodport/core/record.h"
#include "dogwoodport/core/types.h"

namespace dogwoodport {

/// Records of the log and the sender's position in it. The reader of a data centre sends it to the
/// other members at least every 100 ms. It is also a response to a `CatchUpRequest`.
struct RecordRelay {
  /// Offset of the first record that the sender's state lacks.
  std::uint64_t next_offset = 0;
  /// End of the log as of the sender's latest successful read: the offset of the next record to be
  /// appended.
  std::uint64_t log_next = 0;
  /// Time in microseconds since the sender's latest successful read, or a negative value if there
  /// was none.
  std::int64_t log_age_us = -1;
  /// Whether the sender reads the log for its data centre.
  bool is_reader = false;
  std::vector<LogRecord> records;

  MSGPACK_DEFINE_ARRAY(next_offset, log_next, log_age_us, is_reader, records)
};

/// Requests the records or the snapshot that the sender lacks from an instance with a newer state.
struct CatchUpRequest {
  std::uint64_t next_offset = 0;
  /// Whether the sender needs a snapshot because it cannot apply the next record, whose type is
  /// unknown to it.
  bool snapshot_only = false;
  /// Identifier of the snapshot of which the sender has the chunks below `next_chunk`, or 0.
  std::uint64_t snapshot_id = 0;
  std::uint32_t next_chunk = 0;

  MSGPACK_DEFINE_ARRAY(next_offset, snapshot_only, snapshot_id, next_chunk)
};

/// One chunk of the sender's snapshot.
struct SnapshotPart {
  SnapshotChunk chunk;
  /// Whether the sender waits for the next request before it sends more chunks.
  bool last_in_response = false;

  MSGPACK_DEFINE_ARRAY(chunk, last_in_response)
};

/// All messages of state replication, in the order of their type index.
using StateMessages = detail::TypeList<RecordRelay, CatchUpRequest, SnapshotPart>;

}  // namespace dogwoodport
