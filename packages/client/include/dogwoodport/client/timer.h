#pragma once

/// @file
/// Interface to the clocks and to sleeping, so that tests can use virtual time.

#include <cstdint>

#include "dogwoodport/core/types.h"

namespace dogwoodport {

/// Clocks and sleep function of the client.
class Timer {
 public:
  virtual ~Timer() = default;

  /// Returns the monotonic time.
  virtual TimePoint Now() = 0;
  /// Returns the Unix time in milliseconds.
  virtual std::int64_t UnixMs() = 0;
  /// Sleeps for `duration`. Returns false if the command should stop.
  virtual bool Sleep(Duration duration) = 0;
};

/// Uses the system clocks.
class SystemTimer : public Timer {
 public:
  TimePoint Now() override;
  std::int64_t UnixMs() override;
  bool Sleep(Duration duration) override;
};

}  // namespace dogwoodport
