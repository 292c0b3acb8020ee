#pragma once

/// @file
/// Appends one record to the log and reads it back to get its outcome.

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

/// Appends a record and reads it back, with retries. All attempts of one publication have the same
/// writer, incarnation and sequence number, so that the record takes effect at most once.
class Publisher {
 public:
  /// `timeout` limits the total time of all attempts of one publication. Failed attempts are
  /// reported on `progress`.
  Publisher(LogService& log, LogView& view, Timer& timer, std::ostream& progress, Duration timeout)
      : log_(log), view_(view), timer_(timer), progress_(progress), timeout_(timeout) {}

  /// Publishes `record`. Throws `ClientError` with `kUnreachable` if the outcome is unknown when
  /// the timeout expires; the message states whether the record may still take effect.
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
