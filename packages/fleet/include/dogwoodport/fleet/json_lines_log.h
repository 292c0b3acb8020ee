#pragma once

/// @file
/// Structured log in JSON Lines format with limited volume and non-blocking writes.

#include <array>
#include <string>

#include "dogwoodport/fleet/event_log.h"
#include "dogwoodport/fleet/limits/token_bucket.h"

namespace dogwoodport::fleet {

/// Settings and limits of the log.
struct LogSettings {
  std::string instance;
  /// Maximum number of lines per second for each level. The lines of one second may be written in a
  /// burst.
  std::array<double, 4> lines_per_s = {5, 50, 40, 20};
  /// Lines are dropped while more bytes than this are buffered because the reader of the log is
  /// stalled.
  std::size_t buffer_bytes = 256UL * 1024;
};

/// Writes to a file descriptor. Counts lines that exceed the limits and adds the count to the next
/// line.
class JsonLinesLog : public EventLog {
 public:
  /// Sets `fd` to non-blocking.
  JsonLinesLog(int fd, LogSettings settings);

  void Write(LogLevel level, std::string_view event, const nlohmann::json& fields) override;
  /// Counts a dropped line if it returns false.
  bool Wants(LogLevel level) override;

  /// Sets the limit of one level. The lines of one second may be written in a burst.
  void SetLinesPerSecond(LogLevel level, double lines);

  /// Writes buffered lines to the file descriptor until it would block.
  void Flush();
  std::uint64_t dropped() const noexcept { return dropped_total_; }
  std::size_t buffered_bytes() const noexcept { return buffer_.size(); }

 private:
  TokenBucket& BucketOf(LogLevel level);

  int fd_;
  LogSettings settings_;
  std::array<TokenBucket, 4> buckets_;
  std::string buffer_;
  std::uint64_t dropped_ = 0;
  std::uint64_t dropped_total_ = 0;
};

}  // namespace dogwoodport::fleet
