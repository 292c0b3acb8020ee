#include "dogwoodport/net/event_loop.h"

#include <ctime>

namespace dogwoodport::net {
namespace {

/// Upper bound of one poll, so that a flag set by a signal handler is noticed promptly.
constexpr Duration kMaxPollWait{100'000};

}  // namespace

TimePoint BootTime() noexcept {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec) +
                                                        std::chrono::nanoseconds(time.tv_nsec)));
}

EventLoop::EventLoop() : now_(BootTime()) {}

TimePoint EventLoop::Refresh() noexcept { return now_ = BootTime(); }

TimerId EventLoop::RunAt(TimePoint at, Callback callback) {
  const TimerId id{at, next_timer_++};
  timers_.emplace(id, std::move(callback));
  return id;
}

void EventLoop::Cancel(TimerId& id) {
  if (id) timers_.erase(id);
  id = TimerId{};
}

void EventLoop::Watch(const Poco::Net::Socket& socket, int mode, Watcher* watcher) {
  watchers_[socket.impl()] = watcher;
  poll_set_.add(socket, mode);
}

void EventLoop::Update(const Poco::Net::Socket& socket, int mode) {
  poll_set_.update(socket, mode);
}

void EventLoop::Unwatch(const Poco::Net::Socket& socket) {
  if (watchers_.erase(socket.impl()) > 0) poll_set_.remove(socket);
}

void EventLoop::Run(const Callback& on_round) {
  running_ = true;
  while (running_) {
    Poll();
    RunTimers();
    if (on_round) on_round();
    max_round_duration_ = std::max(max_round_duration_, BootTime() - now_);
  }
}

void EventLoop::Poll() {
  Duration wait = kMaxPollWait;
  if (!timers_.empty()) wait = std::clamp(timers_.begin()->first.at - now_, Duration{0}, wait);
  // epoll has a resolution of one millisecond; rounding up avoids waking before the timer is due.
  const auto wait_ms = std::chrono::ceil<std::chrono::milliseconds>(wait);
  const auto events =
      poll_set_.poll(Poco::Timespan(std::chrono::duration_cast<Duration>(wait_ms).count()));
  Refresh();
  for (const auto& [socket, mode] : events) {
    const auto find = [&, impl = socket.impl()] { return watchers_.find(impl); };
    if ((mode & Poco::Net::PollSet::POLL_WRITE) != 0) {
      if (const auto it = find(); it != watchers_.end()) it->second->OnWritable();
    }
    if ((mode & (Poco::Net::PollSet::POLL_READ | Poco::Net::PollSet::POLL_ERROR)) != 0) {
      if (const auto it = find(); it != watchers_.end()) it->second->OnReadable();
    }
  }
}

void EventLoop::RunTimers() {
  while (running_ && !timers_.empty() && timers_.begin()->first.at <= now_) {
    auto node = timers_.extract(timers_.begin());
    node.mapped()();
  }
}

}  // namespace dogwoodport::net
