#pragma once

/// @file
/// Single-threaded event loop: readiness of sockets and timers.

#include <Poco/Net/PollSet.h>
#include <Poco/Net/Socket.h>

#include <functional>
#include <map>
#include <unordered_map>
#include <utility>

#include "dogwoodport/core/types.h"

namespace dogwoodport::net {

/// Returns the time on CLOCK_BOOTTIME, which also counts while the machine is suspended.
TimePoint BootTime() noexcept;

/// Receives the readiness of one socket.
class Watcher {
 public:
  virtual ~Watcher() = default;
  virtual void OnReadable() = 0;
  virtual void OnWritable() = 0;
};

/// Handle of a pending timer; default-constructed ones name no timer.
struct TimerId {
  TimePoint at{};
  std::uint64_t number = 0;

  explicit operator bool() const noexcept { return number != 0; }
  // clang-tidy 14 takes the 0 that a defaulted comparison is compared with for a pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const TimerId&, const TimerId&) = default;
};

/// Waits for sockets and timers and runs their callbacks one after the other. All calls belong to
/// the thread that runs the loop. Exceptions from callbacks leave `Run`.
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

  /// Time at which the present round of callbacks began. Complexity: constant.
  TimePoint now() const noexcept { return now_; }

  /// Re-reads the clock, for decisions that a suspension between two callbacks would invalidate.
  TimePoint Refresh() noexcept;

  /// Runs `callback` once at `at`. Complexity: logarithmic in the pending timers.
  TimerId RunAt(TimePoint at, Callback callback);
  TimerId RunAfter(Duration delay, Callback callback) {
    return RunAt(now_ + delay, std::move(callback));
  }

  /// Drops a pending timer and clears the handle; a handle of a timer that has run is ignored.
  void Cancel(TimerId& id);

  /// Reports the readiness of `socket` to `watcher` until `Unwatch`. `mode` combines the flags of
  /// Poco::Net::PollSet.
  void Watch(const Poco::Net::Socket& socket, int mode, Watcher* watcher);
  void Update(const Poco::Net::Socket& socket, int mode);
  void Unwatch(const Poco::Net::Socket& socket);

  /// Longest time that the callbacks of one round took since the last call of this function.
  Duration TakeMaxRoundDuration() noexcept {
    return std::exchange(max_round_duration_, Duration{0});
  }

  /// Runs callbacks until `Stop`. `on_round` is called after each round.
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
