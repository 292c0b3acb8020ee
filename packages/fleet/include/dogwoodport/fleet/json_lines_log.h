#pragma once

/// @file
/// Structured log: one JSON object a line, bounded in volume, never blocking.

#include <array>
#include <string>

#include "dogwoodport/fleet/event_log.h"
#include "dogwoodport/fleet/limits/token_bucket.h"

namespace dogwoodport::fleet {

/// Bounds of the volume.
struct LogSettings {
  std::string instance;
  /// Lines per second of each level; a second's worth may come at once.
  std::array<double, 4> lines_per_s = {5, 50, 40, 20};
  /// Bytes kept while the reader of the log does not read.
  std::size_t buffer_bytes = 256UL * 1024;
};

/// Writes to a file descriptor. Lines beyond the bounds are counted, and the count is written with
/// the next line.
class JsonLinesLog : public EventLog {
 public:
  /// Sets `fd` to non-blocking.
  JsonLinesLog(int fd, LogSettings settings);

  void Write(LogLevel level, std::string_view event, const nlohmann::json& fields) override;
  bool Wants(LogLevel level) override;

  /// Bounds the lines of one level; a second's worth may come at once.
  void SetLinesPerSecond(LogLevel level, double lines);

  /// Hands buffered lines to the operating system, as far as it takes them.
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
