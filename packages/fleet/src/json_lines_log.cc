#include "dogwoodport/fleet/json_lines_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>

#include "dogwoodport/net/event_loop.h"

namespace dogwoodport::fleet {
namespace {

constexpr std::array<const char*, 4> kLevelNames = {"debug", "info", "warning", "error"};
/// Size of a burst, as the time in seconds in which the limit allows that many lines.
constexpr double kBurstSeconds = 1.0;

}  // namespace

JsonLinesLog::JsonLinesLog(int fd, LogSettings settings) : fd_(fd), settings_(std::move(settings)) {
  fcntl(fd_, F_SETFL, fcntl(fd_, F_GETFL) | O_NONBLOCK);
  for (std::size_t i = 0; i < buckets_.size(); ++i) {
    SetLinesPerSecond(static_cast<LogLevel>(i), settings_.lines_per_s[i]);
  }
}

void JsonLinesLog::SetLinesPerSecond(LogLevel level, double lines) {
  TokenBucket& bucket = buckets_[static_cast<std::size_t>(level)];
  const double burst = std::max(1.0, lines * kBurstSeconds);
  bucket.Configure(lines, burst);
  bucket.Add(burst);
}

TokenBucket& JsonLinesLog::BucketOf(LogLevel level) {
  TokenBucket& bucket = buckets_[static_cast<std::size_t>(level)];
  bucket.Update(net::BootTime());
  return bucket;
}

bool JsonLinesLog::Wants(LogLevel level) {
  if (BucketOf(level).tokens() >= 1) return true;
  ++dropped_;
  ++dropped_total_;
  return false;
}

void JsonLinesLog::Write(LogLevel level, std::string_view event, const nlohmann::json& fields) {
  if (!BucketOf(level).Take(net::BootTime()) || buffer_.size() > settings_.buffer_bytes) {
    ++dropped_;
    ++dropped_total_;
    return;
  }
  timespec time{};
  clock_gettime(CLOCK_REALTIME, &time);
  nlohmann::ordered_json line;
  line["time_ms"] = time.tv_sec * 1000 + time.tv_nsec / 1'000'000;
  line["level"] = kLevelNames[static_cast<std::size_t>(level)];
  line["instance"] = settings_.instance;
  line["event"] = event;
  for (const auto& [name, value] : fields.items()) line[name] = value;
  if (dropped_ > 0) line["lines_dropped"] = std::exchange(dropped_, 0);
  buffer_ += line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
  buffer_ += '\n';
}

void JsonLinesLog::Flush() {
  while (!buffer_.empty()) {
    const ssize_t n = write(fd_, buffer_.data(), buffer_.size());
    if (n <= 0) return;  // The reader is slow or gone. Lines are kept until the buffer is full.
    buffer_.erase(0, static_cast<std::size_t>(n));
  }
}

}  // namespace dogwoodport::fleet
