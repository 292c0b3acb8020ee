#pragma once

/// @file
/// Appends one record to the log and learns its outcome by reading it back.

#include <cstdint>
#include <ostream>
#include <string>

#include "dogwoodport/client/log_view.h"
#include "dogwoodport/client/timer.h"
#include "dogwoodport/core/record.h"

namespace dogwoodport {

/// Outcome of a published record.
struct Publication {
  std::uint64_t offset = 0;
  ApplyOutcome outcome = ApplyOutcome::kApplied;
  std::string detail;
};

/// Appends and reads back. All attempts of one publication carry the same writer, incarnation and
/// sequence, so that the record takes effect at most once.
class Publisher {
 public:
  /// `timeout` bounds all attempts of one publication together; `progress` gets one line per event.
  Publisher(LogService& log, LogView& view, Timer& timer, std::ostream& progress, Duration timeout)
      : log_(log), view_(view), timer_(timer), progress_(progress), timeout_(timeout) {}

  /// Publishes `record`. Throws `ClientError` with `kUnreachable` when the outcome isn't known
  /// within the wait; the text says whether the record may still take effect.
  Publication Publish(const Record& record);

 private:
  enum class AppendResult { kNotAppended, kUnknown, kAppended };

  AppendResult TryAppend(const std::string& text);
  const AuditEntry* ReadBack(const Record& record);
  const AuditEntry* FindEntry(const Record& record) const;

  LogService& log_;
  LogView& view_;
  Timer& timer_;
  std::ostream& progress_;
  Duration timeout_;
};

}  // namespace dogwoodport
