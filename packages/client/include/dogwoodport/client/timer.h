#pragma once

/// @file
/// Clock and waiting of the client, so that tests run in virtual time.

#include <cstdint>

#include "dogwoodport/core/types.h"

namespace dogwoodport {

/// Clock of the client.
class Timer {
 public:
  virtual ~Timer() = default;

  /// Monotonic time.
  virtual TimePoint Now() = 0;
  /// Unix time in milliseconds.
  virtual std::int64_t UnixMs() = 0;
  /// Waits. Returns false when the command should stop.
  virtual bool Sleep(Duration duration) = 0;
};

/// The clocks of the process.
class SystemTimer : public Timer {
 public:
  TimePoint Now() override;
  std::int64_t UnixMs() override;
  bool Sleep(Duration duration) override;
};

}  // namespace dogwoodport
