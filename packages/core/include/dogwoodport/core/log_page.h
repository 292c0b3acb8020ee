#pragma once

/// @file
/// Records as read from the log, and the requests that the decision logic makes of the log service.

#include <cstdint>
#include <limits>
#include <string>
#include <variant>
#include <vector>

#include "dogwoodport/core/types.h"

namespace dogwoodport {

/// What is known about a failed call of the log service.
enum class LogFailure {
  /// The log service did not take the request: nothing happened.
  kUnreachable,
  /// The request was sent and its answer is missing: it may have taken effect.
  kAnswerLost,
  /// The answer makes no sense; the request may have taken effect.
  kMalformed,
  /// The offset is below the first retained one.
  kExpired,
};

/// One record of the log.
struct LogRecord {
  std::uint64_t offset = 0;
  std::string data;

  friend bool operator==(const LogRecord&, const LogRecord&) = default;
  MSGPACK_DEFINE_ARRAY(offset, data)
};

/// Answer to a read. Offsets may have holes; the reader checks that they follow one another.
struct LogPage {
  std::uint64_t first_retained = 0;
  /// Offset that the next appended record gets.
  std::uint64_t next = 0;
  std::vector<LogRecord> records;
};

/// An offset beyond all records: a read from it returns no records and the bounds of the log.
inline constexpr std::uint64_t kFarEnd = std::numeric_limits<std::int64_t>::max();

/// Asks for at most `max` records from offset `from`.
struct LogRead {
  std::uint64_t id = 0;
  std::uint64_t from = 0;
  std::uint32_t max = 0;
};

/// Asks to append records in order.
struct LogAppend {
  std::uint64_t id = 0;
  std::vector<std::string> records;
};

/// A request whose outcome the caller reports under the request's id, in any order.
using LogRequest = std::variant<LogRead, LogAppend>;

}  // namespace dogwoodport
