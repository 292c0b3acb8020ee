#pragma once

/// @file
/// Records as read from the log, and the requests to the log service.

#include <cstdint>
#include <limits>
#include <string>
#include <variant>
#include <vector>

#include "dogwoodport/core/types.h"

namespace dogwoodport {

/// Reason for which a call of the log service failed, and whether the call may have taken effect.
enum class LogFailure {
  /// The log service did not accept the request; the request had no effect.
  kUnreachable,
  /// The request was sent and no response arrived; it may have taken effect.
  kResponseLost,
  /// The response is malformed; the request may have taken effect.
  kMalformed,
  /// The requested offset is below the first retained one.
  kExpired,
};

/// One record of the log.
struct LogRecord {
  std::uint64_t offset = 0;
  std::string data;

  friend bool operator==(const LogRecord&, const LogRecord&) = default;
  MSGPACK_DEFINE_ARRAY(offset, data)
};

/// Response to a read. The offsets of `records` may have gaps; the receiver must check that they
/// are contiguous.
struct LogPage {
  std::uint64_t first_retained = 0;
  /// Offset of the next record to be appended.
  std::uint64_t next = 0;
  std::vector<LogRecord> records;
};

/// Offset beyond all records. A read from it returns only the bounds of the log.
inline constexpr std::uint64_t kBeyondLogEnd = std::numeric_limits<std::int64_t>::max();

/// Requests at most `max` records from offset `from`.
struct LogRead {
  std::uint64_t id = 0;
  std::uint64_t from = 0;
  std::uint32_t max = 0;
};

/// Requests that records be appended in order.
struct LogAppend {
  std::uint64_t id = 0;
  std::vector<std::string> records;
};

/// Request to the log service. The caller reports its outcome with the `id` of the request;
/// outcomes may be reported in any order.
using LogRequest = std::variant<LogRead, LogAppend>;

}  // namespace dogwoodport
