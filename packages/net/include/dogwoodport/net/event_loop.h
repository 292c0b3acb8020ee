#pragma once

/// @file
/// Single-threaded event loop for socket readiness and timers.

#include <Poco/Net/PollSet.h>
#include <Poco/Net/Socket.h>

#include <functional>
#include <map>
#include <unordered_map>
#include <utility>

#include "dogwoodport/core/types.h"

namespace dogwoodport::net {

/// Returns the time of CLOCK_BOOTTIME, which keeps running while the machine is suspended.
TimePoint BootTime() noexcept;

/// Receives the readiness events of one socket.
class Watcher {
 public:
  virtual ~Watcher() = default;
  virtual void OnReadable() = 0;
  virtual void OnWritable() = 0;
};

/// Handle of a pending timer. A default-constructed handle refers to no timer.
struct TimerId {
  TimePoint at{};
  std::uint64_t number = 0;

  explicit operator bool() const noexcept { return number != 0; }
  // clang-tidy 14 mistakes the literal 0 in the defaulted comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const TimerId&, const TimerId&) = default;
};

/// Waits for sockets and timers and runs their callbacks one at a time. All member functions must
/// be called on the thread that runs the loop. Exceptions thrown by callbacks propagate out of
/// `Run`.
///
/// @code
/// EventLoop loop;
/// loop.RunAfter(std::chrono::seconds(1), [&] { loop.Stop(); });
/// loop.Run();
/// @endcode
class EventLoop {
 public:
  using Callback = std::function<void()>;

  EventLoop();

  /// Start time of the current round of callbacks. Complexity: constant.
  TimePoint now() const noexcept { return now_; }

  /// Reads the clock again and returns the new time. For decisions that would be wrong if the
  /// process had been suspended since the start of the round.
  TimePoint Refresh() noexcept;

  /// Runs `callback` once at time `at`. Complexity: logarithmic in the number of pending timers.
  TimerId RunAt(TimePoint at, Callback callback);
  TimerId RunAfter(Duration delay, Callback callback) {
    return RunAt(now_ + delay, std::move(callback));
  }

  /// Cancels a pending timer and clears the handle. Does nothing if the timer has already run.
  void Cancel(TimerId& id);

  /// Reports the readiness of `socket` to `watcher` until `Unwatch` is called. `mode` is a
  /// combination of Poco::Net::PollSet flags.
  void Watch(const Poco::Net::Socket& socket, int mode, Watcher* watcher);
  void Update(const Poco::Net::Socket& socket, int mode);
  void Unwatch(const Poco::Net::Socket& socket);

  /// Returns the longest duration of a round of callbacks since the previous call of this function.
  Duration TakeMaxRoundDuration() noexcept {
    return std::exchange(max_round_duration_, Duration{0});
  }

  /// Runs callbacks until `Stop` is called. Calls `on_round` after each round.
  void Run(const Callback& on_round = nullptr);
  void Stop() noexcept { running_ = false; }

 private:
  void RunTimers();
  void Poll();

  Poco::Net::PollSet poll_set_;
  std::unordered_map<const Poco::Net::SocketImpl*, Watcher*> watchers_;
  std::map<TimerId, Callback> timers_;
  std::uint64_t next_timer_ = 1;
  TimePoint now_;
  Duration max_round_duration_{0};
  bool running_ = false;
};

}  // namespace dogwoodport::net
