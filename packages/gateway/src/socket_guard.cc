#include "dogwoodport/gateway/detail/socket_guard.h"

#include <Poco/Exception.h>
#include <poll.h>

namespace dogwoodport::detail {
namespace {

constexpr std::chrono::milliseconds kScanInterval{10};

void ShutDown(Poco::Net::StreamSocket& socket, SocketGuard::Direction direction) noexcept {
  try {
    if (direction == SocketGuard::Direction::kReceive) {
      socket.shutdownReceive();
    } else {
      socket.shutdown();
    }
  } catch (const Poco::Exception&) {  // NOLINT(bugprone-empty-catch)
    // The peer has closed the connection already.
  }
}

}  // namespace

bool PeerHasLeft(int fd) noexcept {
  pollfd item{fd, POLLRDHUP, 0};
  return ::poll(&item, 1, 0) > 0 && (item.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

SocketGuard::SocketGuard() : thread_([this] { Run(); }) {}

SocketGuard::~SocketGuard() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  thread_.join();
}

void SocketGuard::Run() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (!stopping_) {
    if (entries_.empty()) {
      wake_.wait(lock, [this] { return stopping_ || !entries_.empty(); });
    } else {
      wake_.wait_for(lock, kScanInterval, [this] { return stopping_; });
    }
    Scan();
  }
}

void SocketGuard::Scan() {
  const auto now = std::chrono::steady_clock::now();
  for (Entry& entry : entries_) {
    if (entry.verdict != Verdict::kNone) continue;
    if (now >= entry.deadline) {
      entry.verdict = Verdict::kDeadline;
    } else if ((entry.cancelled && *entry.cancelled) ||
               (entry.caller_fd >= 0 && PeerHasLeft(entry.caller_fd))) {
      entry.verdict = Verdict::kCallerLeft;
    } else {
      continue;
    }
    ShutDown(entry.socket, entry.direction);
  }
}

SocketGuard::Watch::Watch(SocketGuard& guard, const Poco::Net::StreamSocket& socket,
                          std::chrono::steady_clock::time_point deadline, Direction direction,
                          int caller_fd, std::shared_ptr<const std::atomic<bool>> cancelled)
    : guard_(guard) {
  const std::lock_guard<std::mutex> lock(guard_.mutex_);
  const bool first = guard_.entries_.empty();
  entry_ = guard_.entries_.emplace(guard_.entries_.end());
  entry_->socket = socket;
  entry_->deadline = deadline;
  entry_->direction = direction;
  entry_->caller_fd = caller_fd;
  entry_->cancelled = std::move(cancelled);
  if (first) guard_.wake_.notify_all();
}

SocketGuard::Watch::~Watch() {
  const std::lock_guard<std::mutex> lock(guard_.mutex_);
  guard_.entries_.erase(entry_);
}

}  // namespace dogwoodport::detail
