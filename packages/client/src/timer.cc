#include "dogwoodport/client/timer.h"

#include <thread>

namespace dogwoodport {

TimePoint SystemTimer::Now() {
  return TimePoint(
      std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

std::int64_t SystemTimer::UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

bool SystemTimer::Sleep(Duration duration) {
  std::this_thread::sleep_for(duration);
  return true;
}

}  // namespace dogwoodport
